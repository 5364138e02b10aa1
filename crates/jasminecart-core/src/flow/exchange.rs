//! What routers tell each other: generations, entries for new owners, and hints.

use super::exceptions::{Entry, State};
use super::hash::{hash, mix, vm_hash};
use super::messages::{FlowMessage, ServiceGenerations, TransferEntry, TransferGroup};
use super::owners::Owners;
use super::router::Router;
use super::transfers::Cause;
use crate::message::{Outgoing, PeerMessage};
use crate::names::VmId;
use crate::process::MemberState;
use crate::time::Millis;
use crate::version::Revision;

/// The period of the comparison of generations with a random peer.
const EXCHANGE_PERIOD: Millis = Millis::from_secs(10);
/// The period while this VM does not know the generations of its peers.
const SYNC_PERIOD: Millis = Millis(500);
/// Peers asked at once while this VM does not know their generations.
const TEACHERS: usize = 3;
/// The most bytes of generations in one message.
const MAX_GENERATIONS_BYTES: usize = 256 * 1024;
const HINTED: u8 = 1 << 3;
/// The unit of the age of a transferred entry.
const AGE_STEP: Millis = Millis(250);
/// Two entries of one flow differ in age by the unit, the resolution of the table and the network delay.
const AGE_ERROR: Millis = Millis(400);

