//! Membership of a data centre.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::contacts::Contacts;
use super::detect::Detector;
use super::exchange::Schedule;
use super::gossip::Gossip;
use super::limits::{MemberCounters, MemberLimits};
use super::members::{Member, Members, PeerAddress, VmHint};
use super::own::Own;
use super::rendezvous;
use super::table::{Applied, Table};
use super::wire::{Claim, Head, MemberMessage, Stated, Update};
use crate::invariant;
use crate::message::Outgoing;
use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// For this long after a pause only answers to new probes count as recent. Messages that waited in a queue
/// would make old revisions look fresh.
const PAUSE_GRACE: Millis = Millis(500);
/// The period in which a list with newer `heard_at` values alone is published.
const HEARD_PERIOD: Millis = Millis(100);

/// What the caller of [`Membership`] has to do or to note. All but the first two are for operators.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of members changed; other modules need the new one.
    Changed(Members),
    /// A message has to be sent.
    Message(Outgoing),
    /// A member did not answer and is removed unless it refutes that.
    Suspected(VmId),
    /// A member was removed because it did not answer.
    Died(VmId),
    /// A process joined, for the first time or in place of an earlier one of its VM.
    Joined(VmId),
    /// A member that had announced a planned stop is gone.
    Left(VmId),
    /// A VM, possibly this one, refuted that it is suspected or dead.
    Refuted(VmId),
}

/// What a direct message proves and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It gets an answer, which carries a claim about the sender.
    Ping,
    /// It answers an open probe of this VM and is therefore recent.
    Answer,
    /// It answers an earlier message, which told the sender of any claim.
    OldAnswer,
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Dirty {
    Clean,
    Heard,
    Changed,
}

