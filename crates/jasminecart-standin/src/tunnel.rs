//! Encapsulation and decapsulation of the packets that stand-ins send and receive.

use std::net::SocketAddr;

use jasminecart_core::flow::{FlowKey, PacketKind};
use jasminecart_packet::gue::{self, HEADROOM};
use jasminecart_packet::{Content, Origin};
use tokio::net::UdpSocket;

use crate::stack::Stack;

/// The largest datagram that stand-ins exchange.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A decapsulated packet.
pub(crate) struct Packet {
    pub(crate) key: FlowKey,
    pub(crate) kind: PacketKind,
    pub(crate) bytes: Vec<u8>,
}

/// Decapsulates a datagram. Returns `None` for anything but a complete packet with ports.
pub(crate) fn decapsulate(datagram: &[u8]) -> Option<Packet> {
    let received = jasminecart_packet::parse(datagram, Origin::Fabric).ok()?;
    let Content::Flow(flow) = received.content else { return None };
    let bytes = datagram[received.inner..].to_vec();
    Some(Packet { key: flow.key, kind: flow.kind, bytes })
}

/// Encapsulates and sends every packet in the send queue of a stack.
pub(crate) fn flush(stack: &mut Stack, socket: &UdpSocket, to: SocketAddr) {
    while let Some(packet) = stack.pop() {
        let mut buf = vec![0; HEADROOM];
        buf.extend_from_slice(&packet);
        if let Some(start) = gue::encapsulate(&mut buf, HEADROOM, None) {
            // When the send buffer of the socket is full, the packet is lost, as in any network. TCP
            // retransmits it.
            let _ = socket.try_send_to(&buf[start..], to);
        }
    }
}
