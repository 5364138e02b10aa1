//! Tests of open flows while the services of their routes change: a flow stays with its target on every VM, and no
//! token leads to a target that a VM has not chosen for the address.

use std::net::SocketAddrV4;
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, DropCause, ResetCause, RoutingToken, TokenRouter, Verdict,
};
use jasminecart_core::version::{Repeatable, TargetChange, TargetRecord};
use jasminecart_core::{Millis, Name};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::support::{
    CLAIM, FEED, UPLOAD, data, establish, flow, open, opening, router, routes, rule, target,
};

/// The targets of each service.
const TARGETS: u32 = 100;

/// Returns the targets of three services.
fn fleet() -> Vec<TargetRecord> {
    let of = |service: &'static str| {
        (0..TARGETS).map(move |number| target(&format!("{service}-{number}"), service, "east", 1))
    };
    ["desk", "vault", "store"].into_iter().flat_map(of).collect()
}

/// Changes the services of the feed route.
fn change_feed(router: &mut TokenRouter, revision: u64, services: &[(&str, u32)]) {
    let mut changed = routes(revision);
    let mut feed = rule("feed", "desk", Repeatable::Always);
    feed.services = services.iter().map(|(name, share)| (Name::new(name), *share)).collect();
    changed.by_address.insert(FEED, Arc::new(feed));
    assert!(router.set_routes(Arc::new(changed)));
}

/// Opens flows on the feed route. Returns the port and the target of each.
fn open_feeds(router: &mut TokenRouter, ports: std::ops::Range<u16>) -> Vec<(u16, Name)> {
    ports.map(|port| (port, establish(router, Millis(10), flow(port, FEED)))).collect()
}

/// Asserts that a VM forwards the flows to the targets that they were opened to.
fn assert_forwarded(router: &mut TokenRouter, now: Millis, flows: &[(u16, Name)]) {
    for (port, name) in flows {
        let verdict = router.on_segment(now, &data(flow(*port, FEED), name, 101, 1, 50));
        let Verdict::Forward(to) = verdict else { panic!("flow {port} to {name}: {verdict:?}") };
        assert_eq!(to.label, target(name.as_str(), "", "", 1).label, "flow {port} to {name}");
    }
}

/// Guards against open flows that are dropped as `foreign-token` after their route moved to another service: on the
/// VM that opened them, on another that had the old routes, and on VMs that started later, as after a restart of all.
#[test]
fn flows_of_a_moved_route_stay_on_every_vm() {
    let (mut first, mut other) = (router(fleet()), router(fleet()));
    let flows = open_feeds(&mut first, 1..300);
    for router in [&mut first, &mut other] {
        change_feed(router, 2, &[("vault", 1)]);
        assert_forwarded(router, Millis(20), &flows);
    }
    let mut started_later = router(fleet());
    change_feed(&mut started_later, 3, &[("vault", 1)]);
    assert_forwarded(&mut started_later, Millis(30), &flows);
    let moved = open_feeds(&mut started_later, 300..400);
    assert!(moved.iter().all(|(_, name)| name.as_str().starts_with("vault")));
}

/// Guards against flows that move or break in a storm of changes: 200 changes of services and weights reach three VMs
/// at different times, each VM restarts several times, and every VM gets packets of every flow.
#[test]
fn flows_stay_in_a_storm_of_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    let mut routers = [router(fleet()), router(fleet()), router(fleet())];
    let mut flows = Vec::new();
    for revision in 2..202u16 {
        let weights = [0, rng.random_range(0..3), rng.random_range(1..100)];
        let services: Vec<_> = ["desk", "vault", "store"].into_iter().zip(weights).collect();
        let updated = usize::from(revision % 3);
        if rng.random_ratio(1, 10) {
            routers[updated] = router(fleet());
        }
        change_feed(
            &mut routers[updated],
            u64::from(revision),
            &services[rng.random_range(0..3)..],
        );
        let opener = rng.random_range(0..3);
        flows.extend(open_feeds(&mut routers[opener], revision * 5..revision * 5 + 5));
        let now = Millis(10 + u64::from(revision) * 20);
        routers.iter_mut().for_each(|router| assert_forwarded(router, now, &flows));
    }
}

/// Guards against flows that outlive their route after it moved, and against flows that a VM drops because the
/// route was missing for a while.
#[test]
fn a_removed_route_resets_flows_of_its_former_service() {
    let mut first = router(fleet());
    let flows = open_feeds(&mut first, 1..50);
    change_feed(&mut first, 2, &[("vault", 1)]);
    let mut started_later = router(fleet());
    for router in [&mut first, &mut started_later] {
        let mut without = routes(3);
        without.by_address.remove(&FEED);
        assert!(router.set_routes(Arc::new(without)));
        for (port, name) in &flows {
            let verdict = router.on_segment(Millis(20), &data(flow(*port, FEED), name, 101, 1, 50));
            assert_eq!(verdict, Verdict::Reset(ResetCause::NoRoute));
        }
        change_feed(router, 4, &[("store", 1)]);
        assert_forwarded(router, Millis(30), &flows);
    }
}

