//! The parts of a client packet that the bucket router reads.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::version::{Protocol, ServiceAddress};

/// The addresses and protocol that identify a flow.
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
    /// Returns the service address of the flow.
    pub fn service_address(&self) -> ServiceAddress {
        ServiceAddress { socket: self.destination, protocol: self.protocol }
    }
}

/// The kind of a packet, as far as it matters for routing.
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
    /// The first fragment of a packet. Only this fragment contains the ports.
    FirstFragment {
        /// The identification of the fragmented packet.
        id: u32,
        /// Whether the fragment carries a SYN without ACK.
        syn: bool,
    },
}

/// The header that an entry VM adds to a client packet that it forwards to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// The number of VMs that have forwarded the packet.
    pub hops: u8,
    /// The [`crate::flow::vm_hash`] of the VM that received the packet from the fabric.
    pub entry: u64,
    /// The key of the target that an owner chose or that the sender has an entry or hint for, or 0
    /// for none.
    pub target: u64,
    /// Whether the receiver, as an owner, has to record the target. If the target is 0, the
    /// receiver has to choose one in place of the first owner, whose view is not up to date.
    pub record: bool,
}

/// A client packet as input of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// The flow.
    pub key: FlowKey,
    /// The kind of the packet.
    pub kind: PacketKind,
    /// The forward header, if another VM forwarded the packet.
    pub forwarded: Option<ForwardHeader>,
}

/// Identifies a fragmented packet, so that later fragments, which have no ports, can be matched to
/// its flow.
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