impl Router {
    /// Takes a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: FlowMessage) -> Vec<Outgoing> {
        self.run(now);
        match message {
            FlowMessage::Hint { flow, target } => self.take_hint(now, from, flow, target),
            FlowMessage::Forget { flow } => {
                if self.flows.get(now, flow).is_some_and(|entry| entry.state == State::Hint) {
                    self.flows.remove(flow);
                }
                self.send(from, FlowMessage::Forgotten { flow });
            }
            FlowMessage::Forgotten { flow } => self.revocations.confirm(flow, from),
            FlowMessage::Transfer { sequence, groups } => {
                // The ages of entries that waited during a pause are wrong by its length. Without a
                // confirmation the sender sends them again.
                if !self.freshness.reads_backlog(now) {
                    self.take_entries(now, &groups);
                    self.send(from, FlowMessage::Received { sequence });
                }
            }
            FlowMessage::Received { sequence } => self.transfers.confirm(from, sequence),
            FlowMessage::TransferDone { epoch } => {
                // What waited during a pause tells of the owners before it.
                if !self.freshness.reads_backlog(now) {
                    self.done_from.insert(from.clone(), epoch);
                    self.check_done();
                }
            }
            FlowMessage::Digest { revision, digest, ask, since } => {
                self.compare(from, revision, digest, ask, since);
            }
            FlowMessage::Generations { revision, services, ask } => {
                self.merge(now, from, revision, &services, ask);
            }
        }
        self.take_outgoing()
    }

    /// Queues a message and counts its bytes.
    pub(super) fn send(&mut self, to: &VmId, message: FlowMessage) {
        let bytes = message.wire_bytes() as u64;
        let mut peers = self.owners.peers();
        let joins = peers.any(|peer| peer.vm == *to && peer.state == MemberState::Joining);
        let counters = &mut self.counters;
        match &message {
            FlowMessage::Hint { .. } => {
                counters.hints += 1;
                counters.hint_bytes += bytes;
            }
            FlowMessage::Forget { .. } | FlowMessage::Forgotten { .. } => {
                counters.forgets += 1;
                counters.hint_bytes += bytes;
            }
            FlowMessage::Transfer { .. } | FlowMessage::Received { .. } => {
                counters.planned_bytes += bytes;
            }
            FlowMessage::Generations { .. } if joins => counters.planned_bytes += bytes,
            FlowMessage::TransferDone { .. }
            | FlowMessage::Digest { .. }
            | FlowMessage::Generations { .. } => counters.sync_bytes += bytes,
        }
        self.outbox.push(Outgoing::new(to.clone(), message));
    }

    /// Compares generations with peers: often while they are unknown, rarely afterwards.
    pub(super) fn exchange(&mut self, now: Millis) {
        let period = if self.synced { EXCHANGE_PERIOD } else { SYNC_PERIOD };
        let is_due = self.last_exchange.is_none_or(|last| now.since(last) >= period);
        let Some(document) = self.document.as_ref().filter(|_| is_due) else { return };
        let revision = document.revision();
        self.last_exchange = Some(now);
        self.rounds += 1;
        let count = if self.synced { 1 } else { TEACHERS };
        let order = mix(self.seed, self.rounds);
        let peers = self.owners.peers().filter(|peer| peer.state != MemberState::Joining);
        let mut peers: Vec<(u64, VmId)> =
            peers.map(|peer| (mix(order, peer.hash), peer.vm.clone())).collect();
        peers.sort();
        let digest = self.digest();
        let since = if self.synced { Revision(0) } else { self.synced_to };
        for (_, vm) in peers.into_iter().take(count) {
            self.send(&vm, FlowMessage::Digest { revision, digest, ask: true, since });
            self.repeat_done(&vm);
        }
    }

    /// Asks all peers after a pause whether they have handed over every entry.
    pub(super) fn ask_again(&mut self) {
        self.done_from.clear();
        self.check_done();
        let peers: Vec<VmId> = self.owners.peers().map(|peer| peer.vm.clone()).collect();
        let (revision, digest) = (self.revision(), self.digest());
        for vm in peers {
            let since = Revision(0);
            self.send(&vm, FlowMessage::Digest { revision, digest, ask: true, since });
        }
    }

    /// Repeats an announcement that may have been lost with a connection or a pause.
    fn repeat_done(&mut self, vm: &VmId) {
        let epoch = self.owners.epoch();
        if self.done_to.get(vm) == Some(&epoch) {
            self.send(vm, FlowMessage::TransferDone { epoch });
        }
    }

    /// Derives the owners from the members, and queues the entries that go to other owners.
    pub(super) fn change_owners(&mut self, now: Millis) {
        let Some(members) = self.members() else { return };
        let owners = Owners::new(members, self.is_leaving());
        let previous = std::mem::replace(&mut self.owners, owners);
        if previous.eligible_hash() != self.owners.eligible_hash() {
            self.owners_since = now;
            // The new owners do not know of hints that former ones gave.
            self.flows.retain(|_, entry| entry.state != State::Hint);
        }
        if previous.epoch() != self.owners.epoch() {
            self.queue_entries(&previous);
            self.foreign_dropped = false;
        }
        let owners = &self.owners;
        let is_here = |vm: &VmId| owners.peers().any(|peer| peer.vm == *vm);
        self.transfers.retain(is_here);
        self.done_from.retain(|vm, _| is_here(vm));
        self.done_to.retain(|vm, _| is_here(vm));
        self.check_done();
    }

    /// Sends queued entries, and tells peers that have received all of theirs.
    pub(super) fn transfer(&mut self, now: Millis) {
        let flows = &self.flows;
        let read = |flow: u64| {
            let entry = flows.get(now, flow).filter(|entry| entry.state != State::Hint)?;
            Some((entry.target, encode(now, flow, entry)))
        };
        self.transfers.repeat(now);
        let planned = self.transfers.send(now, Cause::Planned, &mut self.planned_budget, read);
        let repairs = self.transfers.send(now, Cause::Repair, &mut self.repair_budget, read);
        self.counters.planned_bytes += bytes(&planned);
        self.counters.repair_bytes += bytes(&repairs);
        self.outbox.extend(planned.into_iter().chain(repairs));
        let epoch = self.owners.epoch();
        let peers = self.owners.peers().map(|peer| peer.vm.clone());
        let due =
            peers.filter(|vm| self.done_to.get(vm) != Some(&epoch) && self.transfers.is_done(vm));
        for vm in due.collect::<Vec<VmId>>() {
            self.done_to.insert(vm.clone(), epoch);
            self.send(&vm, FlowMessage::TransferDone { epoch });
        }
        if !self.foreign_dropped && self.is_complete(now) && self.transfers.len() == 0 {
            self.drop_foreign_entries();
        }
    }

    fn digest(&self) -> u64 {
        let digests: Vec<u64> = self.services.values().map(|table| table.digest()).collect();
        hash(digests)
    }

    fn revision(&self) -> Revision {
        self.document.as_ref().map(|document| document.revision()).unwrap_or_default()
    }

    fn compare(
        &mut self,
        from: &VmId,
        revision: Revision,
        digest: u64,
        ask: bool,
        since: Revision,
    ) {
        let own = self.revision();
        let same = revision == own && digest == self.digest();
        if same && self.is_teacher(from) {
            self.synced = true;
        }
        if ask {
            self.repeat_done(from);
        }
        if ask && revision == own && !same {
            let services = self.export(since);
            let ask = since == Revision(0);
            self.send(from, FlowMessage::Generations { revision: own, services, ask });
        } else if ask {
            let (digest, since) = (self.digest(), Revision(0));
            self.send(from, FlowMessage::Digest { revision: own, digest, ask: false, since });
        }
    }

    fn merge(
        &mut self,
        now: Millis,
        from: &VmId,
        revision: Revision,
        theirs: &[ServiceGenerations],
        ask: bool,
    ) {
        let own = self.revision();
        for service in theirs {
            let Some(table) = self.services.get_mut(&service.service) else { continue };
            if table.merge(now, own, service) {
                self.rebuild(&service.service);
            }
        }
        if revision >= own && own != Revision(0) && self.is_teacher(from) {
            self.synced = true;
        }
        let services = self.export(Revision(0));
        if ask && services != theirs {
            self.send(from, FlowMessage::Generations { revision: own, services, ask: false });
        }
    }

    /// Tells whether a peer knows the generations of the data centre.
    fn is_teacher(&self, vm: &VmId) -> bool {
        self.owners.peers().any(|peer| peer.vm == *vm && peer.state != MemberState::Joining)
    }

    /// Returns the generations after a revision.
    fn export(&self, since: Revision) -> Vec<ServiceGenerations> {
        let mut left = MAX_GENERATIONS_BYTES;
        let mut services = Vec::new();
        for table in self.services.values() {
            let service = table.export(since);
            let bytes = service.wire_bytes();
            if bytes > left {
                break;
            }
            left -= bytes;
            services.push(service);
        }
        services
    }

    /// Takes a hint of the first owner, or as first owner a hint of the second. While the owners change,
    /// the next ones would not know of it.
    fn take_hint(&mut self, now: Millis, from: &VmId, flow: u64, target: u64) {
        let [first, second, _] = self.owners.ranked(flow);
        let giver = if first == self.owners.me() { second } else { first };
        let known = self.flows.get(now, flow).is_some_and(|entry| entry.state != State::Hint);
        let resolves = self.services.values().any(|table| table.by_key(target).is_some());
        if giver == vm_hash(from) && self.is_complete(now) && !known && resolves {
            // Without room the packets keep taking the extra hop.
            let _ = self.flows.insert(now, flow, target, State::Hint);
        }
    }

    fn take_entries(&mut self, now: Millis, groups: &[TransferGroup]) {
        let backlog = self.freshness.backlog_end();
        for group in groups {
            for entry in &group.entries {
                let flow = u64::from_le_bytes(entry.flow);
                let age = Millis(u64::from(entry.age) * AGE_STEP.get());
                let opened = Millis(now.get().saturating_sub(age.get()));
                // An entry from before a pause may be outdated: other VMs were owners meanwhile.
                let Some(state) = decode(entry.state) else { continue };
                let keep = self.flows.get(now, flow).is_some_and(|own| {
                    let later = own.opened() + AGE_ERROR >= opened;
                    let early = backlog.is_some_and(|end| own.opened() < end);
                    let same = own.opened() <= opened + AGE_ERROR && own.target == group.target;
                    let advances = same && progress(state) > progress(own.state);
                    own.state != State::Hint && later && !early && !advances
                });
                if keep {
                    continue;
                }
                if self.flows.insert(now, flow, group.target, state).is_ok() {
                    self.flows.set_transferred(flow, opened);
                    if entry.state & HINTED != 0 {
                        self.flows.set_hinted(flow);
                    }
                }
            }
        }
    }

    fn check_done(&mut self) {
        let epoch = self.owners.epoch();
        let mut peers = self.owners.peers().filter(|peer| peer.state != MemberState::Joining);
        self.all_done = peers.all(|peer| self.done_from.get(&peer.vm) == Some(&epoch));
    }

    /// Queues entries for their new owners. Of the previous owners, the first that stays sends.
    fn queue_entries(&mut self, previous: &Owners) {
        let me = self.owners.me();
        let cause = if previous.lost_owner(&self.owners) { Cause::Repair } else { Cause::Planned };
        let mut half_open = Vec::new();
        let mut established = Vec::new();
        for (flow, entry) in self.flows.iter().filter(|(_, entry)| entry.state != State::Hint) {
            let old = previous.future(flow);
            let stays = |owner: &u64| {
                self.owners.owns(*owner) && previous.is_same_process(&self.owners, *owner)
            };
            let sender = old.into_iter().find(stays);
            // A leaving owner sends as well, because the other one may not have every entry yet.
            if sender.is_some_and(|sender| sender != me) && self.owners.owns(me) {
                continue;
            }
            for owner in self.owners.future(flow) {
                let has_it = old.contains(&owner) && previous.is_same_process(&self.owners, owner);
                if owner == 0 || owner == me || has_it {
                    continue;
                }
                match entry.state {
                    State::HalfOpen => half_open.push((flow, owner)),
                    _ => established.push((flow, owner)),
                }
            }
        }
        for (flow, owner) in established.into_iter().chain(half_open) {
            if let Some(owner) = self.owners.get(owner) {
                self.transfers.push(&owner.vm, cause, flow);
            }
        }
    }

    /// Drops the entries that this VM no longer owns, once the owners have them. A later flow of the same
    /// addresses would not be noticed here.
    fn drop_foreign_entries(&mut self) {
        let owners = &self.owners;
        let owns = |flow: u64| {
            let [first, second, _] = owners.ranked(flow);
            // While members join, the present owners still answer.
            [first, second].contains(&owners.me()) || owners.future(flow).contains(&owners.me())
        };
        self.flows.retain(|flow, entry| entry.state == State::Hint || owns(flow));
        self.foreign_dropped = true;
    }
}

