//! Simulates entry VMs with a `BucketRouter` each and a network without delay or loss.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::flow::{
    BucketRouter, DropReason, FlowKey, FlowLimits, FlowPacket, FragmentKey, PacketKind, Route,
};
use jasminecart_core::process::{Member, MemberState, Members, PeerAddress};
use jasminecart_core::version::{Document, Protocol, Revision};
use jasminecart_core::{Incarnation, Millis, Outgoing, PeerMessage, VmId};

/// The interval of ticks and heartbeats, in milliseconds.
pub(crate) const HEARTBEAT_MS: u64 = 100;

/// One entry VM.
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) router: BucketRouter,
    pub(crate) state: MemberState,
    pub(crate) document: Option<Arc<Document>>,
    /// A paused VM neither runs nor receives anything.
    pub(crate) paused: bool,
    last_contact: Millis,
}

/// Entry VMs that all have the same view of the membership.
pub(crate) struct Cluster {
    pub(crate) now: Millis,
    pub(crate) vms: Vec<Vm>,
    pub(crate) messages: Vec<(VmId, Outgoing)>,
    limits: FlowLimits,
}

impl Cluster {
    pub(crate) fn new(count: usize, document: &Arc<Document>) -> Cluster {
        Cluster::with_limits(count, document, FlowLimits::default())
    }

    pub(crate) fn with_limits(
        count: usize,
        document: &Arc<Document>,
        limits: FlowLimits,
    ) -> Cluster {
        let now = Millis::from_secs(1);
        let mut cluster = Cluster { now, vms: Vec::new(), messages: Vec::new(), limits };
        for _ in 0..count {
            cluster.add(MemberState::Active);
        }
        cluster.publish(document);
        cluster.advance(10_000);
        cluster
    }

    /// Adds a VM without a document and returns its index.
    pub(crate) fn add(&mut self, state: MemberState) -> usize {
        let index = self.vms.len();
        let id = VmId::new("ub-1", format!("vm-{index}"));
        let router = BucketRouter::new(id.clone(), index as u64, self.limits.clone());
        let last_contact = self.now;
        self.vms.push(Vm { id, router, state, document: None, paused: false, last_contact });
        index
    }

    pub(crate) fn publish(&mut self, document: &Arc<Document>) {
        for index in 0..self.vms.len() {
            self.adopt(index, document);
        }
    }

    pub(crate) fn adopt(&mut self, index: usize, document: &Arc<Document>) {
        let now = self.now;
        let vm = &mut self.vms[index];
        vm.document = Some(document.clone());
        let messages = vm.router.set_document(now, document);
        self.queue(index, messages);
    }

