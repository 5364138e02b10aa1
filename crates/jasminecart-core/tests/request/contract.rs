//! Contract tests of the dispatcher of one VM.

use jasminecart_core::names::{Incarnation, Name};
use jasminecart_core::request::{
    Action, AttemptId, DispatchLimits, Dispatcher, FailureCause, IssuedKey, KeyUse, NotRunCause,
    Outcome, Refusal, RefusalReason, RequestId, RequestMeta, RunState,
};
use jasminecart_core::time::Millis;
use test_case::test_case;

use crate::support::{document, keyed, meta, refusal, sends, sent, standalone, vm_id};

const DONE: Outcome = Outcome::Done { status: 200 };
const SHED: Outcome = Outcome::NotRun(NotRunCause::Shed);
const NOT_SENT: Outcome = Outcome::NotRun(NotRunCause::NotSent);
const BROKEN: Outcome = Outcome::Failed(FailureCause::Broken);

fn not_run(reason: RefusalReason) -> Option<Refusal> {
    Some(Refusal { state: RunState::NotRun, reason })
}

fn unknown(reason: RefusalReason) -> Option<Refusal> {
    Some(Refusal { state: RunState::Unknown, reason })
}

// Guards against sending a target more requests than it has slots, and against slots that stay idle
// while requests are queued.
#[test]
fn a_target_gets_as_many_requests_as_it_has_slots() {
    let mut dispatcher = standalone(1);
    let first = sent(&dispatcher.submit(Millis(0), meta(1)));
    sent(&dispatcher.submit(Millis(0), meta(2)));
    assert!(dispatcher.submit(Millis(0), meta(3)).is_empty());
    assert_eq!(sends(&dispatcher.on_outcome(Millis(9), first, DONE))[0].0, RequestId(3));
}

// Guards against queued uploads that delay claims, and against claims refused in favour of uploads.
#[test]
fn a_full_queue_refuses_the_newest_request_of_the_lowest_class() {
    let mut dispatcher = standalone(1);
    let upload = |id| RequestMeta { class: Name::new("uploads"), ..meta(id) };
    let first = sent(&dispatcher.submit(Millis(0), meta(1)));
    (2..=8).for_each(|id| drop(dispatcher.submit(Millis(0), upload(id))));
    assert_eq!(refusal(&dispatcher.submit(Millis(0), upload(9))), not_run(RefusalReason::Overload));
    let actions = dispatcher.submit(Millis(0), meta(10));
    let refused_upload = |action: &Action| matches!(action, Action::Refuse { request, .. } if *request == RequestId(8));
    assert!(actions.iter().any(refused_upload), "{actions:?}");
    assert_eq!(sends(&dispatcher.on_outcome(Millis(9), first, DONE))[0].0, RequestId(10));
}

// Guards against a tenant that occupies every slot or fills the queue.
#[test]
fn a_tenant_is_bounded_in_rate_and_concurrency() {
    let mut dispatcher = standalone(4);
    let flood = |id| RequestMeta { tenant: Name::new("flood"), ..meta(id) };
    let attempts: Vec<_> =
        (0..3).map(|id| sent(&dispatcher.submit(Millis(0), flood(id)))).collect();
    let limited = not_run(RefusalReason::TenantLimit);
    assert_eq!(refusal(&dispatcher.submit(Millis(0), flood(3))), limited, "concurrency of 3");
    attempts.into_iter().for_each(|a| drop(dispatcher.on_outcome(Millis(1), a, DONE)));
    for id in 4..6 {
        let attempt = sent(&dispatcher.submit(Millis(1), flood(id)));
        dispatcher.on_outcome(Millis(2), attempt, DONE);
    }
    assert_eq!(refusal(&dispatcher.submit(Millis(2), flood(6))), limited, "burst of 5");
    assert!(refusal(&dispatcher.submit(Millis(110), flood(7))).is_none(), "10 a second");
}

