//! The list of members as other modules see it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// The addresses by which other entry VMs reach a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The TCP address of the peer service.
    pub control: SocketAddr,
    /// The UDP address for forwarded client packets.
    pub packets: SocketAddr,
    /// The TCP address to which requests bound to this VM are forwarded.
    pub requests: SocketAddr,
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The VM is starting and owns nothing yet.
    Joining,
    /// The VM may own flows and slots.
    Active,
    /// The VM did not respond to probes and has not refuted the suspicion.
    Suspect,
    /// The VM announced a planned stop and accepts no new work.
    Leaving,
    /// The VM left or was declared dead.
    Dead,
}

/// A member of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the VM.
    pub vm: VmId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Its capacity relative to the other entry VMs.
    pub size: u32,
    /// Its addresses.
    pub address: PeerAddress,
    /// The highest document revision that it has reported.
    pub revision: Revision,
    /// When this VM last received a direct message from it; [`Millis::ZERO`] if it never did.
    pub heard_at: Millis,
}

impl Member {
    /// Returns whether the member may own flows and slots.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Active | MemberState::Suspect)
    }

    /// Returns whether messages may be sent to the member.
    pub fn is_reachable(&self) -> bool {
        self.state != MemberState::Dead
    }
}

/// A snapshot of the members of the data centre, including this VM, in the order of their
/// identities.
#[derive(Clone, Debug)]
pub struct Members {
    /// The VM that holds this list.
    pub me: VmId,
    /// The members. Dead ones stay in the list for a minute, so that the share of the members seen
    /// in the last minute that is alive can be computed.
    pub list: Arc<[Member]>,
    /// Live VMs of other data centres, from the latest summaries of those.
    pub remote: Arc<[Member]>,
}

impl Members {
    /// Creates a snapshot without VMs of other data centres.
    pub fn new(me: VmId, list: impl Into<Arc<[Member]>>) -> Members {
        Members { me, list: list.into(), remote: Arc::from([]) }
    }

    /// Adds the VMs of other data centres.
    pub fn with_remote(mut self, remote: impl Into<Arc<[Member]>>) -> Members {
        self.remote = remote.into();
        self
    }

    /// Returns a member, or a VM of another data centre, by its identity.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.list.iter().chain(self.remote.iter()).find(|member| member.vm == *vm)
    }

    /// Returns the members that may own flows and slots.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|member| member.is_eligible())
    }

    /// Returns the other members that messages can be sent to.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.list.iter().filter(|member| member.is_reachable() && member.vm != self.me)
    }
}

/// An entry of the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHint {
    /// The identity of the VM.
    pub vm: VmId,
    /// Its addresses.
    pub address: PeerAddress,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}
