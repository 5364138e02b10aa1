//! The membership state machine: message handling and published events.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::anti_entropy::Schedule;
use super::contacts::Contacts;
use super::failure_detector::FailureDetector;
use super::gossip::Gossip;
use super::limits::{MemberCounters, MemberLimits};
use super::local_member::LocalMember;
use super::members::{Member, Members, PeerAddress, VmHint};
use super::rendezvous;
use super::table::{Table, UpdateEffect};
use super::wire::{Claim, DeclaredState, Head, MemberMessage, Update};
use crate::invariant;
use crate::message::Outgoing;
use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// For this long after a pause of this process only acks to new probes count as contact. Messages
/// that waited in a queue would make old revisions look fresh.
const PAUSE_GRACE: Millis = Millis(500);
/// The least time between two published lists that differ only in `heard_at`.
const CONTACT_PUBLISH_PERIOD: Millis = Millis(100);

/// An event that the caller of [`Membership`] has to act on. All but the first two are for
/// operators.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of members changed and has to be passed to the other modules.
    Changed(Members),
    /// A message has to be sent.
    Message(Outgoing),
    /// A member did not respond and will be removed unless it refutes the suspicion.
    Suspected(VmId),
    /// A member was removed because it did not respond.
    Died(VmId),
    /// A VM joined, or a new process of a VM replaced its previous one.
    Joined(VmId),
    /// A member left after it had announced a planned stop.
    Left(VmId),
    /// A VM, possibly this one, refuted its suspicion or death.
    Refuted(VmId),
}

/// The kind of a direct message, which decides whether it counts as contact after a pause and
/// whether its sender still has to be notified of a suspicion or death reported about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    /// It is acknowledged, and the ack carries any suspicion or death reported about the sender.
    Ping,
    /// It acknowledges a pending probe of this VM and was therefore sent recently.
    Ack,
    /// It acknowledges a ping that is no pending probe of this VM. That ping carried any suspicion
    /// or death reported about the sender.
    LateAck,
    Other,
}

/// What changed since the list of members was last published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingChange {
    Clean,
    /// Only `heard_at` values.
    LastContact,
    Changed,
}

/// Tracks which entry VMs of the data centre are alive, by the SWIM protocol.
///
/// [`Membership::tick`] has to be called at least every 200 ms. See `docs/design.md`, section 9.
#[derive(Debug)]
pub struct Membership {
    pub(super) local_member: LocalMember,
    pub(super) limits: MemberLimits,
    pub(super) rng: ChaCha8Rng,
    pub(super) table: Table,
    pub(super) gossip: Gossip,
    pub(super) contacts: Contacts,
    pub(super) detector: FailureDetector,
    pub(super) schedule: Schedule,
    pub(super) counters: MemberCounters,
    events: Vec<Event>,
    pending_change: PendingChange,
    members: Members,
    published_at: Millis,
    last_call: Option<Millis>,
    grace_until: Millis,
}

