//! Accepting of connections by the TCP listeners.

use std::time::Duration;

use log::warn;
use tokio::net::{TcpListener, TcpStream};

/// The pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the next connection. Failures are logged and retried after a pause.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                let cause = error.to_string();
                warn!(
                    event = "accept-failed", cause = cause.as_str();
                    "accepting a connection failed; retrying after a pause"
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
