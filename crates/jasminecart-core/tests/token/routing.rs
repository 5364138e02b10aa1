//! Tests of `TokenRouter`: every segment is forwarded to the target of its flow, or dropped or reset for a stated
//! reason.

use std::sync::Arc;

use crate::support::{
    CLAIM, FEED, IDLE, UPLOAD, data, establish, finish, flow, me, open, opening, router, routes,
    rule, target,
};
use jasminecart_core::flow::token::{
    ClientSegment, DropCause, ResetCause, RoutingToken, SegmentKind, TokenRouter,
    TokenRouterLimits, Verdict,
};
use jasminecart_core::version::{
    Effect, REMOVAL_GRACE, REREGISTRATION_GRACE, Repeatable, StoreRevision, TOMBSTONE_RETENTION,
    TargetChange, TargetState,
};
use jasminecart_core::{Millis, Name};
use proptest::prelude::*;
use test_case::test_case;

fn forwarded_label(verdict: Verdict) -> Option<u64> {
    match verdict {
        Verdict::Forward(destination) => Some(destination.label),
        Verdict::Reset(_) | Verdict::Drop(_) => None,
    }
}

/// Guards against flows that break because a segment reaches a VM that has not seen the flow.
#[test]
fn any_vm_routes_any_packet_of_an_open_flow() {
    let targets = ["a1", "a2", "a3", "a4"].map(|name| target(name, "desk", "east", 1));
    let mut first = router(targets.clone());
    let mut other = router(targets);
    for port in 1..200 {
        let name = establish(&mut first, Millis(10), flow(port, FEED));
        let verdict = other.on_segment(Millis(20), &data(flow(port, FEED), &name, 101, 1, 50));
        assert_eq!(forwarded_label(verdict), Some(target(&name.to_string(), "", "", 1).label));
    }
}

/// Guards against open flows that move when targets are added or drain, and against new flows on a draining
/// target.
#[test]
fn an_open_flow_stays_while_targets_change() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    for added in 2..9 {
        let record = target(&format!("a{added}"), "desk", "east", 200 + added);
        router.change_target(Millis(20), TargetChange::Written(record));
    }
    let mut draining = target("a1", "desk", "east", 300);
    draining.state = TargetState::Draining;
    router.change_target(Millis(30), TargetChange::Written(draining));
    let verdict = router.on_segment(Millis(40), &data(flow(1, FEED), &name, 101, 1, 50));
    assert_eq!(forwarded_label(verdict), Some(target("a1", "", "", 1).label));
    for port in 2..50 {
        let decision = open(&mut router, Millis(50), flow(port, FEED), 0);
        assert_ne!(decision.target.as_str(), "a1", "a draining target received a new flow");
    }
}

#[test_case(FEED, None, Verdict::Drop(DropCause::NoToken); "no token on an open flow")]
#[test_case(FEED, Some(("nobody", FEED)), Verdict::Drop(DropCause::UnknownToken); "unknown token")]
#[test_case(FEED, Some(("v1", UPLOAD)), Verdict::Drop(DropCause::ForeignToken); "token of another service")]
#[test_case(UPLOAD, Some(("a1", FEED)), Verdict::Drop(DropCause::ForeignToken); "service of another token")]
#[test_case(FEED, Some(("a1", CLAIM)), Verdict::Drop(DropCause::ForeignToken); "token of another address")]
fn a_forged_token_reaches_no_target(
    service: std::net::SocketAddrV4,
    token: Option<(&str, std::net::SocketAddrV4)>,
    expected: Verdict,
) {
    let mut router = router([target("a1", "desk", "east", 1), target("v1", "vault", "east", 1)]);
    let mut segment = data(flow(1, service), &Name::new("a1"), 101, 1, 50);
    segment.token = token.map(|(name, at)| RoutingToken::of(&Name::new(name), at));
    assert_eq!(router.on_segment(Millis(10), &segment), expected);
}

