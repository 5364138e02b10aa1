//! Tests of `Sharing`: few VMs of a data centre read the store and share the changes with all others. Every VM is
//! up to date, the number of calls stays small, and no reader is a single point of failure.

use crate::data_centre::{APPLY_WITHIN, DataCentre, TICK, introduction};
use crate::support::{FEED, UPLOAD, target};
use jasminecart_core::version::{ServiceRule, Sharing, SharingLimits, Source, TargetList};
use jasminecart_core::{Millis, Name, VmId};
use proptest::prelude::*;
use test_case::test_case;

// Guards against changes of targets or routes that do not reach all VMs, and against more readers than needed.
#[test_case(1; "one VM")]
#[test_case(2; "two VMs")]
#[test_case(3; "three VMs")]
#[test_case(27; "twenty-seven VMs")]
fn changes_reach_every_vm_within_a_second(count: usize) {
    let mut centre = DataCentre::new(count);
    centre.run(Millis(5_000));
    centre.assert_up_to_date();
    centre.write(target("a2", "desk", "east", 0));
    centre.configure(|routes| {
        routes.by_address.remove(&UPLOAD);
    });
    centre.delete("a1");
    centre.run(Millis(1_000));
    centre.assert_up_to_date();
    assert_eq!(centre.readers().len(), 1);
}

/// Guards against rules of services that a peer does not get, keeps after they were removed, or takes from another peer
/// although they are invalid.
#[test]
fn rules_of_services_reach_all_vms() {
    let mut centre = DataCentre::new(9);
    centre.run(Millis(5_000));
    let rule = |rate| ServiceRule { warm_up: Millis(2_000), cold_rate: rate };
    let (desk, vault) = (Name::new("desk"), Name::new("vault"));
    for (name, rate) in [(&desk, Some(0.0)), (&vault, None), (&desk, Some(f64::MAX))] {
        centre.configure(|routes| {
            routes.services.insert(name.clone(), rule(rate));
        });
        centre.run(Millis(1_000));
        centre.assert_up_to_date();
    }
    centre.configure(|routes| {
        routes.services.remove(&desk);
    });
    centre.run(Millis(1_000));
    centre.assert_up_to_date();
    centre.configure(|routes| {
        routes.services.insert(desk.clone(), rule(Some(-1.0)));
    });
    centre.run(Millis(1_000));
    // The reader of this test takes the routes as they are; the platform's decoder would refuse the rate.
    let rules = centre.vms.values().filter_map(|vm| vm.routes.as_ref()?.services.get(&desk));
    let without_rate = rules.filter(|known| **known == rule(None)).count();
    assert_eq!(without_rate + centre.readers().len(), 9);
}

/// Guards against a load on the store that grows with the data centre: there is one reader whatever the size,
/// with a watch every 1.5 s.
#[test]
fn calls_do_not_grow_with_the_number_of_vms() {
    for count in [3, 9, 27, 100] {
        let mut centre = DataCentre::new(count);
        centre.run(Millis(10_000));
        let before = centre.calls();
        centre.run(Millis(30_000));
        let calls = centre.calls() - before;
        assert!(calls <= 21, "{calls} calls in 30 s with {count} VMs");
    }
}

/// Guards against a change that is applied too late, which happened when the store did not respond to the readers
/// and a change followed.
#[test]
fn a_change_is_in_force_in_time_although_the_readers_get_no_response() {
    for delay in 0..30 {
        let mut centre = DataCentre::new(3);
        centre.run(Millis(8_000));
        let reader = centre.readers().remove(0);
        centre.vms.get_mut(&reader).expect("a reader").reaches_store = false;
        if delay % 2 == 0 {
            let next = centre.vms.iter_mut().find(|(_, vm)| vm.reaches_store).expect("a VM");
            next.1.reaches_store = false;
        }
        centre.run(Millis(100 * delay));
        centre.configure(|routes| {
            routes.by_address.remove(&FEED);
        });
        centre.run(APPLY_WITHIN - TICK);
        let reaching = centre.vms.iter().find(|(_, vm)| vm.reaches_store).expect("a VM").1;
        let revision = reaching.routes.as_ref().map(|routes| routes.revision);
        assert_eq!(
            revision,
            Some(centre.routes.revision),
            "change {delay} ticks after the readers lost the store"
        );
        // The other VMs receive the change from one that reaches the store.
        centre.run(Millis(6_000));
        centre.assert_up_to_date();
    }
}

