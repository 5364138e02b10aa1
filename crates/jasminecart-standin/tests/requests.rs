//! Tests of the request targets, and of the run log that clients and targets share.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use jasminecart_core::Name;
use jasminecart_standin::http_io::{ReceivedResponse, SendError, Version, get, send};
use jasminecart_standin::request_target::{
    Behaviour, HEALTH_PATH, Health, RequestTarget, RequestTargetConfig,
};
use jasminecart_standin::requests::{RequestEntries, RequestEntry, Requests, RequestsConfig};
use jasminecart_standin::run_log::{
    OPERATION_HEADER, Outcome, RunLog, SUBMISSION_HEADER, Verdicts,
};
use test_case::test_case;

async fn start(log: &RunLog, work: Duration) -> RequestTarget {
    let config = RequestTargetConfig {
        name: Name::new("t"),
        hosts: vec!["claims.demo".to_owned()],
        slots: 2,
        work,
        warm_up: Duration::ZERO,
    };
    RequestTarget::start(config, log.clone()).await.unwrap()
}

async fn post(
    target: &RequestTarget,
    version: Version,
    host: &str,
    headers: &[(&str, &str)],
) -> Result<ReceivedResponse, SendError> {
    let mut req = Request::post(format!("http://{host}/claims")).header("host", host);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    send(target.address(), version, req.body(Full::new(Bytes::from("body"))).unwrap()).await
}

const IDS: [(&str, &str); 2] = [(OPERATION_HEADER, "7"), (SUBMISSION_HEADER, "8")];

#[test_case(Version::Http1; "HTTP 1")]
#[test_case(Version::Http2; "HTTP 2")]
#[tokio::test]
async fn a_run_is_recorded_and_its_response_carries_the_operation(version: Version) {
    let log = RunLog::default();
    let target = start(&log, Duration::ZERO).await;
    let response = post(&target, version, "claims.demo", &IDS).await.unwrap();
    assert_eq!(response.parts.headers[OPERATION_HEADER], "7");
    assert_eq!(response.body, "7 t 4");
    assert_eq!((log.runs_at(&Name::new("t")), target.counts().run), (1, 1));
}

#[tokio::test]
async fn a_request_for_another_service_is_refused_and_recorded() {
    let log = RunLog::default();
    let target = start(&log, Duration::ZERO).await;
    let response = post(&target, Version::Http2, "intake.demo", &IDS).await.unwrap();
    assert_eq!((response.parts.status.as_u16(), log.verdicts().misrouted), (421, 1));
    assert_eq!(target.counts().run, 0);
}

#[test_case(Health::Accurate, 503; "accurate")]
#[test_case(Health::Delayed(Duration::from_secs(3_600)), 200; "delayed")]
#[test_case(Health::AlwaysHealthy, 200; "always healthy")]
#[tokio::test]
async fn a_shedding_target_runs_nothing_and_its_health_may_mislead(health: Health, status: u16) {
    let log = RunLog::default();
    let target = start(&log, Duration::ZERO).await;
    target.set_behaviour(Behaviour { shed: true, health });
    let response = post(&target, Version::Http1, "claims.demo", &IDS).await.unwrap();
    assert_eq!((response.parts.status.as_u16(), target.counts().run), (503, 0));
    let response = get(target.address(), HEALTH_PATH).await.unwrap();
    assert_eq!(response.parts.status.as_u16(), status);
}

#[tokio::test]
async fn slots_deadlines_and_cancellation_are_honoured() {
    let target = start(&RunLog::default(), Duration::from_secs(3_600)).await;
    let deadline = [IDS[0], IDS[1], ("jasminecart-deadline-ms", "1")];
    let response = post(&target, Version::Http1, "claims.demo", &deadline).await.unwrap();
    assert_eq!((response.parts.status.as_u16(), target.counts().expired), (504, 1));
    {
        let first = post(&target, Version::Http1, "claims.demo", &IDS);
        let second = post(&target, Version::Http2, "claims.demo", &IDS);
        let third = async {
            while target.counts().run < 3 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            post(&target, Version::Http1, "claims.demo", &IDS).await.unwrap().parts.status
        };
        tokio::select! {
            status = third => assert_eq!(status.as_u16(), 503),
            _ = first => panic!("a request of an hour received a response"),
            _ = second => panic!("a request of an hour received a response"),
        }
    }
    while target.counts().cancelled < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(target.counts().shed, 1);
}