    /// Runs all VMs for `duration` milliseconds. In each step every running VM receives heartbeats from the others.
    pub(crate) fn advance(&mut self, duration: u64) {
        let end = self.now + Millis(duration);
        while self.now < end {
            self.now += Millis(HEARTBEAT_MS);
            for index in 0..self.vms.len() {
                if self.is_running(index) {
                    self.vms[index].last_contact = self.now;
                }
            }
            for index in 0..self.vms.len() {
                if self.is_running(index) {
                    let members = self.members(index);
                    let now = self.now;
                    let messages = self.vms[index].router.set_members(now, &members);
                    self.queue(index, messages);
                    let messages = self.vms[index].router.tick(now);
                    self.queue(index, messages);
                }
            }
            self.deliver();
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        self.vms[index].state != MemberState::Dead && !self.vms[index].paused
    }

    pub(crate) fn queue(&mut self, index: usize, messages: Vec<Outgoing>) {
        let from = self.vms[index].id.clone();
        self.messages.extend(messages.into_iter().map(|message| (from.clone(), message)));
    }

    pub(crate) fn deliver(&mut self) {
        for _ in 0..8 {
            for (from, outgoing) in std::mem::take(&mut self.messages) {
                let Some(index) = self.vms.iter().position(|vm| vm.id == outgoing.to) else {
                    continue;
                };
                let PeerMessage::Flow(message) = outgoing.message else { continue };
                if self.is_running(index) {
                    let now = self.now;
                    let responses = self.vms[index].router.on_message(now, &from, message);
                    self.queue(index, responses);
                }
            }
        }
    }

    fn members(&self, reader: usize) -> Members {
        let member = |vm: &Vm| Member {
            vm: vm.id.clone(),
            incarnation: Incarnation(1),
            state: vm.state,
            size: 1,
            address: address(),
            revision: vm.document.as_ref().map_or(Revision(0), |document| document.revision()),
            heard_at: vm.last_contact,
        };
        let list: Vec<Member> = self.vms.iter().map(member).collect();
        Members::new(self.vms[reader].id.clone(), list)
    }

    /// Delivers a packet from the fabric to the VM `entry` and forwards it until it is routed. Returns the target
    /// and the number of hops between VMs.
    pub(crate) fn send(
        &mut self,
        entry: usize,
        key: FlowKey,
        kind: PacketKind,
    ) -> Result<(String, u8), DropReason> {
        let mut at = entry;
        let mut packet = FlowPacket { key, kind, forwarded: None };
        for hops in 0..=3 {
            let now = self.now;
            match self.vms[at].router.route(now, &packet) {
                Route::Target { target, .. } => return Ok((target.to_string(), hops)),
                Route::Drop(reason) => return Err(reason),
                Route::Peer { vm, header, .. } => {
                    packet.forwarded = Some(header);
                    at = self.vms.iter().position(|other| other.id == vm).unwrap();
                    assert!(
                        self.is_running(at),
                        "a packet was forwarded to {vm}, which is not running"
                    );
                }
            }
        }
        panic!("a packet was forwarded more than 3 times")
    }

    /// Delivers a later fragment of a TCP packet to the VM `entry` and forwards it until it is routed.
    pub(crate) fn fragment(
        &mut self,
        entry: usize,
        key: FlowKey,
        id: u32,
    ) -> Result<String, DropReason> {
        let (source, destination) = (key.source.ip(), key.destination.ip());
        let fragment = FragmentKey { source, destination, protocol: 6, id };
        let (mut at, mut forwarded) = (entry, None);
        loop {
            match self.vms[at].router.route_fragment(self.now, &fragment, forwarded) {
                Route::Target { target, .. } => return Ok(target.to_string()),
                Route::Drop(reason) => return Err(reason),
                Route::Peer { vm, header, .. } => {
                    forwarded = Some(header);
                    at = self.vms.iter().position(|other| other.id == vm).unwrap();
                }
            }
        }
    }

    /// Sends a packet as [`Cluster::send`] does and returns its target, or the name of the reason for its drop.
    pub(crate) fn target(&mut self, entry: usize, key: FlowKey, kind: PacketKind) -> String {
        self.send(entry, key, kind)
            .map(|(target, _)| target)
            .unwrap_or_else(|reason| format!("{reason:?}"))
    }
}

pub(crate) fn address() -> PeerAddress {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    PeerAddress { control: address, packets: address, requests: address }
}

/// Returns the key of a flow to the service `ledger` over TCP or `beacon` over UDP.
pub(crate) fn flow(protocol: Protocol, number: usize) -> FlowKey {
    let source = SocketAddr::from(([10, 9, (number >> 8) as u8, number as u8], 40_000));
    let port = if protocol == Protocol::Tcp { 443 } else { 53 };
    FlowKey { protocol, source, destination: SocketAddr::from(([10, 0, 0, 1], port)) }
}

pub(crate) fn tcp(number: usize) -> FlowKey {
    flow(Protocol::Tcp, number)
}

pub(crate) fn udp(number: usize) -> FlowKey {
    flow(Protocol::Udp, number)
}

/// Builds a document with targets given as (name, weight, draining).
pub(crate) fn document(revision: u64, targets: &[(&str, u32, bool)]) -> Arc<Document> {
    let mut text = String::from(
        "[service ledger]\naddress = 10.0.0.1:443/tcp\n[service beacon]\naddress = 10.0.0.1:53/udp\n",
    );
    for (name, weight, draining) in targets {
        let state = if *draining { "draining" } else { "active" };
        let number = name.bytes().fold(7u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
        text += &format!(
            "[target {name}]\nservice = ledger, beacon\ndata_centre = ub-1\n\
             address = 10.0.1.{number}:8080\nweight = {weight}\nstate = {state}\n"
        );
    }
    Arc::new(Document::parse(Revision(revision), &text).unwrap())
}
