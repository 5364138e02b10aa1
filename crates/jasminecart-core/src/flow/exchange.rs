//! The messages between bucket routers: generations, transfers of entries, and hints.

use super::bucket_router::BucketRouter;
use super::exceptions::{Entry, State};
use super::hash::{hash, mix, vm_hash};
use super::messages::{FlowMessage, ServiceGenerations, TransferEntry, TransferGroup};
use super::owners::Owners;
use super::transfers::TransferCause;
use crate::message::{Outgoing, PeerMessage};
use crate::names::VmId;
use crate::process::MemberState;
use crate::time::Millis;
use crate::version::Revision;

/// The period of the anti-entropy digests of generations to a random peer.
const DIGEST_PERIOD: Millis = Millis::from_secs(10);
/// The period of digests while this VM lacks generations of its peers.
const SYNC_PERIOD: Millis = Millis(500);
/// The number of peers that receive a digest at once while this VM lacks generations.
const MAX_SYNC_PEERS: usize = 3;
/// The maximum size in bytes of the generations in one message.
const MAX_GENERATIONS_BYTES: usize = 256 * 1024;
/// The bit of [`TransferEntry::state`] that is set if hints were given for the flow.
const HINTED_FLAG: u8 = 1 << 3;
/// The unit of the age of a transferred entry.
const AGE_UNIT: Millis = Millis(250);
/// The ages of two entries of one flow may differ by the unit, the resolution of the table and the
/// network delay.
const AGE_TOLERANCE: Millis = Millis(400);

