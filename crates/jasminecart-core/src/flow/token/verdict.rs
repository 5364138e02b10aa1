//! The results of the token router: verdicts, decisions and counters.

use std::net::SocketAddrV4;

use serde::Serialize;

use super::routing_token::RoutingToken;
use super::target_selector::Choice;
use crate::names::Name;
use crate::time::Millis;

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The address of the target.
    pub address: SocketAddrV4,
    /// The label by which the target recognises packets addressed to it.
    pub label: u64,
    /// The token to write into the packet.
    pub token: RoutingToken,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropCause {
    /// This VM has no routes or targets yet.
    NotReady,
    /// The service of the route has no target, but live targets may not have registered again yet.
    NoTargetYet,
    /// The token leads to no known target.
    UnknownToken,
    /// The packet carries no token, although it is not an opening.
    NoToken,
    /// The token leads to a known target, but is not the target's token for the service address.
    ForeignToken,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ResetCause {
    /// There is no route for the service address.
    NoRoute,
    /// The service of the route has no target that accepts flows.
    NoTarget,
    /// The target of the flow was removed.
    TargetGone,
    /// The target of the flow is silent, and the client may retry its request at another one.
    TargetSilent,
    /// The flow is new, and the targets of the service are overloaded.
    Overloaded,
    /// The flow is new, and the targets of the service are cold and get no more new flows from this VM now.
    TargetsCold,
}

impl DropCause {
    /// Returns the name of the cause in logs, metrics and explanations.
    pub fn label(self) -> &'static str {
        match self {
            DropCause::NotReady => "not-ready",
            DropCause::NoTargetYet => "no-target-yet",
            DropCause::UnknownToken => "unknown-token",
            DropCause::NoToken => "no-token",
            DropCause::ForeignToken => "foreign-token",
        }
    }
}

impl ResetCause {
    /// Returns the name of the cause in logs, metrics and explanations.
    pub fn label(self) -> &'static str {
        match self {
            ResetCause::NoRoute => "no-route",
            ResetCause::NoTarget => "no-target",
            ResetCause::TargetGone => "target-gone",
            ResetCause::TargetSilent => "target-silent",
            ResetCause::Overloaded => "overloaded",
            ResetCause::TargetsCold => "targets-cold",
        }
    }
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it.
    Forward(Destination),
    /// Send a reset to the client.
    Reset(ResetCause),
    /// Drop it.
    Drop(DropCause),
}

/// The selection of a target for a new flow with its inputs, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The route of the flow.
    pub route: Name,
    /// The selected target.
    pub target: Name,
    /// The choice and its inputs.
    pub choice: Choice,
    /// The target of an earlier copy of the same opening, if it differs from `target`.
    pub instead_of: Option<Name>,
    /// The service that the weights selected, if it passed the flow to another service because it
    /// could not carry it.
    pub passed_by: Option<Name>,
    /// The version of the routes.
    pub version: u64,
}

/// A request whose response reached the client, as far as the client's packets show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
    /// The route of the request.
    pub route: Name,
    /// The target that responded.
    pub target: Name,
    /// The time from the request's first packet to the acknowledgement of its response.
    pub latency: Millis,
    /// Whether the request opened its flow, so that the latency includes the handshake.
    pub opened: bool,
    /// Whether the response was so short that the target probably refused or failed the request.
    pub refused: bool,
    /// The bytes of the response that the client has acknowledged so far.
    pub bytes: u32,
}

/// A change of whether a target is suspected of being silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The target.
    pub target: Name,
    /// Whether it is suspected now.
    pub suspected: bool,
}

/// The counters of a [`super::TokenRouter`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TokenCounters {
    /// Openings that got a target, including retransmitted ones.
    pub openings: u64,
    /// Retransmitted openings that got a target.
    pub repeated_openings: u64,
    /// Retransmitted openings that went to another target than the earlier copy.
    pub moved_openings: u64,
    /// Openings that a service passed to another service of the route.
    pub passed_openings: u64,
    /// Second copies of openings that were sent.
    pub second_copies: u64,
    /// Second copies of openings that were due and not sent.
    pub second_copies_withheld: u64,
    /// Flows that opened at the target of the second copy.
    pub second_copies_won: u64,
    /// Packets of open flows that were forwarded.
    pub forwarded: u64,
    /// Flows that were reset.
    pub resets: u64,
    /// Packets that were dropped.
    pub dropped: u64,
    /// How often a target became suspected of being silent.
    pub suspicions: u64,
    /// Responses so short that the target probably refused or failed the request.
    pub refusals: u64,
    /// How often a target was not selected, because another one has the same token for the service address.
    pub ambiguous: u64,
    /// Openings for which at least one target was not considered, because it is cold.
    pub withheld_openings: u64,
}
