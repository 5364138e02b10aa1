//! Tests of the packet listener over its sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use jasminecart_core::flow::{BucketRouter, FlowKey, FlowLimits, ForwardHeader};
use jasminecart_core::version::{Document, Protocol, Revision};
use jasminecart_core::{Name, VmId};
use jasminecart_entry::clock::Clock;
use jasminecart_entry::packet_listener::{
    PacketCommand, PacketCounters, PacketListener, PacketListenerConfig,
};
use jasminecart_packet::gue::{self, HEADROOM, MAX_INNER_BYTES};
use test_case::test_case;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

const TTL_OFFSET: usize = 8;
const TARGETS: usize = 8;

/// Returns an IPv4 packet of this length with a UDP datagram from a client to 10.99.0.1:443.
fn datagram(bytes: usize, ttl: u8) -> Vec<u8> {
    let mut packet = vec![0; bytes];
    packet[0] = 0x45;
    packet[2..4].copy_from_slice(&(bytes as u16).to_be_bytes());
    packet[TTL_OFFSET] = ttl;
    packet[9] = 17;
    packet[12..20].copy_from_slice(&[192, 0, 2, 7, 10, 99, 0, 1]);
    packet[20..24].copy_from_slice(&[0x9c, 0x40, 0x01, 0xbb]);
    packet[24..26].copy_from_slice(&((bytes - 20) as u16).to_be_bytes());
    packet
}

fn encapsulated(packet: &[u8], forward: Option<&ForwardHeader>) -> Vec<u8> {
    let mut buf = vec![0; HEADROOM];
    buf.extend_from_slice(packet);
    let start = gue::encapsulate(&mut buf, HEADROOM, forward).unwrap();
    buf.split_off(start)
}

struct World {
    listener: PacketListener,
    targets: Vec<UdpSocket>,
    sender: UdpSocket,
}

impl World {
    async fn start() -> World {
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut targets = Vec::new();
        let mut text =
            "[service s]\naddress = 10.99.0.1:443/udp, 10.99.0.1:443/tcp, [fd00::1]:443/udp\n"
                .to_owned();
        for number in 0..TARGETS {
            let target = UdpSocket::bind(local).await.unwrap();
            let address = target.local_addr().unwrap();
            text += &format!("[target t{number}]\nservice = s\ndata_centre = dc\n");
            text += &format!("address = {address}\npacket_port = {}\n", address.port());
            targets.push(target);
        }
        let sender = UdpSocket::bind(local).await.unwrap();
        let config = PacketListenerConfig { packets: local, peer_packets: local };
        let router = BucketRouter::new(VmId::new("dc", "vm"), 1, FlowLimits::default());
        let (outgoing, _) = mpsc::channel(16);
        let listener = PacketListener::start(config, Clock::new(), router, outgoing).await.unwrap();
        let document = Arc::new(Document::parse(Revision(1), &text).unwrap());
        listener.commands().send(PacketCommand::Document(document)).await.unwrap();
        World { listener, targets, sender }
    }

    async fn send(&self, to_peer_socket: bool, datagram: &[u8]) {
        let (packets, peer_packets) = self.listener.addresses();
        let to = if to_peer_socket { peer_packets } else { packets };
        self.sender.send_to(datagram, to).await.unwrap();
    }

