//! Tests of evacuations: the order of their changes, how they reach every VM of a data centre, and that no new flow
//! goes to a target of an evacuated data centre.

use std::collections::BTreeMap;

use jasminecart_core::flow::token::{ResetCause, TokenRouter, Verdict};
use jasminecart_core::version::{
    Effect, EvacuationChange, EvacuationEffect, Evacuations, MAX_EVACUATIONS, REREGISTRATION_GRACE,
    SharingLimits, StoreRevision, TOMBSTONE_RETENTION, TargetChange,
};
use jasminecart_core::{Millis, Name, VmId};
use proptest::prelude::*;
use test_case::test_case;

use crate::data_centre::{DataCentre, TICK, evacuated};
use crate::support::{CLAIM, FEED, data, deliver, establish, flow, open, opening, router, target};

/// The time within which an evacuation has to be in force at every VM, without an unstable store.
const EVACUATE_WITHIN: Millis = Millis(5_000);

fn requested(data_centre: &str, epoch: u64, number: u64) -> EvacuationChange {
    let revision = StoreRevision::new(epoch, number);
    EvacuationChange::Requested { data_centre: Name::new(data_centre), revision }
}

fn withdrawn(data_centre: &str, epoch: u64, number: u64) -> EvacuationChange {
    let revision = StoreRevision::new(epoch, number);
    EvacuationChange::Withdrawn { data_centre: Name::new(data_centre), revision }
}

fn known(changes: impl IntoIterator<Item = EvacuationChange>) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for change in changes {
        evacuations.apply(Millis::ZERO, change);
    }
    evacuations
}

/// Guards against a full state that leaves a withdrawn evacuation in force, and against one that ends an evacuation
/// which is newer, or which only the restored copy lacks.
#[test_case((0, 9), (0, 9), false; "not listed")]
#[test_case((0, 9), (0, 8), true; "newer than the full state")]
#[test_case((0, 9), (1, 5), true; "lost in a restore")]
#[test_case((1, 9), (1, 9), false; "not listed after a restore")]
fn a_full_state_withdraws_what_it_does_not_list(
    (epoch, number): (u64, u64),
    read_at: (u64, u64),
    in_force: bool,
) {
    let mut evacuations = known([requested("west", epoch, number)]);
    evacuations.replace(Millis(10), Vec::new(), StoreRevision::new(read_at.0, read_at.1));
    assert_eq!(evacuations.is_evacuated(&Name::new("west")), in_force);
}

/// Guards against an evacuation that stays in force because the full state of a peer has an older tombstone of it.
#[test]
fn an_old_tombstone_in_a_full_state_keeps_no_evacuation_in_force() {
    let mut evacuations = known([requested("west", 1, 3)]);
    let listed = vec![withdrawn("west", 0, 3)];
    let effects = evacuations.replace(Millis(10), listed, StoreRevision::new(1, 4));
    assert_eq!(effects, [(Name::new("west"), EvacuationEffect::Ended)]);
}

/// Guards against a data centre that gets flows because a restored store has not confirmed yet that the request is not
/// written again, and against one that stays empty for good. An outage stops the clock.
#[test]
fn a_lost_request_is_in_force_until_the_store_has_confirmed_its_absence() {
    let west = Name::new("west");
    let mut evacuations = known([requested("west", 0, 9)]);
    let effects = evacuations.replace(Millis(1_000), Vec::new(), StoreRevision::new(1, 5));
    assert_eq!(effects, [(west.clone(), EvacuationEffect::Doubted)]);
    evacuations.set_confirmed(Millis(1_000) + REREGISTRATION_GRACE - Millis(1));
    assert!(evacuations.expire(Millis(60_000)).is_empty());
    // A second read of the copy proves nothing new.
    evacuations.replace(Millis(60_000), Vec::new(), StoreRevision::new(1, 7));
    assert!(evacuations.is_evacuated(&west));
    evacuations.set_confirmed(Millis(1_000) + REREGISTRATION_GRACE);
    assert_eq!(evacuations.expire(Millis(60_100)), [Name::new("west")]);
    // A peer that still waits does not bring it back.
    let change = EvacuationChange::Lost {
        data_centre: west.clone(),
        requested_at: StoreRevision::new(0, 9),
        revision: StoreRevision::new(1, 8),
    };
    assert_eq!(evacuations.apply(Millis(60_200), change), EvacuationEffect::Outdated);
    assert_eq!(evacuations.apply(Millis(60_300), requested("west", 1, 9)), EvacuationEffect::Began);
}

