//! The client of the platform's configuration service, which supports only read and watch.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jasminecart_core::names::{Name, VmId};
use jasminecart_core::process::{PeerAddress, VmHint};
use jasminecart_core::version::{PlatformReply, Revision};
use jasminecart_peer::{Backoff, jitter};
use serde::Deserialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::control::Control;
use crate::metrics::{Metrics, count};
use crate::tasks::Tasks;

/// How long the platform holds a watch back.
const WATCH_WAIT_MS: u64 = 30_000;
/// A call without an answer is given up after this time; a watch gets its waiting time in addition.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// The longest delay after failures. With 630 nodes calling every 5 s on average, a recovering platform
/// sees 126 reads a second of the 2,000 that it serves.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// The period at which the list of VMs is read, with the same reasoning.
const LIST_PERIOD: Duration = Duration::from_secs(5);
/// The largest list: 630 nodes with about 250 bytes each, with room for growth.
const MAX_LIST_BYTES: usize = 1 << 20;
const MAX_DOCUMENT_BYTES: usize = jasminecart_core::ini::MAX_TEXT_BYTES;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("no answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error("the answer cannot be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the answer has no revision")]
    Revision,
    #[error("the document is not UTF-8")]
    Text,
    #[error("the list of VMs is malformed: {0}")]
    List(#[from] serde_json::Error),
}

/// Calls the platform on behalf of the control actor, which decides when to read and watch.
#[derive(Debug)]
pub(crate) struct Platform {
    caller: Arc<Caller>,
    control: Control,
    tasks: Tasks,
    watch: Option<AbortHandle>,
    read: Option<AbortHandle>,
}

#[derive(Debug)]
struct Caller {
    vm: String,
    address: SocketAddr,
    metrics: Arc<Metrics>,
    pace: Mutex<Pace>,
}

#[derive(Debug)]
struct Pace {
    backoff: Backoff,
    /// The delay before the next call.
    delay: Duration,
    failing: bool,
}

impl Platform {
    pub(crate) fn new(
        vm: String,
        address: SocketAddr,
        control: Control,
        tasks: Tasks,
        metrics: Arc<Metrics>,
    ) -> Platform {
        let backoff = Backoff::new(FIRST_BACKOFF, LONGEST_BACKOFF);
        let pace = Mutex::new(Pace { backoff, delay: Duration::ZERO, failing: false });
        let caller = Arc::new(Caller { vm, address, metrics, pace });
        Platform { caller, control, tasks, watch: None, read: None }
    }

    /// Reads the document once and reports the reply. A read that is in progress serves later wishes too.
    pub(crate) fn read(&mut self) {
        if self.read.as_ref().is_some_and(|read| !read.is_finished()) {
            return;
        }
        let (caller, control) = (self.caller.clone(), self.control.clone());
        let task = self.tasks.spawn(async move {
            tokio::time::sleep(caller.take_delay()).await;
            let reply = caller.document("/v1/document", CALL_TIMEOUT, None).await;
            control.platform_reply(reply).await;
        });
        self.read = Some(task.abort_handle());
    }

    /// Waits for a revision above `after` and reports the reply. An earlier watch ends.
    pub(crate) fn watch(&mut self, after: Revision) {
        self.stop_watch();
        let (caller, control) = (self.caller.clone(), self.control.clone());
        let task = self.tasks.spawn(async move {
            tokio::time::sleep(caller.take_delay()).await;
            let path = format!("/v1/document?after={after}&wait_ms={WATCH_WAIT_MS}");
            let timeout = CALL_TIMEOUT + Duration::from_millis(WATCH_WAIT_MS);
            let reply = caller.document(&path, timeout, Some(after)).await;
            control.platform_reply(reply).await;
        });
        self.watch = Some(task.abort_handle());
    }

    /// Ends the watch.
    pub(crate) fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// Reads the list of VMs again and again.
    pub(crate) fn poll_list(&self) {
        let (caller, control) = (self.caller.clone(), self.control.clone());
        self.tasks.spawn(async move {
            let mut backoff = Backoff::new(FIRST_BACKOFF, LIST_PERIOD);
            loop {
                match caller.list().await {
                    Ok(list) => {
                        backoff.reset();
                        control.vm_list(list).await;
                        tokio::time::sleep(jitter(LIST_PERIOD)).await;
                    }
                    Err(e) => {
                        caller.note_failure(&e);
                        tokio::time::sleep(backoff.next_delay()).await;
                    }
                }
            }
        });
    }
}

impl Caller {
    fn pace<T>(&self, f: impl FnOnce(&mut Pace) -> T) -> T {
        f(&mut self.pace.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn take_delay(&self) -> Duration {
        self.pace(|pace| std::mem::take(&mut pace.delay))
    }

    /// Calls for the document. After a failure, and after an answer to a watch that brings nothing newer
    /// at once, the next watch is delayed, so that no state of the platform makes this VM call in a loop.
    async fn document(
        &self,
        path: &str,
        timeout: Duration,
        after: Option<Revision>,
    ) -> PlatformReply {
        let reply = match self.try_document(path, timeout).await {
            Ok(reply) => reply,
            Err(e) => {
                self.note_failure(&e);
                self.pace(|pace| pace.delay = pace.backoff.next_delay());
                return PlatformReply::Unavailable;
            }
        };
        let newer = match &reply {
            PlatformReply::Document { revision, .. } => after.is_none_or(|a| *revision > a),
            PlatformReply::Unchanged | PlatformReply::Unavailable => true,
        };
        let recovered = self.pace(|pace| {
            match newer {
                true => pace.backoff.reset(),
                false => pace.delay = pace.backoff.next_delay(),
            }
            std::mem::take(&mut pace.failing)
        });
        if recovered {
            log::info!(event = "platform_reachable", vm = self.vm.as_str(); "the platform answers again");
        }
        reply
    }

    async fn try_document(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<PlatformReply, CallError> {
        let call = self.call(path, MAX_DOCUMENT_BYTES);
        let (parts, body) = tokio::time::timeout(timeout, call).await??;
        match parts.status {
            StatusCode::NOT_MODIFIED => Ok(PlatformReply::Unchanged),
            StatusCode::OK => {
                let revision = parts.headers.get("revision").ok_or(CallError::Revision)?;
                let revision = revision.to_str().ok().and_then(|text| text.trim().parse().ok());
                let revision = Revision(revision.ok_or(CallError::Revision)?);
                let text = std::str::from_utf8(&body).map_err(|_| CallError::Text)?;
                Ok(PlatformReply::Document { revision, text: Arc::from(text) })
            }
            status => Err(CallError::Status(status)),
        }
    }

    async fn list(&self) -> Result<Vec<VmHint>, CallError> {
        let call = self.call("/v1/vms", MAX_LIST_BYTES);
        let (parts, body) = tokio::time::timeout(CALL_TIMEOUT, call).await??;
        if parts.status != StatusCode::OK {
            return Err(CallError::Status(parts.status));
        }
        let entries: Vec<ListEntry> = serde_json::from_slice(&body)?;
        Ok(entries.into_iter().filter_map(ListEntry::into_hint).collect())
    }

    async fn call(
        &self,
        path: &str,
        most: usize,
    ) -> Result<(http::response::Parts, Bytes), CallError> {
        count(&self.metrics.counters.platform_calls);
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let req = Request::get(path).header(HOST, self.address.to_string());
        let req = req.body(Empty::<Bytes>::new())?;
        let exchange = async {
            let response = sender.send_request(req).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, most).collect().await.map_err(CallError::Body)?;
            Ok((parts, body.to_bytes()))
        };
        // The connection is driven here, so that dropping the call closes it.
        tokio::pin!(connection, exchange);
        tokio::select! {
            biased;
            result = &mut exchange => result,
            ended = &mut connection => {
                ended?;
                exchange.await
            }
        }
    }

    fn note_failure(&self, e: &CallError) {
        count(&self.metrics.counters.platform_failures);
        if !self.pace(|pace| std::mem::replace(&mut pace.failing, true)) {
            let reason = e.to_string();
            log::warn!(event = "platform_unreachable", vm = self.vm.as_str(), reason = reason.as_str(); "the platform does not answer; peers supply documents and members");
        }
    }
}

/// An entry of the list as the platform sends it. Unknown fields are ignored, because the platform is not
/// updated together with the entry VMs.
#[derive(Debug, Deserialize)]
struct ListEntry {
    data_centre: String,
    name: String,
    control: SocketAddr,
    packets: SocketAddr,
    requests: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

impl ListEntry {
    fn into_hint(self) -> Option<VmHint> {
        let (data_centre, name) = (Name::parse(&self.data_centre)?, Name::parse(&self.name)?);
        let vm = VmId { data_centre, name };
        let (control, packets, requests) = (self.control, self.packets, self.requests);
        let address = PeerAddress { control, packets, requests };
        Some(VmHint { vm, address, leaving: self.leaving })
    }
}