/// Guards against changes that are missed after the readers died, both before membership declares them dead and
/// until one of the others has replaced them.
#[test]
fn a_dead_reader_is_replaced() {
    let mut centre = DataCentre::new(5);
    centre.run(Millis(5_000));
    for reader in centre.readers() {
        centre.vms.get_mut(&reader).expect("a reader").running = false;
    }
    centre.write(target("a2", "desk", "east", 0));
    centre.run(APPLY_WITHIN - TICK);
    centre.assert_up_to_date();
    centre.set_members();
    centre.run(Millis(1_000));
    assert_eq!(centre.readers().len(), 1);
}

/// Guards against a view that stays incomplete after lost datagrams. A VM requests what it is missing.
#[test_case(2)]
#[test_case(3)]
#[test_case(7)]
fn lost_messages_are_repaired(every: usize) {
    let mut centre = DataCentre::new(6);
    centre.drop_every = Some(every);
    centre.run(Millis(4_000));
    for number in 0..20 {
        centre.write(target(&format!("b{number}"), "desk", "east", 0));
        centre.configure(|routes| {
            let rule = routes.by_address[&FEED].clone();
            let port = 9_000 + number;
            routes
                .by_address
                .insert(std::net::SocketAddrV4::new([198, 18, 0, 3].into(), port), rule);
        });
        centre.run(Millis(300));
    }
    centre.run(APPLY_WITHIN);
    centre.assert_up_to_date();
}

/// Guards against a VM that continues from an outdated view after a long pause, and against older routes that
/// replace newer ones.
#[test]
fn a_vm_that_was_paused_catches_up() {
    let mut centre = DataCentre::new(4);
    centre.run(Millis(4_000));
    let paused = centre.vms.keys().next().expect("a VM").clone();
    centre.vms.get_mut(&paused).expect("a VM").running = false;
    for number in 0..12 {
        centre.configure(|routes| routes.idle_timeout = Millis(1_000 + number));
        centre.write(target(&format!("b{number}"), "desk", "east", 0));
        centre.run(Millis(700));
    }
    centre.delete("a1");
    centre.run(Millis(500));
    centre.vms.get_mut(&paused).expect("a VM").running = true;
    centre.run(APPLY_WITHIN);
    centre.assert_up_to_date();
}

/// Guards against refused requests after an outage of the store in which the registrations of targets expired. The
/// reader knows of the outage; its peers have to retain the expired targets as well until these have had time to
/// register again.
#[test]
fn expired_targets_stay_usable_at_peers_of_the_reader() {
    let mut centre = DataCentre::new(3);
    centre.run(Millis(4_000));
    let reader = centre.readers().remove(0);
    let now = centre.now;
    centre.vms.get_mut(&reader).expect("a VM").targets.set_store_recovered(now);
    centre.delete("a1");
    centre.run(Millis(300));
    for (id, vm) in &centre.vms {
        assert_eq!(vm.sharing.position(), centre.revision(), "{id} has not received the removal");
        assert_eq!(vm.targets.usable_count(), 1, "{id} removed an expired target too early");
    }
    centre.run(Millis(4_000));
    assert!(
        centre.vms.values().all(|vm| vm.targets.usable_count() == 0),
        "an expired target was not removed"
    );
}

/// Guards against a removed target that stays for good at a VM which was paused for longer than its peers retain
/// tombstones. The store does not respond to the VM, so that a peer has to send its full view.
#[test]
fn a_vm_that_was_paused_for_longer_than_tombstones_last_removes_targets() {
    let mut centre = DataCentre::new(4);
    centre.write(target("a2", "desk", "east", 0));
    centre.run(Millis(4_000));
    let paused = centre.vms.keys().next().expect("a VM").clone();
    centre.vms.get_mut(&paused).expect("a VM").running = false;
    centre.delete("a1");
    centre.run(Millis(90_000));
    let vm = centre.vms.get_mut(&paused).expect("a VM");
    (vm.running, vm.reaches_store) = (true, false);
    centre.run(Millis(3_000));
    centre.assert_up_to_date();
}