/// Guards against a wait that an earlier restore began and that ends right after another one: the request may have been
/// written between them.
#[test_case(false; "read from the store")]
#[test_case(true; "received from a peer")]
fn a_second_restore_starts_the_wait_again(from_peer: bool) {
    let mut evacuations = known([requested("west", 0, 9)]);
    evacuations.replace(Millis(1_000), Vec::new(), StoreRevision::new(1, 5));
    let revision = StoreRevision::new(2, 6);
    let (data_centre, requested_at) = (Name::new("west"), StoreRevision::new(1, 7));
    let lost = EvacuationChange::Lost { data_centre, requested_at, revision };
    let listed = if from_peer { vec![lost] } else { Vec::new() };
    evacuations.replace(Millis(4_000), listed, revision);
    evacuations.set_confirmed(Millis(4_000) + REREGISTRATION_GRACE - Millis(1));
    assert!(evacuations.expire(Millis(6_500)).is_empty());
}

/// Guards against flows to a data centre whose evacuation the restored copy still contains, although it was withdrawn
/// later, and against a request that ends the wait and is not passed on.
#[test]
fn a_request_in_force_in_the_restored_copy_counts() {
    let mut evacuations = known([requested("west", 0, 3), withdrawn("west", 0, 9)]);
    let listed = vec![requested("west", 1, 3)];
    let effects = evacuations.replace(Millis(10), listed, StoreRevision::new(1, 5));
    assert_eq!(effects, [(Name::new("west"), EvacuationEffect::Began)]);
    let mut evacuations = known([requested("west", 0, 9)]);
    evacuations.replace(Millis(10), Vec::new(), StoreRevision::new(1, 5));
    let effect = evacuations.apply(Millis(20), requested("west", 1, 6));
    assert_eq!(effect, EvacuationEffect::Confirmed);
    evacuations.set_confirmed(Millis(90_000));
    assert!(evacuations.expire(Millis(90_000)).is_empty());
}

/// Guards against an old request that returns while its tombstone has to be retained, and against tombstones that are
/// retained for good.
#[test]
fn a_withdrawn_evacuation_is_retained_for_a_while() {
    let mut evacuations = known([requested("west", 0, 3), withdrawn("west", 0, 4)]);
    evacuations.expire(TOMBSTONE_RETENTION - Millis(1));
    let effect = evacuations.apply(TOMBSTONE_RETENTION - Millis(1), requested("west", 0, 3));
    assert_eq!(effect, EvacuationEffect::Outdated);
    assert_eq!(evacuations.changes_after(StoreRevision::NONE).count(), 1);
    evacuations.expire(TOMBSTONE_RETENTION);
    assert_eq!(evacuations.iter().count(), 0);
}

/// Guards against memory that faulty writers or peers use up, and against tombstones that keep a request out.
#[test]
fn the_number_of_evacuations_is_bounded() {
    let name = |number: usize| format!("zone-{number}");
    let mut evacuations = known((0..MAX_EVACUATIONS).map(|n| requested(&name(n), 0, n as u64 + 1)));
    let more = requested("more", 0, 5_000);
    assert_eq!(evacuations.apply(Millis(1), more.clone()), EvacuationEffect::Refused);
    evacuations.apply(Millis(2), withdrawn(&name(7), 0, 5_001));
    assert_eq!(evacuations.apply(Millis(3), more), EvacuationEffect::Began);
    assert_eq!(evacuations.iter().count(), MAX_EVACUATIONS);
    assert_eq!(evacuations.in_force_count(), MAX_EVACUATIONS);
}

