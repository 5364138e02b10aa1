//! The packet listener: receives client packets, routes them, and sends them to a target or a peer.
//!
//! One task owns the router and both sockets, so that no lock is taken per packet. Packets on the fabric
//! socket come from clients through the network fabric and have no forward header. Packets on the peer
//! socket come from other entry VMs, which must be the only senders that can reach it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jasminecart_core::flow::{
    BucketRouter, FlowCounters, FlowExplanation, FlowKey, FlowMessage, ForwardHeader, Route,
};
use jasminecart_core::process::Members;
use jasminecart_core::version::Document;
use jasminecart_core::{Outgoing, VmId};
use jasminecart_packet::gue::{self, FORWARD_BYTES};
use jasminecart_packet::{Content, Origin, PacketError, ttl};
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Interval, MissedTickBehavior};
use tokio_util::task::AbortOnDropHandle;

use crate::clock::Clock;

/// The maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// The maximum number of datagrams read from a socket before commands and the other socket are served.
const MAX_BATCH: usize = 64;
/// The receive buffer of each socket: 100 ms of packets at the burst rate of 30,000 a second and 1,400
/// bytes. The operating system may grant less.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;
/// The period of the router's ticks. The router detects a pause of its process from missed ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The capacity of the packet task's command channel.
const COMMAND_CAPACITY: usize = 1_024;

/// The addresses that the listener binds.
#[derive(Clone, Copy, Debug)]
pub struct PacketListenerConfig {
    /// The UDP address for packets from the fabric.
    pub packets: SocketAddr,
    /// The UDP address for packets from other entry VMs.
    pub peer_packets: SocketAddr,
}

/// A command to the packet task.
#[derive(Debug)]
pub enum PacketCommand {
    /// A document was adopted.
    Document(Arc<Document>),
    /// The list of members changed.
    Members(Members),
    /// A message was received from a peer.
    Message {
        /// The peer.
        from: VmId,
        /// The message.
        message: FlowMessage,
    },
    /// Requests an explanation of how a flow is routed.
    Explain {
        /// The flow.
        key: FlowKey,
        /// Receives the explanation.
        reply: oneshot::Sender<FlowExplanation>,
    },
    /// Requests the counters.
    Counters {
        /// Receives the counters.
        reply: oneshot::Sender<PacketCounters>,
    },
    /// Starts a planned stop. Packets are routed until the listener is dropped.
    Leave {
        /// Notified when all flows were handed over.
        drained: oneshot::Sender<()>,
    },
}

/// The counters of the packet listener, exported as metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct PacketCounters {
    /// Datagrams received from the fabric.
    pub from_fabric: u64,
    /// Datagrams received from other entry VMs.
    pub from_peers: u64,
    /// Datagrams dropped before routing, by [`PacketError::counter`]. Every reason has an entry, also if its
    /// count is 0.
    pub refused: BTreeMap<&'static str, u64>,
    /// Datagrams that could not be sent.
    pub send_failed: u64,
    /// Errors of the operating system when receiving.
    pub receive_failed: u64,
    /// Messages to peers that were lost because the queue to the control actor was full.
    pub messages_lost: u64,
    /// The counters of the router.
    pub flow: FlowCounters,
}

/// A running packet listener. Dropping it ends its task and closes its sockets.
#[derive(Debug)]
pub struct PacketListener {
    commands: mpsc::Sender<PacketCommand>,
    addresses: (SocketAddr, SocketAddr),
    ready: watch::Receiver<bool>,
    _task: AbortOnDropHandle<()>,
}

impl PacketListener {
    /// Binds the sockets and starts the packet task, which sends the router's messages to `outgoing`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address cannot be bound.
    pub async fn start(
        cfg: PacketListenerConfig,
        clock: Clock,
        router: BucketRouter,
        outgoing: mpsc::Sender<Outgoing>,
    ) -> Result<PacketListener, io::Error> {
        let fabric = bind(cfg.packets).await?;
        let peers = bind(cfg.peer_packets).await?;
        let addresses = (fabric.local_addr()?, peers.local_addr()?);
        let (commands, rx) = mpsc::channel(COMMAND_CAPACITY);
        let (is_ready, ready) = watch::channel(false);
        let task = PacketTask {
            clock,
            router,
            fabric,
            peers,
            outgoing,
            commands: rx,
            is_ready,
            drained: None,
            buf: vec![0; FORWARD_BYTES + MAX_DATAGRAM_BYTES].into_boxed_slice(),
            refused: [0; PacketError::ALL.len()],
            counters: PacketCounters::default(),
        };
        let _task = AbortOnDropHandle::new(tokio::spawn(task.run()));
        Ok(PacketListener { commands, addresses, ready, _task })
    }

    /// Returns the command channel of the packet task.
    pub fn commands(&self) -> mpsc::Sender<PacketCommand> {
        self.commands.clone()
    }

    /// Returns whether the router has the state that an owner of flows needs, so that a joining VM may become
    /// active.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Returns the bound addresses for packets from the fabric and from other entry VMs.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        self.addresses
    }
}

async fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

