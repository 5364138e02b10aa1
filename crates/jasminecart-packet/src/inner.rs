//! Parsing of inner packets into the fields that the router needs.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    IpNumber, IpSlice, Ipv6ExtensionSlice, LaxIpSlice, TcpSlice, UdpHeaderSlice, UdpSlice,
    ip_number,
};
use jasminecart_core::flow::{FlowKey, FragmentKey, PacketKind};
use jasminecart_core::version::Protocol;

use crate::errors::{PacketError, Result};
use crate::gue::IpVersion;

/// The length of the header before the quoted packet in an ICMP or ICMPv6 error, in bytes.
const ICMP_HEADER_BYTES: usize = 8;

/// An inner packet as input of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inner {
    /// A packet with ports, or an ICMP error that quotes one.
    Flow {
        /// The key of the flow, as seen in packets from the client.
        key: FlowKey,
        /// The kind of the packet.
        kind: PacketKind,
    },
    /// A fragment other than the first.
    Fragment(FragmentKey),
}

/// The fragmentation fields of an IP header.
#[derive(Clone, Copy)]
struct Fragment {
    id: u32,
    /// The offset in units of 8 bytes.
    offset: u16,
}

/// Parses an inner packet.
///
/// # Errors
///
/// Returns the reason to drop the packet.
pub fn parse(packet: &[u8], version: IpVersion) -> Result<Inner> {
    let ip = IpSlice::from_slice(packet).map_err(|_| PacketError::IpHeader)?;
    if (version == IpVersion::V4) != matches!(ip, IpSlice::Ipv4(_)) {
        return Err(PacketError::IpVersion);
    }
    let protocol = ip.payload_ip_number();
    let payload = ip.payload().payload;
    let (source, destination) = (ip.source_addr(), ip.destination_addr());
    match fragment(&ip) {
        Some(fragment) if fragment.offset > 0 => {
            if protocol == ip_number::TCP && fragment.offset == 1 {
                return Err(PacketError::TinyFragment);
            }
            let (protocol, id) = (protocol.0, fragment.id);
            Ok(Inner::Fragment(FragmentKey { source, destination, protocol, id }))
        }
        Some(first) => parse_first_fragment(protocol, payload, source, destination, first.id),
        None => parse_unfragmented(protocol, payload, source, destination),
    }
}

fn fragment(ip: &IpSlice<'_>) -> Option<Fragment> {
    if !ip.is_fragmenting_payload() {
        return None;
    }
    match ip {
        IpSlice::Ipv4(v4) => {
            let header = v4.header();
            let offset = header.fragments_offset().value();
            Some(Fragment { id: u32::from(header.identification()), offset })
        }
        IpSlice::Ipv6(v6) => v6.extensions().clone().into_iter().find_map(|extension| {
            let Ipv6ExtensionSlice::Fragment(header) = extension else { return None };
            let offset = header.fragment_offset().value();
            Some(Fragment { id: header.identification(), offset })
        }),
    }
}

fn parse_unfragmented(
    protocol: IpNumber,
    payload: &[u8],
    source: IpAddr,
    destination: IpAddr,
) -> Result<Inner> {
    match protocol {
        ip_number::TCP => {
            let tcp = TcpSlice::from_slice(payload).map_err(|_| PacketError::TcpHeader)?;
            let ports = (tcp.source_port(), tcp.destination_port());
            Ok(flow(Protocol::Tcp, source, destination, ports, tcp_kind(&tcp)?))
        }
        ip_number::UDP => {
            let udp = UdpSlice::from_slice(payload).map_err(|_| PacketError::UdpHeader)?;
            let ports = (udp.source_port(), udp.destination_port());
            Ok(flow(Protocol::Udp, source, destination, ports, PacketKind::Datagram))
        }
        ip_number::ICMP if destination.is_ipv4() => parse_icmp(payload, destination),
        ip_number::IPV6_ICMP if destination.is_ipv6() => parse_icmp(payload, destination),
        _ => Err(PacketError::IpProtocol),
    }
}