/// Guards against flows that are reset by a VM that has just started: without a view it cannot say that there
/// is no route or target.
#[test]
fn a_vm_without_a_view_drops_and_never_resets() {
    let mut router = TokenRouter::new(&me(), 7, TokenRouterLimits::default());
    assert!(!router.is_ready());
    let verdict = router.on_segment(Millis(1), &opening(flow(1, FEED), 0));
    assert_eq!(verdict, Verdict::Drop(DropCause::NotReady));
    router.set_routes(Arc::new(routes(1)));
    let verdict = router.on_segment(Millis(2), &opening(flow(1, FEED), 0));
    assert_eq!(verdict, Verdict::Drop(DropCause::NotReady));
}

/// Guards against a start that takes too long because each registration rebuilds every table: a deployment of
/// 300 VMs, with thousands of targets that registered one by one, did not become ready. Each target is a candidate
/// at once, and no longer when it drains.
#[test]
fn targets_that_register_one_by_one_are_candidates_at_once() {
    const TARGETS: u64 = 6_000;
    let mut router = router([target("a0", "desk", "east", 1)]);
    for number in 1..TARGETS {
        let record = target(&format!("a{number}"), "desk", "east", 200 + number);
        router.change_target(Millis(10), TargetChange::Written(record));
    }
    let decision = open(&mut router, Millis(20), flow(1, FEED), 0);
    assert_eq!(decision.choice.candidates as u64, TARGETS);
    for number in 1..TARGETS {
        let mut record = target(&format!("a{number}"), "desk", "east", 10_000 + number);
        record.state = TargetState::Draining;
        router.change_target(Millis(30), TargetChange::Written(record));
    }
    let decision = open(&mut router, Millis(40), flow(2, FEED), 0);
    assert_eq!((decision.target.as_str(), decision.choice.candidates), ("a0", 1));
}

/// Guards against flows that outlive their removed route, and against an older configuration that restores it.
#[test]
fn routes_are_monotonic_and_a_removed_route_resets() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    let mut without = routes(5);
    without.by_address.remove(&FEED);
    assert!(router.set_routes(Arc::new(without)));
    assert!(!router.set_routes(Arc::new(routes(4))), "an older revision of the routes was applied");
    let verdict = router.on_segment(Millis(20), &data(flow(1, FEED), &name, 101, 1, 50));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoRoute));
    let verdict = router.on_segment(Millis(30), &opening(flow(2, FEED), 0));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoRoute));
}

/// Guards against resets of flows to a service whose registrations may only have expired: its targets' entries
/// are missing for a while after an outage of the store, also in the first list of a VM that starts then.
#[test_case(None, REREGISTRATION_GRACE; "first list")]
#[test_case(Some(Millis(10_000)), Millis(10_000) + REREGISTRATION_GRACE; "after an outage")]
fn a_route_without_targets_is_refused_once_that_is_sure(recovered: Option<Millis>, sure: Millis) {
    let mut router = router([target("a1", "desk", "east", 1)]);
    if let Some(at) = recovered {
        router.set_store_recovered(at);
    }
    let verdict = router.on_segment(sure - Millis(1), &opening(flow(1, UPLOAD), 0));
    assert_eq!(verdict, Verdict::Drop(DropCause::NoTargetYet));
    let verdict = router.on_segment(sure, &opening(flow(1, UPLOAD), 2));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
}