struct PacketTask {
    clock: Clock,
    router: BucketRouter,
    fabric: UdpSocket,
    peers: UdpSocket,
    outgoing: mpsc::Sender<Outgoing>,
    commands: mpsc::Receiver<PacketCommand>,
    is_ready: watch::Sender<bool>,
    drained: Option<oneshot::Sender<()>>,
    /// The current datagram, preceded by space for the longest header that can replace the received one.
    buf: Box<[u8]>,
    refused: [u64; PacketError::ALL.len()],
    counters: PacketCounters,
}

impl PacketTask {
    async fn run(mut self) {
        let mut tick = ticker();
        loop {
            tokio::select! {
                biased;
                _ = tick.tick() => self.on_tick(),
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                // If polling a socket fails, `read_batch` counts the error.
                _ = self.peers.readable() => self.read_both(),
                _ = self.fabric.readable() => self.read_both(),
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        let messages = self.router.tick(now);
        self.send_messages(messages);
        self.is_ready.send_if_modified(|is_ready| {
            let was_ready = std::mem::replace(is_ready, self.router.is_ready(now));
            was_ready != *is_ready
        });
    }

    fn on_command(&mut self, command: PacketCommand) {
        let now = self.clock.now();
        match command {
            PacketCommand::Document(document) => {
                let messages = self.router.set_document(now, &document);
                self.send_messages(messages);
            }
            PacketCommand::Members(members) => {
                let messages = self.router.set_members(now, &members);
                self.send_messages(messages);
            }
            PacketCommand::Message { from, message } => {
                let messages = self.router.on_message(now, &from, message);
                self.send_messages(messages);
            }
            PacketCommand::Leave { drained } => {
                self.drained = Some(drained);
                let messages = self.router.leave(now);
                self.send_messages(messages);
            }
            // The caller may have stopped waiting; the reply is then discarded.
            PacketCommand::Explain { key, reply } => {
                let _ = reply.send(self.router.explain(now, &key));
            }
            PacketCommand::Counters { reply } => {
                let _ = reply.send(self.counters());
            }
        }
    }

    fn send_messages(&mut self, messages: Vec<Outgoing>) {
        for message in messages {
            // Waiting for capacity would block the packet path.
            if self.outgoing.try_send(message).is_err() {
                self.counters.messages_lost += 1;
            }
        }
        if self.drained.is_some()
            && self.router.is_drained()
            && let Some(drained) = self.drained.take()
        {
            let _ = drained.send(());
        }
    }

    /// Reads packets from both sockets, so that a flood on one does not starve the other.
    fn read_both(&mut self) {
        self.read_batch(Origin::Peer);
        self.read_batch(Origin::Fabric);
    }

    fn read_batch(&mut self, origin: Origin) {
        for _ in 0..MAX_BATCH {
            let socket = match origin {
                Origin::Fabric => &self.fabric,
                Origin::Peer => &self.peers,
            };
            match socket.try_recv(&mut self.buf[FORWARD_BYTES..]) {
                Ok(bytes) => self.on_datagram(origin, bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.counters.receive_failed += 1;
                    return;
                }
            }
        }
    }

    fn on_datagram(&mut self, origin: Origin, bytes: usize) {
        match origin {
            Origin::Fabric => self.counters.from_fabric += 1,
            Origin::Peer => self.counters.from_peers += 1,
        }
        if let Err(error) = self.route_datagram(origin, FORWARD_BYTES + bytes) {
            self.refused[error as usize] += 1;
        }
    }

    /// Routes and sends the datagram that ends at offset `end` of the buffer.
    fn route_datagram(&mut self, origin: Origin, end: usize) -> Result<(), PacketError> {
        let received = jasminecart_packet::parse(&self.buf[FORWARD_BYTES..end], origin)?;
        let inner = FORWARD_BYTES + received.inner;
        ttl::decrement(&mut self.buf[inner..end])?;
        let now = self.clock.now();
        let route = match &received.content {
            Content::Flow(packet) => self.router.route(now, packet),
            Content::Fragment { key, forwarded } => {
                self.router.route_fragment(now, key, *forwarded)
            }
        };
        match route {
            Route::Target { address, .. } => self.send(address, inner, end, None),
            Route::Peer { address, header, .. } => self.send(address, inner, end, Some(&header)),
            Route::Drop(_) => {}
        }
        Ok(())
    }

    fn send(&mut self, to: SocketAddr, inner: usize, end: usize, forward: Option<&ForwardHeader>) {
        let Some(start) = gue::encapsulate(&mut self.buf[..end], inner, forward) else {
            self.counters.send_failed += 1;
            return;
        };
        let socket = if forward.is_some() { &self.peers } else { &self.fabric };
        if socket.try_send_to(&self.buf[start..end], to).is_err() {
            self.counters.send_failed += 1;
        }
    }

    fn counters(&mut self) -> PacketCounters {
        let refused = PacketError::ALL.iter().zip(self.refused);
        PacketCounters {
            refused: refused.map(|(error, count)| (error.counter(), count)).collect(),
            flow: self.router.measure().clone(),
            ..self.counters.clone()
        }
    }
}

fn ticker() -> Interval {
    let mut tick = tokio::time::interval(TICK_PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}
