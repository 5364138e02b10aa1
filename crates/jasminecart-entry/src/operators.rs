//! The read-only HTTP listener for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jasminecart_core::flow::FlowKey;
use jasminecart_core::names::Name;
use jasminecart_core::version::Protocol;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::control::Control;
use crate::metrics::{Group, Metrics};
use crate::packet_listener::{PacketCommand, PacketCounters};
use crate::tasks::Tasks;

const MAX_CONNECTIONS: usize = 64;
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// If a task of the process does not respond within this time, the request is answered with 503.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The sources of the listener's data.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    pub(crate) control: Control,
    pub(crate) packets: mpsc::Sender<PacketCommand>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<jasminecart_peer::PeerServer>,
    pub(crate) tasks: Tasks,
}

impl Operators {
    pub(crate) fn start(self, listener: TcpListener) -> std::io::Result<SocketAddr> {
        let address = listener.local_addr()?;
        let tasks = self.tasks.clone();
        tasks.spawn(self.accept(listener));
        Ok(address)
    }

    async fn accept(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
            let connection = self.clone().serve(stream);
            self.tasks.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(move |req| {
            let operators = self.clone();
            async move { Ok::<_, Infallible>(operators.respond(req).await) }
        });
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.method() != Method::GET && req.method() != Method::HEAD {
            return text(StatusCode::METHOD_NOT_ALLOWED, "this listener is read-only");
        }
        let response = self.route(req.uri().path(), req.uri().query().unwrap_or_default());
        let unavailable = || text(StatusCode::SERVICE_UNAVAILABLE, "the process does not answer");
        tokio::time::timeout(RESPONSE_TIMEOUT, response).await.unwrap_or_else(|_| unavailable())
    }

    async fn route(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        match path {
            "/healthz" => self.healthy().await,
            "/readyz" => self.ready().await,
            "/status" => match self.control.status().await {
                Some(status) => json(&status),
                None => text(StatusCode::SERVICE_UNAVAILABLE, "the control actor has stopped"),
            },
            "/metrics" => self.metrics().await,
            "/explain" => self.explain(query).await,
            _ => text(StatusCode::NOT_FOUND, "not found"),
        }
    }

    /// The process is healthy if the control actor responds.
    async fn healthy(&self) -> Response<Full<Bytes>> {
        match self.control.status().await {
            Some(_) => text(StatusCode::OK, "ok"),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "the control actor has stopped"),
        }
    }

    async fn ready(&self) -> Response<Full<Bytes>> {
        match self.control.status().await {
            Some(status) if status.ready => text(StatusCode::OK, "ready"),
            Some(status) if status.leaving => text(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }

    async fn metrics(&self) -> Response<Full<Bytes>> {
        let mut groups = vec![Group::counters("peer_server", &self.peers.counters())];
        if let Some(control_counters) = self.control.counters().await {
            groups.push(Group::counters("dispatch", &control_counters.dispatch));
            groups.push(Group::counters("member", &control_counters.members));
            groups.push(Group::counters("adoption", &control_counters.adoption));
            groups.push(Group::counters("peer_links", &control_counters.links));
            let revision = control_counters.revision;
            groups.push(Group::gauge("document_revision", revision.number()));
            groups.push(Group::gauge("document_epoch", revision.epoch()));
            groups.push(Group::gauge("ready", u64::from(control_counters.ready)));
            groups.push(Group::gauge("members", control_counters.members_by_state));
        }
        if let Some(counters) = self.packet_counters().await {
            groups.push(Group::counters("flow", &counters.flow));
            groups.push(Group::counters("packet", &counters).without("flow"));
        }
        let mut response = text(StatusCode::OK, "");
        *response.body_mut() = Full::from(self.metrics.encode(groups));
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        response
    }

    async fn packet_counters(&self) -> Option<PacketCounters> {
        let (reply, counters) = oneshot::channel();
        self.packets.send(PacketCommand::Counters { reply }).await.ok()?;
        counters.await.ok()
    }

    async fn explain(&self, query: &str) -> Response<Full<Bytes>> {
        let usage =
            "ask for ?flow=tcp,SOURCE,DESTINATION with addresses and ports, or ?service=NAME";
        match query.split_once('=') {
            Some(("flow", flow)) => match parse_flow(flow) {
                Some(key) => self.explain_flow(key).await,
                None => text(StatusCode::BAD_REQUEST, usage),
            },
            Some(("service", name)) => match Name::parse(name) {
                Some(name) => match self.control.explain_service(name).await {
                    Some(explanation) => json(&explanation),
                    None => text(StatusCode::SERVICE_UNAVAILABLE, "the control actor has stopped"),
                },
                None => text(StatusCode::BAD_REQUEST, usage),
            },
            _ => text(StatusCode::BAD_REQUEST, usage),
        }
    }

    async fn explain_flow(&self, key: FlowKey) -> Response<Full<Bytes>> {
        let (reply, explanation) = oneshot::channel();
        let _ = self.packets.send(PacketCommand::Explain { key, reply }).await;
        match explanation.await {
            Ok(explanation) => json(&explanation),
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "the packet task has stopped"),
        }
    }
}

/// Parses `tcp,SOURCE,DESTINATION`. IPv6 addresses may have their brackets percent-encoded.
fn parse_flow(text: &str) -> Option<FlowKey> {
    let text = text.replace("%5B", "[").replace("%5D", "]").replace("%3A", ":").replace("%2C", ",");
    let mut parts = text.split(',');
    let protocol = match parts.next()? {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    let source = parts.next()?.parse().ok()?;
    let destination = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(FlowKey { protocol, source, destination })
}

fn text(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{text}\n")));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let Ok(body) = serde_json::to_vec(value) else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "the answer cannot be encoded");
    };
    let mut response = Response::new(Full::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