/// Guards against clients that wait until their deadline because their target was removed.
#[test]
fn flows_of_a_removed_target_are_reset_after_a_grace_period() {
    let mut router = router([target("a1", "desk", "east", 1), target("a2", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    let deleted = TargetChange::Deleted {
        name: name.clone(),
        revision: StoreRevision::new(0, 200),
        lapsed: false,
    };
    assert_eq!(router.change_target(Millis(100), deleted), Effect::Removed);
    let segment = data(flow(1, FEED), &name, 101, 1, 50);
    let before = Millis(100) + REMOVAL_GRACE - Millis(1);
    assert!(forwarded_label(router.on_segment(before, &segment)).is_some());
    let after = Millis(100) + REMOVAL_GRACE;
    assert_eq!(router.on_segment(after, &segment), Verdict::Reset(ResetCause::TargetGone));
    router.tick(Millis(100) + TOMBSTONE_RETENTION);
    let verdict = router.on_segment(Millis(100) + TOMBSTONE_RETENTION, &segment);
    assert_eq!(verdict, Verdict::Drop(DropCause::UnknownToken));
}

/// Guards against a service without targets because their registrations expired during an outage of the store.
#[test]
fn targets_that_expired_in_an_outage_get_flows_during_a_grace_period() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    router.set_store_recovered(Millis(1_000));
    let deleted = TargetChange::Deleted {
        name: Name::new("a1"),
        revision: StoreRevision::new(0, 200),
        lapsed: false,
    };
    router.change_target(Millis(1_010), deleted);
    open(&mut router, Millis(1_020), flow(1, FEED), 0);
    let end = Millis(1_010) + REREGISTRATION_GRACE;
    router.set_confirmed(end);
    router.tick(end);
    let verdict = router.on_segment(end, &opening(flow(2, FEED), 0));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
    router.change_target(end, TargetChange::Written(target("a1", "desk", "east", 300)));
    open(&mut router, end, flow(3, FEED), 0);
}

/// Guards against the loss of targets in two outages in a row (soak seed 1010): the store comes back and fails
/// again before targets with an expired registration could register. Their removal is unconfirmed, so that they
/// keep their flows and get new ones.
#[test]
fn expired_targets_are_retained_during_a_second_outage() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, FEED));
    router.set_store_recovered(Millis(1_000));
    let deleted = TargetChange::Deleted {
        name: name.clone(),
        revision: StoreRevision::new(0, 200),
        lapsed: false,
    };
    router.change_target(Millis(1_010), deleted);
    router.set_confirmed(Millis(1_010) + REREGISTRATION_GRACE - Millis(1));
    let later = Millis(60_000);
    router.tick(later);
    let verdict = router.on_segment(later, &data(flow(1, FEED), &name, 101, 1, 50));
    assert!(forwarded_label(verdict).is_some(), "{verdict:?}");
    open(&mut router, later, flow(2, FEED), 0);
}

/// Guards against a removed target that an older record restores, or a newer record that an older one overwrites.
#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut router = router([target("a1", "desk", "east", 50)]);
    let old = TargetChange::Written(target("a1", "desk", "east", 49));
    assert_eq!(router.change_target(Millis(10), old), Effect::Outdated);
    let deleted = TargetChange::Deleted {
        name: Name::new("a1"),
        revision: StoreRevision::new(0, 60),
        lapsed: false,
    };
    assert_eq!(router.change_target(Millis(20), deleted.clone()), Effect::Removed);
    let old = TargetChange::Written(target("a1", "desk", "east", 55));
    assert_eq!(router.change_target(Millis(30), old), Effect::Outdated);
    assert_eq!(router.change_target(Millis(40), deleted), Effect::Ignored);
    // A full list that was read before the deletion does not restore the target either.
    let list = vec![target("a1", "desk", "east", 50)];
    let effects = router.set_targets(Millis(50), list, StoreRevision::new(0, 58));
    assert_eq!(effects, [(Name::new("a1"), Effect::Outdated)]);
}

/// Guards against a full list that removes a target which was written at a later revision than that of the list.
#[test]
fn a_stale_list_removes_nothing_newer() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    router.change_target(Millis(10), TargetChange::Written(target("a2", "desk", "east", 200)));
    let effects = router.set_targets(
        Millis(20),
        vec![target("a1", "desk", "east", 1)],
        StoreRevision::new(0, 150),
    );
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(router.targets().usable_count(), 2);
}

/// Guards against a flow that moves when both targets of a retransmitted SYN respond: the late SYN-ACK of the
/// first target makes the client echo that target's token on the flow that the second one accepted.
#[test]
fn a_flow_with_two_responses_to_its_opening_keeps_its_target() {
    let mut router = router([target("a1", "desk", "east", 1), target("a2", "desk", "east", 1)]);
    let first = open(&mut router, Millis(0), flow(1, CLAIM), 0).target;
    let second = open(&mut router, Millis(200), flow(1, CLAIM), 1).target;
    assert_ne!(
        first, second,
        "the retransmission of an opening without a response went to the same target"
    );
    router.on_segment(Millis(205), &data(flow(1, CLAIM), &second, 101, 1, 0));
    let late = router.on_segment(Millis(210), &data(flow(1, CLAIM), &first, 101, 1, 50));
    assert_eq!(forwarded_label(late), Some(target(second.as_str(), "", "", 1).label));
}

