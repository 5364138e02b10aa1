//! Messages between forwarding processes: datagrams within a data centre, and hello messages to the seeds.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use jasminecart_core::Incarnation;
use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::VmId;
use jasminecart_core::process::{
    Discovery, DiscoveryMessage, Event, Introduction, MemberLimits, MemberMessage, Members,
    Membership, PeerAddress, VmHint,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::SharingMessage;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::events;
use crate::forwarder::report_socket;
use crate::keys::PeerKeys;
use crate::metrics::{CauseLabel, Metrics};
use crate::settings::Settings;

/// The version of the datagram format. Datagrams of another version are ignored.
const PROTOCOL: u8 = 5;
/// The maximum size of a datagram, which fits an Ethernet frame.
const MAX_DATAGRAM: usize = 1_472;
/// The maximum number of datagrams handled before packets of clients are polled.
const BATCH: usize = 16;

/// A message between forwarding processes.
///
/// Variants are encoded by position, so that new ones have to be appended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardMessage {
    /// A message of the membership protocol of the data centre.
    Member(MemberMessage),
    /// A message of the discovery of VMs.
    Discovery(DiscoveryMessage),
    /// A message that shares routes and targets that were read from the store.
    Sharing(SharingMessage),
}

/// One datagram between forwarding processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerDatagram {
    /// The version of the format.
    pub protocol: u8,
    /// The sender.
    pub from: VmId,
    /// The message.
    pub message: ForwardMessage,
}

impl PeerDatagram {
    /// Decodes a datagram. Returns `None` when it is malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Option<PeerDatagram> {
        let (datagram, rest) = postcard::take_from_bytes::<PeerDatagram>(bytes).ok()?;
        (rest.is_empty() && datagram.protocol == PROTOCOL).then_some(datagram)
    }
}

/// The peer socket with membership and discovery.
pub(crate) struct Peers {
    me: VmId,
    socket: UdpSocket,
    membership: Membership,
    discovery: Discovery,
    keys: PeerKeys,
    metrics: Rc<Metrics>,
    buf: Box<[u8]>,
}

/// What a received datagram tells about routes and targets.
#[derive(Debug)]
pub(crate) enum Received {
    /// A message about routes and targets.
    Sharing {
        /// The sender.
        from: VmId,
        /// The message.
        message: SharingMessage,
    },
    /// Introductions of VMs, some of which may have routes and targets.
    Introductions(Vec<Introduction>),
}

impl Peers {
    pub(crate) fn new(
        settings: &Settings,
        socket: UdpSocket,
        incarnation: Incarnation,
        seed: u64,
        metrics: Rc<Metrics>,
    ) -> Peers {
        let me = settings.me.clone();
        let own = SocketAddr::V4(settings.listen.peers);
        // One socket is used for all kinds of messages.
        let address = PeerAddress { control: own, packets: own, requests: own };
        let hint = VmHint { vm: me.clone(), address, leaving: false };
        let limits = MemberLimits::default();
        let membership = Membership::new(me.clone(), incarnation, address, seed, limits);
        Peers {
            me,
            socket,
            membership: membership.with_size(settings.size),
            discovery: Discovery::new(hint, settings.size, seeds(settings)),
            keys: settings.peer_keys.clone(),
            metrics,
            buf: vec![0; MAX_DATAGRAM].into(),
        }
    }

    /// Applies the seeds and keys of reloaded settings.
    pub(crate) fn set_settings(&mut self, settings: &Settings) {
        self.discovery.set_seeds(seeds(settings));
        self.keys = settings.peer_keys.clone();
    }

    pub(crate) fn members(&self) -> &Members {
        self.membership.members()
    }

    /// Announces that this VM has routes and targets. Returns whether the list of members changed.
    pub(crate) fn set_ready(&mut self, now: Millis) -> bool {
        self.discovery.set_loaded();
        self.send_hellos(now);
        let events = self.membership.set_ready(now);
        self.handle_events(events)
    }

