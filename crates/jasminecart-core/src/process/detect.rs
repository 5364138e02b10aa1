//! Detection of members that do not answer.

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

/// The most probes relayed for others at a time.
const MAX_RELAYED: usize = 256;
/// A direct message within this time outweighs the claim of another member that the sender is dead. It is
/// below the shortest suspicion, so that a true death is accepted.
const HEARD_RECENTLY: Millis = Millis(2_000);

/// How long a suspicion of others may outlast its span before this VM suspects the member itself. Without
/// this, a VM that had missed the removal among 105 members at 20 % loss kept the suspect for 11 s.
const TAKE_OVER_AFTER: Millis = Millis(1_000);

#[derive(Debug)]
struct Probe {
    target: VmId,
    started: Millis,
    repeated: bool,
}

/// A suspicion that rests on probes of this VM.
#[derive(Debug)]
struct Suspicion {
    started: Millis,
    until: Millis,
    next_probe: Millis,
}

#[derive(Debug)]
struct RelayedProbe {
    for_vm: VmId,
    for_seq: u32,
    target: VmId,
    started: Millis,
}

/// The probes and suspicions of this VM.
#[derive(Debug, Default)]
pub(super) struct Detector {
    next_probe: Millis,
    slot: u32,
    seq: u32,
    round: Vec<VmId>,
    probes: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    suspicions: BTreeMap<VmId, Suspicion>,
}

impl Detector {
    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Drops what a pause of this process made meaningless: answers may wait unread in a queue.
    fn restart(&mut self, now: Millis, suspicion: Millis, probe_period: Millis) {
        self.probes.clear();
        self.relayed.clear();
        self.next_probe = now;
        for open in self.suspicions.values_mut() {
            *open = Suspicion { started: now, until: now + suspicion, next_probe: now };
            open.next_probe += probe_period;
        }
    }
}

impl Membership {
    /// Restarts all probes and suspicions after a pause of this process.
    pub(super) fn restart_detection(&mut self, now: Millis) {
        let suspicion = self.suspicion_span();
        self.detector.restart(now, suspicion, self.limits.suspicion_probe_period);
        for record in self.table.records.values_mut() {
            if record.status == Status::Suspect {
                record.since = now;
            }
        }
    }

