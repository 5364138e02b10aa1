//! Tests of explanations: they match what the router does, and change nothing.

use std::sync::Arc;

use jasminecart_core::flow::token::{
    Candidate, Decision, Exclusion, Explanation, Outcome, RoutingToken, TokenRouter,
    TokenRouterLimits, Verdict,
};
use jasminecart_core::version::{EvacuationChange, Repeatable, StoreRevision, TargetState};
use jasminecart_core::{Millis, Name};
use test_case::test_case;

use crate::cold_targets::{settled, targets};
use crate::overload::{OBJECTIVE, SETTLED, serve, vm};
use crate::support::*;

fn candidate<'a>(explanation: &'a Explanation, target: &str) -> &'a Candidate {
    let mut all = explanation.new_flow.services.iter().flat_map(|service| &service.candidates);
    all.find(|candidate| candidate.target.as_str() == target).expect("the target is listed")
}

fn forwarded_to(outcome: &Outcome) -> Option<&str> {
    match outcome {
        Outcome::Forward { target, .. } => Some(target.as_str()),
        Outcome::Reset { .. } | Outcome::Drop { .. } => None,
    }
}

/// Returns a router whose feeds go to two services, so that openings draw random numbers for service and target.
fn two_services() -> TokenRouter {
    let names = ["a", "b", "c", "d", "e"];
    let desks = names.map(|name| target(&format!("i-desk-{name}"), "desk", "east", 1));
    let vaults = names.map(|name| target(&format!("i-vault-{name}"), "vault", "west", 1));
    let mut router = TokenRouter::new(&me(), 7, TokenRouterLimits::default());
    router.set_targets(
        Millis::ZERO,
        desks.into_iter().chain(vaults).collect(),
        StoreRevision::new(0, 100),
    );
    let mut routes = routes(1);
    let mut feed = rule("feed", "desk", Repeatable::Always);
    feed.services.push((Name::new("vault"), 1));
    routes.by_address.insert(FEED, Arc::new(feed));
    router.set_routes(Arc::new(routes));
    router
}

/// Runs openings, responses, retransmissions and silent targets. Returns every verdict and decision, which
/// depend on all random numbers, loads, suspicions and probes before.
fn run(explains: bool) -> String {
    let mut router = two_services();
    let (mut seen, mut waiting) = (String::new(), Vec::new());
    for step in 0..2_000u64 {
        let now = Millis(4_000 + step * 10);
        // Each client opens a flow, and repeats the opening 200 ms later if its target is a silent one.
        let copy = u32::from(step % 40 >= 20);
        let number = step - 20 * u64::from(copy);
        let id = flow(number as u16, if number % 5 == 0 { CLAIM } else { FEED });
        if explains {
            router.explain(now, &id, None);
            let token = RoutingToken::from_wire(0x1234_5678 ^ step as u32);
            router.explain(now, &flow(9, UPLOAD), token);
        }
        if copy == 0 || waiting.contains(&number) {
            let verdict = deliver(&mut router, now, &opening(id, copy));
            let decision = router.take_decision();
            seen.push_str(&format!(
                "{verdict:?}{decision:?}{:?}\n",
                router.take_suspicion_changes()
            ));
            if let Some(Decision { target, .. }) = decision {
                if target.as_str().ends_with("-a") && step < 1_500 {
                    waiting.push(number);
                } else {
                    let data = data(id, &target, 101, 1, 300);
                    seen.push_str(&format!("{:?}\n", deliver(&mut router, now + Millis(3), &data)));
                }
            }
        }
        if step % 10 == 0 {
            router.tick(now);
        }
    }
    format!("{seen}{:?}", router.counters())
}

/// Guards against an explanation that draws a random number, starts a probe, or counts: decisions after it would
/// differ. No difference is allowed.
#[test]
fn explaining_changes_no_later_decision() {
    let quiet = run(false);
    assert!(quiet.contains("suspected: true"), "the run has no suspicion");
    assert!(quiet.contains("suspected: false"), "the run has no successful probe flow");
    assert!(quiet == run(true), "the decisions differ");
}

/// Guards against an explanation that names another target than the router then selects. If several have the same
/// cost, the selected one has to be among them.
#[test]
fn the_explained_target_is_selected() {
    let mut router = two_services();
    for step in 0..500u64 {
        let (now, id) = (Millis(4_000 + step * 10), flow(step as u16, FEED));
        let explanation = router.explain(now, &id, None);
        let decision = open(&mut router, now, id, 0);
        let selected = |name: &str| name == decision.target.as_str();
        let explained = explanation.new_flow.services.iter().any(|service| {
            forwarded_to(&service.outcome).is_some_and(selected)
                || service.tied.iter().any(|name| selected(name.as_str()))
        });
        assert!(explained, "step {step}: {} is not in {explanation}", decision.target);
        let candidate = candidate(&explanation, decision.target.as_str());
        assert_eq!(candidate.cost, decision.choice.load.cost);
    }
}

