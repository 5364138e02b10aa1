//! Tests of `BucketRouter`: open flows keep their targets under planned changes and faults.

mod flow_cluster;

use flow_cluster::{Cluster, document, tcp, udp};
use jasminecart_core::flow::{DropReason, PacketKind};
use jasminecart_core::process::MemberState;
use test_case::test_case;

const FLOWS: usize = 400;
const SYN: PacketKind = PacketKind::Syn;
const DATA: PacketKind = PacketKind::Data;

const TARGETS: &[(&str, u32, bool)] = &[("a", 1, false), ("b", 2, false), ("c", 4, false)];

fn open_flows(cluster: &mut Cluster, first: usize) -> Vec<(usize, String)> {
    let count = cluster.vms.len();
    let open_flow = |number: usize| {
        let key = tcp(first + number);
        let target = cluster.target(number % count, key, SYN);
        assert_eq!(cluster.target((number + 1) % count, key, DATA), target);
        (first + number, target)
    };
    (0..FLOWS).map(open_flow).collect()
}

fn check_flows(cluster: &mut Cluster, flows: &[(usize, String)], step: usize) {
    let running: Vec<usize> =
        (0..cluster.vms.len()).filter(|index| cluster.is_running(*index)).collect();
    for (number, target) in flows {
        let entry = running[(number + step) % running.len()];
        assert_eq!(cluster.target(entry, tcp(*number), DATA), *target, "flow {number}");
    }
}

// Guards against flows that move when a document changes. Packets go to every VM in turn, before and after the
// new document is activated.
#[test_case(&[("a", 1, true), ("b", 2, false), ("c", 4, false)]; "target drains")]
#[test_case(&[("a", 1, false), ("b", 2, false), ("c", 4, false), ("d", 4, false)]; "target is added")]
#[test_case(&[("a", 4, false), ("b", 2, false), ("c", 1, false)]; "weights change")]
#[test_case(&[("a", 1, true), ("b", 2, true), ("c", 4, false), ("d", 1, false)]; "targets are replaced")]
fn a_planned_change_breaks_no_flow(targets: &[(&str, u32, bool)]) {
    let mut cluster = Cluster::new(5, &document(1, TARGETS));
    let before = open_flows(&mut cluster, 0);
    cluster.publish(&document(2, targets));
    check_flows(&mut cluster, &before, 1);
    let during = open_flows(&mut cluster, 1_000);
    cluster.advance(5_000);
    let after = open_flows(&mut cluster, 2_000);
    for step in 0..5 {
        cluster.advance(1_000);
        for flows in [&before, &during, &after] {
            check_flows(&mut cluster, flows, step);
        }
    }
    let drains =
        |name: &str| targets.iter().any(|(target, _, draining)| *target == name && *draining);
    assert!(
        after.iter().all(|(_, target)| !drains(target)),
        "a draining target received a new flow"
    );
}

// Guards against exceptions that are lost when their owners change with the membership.
#[test_case(MemberState::Leaving, 0; "a VM leaves")]
#[test_case(MemberState::Dead, 0; "a VM dies")]
#[test_case(MemberState::Leaving, 1; "a VM joins and one leaves")]
#[test_case(MemberState::Dead, 2; "two VMs join and one dies")]
fn a_change_of_members_breaks_no_flow(state: MemberState, joining: usize) {
    let mut cluster = Cluster::new(5, &document(1, TARGETS));
    let before = open_flows(&mut cluster, 0);
    let changed = document(2, &[("a", 1, true), ("b", 2, false), ("c", 4, false), ("d", 3, false)]);
    cluster.publish(&changed);
    cluster.advance(5_000);
    let after = open_flows(&mut cluster, 1_000);
    cluster.advance(1_000);
    for _ in 0..joining {
        let index = cluster.add(MemberState::Joining);
        cluster.adopt(index, &changed);
    }
    let now = cluster.now;
    cluster.vms[1].state = state;
    if state == MemberState::Leaving {
        let messages = cluster.vms[1].router.leave(now);
        cluster.queue(1, messages);
    }
    for step in 0..20 {
        cluster.advance(1_000);
        for index in 0..cluster.vms.len() {
            let vm = &mut cluster.vms[index];
            if vm.state == MemberState::Joining && vm.router.is_ready(cluster.now) {
                vm.state = MemberState::Active;
            }
        }
        check_flows(&mut cluster, &before, step);
        check_flows(&mut cluster, &after, step);
    }
    assert!(
        cluster.vms.iter().all(|vm| vm.state != MemberState::Joining),
        "a VM did not become ready to join"
    );
    if state == MemberState::Leaving {
        assert!(cluster.vms[1].router.is_drained());
    }
}

// Guards against entries and forwarded packets for settled buckets, whose base target every VM can derive.
#[test]
fn a_settled_bucket_needs_no_state() {
    let mut cluster = Cluster::new(3, &document(1, TARGETS));
    for number in 0..FLOWS {
        let (_, hops) = cluster.send(number % 3, tcp(number), SYN).unwrap();
        assert_eq!(hops, 0);
    }
    assert!(cluster.vms.iter_mut().all(|vm| vm.router.measure().entries == 0));
}

