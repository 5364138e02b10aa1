//! Keys between VMs: who is heard, who is not, and how keys are replaced.

use jasminecart_forward::keys::{KeyError, PeerKeys, SealError};
use proptest::prelude::*;
use test_case::test_case;

const OLD: &str = "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const NEW: &str = "2:ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
const FORGED: &str = "1:ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn keys(text: &str) -> PeerKeys {
    text.parse().expect("valid keys")
}

/// Guards against forged membership or routes: whoever lacks the key is not heard.
#[test_case(OLD, OLD, Ok(&b"hello"[..]); "the same key")]
#[test_case("", OLD, Err(SealError::Unsigned); "no key")]
#[test_case(FORGED, OLD, Err(SealError::WrongTag); "another key of the same number")]
#[test_case(NEW, OLD, Err(SealError::UnknownKey); "a key that is not known")]
#[test_case(OLD, "", Ok(&b"hello"[..]); "a receiver without keys")]
#[test_case("", "", Ok(&b"hello"[..]); "no keys at all")]
fn a_datagram_counts_by_its_tag(sender: &str, receiver: &str, expected: Result<&[u8], SealError>) {
    let datagram = keys(sender).seal(b"hello");
    assert_eq!(keys(receiver).open(&datagram), expected);
}

/// Guards against VMs that stop hearing each other while keys are replaced: in each step any VM may be at the
/// step before or after.
#[test]
fn keys_are_replaced_without_a_gap() {
    let both = [OLD, NEW].join(",");
    let swapped = [NEW, OLD].join(",");
    let steps = [OLD, &both, &swapped, NEW];
    for (number, step) in steps.iter().enumerate() {
        for other in &steps[number.saturating_sub(1)..(number + 2).min(steps.len())] {
            let datagram = keys(step).seal(b"hello");
            assert_eq!(keys(other).open(&datagram), Ok(&b"hello"[..]), "{step} to {other}");
        }
    }
}

#[test_case("1", KeyError::Form; "no colon")]
#[test_case("0:00", KeyError::Number; "number zero")]
#[test_case("256:00", KeyError::Number; "number too large")]
#[test_case("1:00", KeyError::Secret; "too short")]
#[test_case(&OLD.replace("0a0b", "zzzz"), KeyError::Secret; "no hexadecimal digits")]
#[test_case(&[OLD, FORGED].join(","), KeyError::Repeated; "a number twice")]
fn broken_keys_are_refused(text: &str, expected: KeyError) {
    assert_eq!(text.parse::<PeerKeys>(), Err(expected));
}

/// Guards against secrets in logs.
#[test]
fn secrets_are_not_shown() {
    assert_eq!(format!("{:?}", keys(&[OLD, NEW].join(","))), "[1, 2]");
}

proptest! {
    /// Any changed byte is noticed, and any bytes have an outcome.
    #[test]
    fn a_changed_datagram_is_refused(place in 0usize..64, change in 1u8.., message: Vec<u8>) {
        let mut datagram = keys(OLD).seal(&message);
        let place = place % datagram.len();
        datagram[place] ^= change;
        prop_assert!(keys(OLD).open(&datagram).is_err());
        let _ = keys(NEW).open(&message);
    }
}