impl BucketRouter {
    /// Handles a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: FlowMessage) -> Vec<Outgoing> {
        self.advance(now);
        match message {
            FlowMessage::Hint { flow, target } => self.apply_hint(now, from, flow, target),
            FlowMessage::Forget { flow } => {
                if self.flows.get(now, flow).is_some_and(|entry| entry.state == State::Hint) {
                    self.flows.remove(flow);
                }
                self.send(from, FlowMessage::Forgotten { flow });
            }
            FlowMessage::Forgotten { flow } => self.revocations.confirm(flow, from),
            FlowMessage::Transfer { sequence, groups } => {
                // A message that was queued during a pause has ages that are wrong by up to the
                // length of the pause. Since it is not confirmed, the sender repeats it.
                if !self.freshness.is_reading_backlog(now) {
                    self.apply_transfer(now, &groups);
                    self.send(from, FlowMessage::Received { sequence });
                }
            }
            FlowMessage::Received { sequence } => self.transfers.confirm(from, sequence),
            FlowMessage::TransferDone { epoch } => {
                // A message that was queued during a pause may refer to the owners before the
                // pause.
                if !self.freshness.is_reading_backlog(now) {
                    self.transfer_done_from.insert(from.clone(), epoch);
                    self.update_transfers_complete();
                }
            }
            FlowMessage::Digest { revision, digest, ask, since } => {
                self.on_digest(from, revision, digest, ask, since);
            }
            FlowMessage::Generations { revision, services, ask } => {
                self.on_generations(now, from, revision, &services, ask);
            }
        }
        self.take_outgoing()
    }

    /// Queues a message and counts its bytes.
    pub(super) fn send(&mut self, to: &VmId, message: FlowMessage) {
        let bytes = message.wire_bytes() as u64;
        let mut peers = self.owners.peers();
        let to_joining = peers.any(|peer| peer.vm == *to && peer.state == MemberState::Joining);
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
            FlowMessage::Generations { .. } if to_joining => counters.planned_bytes += bytes,
            FlowMessage::TransferDone { .. }
            | FlowMessage::Digest { .. }
            | FlowMessage::Generations { .. } => counters.sync_bytes += bytes,
        }
        self.outbox.push(Outgoing::new(to.clone(), message));
    }

    /// Sends digests of the generations to random peers when they are due, more often while this VM
    /// lacks generations.
    pub(super) fn exchange_generations(&mut self, now: Millis) {
        let period = if self.synced { DIGEST_PERIOD } else { SYNC_PERIOD };
        let is_due = self.last_exchange.is_none_or(|last| now.since(last) >= period);
        let Some(document) = self.document.as_ref().filter(|_| is_due) else { return };
        let revision = document.revision();
        self.last_exchange = Some(now);
        self.exchange_rounds += 1;
        let count = if self.synced { 1 } else { MAX_SYNC_PEERS };
        let order = mix(self.seed, self.exchange_rounds);
        let peers = self.owners.peers().filter(|peer| peer.state != MemberState::Joining);
        let mut peers: Vec<(u64, VmId)> =
            peers.map(|peer| (mix(order, peer.hash), peer.vm.clone())).collect();
        peers.sort();
        let digest = self.digest();
        let since = if self.synced { Revision(0) } else { self.synced_to };
        for (_, vm) in peers.into_iter().take(count) {
            self.send(&vm, FlowMessage::Digest { revision, digest, ask: true, since });
            self.resend_transfer_done(&vm);
        }
    }

    /// Asks all peers to announce again that they have transferred all entries, and to compare
    /// generations.
    pub(super) fn resync_after_pause(&mut self) {
        self.transfer_done_from.clear();
        self.update_transfers_complete();
        let peers: Vec<VmId> = self.owners.peers().map(|peer| peer.vm.clone()).collect();
        let (revision, digest) = (self.revision(), self.digest());
        for vm in peers {
            let since = Revision(0);
            self.send(&vm, FlowMessage::Digest { revision, digest, ask: true, since });
        }
    }

    /// Announces the end of the transfers to a peer again, in case the message was lost with a
    /// connection or ignored after a pause.
    fn resend_transfer_done(&mut self, vm: &VmId) {
        let epoch = self.owners.epoch();
        if self.transfer_done_to.get(vm) == Some(&epoch) {
            self.send(vm, FlowMessage::TransferDone { epoch });
        }
    }

    /// Derives the owners from the members, and queues entries for their new owners.
    pub(super) fn update_owners(&mut self, now: Millis) {
        let Some(members) = self.members() else { return };
        let owners = Owners::new(members, self.is_leaving());
        let previous = std::mem::replace(&mut self.owners, owners);
        if previous.eligible_hash() != self.owners.eligible_hash() {
            self.owners_changed_at = now;
            // The new owners can't revoke hints from former owners, because they have no record of
            // them.
            self.flows.retain(|_, entry| entry.state != State::Hint);
        }
        if previous.epoch() != self.owners.epoch() {
            self.queue_transfers(&previous);
            self.foreign_entries_dropped = false;
        }
        let owners = &self.owners;
        let is_peer = |vm: &VmId| owners.peers().any(|peer| peer.vm == *vm);
        self.transfers.retain(is_peer);
        self.transfer_done_from.retain(|vm, _| is_peer(vm));
        self.transfer_done_to.retain(|vm, _| is_peer(vm));
        self.update_transfers_complete();
    }

    /// Sends queued entries, and announces the end of the transfers to peers that have confirmed
    /// all of theirs.
    pub(super) fn send_transfers(&mut self, now: Millis) {
        let flows = &self.flows;
        let read = |flow: u64| {
            let entry = flows.get(now, flow).filter(|entry| entry.state != State::Hint)?;
            Some((entry.target, encode(now, flow, entry)))
        };
        self.transfers.requeue_unconfirmed(now);
        let planned =
            self.transfers.send(now, TransferCause::Planned, &mut self.planned_budget, read);
        let repairs =
            self.transfers.send(now, TransferCause::Repair, &mut self.repair_budget, read);
        self.counters.planned_bytes += bytes(&planned);
        self.counters.repair_bytes += bytes(&repairs);
        self.outbox.extend(planned.into_iter().chain(repairs));
        let epoch = self.owners.epoch();
        let peers = self.owners.peers().map(|peer| peer.vm.clone());
        let due = peers.filter(|vm| {
            self.transfer_done_to.get(vm) != Some(&epoch) && self.transfers.is_fully_confirmed(vm)
        });
        for vm in due.collect::<Vec<VmId>>() {
            self.transfer_done_to.insert(vm.clone(), epoch);
            self.send(&vm, FlowMessage::TransferDone { epoch });
        }
        if !self.foreign_entries_dropped
            && self.owners_have_all_entries(now)
            && self.transfers.len() == 0
        {
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

    fn on_digest(
        &mut self,
        from: &VmId,
        revision: Revision,
        digest: u64,
        ask: bool,
        since: Revision,
    ) {
        let own = self.revision();
        let same = revision == own && digest == self.digest();
        if same && self.has_joined(from) {
            self.synced = true;
        }
        if ask {
            self.resend_transfer_done(from);
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

    fn on_generations(
        &mut self,
        now: Millis,
        from: &VmId,
        revision: Revision,
        received: &[ServiceGenerations],
        ask: bool,
    ) {
        let own = self.revision();
        for service in received {
            let Some(table) = self.services.get_mut(&service.service) else { continue };
            if table.merge(now, own, service) {
                self.rebuild(&service.service);
            }
        }
        if revision >= own && own != Revision(0) && self.has_joined(from) {
            self.synced = true;
        }
        let services = self.export(Revision(0));
        if ask && services != received {
            self.send(from, FlowMessage::Generations { revision: own, services, ask: false });
        }
    }

    /// Returns whether a peer has joined, and so has the generations of the data centre.
    fn has_joined(&self, vm: &VmId) -> bool {
        self.owners.peers().any(|peer| peer.vm == *vm && peer.state != MemberState::Joining)
    }

    /// Returns the generations after a revision, for as many services as fit in one message.
    fn export(&self, since: Revision) -> Vec<ServiceGenerations> {
        let mut remaining = MAX_GENERATIONS_BYTES;
        let mut services = Vec::new();
        for table in self.services.values() {
            let service = table.export(since);
            let bytes = service.wire_bytes();
            if bytes > remaining {
                break;
            }
            remaining -= bytes;
            services.push(service);
        }
        services
    }

    /// Stores a hint from the first owner, or as first owner a hint from the second. Hints are
    /// ignored while the owners change, because the new owners could not revoke them.
    fn apply_hint(&mut self, now: Millis, from: &VmId, flow: u64, target: u64) {
        let [first, second, _] = self.owners.ranked(flow);
        let expected_sender = if first == self.owners.me() { second } else { first };
        let known = self.flows.get(now, flow).is_some_and(|entry| entry.state != State::Hint);
        let resolves = self.services.values().any(|table| table.by_key(target).is_some());
        if expected_sender == vm_hash(from)
            && self.owners_have_all_entries(now)
            && !known
            && resolves
        {
            // If the table is full, packets of the flow continue to take the extra hop.
            let _ = self.flows.insert(now, flow, target, State::Hint);
        }
    }

    fn apply_transfer(&mut self, now: Millis, groups: &[TransferGroup]) {
        let backlog = self.freshness.backlog_end();
        for group in groups {
            for entry in &group.entries {
                let flow = u64::from_le_bytes(entry.flow);
                let age = Millis(u64::from(entry.age) * AGE_UNIT.get());
                let opened = Millis(now.get().saturating_sub(age.get()));
                // An entry from before a pause may be outdated, because other VMs may have been
                // owners during the pause.
                let Some(state) = decode(entry.state) else { continue };
                let keep_own = self.flows.get(now, flow).is_some_and(|own| {
                    let later = own.opened() + AGE_TOLERANCE >= opened;
                    let before_backlog_end = backlog.is_some_and(|end| own.opened() < end);
                    let same = own.opened() <= opened + AGE_TOLERANCE && own.target == group.target;
                    let advances = same && state_order(state) > state_order(own.state);
                    own.state != State::Hint && later && !before_backlog_end && !advances
                });
                if keep_own {
                    continue;
                }
                if self.flows.insert(now, flow, group.target, state).is_ok() {
                    self.flows.set_transferred(flow, opened);
                    if entry.state & HINTED_FLAG != 0 {
                        self.flows.set_hinted(flow);
                    }
                }
            }
        }
    }

    fn update_transfers_complete(&mut self) {
        let epoch = self.owners.epoch();
        let mut peers = self.owners.peers().filter(|peer| peer.state != MemberState::Joining);
        self.transfers_complete =
            peers.all(|peer| self.transfer_done_from.get(&peer.vm) == Some(&epoch));
    }

    /// Queues entries for their new owners. The first of the previous owners that remains sends
    /// them.
    fn queue_transfers(&mut self, previous: &Owners) {
        let me = self.owners.me();
        let cause = if previous.has_lost_owner(&self.owners) {
            TransferCause::Repair
        } else {
            TransferCause::Planned
        };
        let mut half_open = Vec::new();
        let mut established = Vec::new();
        for (flow, entry) in self.flows.iter().filter(|(_, entry)| entry.state != State::Hint) {
            let old_owners = previous.future_owners(flow);
            let remains = |owner: &u64| {
                self.owners.owns(*owner) && previous.has_same_incarnation(&self.owners, *owner)
            };
            let sender = old_owners.into_iter().find(remains);
            // A leaving owner sends as well, because the other owner may lack entries.
            if sender.is_some_and(|sender| sender != me) && self.owners.owns(me) {
                continue;
            }
            for owner in self.owners.future_owners(flow) {
                let has_entry = old_owners.contains(&owner)
                    && previous.has_same_incarnation(&self.owners, owner);
                if owner == 0 || owner == me || has_entry {
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

    /// Removes entries that this VM no longer owns, once the owners have them. This VM would not be
    /// notified of a later flow with the same addresses.
    fn drop_foreign_entries(&mut self) {
        let owners = &self.owners;
        let owns = |flow: u64| {
            let [first, second, _] = owners.ranked(flow);
            // While members join, the current owners still decide.
            [first, second].contains(&owners.me())
                || owners.future_owners(flow).contains(&owners.me())
        };
        self.flows.retain(|flow, entry| entry.state == State::Hint || owns(flow));
        self.foreign_entries_dropped = true;
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
    let steps = now.since(entry.opened()).get() / AGE_UNIT.get();
    TransferEntry {
        flow: flow.to_le_bytes(),
        state: state | if entry.hinted { HINTED_FLAG } else { 0 },
        age: u16::try_from(steps).unwrap_or(u16::MAX),
    }
}

/// Returns the position of a state in the lifetime of a flow.
fn state_order(state: State) -> u8 {
    match state {
        State::Hint => 0,
        State::HalfOpen => 1,
        State::Established | State::Datagram => 2,
        State::Closing => 3,
    }
}

fn decode(state: u8) -> Option<State> {
    match state & !HINTED_FLAG {
        0 => Some(State::HalfOpen),
        1 => Some(State::Established),
        2 => Some(State::Closing),
        4 => Some(State::Datagram),
        _ => None,
    }
}
