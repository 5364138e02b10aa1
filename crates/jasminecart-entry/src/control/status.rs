//! The status and counters that the control actor reports to operators.

use jasminecart_core::process::{MemberCounters, MemberState};
use jasminecart_core::request::{DispatchCounters, TargetUse};
use jasminecart_core::version::{AdoptionCounters, Revision};
use jasminecart_peer::PeerCounters;
use serde::Serialize;

/// The state of the process, served at `/status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    pub(crate) vm: String,
    pub(crate) incarnation: u64,
    pub(crate) uptime_ms: u64,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) document: Option<DocumentStatus>,
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) targets: Vec<TargetUse>,
    pub(crate) requests_in_progress: usize,
}

/// The current document.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DocumentStatus {
    pub(crate) epoch: u64,
    pub(crate) revision: u64,
    pub(crate) digest: String,
    pub(crate) services: usize,
    pub(crate) targets: usize,
}

/// A member of the data centre.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MemberStatus {
    pub(crate) vm: String,
    pub(crate) state: MemberState,
    pub(crate) incarnation: u64,
    pub(crate) size: u32,
    pub(crate) epoch: u64,
    pub(crate) revision: u64,
    pub(crate) control: String,
    pub(crate) silent_ms: u64,
}

/// What a planned stop still waits for. Logged by its `Debug` output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemainingWork {
    /// The packet task is handing over flows.
    Packets,
    /// Requests are in progress.
    Requests,
    /// The dispatcher is handing over key records or waiting for attempts.
    Dispatch,
    /// Messages to peers have not been acknowledged.
    Messages,
}

/// The counters of the state machines and other values exported as metrics.
#[derive(Clone, Debug)]
pub(crate) struct ControlCounters {
    pub(crate) dispatch: DispatchCounters,
    pub(crate) members: MemberCounters,
    pub(crate) adoption: AdoptionCounters,
    pub(crate) links: PeerCounters,
    pub(crate) revision: Revision,
    pub(crate) ready: bool,
    pub(crate) members_by_state: MembersByState,
}

/// The number of members in each state.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct MembersByState {
    pub(crate) joining: u64,
    pub(crate) active: u64,
    pub(crate) suspect: u64,
    pub(crate) leaving: u64,
    pub(crate) dead: u64,
}

impl MembersByState {
    pub(crate) fn count(&mut self, state: MemberState) {
        match state {
            MemberState::Joining => self.joining += 1,
            MemberState::Active => self.active += 1,
            MemberState::Suspect => self.suspect += 1,
            MemberState::Leaving => self.leaving += 1,
            MemberState::Dead => self.dead += 1,
        }
    }
}
