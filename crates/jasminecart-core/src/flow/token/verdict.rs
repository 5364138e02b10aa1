//! What the token router decides and reports.

use std::net::SocketAddrV4;

use serde::Serialize;

use super::routing_token::RoutingToken;
use super::steering::Choice;
use crate::names::Name;
use crate::time::Millis;

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The address of the target.
    pub address: SocketAddrV4,
    /// The number by which the target recognises packets that are meant for it.
    pub label: u64,
    /// The token that the packet has to carry.
    pub token: RoutingToken,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropCause {
    /// This VM has not learned the routes and targets yet.
    NotReady,
    /// The service of the route has no target, and live ones may still have to register again.
    NoTargetYet,
    /// The flow is open, and no known target has its token.
    UnknownToken,
    /// The flow carries no token, although it is no opening.
    NoToken,
    /// The token names a target that the route does not lead to.
    ForeignToken,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ResetCause {
    /// No route leads from the address.
    NoRoute,
    /// The service of the route has no target that takes flows.
    NoTarget,
    /// The target of the flow is gone.
    TargetGone,
    /// The target of the flow is silent, and the client may repeat its request at another one.
    TargetSilent,
}

/// What happens to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is forwarded.
    Forward(Destination),
    /// The client is told that the flow is over.
    Reset(ResetCause),
    /// It is dropped.
    Drop(DropCause),
}

/// A decision about a new flow with its inputs, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The route of the flow.
    pub route: Name,
    /// The chosen target.
    pub target: Name,
    /// The choice and its inputs.
    pub choice: Choice,
    /// The target of an earlier copy of the same opening, if another was chosen now.
    pub instead_of: Option<Name>,
    /// The version of the routes.
    pub version: u64,
}

/// A request whose answer reached the client, as far as the client's packets show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// The route of the request.
    pub route: Name,
    /// The target that answered.
    pub target: Name,
    /// From the request's first packet to the acknowledgement of its answer.
    pub latency: Millis,
    /// Whether the request opened its flow, so that the latency includes the handshake.
    pub opened: bool,
    /// Whether the answer was so short that the target probably refused or failed the request.
    pub refused: bool,
    /// The bytes of the answer that the client has acknowledged so far.
    pub bytes: u32,
}

/// A change of what the router believes of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Belief {
    /// The target.
    pub target: Name,
    /// Whether it is suspected of not answering.
    pub suspected: bool,
}

/// Counts of a [`super::TokenRouter`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TokenCounters {
    /// Openings that got a target, copies included.
    pub openings: u64,
    /// Repeated openings.
    pub repeated_openings: u64,
    /// Repeated openings that went to another target.
    pub moved_openings: u64,
    /// Packets of open flows that were forwarded.
    pub forwarded: u64,
    /// Flows that were reset.
    pub resets: u64,
    /// Packets that were dropped.
    pub dropped: u64,
    /// How often a target became suspected of not answering.
    pub suspicions: u64,
    /// Answers so short that the target probably refused or failed the request.
    pub refusals: u64,
    /// Targets that get no new flows, because another target has the same token.
    pub ambiguous_targets: u64,
}
