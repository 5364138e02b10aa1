//! Tests of a store that comes back from a copy some seconds old and gives revisions out again: what was known before stays
//! in force, and what is written afterwards gets in force everywhere.

use jasminecart_core::version::{
    Effect, REREGISTRATION_GRACE, Registration, StoreRevision, TargetChange, TargetList,
    TargetRecord, TargetState, View,
};
use jasminecart_core::{Millis, Name};
use proptest::prelude::*;
use test_case::test_case;

use crate::data_centre::{APPLY_WITHIN, DataCentre, TICK};
use crate::support::{FEED, UPLOAD, report, target};

/// How long the store was away before it came back.
const OUTAGE: Millis = Millis(1_000);

/// Returns a data centre whose store is away and loses the changes that `lose` makes.
fn restored(count: usize, lose: impl FnOnce(&mut DataCentre)) -> DataCentre {
    let mut centre = DataCentre::new(count);
    centre.write(report("a2", 1, 1, TargetState::Active));
    centre.write(report("a3", 1, 1, TargetState::Active));
    centre.run(Millis(5_000));
    let backup = centre.backup();
    lose(&mut centre);
    centre.run(Millis(2_000));
    for vm in centre.vms.values_mut() {
        vm.reaches_store = false;
    }
    centre.run(OUTAGE);
    centre.restore(backup);
    for vm in centre.vms.values_mut() {
        vm.reaches_store = true;
    }
    centre
}

fn usable(targets: &TargetList) -> Vec<&str> {
    let usable = targets.iter().filter(|target| target.accepts_flows());
    usable.map(|target| target.record.name.as_str()).collect()
}

/// Guards against a change that is never in force because its revision had been given out before, whether the store
/// has passed the revision that the VMs have or not.
#[test_case(1, 0; "one VM, lower revisions")]
#[test_case(1, 20; "one VM, passed revisions")]
#[test_case(3, 0; "three VMs, lower revisions")]
#[test_case(3, 20; "three VMs, passed revisions")]
#[test_case(27, 0; "twenty-seven VMs, lower revisions")]
#[test_case(27, 20; "twenty-seven VMs, passed revisions")]
fn changes_after_a_restore_reach_every_vm_in_time(count: usize, more_writes: usize) {
    let mut centre = restored(count, |centre| {
        centre.configure(|routes| routes.idle_timeout = Millis(1_000));
        for number in 0..5 {
            centre.write(target(&format!("lost{number}"), "desk", "east", 0));
        }
    });
    centre.configure(|routes| routes.idle_timeout = Millis(1_000));
    centre.configure(|routes| {
        routes.by_address.remove(&UPLOAD);
    });
    centre.delete("a3");
    for number in 0..more_writes {
        centre.write(target(&format!("new{number}"), "desk", "east", 0));
    }
    centre.run(APPLY_WITHIN + REREGISTRATION_GRACE);
    centre.assert_up_to_date();
    centre.configure(|routes| {
        routes.by_address.remove(&FEED);
    });
    centre.run(Millis(1_000));
    centre.assert_up_to_date();
    assert_eq!(centre.readers().len(), 1);
}

/// Guards against routes that come back older: the store returns those of the copy until the operator has written the
/// lost version again.
#[test]
fn restored_routes_do_not_replace_newer_ones() {
    let mut lost = None;
    let mut centre = restored(3, |centre| {
        centre.configure(|routes| {
            routes.by_address.remove(&UPLOAD);
        });
        lost = Some(centre.routes.clone());
    });
    let lost = lost.expect("routes");
    for _ in 0..30 {
        centre.run(TICK);
        for (id, vm) in &centre.vms {
            let routes = vm.routes.as_ref().expect("routes");
            assert_eq!(routes.version, lost.version, "{id} has older routes again");
        }
    }
    centre.configure_again(&lost);
    centre.run(Millis(1_000));
    centre.assert_up_to_date();
}