/// Guards against a wrong or missing reason why a target gets no new flow.
#[test]
fn excluded_targets_have_their_causes() {
    let drains = report("i-drains", 1, 1, TargetState::Draining);
    let targets = ["i-a", "i-b", "i-gone"].map(|name| target(name, "desk", "east", 1));
    let mut router = router(targets.into_iter().chain([drains]));
    let now = Millis(5_000);
    let kept = ["i-a", "i-b"].map(|name| target(name, "desk", "east", 1));
    let drains = report("i-drains", 1, 1, TargetState::Draining);
    router.set_targets(now, kept.into_iter().chain([drains]).collect(), StoreRevision::new(0, 200));
    let first = open(&mut router, now, flow(1, FEED), 0).target;
    let later = now + Millis(200);
    let explanation = router.explain(later, &flow(1, FEED), None);
    assert_eq!(candidate(&explanation, first.as_str()).excluded_by, [Exclusion::EarlierCopy]);
    open(&mut router, later, flow(1, FEED), 1);
    let explanation = router.explain(later, &flow(2, FEED), None);
    let silent = candidate(&explanation, first.as_str());
    assert!(
        matches!(silent.excluded_by[..], [Exclusion::Silent { probe_in_ms }] if probe_in_ms > Millis::ZERO)
    );
    assert_eq!(candidate(&explanation, "i-drains").excluded_by, [Exclusion::Draining]);
    assert_eq!(candidate(&explanation, "i-gone").excluded_by, [Exclusion::Removed]);
    let text = explanation.to_string();
    for part in ["route feed", "silent (probe in", "draining", "record removed", "version 1"] {
        assert!(text.contains(part), "no {part} in {text}");
    }
}

/// Guards against an explanation of an open flow that differs from what happens to its next packet.
#[test_case(Some("i-a"), FEED; "token of a target")]
#[test_case(Some("i-unknown"), FEED; "token of no target")]
#[test_case(None, FEED; "tracked flow")]
#[test_case(Some("i-a"), std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1); "no route")]
fn open_flows_are_explained_as_they_are_routed(
    name: Option<&str>,
    service: std::net::SocketAddrV4,
) {
    let mut router = router([target("i-a", "desk", "east", 1), target("i-b", "desk", "west", 1)]);
    let id = flow(5, service);
    let name = match name {
        Some(name) => Name::new(name),
        None => establish(&mut router, Millis(4_000), id),
    };
    let token = Some(RoutingToken::of(&name, service)).filter(|_| router.tracked_flows() == 0);
    let now = Millis(4_100);
    let explained = router.explain(now, &id, token).open_flow.expect("an explanation").outcome;
    let verdict = router.on_segment(now, &data(id, &name, 101, 1, 10));
    match (explained, verdict) {
        (Outcome::Forward { address, .. }, Verdict::Forward(to)) => assert_eq!(address, to.address),
        (Outcome::Reset { cause }, Verdict::Reset(reset)) => assert_eq!(cause, reset.label()),
        (Outcome::Drop { cause }, Verdict::Drop(drop)) => assert_eq!(cause, drop.label()),
        (explained, verdict) => panic!("explained {explained}, but {verdict:?}"),
    }
}

/// Guards against an explanation that fails, or promises a target, while an opening is refused.
#[test]
fn refused_openings_are_explained() {
    let unready = TokenRouter::new(&me(), 7, TokenRouterLimits::default());
    let refused = unready.explain(Millis(1), &flow(1, FEED), None).new_flow.refused;
    assert_eq!(refused, Some(Outcome::Drop { cause: "not-ready" }));
    let router = router([target("i-a", "desk", "east", 1)]);
    let refused = |now, service| router.explain(now, &flow(1, service), None).new_flow.refused;
    assert_eq!(refused(Millis(100), UPLOAD), Some(Outcome::Drop { cause: "no-target-yet" }));
    assert_eq!(refused(Millis(3_000), UPLOAD), Some(Outcome::Reset { cause: "no-target" }));
}