// Guards against a false `not-run`, a second run of a request whose outcome is uncertain, and a
// missing retry.
#[test_case(false, true, SHED, None; "shed is retried")]
#[test_case(false, false, SHED, not_run(RefusalReason::Shed); "shed without a repeatable body")]
#[test_case(false, false, NOT_SENT, None; "not sent is retried even without a repeatable body")]
#[test_case(false, true, BROKEN, unknown(RefusalReason::AttemptFailed); "broken is unknown")]
#[test_case(true, true, BROKEN, None; "broken and idempotent is retried")]
#[test_case(true, false, BROKEN, unknown(RefusalReason::AttemptFailed); "idempotent without a repeatable body")]
#[test_case(true, true, Outcome::Failed(FailureCause::Silent), None; "silent and idempotent")]
#[test_case(true, true, Outcome::Failed(FailureCause::Deadline), unknown(RefusalReason::Deadline); "deadline")]
fn an_outcome_is_retried_or_refused(
    idempotent: bool,
    repeatable: bool,
    outcome: Outcome,
    expected: Option<Refusal>,
) {
    let mut dispatcher = with_retry_budget(2);
    let request = RequestMeta { idempotent, repeatable, ..meta(1_000) };
    let attempt = sent(&dispatcher.submit(Millis(20), request));
    let mut actions = dispatcher.on_outcome(Millis(30), attempt, outcome);
    assert_eq!(refusal(&actions), expected);
    actions.extend(dispatcher.tick(Millis(60)));
    assert_eq!(sends(&actions).len(), usize::from(expected.is_none()));
    assert!(!dispatcher.is_drained() || expected.is_some());
}

/// Returns a dispatcher that has completed enough requests for its retry budget to allow some
/// retries.
fn with_retry_budget(targets: usize) -> Dispatcher {
    let mut dispatcher = standalone(targets);
    for id in 0..40 {
        let attempt = sent(&dispatcher.submit(Millis(id / 4), meta(id)));
        dispatcher.on_outcome(Millis(id / 4), attempt, DONE);
    }
    dispatcher
}

// Guards against retries that multiply the load when every target sheds.
#[test]
fn retries_stay_below_a_tenth_of_the_requests() {
    let mut dispatcher = standalone(4);
    let mut now = 0;
    for id in 0..500 {
        let mut actions = dispatcher.submit(Millis(now), meta(id));
        for _ in 0..10 {
            now += 50;
            for (_, attempt, _) in sends(&actions) {
                actions = dispatcher.on_outcome(Millis(now), attempt, SHED);
            }
            actions.extend(dispatcher.tick(Millis(now)));
        }
    }
    let counters = dispatcher.counters();
    assert!(counters.retries > 0);
    assert!(counters.retries * 10 <= counters.attempts - counters.retries, "{counters:?}");
}

// Guards against sending a request after its caller gave up, also when the process was paused
// between the decision and the send.
#[test]
fn a_deadline_is_checked_before_each_send() {
    let mut dispatcher = standalone(1);
    let short = |id| RequestMeta { deadline: Millis(1_000), ..meta(id) };
    let first = sent(&dispatcher.submit(Millis(0), meta(1)));
    let second = sent(&dispatcher.submit(Millis(0), short(2)));
    dispatcher.submit(Millis(0), short(3));
    assert!(dispatcher.may_send(Millis(999), second));
    assert!(!dispatcher.may_send(Millis(20_000), second));
    let actions = dispatcher.on_outcome(Millis(20_000), first, DONE);
    assert!(sends(&actions).is_empty());
    assert_eq!(refusal(&actions), not_run(RefusalReason::Deadline));
    assert_eq!(refusal(&dispatcher.tick(Millis(20_001))), unknown(RefusalReason::Deadline));
    assert_eq!(
        refusal(&dispatcher.submit(Millis(20_001), short(4))),
        not_run(RefusalReason::Deadline)
    );
}

