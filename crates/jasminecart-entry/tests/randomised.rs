//! Seeded randomised runs of two entry VMs against misbehaving targets, impatient clients, changes of the
//! document and a planned stop.
//!
//! The program asserts its own invariants meanwhile; a violation panics in this build. `SEEDS` and `ROUNDS`
//! in the environment lengthen the run: `SEEDS=100..200 ROUNDS=200 cargo test -p jasminecart-entry
//! --test randomised`.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::HeaderValue;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    Platform, entry, eventually, exchange_on, exchange2_on, issue_key, metric, metric_reaches,
    request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CLIENTS: u64 = 24;
const TARGETS: u64 = 4;
const SERVICES: [&str; 2] = ["claims", "ledger"];

/// How often targets executed each request, by service and number.
type Executions = Arc<Mutex<HashMap<(String, u64), u32>>>;

/// Starts a target of one service whose behaviour follows from the seed and the number of a request.
async fn target(service: &'static str, seed: u64, executions: Executions) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(follow(stream, service, seed, executions.clone()));
        }
    });
    address
}

async fn follow(mut stream: TcpStream, service: &str, seed: u64, executions: Executions) {
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
        let body = body_of(service, number);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let answer = [head.as_bytes(), &body].concat();
        let cut = rng.random_range(0..answer.len());
        let behaviour = rng.random_range(0..12);
        let close = match behaviour {
            // Closes or sheds before execution.
            0 => return,
            1 => {
                let shed = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(shed).await.is_err()
            }
            // Executes, and breaks off or falls silent before the end.
            2 => {
                executed();
                let _ = stream.write_all(&answer[..cut]).await;
                true
            }
            3 => {
                executed();
                let _ = stream.write_all(&answer[..cut]).await;
                let mut ignored = [0; 64];
                while stream.read(&mut ignored).await.is_ok_and(|count| count > 0) {}
                true
            }
            // Answers late, twice, or and closes although the connection may be kept.
            4 => {
                executed();
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
                stream.write_all(&answer).await.is_err()
            }
            5 => {
                executed();
                stream.write_all(&[&answer[..], &answer[..]].concat()).await.is_err()
            }
            6 => {
                executed();
                let _ = stream.write_all(&answer).await;
                true
            }
            _ => {
                executed();
                stream.write_all(&answer).await.is_err()
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

/// The one right answer to a request, up to several buffers long.
fn body_of(service: &str, number: u64) -> Vec<u8> {
    let line = format!("{service}/{number};").into_bytes();
    let lines = [1, 100, 20_000][(number % 3) as usize];
    line.repeat(lines)
}

/// What a client learned of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Learned {
    Answered,
    NotRun,
    Unknown,
}

/// A request with all that its client will do.
struct Plan {
    number: u64,
    service: &'static str,
    method: &'static str,
    key: Option<String>,
    rng: ChaCha8Rng,
}

impl Plan {
    fn new(seed: u64, number: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) ^ number);
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let method = if rng.random_bool(0.3) { "GET" } else { "POST" };
        Plan { number, service, method, key: None, rng }
    }

    /// Sends the request, and repeats a keyed one at either VM until its fate is known, at most twice.
    async fn run(mut self, vms: [SocketAddr; 2]) -> (Plan, Learned) {
        if self.method == "POST" && self.rng.random_bool(0.3) {
            self.key = Some(issue_key(vms[0]).await);
        }
        let vm = vms[self.rng.random_range(0..2)];
        let mut learned = self.send(vm).await;
        for _ in 0..2 {
            if self.key.is_some() && learned != Learned::Answered {
                let before = learned;
                let vm = vms[self.rng.random_range(0..2)];
                learned = self.send(vm).await;
                // A repeat that is refused does not tell what the first request did.
                if before == Learned::Unknown && learned == Learned::NotRun {
                    learned = Learned::Unknown;
                }
            }
        }
        (self, learned)
    }

    async fn send(&mut self, vm: SocketAddr) -> Learned {
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
        let Ok(stream) = TcpStream::connect(vm).await else { return Learned::NotRun };
        let exchanged = async {
            match http2 {
                true => exchange2_on(stream, req).await,
                false => exchange_on(stream, req).await,
            }
        };
        let patience = match self.rng.random_bool(0.1) {
            true => Duration::from_millis(self.rng.random_range(0..100)),
            false => support::PATIENCE,
        };
        match tokio::time::timeout(patience, exchanged).await {
            Err(_) | Ok(Err(_)) => Learned::Unknown,
            Ok(Ok(answer)) => match answer.outcome() {
                Some("not-run") => Learned::NotRun,
                Some(_) => Learned::Unknown,
                None => {
                    assert_eq!(answer.status.as_u16(), 200, "request {number}");
                    let right = answer.body == body_of(service, number);
                    assert!(right, "request {number}: the answer of another request");
                    Learned::Answered
                }
            },
        }
    }
}

/// Returns a document in which one target of each service drains.
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

// Guards against I2, I3, I4, I5 and I7 being broken by a sequence of faults that nobody thought of.
async fn run(seed: u64, rounds: u64) {
    let executions = Executions::default();
    let mut targets = Vec::new();
    for service in SERVICES {
        for _ in 0..TARGETS {
            targets.push((service, target(service, seed, executions.clone()).await));
        }
    }
    let platform = Platform::start(1, &document(&targets, 0)).await;
    let a = entry("vm-1", &platform, "").await;
    platform.list(&[&a]);
    let b = entry("vm-2", &platform, "").await;
    metric_reaches(&a, "peer_server_received_messages_total", 1).await;
    metric_reaches(&b, "peer_server_received_messages_total", 1).await;
    let (vms, operators) =
        ([a.addresses().requests, b.addresses().requests], a.addresses().operators);
    let mut learned = Vec::new();
    let mut leaving = Some(b);
    let mut stop = None;
    for round in 0..rounds {
        platform.publish(round + 2, &document(&targets, round));
        let plans = (0..CLIENTS).map(|n| Plan::new(seed, round * CLIENTS + n));
        let clients: Vec<_> = plans.map(|plan| tokio::spawn(plan.run(vms))).collect();
        if round + 1 == rounds {
            stop = leaving.take().map(|b| tokio::spawn(b.stop()));
        }
        for client in clients {
            learned.push(client.await.unwrap());
        }
    }
    let report = stop.unwrap().await.unwrap();
    assert!(report.drained && report.cut_off == 0, "seed {seed}: {report:?}");
    eventually("no request is left", || async move {
        metric(operators, "requests_in_progress").await == 0
    })
    .await;
    check(seed, &learned, &executions.lock().unwrap());
}

fn check(seed: u64, learned: &[(Plan, Learned)], executions: &HashMap<(String, u64), u32>) {
    let mut answered = 0;
    for (plan, learned) in learned {
        let (method, number) = (plan.method, plan.number);
        let key = (plan.service.to_owned(), number);
        let times = executions.get(&key).copied().unwrap_or(0);
        let most = if method == "POST" { 1 } else { 3 };
        assert!(times <= most, "seed {seed}: {method} {number} was executed {times} times");
        match learned {
            Learned::NotRun => {
                assert_eq!(times, 0, "seed {seed}: {method} {number} was refused as not-run");
            }
            Learned::Answered => {
                answered += 1;
                assert!(times > 0, "seed {seed}: {method} {number} was answered");
            }
            Learned::Unknown => {}
        }
    }
    assert!(answered * 4 > learned.len(), "seed {seed}: {answered} of {} answered", learned.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_in_randomised_runs() {
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
