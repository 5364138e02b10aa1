//! The flow router.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey};
use crate::message::Outgoing;
use crate::names::{Name, VmId};
use crate::process::Members;
use crate::time::Millis;
use crate::version::{Document, TargetState};

/// Bounds of flow routing.
#[derive(Clone, Debug)]
pub struct FlowLimits {
    /// The most entries of the flow table.
    pub max_exceptions: usize,
}

impl Default for FlowLimits {
    fn default() -> Self {
        FlowLimits { max_exceptions: 1_000_000 }
    }
}

/// Where a packet goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a target, encapsulated.
    Target {
        /// The service.
        service: Name,
        /// The target.
        target: Name,
        /// The address of the target for encapsulated packets.
        address: SocketAddr,
    },
    /// To another entry VM with a forward header.
    Peer {
        /// The VM.
        vm: VmId,
        /// The UDP address of the VM.
        address: SocketAddr,
        /// The header.
        header: ForwardHeader,
    },
    /// Nowhere.
    Drop(DropReason),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// This VM has no document yet.
    NoDocument,
    /// No service has this address.
    NoService,
    /// The service has no target for a new flow.
    NoTarget,
}

/// A message of flow routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Tells a VM the target of a flow that it keeps passing on.
    Hint {
        /// The hash of the flow.
        flow: u64,
        /// The key of the target.
        target: u64,
    },
}

/// Why a flow goes where it goes, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowExplanation {
    /// The service of the flow.
    pub service: Option<Name>,
    /// The target of the flow.
    pub target: Option<Name>,
    /// The reason in words.
    pub reason: String,
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowCounters {
    /// Packets sent to targets.
    pub to_targets: u64,
    /// Packets passed to other VMs.
    pub to_peers: u64,
    /// Packets dropped.
    pub dropped: u64,
}

/// Returns the hash by which a VM is named in a [`ForwardHeader`].
pub fn vm_hash(vm: &VmId) -> u64 {
    hash(vm)
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Routes the packets of flows to targets.
#[derive(Debug)]
pub struct Router {
    me: VmId,
    document: Option<Arc<Document>>,
    counters: FlowCounters,
}

impl Router {
    /// Creates the router of one process.
    pub fn new(me: VmId, _seed: u64, _limits: FlowLimits) -> Router {
        Router { me, document: None, counters: FlowCounters::default() }
    }

    /// Takes an adopted document.
    pub fn set_document(&mut self, _now: Millis, document: &Arc<Document>) -> Vec<Outgoing> {
        self.document = Some(document.clone());
        Vec::new()
    }

    /// Takes a new list of members.
    pub fn set_members(&mut self, _now: Millis, _members: &Members) -> Vec<Outgoing> {
        Vec::new()
    }

    /// Decides where a packet goes.
    pub fn route(&mut self, _now: Millis, packet: &FlowPacket) -> Route {
        let route = self.decide(&packet.key);
        match &route {
            Route::Target { .. } => self.counters.to_targets += 1,
            Route::Peer { .. } => self.counters.to_peers += 1,
            Route::Drop(_) => self.counters.dropped += 1,
        }
        route
    }

    /// Decides where a fragment without ports goes.
    pub fn route_fragment(
        &mut self,
        _now: Millis,
        _fragment: &FragmentKey,
        _forwarded: Option<ForwardHeader>,
    ) -> Route {
        self.counters.dropped += 1;
        Route::Drop(DropReason::NoService)
    }

    /// Takes a message from a peer.
    pub fn on_message(
        &mut self,
        _now: Millis,
        _from: &VmId,
        _message: FlowMessage,
    ) -> Vec<Outgoing> {
        Vec::new()
    }

    /// Does what is due.
    pub fn tick(&mut self, _now: Millis) -> Vec<Outgoing> {
        Vec::new()
    }

    /// Starts a planned stop: hands over what this VM owns.
    pub fn leave(&mut self, _now: Millis) -> Vec<Outgoing> {
        Vec::new()
    }

    /// Tells whether everything was handed over.
    pub fn is_drained(&self) -> bool {
        true
    }

    /// Explains where a flow goes and why.
    pub fn explain(&self, _now: Millis, key: &FlowKey) -> FlowExplanation {
        match self.decide(key) {
            Route::Target { service, target, .. } => {
                let reason = "rendezvous hashing over the targets".to_owned();
                FlowExplanation { service: Some(service), target: Some(target), reason }
            }
            other => FlowExplanation { service: None, target: None, reason: format!("{other:?}") },
        }
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    fn decide(&self, key: &FlowKey) -> Route {
        let Some(document) = &self.document else { return Route::Drop(DropReason::NoDocument) };
        let Some(service) = document.service_at(key.service_address()) else {
            return Route::Drop(DropReason::NoService);
        };
        let near = document.targets_near(&service.name, &self.me.data_centre);
        let active = near.into_iter().filter(|target| target.state == TargetState::Active);
        match active.max_by_key(|target| hash((key, &target.name))) {
            Some(target) => Route::Target {
                service: service.name.clone(),
                target: target.name.clone(),
                address: target.packet_address(),
            },
            None => Route::Drop(DropReason::NoTarget),
        }
    }
}