impl Membership {
    /// Creates the membership of one process, which is joining until [`Membership::set_ready`].
    /// `address` is how other VMs reach it.
    pub fn new(
        me: VmId,
        incarnation: Incarnation,
        address: PeerAddress,
        seed: u64,
        limits: MemberLimits,
    ) -> Membership {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ rendezvous::hash((&me, incarnation)));
        let mut membership = Membership {
            members: Members::new(me.clone(), Vec::new()),
            local_member: LocalMember::new(me, incarnation, address),
            limits,
            rng,
            table: Table::default(),
            gossip: Gossip::default(),
            contacts: Contacts::default(),
            detector: FailureDetector::default(),
            schedule: Schedule::default(),
            counters: MemberCounters::default(),
            events: Vec::new(),
            pending_change: PendingChange::Changed,
            published_at: Millis::ZERO,
            last_call: None,
            grace_until: Millis::ZERO,
        };
        membership.schedule_first_probe();
        membership.members = membership.build_members(Millis::ZERO);
        membership
    }

    /// Sets the capacity of this VM relative to the others.
    pub fn with_size(mut self, size: u32) -> Membership {
        self.local_member.size = size;
        self.members = self.build_members(Millis::ZERO);
        self
    }

    /// Adds VMs to contact before the first list from the platform. Seeds are never dropped.
    pub fn with_seeds(mut self, seeds: impl IntoIterator<Item = VmHint>) -> Membership {
        for hint in seeds {
            if hint.vm != self.local_member.vm {
                self.contacts.add_seed(hint);
            }
        }
        self
    }

    /// Sets the document revision that this VM reports to its peers.
    pub fn set_revision(&mut self, revision: Revision) {
        invariant!(
            revision >= self.local_member.revision,
            "the current revision decreased from {} to {revision}",
            self.local_member.revision
        );
        if revision > self.local_member.revision {
            self.local_member.revision = revision;
            let update = self.local_member.update(Claim::Revision(revision));
            self.queue_update(self.local_member.vm.clone(), update);
            self.pending_change = PendingChange::Changed;
        }
    }

    /// Declares this VM ready to own flows and slots, which ends the joining state.
    pub fn set_ready(&mut self, now: Millis) -> Vec<Event> {
        self.detect_pause(now);
        self.local_member.set_ready();
        self.finish(now)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: MemberMessage) -> Vec<Event> {
        self.detect_pause(now);
        self.counters.received += 1;
        if self.accepts(from, &message) {
            self.dispatch(now, from, message);
        }
        self.finish(now)
    }

    /// Applies the platform's list of VMs, which is only a hint: it adds VMs to contact and removes
    /// no members.
    pub fn on_vm_list(&mut self, now: Millis, list: &[VmHint]) -> Vec<Event> {
        self.detect_pause(now);
        self.contacts.set_hints(now, list);
        self.finish(now)
    }

    /// Adds VMs to contact that introduced themselves or that another VM named.
    pub fn on_introductions<'a>(
        &mut self,
        now: Millis,
        hints: impl IntoIterator<Item = &'a VmHint>,
    ) -> Vec<Event> {
        self.detect_pause(now);
        for hint in hints {
            if hint.vm != self.local_member.vm {
                self.contacts.add_hint(hint);
            }
        }
        self.finish(now)
    }

    /// Runs the probes, timeouts and comparisons that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Event> {
        self.detect_pause(now);
        self.detect_failures(now);
        self.run_anti_entropy(now);
        for vm in self.table.expire(now, self.limits.dead_retention) {
            self.gossip.remove(&vm);
        }
        self.finish(now)
    }

    /// Announces a planned stop.
    pub fn leave(&mut self, now: Millis) -> Vec<Event> {
        self.detect_pause(now);
        self.local_member.set_leaving();
        self.finish(now)
    }

    /// Returns the current list of members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the addresses of a VM to send a message to. Seeds and listed VMs can be sent
    /// messages before they are members.
    pub fn address_of(&self, vm: &VmId) -> Option<PeerAddress> {
        let known = self.table.get(vm).map(|record| record.member.address);
        known.or_else(|| self.contacts.address(vm))
    }

    /// Returns the counters for metrics.
    pub fn counters(&self) -> &MemberCounters {
        &self.counters
    }

    /// Restarts failure detection after a pause of this process. Messages that it missed during the
    /// pause are no sign that other members failed.
    fn detect_pause(&mut self, now: Millis) {
        let paused = self.last_call.is_some_and(|at| now.since(at) >= self.limits.pause_threshold);
        self.last_call = Some(now.max(self.last_call.unwrap_or_default()));
        if paused {
            self.counters.pauses += 1;
            self.grace_until = now + PAUSE_GRACE;
            self.restart_failure_detection(now);
            self.schedule.sync_at(self.grace_until);
        }
    }

    /// Returns whether messages received now may have waited in a queue during a pause of this
    /// process.
    pub(super) fn is_resuming(&self, now: Millis) -> bool {
        now < self.grace_until
    }

    /// Returns whether a message is valid and current; otherwise it is counted and dropped.
    fn accepts(&mut self, from: &VmId, message: &MemberMessage) -> bool {
        let same_data_centre = from.data_centre == self.local_member.vm.data_centre;
        let summary = matches!(message, MemberMessage::Sync { .. } | MemberMessage::Table { .. });
        if *from == self.local_member.vm
            || !message.is_within_bounds()
            || !(same_data_centre || summary)
        {
            self.counters.refused += 1;
            return false;
        }
        let known = self.table.get(from).map(|record| record.member.incarnation);
        let outdated = known.is_some_and(|known| message.head().incarnation < known);
        self.counters.outdated += u64::from(outdated);
        !outdated
    }

    fn dispatch(&mut self, now: Millis, from: &VmId, message: MemberMessage) {
        let head = message.head();
        match message {
            MemberMessage::Ping { seq, updates, .. } => {
                self.handle_updates(now, from, &updates);
                self.record_contact(now, from, head, MessageKind::Ping);
                let (head, updates) = (self.local_member.head(), self.updates_for(from));
                self.send(from, MemberMessage::Ack { seq, head, updates });
            }
            MemberMessage::Ack { seq, updates, .. } => {
                self.handle_updates(now, from, &updates);
                let kind = if self.is_probe_pending(seq) {
                    MessageKind::Ack
                } else {
                    MessageKind::LateAck
                };
                self.record_contact(now, from, head, kind);
                self.on_ack(from, seq, head);
            }
            MemberMessage::Relay { seq, target, updates, .. } => {
                self.handle_updates(now, from, &updates);
                self.record_contact(now, from, head, MessageKind::Other);
                self.on_relay(now, from, seq, &target);
            }
            MemberMessage::Relayed { seq, target, answer, .. } => {
                self.record_contact(now, from, head, MessageKind::Other);
                let target = VmId { data_centre: from.data_centre.clone(), name: target };
                self.on_relayed(now, &target, seq, answer);
            }
            MemberMessage::Sync { me, tables, answer, .. } => {
                if me.vm(&from.data_centre) == *from {
                    self.handle_updates(now, from, &[me]);
                }
                self.record_contact(now, from, head, MessageKind::Other);
                self.on_sync(now, from, &tables, answer);
            }
            MemberMessage::Table { updates, hold, .. } => {
                self.handle_updates(now, from, &updates);
                self.record_contact(now, from, head, MessageKind::Other);
                if from.data_centre == self.local_member.vm.data_centre {
                    self.local_member.hold_down(now, hold, &self.limits);
                }
            }
        }
    }

    /// Records contact with the sender of a direct message. A sender that is reported suspected or
    /// dead is notified, so that it can refute.
    fn record_contact(&mut self, now: Millis, from: &VmId, head: Head, kind: MessageKind) {
        self.apply_head(now, from, head);
        let recent = kind == MessageKind::Ack || !self.is_resuming(now);
        let same_data_centre = from.data_centre == self.local_member.vm.data_centre;
        let Some(record) = self.table.records.get_mut(from) else {
            if same_data_centre && self.contacts.address(from).is_some() {
                self.send_sync(from, false);
            }
            return;
        };
        if record.member.incarnation != head.incarnation {
            return;
        }
        if recent {
            record.member.heard_at = record.member.heard_at.max(now);
            self.pending_change = self.pending_change.max(PendingChange::LastContact);
        }
        let reported = same_data_centre && record.failure_update(&from.data_centre).is_some();
        if reported && kind == MessageKind::Other {
            self.send_unscheduled_ping(from);
        }
    }

    /// Applies the declared state in the head of a message from a known process.
    pub(super) fn apply_head(&mut self, now: Millis, vm: &VmId, head: Head) {
        let Some(record) = self.table.get(vm) else { return };
        if record.member.incarnation != head.incarnation {
            return;
        }
        let Member { size, address, .. } = record.member;
        let (stated, revision) = (head.stated, head.revision);
        let update = Update {
            data_centre: Some(vm.data_centre.clone()),
            name: vm.name.clone(),
            incarnation: head.incarnation,
            counter: head.counter,
            claim: Claim::State { stated, size, address, revision },
        };
        self.apply(now, vm, &update);
    }

    fn handle_updates(&mut self, now: Millis, from: &VmId, updates: &[Update]) {
        for update in updates {
            self.handle_update(now, from, update);
        }
    }

    /// Handles an update about any VM. A data centre is the authority on its members, so updates
    /// about members of this data centre are ignored when they come from another one.
    fn handle_update(&mut self, now: Millis, from: &VmId, update: &Update) {
        let vm = update.vm(&from.data_centre);
        let same_data_centre = vm.data_centre == self.local_member.vm.data_centre;
        if same_data_centre && from.data_centre != vm.data_centre {
            return;
        }
        if vm == self.local_member.vm {
            self.handle_update_about_self(now, update);
        } else if self.is_resuming(now) && matches!(update.claim, Claim::Suspect | Claim::Dead) {
            // The update may have waited in a queue during the pause and have been refuted since.
        } else if self.contradicts_recent_contact(now, &vm, update) {
            self.suspect_instead(now, &vm, update);
        } else {
            self.apply(now, &vm, update);
        }
    }

    /// Handles an update of another member about this VM, and refutes a suspicion or death.
    fn handle_update_about_self(&mut self, now: Millis, update: &Update) {
        match update.claim {
            Claim::Suspect | Claim::Dead => {
                if self.local_member.refute(now, update, &self.limits) {
                    self.counters.refutations += 1;
                    self.events.push(Event::Refuted(self.local_member.vm.clone()));
                    self.local_member.update_declared_state(now);
                    self.queue_update(
                        self.local_member.vm.clone(),
                        self.local_member.state_update(),
                    );
                }
            }
            Claim::State { .. } if update.incarnation > self.local_member.incarnation => {
                self.counters.replaced += 1;
            }
            Claim::State { .. } | Claim::Revision(_) => {}
        }
    }

    /// Applies an update about another VM, emits an event for it and queues it for gossip.
    pub(super) fn apply(&mut self, now: Millis, vm: &VmId, update: &Update) -> UpdateEffect {
        let before = self.table.get(vm).map(|record| (record.member.incarnation, record.counter));
        let effect = self.table.apply(now, vm, update, self.limits.max_members);
        if effect == UpdateEffect::Unchanged {
            return effect;
        }
        self.pending_change = PendingChange::Changed;
        let Some(record) = self.table.get(vm) else { return effect };
        let after = (record.member.incarnation, record.counter);
        invariant!(
            before.is_none_or(|before| before <= after),
            "the record of {vm} was replaced by an older one: {before:?} to {after:?}"
        );
        let own_data_centre = &self.local_member.vm.data_centre;
        let gossiped = match effect {
            UpdateEffect::Revision => {
                record.update(own_data_centre, Claim::Revision(record.member.revision))
            }
            _ => record
                .failure_update(own_data_centre)
                .unwrap_or_else(|| record.state_update(own_data_centre)),
        };
        // The updates that a joining VM receives are known to its peers already, and no member uses
        // the revisions of VMs in other data centres.
        let is_failure = matches!(update.claim, Claim::Suspect | Claim::Dead);
        let already_known =
            self.local_member.declared_state() == DeclaredState::Joining && !is_failure;
        let remote_revision =
            vm.data_centre != *own_data_centre && effect == UpdateEffect::Revision;
        if !already_known && !remote_revision {
            self.queue_update(vm.clone(), gossiped);
        }
        if matches!(
            effect,
            UpdateEffect::Joined | UpdateEffect::Refuted | UpdateEffect::Died { .. }
        ) {
            self.clear_suspicion(vm);
        }
        self.push_event(vm, effect);
        effect
    }

    fn push_event(&mut self, vm: &VmId, effect: UpdateEffect) {
        let planned =
            effect == UpdateEffect::Died { planned: true } || self.contacts.is_leaving(vm);
        let event = match effect {
            UpdateEffect::Joined => Event::Joined,
            UpdateEffect::Refuted => Event::Refuted,
            UpdateEffect::Suspected => Event::Suspected,
            UpdateEffect::Died { .. } if planned => Event::Left,
            UpdateEffect::Died { .. } => Event::Died,
            UpdateEffect::Unchanged | UpdateEffect::StateChanged | UpdateEffect::Revision => return,
        };
        self.events.push(event(vm.clone()));
    }

    fn queue_update(&mut self, vm: VmId, update: Update) {
        let members = self.live_count();
        self.gossip.push(vm, update, members);
    }

    /// Returns the number of live members of the data centre, including this VM.
    pub(super) fn live_count(&self) -> usize {
        self.table.live(&self.local_member.vm.data_centre).count() + 1
    }

    /// Returns the update that reports a VM as suspected or dead, if it is.
    pub(super) fn failure_update_for(&self, vm: &VmId) -> Option<Update> {
        self.table.get(vm)?.failure_update(&self.local_member.vm.data_centre)
    }

    /// Returns the updates to piggyback on a message. A suspicion or death of the receiver comes
    /// first, so that it can refute, then the state of this VM if the receiver may not know it.
    pub(super) fn updates_for(&mut self, to: &VmId) -> Vec<Update> {
        let failure = self.failure_update_for(to);
        let in_contact =
            self.table.get(to).is_some_and(|record| record.member.heard_at > Millis::ZERO);
        let local = (!in_contact).then(|| self.local_member.state_update());
        let first: Vec<Update> = failure.into_iter().chain(local).collect();
        let mut updates = self.gossip.next_batch(self.limits.update_bytes(self.live_count()));
        updates.retain(|update| !first.contains(update));
        first.into_iter().chain(updates).collect()
    }

    /// Queues a message for sending, unless the addresses of the receiver are unknown.
    pub(super) fn send(&mut self, to: &VmId, message: MemberMessage) {
        if self.address_of(to).is_none() {
            self.counters.unaddressed += 1;
            return;
        }
        self.events.push(Event::Message(Outgoing::new(to.clone(), message)));
    }

    /// Publishes the list of members if it changed, and returns all events, that of the list first.
    fn finish(&mut self, now: Millis) -> Vec<Event> {
        if self.local_member.update_declared_state(now) {
            self.pending_change = PendingChange::Changed;
            self.queue_update(self.local_member.vm.clone(), self.local_member.state_update());
            self.notify_ring_neighbours();
        }
        let due = match self.pending_change {
            PendingChange::Clean => false,
            PendingChange::LastContact => now.since(self.published_at) >= CONTACT_PUBLISH_PERIOD,
            PendingChange::Changed => true,
        };
        let mut events = Vec::new();
        if due {
            self.pending_change = PendingChange::Clean;
            self.published_at = now;
            self.members = self.build_members(now);
            events.push(Event::Changed(self.members.clone()));
        }
        events.append(&mut self.events);
        events
    }

    /// Notifies the ring neighbours immediately that this VM changed its state.
    fn notify_ring_neighbours(&mut self) {
        for distance in [1, 2] {
            let others = self.table.live(&self.local_member.vm.data_centre);
            let others = others.map(|record| &record.member.vm);
            if let Some(vm) =
                rendezvous::successor(&self.local_member.vm, others, distance).cloned()
            {
                self.send_unscheduled_ping(&vm);
            }
        }
    }
}
