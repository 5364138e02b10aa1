//! The state of simulated clients, which send requests and repeat them.

use std::collections::BTreeMap;

use jasminecart_core::Millis;
use jasminecart_core::request::IssuedKey;

use super::network::ProcessId;
use super::requests::ClientRequestId;

/// A request as its client sees it.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) service: usize,
    pub(super) idempotent: bool,
    pub(super) key: Option<IssuedKey>,
    /// The process that received the last submission, from the client or forwarded.
    pub(super) at: Option<ProcessId>,
    pub(super) deadline: Millis,
    pub(super) submissions: u32,
    pub(super) state: ClientState,
    /// When the client submits the request again.
    pub(super) repeat_at: Option<Millis>,
    /// Whether a refusal stated that the request did not run.
    pub(super) told_not_run: bool,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    Waiting,
    Answered,
    NotRun,
    Unknown,
}

/// All requests of the run.
#[derive(Debug, Default)]
pub(super) struct Clients {
    pub(super) requests: BTreeMap<ClientRequestId, ClientRequest>,
    pub(super) next: u64,
}