fn parse_first_fragment(
    protocol: IpNumber,
    payload: &[u8],
    source: IpAddr,
    destination: IpAddr,
    id: u32,
) -> Result<Inner> {
    match protocol {
        ip_number::TCP => {
            let tcp = TcpSlice::from_slice(payload).map_err(|_| PacketError::TcpHeader)?;
            let syn = tcp_kind(&tcp)? == PacketKind::Syn;
            let ports = (tcp.source_port(), tcp.destination_port());
            let kind = PacketKind::FirstFragment { id, syn };
            Ok(flow(Protocol::Tcp, source, destination, ports, kind))
        }
        ip_number::UDP => {
            let udp = UdpHeaderSlice::from_slice(payload).map_err(|_| PacketError::UdpHeader)?;
            let ports = (udp.source_port(), udp.destination_port());
            let kind = PacketKind::FirstFragment { id, syn: false };
            Ok(flow(Protocol::Udp, source, destination, ports, kind))
        }
        ip_number::ICMP | ip_number::IPV6_ICMP => Err(PacketError::IcmpType),
        _ => Err(PacketError::IpProtocol),
    }
}

fn tcp_kind(tcp: &TcpSlice<'_>) -> Result<PacketKind> {
    match (tcp.syn(), tcp.fin(), tcp.rst()) {
        (true, true, _) | (true, _, true) => Err(PacketError::TcpFlags),
        (true, false, false) if !tcp.ack() => Ok(PacketKind::Syn),
        (_, _, true) => Ok(PacketKind::Rst),
        (_, true, _) => Ok(PacketKind::Fin),
        _ => Ok(PacketKind::Data),
    }
}

/// Parses an ICMP error that a router sent about a packet from a target to a client.
///
/// The kind is [`PacketKind::Data`] for TCP and UDP, because an error must not register a flow.
fn parse_icmp(payload: &[u8], destination: IpAddr) -> Result<Inner> {
    let is_error = match (payload.first(), destination) {
        // Destination unreachable, time exceeded and parameter problem.
        (Some(kind), IpAddr::V4(_)) => matches!(kind, 3 | 11 | 12),
        // Destination unreachable, packet too big, time exceeded and parameter problem.
        (Some(kind), IpAddr::V6(_)) => matches!(kind, 1..=4),
        (None, _) => false,
    };
    if !is_error {
        return Err(PacketError::IcmpType);
    }
    let quote = payload.get(ICMP_HEADER_BYTES..).ok_or(PacketError::IcmpQuote)?;
    parse_quote(quote, destination)
}

fn parse_quote(quote: &[u8], service: IpAddr) -> Result<Inner> {
    let (ip, parse_error) = LaxIpSlice::from_slice(quote).map_err(|_| PacketError::IcmpQuote)?;
    let ports = ip.payload().payload.first_chunk::<4>();
    let is_later_fragment = match &ip {
        LaxIpSlice::Ipv4(v4) => v4.header().fragments_offset().value() > 0,
        LaxIpSlice::Ipv6(v6) => v6.is_payload_fragmented(),
    };
    // The quoted packet has to be one from the service to the client. An error about any other
    // packet is forged.
    if parse_error.is_some() || is_later_fragment || ip.source_addr() != service {
        return Err(PacketError::IcmpQuote);
    }
    let protocol = match ip.payload_ip_number() {
        ip_number::TCP => Protocol::Tcp,
        ip_number::UDP => Protocol::Udp,
        _ => return Err(PacketError::IcmpQuote),
    };
    let &[s0, s1, d0, d1] = ports.ok_or(PacketError::IcmpQuote)?;
    let ports = (u16::from_be_bytes([d0, d1]), u16::from_be_bytes([s0, s1]));
    Ok(flow(protocol, ip.destination_addr(), service, ports, PacketKind::Data))
}

fn flow(
    protocol: Protocol,
    source: IpAddr,
    destination: IpAddr,
    ports: (u16, u16),
    kind: PacketKind,
) -> Inner {
    let source = SocketAddr::new(source, ports.0);
    let destination = SocketAddr::new(destination, ports.1);
    Inner::Flow { key: FlowKey { protocol, source, destination }, kind }
}