/// Guards against names from peers that cannot be logged or compared with those of targets.
#[test_case(""; "empty")]
#[test_case("a b"; "space")]
#[test_case("../west"; "slash")]
#[test_case("\u{e9}"; "outside of ASCII")]
#[test_case(&"a".repeat(64); "too long")]
fn an_invalid_name_is_refused(name: &str) {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.apply(Millis(1), requested(name, 0, 1)), EvacuationEffect::Refused);
    assert_eq!(evacuations.iter().count(), 0);
}

/// Guards against an evacuation that is in force too late at some VM: it travels as quickly as a change of a target.
#[test_case(1; "one VM")]
#[test_case(3; "three VMs")]
#[test_case(27; "twenty-seven VMs")]
fn an_evacuation_and_its_end_reach_every_vm_within_a_second(count: usize) {
    let mut centre = DataCentre::new(count);
    centre.run(Millis(5_000));
    for evacuate in [true, false] {
        centre.evacuate("west", evacuate);
        centre.run(Millis(1_000));
        centre.assert_up_to_date();
    }
}

/// Guards against an evacuation that is in force too late because the readers lose the store before.
#[test]
fn an_evacuation_is_in_force_in_time_although_the_readers_get_no_response() {
    for delay in 0..30 {
        let mut centre = DataCentre::new(4);
        centre.run(Millis(8_000));
        let reader = centre.readers().remove(0);
        centre.vms.get_mut(&reader).expect("a reader").reaches_store = false;
        centre.run(Millis(100 * delay));
        centre.evacuate("west", true);
        centre.run(EVACUATE_WITHIN);
        centre.assert_up_to_date();
    }
}

/// Guards against new flows through a VM that starts while the store is unavailable and does not know the evacuations.
#[test]
fn a_vm_that_starts_during_an_outage_gets_the_evacuations_from_a_peer() {
    let mut centre = DataCentre::new(3);
    centre.evacuate("west", true);
    centre.run(Millis(4_000));
    for vm in centre.vms.values_mut() {
        vm.reaches_store = false;
    }
    centre.run(Millis(1_000));
    let started = centre.vms.keys().next().expect("a VM").clone();
    centre.restart(&started, SharingLimits::default());
    for _ in 0..30 {
        centre.run(TICK);
        let vm = &centre.vms[&started];
        assert!(vm.targets.usable_count() == 0 || evacuated(vm).contains(&Name::new("west")));
    }
    centre.assert_up_to_date();
}

/// Guards against a VM that brings its view of before the evacuation, or of before its end, back to its peers, and
/// against one that keeps that view. It was paused, for longer than tombstones are retained in one case.
#[test_case(true, Millis(20_000); "missed the request")]
#[test_case(false, Millis(20_000); "missed the withdrawal")]
#[test_case(true, Millis(90_000); "missed the request for long")]
#[test_case(false, Millis(90_000); "missed the withdrawal for long")]
fn a_peer_with_an_old_view_catches_up_and_changes_nothing(evacuate: bool, pause: Millis) {
    let mut centre = DataCentre::new(4);
    centre.evacuate("west", !evacuate);
    centre.run(Millis(4_000));
    let paused = centre.readers().remove(0);
    centre.vms.get_mut(&paused).expect("a VM").running = false;
    centre.evacuate("west", evacuate);
    centre.run(pause);
    let vm = centre.vms.get_mut(&paused).expect("a VM");
    (vm.running, vm.reaches_store) = (true, false);
    let expected = centre.requested();
    for _ in 0..50 {
        centre.run(TICK);
        for (id, vm) in centre.vms.iter().filter(|(id, _)| **id != paused) {
            assert_eq!(evacuated(vm), expected, "evacuations of {id}");
        }
    }
    centre.assert_up_to_date();
}

