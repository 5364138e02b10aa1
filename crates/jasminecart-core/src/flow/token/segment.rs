//! Client segments as the token router sees them.

use std::net::SocketAddrV4;

use super::routing_token::RoutingToken;

/// What a client segment asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// It opens a flow. `copy` counts the repetitions of the same opening, from 0.
    Open {
        /// How many earlier copies the client has sent.
        copy: u32,
    },
    /// It belongs to an open flow.
    Data,
    /// It belongs to an open flow and is the last that carries data.
    Finish,
    /// It ends the flow at once.
    Abort,
}

/// The identity of a flow: the client's end and the service address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowId {
    /// The address and port of the client.
    pub client: SocketAddrV4,
    /// The service address and port that the client sends to.
    pub service: SocketAddrV4,
}

/// The part of a client segment that routing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSegment {
    /// The flow of the segment.
    pub flow: FlowId,
    /// What it asks for.
    pub kind: SegmentKind,
    /// The token that the client echoes, if it has received one on this flow.
    pub token: Option<RoutingToken>,
    /// The sequence number of its first byte of data.
    pub seq: u32,
    /// The next sequence number that the client expects from the target.
    pub ack: u32,
    /// The bytes of data in the segment.
    pub payload: u16,
}