fn bytes(messages: &[Outgoing]) -> u64 {
    let size = |outgoing: &Outgoing| match &outgoing.message {
        PeerMessage::Flow(message) => message.wire_bytes() as u64,
        _ => 0,
    };
    messages.iter().map(size).sum()
}

fn encode(now: Millis, flow: u64, entry: &Entry) -> TransferEntry {
    let state = match entry.state {
        State::HalfOpen => 0,
        State::Established => 1,
        State::Closing => 2,
        State::Hint => 3,
        State::Datagram => 4,
    };
    let steps = now.since(entry.opened()).get() / AGE_STEP.get();
    TransferEntry {
        flow: flow.to_le_bytes(),
        state: state | if entry.hinted { HINTED } else { 0 },
        age: u16::try_from(steps).unwrap_or(u16::MAX),
    }
}

/// Orders the states of one flow in time.
fn progress(state: State) -> u8 {
    match state {
        State::Hint => 0,
        State::HalfOpen => 1,
        State::Established | State::Datagram => 2,
        State::Closing => 3,
    }
}

fn decode(state: u8) -> Option<State> {
    match state & !HINTED {
        0 => Some(State::HalfOpen),
        1 => Some(State::Established),
        2 => Some(State::Closing),
        4 => Some(State::Datagram),
        _ => None,
    }
}
