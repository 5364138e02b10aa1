//! Datagrams between VMs: round trips, and no outcome of foreign bytes but a refusal.

use jasminecart_core::Millis;
use jasminecart_core::VmId;
use jasminecart_core::version::{Revision, SharingMessage};
use jasminecart_forward::peers::{ForwardMessage, PeerDatagram};
use proptest::prelude::*;

fn datagram() -> PeerDatagram {
    PeerDatagram {
        protocol: 2,
        from: VmId::new("east", "vm-1"),
        message: ForwardMessage::Sharing(SharingMessage::Beacon {
            unchanged_since: Revision(3),
            revision: Revision(7),
            age: Millis(40),
            reachable: true,
        }),
    }
}

#[test]
fn a_datagram_is_read_as_written() {
    let bytes = postcard::to_stdvec(&datagram()).expect("encoded");
    assert_eq!(PeerDatagram::decode(&bytes), Some(datagram()));
}

/// Guards against a fleet in which two versions of the format misread each other.
#[test]
fn another_version_and_trailing_bytes_are_refused() {
    let mut other = datagram();
    other.protocol = 1;
    let bytes = postcard::to_stdvec(&other).expect("encoded");
    assert_eq!(PeerDatagram::decode(&bytes), None);
    let mut longer = postcard::to_stdvec(&datagram()).expect("encoded");
    longer.push(0);
    assert_eq!(PeerDatagram::decode(&longer), None);
}

proptest! {
    #[test]
    fn any_bytes_have_an_outcome(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = PeerDatagram::decode(&bytes);
    }

    #[test]
    fn a_changed_byte_has_an_outcome(place in 0usize..100, byte: u8) {
        let mut bytes = postcard::to_stdvec(&datagram()).expect("encoded");
        let place = place % bytes.len();
        bytes[place] = byte;
        let _ = PeerDatagram::decode(&bytes);
    }
}