    /// Starts probes that are due and evaluates those that got no answer.
    pub(super) fn detect(&mut self, now: Millis) {
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

    fn suspicion_span(&self) -> Millis {
        self.limits.suspicion(self.count())
    }

    /// Chooses the next member to probe: two ring neighbours, then a member of a shuffled round.
    fn next_target(&mut self) -> Option<VmId> {
        self.detector.slot = self.detector.slot.wrapping_add(1);
        let me = &self.own.vm;
        let distance = (self.detector.slot % 3) as usize;
        if distance > 0 {
            // Suspects are probed apart. Without them in the ring, their neighbours hear from enough others to
            // stay fresh.
            let live = self.table.live(&me.data_centre);
            let answering = live.filter(|record| record.status == Status::Alive);
            let others = answering.map(|record| &record.member.vm);
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

    /// Sends a ping outside of the schedule, so that a VM learns of a claim about itself or of a change.
    pub(super) fn send_notice(&mut self, target: &VmId) {
        let seq = self.detector.next_seq();
        self.send_ping(seq, target);
    }

    fn send_ping(&mut self, seq: u32, target: &VmId) {
        let (head, updates) = (self.own.head(), self.updates_for(target));
        self.send(target, MemberMessage::Ping { seq, head, updates });
    }

    fn check_probes(&mut self, now: Millis) {
        let timeout = self.limits.probe_timeout;
        let (ended, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.detector.probes)
            .into_iter()
            .partition(|(_, probe)| now.since(probe.started) >= timeout);
        self.detector.probes.extend(open);
        for (_, probe) in ended {
            if !self.was_heard_since(&probe.target, probe.started) {
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
            self.probe_all_ways(seq, &target);
        }
    }

    /// Probes a member directly and through other members.
    fn probe_all_ways(&mut self, seq: u32, target: &VmId) {
        self.counters.indirect_probes += 1;
        self.send_ping(seq, target);
        let live = self
            .table
            .live(&self.own.vm.data_centre)
            .filter(|record| record.member.vm != *target && record.status == Status::Alive);
        let mut helpers: Vec<VmId> = live.map(|record| record.member.vm.clone()).collect();
        let (chosen, _) = helpers.partial_shuffle(&mut self.rng, self.limits.relays);
        for helper in chosen {
            let updates = self.claim_about(target).into_iter().collect();
            let (head, target) = (self.own.head(), target.name.clone());
            self.send(helper, MemberMessage::Relay { seq, target, head, updates });
        }
    }

    fn was_heard_since(&self, vm: &VmId, then: Millis) -> bool {
        self.table.get(vm).is_some_and(|record| record.member.heard_at > then)
    }

    /// Suspects a member that did not answer a probe of this VM.
    fn suspect(&mut self, now: Millis, vm: &VmId) {
        let Some(record) = self.table.get(vm) else { return };
        if !record.is_live() || self.detector.suspicions.contains_key(vm) {
            return;
        }
        self.counters.suspicions += 1;
        let until = now + self.suspicion_span();
        let open = Suspicion { started: now, until, next_probe: now };
        self.detector.suspicions.insert(vm.clone(), open);
        let update = record.update(&self.own.vm.data_centre, Claim::Suspect);
        self.apply(now, vm, &update);
    }

    /// Goes on probing suspected members, and removes those that stayed silent.
    fn check_suspicions(&mut self, now: Millis) {
        for vm in self.detector.suspicions.keys().cloned().collect::<Vec<_>>() {
            let Some(open) = self.detector.suspicions.get_mut(&vm) else { continue };
            let (started, until) = (open.started, open.until);
            let probe_due = now >= open.next_probe;
            if probe_due {
                open.next_probe = now + self.limits.suspicion_probe_period;
            }
            let live = self.table.get(&vm).is_some_and(|record| record.is_live());
            if !live || self.was_heard_since(&vm, started) {
                self.detector.suspicions.remove(&vm);
            } else if now >= until {
                self.remove_silent(now, &vm, started);
            } else if probe_due {
                let seq = self.detector.next_seq();
                self.probe_all_ways(seq, &vm);
                let probe = Probe { target: vm, started: now, repeated: true };
                self.detector.probes.insert(seq, probe);
            }
        }
    }

    /// Removes a silent member, unless this VM may be the one that is cut off.
    fn remove_silent(&mut self, now: Millis, vm: &VmId, started: Millis) {
        let within = self.limits.contact_within;
        let in_contact = self.table.live(&self.own.vm.data_centre).any(|record| {
            record.member.vm != *vm
                && record.member.heard_at > Millis::ZERO
                && now.since(record.member.heard_at) <= within
        });
        if !in_contact && !self.contacts.is_gone(vm, &self.own.vm, started) {
            self.counters.isolated += 1;
            if let Some(open) = self.detector.suspicions.get_mut(vm) {
                open.until = now + within;
            }
            return;
        }
        self.detector.suspicions.remove(vm);
        invariant!(
            !self.is_resuming(now),
            "{vm} was removed by a process that has just resumed after a pause"
        );
        invariant!(
            !self.was_heard_since(vm, started),
            "{vm} was removed although it was heard during the suspicion"
        );
        let Some(record) = self.table.get(vm) else { return };
        let update = record.update(&self.own.vm.data_centre, Claim::Dead);
        self.counters.deaths += 1;
        self.apply(now, vm, &update);
    }

    /// Takes over suspicions of others that neither ended in a removal nor were refuted.
    fn take_over_suspicions(&mut self, now: Millis) {
        let span = self.suspicion_span() + TAKE_OVER_AFTER;
        let data_centre = self.own.vm.data_centre.clone();
        let open = self
            .table
            .live(&data_centre)
            .filter(|record| record.status == Status::Suspect && now.since(record.since) >= span);
        for vm in open.map(|record| record.member.vm.clone()).collect::<Vec<_>>() {
            if let Some(record) = self.table.records.get_mut(&vm) {
                record.since = now;
            }
            self.suspect(now, &vm);
        }
    }

    /// Tells whether a claim that a member is dead contradicts a recent direct message of it.
    pub(super) fn contradicts(&self, now: Millis, vm: &VmId, update: &Update) -> bool {
        let Some(record) = self.table.get(vm) else { return false };
        update.claim == Claim::Dead
            && vm.data_centre == self.own.vm.data_centre
            && record.is_live()
            && record.member.incarnation == update.incarnation
            && record.member.heard_at > Millis::ZERO
            && now.since(record.member.heard_at) < HEARD_RECENTLY
    }

    /// Treats the claim that a member heard recently is dead as a suspicion of this VM, whose probes tell
    /// the member of it. The claim may be true, and then nobody would repeat it to this VM.
    pub(super) fn recheck(&mut self, now: Millis, vm: &VmId, update: &Update) {
        let update = Update { claim: Claim::Suspect, ..update.clone() };
        self.apply(now, vm, &update);
        self.suspect(now, vm);
    }

    /// Ends the probes and suspicions of a member that a new statement has made void.
    pub(super) fn clear_suspicion(&mut self, vm: &VmId) {
        self.detector.suspicions.remove(vm);
        self.detector.probes.retain(|_, probe| probe.target != *vm);
    }

    /// Tells whether a probe waits for its answer. A pause of this process ends all probes.
    pub(super) fn is_open(&self, seq: u32) -> bool {
        self.detector.probes.contains_key(&seq)
    }

    /// Takes the answer to a probe, which may have been relayed for another member.
    pub(super) fn on_ack(&mut self, from: &VmId, seq: u32, answer: Head) {
        if self.detector.probes.get(&seq).is_some_and(|probe| probe.target == *from) {
            self.detector.probes.remove(&seq);
        }
        let Some(relayed) = self.detector.relayed.remove(&seq) else { return };
        if relayed.target != *from {
            return;
        }
        let (head, target) = (self.own.head(), from.name.clone());
        let message = MemberMessage::Relayed { seq: relayed.for_seq, target, answer, head };
        self.send(&relayed.for_vm, message);
    }

    /// Takes the answer of a member that reached this VM through another one.
    pub(super) fn on_relayed(&mut self, now: Millis, target: &VmId, seq: u32, answer: Head) {
        let known = self.detector.probes.get(&seq).is_some_and(|probe| probe.target == *target);
        if !known {
            return;
        }
        self.detector.probes.remove(&seq);
        self.detector.suspicions.remove(target);
        self.apply_head(now, target, answer);
    }

    /// Probes a member on behalf of another one.
    pub(super) fn on_relay(&mut self, now: Millis, from: &VmId, seq: u32, target: &Name) {
        let target = VmId { data_centre: self.own.vm.data_centre.clone(), name: target.clone() };
        if !self.table.records.contains_key(&target) || self.detector.relayed.len() >= MAX_RELAYED {
            return;
        }
        if let Some(claim) = self.claim_about(&target).filter(|claim| claim.claim == Claim::Dead) {
            // The sender missed the removal, so it gets the claim besides the answer of the member, if any.
            let (seq, head) = (self.detector.next_seq(), self.own.head());
            self.send(from, MemberMessage::Ping { seq, head, updates: vec![claim] });
        }
        let own_seq = self.detector.next_seq();
        let (for_vm, started) = (from.clone(), now);
        let relayed = RelayedProbe { for_vm, for_seq: seq, target: target.clone(), started };
        self.detector.relayed.insert(own_seq, relayed);
        self.send_ping(own_seq, &target);
    }

    /// Spreads the first probe over the period, so that VMs started together do not probe in step.
    pub(super) fn schedule(&mut self) {
        let period = self.limits.probe_period.0.max(1);
        self.detector.next_probe = Millis(self.rng.random_range(0..period));
    }
}
