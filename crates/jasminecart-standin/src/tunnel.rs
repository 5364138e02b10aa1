//! Sending and receiving of encapsulated packets by stand-ins.

use std::net::SocketAddr;

use jasminecart_core::flow::{FlowKey, PacketKind};
use jasminecart_packet::gue::{self, HEADROOM};
use jasminecart_packet::{Content, Origin};
use tokio::net::UdpSocket;

use crate::stack::Stack;

/// The largest datagram that stand-ins exchange.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A packet taken out of its encapsulation.
pub(crate) struct Packet {
    pub(crate) key: FlowKey,
    pub(crate) kind: PacketKind,
    pub(crate) bytes: Vec<u8>,
}

/// Decapsulates a datagram. Returns `None` for anything but a whole packet with ports.
pub(crate) fn open(datagram: &[u8]) -> Option<Packet> {
    let received = jasminecart_packet::parse(datagram, Origin::Fabric).ok()?;
    let Content::Flow(flow) = received.content else { return None };
    let bytes = datagram[received.inner..].to_vec();
    Some(Packet { key: flow.key, kind: flow.kind, bytes })
}

/// Sends every packet that a stack has ready.
pub(crate) fn flush(stack: &mut Stack, socket: &UdpSocket, to: SocketAddr) {
    while let Some(packet) = stack.pop() {
        let mut buf = vec![0; HEADROOM];
        buf.extend_from_slice(&packet);
        if let Some(start) = gue::encapsulate(&mut buf, HEADROOM, None) {
            // A full socket loses the packet, as any network may. TCP sends it again.
            let _ = socket.try_send_to(&buf[start..], to);
        }
    }
}
