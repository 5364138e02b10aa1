//! The flows that pass through this VM, as far as they help to choose targets.
//!
//! The table is an observation, never the route of a packet: a flow that is missing here is routed by its
//! token all the same.

use std::collections::HashMap;

use super::routing_token::RoutingToken;
use super::segment::FlowId;
use crate::time::Millis;

/// What this VM saw of one flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenFlow {
    pub(super) target: RoutingToken,
    pub(super) last_at: Millis,
    /// When the client sent the first byte of a request that has not been answered yet.
    pub(super) request_at: Option<Millis>,
    /// The highest sequence number after the client's data.
    pub(super) sent: u32,
    /// The last acknowledgement of the client.
    pub(super) acked: u32,
    /// Whether the client has sent anything but openings.
    pub(super) established: bool,
    /// Whether copies of the opening went to more than one target. A late answer of the other one makes the
    /// client echo a token that is not the flow's.
    pub(super) moved: bool,
    /// How often the client repeated a part of the request in progress.
    pub(super) repeats: u8,
}

/// A bounded table of observed flows.
#[derive(Debug, Default)]
pub(super) struct OpenFlows {
    flows: HashMap<FlowId, OpenFlow>,
}

impl OpenFlows {
    pub(super) fn get_mut(&mut self, flow: &FlowId) -> Option<&mut OpenFlow> {
        self.flows.get_mut(flow)
    }

    pub(super) fn insert(&mut self, flow: FlowId, state: OpenFlow) -> Option<OpenFlow> {
        self.flows.insert(flow, state)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<OpenFlow> {
        self.flows.remove(flow)
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Removes the flows that were idle for `idle` and returns them.
    pub(super) fn expire(&mut self, now: Millis, idle: Millis) -> Vec<OpenFlow> {
        self.flows.extract_if(|_, flow| now.since(flow.last_at) >= idle).map(|(_, f)| f).collect()
    }
}
