//! The platform: the configuration service and the list of VMs, which VMs only read, over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::Result;
use crate::http_io::{Body, CloseConnection, full_body, serve};

/// The longest time that a watch waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// An entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformVm {
    /// The data centre of the VM.
    pub data_centre: String,
    /// The name of the VM.
    pub name: String,
    /// The TCP address of its peer service.
    pub control: SocketAddr,
    /// The UDP address for packets from other VMs.
    pub packets: SocketAddr,
    /// The TCP address for requests that other VMs forward.
    pub requests: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// How the platform responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// It responds with the newest document and list.
    #[default]
    Current,
    /// It closes every connection without a response.
    Unreachable,
    /// It responds with an older revision, as a stale replica, and with the list of that time.
    Behind {
        /// The revision.
        revision: u64,
    },
}

/// The requests that the platform has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads of the document without waiting.
    pub reads: u64,
    /// Reads of the document that waited for a change.
    pub watches: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Requests whose connection was closed in [`PlatformMode::Unreachable`].
    pub broken: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Each published document with the list of VMs at that time. The revision is the index plus 1.
    published: Vec<(String, Vec<PlatformVm>)>,
    /// How often the platform was restored from a copy.
    epoch: u64,
    vms: Vec<PlatformVm>,
    mode: PlatformMode,
    counts: PlatformCounts,
}

/// A document with its revision.
struct Offer {
    epoch: u64,
    revision: u64,
    text: String,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Changes when a waiting watch has to check again whether a newer document is offered.
    changes: watch::Sender<()>,
}

/// A running platform. Dropping it aborts its task.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl Platform {
    /// Starts a platform without a document on a loopback socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub async fn start() -> Result<Platform> {
        let (changes, _) = watch::channel(());
        let shared = Arc::new(Shared { state: Mutex::default(), changes });
        let served = shared.clone();
        let handler = move |_, req| handle(served.clone(), req);
        let (address, _task) = serve(handler).await?;
        Ok(Platform { shared, address, _task })
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a document and returns its revision.
    pub fn publish(&self, text: impl Into<String>) -> u64 {
        let revision = {
            let mut state = self.shared.lock();
            let vms = state.vms.clone();
            state.published.push((text.into(), vms));
            state.published.len() as u64
        };
        self.shared.changes.send_replace(());
        revision
    }

    /// Restores the documents as of a revision. Later ones are lost, and their revisions are given out again.
    pub fn restore(&self, revision: u64) {
        {
            let mut state = self.shared.lock();
            state.epoch += 1;
            state.published.truncate(usize::try_from(revision).unwrap_or(usize::MAX));
        }
        self.shared.changes.send_replace(());
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<PlatformVm>) {
        self.shared.lock().vms = vms;
    }

    /// Changes how the platform responds. It takes effect on waiting watches at once.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.shared.lock().mode = mode;
        self.shared.changes.send_replace(());
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().counts
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_reachable(&self) -> std::result::Result<(), CloseConnection> {
        let mut state = self.lock();
        if state.mode == PlatformMode::Unreachable {
            state.counts.broken += 1;
            return Err(CloseConnection);
        }
        Ok(())
    }

    /// Returns the document that the current mode offers.
    fn offered(&self) -> Option<Offer> {
        let state = self.lock();
        let (epoch, revision) = (state.epoch, state.offered_revision());
        let index = usize::try_from(revision.checked_sub(1)?).ok()?;
        let (text, _) = state.published.get(index)?;
        Some(Offer { epoch, revision, text: text.clone() })
    }
}

impl State {
    fn offered_revision(&self) -> u64 {
        match self.mode {
            PlatformMode::Behind { revision } => revision,
            _ => self.published.len() as u64,
        }
    }

    fn offered_vms(&self) -> &[PlatformVm] {
        match self.mode {
            PlatformMode::Behind { revision } => {
                let index = revision.saturating_sub(1) as usize;
                self.published.get(index).map_or(&[], |(_, vms)| vms)
            }
            _ => &self.vms,
        }
    }
}

async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> std::result::Result<Response<Body>, CloseConnection> {
    shared.check_reachable()?;
    match req.uri().path() {
        "/v1/document" => document(&shared, req.uri().query().unwrap_or_default()).await,
        "/v1/vms" => {
            let mut state = shared.lock();
            state.counts.lists += 1;
            let list = serde_json::to_string(state.offered_vms()).map_err(|_| CloseConnection)?;
            Ok(Response::new(full_body(list)))
        }
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn document(
    shared: &Shared,
    query: &str,
) -> std::result::Result<Response<Body>, CloseConnection> {
    let Some(after) = parameter(query, "after") else {
        shared.lock().counts.reads += 1;
        return Ok(document_response(shared.offered()));
    };
    shared.lock().counts.watches += 1;
    let epoch = parameter(query, "epoch").unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let mut changes = shared.changes.subscribe();
    let changed = async {
        loop {
            let offered = shared.offered();
            let is_newer = |offer: &Offer| (offer.epoch, offer.revision) > (epoch, after);
            if shared.check_reachable().is_err() || offered.as_ref().is_some_and(is_newer) {
                return offered;
            }
            if changes.changed().await.is_err() {
                return None;
            }
        }
    };
    let offered = tokio::time::timeout(wait, changed).await;
    shared.check_reachable()?;
    match offered {
        Ok(Some(offered)) => Ok(document_response(Some(offered))),
        _ => Ok(status(StatusCode::NOT_MODIFIED)),
    }
}

fn document_response(offered: Option<Offer>) -> Response<Body> {
    match offered {
        Some(Offer { epoch, revision, text }) => {
            let mut response = Response::new(full_body(text));
            response.headers_mut().insert("revision", revision.into());
            response.headers_mut().insert("epoch", epoch.into());
            response
        }
        None => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next()?.parse().ok()
}
