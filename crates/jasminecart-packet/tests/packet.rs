//! Tests of encapsulation, decapsulation and the parsing of inner headers.

use std::net::SocketAddr;

use etherparse::{Ipv4Header, PacketBuilder, ip_number};
use jasminecart_core::flow::{FlowKey, ForwardHeader, PacketKind};
use jasminecart_core::version::Protocol;
use jasminecart_packet::gue::{self, HEADROOM, MAX_INNER_BYTES};
use jasminecart_packet::{Content, Origin, PacketError, parse, ttl};
use proptest::prelude::*;
use test_case::test_case;

const CLIENT: [u8; 4] = [192, 0, 2, 7];
const SERVICE: [u8; 4] = [10, 0, 0, 1];
const FORWARD: ForwardHeader = ForwardHeader { hops: 2, entry: 7, target: u64::MAX, record: true };

fn tcp(flags: &str) -> Vec<u8> {
    let mut step = PacketBuilder::ipv4(CLIENT, SERVICE, 64).tcp(40_000, 443, 1, 1024);
    for flag in flags.chars() {
        step = match flag {
            'S' => step.syn(),
            'A' => step.ack(1),
            'F' => step.fin(),
            _ => step.rst(),
        };
    }
    let mut buf = Vec::new();
    step.write(&mut buf, b"hello").unwrap();
    buf
}

fn tcp6() -> Vec<u8> {
    let (source, destination) = ([0x20; 16], [0x30; 16]);
    let step = PacketBuilder::ipv6(source, destination, 64).tcp(40_000, 443, 1, 1024).syn();
    let mut buf = Vec::new();
    step.write(&mut buf, b"").unwrap();
    buf
}

fn udp() -> Vec<u8> {
    let mut buf = Vec::new();
    PacketBuilder::ipv4(CLIENT, SERVICE, 64).udp(40_000, 443).write(&mut buf, b"hello").unwrap();
    buf
}

/// Marks an IPv4 packet as a fragment.
fn fragment(mut packet: Vec<u8>, offset: u16, more: bool) -> Vec<u8> {
    packet[4..6].copy_from_slice(&77u16.to_be_bytes());
    packet[6..8].copy_from_slice(&(offset | if more { 0x2000 } else { 0 }).to_be_bytes());
    packet
}

/// Adds a fragment header to an IPv6 packet without extension headers.
fn fragment6(packet: Vec<u8>, offset: u16) -> Vec<u8> {
    let length = u16::from_be_bytes([packet[4], packet[5]]) + 8;
    let mut buf = packet[..40].to_vec();
    buf[4..6].copy_from_slice(&length.to_be_bytes());
    let next = std::mem::replace(&mut buf[6], 44);
    let bits = (offset << 3) | 1;
    buf.extend_from_slice(&[next, 0, (bits >> 8) as u8, bits as u8, 0, 1, 0, 77]);
    buf.extend_from_slice(&packet[40..]);
    buf
}

/// Returns an ICMP error of a router about a packet from `source` to `destination`, quoted up to
/// `bytes`.
fn icmp(kind: u8, source: [u8; 4], destination: [u8; 4], protocol: u8, bytes: usize) -> Vec<u8> {
    let header = Ipv4Header::new(100, 9, protocol.into(), source, destination).unwrap();
    let mut quote = header.to_bytes().to_vec();
    quote.extend_from_slice(&[0x01, 0xbb, 0x9c, 0x40, 0, 0, 0, 1]);
    quote.truncate(bytes);
    let mut payload = vec![kind, 4, 0, 0, 0, 0, 0, 0];
    payload.extend_from_slice(&quote);
    let router = [198, 51, 100, 1];
    let mut buf =
        Ipv4Header::new(payload.len() as u16, 64, ip_number::ICMP, router, SERVICE).unwrap();
    buf.header_checksum = buf.calc_header_checksum();
    let mut packet = buf.to_bytes().to_vec();
    packet.extend_from_slice(&payload);
    packet
}

fn from_client(inner: &[u8]) -> Vec<u8> {
    let mut buf = vec![0; HEADROOM];
    buf.extend_from_slice(inner);
    let start = gue::encapsulate(&mut buf, HEADROOM, None).unwrap();
    buf.split_off(start)
}

fn key(protocol: Protocol) -> FlowKey {
    let source = SocketAddr::from((CLIENT, 40_000));
    FlowKey { protocol, source, destination: SocketAddr::from((SERVICE, 443)) }
}

