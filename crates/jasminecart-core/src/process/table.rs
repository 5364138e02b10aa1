//! The state of every known VM, and the precedence of updates.

use std::collections::BTreeMap;

use super::members::{Member, MemberState};
use super::rendezvous;
use super::wire::{Claim, DeclaredState, Head, Update};
use crate::names::{Incarnation, Name, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// What other members report about a VM, in ascending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Status {
    Alive,
    Suspect,
    Dead,
}

/// The state of a known VM.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The VM; `state` is filled in when the list is published.
    pub(super) member: Member,
    /// The counter of the VM's declared state, see [`Head::counter`].
    pub(super) counter: u32,
    pub(super) stated: DeclaredState,
    pub(super) status: Status,
    /// When the status last changed.
    pub(super) since: Millis,
    /// The most recent unplanned deaths, for the hold-down.
    pub(super) deaths: Vec<Millis>,
}

impl Record {
    pub(super) fn is_live(&self) -> bool {
        self.status != Status::Dead
    }

    /// Returns the published state. Only an active member is published as a suspect, because a
    /// suspect may own flows and a joining or leaving member may not.
    pub(super) fn state(&self) -> MemberState {
        match (self.status, self.stated) {
            (Status::Dead, _) => MemberState::Dead,
            (_, DeclaredState::Joining | DeclaredState::Held) => MemberState::Joining,
            (_, DeclaredState::Leaving) => MemberState::Leaving,
            (Status::Suspect, DeclaredState::Active) => MemberState::Suspect,
            (Status::Alive, DeclaredState::Active) => MemberState::Active,
        }
    }

    /// Returns the update that reports this VM as suspected or dead, if it is. The update is sent
    /// from data centre `sender`.
    pub(super) fn failure_update(&self, sender: &Name) -> Option<Update> {
        let claim = match self.status {
            Status::Alive => return None,
            Status::Suspect => Claim::Suspect,
            Status::Dead => Claim::Dead,
        };
        Some(self.update(sender, claim))
    }

    /// Returns the update with the state that the VM declared, as sent from data centre `sender`.
    pub(super) fn state_update(&self, sender: &Name) -> Update {
        let Member { size, address, revision, .. } = self.member;
        self.update(sender, Claim::State { stated: self.stated, size, address, revision })
    }

    pub(super) fn update(&self, sender: &Name, claim: Claim) -> Update {
        let vm = &self.member.vm;
        Update {
            data_centre: (vm.data_centre != *sender).then(|| vm.data_centre.clone()),
            name: vm.name.clone(),
            incarnation: self.member.incarnation,
            counter: self.counter,
            claim,
        }
    }

    fn record_death(&mut self, now: Millis) {
        self.deaths.push(now);
        if self.deaths.len() > 16 {
            self.deaths.remove(0);
        }
    }
}

/// The effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateEffect {
    /// Nothing changed that has to be disseminated.
    Unchanged,
    /// The VM was unknown, or a new process replaced its previous one.
    Joined,
    /// The VM refuted its suspicion or death.
    Refuted,
    /// The VM declared a newer state, or the suspicion applies to a newer state than before.
    StateChanged,
    /// The VM is suspected.
    Suspected,
    /// The VM was declared dead; `planned` if it was leaving.
    Died { planned: bool },
    /// The VM reported a newer document revision.
    Revision,
}

/// The known VMs, without this one.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) records: BTreeMap<VmId, Record>,
}

impl Table {
    pub(super) fn get(&self, vm: &VmId) -> Option<&Record> {
        self.records.get(vm)
    }

    /// Returns the live members of a data centre.
    pub(super) fn live<'a>(&'a self, data_centre: &'a Name) -> impl Iterator<Item = &'a Record> {
        let here = move |record: &&Record| record.member.vm.data_centre == *data_centre;
        self.records.values().filter(|record| record.is_live()).filter(here)
    }

    /// Returns the hash of the live members of a data centre, with `local` as one more entry.
    /// Revisions are included only if `with_revisions` is set, because they are not sent beyond
    /// their data centre.
    pub(super) fn hash(
        &self,
        data_centre: &Name,
        local: Option<(&VmId, Head)>,
        with_revisions: bool,
    ) -> u64 {
        let entry = |vm: &VmId, incarnation: Incarnation, counter: u32, revision: Revision| {
            let revision = if with_revisions { revision } else { Revision(0) };
            rendezvous::hash((vm, incarnation, counter, revision))
        };
        let others = self.live(data_centre).map(|record| {
            let Member { vm, incarnation, revision, .. } = &record.member;
            entry(vm, *incarnation, record.counter, *revision)
        });
        let local =
            local.map(|(vm, head)| entry(vm, head.incarnation, head.counter, head.revision));
        others.chain(local).fold(0, |sum, hash| sum ^ hash)
    }