/// Guards against a data centre that gets flows again because its evacuation was lost in a restore of the store and is
/// written again later, and against one that stays empty because it is not.
#[test_case(true; "written again")]
#[test_case(false; "not written again")]
fn an_evacuation_that_a_restore_lost_stays_in_force_for_a_while(written_again: bool) {
    let mut centre = DataCentre::new(4);
    centre.run(Millis(4_000));
    let backup = centre.backup();
    centre.evacuate("west", true);
    centre.run(Millis(2_000));
    centre.restore(backup);
    let limit = REREGISTRATION_GRACE - TICK;
    for tick in 1..=(limit.get() / TICK.get()) {
        centre.run(TICK);
        for (id, vm) in &centre.vms {
            assert!(evacuated(vm).contains(&Name::new("west")), "{id} after {tick} ticks");
        }
        if written_again && tick == 20 {
            centre.evacuate("west", true);
        }
    }
    centre.run(Millis(6_000));
    centre.assert_up_to_date();
}

/// Runs a data centre, and checks at each step that no running VM has forgotten a request that it knew and that operators
/// have not withdrawn. `wanted` has the revision of each request.
fn run_checked(centre: &mut DataCentre, wanted: &BTreeMap<Name, StoreRevision>, ticks: u64) {
    for _ in 0..ticks {
        let knew: Vec<(VmId, Name)> = knowing(centre, wanted);
        centre.run(TICK);
        let knows = knowing(centre, wanted);
        for entry in knew {
            assert!(knows.contains(&entry), "{} forgot the evacuation of {}", entry.0, entry.1);
        }
    }
}

