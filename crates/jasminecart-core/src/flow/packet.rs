//! Client packets as the router sees them.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::version::{Protocol, ServiceAddress};

/// The identity of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The client's address and port.
    pub source: SocketAddr,
    /// The service's address and port.
    pub destination: SocketAddr,
}

impl FlowKey {
    /// Returns the service address that the flow goes to.
    pub fn service_address(&self) -> ServiceAddress {
        ServiceAddress { socket: self.destination, protocol: self.protocol }
    }
}

/// What the router needs to know of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A TCP segment with SYN and without ACK.
    Syn,
    /// A TCP segment with FIN.
    Fin,
    /// A TCP segment with RST.
    Rst,
    /// Any other TCP segment, or an ICMP error that quotes a segment of the flow.
    Data,
    /// A UDP datagram.
    Datagram,
    /// A first fragment with ports, whose later fragments have none.
    FirstFragment {
        /// The identification of the fragmented packet.
        id: u32,
        /// Whether the fragment carries a SYN without ACK.
        syn: bool,
    },
}

/// The header that one entry VM puts before a client packet which it passes to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// How many VMs passed the packet on.
    pub hops: u8,
    /// The identity of the VM that received the packet from the fabric, as [`crate::flow::vm_hash`].
    pub entry: u64,
    /// The key of the target that an owner decided on, or that the sender holds a hint for, or 0.
    pub target: u64,
    /// Whether the receiver has to record the target, as an owner. With a target of 0 it has to decide in
    /// place of the first owner, which is not fresh.
    pub record: bool,
}

/// A client packet, or what a later fragment tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// The flow.
    pub key: FlowKey,
    /// The kind of the packet.
    pub kind: PacketKind,
    /// The header of the VM that passed the packet on.
    pub forwarded: Option<ForwardHeader>,
}

/// The identity of a fragmented packet, by which later fragments without ports are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FragmentKey {
    /// The client's address.
    pub source: IpAddr,
    /// The service's address.
    pub destination: IpAddr,
    /// The IP protocol number.
    pub protocol: u8,
    /// The identification field.
    pub id: u32,
}
