//! Keys between VMs: which datagrams are accepted, and how keys are rotated.

use jasminecart_forward::keys::{KeyError, PeerKeys, VerifyError};
use proptest::prelude::*;
use test_case::test_case;

const OLD: &str = "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const NEW: &str = "2:ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
const FORGED: &str = "1:ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn keys(text: &str) -> PeerKeys {
    text.parse().expect("valid keys")
}

/// Guards against forged membership or routes: datagrams of a sender without the key are refused.
#[test_case(OLD, OLD, Ok(&b"hello"[..]); "the same key")]
#[test_case("", OLD, Err(VerifyError::Unsigned); "no key")]
#[test_case(FORGED, OLD, Err(VerifyError::WrongTag); "another key of the same number")]
#[test_case(NEW, OLD, Err(VerifyError::UnknownKey); "a key that is not known")]
#[test_case(OLD, "", Ok(&b"hello"[..]); "a receiver without keys")]
#[test_case("", "", Ok(&b"hello"[..]); "no keys at all")]
fn a_datagram_is_accepted_by_its_tag(
    sender: &str,
    receiver: &str,
    expected: Result<&[u8], VerifyError>,
) {
    let datagram = keys(sender).sign(b"hello");
    assert_eq!(keys(receiver).verify(&datagram), expected);
}

/// Guards against VMs that refuse each other's datagrams during a key rotation: at each step, another VM may be
/// at the step before or after.
#[test]
fn keys_are_rotated_without_refused_datagrams() {
    let both = [OLD, NEW].join(",");
    let swapped = [NEW, OLD].join(",");
    let steps = [OLD, &both, &swapped, NEW];
    for (number, step) in steps.iter().enumerate() {
        for other in &steps[number.saturating_sub(1)..(number + 2).min(steps.len())] {
            let datagram = keys(step).sign(b"hello");
            assert_eq!(keys(other).verify(&datagram), Ok(&b"hello"[..]), "{step} to {other}");
        }
    }
}

#[test_case("1", KeyError::Form; "no colon")]
#[test_case("0:00", KeyError::Number; "number zero")]
#[test_case("256:00", KeyError::Number; "number too large")]
#[test_case("1:00", KeyError::Secret; "too short")]
#[test_case(&OLD.replace("0a0b", "zzzz"), KeyError::Secret; "no hexadecimal digits")]
#[test_case(&[OLD, FORGED].join(","), KeyError::Repeated; "a number twice")]
fn invalid_keys_are_refused(text: &str, expected: KeyError) {
    assert_eq!(text.parse::<PeerKeys>(), Err(expected));
}

/// Guards against secrets in logs through `Debug`.
#[test]
fn debug_output_has_no_secrets() {
    assert_eq!(format!("{:?}", keys(&[OLD, NEW].join(","))), "[1, 2]");
}

proptest! {
    /// Guards against an altered datagram that is accepted, and against a panic on arbitrary bytes.
    #[test]
    fn an_altered_datagram_is_refused(index in 0usize..64, change in 1u8.., message: Vec<u8>) {
        let mut datagram = keys(OLD).sign(&message);
        let index = index % datagram.len();
        datagram[index] ^= change;
        prop_assert!(keys(OLD).verify(&datagram).is_err());
        let _ = keys(NEW).verify(&message);
    }
}
