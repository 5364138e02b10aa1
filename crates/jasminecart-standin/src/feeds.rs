//! Clients that hold feeds open through the fabric and detect every way in which a feed can break.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use jasminecart_core::Name;
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::{Error, Result};
use crate::stack::Stack;
use crate::tunnel::{self, MAX_DATAGRAM_BYTES};

/// The first local port of a client.
const FIRST_PORT: u16 = 20_000;
/// The most feeds of a client over its lifetime, so that no local port is used twice.
const MAX_FEEDS: u64 = 40_000;
/// The interval between the requests on a feed.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// The longest interval between two polls of the sockets.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a client.
#[derive(Clone, Debug)]
pub struct FeedsConfig {
    /// The address of the client.
    pub ip: Ipv4Addr,
    /// The address of the service that its feeds use.
    pub service: SocketAddrV4,
    /// The address of the fabric for packets of clients.
    pub fabric: SocketAddr,
    /// The seed of its TCP stack.
    pub seed: u64,
}

/// Why a feed is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FeedFault {
    /// The connection was closed or reset.
    Closed,
    /// No response arrived in time.
    Silent,
    /// A response belonged to another feed or request.
    Crossed,
    /// A response came from another target than the first one.
    Moved,
}

/// The result of sending a request on every feed of a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedCheck {
    /// Feeds that received the response to a request sent after the check began.
    pub alive: usize,
    /// Feeds that broke since the last check, by their number. They are removed.
    pub broken: BTreeMap<u64, FeedFault>,
    /// The feeds that are alive, by target.
    pub targets: BTreeMap<Name, usize>,
    /// The feeds opened since the last check, by target.
    pub new_targets: BTreeMap<Name, usize>,
}

enum Command {
    Open { count: usize },
    Check { timeout: Duration, reply: oneshot::Sender<FeedCheck> },
}

/// A running client. Dropping it aborts its task without closing its connections.
#[derive(Debug)]
pub struct Feeds {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    _task: AbortOnDropHandle<()>,
}

impl Feeds {
    /// Starts a client that has no feeds yet.
    ///
    /// # Errors
    ///
    /// Returns an error when its socket cannot be bound.
    pub async fn start(cfg: FeedsConfig) -> Result<Feeds> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let (commands, rx) = mpsc::channel(16);
        let task = Task {
            stack: Stack::new(cfg.ip, cfg.seed),
            cfg,
            socket,
            commands: rx,
            feeds: BTreeMap::new(),
            opened: 0,
            broken: BTreeMap::new(),
            check: None,
        };
        let _task = AbortOnDropHandle::new(tokio::spawn(task.run()));
        Ok(Feeds { address, commands, _task })
    }

    /// Returns the address at which the fabric reaches the client.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens more feeds. The next check shows whether they opened.
    ///
    /// # Errors
    ///
    /// Returns an error when the task has ended.
    pub async fn open(&self, count: usize) -> Result<()> {
        self.commands.send(Command::Open { count }).await.map_err(|_| Error::Stopped)
    }

    /// Sends a request on every feed and waits until each has received its response or broken. Feeds without a
    /// response after `timeout` are broken.
    ///
    /// # Errors
    ///
    /// Returns an error when the task has ended.
    pub async fn check(&self, timeout: Duration) -> Result<FeedCheck> {
        let (reply, rx) = oneshot::channel();
        let command = Command::Check { timeout, reply };
        self.commands.send(command).await.map_err(|_| Error::Stopped)?;
        rx.await.map_err(|_| Error::Stopped)
    }
}

struct Feed {
    handle: SocketHandle,
    sent: u64,
    received: u64,
    next_request_at: Instant,
    /// The number of the request whose response a running check waits for.
    awaited: u64,
    target: Option<Name>,
    is_new: bool,
    input: Vec<u8>,
}

struct Check {
    until: Instant,
    reply: oneshot::Sender<FeedCheck>,
}

struct Task {
    cfg: FeedsConfig,
    socket: UdpSocket,
    stack: Stack,
    commands: mpsc::Receiver<Command>,
    feeds: BTreeMap<u64, Feed>,
    opened: u64,
    broken: BTreeMap<u64, FeedFault>,
    check: Option<Check>,
}