#[test]
fn a_packet_for_no_service_is_dropped_and_counted() {
    let mut cluster = Cluster::new(1, &document(1, TARGETS));
    let mut key = tcp(1);
    key.destination.set_port(1);
    assert_eq!(cluster.send(0, key, SYN), Err(DropReason::NoService));
    assert_eq!(cluster.vms[0].router.counters().dropped_no_service, 1);
}

// Guards against active UDP flows that move when their bucket becomes unsettled, and against new flows on a
// draining target.
#[test]
fn udp_flows_stay_and_new_ones_avoid_a_draining_target() {
    let mut cluster = Cluster::new(4, &document(1, TARGETS));
    let targets: Vec<String> =
        (0..FLOWS).map(|n| cluster.target(n % 4, udp(n), PacketKind::Datagram)).collect();
    cluster.publish(&document(2, &[("a", 1, false), ("b", 2, false), ("c", 4, true)]));
    for step in 0..20 {
        cluster.advance(1_000);
        for (number, target) in targets.iter().enumerate() {
            assert_eq!(
                cluster.target((number + step) % 4, udp(number), PacketKind::Datagram),
                *target
            );
        }
    }
    for number in 5_000..5_400 {
        assert_ne!(cluster.target(number % 4, udp(number), PacketKind::Datagram), "c");
    }
}

const TARGETS_AFTER_CHANGE: &[(&str, u32, bool)] =
    &[("a", 1, false), ("b", 2, true), ("c", 4, false), ("d", 3, false)];

/// Returns a cluster in which one target drains and another was added, with flows opened before and after that.
fn cluster_after_change(vms: usize) -> (Cluster, Vec<(usize, String)>) {
    let mut cluster = Cluster::new(vms, &document(1, TARGETS));
    let mut flows = open_flows(&mut cluster, 0);
    cluster.publish(&document(2, TARGETS_AFTER_CHANGE));
    cluster.advance(6_000);
    flows.extend(open_flows(&mut cluster, 1_000));
    (cluster, flows)
}

// Guards against a VM that routes by outdated tables: after a pause its members, entries and document may have
// changed without it.
#[test_case(2_000, false; "a short pause")]
#[test_case(20_000, false; "a long pause")]
#[test_case(2_000, true; "a pause during a change")]
fn a_paused_vm_breaks_no_flow(duration: u64, change: bool) {
    let (mut cluster, mut flows) = cluster_after_change(5);
    cluster.vms[0].paused = true;
    if change {
        let next = document(3, &[("a", 1, true), ("b", 2, true), ("c", 4, false), ("d", 3, false)]);
        (1..5).for_each(|index| cluster.adopt(index, &next));
    }
    cluster.advance(duration);
    if duration > 10_000 {
        // The other VMs declare the paused VM dead, open flows without it and see it active again.
        cluster.vms[0].state = MemberState::Dead;
        cluster.advance(3_000);
        for number in 3_000..3_400 {
            let target = cluster.target(1 + number % 4, tcp(number), SYN);
            assert_eq!(cluster.target(1 + (number + 1) % 4, tcp(number), DATA), target);
            flows.push((number, target));
        }
        cluster.vms[0].state = MemberState::Active;
    }
    cluster.vms[0].paused = false;
    // The VM drops the packets that it reads in the first 250 ms after the pause.
    cluster.advance(500);
    for step in 0..10 {
        check_flows(&mut cluster, &flows, step);
        cluster.advance(1_000);
    }
}

// Guards against packets that waited in a socket during a pause and belong to an earlier flow of the same
// addresses.
#[test]
fn packets_queued_during_a_pause_are_dropped() {
    let (mut cluster, _) = cluster_after_change(3);
    cluster.now += jasminecart_core::Millis(5_000);
    assert_eq!(cluster.send(0, tcp(1), DATA), Err(DropReason::Backlog));
    assert_eq!(cluster.vms[0].router.counters().pauses, 1);
}

// Guards against routing by stale hints, entries or generations when the addresses of a closed flow are reused.
#[test_case(0; "at once")]
#[test_case(20; "while hints live")]
#[test_case(200; "after all entries expired")]
fn a_reused_port_is_a_new_flow(seconds: u64) {
    let (mut cluster, flows) = cluster_after_change(4);
    for _ in 0..6 {
        // Repeated packets make the owners send hints.
        check_flows(&mut cluster, &flows, 0);
        cluster.advance(500);
    }
    for (number, target) in &flows {
        assert_eq!(cluster.target(number % 4, tcp(*number), PacketKind::Fin), *target);
    }
    cluster.advance(200 + seconds * 1_000);
    let mut reopened = Vec::new();
    // While VMs hold hints for a draining target, the first SYN starts their revocation and is dropped. TCP
    // retransmits it after 1 s, by when it has to be accepted.
    let is_revoking = |cluster: &mut Cluster, number: usize| {
        cluster.send((number + 1) % 4, tcp(number), SYN) == Err(DropReason::Revoking)
    };
    let dropped = flows.iter().filter(|(number, _)| is_revoking(&mut cluster, *number)).count();
    assert!(
        seconds < 100 || dropped == 0,
        "{dropped} SYNs were dropped although all hints had expired"
    );
    cluster.advance(1_000);
    for (number, _) in &flows {
        let sent = cluster.send((number + 1) % 4, tcp(*number), SYN);
        let (target, _) = sent.expect("a retransmitted SYN is accepted");
        assert_ne!(target, "b", "the draining target received a new flow");
        reopened.push((*number, target));
    }
    cluster.advance(200);
    for step in 0..8 {
        check_flows(&mut cluster, &reopened, step);
        cluster.advance(10_000);
    }
}

