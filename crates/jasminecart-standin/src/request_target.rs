//! A target for requests: a few slots, shedding, cold start, drain, deadlines, and misleading health.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use jasminecart_core::Name;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::Result;
use crate::http_io::{Body, Break, full, read_body, serve};
use crate::run_log::{OPERATION_HEADER, RunLog, SUBMISSION_HEADER};

/// The path of the health endpoint.
pub const HEALTH_PATH: &str = "/healthz";
/// The header with the time that jasminecart leaves to the target, in milliseconds.
const DEADLINE_HEADER: &str = "jasminecart-deadline-ms";
/// How much slower a cold target is.
const COLD_FACTOR: u32 = 4;

/// What a request target is.
#[derive(Clone, Debug)]
pub struct RequestTargetConfig {
    /// The name of the target, which its answers carry.
    pub name: Name,
    /// The host names that it serves. A request for any other host is misrouted.
    pub hosts: Vec<String>,
    /// How many requests it runs at a time. More are shed with 503.
    pub slots: usize,
    /// How long a request takes.
    pub work: Duration,
    /// How long after its start a request takes four times as long.
    pub cold: Duration,
}

/// What the health endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Whether the target sheds at this moment.
    #[default]
    Truthful,
    /// Whether the target shed this long ago.
    Lagging(Duration),
    /// Always that the target is well.
    Lying,
}

/// How a target behaves, which can change while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Whether it sheds every request.
    pub shed: bool,
    /// What its health endpoint says.
    pub health: Health,
}

/// What a request target saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTargetCounts {
    /// Requests that ran.
    pub run: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests whose caller went away while they ran.
    pub cancelled: u64,
    /// Requests that ended early because their deadline passed.
    pub expired: u64,
    /// Requests on connections that have gone silent.
    pub silent: u64,
}

#[derive(Debug)]
struct Shared {
    cfg: RequestTargetConfig,
    log: RunLog,
    started: Instant,
    slots: Semaphore,
    state: Mutex<State>,
    /// Connections with a lower number have gone silent.
    silent_below: AtomicU64,
    connections: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    counts: RequestTargetCounts,
    /// When shedding was switched, with the state since then.
    switches: Vec<(Option<Instant>, bool)>,
}

/// A running request target. Dropping it breaks its connections.
#[derive(Debug)]
pub struct RequestTarget {
    shared: Arc<Shared>,
    address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl RequestTarget {
    /// Starts a target on a loopback socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub async fn start(cfg: RequestTargetConfig, log: RunLog) -> Result<RequestTarget> {
        let shared = Arc::new(Shared {
            slots: Semaphore::new(cfg.slots),
            cfg,
            log,
            started: Instant::now(),
            state: Mutex::default(),
            silent_below: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        });
        let served = shared.clone();
        let handler = move |connection, req| answer(served.clone(), connection, req);
        let (address, _task) = serve(handler).await?;
        Ok(RequestTarget { shared, address, _task })
    }

    /// Returns the address for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the target behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut state = self.shared.lock();
        state.behaviour = behaviour;
        state.switches.push((Some(Instant::now()), behaviour.shed));
    }

    /// Makes every connection that was used until now silent for ever. New ones work.
    pub fn silence_connections(&self) {
        let next = self.shared.connections.load(Ordering::Relaxed);
        self.shared.silent_below.store(next, Ordering::Relaxed);
    }

    /// Returns what the target saw.
    pub fn counts(&self) -> RequestTargetCounts {
        self.shared.lock().counts
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, f: impl FnOnce(&mut RequestTargetCounts)) {
        f(&mut self.lock().counts);
    }

    fn work(&self) -> Duration {
        let cold = self.started.elapsed() < self.cfg.cold;
        if cold { self.cfg.work * COLD_FACTOR } else { self.cfg.work }
    }

    fn is_well(&self) -> bool {
        let state = self.lock();
        let at = match state.behaviour.health {
            Health::Lying => return true,
            Health::Truthful => Some(Instant::now()),
            Health::Lagging(lag) => Instant::now().checked_sub(lag),
        };
        let past = state.switches.iter().rev().find(|(since, _)| *since <= at);
        !past.is_some_and(|(_, shed)| *shed)
    }

    fn serves(&self, req: &Request<Incoming>) -> bool {
        let header = req.headers().get("host").and_then(|value| value.to_str().ok());
        let host = header.or_else(|| req.uri().host()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        self.cfg.hosts.iter().any(|served| served == host)
    }
}

async fn answer(
    shared: Arc<Shared>,
    connection: u64,
    req: Request<Incoming>,
) -> std::result::Result<Response<Body>, Break> {
    shared.connections.fetch_max(connection + 1, Ordering::Relaxed);
    if connection < shared.silent_below.load(Ordering::Relaxed) {
        shared.count(|counts| counts.silent += 1);
        std::future::pending::<()>().await;
    }
    if req.uri().path() == HEALTH_PATH {
        let well = shared.is_well();
        let status = if well { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(respond(status, ""));
    }
    if !shared.serves(&req) {
        shared.log.misroute();
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    run(&shared, req).await
}

async fn run(
    shared: &Shared,
    req: Request<Incoming>,
) -> std::result::Result<Response<Body>, Break> {
    let permit = shared.slots.try_acquire().ok();
    if permit.is_none() || shared.lock().behaviour.shed {
        shared.count(|counts| counts.shed += 1);
        return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    let (parts, body) = req.into_parts();
    let body = read_body(body).await.ok_or(Break)?;
    let Some(operation) = number(&parts.headers, OPERATION_HEADER) else {
        return Ok(respond(StatusCode::BAD_REQUEST, "no operation"));
    };
    let submission = number(&parts.headers, SUBMISSION_HEADER).unwrap_or(0);
    // The request runs once its body is complete.
    shared.log.run(operation, submission, &shared.cfg.name);
    shared.count(|counts| counts.run += 1);
    let mut guard = Running { shared, is_done: false };
    let deadline = number(&parts.headers, DEADLINE_HEADER);
    let deadline = deadline.map_or(Duration::MAX, Duration::from_millis);
    let in_time = tokio::time::timeout(deadline, tokio::time::sleep(shared.work())).await.is_ok();
    guard.is_done = true;
    let mut response = if in_time {
        let text = format!("{operation} {} {}", shared.cfg.name, body.len());
        respond(StatusCode::OK, &text)
    } else {
        shared.count(|counts| counts.expired += 1);
        respond(StatusCode::GATEWAY_TIMEOUT, "deadline")
    };
    response.headers_mut().insert(OPERATION_HEADER, operation.into());
    Ok(response)
}

/// Notices that the caller went away, which drops the handler in the middle of its work.
struct Running<'a> {
    shared: &'a Shared,
    is_done: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            self.shared.count(|counts| counts.cancelled += 1);
        }
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn respond(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full(text.to_owned()));
    *response.status_mut() = status;
    response
}
