//! Clients that send claims, uploads and status requests and record what they are told.

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

use crate::http_io::{self, Answer, SendError, Version};
use crate::run_log::{OPERATION_HEADER, RunLog, SUBMISSION_HEADER, Told};

const KEYS_PATH: &str = "/.well-known/jasminecart/keys";
const KEY_HEADER: &str = "idempotency-key";
const OUTCOME_HEADER: &str = "jasminecart-outcome";
/// Longer than the deadline of every class of the demo, so that only a lost answer takes as long.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a submission is tried at another VM because no connection was made.
const MAX_CONNECTS: usize = 20;
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// The share of claims that are submitted again with the same key at any VM.
const REPEATED: f64 = 0.3;
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

    /// Excuses the VM from answering. Call it before the VM is killed.
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

/// What the clients send.
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

/// Running clients. Dropping them ends them in the middle of their requests.
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

    /// Lets every client finish its operation. Afterwards the run log can be judged.
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
            self.operate().await;
            let pause = self.rng.random_range(0..=self.cfg.pause.as_millis() as u64);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    async fn operate(&mut self) {
        let kind = match self.rng.random_range(0..10) {
            0..5 => Kind::Claim { has_key: true },
            5 => Kind::Claim { has_key: false },
            6..8 => Kind::Upload,
            _ => Kind::Status,
        };
        let key = match kind {
            // Without a key the claim is not submitted, so it counts as no operation.
            Kind::Claim { has_key: true } => match self.issue_key().await {
                Some(key) => Some(key.trim().to_owned()),
                None => return self.log.refuse_key(),
            },
            _ => None,
        };
        let body = match kind {
            Kind::Upload => Bytes::from(vec![b'u'; self.rng.random_range(UPLOAD_BYTES)]),
            Kind::Claim { .. } => Bytes::from_static(b"claim"),
            Kind::Status => Bytes::new(),
        };
        let operation = Operation { id: self.next_id(), kind, key, body };
        self.log.submit(operation.id, kind == Kind::Status);
        self.submit(&operation).await;
        if operation.key.is_some() && self.rng.random_bool(REPEATED) {
            self.submit(&operation).await;
        }
    }

    async fn issue_key(&mut self) -> Option<String> {
        for _ in 0..MAX_CONNECTS {
            let entry = self.cfg.entries.choose(&mut self.rng)?;
            let req = request(Method::POST, &self.cfg.claims_host, KEYS_PATH);
            let req = req.body(Full::default()).ok()?;
            let sent = http_io::send(entry.address, self.version(), req);
            match tokio::time::timeout(PATIENCE, sent).await {
                Ok(Ok(answer)) if answer.parts.status.is_success() => {
                    return String::from_utf8(answer.body.to_vec()).ok();
                }
                // A VM that stops issues no keys, and another one may.
                Ok(Ok(answer)) if answer.parts.status == StatusCode::SERVICE_UNAVAILABLE => {}
                Ok(Err(SendError::NotConnected)) => {}
                _ => return None,
            }
            tokio::time::sleep(CONNECT_PAUSE).await;
        }
        None
    }

    fn version(&mut self) -> Version {
        if self.rng.random_bool(0.5) { Version::Http1 } else { Version::Http2 }
    }

    async fn submit(&mut self, operation: &Operation) {
        let submission = self.next_id();
        for _ in 0..MAX_CONNECTS {
            let Some(entry) = self.cfg.entries.choose(&mut self.rng) else { break };
            let told = self.submit_to(&entry, operation, submission).await;
            if let Some(told) = told {
                return self.log.tell(operation.id, submission, told);
            }
            tokio::time::sleep(CONNECT_PAUSE).await;
        }
        self.log.tell(operation.id, submission, Told::Nothing);
    }

    /// Returns what the client was told, or `None` when no connection was made.
    async fn submit_to(
        &mut self,
        entry: &RequestEntry,
        operation: &Operation,
        submission: u64,
    ) -> Option<Told> {
        let req = self.request(operation, submission)?;
        let sent = http_io::send(entry.address, self.version(), req);
        let broken = || match entry.is_killed.load(Ordering::SeqCst) {
            true => Told::BrokenByKill,
            false => Told::Nothing,
        };
        match tokio::time::timeout(PATIENCE, sent).await {
            Ok(Ok(answer)) => Some(judge(&answer, operation.id)),
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
    // HTTP/2 takes the host from the URI, HTTP/1.1 from the header.
    let uri = format!("http://{host}{path}");
    Request::builder().method(method).uri(uri).header("host", host)
}

fn judge(answer: &Answer, operation: u64) -> Told {
    let text = |name| answer.parts.headers.get(name).and_then(|value| value.to_str().ok());
    match (text(OUTCOME_HEADER), text(OPERATION_HEADER)) {
        (Some("not-run"), _) => Told::NotRun,
        (Some("unknown"), _) => Told::Unknown,
        (_, Some(id)) if id == operation.to_string() => {
            let body = String::from_utf8_lossy(&answer.body);
            let is_own =
                !answer.parts.status.is_success() || body.split_whitespace().next() == Some(id);
            if is_own { Told::Answer } else { Told::Crossed }
        }
        (_, Some(_)) => Told::Crossed,
        (_, None) => Told::Nothing,
    }
}
