//! Randomised runs, by seed, of two entry VMs with misbehaving targets, clients that disconnect
//! early, changes of the document and a planned stop.
//!
//! The daemon also checks its own invariants, and a violation panics in this build. The environment
//! variables `SEEDS` and `ROUNDS` set the seeds and the number of rounds: `SEEDS=100..200
//! ROUNDS=200 cargo test -p jasminecart-entry --test randomised`.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::HeaderValue;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    Platform, entry, eventually, exchange_http2_on, exchange_on, issue_key, metric, metric_reaches,
    request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CLIENTS: u64 = 24;
const TARGETS: u64 = 4;
const SERVICES: [&str; 2] = ["claims", "ledger"];

/// How many times targets executed each request, by service and request number.
type Executions = Arc<Mutex<HashMap<(String, u64), u32>>>;

/// Starts a target of one service. The seed and the number of a request determine what it does with
/// it.
async fn start_target(service: &'static str, seed: u64, executions: Executions) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, service, seed, executions.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, service: &str, seed: u64, executions: Executions) {
    let mut buf = Vec::new();
    while let Some((path, length)) = read_head(&mut stream, &mut buf).await {
        while buf.len() < length {
            if !matches!(stream.read_buf(&mut buf).await, Ok(count) if count > 0) {
                return;
            }
        }
        buf.drain(..length);
        let number: u64 = path.rsplit('/').next().unwrap().parse().unwrap();
        assert!(path.starts_with(&format!("/{service}/")), "{path} reached {service}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
        let executed = || {
            let key = (service.to_owned(), number);
            *executions.lock().unwrap().entry(key).or_default() += 1;
        };
        let body = expected_body(service, number);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let response = [head.as_bytes(), &body].concat();
        let truncate_at = rng.random_range(0..response.len());
        let behaviour = rng.random_range(0..12);
        let close = match behaviour {
            // Closes or sheds before execution.
            0 => return,
            1 => {
                let shed = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(shed).await.is_err()
            }
            // Executes, and closes or stalls before the end of the response.
            2 => {
                executed();
                let _ = stream.write_all(&response[..truncate_at]).await;
                true
            }
            3 => {
                executed();
                let _ = stream.write_all(&response[..truncate_at]).await;
                let mut ignored = [0; 64];
                while stream.read(&mut ignored).await.is_ok_and(|count| count > 0) {}
                true
            }
            // Executes, and responds late, responds twice, or closes after the response without
            // announcing it.
            4 => {
                executed();
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
                stream.write_all(&response).await.is_err()
            }
            5 => {
                executed();
                stream.write_all(&[&response[..], &response[..]].concat()).await.is_err()
            }
            6 => {
                executed();
                let _ = stream.write_all(&response).await;
                true
            }
            _ => {
                executed();
                stream.write_all(&response).await.is_err()
            }
        };
        if close {
            return;
        }
    }
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(buf.drain(..end + 4).collect()).unwrap();
            let path = head.split(' ').nth(1).unwrap().to_owned();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            return Some((path, length.map_or(0, |length| length.parse().unwrap())));
        }
        if !matches!(stream.read_buf(buf).await, Ok(count) if count > 0) {
            return None;
        }
    }
}

/// The body of the only correct response to a request. The longest ones exceed several buffers.
fn expected_body(service: &str, number: u64) -> Vec<u8> {
    let line = format!("{service}/{number};").into_bytes();
    let lines = [1, 100, 20_000][(number % 3) as usize];
    line.repeat(lines)
}

/// What a client knows about a request after its last response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientOutcome {
    Completed,
    NotRun,
    Unknown,
}

/// A request and the random choices of its client.
struct PlannedRequest {
    number: u64,
    service: &'static str,
    method: &'static str,
    key: Option<String>,
    rng: ChaCha8Rng,
}

impl PlannedRequest {
    fn new(seed: u64, number: u64) -> PlannedRequest {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) ^ number);
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let method = if rng.random_bool(0.3) { "GET" } else { "POST" };
        PlannedRequest { number, service, method, key: None, rng }
    }

    /// Sends the request. One with a key is retried at either VM until it completes, at most
    /// twice.
    async fn run(mut self, vms: [SocketAddr; 2]) -> (PlannedRequest, ClientOutcome) {
        if self.method == "POST" && self.rng.random_bool(0.3) {
            self.key = Some(issue_key(vms[0]).await);
        }
        let vm = vms[self.rng.random_range(0..2)];
        let mut outcome = self.send(vm).await;
        for _ in 0..2 {
            if self.key.is_some() && outcome != ClientOutcome::Completed {
                let before = outcome;
                let vm = vms[self.rng.random_range(0..2)];
                outcome = self.send(vm).await;
                // A retry that is refused does not show whether an earlier request was executed.
                if before == ClientOutcome::Unknown && outcome == ClientOutcome::NotRun {
                    outcome = ClientOutcome::Unknown;
                }
            }
        }
        (self, outcome)
    }

    async fn send(&mut self, vm: SocketAddr) -> ClientOutcome {
        let (number, service) = (self.number, self.service);
        let body = vec![b'x'; [0, 10, 50_000][self.rng.random_range(0..3)]];
        let body = if self.method == "GET" { Vec::new() } else { body };
        let mut req = request(self.method, &format!("/{service}/{number}"), body);
        let headers = req.headers_mut();
        headers.insert("host", HeaderValue::from_static(service));
        headers.insert("jasminecart-deadline-ms", self.rng.random_range(1..600u64).into());
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", HeaderValue::from_str(key).unwrap());
        }
        let http2 = self.rng.random_bool(0.3);
        let Ok(stream) = TcpStream::connect(vm).await else { return ClientOutcome::NotRun };
        let exchanged = async {
            match http2 {
                true => exchange_http2_on(stream, req).await,
                false => exchange_on(stream, req).await,
            }
        };
        let client_timeout = match self.rng.random_bool(0.1) {
            true => Duration::from_millis(self.rng.random_range(0..100)),
            false => support::WAIT_TIMEOUT,
        };
        match tokio::time::timeout(client_timeout, exchanged).await {
            Err(_) | Ok(Err(_)) => ClientOutcome::Unknown,
            Ok(Ok(response)) => match response.outcome() {
                Some("not-run") => ClientOutcome::NotRun,
                Some(_) => ClientOutcome::Unknown,
                None => {
                    assert_eq!(response.status.as_u16(), 200, "request {number}");
                    let right = response.body == expected_body(service, number);
                    assert!(right, "request {number}: the body is that of another request");
                    ClientOutcome::Completed
                }
            },
        }
    }
}

