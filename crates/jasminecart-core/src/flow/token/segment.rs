//! The fields of client segments that the token router reads.

use std::net::SocketAddrV4;

use super::routing_token::RoutingToken;

/// The role of a client segment in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentKind {
    /// It opens a flow, or retransmits an opening.
    Open {
        /// The number of earlier copies that the client has sent, 0 for the first.
        copy: u32,
    },
    /// It belongs to an open flow.
    Data,
    /// It closes an open flow: no data follows.
    Finish,
    /// It aborts the flow.
    Abort,
}

/// The identity of a flow: the addresses and ports of client and service.
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
    /// Its role in the flow.
    pub kind: SegmentKind,
    /// The token that the client echoes, if it has received one on this flow.
    pub token: Option<RoutingToken>,
    /// The sequence number of its first byte of data.
    pub seq: u32,
    /// The next sequence number that the client expects from the target.
    pub ack: u32,
    /// The number of data bytes in the segment.
    pub payload: u16,
}
