//! Contract tests of the flow router: open flows under planned changes and faults.

mod flow_cluster;

use flow_cluster::{Cluster, document, tcp, udp};
use jasminecart_core::flow::{DropReason, PacketKind};
use jasminecart_core::process::MemberState;
use test_case::test_case;

const FLOWS: usize = 400;
const SYN: PacketKind = PacketKind::Syn;
const DATA: PacketKind = PacketKind::Data;

const THREE: &[(&str, u32, bool)] = &[("a", 1, false), ("b", 2, false), ("c", 4, false)];

fn open(cluster: &mut Cluster, first: usize) -> Vec<(usize, String)> {
    let count = cluster.vms.len();
    let open = |number: usize| {
        let key = tcp(first + number);
        let target = cluster.target(number % count, key, SYN);
        assert_eq!(cluster.target((number + 1) % count, key, DATA), target);
        (first + number, target)
    };
    (0..FLOWS).map(open).collect()
}

fn check(cluster: &mut Cluster, flows: &[(usize, String)], step: usize) {
    let running: Vec<usize> =
        (0..cluster.vms.len()).filter(|index| cluster.is_running(*index)).collect();
    for (number, target) in flows {
        let entry = running[(number + step) % running.len()];
        assert_eq!(cluster.target(entry, tcp(*number), DATA), *target, "flow {number}");
    }
}

// Guards against flows that move when a document changes, at any VM and before and after activation.
#[test_case(&[("a", 1, true), ("b", 2, false), ("c", 4, false)]; "target drains")]
#[test_case(&[("a", 1, false), ("b", 2, false), ("c", 4, false), ("d", 4, false)]; "target is added")]
#[test_case(&[("a", 4, false), ("b", 2, false), ("c", 1, false)]; "weights change")]
#[test_case(&[("a", 1, true), ("b", 2, true), ("c", 4, false), ("d", 1, false)]; "targets are replaced")]
fn a_planned_change_breaks_no_flow(targets: &[(&str, u32, bool)]) {
    let mut cluster = Cluster::new(5, &document(1, THREE));
    let before = open(&mut cluster, 0);
    cluster.publish(&document(2, targets));
    check(&mut cluster, &before, 1);
    let during = open(&mut cluster, 1_000);
    cluster.advance(5_000);
    let after = open(&mut cluster, 2_000);
    for step in 0..5 {
        cluster.advance(1_000);
        for flows in [&before, &during, &after] {
            check(&mut cluster, flows, step);
        }
    }
    let drains =
        |name: &str| targets.iter().any(|(target, _, draining)| *target == name && *draining);
    assert!(after.iter().all(|(_, target)| !drains(target)), "a draining target gets a new flow");
}

// Guards against entries that are lost with a change of the members.
#[test_case(MemberState::Leaving, 0; "a VM leaves")]
#[test_case(MemberState::Dead, 0; "a VM dies")]
#[test_case(MemberState::Leaving, 1; "a VM joins and one leaves")]
#[test_case(MemberState::Dead, 2; "two VMs join and one dies")]
fn a_change_of_members_breaks_no_flow(state: MemberState, joining: usize) {
    let mut cluster = Cluster::new(5, &document(1, THREE));
    let before = open(&mut cluster, 0);
    let changed = document(2, &[("a", 1, true), ("b", 2, false), ("c", 4, false), ("d", 3, false)]);
    cluster.publish(&changed);
    cluster.advance(5_000);
    let after = open(&mut cluster, 1_000);
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
        check(&mut cluster, &before, step);
        check(&mut cluster, &after, step);
    }
    assert!(cluster.vms.iter().all(|vm| vm.state != MemberState::Joining), "a VM does not join");
    if state == MemberState::Leaving {
        assert!(cluster.vms[1].router.is_drained());
    }
}

// Guards against state and forwarding where none is needed.
#[test]
fn a_settled_bucket_needs_no_state() {
    let mut cluster = Cluster::new(3, &document(1, THREE));
    for number in 0..FLOWS {
        let (_, hops) = cluster.send(number % 3, tcp(number), SYN).unwrap();
        assert_eq!(hops, 0);
    }
    assert!(cluster.vms.iter_mut().all(|vm| vm.router.measure().entries == 0));
}

#[test]
fn a_packet_for_no_service_is_dropped_and_counted() {
    let mut cluster = Cluster::new(1, &document(1, THREE));
    let mut key = tcp(1);
    key.destination.set_port(1);
    assert_eq!(cluster.send(0, key, SYN), Err(DropReason::NoService));
    assert_eq!(cluster.vms[0].router.counters().dropped_no_service, 1);
}

// Guards against active UDP flows that move when their bucket becomes unsettled, and against new ones on
// a draining target.
#[test]
fn udp_flows_stay_and_new_ones_avoid_a_draining_target() {
    let mut cluster = Cluster::new(4, &document(1, THREE));
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