/// Guards against new flows to a target that drains or has left, because the store returns its earlier record.
#[test]
fn a_target_that_drained_or_left_gets_no_flows_from_a_restored_record() {
    let mut centre = restored(3, |centre| {
        centre.write(report("a2", 1, 7, TargetState::Draining));
        centre.delete("a3");
    });
    for _ in 0..40 {
        centre.run(TICK);
        for (id, vm) in &centre.vms {
            assert_eq!(usable(&vm.targets), ["a1"], "targets of {id}");
        }
    }
    // Both are deleted when the platform notices that they are silent, and a3 comes back as a new incarnation.
    centre.delete("a2");
    centre.delete("a3");
    centre.write(report("a3", 2, 1, TargetState::Active));
    centre.run(APPLY_WITHIN);
    centre.assert_up_to_date();
}

/// Guards against a target that is taken as gone because the store lost its registration, and against one that stays for
/// good although it does not register again.
#[test]
fn a_target_whose_registration_was_lost_has_time_to_register_again() {
    let mut centre = restored(3, |centre| {
        centre.write(report("b1", 5, 1, TargetState::Active));
        centre.write(report("b2", 5, 1, TargetState::Active));
    });
    centre.run(Millis(1_500));
    for (id, vm) in &centre.vms {
        assert_eq!(usable(&vm.targets), ["a1", "a2", "a3", "b1", "b2"], "targets of {id}");
    }
    centre.write(report("b1", 5, 2, TargetState::Active));
    centre.run(Millis(4_000));
    for (id, vm) in &centre.vms {
        assert_eq!(usable(&vm.targets), ["a1", "a2", "a3", "b1"], "targets of {id}");
        let registration = vm.targets.get(&Name::new("b1")).map(|target| target.registration);
        assert_eq!(registration, Some(Registration::Registered), "b1 at {id}");
    }
}

/// Guards against a VM that brings its view of before the restore back to its peers, or never leaves it: it was paused, or the
/// store does not respond to it.
#[test_case(true; "paused")]
#[test_case(false; "cut off from the store")]
fn a_vm_that_missed_the_restore_catches_up(paused: bool) {
    let mut centre = DataCentre::new(4);
    centre.run(Millis(4_000));
    let backup = centre.backup();
    centre.write(target("lost", "desk", "east", 0));
    centre.run(Millis(500));
    let reader = centre.readers().remove(0);
    let vm = centre.vms.get_mut(&reader).expect("a VM");
    (vm.running, vm.reaches_store) = (!paused, false);
    centre.restore(backup);
    centre.run(Millis(6_000));
    centre.write(target("a2", "desk", "east", 0));
    centre.configure(|routes| routes.idle_timeout = Millis(7));
    centre.vms.get_mut(&reader).expect("a VM").running = true;
    centre.run(APPLY_WITHIN + REREGISTRATION_GRACE);
    centre.assert_up_to_date();
}

/// Guards against a view that counts as confirmed by a response from before the restore, which a VM handles late because it
/// was paused.
#[test]
fn a_response_from_before_the_restore_confirms_nothing() {
    let mut centre = DataCentre::new(1);
    centre.run(Millis(4_000));
    let old = centre.revision();
    centre.restore(centre.backup());
    centre.run(Millis(500));
    let now = centre.now + Millis(700);
    let vm = centre.vms.values_mut().next().expect("a VM");
    let age = vm.sharing.age(now);
    let view =
        View { evacuations: &vm.evacuations, targets: &vm.targets, routes: vm.routes.as_ref() };
    assert!(vm.sharing.on_store_response(now, old, true, view).is_empty());
    assert_eq!(vm.sharing.age(now), age);
    assert_eq!(vm.sharing.position().epoch, old.epoch + 1);
}

/// Guards against a full transfer that starts over each time that a restored store is confirmed, and against calls of VMs that
/// could get the new state from a peer.
#[test]
fn a_restore_costs_few_calls_and_messages() {
    const VMS: usize = 60;
    let mut centre = DataCentre::new(VMS);
    centre.run(Millis(5_000));
    let backup = centre.backup();
    centre.write(target("lost", "desk", "east", 0));
    centre.run(Millis(1_000));
    centre.restore(backup);
    let before = centre.calls();
    centre.run(Millis(6_000));
    let calls = centre.calls() - before;
    assert!(calls <= 12, "{calls} calls");
    let applied = centre.vms.values().map(|vm| vm.sharing.counters().applied).max();
    assert!(applied <= Some(6), "{applied:?} updates at one VM");
}

