//! The flows that pass through this VM, as far as they help to choose targets.
//!
//! The table is an observation, never the route of a packet: a flow that is missing here is routed by its
//! token all the same.

use super::routing_token::RoutingToken;
use super::segment::{ClientSegment, FlowId};
use super::silence::Repetition;
use crate::hashing::HashMap;
use crate::time::Millis;

/// What this VM saw of one flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenFlow {
    pub(super) target: RoutingToken,
    pub(super) last_at: Millis,
    /// When the client sent the first packet of a request that has not been answered yet. For the first
    /// request of a flow that is the opening.
    pub(super) request_at: Option<Millis>,
    /// When the client sent the first data since the target was last heard from on this flow.
    pub(super) waiting_since: Option<Millis>,
    /// The highest sequence number after the client's data.
    sent: u32,
    /// The last acknowledgement of the client.
    acked: u32,
    /// Whether the client has sent anything but openings.
    pub(super) established: bool,
    /// Whether copies of the opening went to more than one target. A late answer of the other one makes the
    /// client echo a token that is not the flow's.
    pub(super) moved: bool,
    /// How often the client repeated a part of the request in progress.
    pub(super) repeats: u8,
    /// The bytes that the client sent for the request in progress, without repetitions.
    pub(super) bytes: u32,
    /// The client's acknowledgement when the request in progress began.
    answer_from: u32,
}

/// What a segment of an open flow shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Observation {
    /// The client has received something from the target since its last segment.
    pub(super) progress: bool,
    /// When the packet was forwarded that the target answered.
    pub(super) answered_packet: Option<Millis>,
    /// The client repeated data that it first sent at the given time.
    pub(super) repetition: Option<(Millis, Repetition)>,
    /// The client began a request.
    pub(super) request: bool,
    /// The client acknowledged the answer to a request.
    pub(super) answered: Option<Request>,
}

/// A request that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Request {
    /// When the client sent its first packet.
    pub(super) began_at: Millis,
    /// The bytes that the client sent.
    pub(super) bytes: u32,
    /// The bytes of the answer that the client has acknowledged. It acknowledges a long answer in parts, so
    /// that this is its beginning.
    pub(super) answer_bytes: u32,
}

impl OpenFlow {
    /// Notes an opening. A client opens a flow for a request that it sends at once.
    pub(super) fn opened(now: Millis, target: RoutingToken, segment: &ClientSegment) -> OpenFlow {
        OpenFlow {
            target,
            last_at: now,
            request_at: Some(now),
            waiting_since: None,
            sent: segment.seq,
            acked: 0,
            established: false,
            moved: false,
            repeats: 0,
            bytes: 0,
            answer_from: 0,
        }
    }

    /// Notes a flow that was opened through another VM.
    pub(super) fn adopted(now: Millis, target: RoutingToken, segment: &ClientSegment) -> OpenFlow {
        let began_at = (segment.payload > 0).then_some(now);
        OpenFlow {
            target,
            last_at: now,
            request_at: began_at,
            waiting_since: began_at,
            sent: end_of(segment),
            acked: segment.ack,
            established: true,
            moved: false,
            repeats: 0,
            bytes: u32::from(segment.payload),
            answer_from: segment.ack,
        }
    }

    /// Returns the request in progress.
    pub(super) fn request(&self) -> Option<Request> {
        let answer_bytes = self.acked.wrapping_sub(self.answer_from);
        self.request_at.map(|began_at| Request { began_at, bytes: self.bytes, answer_bytes })
    }

    /// Takes a segment that follows the opening.
    pub(super) fn on_segment(&mut self, now: Millis, segment: &ClientSegment) -> Observation {
        let first = !self.established;
        let mut seen = Observation {
            progress: first || is_after(segment.ack, self.acked),
            ..Observation::default()
        };
        if seen.progress {
            self.repeats = 0;
            let waited = self.waiting_since.take();
            seen.answered_packet = if first { Some(self.last_at) } else { waited };
        }
        self.last_at = now;
        self.established = true;
        // Packets that overtake each other on the way acknowledge less than was acknowledged before.
        if seen.progress {
            self.acked = segment.ack;
        }
        if first {
            self.answer_from = segment.ack;
        }
        let end = end_of(segment);
        if segment.payload == 0 {
            if seen.progress && !first {
                seen.answered = self.request();
                (self.request_at, self.bytes) = (None, 0);
            }
        } else if first || is_after(end, self.sent) {
            self.sent = end;
            self.bytes = self.bytes.saturating_add(u32::from(segment.payload));
            self.waiting_since.get_or_insert(now);
            if self.request_at.is_none() {
                seen.request = true;
                (self.request_at, self.answer_from) = (Some(now), segment.ack);
            }
        } else {
            self.repeats = self.repeats.saturating_add(1);
            let repetition = Repetition::Request(self.repeats);
            seen.repetition = self.waiting_since.map(|at| (at, repetition));
        }
        seen
    }
}

fn end_of(segment: &ClientSegment) -> u32 {
    segment.seq.wrapping_add(u32::from(segment.payload))
}

/// Tells whether a sequence number comes after another, across the end of their range.
fn is_after(seq: u32, other: u32) -> bool {
    (seq.wrapping_sub(other) as i32) > 0
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