/// Guards against routes and targets that do not arrive because they exceed a datagram: they are sent in parts.
/// On a slow link the peers fetch them over streams, since datagrams over 10 Mbit/s held up the reader's client
/// packets for too long. No peer reads the store.
#[test_case(1_000; "over a fast link")]
#[test_case(10; "over a slow link")]
fn a_large_configuration_reaches_every_vm(megabits: u32) {
    let limits = SharingLimits::default().with_link(megabits, 0.0);
    let mut centre = DataCentre::with_limits(3, limits);
    centre.run(Millis(4_000));
    centre.configure(|routes| {
        let rule = routes.by_address[&FEED].clone();
        for port in 0..400 {
            let address = std::net::SocketAddrV4::new([198, 18, 1, 1].into(), 10_000 + port);
            routes.by_address.insert(address, rule.clone());
        }
    });
    let before = centre.calls();
    centre.run(Millis(500));
    centre.assert_up_to_date();
    assert_eq!(centre.calls() - before, 1);
}

/// Guards against a load on a failed store that grows with the data centre: only a few VMs probe whether it is
/// back, whatever the size.
#[test_case(2, 2; "a small data centre")]
#[test_case(27, 3; "a large data centre")]
fn few_vms_probe_a_store_that_fails(count: usize, probers: usize) {
    let mut centre = DataCentre::new(count);
    centre.run(Millis(5_000));
    for vm in centre.vms.values_mut() {
        vm.reaches_store = false;
    }
    centre.run(Millis(6_000));
    let probing = centre.vms.values().filter(|vm| vm.sharing.probes_store()).count();
    assert_eq!(probing, probers);
    let without_peers = Sharing::new(VmId::new("east", "new"), SharingLimits::default());
    assert!(without_peers.probes_store(), "a VM without peers has to probe the store itself");
}

/// Guards against an outage in which every VM calls the store: the platform charges for refused calls too, and 295
/// VMs made 1,100 of them in an outage of 6 s. All VMs have the changes of the outage soon after its end.
#[test_case(60, Millis::ZERO; "calls are refused at once")]
#[test_case(60, Millis(1_000); "calls time out")]
#[test_case(9, Millis::ZERO; "a small data centre")]
fn calls_during_an_outage_do_not_grow_with_the_number_of_vms(count: usize, failed_call: Millis) {
    // Three VMs call twice a second, one per second and VM is left for others that may reach the store.
    const MAX_CALLS: u64 = 6 * (3 * 2 + 8);
    let mut centre = DataCentre::new(count);
    centre.failed_call = failed_call;
    centre.retry_pauses = (Millis(500), Millis(2_000));
    centre.step = Millis(10);
    centre.run(Millis(5_000));
    for vm in centre.vms.values_mut() {
        vm.reaches_store = false;
    }
    let before = centre.calls();
    centre.run(Millis(6_000));
    let calls = centre.calls() - before;
    // Timed-out calls of all VMs are under way before the first of them has failed.
    let at_once = if failed_call > Millis::ZERO { count as u64 } else { 0 };
    assert!(calls <= MAX_CALLS + at_once, "{calls} calls");
    centre.write(target("a2", "desk", "east", 0));
    for vm in centre.vms.values_mut() {
        vm.reaches_store = true;
    }
    centre.run(Millis(2_500));
    centre.assert_up_to_date();
}

