//! Tests of the discovery of VMs through seeds: who is named to a VM that starts, and how often seeds are called.

use std::net::{Ipv4Addr, SocketAddr};

use jasminecart_core::process::{Discovery, DiscoveryMessage, Introduction, PeerAddress, VmHint};
use jasminecart_core::{Millis, VmId};
use test_case::test_case;

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), 7_720)
}

fn hint(data_centre: &str, number: usize) -> VmHint {
    let own = address(number);
    let address = PeerAddress { control: own, packets: own, requests: own };
    VmHint { vm: VmId::new(data_centre, format!("vm-{number}")), address, leaving: false }
}

fn introduction(number: usize, size: u32, loaded: bool) -> Introduction {
    Introduction { hint: hint("east", number), size, loaded }
}

fn vm(seeds: usize) -> Discovery {
    Discovery::new(hint("east", 900), 28, (0..seeds).map(address))
}

fn seed_with(introductions: impl IntoIterator<Item = Introduction>) -> Discovery {
    let mut seed = Discovery::new(hint("west", 901), 28, []);
    for introduction in introductions {
        seed.on_hello(Millis(10), introduction);
    }
    seed
}

fn known(seed: &mut Discovery, sender: Introduction) -> Vec<Introduction> {
    match seed.on_hello(Millis(20), sender) {
        (_, DiscoveryMessage::Known(known)) => known,
        other => panic!("{other:?} is not a response"),
    }
}

/// Guards against a VM that has to try many others before it finds one that has routes and targets, or that loads from
/// the smallest ones.
#[test]
fn a_starting_vm_is_told_the_largest_vms_with_state_first() {
    let small = (0..40).map(|number| introduction(number, 28, number % 2 == 0));
    let large =
        [introduction(50, 500, true), introduction(51, 500, false), introduction(52, 400, true)];
    let mut seed = seed_with(small.chain(large));
    for _ in 0..10 {
        let known = known(&mut seed, introduction(60, 28, false));
        assert_eq!(known.len(), 8);
        let numbers: Vec<SocketAddr> = known.iter().map(|vm| vm.hint.address.control).collect();
        assert_eq!(numbers[..2], [address(50), address(52)]);
        assert!(known[..4].iter().all(|vm| vm.loaded), "{known:?}");
    }
}

/// Guards against VMs that learn of a few others only, because every response names the same ones.
#[test_case(true; "with state")]
#[test_case(false; "without state")]
fn successive_responses_name_all_vms_of_the_data_centre(loaded: bool) {
    let mut seed = seed_with((0..40).map(|number| introduction(number, 28, false)));
    let mut named = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let known = known(&mut seed, introduction(60, 28, loaded));
        named.extend(known.into_iter().map(|vm| vm.hint.vm));
    }
    assert_eq!(named.len(), 40, "{named:?}");
}

/// Guards against a response that names VMs of other data centres, which have other targets near them.
#[test]
fn only_vms_of_the_same_data_centre_are_named() {
    let mut seed = seed_with([introduction(1, 28, true)]);
    seed.on_hello(Millis(10), Introduction { hint: hint("north", 2), size: 500, loaded: true });
    let known = known(&mut seed, introduction(60, 28, false));
    assert_eq!(known, [introduction(1, 28, true)]);
}

/// Guards against a stampede at the seeds when hundreds of VMs start together, and against a VM that waits long for
/// a seed that starts a moment after it.
#[test]
fn a_starting_vm_calls_one_seed_at_a_time_after_its_first_hello() {
    let mut vm = vm(3);
    let mut called = Vec::new();
    for tick in 0..20 {
        called.push(vm.tick(Millis(100 * tick), true).len());
    }
    assert_eq!(called[0], 3);
    assert!(called[1..].iter().all(|seeds| *seeds == 1), "{called:?}");
    // From then on all seeds are called, but less often.
    let calls: Vec<usize> = (20..60).map(|tick| vm.tick(Millis(100 * tick), true).len()).collect();
    assert_eq!(calls.iter().sum::<usize>(), 3 * 10, "{calls:?}");
}

/// Guards against other VMs that keep waiting although one has loaded the state.
#[test]
fn a_vm_that_has_loaded_introduces_itself_to_all_seeds_at_once() {
    let mut vm = vm(3);
    vm.tick(Millis(0), true);
    vm.tick(Millis(100), true);
    vm.set_loaded();
    let hellos = vm.tick(Millis(110), false);
    assert_eq!(hellos.len(), 3);
    for (_, hello) in hellos {
        let DiscoveryMessage::Hello(introduction) = hello else { panic!("{hello:?}") };
        assert!(introduction.loaded);
    }
    assert!(vm.tick(Millis(210), false).is_empty());
}

/// Guards against a response that exceeds a datagram when names are long.
#[test]
fn a_response_with_long_names_fits_a_datagram() {
    const DATAGRAM_BYTES: usize = 1_472 - 17 - 132; // Less the signature and the sender.
    let mut seed = Discovery::new(hint("west", 901), 28, []);
    for number in 0..40 {
        let mut long = introduction(number, u32::MAX, true);
        long.hint.vm = VmId::new("d".repeat(63), format!("{number:0>63}"));
        seed.on_hello(Millis(10), long);
    }
    let mut sender = introduction(60, 28, false);
    sender.hint.vm = VmId::new("d".repeat(63), "x".repeat(63));
    let (_, response) = seed.on_hello(Millis(20), sender);
    let bytes = postcard::to_stdvec(&response).expect("encoded").len();
    assert!(bytes <= DATAGRAM_BYTES, "{bytes} bytes");
}