#[test]
fn shares_of_a_route_split_its_flows() {
    let mut router = router([target("a1", "desk", "east", 1), target("v1", "vault", "east", 1)]);
    let mut split = routes(2);
    let mut shared = rule("feed", "desk", Repeatable::Always);
    shared.services = vec![(Name::new("desk"), 90), (Name::new("vault"), 10)];
    split.by_address.insert(FEED, Arc::new(shared));
    router.set_routes(Arc::new(split));
    let opened = (1..2_001).map(|port| open(&mut router, Millis(1), flow(port, FEED), 0).target);
    let vault = opened.filter(|name| name.as_str() == "v1").count();
    assert!(
        (120..280).contains(&vault),
        "{vault} of 2,000 flows went to a service with a share of 10 %"
    );
}

#[test]
fn tracked_flows_are_bounded_and_expire() {
    let limits = TokenRouterLimits { max_flows: 100, ..TokenRouterLimits::default() };
    let mut router = TokenRouter::new(&me(), 7, limits);
    router.set_targets(
        Millis::ZERO,
        vec![target("a1", "desk", "east", 1)],
        StoreRevision::new(0, 100),
    );
    router.set_routes(Arc::new(routes(1)));
    for port in 1..1_000 {
        open(&mut router, Millis(1), flow(port, FEED), 0);
    }
    assert_eq!(router.tracked_flows(), 100);
    router.tick(Millis(1) + IDLE);
    assert_eq!(router.tracked_flows(), 0);
}

#[test]
fn a_finished_flow_reports_its_latency() {
    let mut router = router([target("a1", "desk", "east", 1)]);
    let name = establish(&mut router, Millis(10), flow(1, CLAIM));
    router.on_segment(Millis(20), &data(flow(1, CLAIM), &name, 101, 1, 900));
    router.on_segment(Millis(75), &finish(flow(1, CLAIM), &name, 600));
    let completed = router.take_completed_request().expect("the response was acknowledged");
    assert_eq!((completed.latency, completed.route.as_str()), (Millis(65), "claim"));
}

proptest! {
    /// Guards against orders of segments, target changes and pauses in which the router forwards to a target of
    /// another service or panics. Clients replay tokens of their own address on others.
    #[test]
    fn random_segments_never_reach_a_foreign_service(
        steps in proptest::collection::vec((0u8..8, 1u16..12, 0u32..4, 0u64..900), 1..200)
    ) {
        let names = ["a1", "a2", "a3", "v1", "v2"];
        let service = |name: &str| if name.starts_with('a') { "desk" } else { "vault" };
        let mut router = router(names.map(|name| target(name, service(name), "east", 1)));
        let mut now = Millis::ZERO;
        for (revision, (kind, port, choice, pause)) in (200u64..).zip(steps) {
            now += Millis(pause);
            let name = Name::new(names[usize::from(port) % names.len()]);
            let address = [FEED, CLAIM, UPLOAD][choice as usize % 3];
            let flow = flow(port, address);
            let issued_for = match service(name.as_str()) {
                "desk" => [FEED, CLAIM][usize::from(port / 5) % 2],
                _ => UPLOAD,
            };
            let token = Some(RoutingToken::of(&name, issued_for));
            let segment = match kind {
                0 | 1 => opening(flow, choice),
                2 | 3 => ClientSegment { token, ..data(flow, &name, 101 + choice, choice, 50) },
                4 => ClientSegment { token, ..finish(flow, &name, choice) },
                5 => {
                    router.tick(now);
                    let record = target(name.as_str(), service(name.as_str()), "east", revision);
                    router.change_target(now, TargetChange::Written(record));
                    continue;
                }
                6 => {
                    let revision = StoreRevision::new(0, revision);
                    router.change_target(now, TargetChange::Deleted { name, revision, lapsed: false });
                    continue;
                }
                _ => {
                    let kind = SegmentKind::Abort;
                    ClientSegment { kind, token, ..data(flow, &name, 101, 1, 0) }
                }
            };
            if let Verdict::Forward(destination) = router.on_segment(now, &segment) {
                let expected = if address == UPLOAD { "vault" } else { "desk" };
                let known = names.iter().find(|name| {
                    target(name, "", "", 1).label == destination.label
                });
                prop_assert_eq!(known.map(|name| service(name)), Some(expected));
            }
        }
    }
}
