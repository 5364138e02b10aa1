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
    /// The VM takes part in everything.
    Active,
    /// The VM did not answer probes and has not refuted the suspicion yet.
    Suspect,
    /// The VM announced a planned stop and takes no new work.
    Leaving,
    /// The VM left or was found dead.
    Dead,
}

/// A member of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the VM.
    pub vm: VmId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Its capacity relative to the other entry VMs.
    pub size: u32,
    /// Its addresses.
    pub address: PeerAddress,
    /// The highest document revision it has reported.
    pub revision: Revision,
    /// When the reader last heard from it directly; [`Millis::ZERO`] when it never did.
    pub heard_at: Millis,
}

impl Member {
    /// Tells whether the member may own flows and slots.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Active | MemberState::Suspect)
    }

    /// Tells whether messages to the member make sense.
    pub fn is_reachable(&self) -> bool {
        self.state != MemberState::Dead
    }
}

/// The members of the data centre at one moment, the reader included, in the order of their identities.
#[derive(Clone, Debug)]
pub struct Members {
    /// The VM that holds this list.
    pub me: VmId,
    /// The members. Dead ones stay in the list for a minute, so that a reader can tell which share of the
    /// members seen in the last minute is alive.
    pub list: Arc<[Member]>,
    /// Live VMs of other data centres, as last summarised by these.
    pub remote: Arc<[Member]>,
}

impl Members {
    /// Creates a list.
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

/// An entry of the platform's list of VMs, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHint {
    /// The identity of the VM.
    pub vm: VmId,
    /// Its addresses.
    pub address: PeerAddress,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}