// Guards against a retransmitted SYN that selects another target after the document or the owners have changed.
#[test]
fn a_retransmitted_syn_keeps_its_target() {
    let mut cluster = Cluster::new(5, &document(1, TARGETS));
    cluster.publish(&document(2, TARGETS_AFTER_CHANGE));
    let first: Vec<String> = (0..FLOWS).map(|n| cluster.target(n % 5, tcp(n), SYN)).collect();
    cluster.advance(4_000);
    for (number, target) in first.iter().enumerate() {
        assert_eq!(cluster.target((number + 2) % 5, tcp(number), SYN), *target);
        assert_eq!(cluster.target((number + 3) % 5, tcp(number), DATA), *target);
    }
}

// Guards against mixing up two generations of a target: one that was removed and comes back under its old name
// must not affect open flows, and must keep its own.
#[test]
fn a_target_that_returns_breaks_no_flow() {
    let (mut cluster, flows) = cluster_after_change(4);
    let without: Vec<_> =
        TARGETS_AFTER_CHANGE.iter().copied().filter(|target| target.0 != "b").collect();
    cluster.publish(&document(3, &without));
    cluster.advance(5_000);
    let with_returned: Vec<_> = without.iter().copied().chain([("b", 2, false)]).collect();
    // Revision 4 is skipped.
    cluster.publish(&document(5, &with_returned));
    cluster.advance(5_000);
    let remaining: Vec<_> = flows.into_iter().filter(|(_, target)| target != "b").collect();
    for step in 0..4 {
        check_flows(&mut cluster, &remaining, step);
    }
    let new_flows = open_flows(&mut cluster, 5_000);
    assert!(new_flows.iter().any(|(_, target)| target == "b"));
    for step in 0..4 {
        check_flows(&mut cluster, &new_flows, step);
    }
}

// Guards against a VM that missed the revision without a target and so assigns the returned target its old
// generation.
#[test]
fn a_vm_that_skips_revisions_receives_the_generations() {
    let mut cluster = Cluster::new(4, &document(1, TARGETS));
    let without = document(2, &TARGETS[..2]);
    (0..3).for_each(|index| cluster.adopt(index, &without));
    cluster.advance(5_000);
    cluster.publish(&document(3, TARGETS));
    cluster.advance(5_000);
    let flows = open_flows(&mut cluster, 0);
    for step in 0..4 {
        check_flows(&mut cluster, &flows, step);
    }
}

// Guards against a SYN flood that evicts established flows, and against an exception table that grows without
// bound.
#[test]
fn a_full_table_keeps_established_flows() {
    let limits = jasminecart_core::flow::FlowLimits { max_exceptions: 400 };
    let mut cluster = Cluster::with_limits(3, &document(1, TARGETS), limits);
    cluster.publish(&document(2, TARGETS_AFTER_CHANGE));
    cluster.advance(5_000);
    let flows = open_flows(&mut cluster, 0);
    for number in 10_000..14_000 {
        let target = cluster.target(number % 3, tcp(number), SYN);
        assert_ne!(target, "b");
    }
    check_flows(&mut cluster, &flows, 0);
    for vm in &mut cluster.vms {
        assert!(vm.router.measure().entries <= 400);
    }
}

// Guards against fragments of one packet that reach different targets: later fragments carry no ports.
#[test]
fn later_fragments_follow_the_first() {
    let (mut cluster, flows) = cluster_after_change(4);
    for (number, target) in flows.iter().take(50) {
        let key = tcp(*number);
        let id = *number as u32;
        let kind = PacketKind::FirstFragment { id, syn: false };
        assert_eq!(cluster.target(number % 4, key, kind), *target);
        for entry in 0..4 {
            assert_eq!(cluster.fragment(entry, key, id), Ok(target.clone()));
        }
        assert_eq!(cluster.fragment(0, key, id + 1), Err(DropReason::NoFragment));
    }
}

#[test]
fn an_explanation_names_target_owners_and_revision() {
    let (cluster, flows) = cluster_after_change(3);
    let (number, target) = &flows[FLOWS];
    let explained: Vec<_> =
        cluster.vms.iter().map(|vm| vm.router.explain(cluster.now, &tcp(*number))).collect();
    assert!(explained.iter().any(|why| why.target.as_ref().is_some_and(|t| t.as_str() == target)));
    assert!(explained[0].reason.contains("owners ub-1/vm-"), "{}", explained[0].reason);
    assert!(explained[0].reason.contains("revision 2"), "{}", explained[0].reason);
}