/// Returns whether an explanation of a new flow includes what happened to the opening.
fn includes(explanation: &Explanation, verdict: Verdict, selected: Option<&Name>) -> bool {
    let service = &explanation.new_flow.services[0];
    match (&service.outcome, verdict) {
        (Outcome::Forward { target, .. }, Verdict::Forward(_)) => {
            selected.is_some_and(|name| name == target || service.tied.contains(name))
        }
        (Outcome::Reset { cause }, Verdict::Reset(reset)) => *cause == reset.label(),
        (Outcome::Drop { cause }, Verdict::Drop(drop)) => *cause == drop.label(),
        (_, _) => false,
    }
}

/// Guards against explanations of cold targets that differ from the limit as it is applied, until their cost is normal
/// again, and against explanations that use up a share.
#[test]
fn cold_targets_are_explained_as_they_are_limited() {
    let run = |explains: bool| {
        let (mut router, start) = settled(Some(10.0), targets(2, Millis(71_500)));
        let mut verdicts = Vec::new();
        for step in 0..350u64 {
            let (now, id) = (start + Millis(step * 10), flow(step as u16, FEED));
            let explanation = explains.then(|| router.explain(now, &id, None));
            verdicts.push(deliver(&mut router, now, &opening(id, 0)));
            let selected = router.take_decision().map(|decision| decision.target);
            if let Some(explanation) = explanation {
                let included =
                    includes(&explanation, verdicts[verdicts.len() - 1], selected.as_ref());
                assert!(included, "step {step}: {selected:?} is not in {explanation}");
            }
            if step % 10 == 0 {
                router.tick(now);
            }
        }
        (verdicts, format!("{:?}", router.counters()))
    };
    let (verdicts, counters) = run(true);
    assert!(verdicts.iter().any(|verdict| matches!(verdict, Verdict::Reset(_))), "no refusal");
    assert_eq!((verdicts, counters), run(false));
    let (mut router, now) = settled(Some(10.0), targets(1, Millis(71_500)));
    let cold = |router: &TokenRouter| {
        let explanation = router.explain(now, &flow(1, FEED), None);
        let candidate = candidate(&explanation, "a0").clone();
        (candidate.cold_openings_left, candidate.excluded_by)
    };
    assert_eq!(cold(&router), (Some(4), Vec::new()));
    for port in 0..4 {
        deliver(&mut router, now, &opening(flow(100 + port, FEED), 0));
    }
    assert_eq!(cold(&router), (Some(0), vec![Exclusion::ColdShareUsed { share: 4 }]));
}

/// Guards against an explanation that hides an evacuation as the cause, or offers an evacuated target.
#[test]
fn evacuated_data_centres_are_explained() {
    let mut router = router([target("i-a", "desk", "east", 1), target("i-b", "desk", "west", 1)]);
    let evacuate = |router: &mut TokenRouter, data_centre: &str| {
        let (data_centre, revision) = (Name::new(data_centre), StoreRevision::new(0, 200));
        let change = EvacuationChange::Requested { data_centre, revision };
        router.change_evacuation(Millis(4_000), change);
    };
    evacuate(&mut router, "east");
    let (now, id) = (Millis(5_000), flow(1, FEED));
    let explanation = router.explain(now, &id, None);
    let expected = Exclusion::Evacuated { began_ms_ago: Millis(1_000), doubted: false };
    assert_eq!(candidate(&explanation, "i-a").excluded_by, [expected]);
    let decision = open(&mut router, now, id, 0);
    assert_eq!(forwarded_to(&explanation.new_flow.services[0].outcome), Some("i-b"));
    assert_eq!(decision.target.as_str(), "i-b");
    evacuate(&mut router, "west");
    let explanation = router.explain(now, &id, None);
    let verdict = deliver(&mut router, now, &opening(flow(2, FEED), 0));
    assert!(includes(&explanation, verdict, None), "{verdict:?} is not in {explanation}");
    assert_eq!(explanation.inputs.evacuated, ["east", "west"].map(Name::new));
}

/// Guards against an explanation of overload that differs from the limit as it is applied.
#[test]
fn overload_is_explained_as_it_is_limited() {
    let mut router = vm();
    let now = serve(&mut router, SETTLED, 100, OBJECTIVE * 2);
    let mut refused = 0;
    for port in 0..200 {
        let id = flow(30_000 + port, FEED);
        let explanation = router.explain(now, &id, None);
        let verdict = deliver(&mut router, now, &opening(id, 0));
        let selected = router.take_decision().map(|decision| decision.target);
        assert!(includes(&explanation, verdict, selected.as_ref()), "{verdict:?}: {explanation}");
        refused += usize::from(matches!(verdict, Verdict::Reset(_)));
    }
    assert!(refused > 0, "no refusal");
}
