//! SWIM failure detection: probes, indirect probes and suspicions.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::membership::Membership;
use super::rendezvous;
use super::table::Status;
use super::wire::{Claim, Head, MemberMessage, Update};
use crate::invariant;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// Upper bound on the indirect probes in progress on behalf of other members.
const MAX_RELAYED: usize = 256;
/// A direct message from a member within this time overrides another member's report of its death.
/// It is below the shortest suspicion timeout, so that the report of a real death is accepted.
const RECENT_CONTACT: Millis = Millis(2_000);

/// How long a suspicion raised by another member may outlast its timeout before this VM suspects
/// the member itself. Without it, at 20 % loss among 105 members, a VM that missed the removal kept
/// the suspect for 11 s.
const SUSPICION_TAKEOVER_DELAY: Millis = Millis(1_000);

#[derive(Debug)]
struct Probe {
    target: VmId,
    started: Millis,
    /// Whether the probe was repeated directly and indirectly.
    repeated: bool,
}

/// A suspicion based on unanswered probes of this VM.
#[derive(Debug)]
struct Suspicion {
    started: Millis,
    until: Millis,
    next_probe: Millis,
}

/// An indirect probe that this VM sends on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    requester: VmId,
    requester_seq: u32,
    target: VmId,
    started: Millis,
}

/// The probes in progress and the suspicions of this VM.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    next_probe: Millis,
    probe_count: u32,
    seq: u32,
    /// The members left in the current shuffled round of probes.
    round: Vec<VmId>,
    probes: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    suspicions: BTreeMap<VmId, Suspicion>,
}

impl FailureDetector {
    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Drops open probes and restarts suspicion timers after a pause of this process, since
    /// responses may still wait unread in a queue.
    fn restart(&mut self, now: Millis, timeout: Millis, probe_period: Millis) {
        self.probes.clear();
        self.relayed.clear();
        self.next_probe = now;
        for entry in self.suspicions.values_mut() {
            *entry = Suspicion { started: now, until: now + timeout, next_probe: now };
            entry.next_probe += probe_period;
        }
    }
}

impl Membership {
    /// Restarts all probes and suspicion timers after a pause of this process.
    pub(super) fn restart_failure_detection(&mut self, now: Millis) {
        let timeout = self.suspicion_timeout();
        self.detector.restart(now, timeout, self.limits.suspicion_probe_period);
        for record in self.table.records.values_mut() {
            if record.status == Status::Suspect {
                record.since = now;
            }
        }
    }

    /// Starts the probes that are due and handles those that timed out.
    pub(super) fn detect_failures(&mut self, now: Millis) {
        if now >= self.detector.next_probe {
            let next = self.detector.next_probe + self.limits.probe_period;
            self.detector.next_probe =
                if next > now { next } else { now + self.limits.probe_period };
            if let Some(target) = self.next_target() {
                self.start_probe(now, target);
            }
        }
        self.check_probes(now);
        self.check_suspicions(now);
        self.take_over_suspicions(now);
        let timeout = self.limits.probe_timeout;
        self.detector.relayed.retain(|_, relayed| now.since(relayed.started) < timeout);
    }

    fn suspicion_timeout(&self) -> Millis {
        self.limits.suspicion_timeout(self.live_count())
    }

    /// Returns the next member to probe: the first ring neighbour, the second, then the next member
    /// of a shuffled round.
    fn next_target(&mut self) -> Option<VmId> {
        self.detector.probe_count = self.detector.probe_count.wrapping_add(1);
        let me = &self.local_member.vm;
        let distance = (self.detector.probe_count % 3) as usize;
        if distance > 0 {
            // Suspects have their own probe schedule. Leaving them out of the ring gives their
            // neighbours enough contact with other members to stay fresh.
            let live = self.table.live(&me.data_centre);
            let alive = live.filter(|record| record.status == Status::Alive);
            let others = alive.map(|record| &record.member.vm);
            if let Some(vm) = rendezvous::successor(me, others, distance) {
                return Some(vm.clone());
            }
        }
        for refilled in [false, true] {
            while let Some(vm) = self.detector.round.pop() {
                if self.table.get(&vm).is_some_and(|record| record.is_live()) {
                    return Some(vm);
                }
            }
            if !refilled {
                let live = self.table.live(&me.data_centre);
                self.detector.round = live.map(|record| record.member.vm.clone()).collect();
                self.detector.round.shuffle(&mut self.rng);
            }
        }
        None
    }

    fn start_probe(&mut self, now: Millis, target: VmId) {
        let seq = self.detector.next_seq();
        self.counters.probes += 1;
        self.send_ping(seq, &target);
        self.detector.probes.insert(seq, Probe { target, started: now, repeated: false });
    }

    /// Sends a ping outside the probe schedule, to notify a VM of a suspicion or death reported
    /// about it, or of a state change of this VM.
    pub(super) fn send_unscheduled_ping(&mut self, target: &VmId) {
        let seq = self.detector.next_seq();
        self.send_ping(seq, target);
    }

