//! Reasons to drop a packet before it is routed.

use thiserror::Error;

/// The result of parsing a packet.
pub type Result<T> = std::result::Result<T, PacketError>;

/// The reason to drop a packet before it is routed. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum PacketError {
    /// The datagram is shorter than its GUE header.
    #[error("the datagram is shorter than its GUE header")]
    GueTruncated,
    /// The GUE version is not 0.
    #[error("the GUE version is not 0")]
    GueVersion,
    /// The datagram is a GUE control message.
    #[error("GUE control messages are not supported")]
    GueControl,
    /// The GUE header has flags set, which announce extension fields of unknown length.
    #[error("GUE extension fields are not supported")]
    GueFlags,
    /// The GUE payload is neither IPv4 nor IPv6.
    #[error("the GUE payload is neither IPv4 nor IPv6")]
    GueProtocol,
    /// A datagram from the fabric has GUE private data, which only entry VMs may send.
    #[error("a datagram from the fabric carries a forward header")]
    ForwardFromClient,
    /// A datagram from an entry VM has no forward header.
    #[error("a datagram from an entry VM carries no forward header")]
    ForwardMissing,
    /// The forward header is malformed or of another version.
    #[error("the forward header is malformed or of another version")]
    ForwardMalformed,
    /// The inner packet exceeds the MTU after encapsulation.
    #[error("the packet is too large for the MTU after encapsulation")]
    TooLarge,
    /// The inner IP header is malformed or truncated.
    #[error("the inner IP header is malformed or truncated")]
    IpHeader,
    /// The inner IP version differs from the one in the GUE header.
    #[error("the inner IP version differs from the GUE header")]
    IpVersion,
    /// The inner packet is neither TCP, UDP nor ICMP.
    #[error("the inner packet is neither TCP, UDP nor ICMP")]
    IpProtocol,
    /// The TCP header is malformed or truncated.
    #[error("the TCP header is malformed or truncated")]
    TcpHeader,
    /// The TCP flags contradict each other.
    #[error("the TCP flags contradict each other")]
    TcpFlags,
    /// A later fragment would overwrite the flags of the first one (RFC 1858, section 4).
    #[error("a fragment overlaps the TCP header")]
    TinyFragment,
    /// The UDP header is malformed or truncated.
    #[error("the UDP header is malformed or truncated")]
    UdpHeader,
    /// The ICMP message is truncated, fragmented, or not an error about a flow.
    #[error("the ICMP message is not an error about a flow")]
    IcmpType,
    /// The packet quoted by an ICMP error is truncated, has no ports, or was not sent by the
    /// service.
    #[error("the packet quoted by an ICMP error does not identify a flow")]
    IcmpQuote,
    /// The TTL or hop limit reached zero.
    #[error("the TTL or hop limit reached zero")]
    TtlExpired,
}

impl PacketError {
    /// All reasons in the order of their declaration, so that a reason can index an array of
    /// counters.
    pub const ALL: [PacketError; 19] = [
        PacketError::GueTruncated,
        PacketError::GueVersion,
        PacketError::GueControl,
        PacketError::GueFlags,
        PacketError::GueProtocol,
        PacketError::ForwardFromClient,
        PacketError::ForwardMissing,
        PacketError::ForwardMalformed,
        PacketError::TooLarge,
        PacketError::IpHeader,
        PacketError::IpVersion,
        PacketError::IpProtocol,
        PacketError::TcpHeader,
        PacketError::TcpFlags,
        PacketError::TinyFragment,
        PacketError::UdpHeader,
        PacketError::IcmpType,
        PacketError::IcmpQuote,
        PacketError::TtlExpired,
    ];

    /// Returns the name of the reason's counter in metrics.
    pub const fn counter(self) -> &'static str {
        match self {
            PacketError::GueTruncated => "gue_truncated",
            PacketError::GueVersion => "gue_version",
            PacketError::GueControl => "gue_control",
            PacketError::GueFlags => "gue_flags",
            PacketError::GueProtocol => "gue_protocol",
            PacketError::ForwardFromClient => "forward_header_from_client",
            PacketError::ForwardMissing => "forward_header_missing",
            PacketError::ForwardMalformed => "forward_header_malformed",
            PacketError::TooLarge => "too_large",
            PacketError::IpHeader => "ip_header",
            PacketError::IpVersion => "ip_version",
            PacketError::IpProtocol => "ip_protocol",
            PacketError::TcpHeader => "tcp_header",
            PacketError::TcpFlags => "tcp_flags",
            PacketError::TinyFragment => "tiny_fragment",
            PacketError::UdpHeader => "udp_header",
            PacketError::IcmpType => "icmp_type",
            PacketError::IcmpQuote => "icmp_quote",
            PacketError::TtlExpired => "ttl_expired",
        }
    }
}
