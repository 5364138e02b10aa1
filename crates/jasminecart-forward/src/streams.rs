//! Streams between VMs, which carry routes and targets that are too large for datagrams.
//!
//! A VM connects to the peer address of another, sends one request and receives one response. Both
//! are datagrams of the peer protocol, with a length in front. The main loop, which owns all state,
//! reads the request and encodes the response; this module only moves bytes. `docs/platform.md`,
//! "Start of a VM", describes when streams are used.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::names::VmId;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use crate::accept::accept;
use crate::errors::{Error, Result};

/// The longest accepted request, which holds little more than the sender.
const MAX_REQUEST_BYTES: usize = 512;
/// The longest accepted response. Records of 3,400 targets and 1,600 routes take about 400 KB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The rate for which one more stream is served at a time, in Mbit/s. A stream has up to 64 KB in
/// flight, which delay packets of clients by 25 ms on such a link.
const MEGABITS_PER_STREAM: u32 = 20;
/// How many requests wait for each stream that is served at a time. Further ones are refused.
const MAX_WAITING_PER_STREAM: usize = 6;
/// The longest time to open a connection. VMs of a data centre are less than 1 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest time without progress of a stream. A waiting request is served within this time.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest time of a whole stream. A link of 10 Mbit/s carries 1 MB in less than a second.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// The size of one read.
const READ_BYTES: usize = 16 << 10;

/// An event that a stream sends to the main loop.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A peer requests routes and targets.
    Request {
        /// The request.
        bytes: Vec<u8>,
        /// Whether this VM serves too many other streams, so that it has to refuse.
        busy: bool,
        /// Receives the response; dropped if the request is invalid.
        response: oneshot::Sender<Vec<u8>>,
    },
    /// The stream to a peer has ended.
    Ended {
        /// The peer.
        from: VmId,
        /// Its response.
        response: io::Result<Vec<u8>>,
    },
}

/// Opens the listener for streams and serves it in the background.
pub(crate) async fn listen(
    address: SocketAddrV4,
    link_megabits: u32,
    tx: mpsc::Sender<StreamEvent>,
) -> Result<()> {
    let listener = TcpListener::bind(address).await;
    let failed = |source| Error::Listen { listener: "peer", address: address.into(), source };
    tokio::task::spawn_local(accept_streams(listener.map_err(failed)?, link_megabits, tx));
    Ok(())
}

async fn accept_streams(listener: TcpListener, link_megabits: u32, tx: mpsc::Sender<StreamEvent>) {
    let streams = (link_megabits / MEGABITS_PER_STREAM).max(1) as usize;
    let permits = Rc::new(Semaphore::new(streams));
    let waiting = Rc::new(Semaphore::new(streams * (1 + MAX_WAITING_PER_STREAM)));
    loop {
        let stream = accept(&listener).await;
        let (permits, waiting, tx) = (permits.clone(), waiting.clone(), tx.clone());
        tokio::task::spawn_local(async move {
            // Errors are not logged: the peer notices that it got no response, and asks another.
            let _ = timeout(STREAM_TIMEOUT, serve(stream, &permits, &waiting, &tx)).await;
        });
    }
}

/// Serves one stream, after those before it.
async fn serve(
    mut stream: TcpStream,
    permits: &Semaphore,
    waiting: &Semaphore,
    tx: &mpsc::Sender<StreamEvent>,
) -> io::Result<()> {
    let place = waiting.try_acquire().ok();
    let bytes = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    let permit = match &place {
        Some(_) => permits.acquire().await.ok(),
        None => None,
    };
    let (response, response_rx) = oneshot::channel();
    let request = StreamEvent::Request { bytes, busy: permit.is_none(), response };
    tx.send(request).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
    let response = response_rx.await.map_err(|_| io::ErrorKind::InvalidData)?;
    write_frame(&mut stream, &response).await?;
    // Wait for the peer to close, so that the permit covers the bytes that are still in flight.
    let _ = timeout(PROGRESS_TIMEOUT, stream.read(&mut [0])).await;
    Ok(())
}

/// Sends a request to a peer in the background. The result is sent to the main loop.
pub(crate) fn fetch(
    from: VmId,
    address: SocketAddr,
    request: Vec<u8>,
    tx: mpsc::Sender<StreamEvent>,
) {
    tokio::task::spawn_local(async move {
        let exchanged = timeout(STREAM_TIMEOUT, exchange(address, &request)).await;
        let response = exchanged.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        // The main loop ends only with the process.
        let _ = tx.send(StreamEvent::Ended { from, response }).await;
    });
}

async fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    write_frame(&mut stream, request).await?;
    read_frame(&mut stream, MAX_RESPONSE_BYTES).await
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(bytes);
    stream.write_all(&frame).await
}

/// Reads a frame of at most `limit` bytes. Memory is allocated as bytes arrive, so that a false
/// length costs nothing.
async fn read_frame(stream: &mut TcpStream, limit: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    timeout(PROGRESS_TIMEOUT, stream.read_exact(&mut length)).await??;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    let mut body = stream.take(length as u64);
    while bytes.len() < length {
        bytes.reserve(READ_BYTES.min(length - bytes.len()));
        if timeout(PROGRESS_TIMEOUT, body.read_buf(&mut bytes)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(bytes)
}