#[test_case(tcp("S"), Protocol::Tcp, PacketKind::Syn; "syn")]
#[test_case(tcp("SA"), Protocol::Tcp, PacketKind::Data; "syn with ack is not a new flow")]
#[test_case(tcp("A"), Protocol::Tcp, PacketKind::Data; "data")]
#[test_case(tcp("FA"), Protocol::Tcp, PacketKind::Fin; "fin")]
#[test_case(tcp("RA"), Protocol::Tcp, PacketKind::Rst; "rst")]
#[test_case(tcp("FR"), Protocol::Tcp, PacketKind::Rst; "rst wins over fin")]
#[test_case(udp(), Protocol::Udp, PacketKind::Datagram; "datagram")]
#[test_case(fragment(tcp("S"), 0, true), Protocol::Tcp, PacketKind::FirstFragment { id: 77, syn: true }; "first fragment of a syn")]
#[test_case(fragment(udp(), 0, true), Protocol::Udp, PacketKind::FirstFragment { id: 77, syn: false }; "first fragment of a datagram")]
#[test_case(icmp(3, SERVICE, CLIENT, 6, 28), Protocol::Tcp, PacketKind::Data; "icmp error about a segment")]
#[test_case(icmp(11, SERVICE, CLIENT, 17, 28), Protocol::Udp, PacketKind::Data; "icmp error about a datagram registers no flow")]
fn a_packet_of_a_flow_is_recognised(packet: Vec<u8>, protocol: Protocol, kind: PacketKind) {
    let received = parse(&from_client(&packet), Origin::Fabric).unwrap();
    let Content::Flow(flow) = received.content else { panic!("{received:?}") };
    assert_eq!((flow.key, flow.kind, flow.forwarded), (key(protocol), kind, None));
}

#[test_case(fragment(udp(), 4, false), 17; "IPv4")]
#[test_case(fragment6(tcp6(), 4), 6; "IPv6")]
fn a_later_fragment_is_identified_without_ports(packet: Vec<u8>, protocol: u8) {
    let received = parse(&from_client(&packet), Origin::Fabric).unwrap();
    let Content::Fragment { key, .. } = received.content else { panic!("{received:?}") };
    assert_eq!((key.protocol, key.id), (protocol, if protocol == 17 { 77 } else { 0x1004d }));
}

#[test]
fn an_ipv6_first_fragment_has_ports() {
    let received = parse(&from_client(&fragment6(tcp6(), 0)), Origin::Fabric).unwrap();
    let Content::Flow(flow) = received.content else { panic!("{received:?}") };
    assert_eq!(flow.kind, PacketKind::FirstFragment { id: 0x1004d, syn: true });
}

// Guards against a malformed packet that is forwarded to a target, and against drops that are
// counted under the wrong reason.
#[test_case(&[0, 4, 0], PacketError::GueTruncated; "GUE header cut off")]
#[test_case(&[0x40, 4, 0, 0], PacketError::GueVersion; "GUE version 1")]
#[test_case(&[0x20, 4, 0, 0], PacketError::GueControl; "GUE control message")]
#[test_case(&[0, 4, 0, 1], PacketError::GueFlags; "GUE flags")]
#[test_case(&[0, 6, 0, 0], PacketError::GueProtocol; "GUE payload is bare TCP")]
#[test_case(&[31, 4, 0, 0], PacketError::GueTruncated; "private data cut off")]
#[test_case(&[0, 4, 0, 0], PacketError::IpHeader; "no inner packet")]
#[test_case(&[&[0, 4, 0, 0][..], &tcp("S")[..30]].concat(), PacketError::IpHeader; "inner packet cut off")]
#[test_case(&[&[0, 41, 0, 0][..], &tcp("S")].concat(), PacketError::IpVersion; "IPv4 announced as IPv6")]
#[test_case(&[&[1, 4, 0, 0, 0, 0, 0, 0][..], &tcp("S")].concat(), PacketError::ForwardFromClient; "forward header from the fabric")]
#[test_case(&from_client(&tcp("SF")), PacketError::TcpFlags; "SYN with FIN")]
#[test_case(&from_client(&fragment(tcp("A"), 1, false)), PacketError::TinyFragment; "fragment over the TCP flags")]
#[test_case(&from_client(&icmp(8, SERVICE, CLIENT, 6, 28)), PacketError::IcmpType; "echo request")]
#[test_case(&from_client(&icmp(3, CLIENT, SERVICE, 6, 28)), PacketError::IcmpQuote; "ICMP error about a packet of another sender")]
#[test_case(&from_client(&icmp(3, SERVICE, CLIENT, 6, 22)), PacketError::IcmpQuote; "quoted ports cut off")]
#[test_case(&from_client(&icmp(3, SERVICE, CLIENT, 47, 28)), PacketError::IcmpQuote; "quoted packet without ports")]
#[test_case(&from_client(&fragment(icmp(3, SERVICE, CLIENT, 6, 28), 0, true)), PacketError::IcmpType; "fragmented ICMP")]
#[test_case(&[&[0, 4, 0, 0][..], &[0x45; MAX_INNER_BYTES + 1]].concat(), PacketError::TooLarge; "too large to encapsulate")]
fn a_malformed_packet_is_dropped_with_its_reason(datagram: &[u8], expected: PacketError) {
    assert_eq!(parse(datagram, Origin::Fabric), Err(expected));
}

