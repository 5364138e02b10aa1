//! The encoding of datagrams between VMs: round trips, other versions and malformed input.

use jasminecart_core::Millis;
use jasminecart_core::VmId;
use jasminecart_core::version::{SharingMessage, StoreRevision};
use jasminecart_forward::peers::{ForwardMessage, PeerDatagram};
use proptest::prelude::*;

fn datagram() -> PeerDatagram {
    PeerDatagram {
        protocol: 5,
        from: VmId::new("east", "vm-1"),
        message: ForwardMessage::Sharing(SharingMessage::Beacon {
            unchanged_since: StoreRevision::new(2, 3),
            revision: StoreRevision::new(2, 7),
            age: Millis(40),
            reachable: true,
        }),
    }
}

#[test]
fn a_datagram_survives_a_round_trip() {
    let bytes = postcard::to_stdvec(&datagram()).expect("encoded");
    assert_eq!(PeerDatagram::decode(&bytes), Some(datagram()));
}

/// Guards against VMs that misread datagrams of another version of the format, as in a rolling update.
#[test]
fn another_version_and_trailing_bytes_are_refused() {
    let mut other = datagram();
    other.protocol = 4;
    let bytes = postcard::to_stdvec(&other).expect("encoded");
    assert_eq!(PeerDatagram::decode(&bytes), None);
    let mut longer = postcard::to_stdvec(&datagram()).expect("encoded");
    longer.push(0);
    assert_eq!(PeerDatagram::decode(&longer), None);
}

proptest! {
    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = PeerDatagram::decode(&bytes);
    }

    /// Guards against a panic on a corrupted datagram.
    #[test]
    fn decoding_a_corrupted_datagram_does_not_panic(index in 0usize..100, byte: u8) {
        let mut bytes = postcard::to_stdvec(&datagram()).expect("encoded");
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = PeerDatagram::decode(&bytes);
    }
}