impl Task {
    async fn run(mut self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let wait = self.stack.next_poll().unwrap_or(MAX_POLL_INTERVAL).min(MAX_POLL_INTERVAL);
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                received = self.socket.recv(&mut buf) => {
                    self.on_datagram(&buf[..received.unwrap_or(0)]);
                    while let Ok(bytes) = self.socket.try_recv(&mut buf) {
                        self.on_datagram(&buf[..bytes]);
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            self.stack.poll();
            self.advance();
            self.stack.poll();
            tunnel::flush(&mut self.stack, &self.socket, self.cfg.fabric);
            self.finish_check();
        }
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        if let Some(packet) = tunnel::decapsulate(datagram) {
            self.stack.push(packet.bytes);
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Open { count } => (0..count).for_each(|_| self.open()),
            Command::Check { timeout, reply } => {
                for feed in self.feeds.values_mut() {
                    feed.awaited = feed.sent + 1;
                }
                self.check = Some(Check { until: Instant::now() + timeout, reply });
            }
        }
    }

    fn open(&mut self) {
        if self.opened == MAX_FEEDS {
            return;
        }
        let local = SocketAddrV4::new(self.cfg.ip, FIRST_PORT + self.opened as u16);
        let handle = self.stack.connect(local, self.cfg.service);
        let feed = Feed {
            handle,
            sent: 0,
            received: 0,
            next_request_at: Instant::now(),
            awaited: 1,
            target: None,
            is_new: true,
            input: Vec::new(),
        };
        self.feeds.insert(self.opened, feed);
        self.opened += 1;
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let (stack, broken) = (&mut self.stack, &mut self.broken);
        self.feeds.retain(|number, feed| {
            let fault = feed.advance(*number, stack.socket(feed.handle), now).err();
            if let Some(fault) = fault {
                stack.remove(feed.handle);
                broken.insert(*number, fault);
            }
            fault.is_none()
        });
    }

    fn finish_check(&mut self) {
        let Some(check) = &self.check else { return };
        let done = self.feeds.values().all(|feed| feed.received >= feed.awaited);
        if !done && Instant::now() < check.until {
            return;
        }
        let (stack, broken) = (&mut self.stack, &mut self.broken);
        self.feeds.retain(|number, feed| {
            let alive = feed.received >= feed.awaited;
            if !alive {
                stack.remove(feed.handle);
                broken.insert(*number, FeedFault::Silent);
            }
            alive
        });
        let report = self.report();
        if let Some(check) = self.check.take() {
            let _ = check.reply.send(report);
        }
    }

    fn report(&mut self) -> FeedCheck {
        let mut report = FeedCheck {
            alive: self.feeds.len(),
            broken: std::mem::take(&mut self.broken),
            ..FeedCheck::default()
        };
        for feed in self.feeds.values_mut() {
            let Some(target) = &feed.target else { continue };
            *report.targets.entry(target.clone()).or_default() += 1;
            if std::mem::take(&mut feed.is_new) {
                *report.new_targets.entry(target.clone()).or_default() += 1;
            }
        }
        report
    }
}

impl Feed {
    fn advance(
        &mut self,
        number: u64,
        socket: &mut tcp::Socket<'_>,
        now: Instant,
    ) -> std::result::Result<(), FeedFault> {
        // An error means that the socket is not open yet and has no input.
        let _ = socket.recv(|bytes| {
            self.input.extend_from_slice(bytes);
            (bytes.len(), ())
        });
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            self.on_response(number, &String::from_utf8_lossy(&line))?;
        }
        if !socket.is_active() || (socket.may_send() && !socket.may_recv()) {
            return Err(FeedFault::Closed);
        }
        if socket.may_send() && now >= self.next_request_at && self.sent == self.received {
            self.sent += 1;
            self.next_request_at = now + REQUEST_INTERVAL;
            // A request always fits, as it is far smaller than the empty send buffer of the socket.
            let _ = socket.send_slice(format!("{number} {}\n", self.sent).as_bytes());
        }
        Ok(())
    }

    fn on_response(&mut self, number: u64, line: &str) -> std::result::Result<(), FeedFault> {
        let mut words = line.split_whitespace();
        let feed = words.next().and_then(|word| word.parse().ok());
        let response = words.next().and_then(|word| word.parse().ok());
        if feed != Some(number) || response != Some(self.received + 1) || self.received >= self.sent
        {
            return Err(FeedFault::Crossed);
        }
        self.received += 1;
        let reported = words.next().map(Name::new);
        match (&self.target, reported) {
            (None, Some(target)) => self.target = Some(target),
            (Some(first), Some(target)) if *first == target => {}
            _ => return Err(FeedFault::Moved),
        }
        Ok(())
    }
}
