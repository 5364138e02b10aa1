//! The receiving side of the peer service.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, VmId};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tonic::codegen::async_trait;
use tonic::{Code, Request, Response, Status};
use tower::ServiceExt;

use crate::codec::Decoded;
use crate::counters::{Counters, PeerCounters, add};
use crate::envelope::{Ack, Envelope, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_MESSAGES, PROTOCOL};
use crate::errors::Result;
use crate::incoming::Incoming;
use crate::peer_service::peer_server;

/// A connection is closed if its peer does not acknowledge a keep-alive ping within this time.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// A sender has one call in progress on each connection. The margin covers a connection that is being
/// replaced.
const MAX_CALLS_PER_CONNECTION: u32 = 4;

/// Messages received from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivered {
    /// The sender.
    pub from: VmId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The messages in the order in which they were sent.
    pub messages: Vec<PeerMessage>,
}

/// Accepts envelopes from peers. Dropping it closes its listener and connections.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
    stopped: CancellationToken,
}

impl PeerServer {
    /// Starts serving on `listener`. Envelopes are refused while `inbox` is full.
    pub fn start(listener: TcpListener, inbox: mpsc::Sender<Delivered>) -> Result<PeerServer> {
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let receiver = Arc::new(Receiver { inbox, counters: counters.clone() });
        let stopped = CancellationToken::new();
        let task = tokio::spawn(serve(listener, receiver, stopped.clone()));
        Ok(PeerServer { address, counters, task, stopped })
    }

    /// Returns the local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> PeerCounters {
        self.counters.snapshot()
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stopped.cancel();
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, receiver: Arc<Receiver>, stopped: CancellationToken) {
    let counters = receiver.counters.clone();
    let service =
        peer_server::PeerServer::from_arc(receiver).max_decoding_message_size(MAX_ENVELOPE_BYTES);
    let service_counters = counters.clone();
    let service = tower::service_fn(move |req: http::Request<tonic::body::Body>| {
        let call = service.clone().oneshot(req);
        let counters = service_counters.clone();
        async move {
            let response = call.await?;
            count_bad_call(&counters, &response);
            Ok::<_, Infallible>(response)
        }
    });
    let incoming = Incoming::new(listener, counters, stopped);
    let result = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
        .serve_with_incoming(service, incoming)
        .await;
    if let Err(e) = result {
        log::error!(event = "peer_listener_failed", reason = e.to_string().as_str(); "the peer listener failed; no more messages from peers are received");
    }
}

/// Counts calls that the transport refused before [`Receiver::deliver`], which returns none of these codes.
fn count_bad_call(counters: &Counters, response: &http::Response<tonic::body::Body>) {
    let code = Status::from_header_map(response.headers()).map(|status| status.code());
    if let Some(Code::OutOfRange | Code::Internal | Code::Unimplemented | Code::Unknown) = code {
        add(&counters.received_bad_calls, 1);
    }
}

#[derive(Debug)]
struct Receiver {
    inbox: mpsc::Sender<Delivered>,
    counters: Arc<Counters>,
}

impl Receiver {
    fn accept(&self, envelope: Decoded<Envelope>) -> std::result::Result<(), Status> {
        let refuse = |reason: &str| {
            add(&self.counters.received_malformed, 1);
            Err(Status::invalid_argument(reason))
        };
        let envelope = match envelope {
            Ok(envelope) => envelope,
            Err(e) => return refuse(&e.to_string()),
        };
        if envelope.protocol != PROTOCOL {
            add(&self.counters.received_other_protocol, 1);
            let reason = format!("protocol {} is not {PROTOCOL}", envelope.protocol);
            return Err(Status::failed_precondition(reason));
        }
        if !envelope.has_valid_sender() {
            return refuse("the sender's name is invalid");
        }
        if envelope.messages.len() > MAX_ENVELOPE_MESSAGES {
            return refuse("too many messages in one envelope");
        }
        let Envelope { from, incarnation, messages, .. } = envelope;
        let count = messages.len();
        if self.inbox.try_send(Delivered { from, incarnation, messages }).is_err() {
            add(&self.counters.received_overload, 1);
            return Err(Status::resource_exhausted("the receiver is overloaded"));
        }
        add(&self.counters.received_envelopes, 1);
        add(&self.counters.received_messages, count);
        Ok(())
    }
}

#[async_trait]
impl peer_server::Peer for Receiver {
    async fn deliver(
        &self,
        request: Request<Decoded<Envelope>>,
    ) -> std::result::Result<Response<Ack>, Status> {
        self.accept(request.into_inner())?;
        Ok(Response::new(Ack { protocol: PROTOCOL }))
    }
}
