//! A target for flows: decapsulates GUE and serves feeds with a TCP stack in user space.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jasminecart_core::Name;
use jasminecart_core::flow::{FlowKey, PacketKind};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::Result;
use crate::stack::Stack;
use crate::tunnel::{self, MAX_DATAGRAM_BYTES, Packet};

/// The most connections of a target. The targets of the users hold about 2,000.
const MAX_CONNECTIONS: usize = 2_000;
/// The longest interval between two polls of the sockets.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The padding of a response, so that the responses to several requests span segments.
const PADDING: &str = "................................................................";

/// The settings of a packet target.
#[derive(Clone, Debug)]
pub struct PacketTargetConfig {
    /// The name of the target, which its responses contain.
    pub name: Name,
    /// The service addresses that it serves. Packets to any other address count as misrouted.
    pub services: Vec<SocketAddrV4>,
    /// The address of the fabric for packets to clients.
    pub fabric: SocketAddr,
    /// The seed of its TCP stack.
    pub seed: u64,
}

/// The connections and packets that a packet target has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketTargetCounts {
    /// Connections opened.
    pub opened: u64,
    /// Requests responded to.
    pub responses: u64,
    /// Packets for a service that this target does not serve.
    pub misrouted: u64,
    /// Segments of connections that this target does not know. Each was rejected with a reset.
    pub unknown_segments: u64,
}

/// A running packet target. Dropping it aborts its task without closing its connections.
#[derive(Debug)]
pub struct PacketTarget {
    address: SocketAddr,
    counts: Arc<Mutex<PacketTargetCounts>>,
    _task: AbortOnDropHandle<()>,
}

impl PacketTarget {
    /// Starts a target on a loopback socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be bound.
    pub async fn start(cfg: PacketTargetConfig) -> Result<PacketTarget> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let counts = Arc::new(Mutex::new(PacketTargetCounts::default()));
        let own = cfg.services.first().map_or(Ipv4Addr::LOCALHOST, |service| *service.ip());
        let stack = Stack::new(own, cfg.seed);
        let task = Task { cfg, socket, stack, connections: HashMap::new(), counts: counts.clone() };
        let _task = AbortOnDropHandle::new(tokio::spawn(task.run()));
        Ok(PacketTarget { address, counts, _task })
    }

    /// Returns the address for encapsulated packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> PacketTargetCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Connection {
    handle: SocketHandle,
    /// Bytes received after the last complete request.
    input: Vec<u8>,
    /// Bytes of responses that the send buffer of the socket has no room for yet.
    output: Vec<u8>,
}

struct Task {
    cfg: PacketTargetConfig,
    socket: UdpSocket,
    stack: Stack,
    connections: HashMap<FlowKey, Connection>,
    counts: Arc<Mutex<PacketTargetCounts>>,
}

impl Task {
    async fn run(mut self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let wait = self.stack.next_poll().unwrap_or(MAX_POLL_INTERVAL).min(MAX_POLL_INTERVAL);
            tokio::select! {
                received = self.socket.recv(&mut buf) => {
                    self.on_datagram(&buf[..received.unwrap_or(0)]);
                    self.receive_all(&mut buf);
                }
                () = tokio::time::sleep(wait) => {}
            }
            self.stack.poll();
            self.serve();
            self.stack.poll();
            tunnel::flush(&mut self.stack, &self.socket, self.cfg.fabric);
        }
    }

    fn receive_all(&mut self, buf: &mut [u8]) {
        while let Ok(bytes) = self.socket.try_recv(buf) {
            self.on_datagram(&buf[..bytes]);
        }
    }

    fn count(&self, f: impl FnOnce(&mut PacketTargetCounts)) {
        f(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        let Some(packet) = tunnel::decapsulate(datagram) else { return };
        let SocketAddr::V4(service) = packet.key.destination else { return };
        if !self.cfg.services.contains(&service) {
            return self.count(|counts| counts.misrouted += 1);
        }
        self.on_packet(service, packet);
    }

    fn on_packet(&mut self, service: SocketAddrV4, packet: Packet) {
        let known = self.connections.contains_key(&packet.key);
        match packet.kind {
            // The stack would deliver a retransmitted SYN to a second listening socket.
            PacketKind::Syn if known || self.connections.len() >= MAX_CONNECTIONS => return,
            PacketKind::Syn => {
                let handle = self.stack.listen(service);
                let connection = Connection { handle, input: Vec::new(), output: Vec::new() };
                self.connections.insert(packet.key, connection);
                self.count(|counts| counts.opened += 1);
            }
            PacketKind::Rst => {}
            _ if !known => self.count(|counts| counts.unknown_segments += 1),
            _ => {}
        }
        self.stack.push(packet.bytes);
        // Lets the listening socket receive its own SYN before the next one arrives.
        self.stack.poll();
    }

    fn serve(&mut self) {
        let (stack, name) = (&mut self.stack, &self.cfg.name);
        let mut responses = 0;
        self.connections.retain(|_, connection| {
            let socket = stack.socket(connection.handle);
            responses += connection.exchange(socket, name);
            if socket.may_send() && !socket.may_recv() && connection.output.is_empty() {
                socket.close();
            }
            let open = socket.is_open();
            if !open {
                stack.remove(connection.handle);
            }
            open
        });
        self.count(|counts| counts.responses += responses);
    }
}

impl Connection {
    /// Responds to every complete request `FEED NUMBER` with `FEED NUMBER TARGET PADDING`. Returns the number of
    /// responses.
    fn exchange(&mut self, socket: &mut tcp::Socket<'_>, name: &Name) -> u64 {
        let mut responses = 0;
        // An error means that the socket receives no more input, which the caller sees from its state.
        let _ = socket.recv(|bytes| {
            self.input.extend_from_slice(bytes);
            (bytes.len(), ())
        });
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            self.output.extend_from_slice(&line[..end]);
            self.output.extend_from_slice(format!(" {name} {PADDING}\n").as_bytes());
            responses += 1;
        }
        let sent = socket.send_slice(&self.output).unwrap_or(0);
        self.output.drain(..sent);
        responses
    }
}
