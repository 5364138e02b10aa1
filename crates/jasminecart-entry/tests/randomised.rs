//! Seeded randomised runs of one entry VM against misbehaving targets and impatient clients.
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
use support::{Platform, entry, eventually, exchange, exchange2, metric, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CLIENTS: u64 = 24;
const TARGETS: usize = 4;
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
#[derive(Clone, Debug, PartialEq)]
enum Learned {
    Answered,
    NotRun,
    Unknown,
}

async fn client(address: SocketAddr, number: u64, mut rng: ChaCha8Rng) -> (String, Learned) {
    let service = SERVICES[rng.random_range(0..SERVICES.len())];
    let body = vec![b'x'; [0, 10, 50_000][rng.random_range(0..3)]];
    let mut req = request("POST", &format!("/{service}/{number}"), body);
    req.headers_mut().insert("host", HeaderValue::from_static(service));
    req.headers_mut().insert("jasminecart-deadline-ms", rng.random_range(1..600u64).into());
    let http2 = rng.random_bool(0.3);
    let exchanged = async {
        match http2 {
            true => exchange2(address, req).await,
            false => exchange(address, req).await,
        }
    };
    let patience = match rng.random_bool(0.1) {
        true => Duration::from_millis(rng.random_range(0..100)),
        false => support::PATIENCE,
    };
    let learned = match tokio::time::timeout(patience, exchanged).await {
        Err(_) | Ok(Err(_)) => Learned::Unknown,
        Ok(Ok(answer)) => match answer.outcome() {
            Some("not-run") => Learned::NotRun,
            Some(_) => Learned::Unknown,
            None => {
                assert_eq!(answer.status.as_u16(), 200, "request {number}");
                assert!(answer.body == body_of(service, number), "request {number}: wrong body");
                Learned::Answered
            }
        },
    };
    (service.to_owned(), learned)
}

// Guards against I2, I3, I4 and I5 being broken by a sequence of faults that nobody thought of.
async fn run(seed: u64, rounds: u64) {
    let executions = Executions::default();
    let mut document = String::new();
    for service in SERVICES {
        document += &format!(
            "[service {service}]\nhost = {service}\nshed_status = 503\nprogress_timeout = 150ms\n"
        );
        for n in 0..TARGETS {
            let address = target(service, seed, executions.clone()).await;
            document += &format!(
                "[target {service}-{n}]\nservice = {service}\ndata_centre = ub-1\n\
                 address = {address}\nslots = 100\n"
            );
        }
    }
    let platform = Platform::start(1, &document).await;
    let entry = entry("vm-1", &platform, "").await;
    let address = entry.addresses().requests;
    let mut learned = HashMap::new();
    for round in 0..rounds {
        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let number = round * CLIENTS + n;
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) ^ number);
            clients.push((number, tokio::spawn(client(address, number, rng))));
        }
        for (number, client) in clients {
            let (service, found) = client.await.unwrap();
            learned.insert((service, number), found);
        }
    }
    let operators = entry.addresses().operators;
    eventually("no request is left", || async move {
        metric(operators, "requests_in_progress").await == 0
    })
    .await;
    let executions = executions.lock().unwrap();
    for (request, learned) in &learned {
        let times = executions.get(request).copied().unwrap_or(0);
        assert!(times <= 1, "seed {seed}: {request:?} was executed {times} times");
        if *learned == Learned::NotRun {
            assert_eq!(times, 0, "seed {seed}: {request:?} was refused as not-run");
        }
        if *learned == Learned::Answered {
            assert_eq!(times, 1, "seed {seed}: {request:?} was answered");
        }
    }
    let answered = learned.values().filter(|learned| **learned == Learned::Answered).count();
    assert!(answered * 4 > learned.len(), "seed {seed}: {answered} of {} answered", learned.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_in_randomised_runs() {
    let text = |name: &str| std::env::var(name).ok();
    let seeds = text("SEEDS").and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    let rounds = text("ROUNDS").and_then(|text| text.parse().ok()).unwrap_or(8);
    for seed in seeds.unwrap_or(1..4) {
        run(seed, rounds).await;
    }
    assert_eq!(jasminecart_core::invariant::violations(), 0);
}
