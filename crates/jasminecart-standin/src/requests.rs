//! Clients that send claims, uploads and status requests and record the outcome of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use jasminecart_core::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::http_io::{self, ReceivedResponse, SendError, Version};
use crate::run_log::{OPERATION_HEADER, Outcome, RunLog, SUBMISSION_HEADER};

const KEYS_PATH: &str = "/.well-known/jasminecart/keys";
const KEY_HEADER: &str = "idempotency-key";
const OUTCOME_HEADER: &str = "jasminecart-outcome";
/// Longer than the deadline of every class of the demo, so that only a lost response takes as long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The most attempts to connect for one request, each to a VM chosen at random.
const MAX_CONNECT_ATTEMPTS: usize = 20;
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The probability that a claim is submitted again with the same key, at any VM.
const REPEAT_PROBABILITY: f64 = 0.3;
const UPLOAD_BYTES: std::ops::Range<usize> = 16 << 10..64 << 10;

/// An entry VM as clients know it.
#[derive(Clone, Debug)]
pub struct RequestEntry {
    name: Name,
    address: SocketAddr,
    is_killed: Arc<AtomicBool>,
}

impl RequestEntry {
    /// Creates an entry.
    pub fn new(name: Name, address: SocketAddr) -> RequestEntry {
        RequestEntry { name, address, is_killed: Arc::default() }
    }

    /// Returns the address of the VM for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Marks the VM as killed, so that requests without a response from it do not count as lost. Call it before
    /// the VM is killed.
    pub fn mark_killed(&self) {
        self.is_killed.store(true, Ordering::SeqCst);
    }
}

/// The list of entry VMs that clients choose from. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RequestEntries(Arc<Mutex<Vec<RequestEntry>>>);

impl RequestEntries {
    /// Adds a VM.
    pub fn add(&self, entry: RequestEntry) {
        self.lock().push(entry);
    }

    /// Removes a VM, so that no new request goes to it, and returns it.
    pub fn remove(&self, name: &Name) -> Option<RequestEntry> {
        let mut entries = self.lock();
        let index = entries.iter().position(|entry| entry.name == *name)?;
        Some(entries.remove(index))
    }

    /// Returns a VM.
    pub fn get(&self, name: &Name) -> Option<RequestEntry> {
        self.lock().iter().find(|entry| entry.name == *name).cloned()
    }

