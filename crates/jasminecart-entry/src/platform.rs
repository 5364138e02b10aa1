//! The client of the platform's configuration service, which supports only reads and watches.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
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
use crate::metrics::{Metrics, increment};
use crate::tasks::Tasks;

/// How long the platform holds a watch open when there is nothing new (long poll).
const WATCH_WAIT_MS: u64 = 30_000;
/// The timeout of a call. For a watch, [`WATCH_WAIT_MS`] is added.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum delay between calls after failures. If 630 VMs call every 5 s on average, a recovering
/// platform gets 126 reads/s, of the 2,000 that it can serve.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How often the list of VMs is read, which puts the same load on the platform.
const LIST_PERIOD: Duration = Duration::from_secs(5);
/// The maximum size of the list: 630 VMs with about 250 bytes each take 158 kB; the rest allows for growth.
const MAX_LIST_BYTES: usize = 1 << 20;
const MAX_DOCUMENT_BYTES: usize = jasminecart_core::ini::MAX_TEXT_BYTES;

/// An error of a call to the platform.
#[derive(Debug, Error)]
enum CallError {
    #[error("the platform did not respond in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error("cannot read the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("the response has no valid \"revision\" and \"epoch\" headers")]
    Revision,
    #[error("the document is not valid UTF-8")]
    Text,
    #[error("cannot parse the list of VMs: {0}")]
    List(#[from] serde_json::Error),
}

/// Calls the platform for the control actor, which decides when to read and watch.
#[derive(Debug)]
pub(crate) struct Platform {
    client: Arc<PlatformClient>,
    control: Control,
    tasks: Tasks,
    watch: Option<AbortHandle>,
    read: Option<AbortHandle>,
}

#[derive(Debug)]
struct PlatformClient {
    vm: String,
    address: SocketAddr,
    metrics: Arc<Metrics>,
    pace: Mutex<RetryPace>,
}

#[derive(Debug)]
struct RetryPace {
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
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let pace = Mutex::new(RetryPace { backoff, delay: Duration::ZERO, failing: false });
        let client = Arc::new(PlatformClient { vm, address, metrics, pace });
        Platform { client, control, tasks, watch: None, read: None }
    }

    /// Reads the document once and passes the reply to the control actor. Does nothing if a read is already
    /// in progress.
    pub(crate) fn read(&mut self) {
        if self.read.as_ref().is_some_and(|read| !read.is_finished()) {
            return;
        }
        let (client, control) = (self.client.clone(), self.control.clone());
        let task = self.tasks.spawn(async move {
            tokio::time::sleep(client.take_delay()).await;
            let reply = client.document("/v1/document", CALL_TIMEOUT, None).await;
            control.platform_reply(reply).await;
        });
        self.read = Some(task.abort_handle());
    }

    /// Waits for a revision above `after` and passes the reply to the control actor. Replaces an earlier
    /// watch.
    pub(crate) fn watch(&mut self, after: Revision) {
        self.stop_watch();
        let (client, control) = (self.client.clone(), self.control.clone());
        let task = self.tasks.spawn(async move {
            tokio::time::sleep(client.take_delay()).await;
            let (number, epoch) = (after.number(), after.epoch());
            let path = format!("/v1/document?after={number}&epoch={epoch}&wait_ms={WATCH_WAIT_MS}");
            let timeout = CALL_TIMEOUT + Duration::from_millis(WATCH_WAIT_MS);
            let reply = client.document(&path, timeout, Some(after)).await;
            control.platform_reply(reply).await;
        });
        self.watch = Some(task.abort_handle());
    }

    /// Cancels the watch.
    pub(crate) fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// Starts reading the list of VMs periodically.
    pub(crate) fn poll_list(&self) {
        let (client, control) = (self.client.clone(), self.control.clone());
        self.tasks.spawn(async move {
            let mut backoff = Backoff::new(INITIAL_BACKOFF, LIST_PERIOD);
            loop {
                match client.list().await {
                    Ok(list) => {
                        backoff.reset();
                        control.vm_list(list).await;
                        tokio::time::sleep(jitter(LIST_PERIOD)).await;
                    }
                    Err(e) => {
                        client.record_failure(&e);
                        tokio::time::sleep(backoff.next_delay()).await;
                    }
                }
            }
        });
    }
}

impl PlatformClient {
    fn pace<T>(&self, f: impl FnOnce(&mut RetryPace) -> T) -> T {
        f(&mut self.pace.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn take_delay(&self) -> Duration {
        self.pace(|pace| std::mem::take(&mut pace.delay))
    }

    /// Requests the document. After a failure, and after a watch that returned a document that is not newer,
    /// the next call is delayed, so that no state of the platform makes this VM call in a tight loop.
    async fn document(
        &self,
        path: &str,
        timeout: Duration,
        after: Option<Revision>,
    ) -> PlatformReply {
        let reply = match self.try_document(path, timeout).await {
            Ok(reply) => reply,
            Err(e) => {
                self.record_failure(&e);
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
            log::info!(event = "platform_reachable", vm = self.vm.as_str(); "the platform is reachable again");
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
                let revision = revision(&parts.headers).ok_or(CallError::Revision)?;
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
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), CallError> {
        increment(&self.metrics.counters.platform_calls);
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let req = Request::get(path).header(HOST, self.address.to_string());
        let req = req.body(Empty::<Bytes>::new())?;
        let exchange = async {
            let response = sender.send_request(req).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, max_bytes).collect().await.map_err(CallError::Body)?;
            Ok((parts, body.to_bytes()))
        };
        // The connection is polled here, so that dropping the call closes it.
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

    fn record_failure(&self, e: &CallError) {
        increment(&self.metrics.counters.platform_failures);
        if !self.pace(|pace| std::mem::replace(&mut pace.failing, true)) {
            let reason = e.to_string();
            log::warn!(event = "platform_unreachable", vm = self.vm.as_str(), reason = reason.as_str(); "a call to the platform failed; documents and members come from peers until it succeeds again");
        }
    }
}

/// Returns the revision that the headers of a response state. A platform that was never restored need not state the
/// epoch.
fn revision(headers: &HeaderMap) -> Option<Revision> {
    let number = |value: &HeaderValue| value.to_str().ok()?.trim().parse().ok();
    let epoch = headers.get("epoch").map_or(Some(0), number)?;
    Revision::in_epoch(epoch, number(headers.get("revision")?)?)
}

/// An entry of the list as sent by the platform. Unknown fields are ignored, because the platform is not
/// upgraded together with the entry VMs.
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