    fn send_ping(&mut self, seq: u32, target: &VmId) {
        let (head, updates) = (self.local_member.head(), self.updates_for(target));
        self.send(target, MemberMessage::Ping { seq, head, updates });
    }

    fn check_probes(&mut self, now: Millis) {
        let timeout = self.limits.probe_timeout;
        let (expired, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.detector.probes)
            .into_iter()
            .partition(|(_, probe)| now.since(probe.started) >= timeout);
        self.detector.probes.extend(pending);
        for (_, probe) in expired {
            if !self.has_contact_since(&probe.target, probe.started) {
                self.suspect(now, &probe.target);
            }
        }
        let late = |probe: &Probe| now.since(probe.started) >= self.limits.ack_timeout;
        let due = self.detector.probes.iter().filter(|(_, probe)| !probe.repeated && late(probe));
        let due: Vec<(u32, VmId)> = due.map(|(seq, probe)| (*seq, probe.target.clone())).collect();
        for (seq, target) in due {
            if let Some(probe) = self.detector.probes.get_mut(&seq) {
                probe.repeated = true;
            }
            self.probe_indirectly(seq, &target);
        }
    }

    /// Repeats a probe directly and through randomly chosen members, as SWIM's indirect probe does.
    fn probe_indirectly(&mut self, seq: u32, target: &VmId) {
        self.counters.indirect_probes += 1;
        self.send_ping(seq, target);
        let live = self
            .table
            .live(&self.local_member.vm.data_centre)
            .filter(|record| record.member.vm != *target && record.status == Status::Alive);
        let mut candidates: Vec<VmId> = live.map(|record| record.member.vm.clone()).collect();
        let (chosen, _) =
            candidates.partial_shuffle(&mut self.rng, self.limits.indirect_probe_relays);
        for relay in chosen {
            let updates = self.failure_update_for(target).into_iter().collect();
            let (head, target) = (self.local_member.head(), target.name.clone());
            self.send(relay, MemberMessage::Relay { seq, target, head, updates });
        }
    }

    fn has_contact_since(&self, vm: &VmId, then: Millis) -> bool {
        self.table.get(vm).is_some_and(|record| record.member.heard_at > then)
    }

    /// Raises a suspicion of a member, unless this VM already suspects it.
    fn suspect(&mut self, now: Millis, vm: &VmId) {
        let Some(record) = self.table.get(vm) else { return };
        if !record.is_live() || self.detector.suspicions.contains_key(vm) {
            return;
        }
        self.counters.suspicions += 1;
        let until = now + self.suspicion_timeout();
        let suspicion = Suspicion { started: now, until, next_probe: now };
        self.detector.suspicions.insert(vm.clone(), suspicion);
        let update = record.update(&self.local_member.vm.data_centre, Claim::Suspect);
        self.apply(now, vm, &update);
    }

    /// Probes suspected members again, and declares dead those that did not respond before the
    /// timeout.
    fn check_suspicions(&mut self, now: Millis) {
        for vm in self.detector.suspicions.keys().cloned().collect::<Vec<_>>() {
            let Some(suspicion) = self.detector.suspicions.get_mut(&vm) else { continue };
            let (started, until) = (suspicion.started, suspicion.until);
            let probe_due = now >= suspicion.next_probe;
            if probe_due {
                suspicion.next_probe = now + self.limits.suspicion_probe_period;
            }
            let live = self.table.get(&vm).is_some_and(|record| record.is_live());
            if !live || self.has_contact_since(&vm, started) {
                self.detector.suspicions.remove(&vm);
            } else if now >= until {
                self.declare_dead(now, &vm, started);
            } else if probe_due {
                let seq = self.detector.next_seq();
                self.probe_indirectly(seq, &vm);
                let probe = Probe { target: vm, started: now, repeated: true };
                self.detector.probes.insert(seq, probe);
            }
        }
    }

    /// Declares a member dead that did not refute the suspicion, unless this VM may be the one that
    /// is partitioned.
    fn declare_dead(&mut self, now: Millis, vm: &VmId, started: Millis) {
        let timeout = self.limits.isolation_timeout;
        let in_contact = self.table.live(&self.local_member.vm.data_centre).any(|record| {
            record.member.vm != *vm
                && record.member.heard_at > Millis::ZERO
                && now.since(record.member.heard_at) <= timeout
        });
        if !in_contact && !self.contacts.was_unlisted_since(vm, &self.local_member.vm, started) {
            self.counters.isolated += 1;
            if let Some(suspicion) = self.detector.suspicions.get_mut(vm) {
                suspicion.until = now + timeout;
            }
            return;
        }
        self.detector.suspicions.remove(vm);
        invariant!(
            !self.is_resuming(now),
            "{vm} was removed by a process that has just resumed after a pause"
        );
        invariant!(
            !self.has_contact_since(vm, started),
            "{vm} was removed although it sent a message during the suspicion"
        );
        let Some(record) = self.table.get(vm) else { return };
        let update = record.update(&self.local_member.vm.data_centre, Claim::Dead);
        self.counters.deaths += 1;
        self.apply(now, vm, &update);
    }