    /// Applies an update about another VM.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        vm: &VmId,
        update: &Update,
        max: usize,
    ) -> UpdateEffect {
        match update.claim {
            Claim::State { .. } => self.apply_state(now, vm, update, max),
            Claim::Suspect => self.apply_suspect(now, vm, update),
            Claim::Dead => self.apply_dead(now, vm, update),
            Claim::Revision(revision) => {
                let Some(record) = self.records.get_mut(vm) else { return UpdateEffect::Unchanged };
                let newer = revision > record.member.revision;
                if record.member.incarnation != update.incarnation || !newer {
                    return UpdateEffect::Unchanged;
                }
                record.member.revision = revision;
                UpdateEffect::Revision
            }
        }
    }

    fn apply_state(&mut self, now: Millis, vm: &VmId, update: &Update, max: usize) -> UpdateEffect {
        let Claim::State { stated, size, address, revision } = update.claim else {
            return UpdateEffect::Unchanged;
        };
        let full = self.records.len() >= max;
        let Some(record) = self.records.get_mut(vm) else {
            if !full {
                let member = Member {
                    vm: vm.clone(),
                    incarnation: update.incarnation,
                    state: MemberState::Joining,
                    size,
                    address,
                    revision,
                    heard_at: Millis::ZERO,
                };
                let (counter, status) = (update.counter, Status::Alive);
                let deaths = Vec::new();
                let record = Record { member, counter, stated, status, since: now, deaths };
                self.records.insert(vm.clone(), record);
            }
            return if full { UpdateEffect::Unchanged } else { UpdateEffect::Joined };
        };
        let restarted = update.incarnation > record.member.incarnation;
        let newer =
            (update.incarnation, update.counter) > (record.member.incarnation, record.counter);
        if !newer {
            let same = record.member.incarnation == update.incarnation;
            if same && revision > record.member.revision {
                record.member.revision = revision;
                return UpdateEffect::Revision;
            }
            return UpdateEffect::Unchanged;
        }
        if restarted && record.is_live() && record.stated != DeclaredState::Leaving {
            record.record_death(now);
        }
        let refuted = record.status != Status::Alive;
        let member = &mut record.member;
        member.revision = if restarted { revision } else { member.revision.max(revision) };
        member.heard_at = if restarted { Millis::ZERO } else { member.heard_at };
        (member.incarnation, member.size, member.address) = (update.incarnation, size, address);
        (record.counter, record.stated) = (update.counter, stated);
        (record.status, record.since) = (Status::Alive, now);
        match (restarted, refuted) {
            (true, _) => UpdateEffect::Joined,
            (false, true) => UpdateEffect::Refuted,
            (false, false) => UpdateEffect::StateChanged,
        }
    }

    fn apply_suspect(&mut self, now: Millis, vm: &VmId, update: &Update) -> UpdateEffect {
        let Some(record) = self.records.get_mut(vm) else { return UpdateEffect::Unchanged };
        let same = record.member.incarnation == update.incarnation;
        let current = same && update.counter >= record.counter;
        let stronger = update.counter > record.counter || record.status < Status::Suspect;
        if !current || !stronger {
            return UpdateEffect::Unchanged;
        }
        record.counter = update.counter;
        if record.status == Status::Suspect {
            return UpdateEffect::StateChanged;
        }
        (record.status, record.since) = (Status::Suspect, now);
        UpdateEffect::Suspected
    }

    fn apply_dead(&mut self, now: Millis, vm: &VmId, update: &Update) -> UpdateEffect {
        let Some(record) = self.records.get_mut(vm) else { return UpdateEffect::Unchanged };
        let claimed = (update.incarnation, update.counter);
        if claimed < (record.member.incarnation, record.counter) || !record.is_live() {
            return UpdateEffect::Unchanged;
        }
        let planned = record.stated == DeclaredState::Leaving;
        if !planned {
            record.record_death(now);
        }
        (record.member.incarnation, record.counter) = claimed;
        (record.status, record.since) = (Status::Dead, now);
        UpdateEffect::Died { planned }
    }

    /// Removes and returns the VMs that have been dead for at least `retention`.
    pub(super) fn expire(&mut self, now: Millis, retention: Millis) -> Vec<VmId> {
        let old = |record: &&Record| !record.is_live() && now.since(record.since) >= retention;
        let expired: Vec<VmId> =
            self.records.values().filter(old).map(|record| record.member.vm.clone()).collect();
        for vm in &expired {
            self.records.remove(vm);
        }
        expired
    }
}