/// Returns which VMs know which of the requests.
fn knowing(centre: &DataCentre, wanted: &BTreeMap<Name, StoreRevision>) -> Vec<(VmId, Name)> {
    let pairs = centre.vms.iter().flat_map(|(id, vm)| wanted.iter().map(move |it| (id, vm, it)));
    let known = pairs.filter(|(_, vm, (data_centre, since))| {
        let known = vm.evacuations.get(data_centre);
        known.is_some_and(|known| known.is_in_force() && known.requested_at >= **since)
    });
    known.map(|(id, _, (data_centre, _))| (id.clone(), data_centre.clone())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against orders of arrival in which an older change replaces a newer one.
    #[test]
    fn the_newest_change_counts_in_any_order(
        (changes, order) in (1usize..9).prop_flat_map(|count| (
            proptest::collection::vec((0u64..3, any::<bool>()), count),
            Just((0..count).collect::<Vec<_>>()).prop_shuffle(),
        ))
    ) {
        let change = |index: usize| {
            let (epoch, is_request) = changes[index];
            let number = index as u64 + 1;
            if is_request { requested("west", epoch, number) } else { withdrawn("west", epoch, number) }
        };
        let evacuations = known(order.into_iter().map(change));
        let newest = (0..changes.len()).max_by_key(|index| change(*index).revision()).expect("a change");
        prop_assert_eq!(evacuations.is_evacuated(&Name::new("west")), changes[newest].1);
    }

    /// Guards against orders of changes, restarts, pauses, partitions, lost messages and restores of the store after
    /// which a VM has another state than the store, or in which it forgets a request. Operators write again within 1 s
    /// what a restore has lost.
    #[test]
    fn no_vm_forgets_an_evacuation_and_all_end_with_the_newest_state(
        steps in proptest::collection::vec((0u8..10, 0usize..5, 1u64..25), 1..40)
    ) {
        let mut centre = DataCentre::new(5);
        let ids: Vec<VmId> = centre.vms.keys().cloned().collect();
        let mut backup = centre.backup();
        let mut wanted: BTreeMap<Name, StoreRevision> = BTreeMap::new();
        centre.run(Millis(3_000));
        for (kind, which, ticks) in steps {
            let data_centre = format!("zone-{}", which % 3);
            let vm = centre.vms.get_mut(&ids[which]).expect("a VM");
            match kind {
                0 => vm.reaches_store = false,
                1 => vm.reaches_store = true,
                2 => vm.running = !vm.running,
                3 | 4 => {
                    centre.evacuate(&data_centre, true);
                    let revision = centre.revision();
                    wanted.entry(Name::new(&data_centre)).or_insert(revision);
                }
                5 => {
                    centre.evacuate(&data_centre, false);
                    wanted.remove(data_centre.as_str());
                }
                6 => centre.drop_every = Some(2 + which),
                7 => backup = centre.backup(),
                8 => centre.restart(&ids[which], SharingLimits::default()),
                _ => {
                    centre.restore(std::mem::replace(&mut backup, centre.backup()));
                    run_checked(&mut centre, &wanted, 10);
                    let requested = centre.requested();
                    wanted.keys().filter(|name| !requested.contains(*name))
                        .for_each(|name| centre.evacuate(name.as_str(), true));
                    requested.iter().filter(|name| !wanted.contains_key(*name))
                        .for_each(|name| centre.evacuate(name.as_str(), false));
                }
            }
            run_checked(&mut centre, &wanted, ticks);
        }
        centre.drop_every = None;
        for vm in centre.vms.values_mut() {
            (vm.running, vm.reaches_store) = (true, true);
        }
        centre.set_members();
        run_checked(&mut centre, &wanted, 90);
        let requested = centre.requested();
        prop_assert_eq!(requested.iter().collect::<Vec<_>>(), wanted.keys().collect::<Vec<_>>());
        for (id, vm) in &centre.vms {
            prop_assert_eq!(evacuated(vm), requested.clone(), "evacuations of {}", id);
        }
    }
}

/// A router with two targets of one service in each of three data centres.
fn three_data_centres() -> TokenRouter {
    let names = ["east", "west", "north"];
    let records = names.into_iter().flat_map(|data_centre| {
        (0..2).map(move |n| target(&format!("{data_centre}-{n}"), "desk", data_centre, 1))
    });
    router(records)
}

fn change(router: &mut TokenRouter, data_centre: &str, evacuate: bool, number: u64) {
    let change = if evacuate { requested } else { withdrawn };
    router.change_evacuation(Millis(4_000), change(data_centre, 0, number));
}

/// Guards against new flows to evacuated data centres, the VM's own one included, and against refusals while another data
/// centre could serve. If none can, the client is told at once.
#[test_case(&["west"]; "one")]
#[test_case(&["east"]; "its own")]
#[test_case(&["east", "north"]; "several")]
#[test_case(&["east", "north", "west"]; "all")]
fn no_new_flow_goes_to_an_evacuated_data_centre(evacuated: &[&str]) {
    let mut router = three_data_centres();
    for (number, data_centre) in evacuated.iter().enumerate() {
        change(&mut router, data_centre, true, 200 + number as u64);
    }
    for port in 0..300 {
        let (flow, copy) =
            (flow(port, if port % 2 == 0 { FEED } else { CLAIM }), u32::from(port % 3));
        let verdict = deliver(&mut router, Millis(5_000), &opening(flow, copy));
        if evacuated.len() == 3 {
            assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
        } else {
            let chosen = router.take_decision().expect("a target").target;
            assert!(!evacuated.iter().any(|name| chosen.as_str().starts_with(name)), "{chosen}");
        }
    }
    assert_eq!(router.evacuated_targets(), 2 * evacuated.len());
    for (number, data_centre) in evacuated.iter().enumerate() {
        change(&mut router, data_centre, false, 300 + number as u64);
    }
    let chosen: Vec<Name> = (1_000..1_300)
        .map(|port| open(&mut router, Millis(6_000), flow(port, FEED), 0).target)
        .collect();
    for data_centre in evacuated {
        let in_use = chosen.iter().any(|name| name.as_str().starts_with(data_centre));
        assert!(in_use, "{data_centre} is back and gets no flows");
    }
    assert_eq!(router.evacuated_targets(), 0);
}

/// Guards against a probe flow or a repeated opening that goes to an evacuated data centre because all other targets are
/// suspected of being silent.
#[test]
fn an_evacuated_data_centre_is_no_way_out_when_all_others_are_suspected() {
    let mut router = three_data_centres();
    change(&mut router, "east", true, 200);
    change(&mut router, "north", true, 201);
    let mut all_suspect = 0;
    for step in 0..400u16 {
        let (flow, now) = (flow(step, FEED), Millis(5_000 + u64::from(step) * 20));
        for (copy, after) in [(0, Millis(0)), (1, Millis(200)), (2, Millis(600))] {
            let decision = open(&mut router, now + after, flow, copy);
            all_suspect += u32::from(decision.choice.all_suspect);
            assert!(decision.target.as_str().starts_with("west"), "{decision:?}");
        }
    }
    assert!(all_suspect > 0, "no opening found all targets suspected");
}

/// Guards against open flows that an evacuation breaks: they end with the clients.
#[test]
fn open_flows_continue_during_an_evacuation() {
    let mut router = three_data_centres();
    let name = establish(&mut router, Millis(4_000), flow(1, FEED));
    for data_centre in ["east", "west", "north"] {
        change(&mut router, data_centre, true, 200);
    }
    for step in 0..100u32 {
        let segment = data(flow(1, FEED), &name, 101 + 100 * step, 1 + 300 * step, 100);
        let verdict = deliver(&mut router, Millis(5_000 + 250 * u64::from(step)), &segment);
        assert!(
            matches!(verdict, Verdict::Forward(to) if to.address == target(name.as_str(), "desk", "east", 1).address)
        );
        router.tick(Millis(5_000 + 250 * u64::from(step)));
    }
}

/// Guards against targets that get flows because they register, change or are rebuilt while their data centre is
/// evacuated, and against an evacuation that is forgotten because no target was known when it was requested.
#[test]
fn targets_that_register_during_an_evacuation_get_no_flows() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    change(&mut router, "south", true, 200);
    for (name, number) in [("s1", 201), ("s2", 202), ("s1", 203)] {
        let record = target(name, "desk", "south", number);
        let effect = router.change_target(Millis(4_000), TargetChange::Written(record));
        assert!(matches!(effect, Effect::Added | Effect::Changed));
    }
    let (name, revision) = (Name::new("a1"), StoreRevision::new(0, 204));
    router.change_target(Millis(4_500), TargetChange::Deleted { name, revision, lapsed: false });
    // The tombstone of a1 is purged, which rebuilds the tables.
    for now in [Millis(5_000), Millis(4_500) + TOMBSTONE_RETENTION] {
        router.tick(now);
        let verdict = deliver(&mut router, now, &opening(flow(1, FEED), 0));
        assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
    }
    change(&mut router, "south", false, 205);
    open(&mut router, Millis(90_000), flow(2, FEED), 0);
}

/// Guards against a data centre that stays out of use although its lost evacuation has ended by time.
#[test]
fn a_lapsed_evacuation_returns_its_targets_to_service() {
    let mut router = router([target("w1", "desk", "west", 1)]);
    change(&mut router, "west", true, 200);
    router.set_evacuations(Millis(5_000), Vec::new(), StoreRevision::new(1, 50));
    let verdict = deliver(&mut router, Millis(5_000), &opening(flow(1, FEED), 0));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
    router.set_confirmed(Millis(5_000) + REREGISTRATION_GRACE);
    router.tick(Millis(7_600));
    assert_eq!(router.take_lapsed_evacuations(), [Name::new("west")]);
    open(&mut router, Millis(7_600), flow(2, FEED), 0);
}
