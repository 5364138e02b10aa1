//! A target for requests, with a few slots, shedding, warm-up, deadlines and a health endpoint that may mislead.

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
use crate::http_io::{Body, CloseConnection, full_body, read_body, serve};
use crate::run_log::{OPERATION_HEADER, RunLog, SUBMISSION_HEADER};

/// The path of the health endpoint.
pub const HEALTH_PATH: &str = "/healthz";
/// The header with the time that is left until the deadline of a request, in milliseconds.
const DEADLINE_HEADER: &str = "jasminecart-deadline-ms";
/// The factor by which requests take longer during warm-up.
const WARM_UP_FACTOR: u32 = 4;

/// The settings of a request target.
#[derive(Clone, Debug)]
pub struct RequestTargetConfig {
    /// The name of the target, which its responses contain.
    pub name: Name,
    /// The host names that it serves. A request for any other host counts as misrouted.
    pub hosts: Vec<String>,
    /// How many requests it runs at a time. Further requests are shed with 503.
    pub slots: usize,
    /// How long a request takes.
    pub work: Duration,
    /// The warm-up after the start, during which a request takes four times as long.
    pub warm_up: Duration,
}

/// What the health endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Unhealthy while the target sheds.
    #[default]
    Accurate,
    /// The accurate health of this long ago.
    Delayed(Duration),
    /// Healthy, also while the target sheds.
    AlwaysHealthy,
}

/// How a target behaves. It can change while the target runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Whether it sheds every request.
    pub shed: bool,
    /// What its health endpoint reports.
    pub health: Health,
}

/// The requests that a request target has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTargetCounts {
    /// Requests that ran.
    pub run: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests whose client disconnected while they ran.
    pub cancelled: u64,
    /// Requests that ended early because their deadline expired.
    pub expired: u64,
    /// Requests on connections that no longer respond.
    pub silent: u64,
}

#[derive(Debug)]
struct Shared {
    cfg: RequestTargetConfig,
    log: RunLog,
    started: Instant,
    slots: Semaphore,
    state: Mutex<State>,
    /// Connections with a lower number no longer respond.
    silent_below: AtomicU64,
    connections: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    counts: RequestTargetCounts,
    /// When shedding was switched on or off, with its state since then.
    switches: Vec<(Option<Instant>, bool)>,
}

/// A running request target. Dropping it aborts its connections.
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
        let handler = move |connection, req| handle(served.clone(), connection, req);
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

    /// Stops all responses on connections that were used until now. New connections work.
    pub fn silence_connections(&self) {
        let next = self.shared.connections.load(Ordering::Relaxed);
        self.shared.silent_below.store(next, Ordering::Relaxed);
    }

    /// Returns the counts since the start.
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
        let is_warming_up = self.started.elapsed() < self.cfg.warm_up;
        if is_warming_up { self.cfg.work * WARM_UP_FACTOR } else { self.cfg.work }
    }

    fn is_healthy(&self) -> bool {
        let state = self.lock();
        let at = match state.behaviour.health {
            Health::AlwaysHealthy => return true,
            Health::Accurate => Some(Instant::now()),
            Health::Delayed(lag) => Instant::now().checked_sub(lag),
        };
        let latest = state.switches.iter().rev().find(|(since, _)| *since <= at);
        !latest.is_some_and(|(_, shed)| *shed)
    }

    fn serves(&self, req: &Request<Incoming>) -> bool {
        let header = req.headers().get("host").and_then(|value| value.to_str().ok());
        let host = header.or_else(|| req.uri().host()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        self.cfg.hosts.iter().any(|served| served == host)
    }
}

async fn handle(
    shared: Arc<Shared>,
    connection: u64,
    req: Request<Incoming>,
) -> std::result::Result<Response<Body>, CloseConnection> {
    shared.connections.fetch_max(connection + 1, Ordering::Relaxed);
    if connection < shared.silent_below.load(Ordering::Relaxed) {
        shared.count(|counts| counts.silent += 1);
        std::future::pending::<()>().await;
    }
    if req.uri().path() == HEALTH_PATH {
        let is_healthy = shared.is_healthy();
        let status = if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(respond(status, ""));
    }
    if !shared.serves(&req) {
        shared.log.record_misrouted();
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    run(&shared, req).await
}

async fn run(
    shared: &Shared,
    req: Request<Incoming>,
) -> std::result::Result<Response<Body>, CloseConnection> {
    let permit = shared.slots.try_acquire().ok();
    if permit.is_none() || shared.lock().behaviour.shed {
        shared.count(|counts| counts.shed += 1);
        return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    let (parts, body) = req.into_parts();
    let body = read_body(body).await.ok_or(CloseConnection)?;
    let Some(operation) = number(&parts.headers, OPERATION_HEADER) else {
        return Ok(respond(StatusCode::BAD_REQUEST, "no operation"));
    };
    let submission = number(&parts.headers, SUBMISSION_HEADER).unwrap_or(0);
    // A request counts as run from when its body is complete.
    shared.log.record_run(operation, submission, &shared.cfg.name);
    shared.count(|counts| counts.run += 1);
    let mut guard = CancellationGuard { shared, is_done: false };
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

/// Counts a cancelled request: when the client disconnects, the handler and this guard are dropped before the
/// work is done.
struct CancellationGuard<'a> {
    shared: &'a Shared,
    is_done: bool,
}

impl Drop for CancellationGuard<'_> {
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
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}