fn list(records: &[(StoreRevision, TargetRecord)]) -> TargetList {
    let mut list = TargetList::default();
    let records = records
        .iter()
        .map(|(revision, record)| TargetRecord { revision: *revision, ..record.clone() });
    list.replace(Millis::ZERO, records.collect(), StoreRevision::new(1, 50));
    list
}

/// Guards against taking an older report of a target for a newer one because the restored store returns it in a later
/// epoch, and against ignoring reports that are newer.
#[test_case((1, 4), TargetState::Active, Effect::Ignored; "the same report")]
#[test_case((1, 3), TargetState::Active, Effect::Outdated; "an earlier report")]
#[test_case((1, 5), TargetState::Draining, Effect::Changed; "a later report")]
#[test_case((0, 9), TargetState::Active, Effect::Outdated; "an earlier incarnation")]
#[test_case((2, 1), TargetState::Active, Effect::Restarted; "a later incarnation")]
fn reports_of_a_target_are_ordered_across_a_restore(
    (started_at, sequence): (u64, u64),
    state: TargetState,
    expected: Effect,
) {
    let known = report("a1", 1, 4, TargetState::Active);
    let mut list = list(&[(StoreRevision::new(1, 40), known)]);
    let mut record = report("a1", started_at, sequence, state);
    record.revision = StoreRevision::new(2, 30);
    let effects = list.replace(Millis(100), vec![record], StoreRevision::new(2, 35));
    let effect = effects.first().map_or(Effect::Ignored, |(_, effect)| *effect);
    assert_eq!(effect, expected);
}

/// Guards against a target that stays out of use because its clock went back: what it writes after the restore counts.
#[test]
fn a_record_written_after_the_restore_replaces_any_earlier_one() {
    let mut list = list(&[(StoreRevision::new(1, 40), report("a1", 9, 4, TargetState::Active))]);
    list.replace(Millis(100), Vec::new(), StoreRevision::new(2, 35));
    let mut record = report("a1", 3, 1, TargetState::Active);
    record.revision = StoreRevision::new(2, 36);
    assert_eq!(list.apply(Millis(200), TargetChange::Written(record)), Effect::Restarted);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against orders of failures, changes and restores after which a VM stays behind although all failures are over.
    #[test]
    fn every_vm_catches_up_after_random_restores(
        steps in proptest::collection::vec((0u8..9, 0usize..5, 1u64..25), 1..40)
    ) {
        let mut centre = DataCentre::new(5);
        let ids: Vec<_> = centre.vms.keys().cloned().collect();
        let mut backup = centre.backup();
        let mut sequence = 1;
        centre.run(Millis(3_000));
        for (number, (kind, which, ticks)) in steps.into_iter().enumerate() {
            let vm = centre.vms.get_mut(&ids[which]).expect("a VM");
            sequence += 1;
            match kind {
                0 => vm.reaches_store = false,
                1 => vm.reaches_store = true,
                2 => vm.running = !vm.running,
                3 => centre.delete(&format!("b{which}")),
                4 => centre.configure(|routes| routes.idle_timeout = Millis(number as u64)),
                5 => centre.drop_every = Some(2 + which),
                6 => backup = centre.backup(),
                7 => {
                    let lost = centre.routes.clone();
                    centre.restore(std::mem::replace(&mut backup, centre.backup()));
                    centre.configure_again(&lost);
                }
                _ => centre.write(report(&format!("b{which}"), 1, sequence, TargetState::Active)),
            }
            centre.run(Millis(100 * ticks));
        }
        centre.drop_every = None;
        for vm in centre.vms.values_mut() {
            vm.running = true;
            vm.reaches_store = true;
        }
        // Every target registers again, or leaves.
        for which in 0..5 {
            sequence += 1;
            centre.write(report(&format!("b{which}"), 1, sequence, TargetState::Active));
        }
        centre.write(report("a1", 1, sequence, TargetState::Active));
        centre.run(Millis(9_000));
        centre.assert_up_to_date();
    }
}