    /// Takes over suspicions raised by other members that ended neither in a removal nor in a
    /// refutation.
    fn take_over_suspicions(&mut self, now: Millis) {
        let timeout = self.suspicion_timeout() + SUSPICION_TAKEOVER_DELAY;
        let data_centre = self.local_member.vm.data_centre.clone();
        let unresolved = self.table.live(&data_centre).filter(|record| {
            record.status == Status::Suspect && now.since(record.since) >= timeout
        });
        for vm in unresolved.map(|record| record.member.vm.clone()).collect::<Vec<_>>() {
            if let Some(record) = self.table.records.get_mut(&vm) {
                record.since = now;
            }
            self.suspect(now, &vm);
        }
    }

    /// Returns whether an update reports a member dead that sent a direct message recently.
    pub(super) fn contradicts_recent_contact(
        &self,
        now: Millis,
        vm: &VmId,
        update: &Update,
    ) -> bool {
        let Some(record) = self.table.get(vm) else { return false };
        update.claim == Claim::Dead
            && vm.data_centre == self.local_member.vm.data_centre
            && record.is_live()
            && record.member.incarnation == update.incarnation
            && record.member.heard_at > Millis::ZERO
            && now.since(record.member.heard_at) < RECENT_CONTACT
    }

    /// Handles the reported death of a member with recent contact as a suspicion of this VM. Its
    /// probes carry the suspicion to the member, which can refute it. The report is not dropped,
    /// because it may be true and nobody would repeat it to this VM.
    pub(super) fn suspect_instead(&mut self, now: Millis, vm: &VmId, update: &Update) {
        let update = Update { claim: Claim::Suspect, ..update.clone() };
        self.apply(now, vm, &update);
        self.suspect(now, vm);
    }

    /// Drops the probes and the suspicion of a member whose state was replaced by a newer one.
    pub(super) fn clear_suspicion(&mut self, vm: &VmId) {
        self.detector.suspicions.remove(vm);
        self.detector.probes.retain(|_, probe| probe.target != *vm);
    }

    /// Returns whether a probe waits for its ack. A pause of this process ends all probes.
    pub(super) fn is_probe_pending(&self, seq: u32) -> bool {
        self.detector.probes.contains_key(&seq)
    }

    /// Handles an ack, and relays it if the probe was sent on behalf of another member.
    pub(super) fn on_ack(&mut self, from: &VmId, seq: u32, answer: Head) {
        if self.detector.probes.get(&seq).is_some_and(|probe| probe.target == *from) {
            self.detector.probes.remove(&seq);
        }
        let Some(relayed) = self.detector.relayed.remove(&seq) else { return };
        if relayed.target != *from {
            return;
        }
        let (head, target) = (self.local_member.head(), from.name.clone());
        let message = MemberMessage::Relayed { seq: relayed.requester_seq, target, answer, head };
        self.send(&relayed.requester, message);
    }

    /// Handles an ack to an indirect probe, relayed by another member.
    pub(super) fn on_relayed(&mut self, now: Millis, target: &VmId, seq: u32, answer: Head) {
        let known = self.detector.probes.get(&seq).is_some_and(|probe| probe.target == *target);
        if !known {
            return;
        }
        self.detector.probes.remove(&seq);
        self.detector.suspicions.remove(target);
        self.apply_head(now, target, answer);
    }

    /// Handles the request of another member for an indirect probe.
    pub(super) fn on_relay(&mut self, now: Millis, from: &VmId, seq: u32, target: &Name) {
        let target =
            VmId { data_centre: self.local_member.vm.data_centre.clone(), name: target.clone() };
        if !self.table.records.contains_key(&target) || self.detector.relayed.len() >= MAX_RELAYED {
            return;
        }
        if let Some(death) =
            self.failure_update_for(&target).filter(|update| update.claim == Claim::Dead)
        {
            // The requester missed the removal, so it is notified of it. The target is still
            // probed, and its ack, if any, is relayed.
            let (seq, head) = (self.detector.next_seq(), self.local_member.head());
            self.send(from, MemberMessage::Ping { seq, head, updates: vec![death] });
        }
        let own_seq = self.detector.next_seq();
        let (requester, started) = (from.clone(), now);
        let relayed =
            RelayedProbe { requester, requester_seq: seq, target: target.clone(), started };
        self.detector.relayed.insert(own_seq, relayed);
        self.send_ping(own_seq, &target);
    }

    /// Schedules the first probe at a random time within the period, so that VMs started together
    /// do not probe in step.
    pub(super) fn schedule_first_probe(&mut self) {
        let period = self.limits.probe_period.0.max(1);
        self.detector.next_probe = Millis(self.rng.random_range(0..period));
    }
}