/// Returns a document in which one target of each service is draining, chosen by `draining`.
fn document(targets: &[(&'static str, SocketAddr)], draining: u64) -> String {
    let mut text = String::new();
    for service in SERVICES {
        text += &format!(
            "[service {service}]\nhost = {service}\nshed_status = 503\nprogress_timeout = 150ms\n"
        );
    }
    for (n, (service, address)) in targets.iter().enumerate() {
        let drains = n as u64 % TARGETS == draining % TARGETS;
        let state = if drains { "draining" } else { "active" };
        text += &format!(
            "[target t{n}]\nservice = {service}\ndata_centre = ub-1\naddress = {address}\n\
             slots = 20\nstate = {state}\n"
        );
    }
    text
}

// Guards against sequences of faults, not covered by the other tests, that break I2, I3, I4, I5 or
// I7.
async fn run(seed: u64, rounds: u64) {
    let executions = Executions::default();
    let mut targets = Vec::new();
    for service in SERVICES {
        for _ in 0..TARGETS {
            targets.push((service, start_target(service, seed, executions.clone()).await));
        }
    }
    let platform = Platform::start(1, &document(&targets, 0)).await;
    let a = entry("vm-1", &platform, "").await;
    platform.set_vms(&[&a]);
    let b = entry("vm-2", &platform, "").await;
    metric_reaches(&a, "peer_server_received_messages_total", 1).await;
    metric_reaches(&b, "peer_server_received_messages_total", 1).await;
    let (vms, operators) =
        ([a.addresses().requests, b.addresses().requests], a.addresses().operators);
    let mut outcomes = Vec::new();
    let mut stopping_vm = Some(b);
    let mut stop = None;
    for round in 0..rounds {
        platform.publish(round + 2, &document(&targets, round));
        let planned_requests = (0..CLIENTS).map(|n| PlannedRequest::new(seed, round * CLIENTS + n));
        let clients: Vec<_> =
            planned_requests.map(|planned| tokio::spawn(planned.run(vms))).collect();
        if round + 1 == rounds {
            stop = stopping_vm.take().map(|b| tokio::spawn(b.stop()));
        }
        for client in clients {
            outcomes.push(client.await.unwrap());
        }
    }
    let report = stop.unwrap().await.unwrap();
    assert!(report.drained && report.cut_off == 0, "seed {seed}: {report:?}");
    eventually("no request is left", || async move {
        metric(operators, "requests_in_progress").await == 0
    })
    .await;
    check(seed, &outcomes, &executions.lock().unwrap());
}

fn check(
    seed: u64,
    outcomes: &[(PlannedRequest, ClientOutcome)],
    executions: &HashMap<(String, u64), u32>,
) {
    let mut completed = 0;
    for (planned, outcome) in outcomes {
        let (method, number) = (planned.method, planned.number);
        let key = (planned.service.to_owned(), number);
        let execution_count = executions.get(&key).copied().unwrap_or(0);
        let max_executions = if method == "POST" { 1 } else { 3 };
        assert!(
            execution_count <= max_executions,
            "seed {seed}: {method} {number} was executed {execution_count} times"
        );
        match outcome {
            ClientOutcome::NotRun => {
                assert_eq!(
                    execution_count, 0,
                    "seed {seed}: {method} {number} was refused as not-run but executed"
                );
            }
            ClientOutcome::Completed => {
                completed += 1;
                assert!(
                    execution_count > 0,
                    "seed {seed}: {method} {number} completed but was not executed"
                );
            }
            ClientOutcome::Unknown => {}
        }
    }
    assert!(
        completed * 4 > outcomes.len(),
        "seed {seed}: {completed} of {} requests completed",
        outcomes.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_in_randomised_runs() {
    let text = |name: &str| std::env::var(name).ok();
    let seeds = text("SEEDS").and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    let rounds = text("ROUNDS").and_then(|text| text.parse().ok()).unwrap_or(6);
    for seed in seeds.unwrap_or(1..4) {
        run(seed, rounds).await;
    }
    assert_eq!(jasminecart_core::invariant::violations(), 0);
}