#[test]
fn counters_have_distinct_names() {
    let mut names: Vec<_> = PacketError::ALL.map(PacketError::counter).to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), PacketError::ALL.len());
    // The packet listener indexes its counters by reason.
    assert!(PacketError::ALL.iter().enumerate().all(|(index, error)| *error as usize == index));
}

#[test]
fn a_forward_header_is_decoded_as_encoded() {
    let mut buf = vec![0; HEADROOM];
    buf.extend_from_slice(&tcp("A"));
    let start = gue::encapsulate(&mut buf, HEADROOM, Some(&FORWARD)).unwrap();
    let received = parse(&buf[start..], Origin::Peer).unwrap();
    let Content::Flow(flow) = received.content else { panic!("{received:?}") };
    assert_eq!(flow.forwarded, Some(FORWARD));
    assert_eq!(received.inner, HEADROOM);
}

// Guards against misreading the forward header of a VM that runs another version.
#[test_case(4, 2, PacketError::ForwardMalformed; "unknown version")]
#[test_case(6, 2, PacketError::ForwardMalformed; "record is not a boolean")]
#[test_case(7, 1, PacketError::ForwardMalformed; "reserved byte set")]
#[test_case(0, 0, PacketError::ForwardMissing; "no header")]
#[test_case(0, 4, PacketError::ForwardMalformed; "header too short")]
fn a_malformed_forward_header_is_refused(offset: usize, value: u8, expected: PacketError) {
    let mut buf = vec![0; HEADROOM];
    buf.extend_from_slice(&tcp("A"));
    gue::encapsulate(&mut buf, HEADROOM, Some(&FORWARD)).unwrap();
    buf[offset] = value;
    assert_eq!(parse(&buf, Origin::Peer), Err(expected));
}

#[test_case(64, Ok(63); "usual")]
#[test_case(2, Ok(1); "last hop")]
#[test_case(1, Err(PacketError::TtlExpired); "expires here")]
#[test_case(0, Err(PacketError::TtlExpired); "already zero")]
fn the_ttl_is_decremented(value: u8, expected: Result<u8, PacketError>) {
    let mut packet = tcp("S");
    packet[8] = value;
    assert_eq!(ttl::decrement(&mut packet).map(|()| packet[8]), expected);
    let mut packet = tcp6();
    packet[7] = value;
    assert_eq!(ttl::decrement(&mut packet).map(|()| packet[7]), expected);
}

proptest! {
    // Guards against a wrong checksum after the TTL changed, for which targets would drop the
    // packet.
    #[test]
    fn the_checksum_follows_the_ttl(source: [u8; 4], destination: [u8; 4], time in 2u8.., id: u16) {
        let mut header = Ipv4Header::new(0, time, ip_number::TCP, source, destination).unwrap();
        header.identification = id;
        header.header_checksum = header.calc_header_checksum();
        let mut packet = header.to_bytes().to_vec();
        ttl::decrement(&mut packet).unwrap();
        let header = Ipv4Header::from_slice(&packet).unwrap().0;
        let (found, expected) = (header.header_checksum, header.calc_header_checksum());
        // 0x0000 and 0xffff are the same number in ones' complement.
        prop_assert!(found == expected || (found == 0xffff && expected == 0));
    }

    // Guards against a panic that any sender could trigger.
    #[test]
    fn any_bytes_are_parsed_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse(&bytes, Origin::Fabric);
        let _ = parse(&bytes, Origin::Peer);
        let _ = ttl::decrement(&mut bytes.clone());
    }

    // Guards against a panic in the inner parsers. Random bytes rarely pass the first checks, so
    // this test corrupts valid packets.
    #[test]
    fn corrupted_packets_are_parsed_without_a_panic(
        choice in 0usize..6, at: prop::sample::Index, value: u8, cut: prop::sample::Index,
    ) {
        let packets = [
            tcp("S"), udp(), tcp6(), fragment6(tcp6(), 0), fragment(udp(), 0, true),
            icmp(3, SERVICE, CLIENT, 6, 28),
        ];
        let mut bytes = from_client(&packets[choice]);
        let at = at.index(bytes.len());
        bytes[at] = value;
        let cut = cut.index(bytes.len()) + 1;
        let _ = parse(&bytes, Origin::Fabric);
        let _ = parse(&bytes[..cut], Origin::Fabric);
    }
}
