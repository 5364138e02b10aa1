//! Services, targets and client segments for the tests of token routing.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, Decision, FlowId, RoutingToken, SegmentKind, TokenRouter, TokenRouterLimits,
    Verdict,
};
use jasminecart_core::version::{
    Repeatable, RouteRule, Routes, StoreRevision, TargetRecord, TargetState,
};
use jasminecart_core::{Millis, Name, VmId};

pub(crate) const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
pub(crate) const CLAIM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
pub(crate) const UPLOAD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);
pub(crate) const IDLE: Millis = Millis(15_000);

pub(crate) fn me() -> VmId {
    VmId::new("east", "vm-1")
}

pub(crate) fn rule(name: &str, service: &str, repeatable: Repeatable) -> RouteRule {
    RouteRule {
        name: Name::new(name),
        services: vec![(Name::new(service), 1)],
        repeatable,
        timeout: Millis(1_000),
        objective: Millis(150),
        priority: 1,
    }
}

/// Returns routes for feeds and claims to one service and for uploads to another.
pub(crate) fn routes(revision: u64) -> Routes {
    let rules = [
        (FEED, rule("feed", "desk", Repeatable::Always)),
        (CLAIM, rule("claim", "desk", Repeatable::Never)),
        (UPLOAD, rule("upload", "vault", Repeatable::Never)),
    ];
    Routes {
        revision: StoreRevision::new(0, revision),
        version: revision,
        by_address: rules.into_iter().map(|(at, rule)| (at, Arc::new(rule))).collect(),
        services: Default::default(),
        idle_timeout: IDLE,
    }
}

/// Returns a label that differs between the targets of a test.
pub(crate) fn label_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

pub(crate) fn target(name: &str, service: &str, data_centre: &str, revision: u64) -> TargetRecord {
    let label = label_of(name);
    TargetRecord {
        name: Name::new(name),
        label,
        service: Name::new(service),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, 9), label as u16),
        data_centre: Name::new(data_centre),
        slots: 2,
        state: TargetState::Active,
        cold_for: Millis::ZERO,
        started_at: Some(1),
        sequence: 1,
        revision: StoreRevision::new(0, revision),
    }
}

/// Returns the `sequence`-th report of a target that started at `started_at`.
pub(crate) fn report(
    name: &str,
    started_at: u64,
    sequence: u64,
    state: TargetState,
) -> TargetRecord {
    let record = target(name, "desk", "east", 0);
    TargetRecord { started_at: Some(started_at), sequence, state, ..record }
}

/// Returns a router that has `targets` and [`routes`] at time zero.
pub(crate) fn router(targets: impl IntoIterator<Item = TargetRecord>) -> TokenRouter {
    let mut router = TokenRouter::new(&me(), 7, TokenRouterLimits::default());
    router.set_targets(Millis::ZERO, targets.into_iter().collect(), StoreRevision::new(0, 100));
    router.set_routes(Arc::new(routes(1)));
    router
}

pub(crate) fn flow(port: u16, service: SocketAddrV4) -> FlowId {
    FlowId { client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port), service }
}

pub(crate) fn opening(flow: FlowId, copy: u32) -> ClientSegment {
    let kind = SegmentKind::Open { copy };
    ClientSegment { flow, kind, token: None, seq: 100, ack: copy, payload: 0 }
}

/// Returns a data segment of an open flow that echoes the token of `target`.
pub(crate) fn data(flow: FlowId, target: &Name, seq: u32, ack: u32, payload: u16) -> ClientSegment {
    let token = Some(RoutingToken::of(target, flow.service));
    ClientSegment { flow, kind: SegmentKind::Data, token, seq, ack, payload }
}

pub(crate) fn finish(flow: FlowId, target: &Name, ack: u32) -> ClientSegment {
    let token = Some(RoutingToken::of(target, flow.service));
    ClientSegment { flow, kind: SegmentKind::Finish, token, seq: 500, ack, payload: 0 }
}

/// Delivers a segment to a VM whose receive queue was empty just before, so that the segment did not wait there.
pub(crate) fn deliver(router: &mut TokenRouter, now: Millis, segment: &ClientSegment) -> Verdict {
    router.set_receive_queue_empty(now);
    router.on_segment(now, segment)
}

/// Sends the opening of a flow and returns the target selection for it.
pub(crate) fn open(router: &mut TokenRouter, now: Millis, flow: FlowId, copy: u32) -> Decision {
    let verdict = deliver(router, now, &opening(flow, copy));
    assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    router.take_decision().expect("a target was selected for the opening")
}

/// Opens a flow and acknowledges the SYN-ACK of its target. Returns the target.
pub(crate) fn establish(router: &mut TokenRouter, now: Millis, flow: FlowId) -> Name {
    let decision = open(router, now, flow, 0);
    router.on_segment(now + Millis(5), &data(flow, &decision.target, 101, 1, 0));
    decision.target
}