// Guards against a late response that is attributed to another request, and against slots that stay
// occupied by cancelled attempts.
#[test]
fn a_late_outcome_of_a_cancelled_attempt_only_frees_its_slot() {
    let mut dispatcher = standalone(1);
    let first = sent(&dispatcher.submit(Millis(0), meta(1)));
    sent(&dispatcher.submit(Millis(0), meta(2)));
    dispatcher.submit(Millis(0), meta(3));
    let actions = dispatcher.on_cancel(Millis(5), RequestId(1));
    assert_eq!(actions, [Action::Cancel { attempt: first }]);
    let actions = dispatcher.on_outcome(Millis(6), first, DONE);
    assert_eq!(sends(&actions)[0].0, RequestId(3), "the slot is reused");
    assert!(dispatcher.on_outcome(Millis(7), first, DONE).is_empty());
    assert_eq!((dispatcher.counters().late, dispatcher.counters().unmatched), (1, 1));
}

// Guards against a second run, a wrong response or a false `not-run` for a repeated request with a
// key.
#[test_case(None, Some(KeyUse::InProgress { request: RequestId(1) }); "in progress")]
#[test_case(Some(DONE), Some(KeyUse::Done { request: Some(RequestId(1)), status: 200 }); "completed")]
#[test_case(Some(BROKEN), Some(KeyUse::Unknown); "uncertain")]
#[test_case(Some(SHED), None; "not run")]
fn a_repeated_key_is_refused_unless_its_request_did_not_run(
    outcome: Option<Outcome>,
    key_use: Option<KeyUse>,
) {
    for idempotent in [false, true] {
        let mut dispatcher = standalone(2);
        let key = dispatcher.issue_key(Millis(0));
        let request = |id| RequestMeta { idempotent, ..keyed(id, &key) };
        let attempt = sent(&dispatcher.submit(Millis(0), request(1)));
        if let Some(outcome) = outcome {
            dispatcher.on_outcome(Millis(1), attempt, outcome);
        }
        assert_eq!(dispatcher.key_use(&key), key_use);
        let actions = dispatcher.submit(Millis(2), request(2));
        let expected = key_use.is_some().then_some(RefusalReason::KeyUsed).and_then(unknown);
        assert_eq!(refusal(&actions), expected);
        assert_eq!(sends(&actions).len(), usize::from(key_use.is_none()));
    }
}

// Guards against accepting keys that clients forged or that were issued before a restart.
#[test_case(|key| IssuedKey { code: key.code ^ 1, ..key }, not_run(RefusalReason::KeyInvalid); "wrong code")]
#[test_case(|key| IssuedKey { sequence: 9, ..key }, not_run(RefusalReason::KeyInvalid); "never issued")]
#[test_case(|key| IssuedKey { incarnation: Incarnation(0), ..key }, unknown(RefusalReason::KeyOwnerLost); "before a restart")]
#[test_case(|key| IssuedKey { vm: vm_id(5), ..key }, unknown(RefusalReason::KeyOwnerLost); "an unknown VM")]
fn a_forged_key_or_one_of_a_lost_owner_is_refused(
    change: fn(IssuedKey) -> IssuedKey,
    expected: Option<Refusal>,
) {
    let mut dispatcher = standalone(2);
    let key = change(dispatcher.issue_key(Millis(0)));
    assert_eq!(refusal(&dispatcher.submit(Millis(0), keyed(1, &key))), expected);
    assert_eq!(IssuedKey::parse(&key.to_string()), Ok(key));
}