    fn choose(&self, rng: &mut ChaCha8Rng) -> Option<RequestEntry> {
        let entries = self.lock();
        let index = rng.random_range(0..entries.len().max(1));
        entries.get(index).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<RequestEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The settings of the clients.
#[derive(Clone, Debug)]
pub struct RequestsConfig {
    /// The entry VMs.
    pub entries: RequestEntries,
    /// The host name of the service for claims and status requests.
    pub claims_host: String,
    /// The host name of the service for uploads.
    pub uploads_host: String,
    /// How many clients send at the same time.
    pub clients: usize,
    /// The longest pause of a client between two operations.
    pub pause: Duration,
    /// The seed of their choices.
    pub seed: u64,
}

/// Running clients. Dropping them aborts their requests.
#[derive(Debug)]
pub struct Requests {
    stop: CancellationToken,
    clients: JoinSet<()>,
}

impl Requests {
    /// Starts the clients.
    pub fn start(cfg: &RequestsConfig, log: &RunLog) -> Requests {
        let stop = CancellationToken::new();
        let ids = Arc::new(AtomicU64::new(1));
        let mut clients = JoinSet::new();
        for number in 0..cfg.clients {
            let client = Client {
                cfg: cfg.clone(),
                log: log.clone(),
                ids: ids.clone(),
                rng: ChaCha8Rng::seed_from_u64(cfg.seed.wrapping_add(number as u64)),
            };
            clients.spawn(client.run(stop.clone()));
        }
        Requests { stop, clients }
    }

    /// Stops the clients once each has finished its operation. Afterwards the run log is complete.
    pub async fn finish(mut self) {
        self.stop.cancel();
        while self.clients.join_next().await.is_some() {}
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Claim { has_key: bool },
    Upload,
    Status,
}

/// One operation, which may be submitted several times.
struct Operation {
    id: u64,
    kind: Kind,
    key: Option<String>,
    body: Bytes,
}

struct Client {
    cfg: RequestsConfig,
    log: RunLog,
    ids: Arc<AtomicU64>,
    rng: ChaCha8Rng,
}

impl Client {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.run_operation().await;
            let pause = self.rng.random_range(0..=self.cfg.pause.as_millis() as u64);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    async fn run_operation(&mut self) {
        let kind = match self.rng.random_range(0..10) {
            0..5 => Kind::Claim { has_key: true },
            5 => Kind::Claim { has_key: false },
            6..8 => Kind::Upload,
            _ => Kind::Status,
        };
        let key = match kind {
            // A claim that gets no key is not submitted and does not count as an operation.
            Kind::Claim { has_key: true } => match self.issue_key().await {
                Some(key) => Some(key.trim().to_owned()),
                None => return self.log.record_refused_key(),
            },
            _ => None,
        };
        let body = match kind {
            Kind::Upload => Bytes::from(vec![b'u'; self.rng.random_range(UPLOAD_BYTES)]),
            Kind::Claim { .. } => Bytes::from_static(b"claim"),
            Kind::Status => Bytes::new(),
        };
        let operation = Operation { id: self.next_id(), kind, key, body };
        self.log.record_operation(operation.id, kind == Kind::Status);
        self.submit(&operation).await;
        if operation.key.is_some() && self.rng.random_bool(REPEAT_PROBABILITY) {
            self.submit(&operation).await;
        }
    }

    async fn issue_key(&mut self) -> Option<String> {
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let entry = self.cfg.entries.choose(&mut self.rng)?;
            let req = request(Method::POST, &self.cfg.claims_host, KEYS_PATH);
            let req = req.body(Full::default()).ok()?;
            let sent = http_io::send(entry.address, self.version(), req);
            match tokio::time::timeout(RESPONSE_TIMEOUT, sent).await {
                Ok(Ok(response)) if response.parts.status.is_success() => {
                    return String::from_utf8(response.body.to_vec()).ok();
                }
                // A VM that stops issues no keys, but another one may.
                Ok(Ok(response)) if response.parts.status == StatusCode::SERVICE_UNAVAILABLE => {}
                Ok(Err(SendError::NotConnected)) => {}
                _ => return None,
            }
            tokio::time::sleep(CONNECT_RETRY_DELAY).await;
        }
        None
    }

    fn version(&mut self) -> Version {
        if self.rng.random_bool(0.5) { Version::Http1 } else { Version::Http2 }
    }

    async fn submit(&mut self, operation: &Operation) {
        let submission = self.next_id();
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let Some(entry) = self.cfg.entries.choose(&mut self.rng) else { break };
            let outcome = self.submit_to(&entry, operation, submission).await;
            if let Some(outcome) = outcome {
                return self.log.record_outcome(operation.id, submission, outcome);
            }
            tokio::time::sleep(CONNECT_RETRY_DELAY).await;
        }
        self.log.record_outcome(operation.id, submission, Outcome::NoResponse);
    }

    /// Returns the outcome of the submission, or `None` when the client could not connect to the VM.
    async fn submit_to(
        &mut self,
        entry: &RequestEntry,
        operation: &Operation,
        submission: u64,
    ) -> Option<Outcome> {
        let req = self.request(operation, submission)?;
        let sent = http_io::send(entry.address, self.version(), req);
        let broken = || match entry.is_killed.load(Ordering::SeqCst) {
            true => Outcome::BrokenByKill,
            false => Outcome::NoResponse,
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, sent).await {
            Ok(Ok(response)) => Some(classify(&response, operation.id)),
            Ok(Err(SendError::NotConnected)) => None,
            Ok(Err(SendError::Broken)) | Err(_) => Some(broken()),
        }
    }

    fn request(&self, operation: &Operation, submission: u64) -> Option<Request<Full<Bytes>>> {
        let (method, host, path) = match operation.kind {
            Kind::Claim { .. } => (Method::POST, &self.cfg.claims_host, "/claims"),
            Kind::Upload => (Method::POST, &self.cfg.uploads_host, "/uploads"),
            Kind::Status => (Method::GET, &self.cfg.claims_host, "/status"),
        };
        let mut req = request(method, host, path)
            .header(OPERATION_HEADER, operation.id)
            .header(SUBMISSION_HEADER, submission);
        if let Some(key) = &operation.key {
            req = req.header(KEY_HEADER, key);
        }
        req.body(Full::new(operation.body.clone())).ok()
    }
}

fn request(method: Method, host: &str, path: &str) -> http::request::Builder {
    // HTTP/2 sends the host of the URI, HTTP/1.1 the `host` header.
    let uri = format!("http://{host}{path}");
    Request::builder().method(method).uri(uri).header("host", host)
}

fn classify(response: &ReceivedResponse, operation: u64) -> Outcome {
    let text = |name| response.parts.headers.get(name).and_then(|value| value.to_str().ok());
    match (text(OUTCOME_HEADER), text(OPERATION_HEADER)) {
        (Some("not-run"), _) => Outcome::NotRun,
        (Some("unknown"), _) => Outcome::Unknown,
        (_, Some(id)) if id == operation.to_string() => {
            let body = String::from_utf8_lossy(&response.body);
            let is_own =
                !response.parts.status.is_success() || body.split_whitespace().next() == Some(id);
            if is_own { Outcome::Response } else { Outcome::Crossed }
        }
        (_, Some(_)) => Outcome::Crossed,
        (_, None) => Outcome::NoResponse,
    }
}
