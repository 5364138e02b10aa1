//! One simulated VM with the process that runs on it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use jasminecart_core::flow::{BucketRouter, FlowLimits, FlowPacket};
use jasminecart_core::names::VmId;
use jasminecart_core::process::{MemberLimits, Membership, PeerAddress, VmHint};
use jasminecart_core::request::{AttemptId, DispatchLimits, Dispatcher, RequestId};
use jasminecart_core::version::{Adoption, AdoptionLimits, Revision};
use jasminecart_core::{Incarnation, Millis, Name};

use super::network::Event;
use super::requests::Submission;

/// An attempt in progress at a target.
#[derive(Clone, Debug)]
pub(super) struct OpenAttempt {
    pub(super) request: RequestId,
    pub(super) target: Name,
    pub(super) deadline: Millis,
}

/// The process on a VM.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) incarnation: Incarnation,
    pub(super) started_at: Millis,
    pub(super) router: BucketRouter,
    pub(super) dispatcher: Dispatcher,
    pub(super) membership: Membership,
    pub(super) adoption: Adoption,
    pub(super) ready: bool,
    pub(super) highest_revision: Revision,
    /// When the highest revision was adopted.
    pub(super) adopted_at: Millis,
    /// The revision that an open watch at the platform has, while it waits for a newer one.
    pub(super) watch: Option<Revision>,
    pub(super) requests: BTreeMap<RequestId, Submission>,
    pub(super) attempts: BTreeMap<AttemptId, OpenAttempt>,
    pub(super) next_request: u64,
    pub(super) leaving_since: Option<Millis>,
    pub(super) next_vm_list: Millis,
}

/// A VM on which a process runs, is paused, or has ended.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) id: VmId,
    pub(super) address: PeerAddress,
    pub(super) size: u32,
    pub(super) process: Option<Process>,
    pub(super) paused_until: Millis,
    /// Events that arrived during a pause and wait in socket buffers.
    pub(super) events: VecDeque<Event>,
    pub(super) packets: VecDeque<(usize, u64, FlowPacket)>,
    /// When the next process starts after the last one ended.
    pub(super) restart_at: Option<Millis>,
    pub(super) died_at: Option<Millis>,
}

impl Vm {
    /// Creates a VM without a process.
    pub(super) fn new(id: VmId, index: usize) -> Vm {
        let address = |port| SocketAddr::from(([10, 1, 0, index as u8 + 1], port));
        let address =
            PeerAddress { control: address(1), packets: address(2), requests: address(3) };
        Vm {
            id,
            address,
            size: 1 + (index as u32 % 3),
            process: None,
            paused_until: Millis::ZERO,
            events: VecDeque::new(),
            packets: VecDeque::new(),
            restart_at: None,
            died_at: None,
        }
    }

    /// Returns the entry of this VM in the platform's list.
    pub(super) fn hint(&self) -> VmHint {
        let leaving = self.process.as_ref().is_some_and(|process| process.leaving_since.is_some());
        VmHint { vm: self.id.clone(), address: self.address, leaving }
    }

    /// Returns whether a process runs and is not paused.
    pub(super) fn is_running(&self, now: Millis) -> bool {
        self.process.is_some() && self.paused_until <= now
    }

    /// Starts a process.
    pub(super) fn start(&mut self, now: Millis, seed: u64, seeds: Vec<VmHint>) -> &mut Process {
        let incarnation = Incarnation(1_000 + now.get());
        let id = &self.id;
        let membership =
            Membership::new(id.clone(), incarnation, self.address, seed, MemberLimits::default());
        self.restart_at = None;
        self.events.clear();
        self.packets.clear();
        self.process.insert(Process {
            incarnation,
            started_at: now,
            router: BucketRouter::new(id.clone(), seed, FlowLimits::default()),
            dispatcher: Dispatcher::new(id.clone(), incarnation, seed, DispatchLimits::default()),
            membership: membership.with_size(self.size).with_seeds(seeds),
            adoption: Adoption::new(id.clone(), seed, AdoptionLimits::default()),
            ready: false,
            highest_revision: Revision(0),
            adopted_at: now,
            watch: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_request: 0,
            leaving_since: None,
            next_vm_list: now,
        })
    }
}
