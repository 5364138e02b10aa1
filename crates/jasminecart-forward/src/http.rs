//! The HTTP listeners: readiness for the platform, metrics and explanations for operators.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::accept::accept;
use crate::daemon::Command;
use crate::errors::{Error, Result};
use crate::explain;
use crate::process::Shared;

/// The maximum number of concurrent connections of one listener. The platform opens one for its probes.
const MAX_CONNECTIONS: usize = 16;
/// The maximum lifetime of a connection. Probes come every 500 ms.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(30);

/// The content that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    /// Whether the VM is ready, on every path.
    Readiness,
    /// Explanations on `/explain`, and the metrics on every other path.
    Operators,
}

/// Opens a listener and serves it in the background.
pub(crate) async fn listen(
    address: SocketAddrV4,
    page: Page,
    shared: Rc<Shared>,
    commands: mpsc::Sender<Command>,
) -> Result<()> {
    let name = match page {
        Page::Readiness => "readiness",
        Page::Operators => "operators",
    };
    let listener = TcpListener::bind(address).await;
    let failed = |source| Error::Listen { listener: name, address: address.into(), source };
    tokio::task::spawn_local(accept_all(listener.map_err(failed)?, page, shared, commands));
    Ok(())
}

async fn accept_all(
    listener: TcpListener,
    page: Page,
    shared: Rc<Shared>,
    commands: mpsc::Sender<Command>,
) {
    let open = Rc::new(());
    loop {
        let stream = accept(&listener).await;
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (open, shared, commands) = (open.clone(), shared.clone(), commands.clone());
        tokio::task::spawn_local(async move {
            // Bounds the lifetime of connections, so that silent clients don't use up the limit.
            let served = serve(stream, page, shared, commands);
            let _ = tokio::time::timeout(MAX_CONNECTION_AGE, served).await;
            drop(open);
        });
    }
}

async fn serve(stream: TcpStream, page: Page, shared: Rc<Shared>, commands: mpsc::Sender<Command>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let (shared, commands) = (shared.clone(), commands.clone());
        async move {
            let (path, query) = (req.uri().path(), req.uri().query().unwrap_or_default());
            Ok::<_, Infallible>(match page {
                Page::Operators if path == "/explain" => explain::respond(query, &commands).await,
                Page::Operators | Page::Readiness => respond(page, &shared),
            })
        }
    });
    // Errors are not logged: operators can't do anything about a client that disconnects.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn respond(page: Page, shared: &Shared) -> Response<Full<Bytes>> {
    let (status, body) = match page {
        Page::Readiness if shared.readiness.is_ready(shared.clock.now()) => {
            (StatusCode::OK, "ready".into())
        }
        Page::Readiness => (StatusCode::SERVICE_UNAVAILABLE, "not ready".into()),
        Page::Operators => (StatusCode::OK, shared.metrics.encode()),
    };
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res
}