// Guards against violations that the run log does not detect, so that the demo would pass in spite of them.
#[test_case(false, &[8], &[(8, Outcome::Response)], [0, 0, 0, 0]; "response")]
#[test_case(false, &[8, 8], &[(8, Outcome::Response)], [0, 1, 0, 0]; "run twice by a retry")]
#[test_case(false, &[8, 9], &[(8, Outcome::Response), (9, Outcome::Unknown)], [0, 1, 0, 0]; "run twice by a repeat")]
#[test_case(true, &[8, 8], &[(8, Outcome::Response)], [0, 0, 0, 0]; "an idempotent request may run twice")]
#[test_case(false, &[8], &[(8, Outcome::NotRun)], [0, 0, 1, 0]; "refused as not run although it ran")]
#[test_case(false, &[8], &[(8, Outcome::Response), (9, Outcome::NotRun)], [0, 0, 0, 0]; "a repeat that did not run")]
#[test_case(false, &[], &[(8, Outcome::Response)], [1, 0, 0, 0]; "response without a run")]
#[test_case(false, &[8], &[(8, Outcome::NoResponse)], [1, 0, 0, 0]; "neither response nor refusal")]
#[test_case(false, &[8], &[(8, Outcome::BrokenByKill)], [0, 0, 0, 0]; "broken by a killed VM")]
#[test_case(false, &[8], &[(8, Outcome::Crossed)], [0, 0, 0, 1]; "response to another request")]
#[test_case(false, &[], &[], [1, 0, 0, 0]; "no outcome recorded")]
fn verdicts_follow_from_runs_and_outcomes(
    is_idempotent: bool,
    runs: &[u64],
    outcomes: &[(u64, Outcome)],
    [lost, run_twice, false_not_run, crossed]: [usize; 4],
) {
    let log = RunLog::default();
    log.record_operation(7, is_idempotent);
    runs.iter().for_each(|submission| log.record_run(7, *submission, &Name::new("t")));
    outcomes.iter().for_each(|(submission, outcome)| log.record_outcome(7, *submission, *outcome));
    let Verdicts { lost: l, run_twice: r, false_not_run: f, crossed: c, .. } = log.verdicts();
    assert_eq!([l.len(), r.len(), f.len(), c.len()], [lost, run_twice, false_not_run, crossed]);
}

// There is no load balancer in this test: the clients send to a target in place of an entry VM.
#[tokio::test]
async fn clients_record_the_outcomes_of_their_requests() {
    let log = RunLog::default();
    let target = start(&log, Duration::from_millis(1)).await;
    let entries = RequestEntries::default();
    entries.add(RequestEntry::new(Name::new("vm"), target.address()));
    let config = RequestsConfig {
        entries: entries.clone(),
        claims_host: "claims.demo".to_owned(),
        uploads_host: "claims.demo".to_owned(),
        clients: 2,
        pause: Duration::from_millis(1),
        seed: 1,
    };
    let requests = Requests::start(&config, &log);
    while target.counts().run < 50 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    entries.get(&Name::new("vm")).unwrap().mark_killed();
    requests.finish().await;
    let verdicts = log.verdicts();
    assert!(verdicts.outcomes[&Outcome::Response] > 20, "{verdicts:?}");
    assert_eq!((verdicts.lost.len(), verdicts.crossed.len()), (0, 0), "{verdicts:?}");
    assert!(verdicts.run_twice.is_empty(), "{verdicts:?}");
    assert!(verdicts.keys_refused > 0, "a target issues no keys: {verdicts:?}");
}