/// Returns the label of the target that a segment with a token reaches.
fn reached(router: &mut TokenRouter, service: SocketAddrV4, token: u32) -> Result<u64, DropCause> {
    let token = RoutingToken::from_wire(token);
    let segment =
        ClientSegment { token, ..data(flow(1, service), &Name::new("desk-0"), 101, 1, 50) };
    match router.on_segment(Millis(20), &segment) {
        Verdict::Forward(to) => Ok(to.label),
        Verdict::Drop(cause) => Err(cause),
        Verdict::Reset(cause) => panic!("reset: {cause:?}"),
    }
}

/// Guards against a request at a service that its route never allowed, by a token that a client was given for
/// another address or that it changed in one bit.
#[test]
fn a_token_of_another_address_reaches_no_target() {
    let mut router = router(fleet());
    for number in 0..TARGETS {
        let name = Name::new(format!("desk-{number}"));
        let token = RoutingToken::of(&name, FEED).get();
        for other in [UPLOAD, CLAIM] {
            assert_eq!(reached(&mut router, other, token), Err(DropCause::ForeignToken), "{name}");
        }
        for bit in 0..32 {
            let changed = reached(&mut router, FEED, token ^ (1 << bit));
            assert!(changed.is_err(), "{name} with bit {bit} changed: {changed:?}");
        }
    }
    assert_eq!(reached(&mut router, FEED, 0), Err(DropCause::NoToken));
}

/// Guards against a request at a service that its route never allowed, by random tokens. The format lets a random
/// token reach one of 200 such targets with a probability of 200 / 2^32, so that 0.047 of 10^6 are expected to.
#[test]
fn random_tokens_reach_no_foreign_service() {
    let mut router = router(fleet());
    let foreign: Vec<u64> = fleet()
        .iter()
        .filter(|target| target.service.as_str() != "desk")
        .map(|t| t.label)
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(32);
    for _ in 0..1_000_000 {
        let token = rng.random();
        if let Ok(label) = reached(&mut router, FEED, token) {
            assert!(!foreign.contains(&label), "token {token} reached a foreign service");
        }
    }
}

/// Guards against a format that lets more tokens pass than stated: of the 2^20 tokens that find a target, one proves
/// an address. Also guards against an unintended change of the format: VMs of two formats drop each other's flows.
#[test]
fn one_of_a_million_tokens_of_a_target_proves_an_address() {
    let mut router = router([target("vault-0", "vault", "east", 1)]);
    let expected = RoutingToken::of(&Name::new("vault-0"), FEED).get();
    assert_eq!(expected, 0x3e6e_a370);
    let prefix = expected >> 20 << 20;
    let passed: Vec<u32> = (prefix..=prefix | 0xf_ffff)
        .filter(|token| reached(&mut router, FEED, *token).is_ok())
        .collect();
    assert_eq!(passed, [expected]);
}

/// Finds two names with the same token for an address. By the birthday bound, a million names contain some.
fn names_with_equal_tokens(service: SocketAddrV4) -> (String, String) {
    let mut seen = std::collections::HashMap::new();
    for number in 0..1_000_000 {
        let name = format!("i-{number:08x}");
        if let Some(other) = seen.insert(RoutingToken::of(&Name::new(&name), service), name.clone())
        {
            return (other, name);
        }
    }
    unreachable!("no two of a million names have the same 32-bit token");
}

/// Guards against packets at the wrong one of two targets with equal tokens for an address. A VM cannot distinguish
/// them, so neither gets new flows of that address. An open flow stays with the target that had it, and flows of
/// other addresses are not affected.
#[test]
fn targets_with_equal_tokens_for_an_address_get_no_new_flows_of_it() {
    let (first, second) = names_with_equal_tokens(FEED);
    let mut router = router([target(&first, "desk", "east", 1)]);
    let open_flow = [(1, establish(&mut router, Millis(10), flow(1, FEED)))];
    let added = |name: &str| TargetChange::Written(target(name, "desk", "east", 200));
    router.change_target(Millis(20), added(&second));
    assert_forwarded(&mut router, Millis(20), &open_flow);
    assert_eq!(router.counters().ambiguous, 0);
    let verdict = router.on_segment(Millis(20), &opening(flow(2, FEED), 0));
    assert_eq!(verdict, Verdict::Reset(ResetCause::NoTarget));
    assert_eq!(router.counters().ambiguous, 2);
    router.change_target(Millis(30), added("a1"));
    for port in 3..50 {
        for copy in 0..2 {
            let decision = open(&mut router, Millis(40), flow(port, FEED), copy);
            assert_eq!(decision.target.as_str(), "a1");
        }
        open(&mut router, Millis(40), flow(port, CLAIM), 0);
    }
    let used = (50..150).map(|port| open(&mut router, Millis(50), flow(port, CLAIM), 0).target);
    let used: std::collections::HashSet<Name> = used.collect();
    assert_eq!(used.len(), 3, "{used:?}");
}
