//! What is known of each VM, and which claim prevails over which.

use std::collections::BTreeMap;

use super::members::{Member, MemberState};
use super::rendezvous;
use super::wire::{Claim, Head, Stated, Update};
use crate::names::{Incarnation, Name, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// The claim of others about a VM, in the order in which one prevails over the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Status {
    Alive,
    Suspect,
    Dead,
}

/// What is known of a VM.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The VM; `state` is filled in when the list is published.
    pub(super) member: Member,
    pub(super) counter: u32,
    pub(super) stated: Stated,
    pub(super) status: Status,
    /// When the status was last changed.
    pub(super) since: Millis,
    /// The most recent unplanned deaths, for the hold-down.
    pub(super) deaths: Vec<Millis>,
}

impl Record {
    pub(super) fn is_live(&self) -> bool {
        self.status != Status::Dead
    }

    /// Returns the state as the other modules see it. A suspicion is shown only of active members, because
    /// a suspect may own flows and a joining or leaving member may not.
    pub(super) fn state(&self) -> MemberState {
        match (self.status, self.stated) {
            (Status::Dead, _) => MemberState::Dead,
            (_, Stated::Joining | Stated::Held) => MemberState::Joining,
            (_, Stated::Leaving) => MemberState::Leaving,
            (Status::Suspect, Stated::Active) => MemberState::Suspect,
            (Status::Alive, Stated::Active) => MemberState::Active,
        }
    }

    /// Returns the claim of others about this VM, as an update for `reader`.
    pub(super) fn claim(&self, reader: &Name) -> Option<Update> {
        let claim = match self.status {
            Status::Alive => return None,
            Status::Suspect => Claim::Suspect,
            Status::Dead => Claim::Dead,
        };
        Some(self.update(reader, claim))
    }

    /// Returns the VM's own statement, as an update for `reader`.
    pub(super) fn statement(&self, reader: &Name) -> Update {
        let Member { size, address, revision, .. } = self.member;
        self.update(reader, Claim::State { stated: self.stated, size, address, revision })
    }

    pub(super) fn update(&self, reader: &Name, claim: Claim) -> Update {
        let vm = &self.member.vm;
        Update {
            data_centre: (vm.data_centre != *reader).then(|| vm.data_centre.clone()),
            name: vm.name.clone(),
            incarnation: self.member.incarnation,
            counter: self.counter,
            claim,
        }
    }

    fn note_death(&mut self, now: Millis) {
        self.deaths.push(now);
        if self.deaths.len() > 16 {
            self.deaths.remove(0);
        }
    }
}

/// What an update changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// Nothing, or nothing that is passed on.
    Nothing,
    /// The VM was unknown, or a new process of it replaced the previous one.
    Joined,
    /// The VM refuted a suspicion or its death.
    Refuted,
    /// The VM changed its own statement.
    Stated,
    /// The VM is suspected.
    Suspected,
    /// The VM was removed; `planned` when it was leaving.
    Died { planned: bool },
    /// The VM has a newer document.
    Revision,
}

/// The VMs known, this one excluded.
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

    /// Returns the hash of the live members of a data centre, with `own` as one more entry. Revisions count
    /// only `with_revisions`: they are spread within a data centre and not beyond.
    pub(super) fn hash(
        &self,
        data_centre: &Name,
        own: Option<(&VmId, Head)>,
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
        let own = own.map(|(vm, head)| entry(vm, head.incarnation, head.counter, head.revision));
        others.chain(own).fold(0, |sum, hash| sum ^ hash)
    }

    /// Applies an update about another VM.
    pub(super) fn apply(&mut self, now: Millis, vm: &VmId, update: &Update, max: usize) -> Applied {
        match update.claim {
            Claim::State { .. } => self.apply_state(now, vm, update, max),
            Claim::Suspect => self.apply_suspect(now, vm, update),
            Claim::Dead => self.apply_dead(now, vm, update),
            Claim::Revision(revision) => {
                let Some(record) = self.records.get_mut(vm) else { return Applied::Nothing };
                let newer = revision > record.member.revision;
                if record.member.incarnation != update.incarnation || !newer {
                    return Applied::Nothing;
                }
                record.member.revision = revision;
                Applied::Revision
            }
        }
    }

    fn apply_state(&mut self, now: Millis, vm: &VmId, update: &Update, max: usize) -> Applied {
        let Claim::State { stated, size, address, revision } = update.claim else {
            return Applied::Nothing;
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
            return if full { Applied::Nothing } else { Applied::Joined };
        };
        let restarted = update.incarnation > record.member.incarnation;
        let newer =
            (update.incarnation, update.counter) > (record.member.incarnation, record.counter);
        if !newer {
            let same = record.member.incarnation == update.incarnation;
            if same && revision > record.member.revision {
                record.member.revision = revision;
                return Applied::Revision;
            }
            return Applied::Nothing;
        }
        if restarted && record.is_live() && record.stated != Stated::Leaving {
            record.note_death(now);
        }
        let refuted = record.status != Status::Alive;
        let member = &mut record.member;
        member.revision = if restarted { revision } else { member.revision.max(revision) };
        member.heard_at = if restarted { Millis::ZERO } else { member.heard_at };
        (member.incarnation, member.size, member.address) = (update.incarnation, size, address);
        (record.counter, record.stated) = (update.counter, stated);
        (record.status, record.since) = (Status::Alive, now);
        match (restarted, refuted) {
            (true, _) => Applied::Joined,
            (false, true) => Applied::Refuted,
            (false, false) => Applied::Stated,
        }
    }

    fn apply_suspect(&mut self, now: Millis, vm: &VmId, update: &Update) -> Applied {
        let Some(record) = self.records.get_mut(vm) else { return Applied::Nothing };
        let same = record.member.incarnation == update.incarnation;
        let current = same && update.counter >= record.counter;
        let stronger = update.counter > record.counter || record.status < Status::Suspect;
        if !current || !stronger {
            return Applied::Nothing;
        }
        record.counter = update.counter;
        if record.status == Status::Suspect {
            return Applied::Stated;
        }
        (record.status, record.since) = (Status::Suspect, now);
        Applied::Suspected
    }

    fn apply_dead(&mut self, now: Millis, vm: &VmId, update: &Update) -> Applied {
        let Some(record) = self.records.get_mut(vm) else { return Applied::Nothing };
        let claimed = (update.incarnation, update.counter);
        if claimed < (record.member.incarnation, record.counter) || !record.is_live() {
            return Applied::Nothing;
        }
        let planned = record.stated == Stated::Leaving;
        if !planned {
            record.note_death(now);
        }
        (record.member.incarnation, record.counter) = claimed;
        (record.status, record.since) = (Status::Dead, now);
        Applied::Died { planned }
    }

    /// Forgets VMs that have been dead for longer than `kept`, and returns them.
    pub(super) fn expire(&mut self, now: Millis, kept: Millis) -> Vec<VmId> {
        let old = |record: &&Record| !record.is_live() && now.since(record.since) >= kept;
        let expired: Vec<VmId> =
            self.records.values().filter(old).map(|record| record.member.vm.clone()).collect();
        for vm in &expired {
            self.records.remove(vm);
        }
        expired
    }
}