    /// Announces a planned stop. Returns whether the list of members changed.
    pub(crate) fn leave(&mut self, now: Millis) -> bool {
        let events = self.membership.leave(now);
        self.handle_events(events)
    }

    /// Runs the timers of membership and discovery. Returns whether the list of members changed.
    pub(crate) fn tick(&mut self, now: Millis) -> bool {
        self.send_hellos(now);
        let events = self.membership.tick(now);
        self.handle_events(events)
    }

    fn send_hellos(&mut self, now: Millis) {
        let alone = self.membership.members().peers().next().is_none();
        for (to, message) in self.discovery.tick(now, alone) {
            self.send_to(to, ForwardMessage::Discovery(message));
        }
    }

    /// Returns the address at which a VM accepts messages and streams, if it is known.
    pub(crate) fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.membership.address_of(vm).map(|address| address.control)
    }

    /// Encodes a message for a stream, which carries messages of any size.
    pub(crate) fn encode_for_stream(&self, message: SharingMessage) -> Option<Vec<u8>> {
        self.encode_signed(ForwardMessage::Sharing(message))
    }

    /// Decodes a message about routes and targets that was received over a stream. Returns `None`,
    /// and counts it, if it is malformed, of another kind or not signed by a VM.
    pub(crate) fn decode_from_stream(&self, bytes: &[u8]) -> Option<(VmId, SharingMessage)> {
        match self.verify(bytes)? {
            PeerDatagram { from, message: ForwardMessage::Sharing(message), .. } => {
                Some((from, message))
            }
            PeerDatagram { .. } => {
                self.metrics.peer_malformed.inc();
                None
            }
        }
    }

    /// Verifies and decodes a datagram. Returns `None`, and counts it, if it is refused.
    fn verify(&self, bytes: &[u8]) -> Option<PeerDatagram> {
        let message = match self.keys.verify(bytes) {
            Ok(message) => message,
            Err(error) => {
                let label = CauseLabel { cause: events::verify_label(error) };
                self.metrics.peer_refused.get_or_create(&label).inc();
                return None;
            }
        };
        let datagram = PeerDatagram::decode(message);
        if datagram.is_none() {
            self.metrics.peer_malformed.inc();
        }
        datagram
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives up to [`BATCH`] waiting datagrams. Returns the messages about routes and targets, and whether
    /// the list of members changed.
    pub(crate) fn receive(&mut self, now: Millis) -> (Vec<Received>, bool) {
        let mut received = Vec::new();
        let mut changed = false;
        let mut buf = std::mem::take(&mut self.buf);
        for _ in 0..BATCH {
            let length = match self.socket.try_recv(&mut buf) {
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    report_socket(&error);
                    break;
                }
            };
            let Some(datagram) = self.verify(&buf[..length]) else { continue };
            self.metrics.peer_received.inc();
            changed |= self.on_datagram(now, datagram, &mut received);
        }
        self.buf = buf;
        (received, changed)
    }

    /// Sends a message to each of the VMs in `to`.
    pub(crate) fn send(&self, to: &[VmId], message: ForwardMessage) {
        let Some(bytes) = self.encode(message) else { return };
        for vm in to {
            match self.membership.address_of(vm) {
                Some(address) => self.send_bytes(address.control, &bytes),
                None => {
                    self.metrics.peer_unknown.inc();
                }
            }
        }
    }

    fn on_datagram(
        &mut self,
        now: Millis,
        datagram: PeerDatagram,
        out: &mut Vec<Received>,
    ) -> bool {
        let PeerDatagram { from, message, .. } = datagram;
        match message {
            ForwardMessage::Member(message) => {
                let events = self.membership.on_message(now, &from, message);
                self.handle_events(events)
            }
            ForwardMessage::Discovery(DiscoveryMessage::Hello(introduction)) => {
                let (to, response) = self.discovery.on_hello(now, introduction.clone());
                self.send_to(to, ForwardMessage::Discovery(response));
                // Hellos of known VMs are frequent, and change nothing.
                let known = self.membership.address_of(&introduction.hint.vm).is_some();
                let introduced = if known { Vec::new() } else { vec![introduction] };
                self.on_introductions(now, introduced, out)
            }
            ForwardMessage::Discovery(DiscoveryMessage::Known(introductions)) => {
                self.on_introductions(now, introductions, out)
            }
            ForwardMessage::Sharing(message) => {
                out.push(Received::Sharing { from, message });
                false
            }
        }
    }

    /// Passes on introductions of VMs of this data centre. Returns whether the list of members
    /// changed.
    fn on_introductions(
        &mut self,
        now: Millis,
        mut introductions: Vec<Introduction>,
        out: &mut Vec<Received>,
    ) -> bool {
        let me = &self.me;
        introductions.retain(|introduction| {
            introduction.hint.vm.data_centre == me.data_centre && introduction.hint.vm != *me
        });
        if introductions.is_empty() {
            return false;
        }
        let hints = introductions.iter().map(|introduction| &introduction.hint);
        let events = self.membership.on_introductions(now, hints);
        out.push(Received::Introductions(introductions));
        self.handle_events(events)
    }

    /// Handles events of the membership. Returns whether the list of members changed.
    fn handle_events(&mut self, events: Vec<Event>) -> bool {
        let mut changed = false;
        for event in events {
            match event {
                Event::Changed(_) => changed = true,
                Event::Message(outgoing) => {
                    if let PeerMessage::Member(message) = outgoing.message {
                        self.send(&[outgoing.to], ForwardMessage::Member(message));
                    }
                }
                Event::Suspected(vm) => report(&vm, "suspected"),
                Event::Died(vm) => report(&vm, "died"),
                Event::Joined(vm) => report(&vm, "joined"),
                Event::Left(vm) => report(&vm, "left"),
                Event::Refuted(vm) => report(&vm, "refuted"),
            }
        }
        changed
    }

    fn send_to(&self, to: SocketAddr, message: ForwardMessage) {
        if let Some(bytes) = self.encode(message) {
            self.send_bytes(to, &bytes);
        }
    }

    /// Encodes a message as a datagram.
    fn encode(&self, message: ForwardMessage) -> Option<Vec<u8>> {
        let bytes = self.encode_signed(message)?;
        if bytes.len() <= MAX_DATAGRAM {
            return Some(bytes);
        }
        let length = bytes.len();
        warn!(
            event = "peer-message-too-long", bytes = length;
            "a message to a peer exceeds {MAX_DATAGRAM} bytes and was not sent"
        );
        None
    }

    fn encode_signed(&self, message: ForwardMessage) -> Option<Vec<u8>> {
        let datagram = PeerDatagram { protocol: PROTOCOL, from: self.me.clone(), message };
        match postcard::to_stdvec(&datagram) {
            Ok(bytes) => Some(self.keys.sign(&bytes)),
            Err(error) => {
                let cause = error.to_string();
                warn!(
                    event = "peer-message-failed", cause = cause.as_str();
                    "a message to a peer could not be encoded and was not sent"
                );
                None
            }
        }
    }

    fn send_bytes(&self, to: SocketAddr, bytes: &[u8]) {
        match self.socket.try_send_to(bytes, to) {
            Ok(_) => {
                self.metrics.peer_sent.inc();
                self.metrics.peer_sent_bytes.inc_by(bytes.len() as u64);
            }
            // The protocol of each message type tolerates loss and sends again where needed.
            Err(_) => {
                self.metrics.peer_send_failures.inc();
            }
        }
    }
}

/// Returns the addresses of the peer listeners of the seeds. Settings have the port of another listener; every
/// VM uses the same port for its peers.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.listen.peers.port();
    settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port).into()).collect()
}

fn report(vm: &VmId, change: &'static str) {
    let vm = vm.to_string();
    info!(event = "member-changed", vm = vm.as_str(), change = change; "the membership state of a VM changed");
}