    /// Receives one datagram at any target. Returns the number of the target and the datagram.
    async fn receive(&self) -> (usize, Vec<u8>) {
        let mut buf = vec![0; 2_048];
        loop {
            for (number, target) in self.targets.iter().enumerate() {
                if let Ok(bytes) = target.try_recv(&mut buf) {
                    buf.truncate(bytes);
                    return (number, buf);
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the counts after this many datagrams.
    async fn counters(&self, datagrams: u64) -> PacketCounters {
        loop {
            let (reply, rx) = oneshot::channel();
            let command = PacketCommand::Counters { reply };
            self.listener.commands().send(command).await.unwrap();
            let counters = rx.await.unwrap();
            if counters.from_fabric + counters.from_peers >= datagrams {
                return counters;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

#[test_case(false; "from the fabric")]
#[test_case(true; "from another entry VM")]
#[tokio::test]
async fn a_packet_reaches_the_target_without_a_forward_header(from_peer: bool) {
    let world = World::start().await;
    let forward = ForwardHeader { hops: 1, entry: 1, target: 0, record: false };
    let sent = encapsulated(&datagram(100, 64), from_peer.then_some(&forward));
    world.send(from_peer, &sent).await;
    let (_, received) = world.receive().await;
    let mut expected = encapsulated(&datagram(100, 63), None);
    // The checksum of the sent header is 0. Decrementing the TTL adds 1 to its high byte (RFC 1624).
    expected[4 + 10] = 1;
    assert_eq!(received, expected);
}

// Guards against forward headers that a client forges to control the router, and against drops that are not
// counted.
#[test_case(false, &encapsulated(&datagram(100, 64), Some(&ForwardHeader::default())), "forward_header_from_client"; "forward header from a client")]
#[test_case(true, &encapsulated(&datagram(100, 64), None), "forward_header_missing"; "client packet on the peer socket")]
#[test_case(false, &encapsulated(&datagram(100, 1), None), "ttl_expired"; "TTL expired")]
#[test_case(false, &encapsulated(&datagram(MAX_INNER_BYTES + 1, 64), None), "too_large"; "too large for the MTU")]
#[test_case(false, b"", "gue_truncated"; "empty datagram")]
#[tokio::test]
async fn a_bad_datagram_is_counted_and_the_next_one_is_served(
    to_peer_socket: bool,
    bad: &[u8],
    counter: &str,
) {
    let world = World::start().await;
    world.send(to_peer_socket, bad).await;
    world.send(false, &encapsulated(&datagram(MAX_INNER_BYTES, 64), None)).await;
    world.receive().await;
    let counters = world.counters(2).await;
    let refused: Vec<_> = counters.refused.iter().filter(|(_, count)| **count > 0).collect();
    assert_eq!(refused, [(&counter, &1)]);
}

#[tokio::test]
async fn an_explanation_names_the_target() {
    let world = World::start().await;
    let (reply, rx) = oneshot::channel();
    let key = FlowKey {
        protocol: Protocol::Udp,
        source: "192.0.2.7:40000".parse().unwrap(),
        destination: "10.99.0.1:443".parse().unwrap(),
    };
    world.listener.commands().send(PacketCommand::Explain { key, reply }).await.unwrap();
    let expected = rx.await.unwrap().target;
    world.send(false, &encapsulated(&datagram(100, 64), None)).await;
    let (number, _) = world.receive().await;
    assert_eq!(expected, Some(Name::new(format!("t{number}"))));
}

/// Turns an IPv4 packet into a fragment of itself.
fn fragment(mut packet: Vec<u8>, offset: u16, more: bool) -> Vec<u8> {
    packet[4..6].copy_from_slice(&77u16.to_be_bytes());
    packet[6..8].copy_from_slice(&(offset | if more { 0x2000 } else { 0 }).to_be_bytes());
    packet
}

/// Returns an ICMP error that a router sends to the service about a reply to the flow of [`datagram`].
fn unreachable() -> Vec<u8> {
    let mut quote = datagram(28, 60);
    quote[12..24].copy_from_slice(&[10, 99, 0, 1, 192, 0, 2, 7, 0x01, 0xbb, 0x9c, 0x40]);
    let mut packet = datagram(28 + quote.len(), 64);
    packet[9] = 1;
    packet[12..16].copy_from_slice(&[198, 51, 100, 1]);
    packet[20..28].copy_from_slice(&[3, 4, 0, 0, 0, 0, 0, 0]);
    packet[28..].copy_from_slice(&quote);
    packet
}

// Guards against fragments and ICMP errors that reach another target than the flow that they belong to.
#[test_case(&[datagram(100, 64), unreachable()]; "ICMP error")]
#[test_case(&[datagram(100, 64), fragment(datagram(1_000, 64), 0, true), fragment(datagram(100, 64), 122, false)]; "first and later fragment")]
#[tokio::test]
async fn packets_that_belong_to_a_flow_reach_its_target(packets: &[Vec<u8>]) {
    let world = World::start().await;
    let mut numbers = Vec::new();
    for packet in packets {
        world.send(false, &encapsulated(packet, None)).await;
        numbers.push(world.receive().await.0);
    }
    numbers.dedup();
    assert_eq!(numbers.len(), 1, "{numbers:?}");
}

#[tokio::test]
async fn an_ipv6_packet_travels_over_ipv4() {
    let world = World::start().await;
    let mut packet = vec![0; 48];
    packet[0] = 0x60;
    packet[5] = 8;
    packet[6..8].copy_from_slice(&[17, 64]);
    packet[8..24].copy_from_slice(&[0xfd; 16]);
    packet[24..40].copy_from_slice(&[0xfd, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
    packet[40..46].copy_from_slice(&[0x9c, 0x40, 0x01, 0xbb, 0, 8]);
    world.send(false, &encapsulated(&packet, None)).await;
    packet[7] = 63;
    assert_eq!(world.receive().await.1, encapsulated(&packet, None));
}

#[tokio::test]
async fn dropping_the_listener_ends_its_task() {
    let world = World::start().await;
    let commands = world.listener.commands();
    drop(world);
    commands.closed().await;
}