/// Guards against a partial outage that looks like a total one, because the first VMs in rank are rejected.
#[test]
fn a_change_is_in_force_in_time_although_the_store_rejects_the_first_vms_in_rank() {
    let mut centre = DataCentre::new(60);
    centre.failed_call = Millis::ZERO;
    centre.step = Millis(10);
    centre.retry_pauses = (Millis(500), Millis(2_000));
    centre.run(Millis(5_000));
    let mut rejected = Vec::new();
    while rejected.len() < 12 {
        let reader = centre.readers().pop().expect("a reader");
        centre.vms.get_mut(&reader).expect("a VM").reaches_store = false;
        rejected.push(reader);
        centre.run(Millis(3_500));
        // A VM that was excluded before may become a reader again.
        for vm in &rejected {
            centre.vms.get_mut(vm).expect("a VM").reaches_store = true;
        }
        centre.run(Millis(5_000));
        for vm in &rejected {
            centre.vms.get_mut(vm).expect("a VM").reaches_store = false;
        }
        centre.run(Millis(3_500));
    }
    centre.write(target("a2", "desk", "east", 0));
    centre.run(APPLY_WITHIN);
    centre.assert_up_to_date();
}

/// Guards against a target that has gone being used again after a restart: the VM that starts loads from a peer that
/// was paused while the target left. The age of the peer's view tells the VM to read the store at once.
#[test]
fn a_vm_that_loads_from_a_peer_with_an_old_view_reads_the_store() {
    let mut centre = DataCentre::new(3);
    centre.write(target("a2", "desk", "east", 0));
    centre.run(Millis(4_000));
    let ids: Vec<VmId> = centre.vms.keys().cloned().collect();
    centre.vms.get_mut(&ids[0]).expect("a VM").running = false;
    centre.delete("a1");
    centre.run(Millis(20_000));
    // The restarted VM hears of the paused one only, which has just resumed.
    let limits = SharingLimits { store_delay: Millis(700), ..SharingLimits::default() };
    let restarted = centre.vms.get_mut(&ids[1]).expect("a VM");
    restarted.sharing = Sharing::new(ids[1].clone(), limits);
    (restarted.targets, restarted.routes) = (TargetList::default(), None);
    restarted.watch_ends = None;
    centre.vms.get_mut(&ids[2]).expect("a VM").running = false;
    centre.vms.get_mut(&ids[0]).expect("a VM").running = true;
    let now = centre.now;
    let introduction = introduction(&ids[0]);
    let restarted = centre.vms.get_mut(&ids[1]).expect("a VM");
    assert_eq!(restarted.sharing.source(now), Source::Starting);
    let steps = restarted.sharing.on_introductions(now, [&introduction]);
    centre.execute(&ids[1], steps);
    let restarted = centre.vms.get_mut(&ids[1]).expect("a VM");
    assert_eq!(restarted.targets.usable_count(), 2, "the old view was not loaded");
    assert!(restarted.sharing.age(now) >= Millis(18_000), "the view counts as recent");
    assert_eq!(restarted.sharing.source(now), Source::Fallback);
    centre.run(TICK);
    let usable = centre.vms[&ids[1]].targets.usable_count();
    assert_eq!(usable, 1, "a target that has left is in use again");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against orders of failures and changes after which a VM stays behind although all failures are over.
    #[test]
    fn every_vm_catches_up_after_random_failures(
        steps in proptest::collection::vec((0u8..7, 0usize..5, 1u64..25), 1..40)
    ) {
        let mut centre = DataCentre::new(5);
        let ids: Vec<VmId> = centre.vms.keys().cloned().collect();
        centre.run(Millis(3_000));
        for (number, (kind, which, ticks)) in steps.into_iter().enumerate() {
            let vm = centre.vms.get_mut(&ids[which]).expect("a VM");
            match kind {
                0 => vm.reaches_store = false,
                1 => vm.reaches_store = true,
                2 => vm.running = !vm.running,
                3 => centre.delete(&format!("b{which}")),
                4 => centre.configure(|routes| routes.idle_timeout = Millis(number as u64)),
                5 => centre.drop_every = Some(2 + which),
                _ => centre.write(target(&format!("b{which}"), "desk", "east", 0)),
            }
            centre.run(Millis(100 * ticks));
        }
        centre.drop_every = None;
        for vm in centre.vms.values_mut() {
            vm.running = true;
            vm.reaches_store = true;
        }
        centre.run(Millis(9_000));
        centre.assert_up_to_date();
    }
}