/// Tracks which entry VMs of the data centre are alive.
///
/// [`Membership::tick`] has to be called at least every 200 ms. See `docs/design.md`, section 9.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Own,
    pub(super) limits: MemberLimits,
    pub(super) rng: ChaCha8Rng,
    pub(super) table: Table,
    pub(super) gossip: Gossip,
    pub(super) contacts: Contacts,
    pub(super) detector: Detector,
    pub(super) schedule: Schedule,
    pub(super) counters: MemberCounters,
    out: Vec<Event>,
    dirty: Dirty,
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
            own: Own::new(me, incarnation, address),
            limits,
            rng,
            table: Table::default(),
            gossip: Gossip::default(),
            contacts: Contacts::default(),
            detector: Detector::default(),
            schedule: Schedule::default(),
            counters: MemberCounters::default(),
            out: Vec::new(),
            dirty: Dirty::Changed,
            published_at: Millis::ZERO,
            last_call: None,
            grace_until: Millis::ZERO,
        };
        membership.schedule();
        membership.members = membership.build(Millis::ZERO);
        membership
    }

    /// Sets the capacity of this VM relative to the others.
    pub fn with_size(mut self, size: u32) -> Membership {
        self.own.size = size;
        self.members = self.build(Millis::ZERO);
        self
    }

    /// Adds VMs to contact before any list was received. Seeds are never forgotten.
    pub fn with_seeds(mut self, seeds: impl IntoIterator<Item = VmHint>) -> Membership {
        for hint in seeds {
            if hint.vm != self.own.vm {
                self.contacts.add_seed(hint);
            }
        }
        self
    }

    /// Sets the document revision that this VM reports to its peers.
    pub fn set_revision(&mut self, revision: Revision) {
        invariant!(
            revision >= self.own.revision,
            "the revision in force went back from {} to {revision}",
            self.own.revision
        );
        if revision > self.own.revision {
            self.own.revision = revision;
            let update = self.own.update(Claim::Revision(revision));
            self.spread(self.own.vm.clone(), update);
            self.dirty = Dirty::Changed;
        }
    }

    /// States that this VM is ready to own flows and slots, which ends the joining state.
    pub fn set_ready(&mut self, now: Millis) -> Vec<Event> {
        self.observe(now);
        self.own.set_ready();
        self.finish(now)
    }

    /// Takes a message from a peer.
    pub fn on_message(&mut self, now: Millis, from: &VmId, message: MemberMessage) -> Vec<Event> {
        self.observe(now);
        self.counters.received += 1;
        if self.accepts(from, &message) {
            self.dispatch(now, from, message);
        }
        self.finish(now)
    }

    /// Takes the platform's list of VMs, which is only a hint: it adds VMs to contact and removes none.
    pub fn on_vm_list(&mut self, now: Millis, list: &[VmHint]) -> Vec<Event> {
        self.observe(now);
        self.contacts.set_hints(now, list);
        self.finish(now)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Event> {
        self.observe(now);
        self.detect(now);
        self.exchange(now);
        for vm in self.table.expire(now, self.limits.dead_kept) {
            self.gossip.forget(&vm);
        }
        self.finish(now)
    }

    /// Announces a planned stop.
    pub fn leave(&mut self, now: Millis) -> Vec<Event> {
        self.observe(now);
        self.own.set_leaving();
        self.finish(now)
    }

    /// Returns the members as known now.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the addresses of a VM that a message goes to. Seeds and listed VMs get messages before
    /// they are in the list of members.
    pub fn address_of(&self, vm: &VmId) -> Option<PeerAddress> {
        let known = self.table.get(vm).map(|record| record.member.address);
        known.or_else(|| self.contacts.address(vm))
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &MemberCounters {
        &self.counters
    }

    /// Notices a pause of this process. What it did not hear meanwhile says nothing about others.
    fn observe(&mut self, now: Millis) {
        let paused = self.last_call.is_some_and(|at| now.since(at) >= self.limits.pause_after);
        self.last_call = Some(now.max(self.last_call.unwrap_or_default()));
        if paused {
            self.counters.pauses += 1;
            self.grace_until = now + PAUSE_GRACE;
            self.restart_detection(now);
            self.schedule.sync_at(self.grace_until);
        }
    }

    /// Tells whether messages may still have waited in a queue during a pause of this process.
    pub(super) fn is_resuming(&self, now: Millis) -> bool {
        now < self.grace_until
    }

    fn accepts(&mut self, from: &VmId, message: &MemberMessage) -> bool {
        let inside = from.data_centre == self.own.vm.data_centre;
        let summary = matches!(message, MemberMessage::Sync { .. } | MemberMessage::Table { .. });
        if *from == self.own.vm || !message.is_bounded() || !(inside || summary) {
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
                self.take_updates(now, from, &updates);
                self.hear(now, from, head, Kind::Ping);
                let (head, updates) = (self.own.head(), self.updates_for(from));
                self.send(from, MemberMessage::Ack { seq, head, updates });
            }
            MemberMessage::Ack { seq, updates, .. } => {
                self.take_updates(now, from, &updates);
                let kind = if self.is_open(seq) { Kind::Answer } else { Kind::OldAnswer };
                self.hear(now, from, head, kind);
                self.on_ack(from, seq, head);
            }
            MemberMessage::Relay { seq, target, updates, .. } => {
                self.take_updates(now, from, &updates);
                self.hear(now, from, head, Kind::Other);
                self.on_relay(now, from, seq, &target);
            }
            MemberMessage::Relayed { seq, target, answer, .. } => {
                self.hear(now, from, head, Kind::Other);
                let target = VmId { data_centre: from.data_centre.clone(), name: target };
                self.on_relayed(now, &target, seq, answer);
            }
            MemberMessage::Sync { me, tables, answer, .. } => {
                if me.vm(&from.data_centre) == *from {
                    self.take_updates(now, from, &[me]);
                }
                self.hear(now, from, head, Kind::Other);
                self.on_sync(now, from, &tables, answer);
            }
            MemberMessage::Table { updates, hold, .. } => {
                self.take_updates(now, from, &updates);
                self.hear(now, from, head, Kind::Other);
                if from.data_centre == self.own.vm.data_centre {
                    self.own.hold(now, hold, &self.limits);
                }
            }
        }
    }

    /// Notes a direct message. A VM with a claim against it is told, so that it can refute.
    fn hear(&mut self, now: Millis, from: &VmId, head: Head, kind: Kind) {
        self.apply_head(now, from, head);
        let recent = kind == Kind::Answer || !self.is_resuming(now);
        let own_data_centre = from.data_centre == self.own.vm.data_centre;
        let Some(record) = self.table.records.get_mut(from) else {
            if own_data_centre && self.contacts.address(from).is_some() {
                self.send_sync(from, false);
            }
            return;
        };
        if record.member.incarnation != head.incarnation {
            return;
        }
        if recent {
            record.member.heard_at = record.member.heard_at.max(now);
            self.dirty = self.dirty.max(Dirty::Heard);
        }
        let claimed = own_data_centre && record.claim(&from.data_centre).is_some();
        if claimed && kind == Kind::Other {
            self.send_notice(from);
        }
    }

    /// Applies the statement in the head of a message of a known process.
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

    fn take_updates(&mut self, now: Millis, from: &VmId, updates: &[Update]) {
        for update in updates {
            self.take_update(now, from, update);
        }
    }

    fn take_update(&mut self, now: Millis, from: &VmId, update: &Update) {
        let vm = update.vm(&from.data_centre);
        let own_data_centre = vm.data_centre == self.own.vm.data_centre;
        if own_data_centre && from.data_centre != vm.data_centre {
            return;
        }
        if vm == self.own.vm {
            self.take_claim(now, update);
        } else if self.is_resuming(now) && matches!(update.claim, Claim::Suspect | Claim::Dead) {
            // The claim may have waited in a queue during the pause and be refuted since.
        } else if self.contradicts(now, &vm, update) {
            self.recheck(now, &vm, update);
        } else {
            self.apply(now, &vm, update);
        }
    }

    /// Takes what another member says of this VM.
    fn take_claim(&mut self, now: Millis, update: &Update) {
        match update.claim {
            Claim::Suspect | Claim::Dead => {
                if self.own.refute(now, update, &self.limits) {
                    self.counters.refutations += 1;
                    self.out.push(Event::Refuted(self.own.vm.clone()));
                    self.own.refresh(now);
                    self.spread(self.own.vm.clone(), self.own.statement());
                }
            }
            Claim::State { .. } if update.incarnation > self.own.incarnation => {
                self.counters.replaced += 1;
            }
            Claim::State { .. } | Claim::Revision(_) => {}
        }
    }

    /// Applies an update about another VM, reports it and passes it on.
    pub(super) fn apply(&mut self, now: Millis, vm: &VmId, update: &Update) -> Applied {
        let before = self.table.get(vm).map(|record| (record.member.incarnation, record.counter));
        let applied = self.table.apply(now, vm, update, self.limits.max_members);
        if applied == Applied::Nothing {
            return applied;
        }
        self.dirty = Dirty::Changed;
        let Some(record) = self.table.get(vm) else { return applied };
        let after = (record.member.incarnation, record.counter);
        invariant!(
            before.is_none_or(|before| before <= after),
            "the record of {vm} went back from {before:?} to {after:?}"
        );
        let reader = &self.own.vm.data_centre;
        let passed_on = match applied {
            Applied::Revision => record.update(reader, Claim::Revision(record.member.revision)),
            _ => record.claim(reader).unwrap_or_else(|| record.statement(reader)),
        };
        // A joining VM learns the table from those who know it, and the revisions of VMs elsewhere matter to
        // nobody here.
        let claimed = matches!(update.claim, Claim::Suspect | Claim::Dead);
        let learned = self.own.stated() == Stated::Joining && !claimed;
        let elsewhere = vm.data_centre != *reader && applied == Applied::Revision;
        if !learned && !elsewhere {
            self.spread(vm.clone(), passed_on);
        }
        if matches!(applied, Applied::Joined | Applied::Refuted | Applied::Died { .. }) {
            self.clear_suspicion(vm);
        }
        self.report(vm, applied);
        applied
    }

    fn report(&mut self, vm: &VmId, applied: Applied) {
        let planned = applied == Applied::Died { planned: true } || self.contacts.is_leaving(vm);
        let event = match applied {
            Applied::Joined => Event::Joined,
            Applied::Refuted => Event::Refuted,
            Applied::Suspected => Event::Suspected,
            Applied::Died { .. } if planned => Event::Left,
            Applied::Died { .. } => Event::Died,
            Applied::Nothing | Applied::Stated | Applied::Revision => return,
        };
        self.out.push(event(vm.clone()));
    }

    fn spread(&mut self, vm: VmId, update: Update) {
        let members = self.count();
        self.gossip.push(vm, update, members);
    }

    /// Returns the count of live members of the data centre, this VM included.
    pub(super) fn count(&self) -> usize {
        self.table.live(&self.own.vm.data_centre).count() + 1
    }

    /// Returns the claim of others about a VM.
    pub(super) fn claim_about(&self, vm: &VmId) -> Option<Update> {
        self.table.get(vm)?.claim(&self.own.vm.data_centre)
    }

    /// Returns the updates for a message: the claim about its receiver first, so that it can refute, then
    /// this VM's own statement when the receiver may not know it.
    pub(super) fn updates_for(&mut self, to: &VmId) -> Vec<Update> {
        let claim = self.claim_about(to);
        let heard = self.table.get(to).is_some_and(|record| record.member.heard_at > Millis::ZERO);
        let own = (!heard).then(|| self.own.statement());
        let first: Vec<Update> = claim.into_iter().chain(own).collect();
        let mut updates = self.gossip.take(self.limits.update_bytes(self.count()));
        updates.retain(|update| !first.contains(update));
        first.into_iter().chain(updates).collect()
    }

    /// Sends a message, unless the addresses of the receiver are unknown.
    pub(super) fn send(&mut self, to: &VmId, message: MemberMessage) {
        if self.address_of(to).is_none() {
            self.counters.unaddressed += 1;
            return;
        }
        self.out.push(Event::Message(Outgoing::new(to.clone(), message)));
    }

    /// Publishes what changed, and returns all events with the list before the messages.
    fn finish(&mut self, now: Millis) -> Vec<Event> {
        if self.own.refresh(now) {
            self.dirty = Dirty::Changed;
            self.spread(self.own.vm.clone(), self.own.statement());
            self.announce();
        }
        let due = match self.dirty {
            Dirty::Clean => false,
            Dirty::Heard => now.since(self.published_at) >= HEARD_PERIOD,
            Dirty::Changed => true,
        };
        let mut events = Vec::new();
        if due {
            self.dirty = Dirty::Clean;
            self.published_at = now;
            self.members = self.build(now);
            events.push(Event::Changed(self.members.clone()));
        }
        events.append(&mut self.out);
        events
    }

    /// Tells the ring neighbours at once that this VM changed its state.
    fn announce(&mut self) {
        for distance in [1, 2] {
            let others = self.table.live(&self.own.vm.data_centre);
            let others = others.map(|record| &record.member.vm);
            if let Some(vm) = rendezvous::successor(&self.own.vm, others, distance).cloned() {
                self.send_notice(&vm);
            }
        }
    }
}