// Guards against an unbounded number of key records, and against a second run after a record was
// evicted.
#[test]
fn key_records_are_bounded() {
    let limits = DispatchLimits { max_keys: 3, ..DispatchLimits::default() };
    let mut dispatcher = Dispatcher::new(vm_id(0), Incarnation(1), 7, limits);
    dispatcher.set_document(Millis(0), &document(1, 2, ""));
    let keys: Vec<IssuedKey> = (0..5).map(|_| dispatcher.issue_key(Millis(0))).collect();
    for (id, key) in keys.iter().enumerate() {
        let attempt = sent(&dispatcher.submit(Millis(0), keyed(id as u64, key)));
        dispatcher.on_outcome(Millis(0), attempt, DONE);
    }
    assert_eq!(dispatcher.counters().keys_evicted, 2);
    for (id, key) in keys.iter().enumerate() {
        let refused = refusal(&dispatcher.submit(Millis(1), keyed(10 + id as u64, key)));
        assert_eq!(refused, unknown(RefusalReason::KeyUsed));
    }
}

// Guards against queueing a request that can't start before its queue time runs out.
#[test]
fn a_request_that_would_wait_too_long_is_refused_early() {
    let mut dispatcher = standalone(1);
    let mut running = vec![sent(&dispatcher.submit(Millis(0), meta(0)))];
    running.push(sent(&dispatcher.submit(Millis(0), meta(1))));
    (2..8).for_each(|id| assert!(dispatcher.submit(Millis(0), meta(id)).is_empty()));
    for now in [600, 1_200] {
        running.push(sent(&dispatcher.on_outcome(Millis(now), running[0], DONE)));
        running.remove(0);
    }
    let early = refusal(&dispatcher.submit(Millis(1_200), meta(8)));
    assert_eq!(early, not_run(RefusalReason::Overload), "4 are queued, one leaves every 600 ms");
    assert!(
        dispatcher.submit(Millis(1_200), RequestMeta { deadline: Millis(9_000), ..meta(9) }).len()
            == 1
    );
}

// Guards against refusing new requests because the queue drained slowly during an earlier backlog.
#[test]
fn an_old_backlog_does_not_refuse_new_requests() {
    let mut dispatcher = standalone(1);
    let actions: Vec<Action> =
        (0..5).flat_map(|id| dispatcher.submit(Millis(0), meta(id))).collect();
    let mut running: Vec<AttemptId> = sends(&actions).iter().map(|send| send.1).collect();
    // The second request leaves the queue 1,940 ms after the first, so the measured rate is low.
    for now in [50, 1_990, 1_995, 1_996, 1_997] {
        let actions = dispatcher.on_outcome(Millis(now), running.remove(0), DONE);
        running.extend(sends(&actions).iter().map(|send| send.1));
    }
    assert!(dispatcher.is_drained());
    for id in 100..105 {
        assert_eq!(refusal(&dispatcher.submit(Millis(2_500), meta(id))), None);
    }
}

// Guards against ejecting a target because this VM did not send its attempts in time after a pause.
#[test]
fn an_attempt_not_sent_in_time_does_not_eject_its_target() {
    let mut dispatcher = standalone(2);
    for id in 0..40 {
        let now = id * 40_000;
        let late = Millis(now + 39_000);
        let request = RequestMeta { deadline: Millis(now + 30_000), ..meta(id) };
        let attempt = sent(&dispatcher.submit(Millis(now), request));
        assert!(!dispatcher.may_send(late, attempt));
        dispatcher.on_outcome(late, attempt, NOT_SENT);
    }
    assert_eq!(dispatcher.counters().ejections, 0);
}

// Guards against an explanation without a reason, and against selecting a target for an unknown
// service.
#[test]
fn a_target_selection_is_explained() {
    let mut dispatcher = standalone(2);
    let explanation = dispatcher.explain(Millis(0), &Name::new("ledger"));
    assert!(explanation.target.is_some() && explanation.reason.contains("2 targets"));
    let request = RequestMeta { service: Name::new("gone"), ..meta(1) };
    assert_eq!(dispatcher.explain(Millis(0), &request.service).target, None);
    assert_eq!(refusal(&dispatcher.submit(Millis(0), request)), not_run(RefusalReason::NoService));
}
