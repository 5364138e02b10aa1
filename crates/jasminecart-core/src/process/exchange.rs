//! Comparison of whole tables: joining, healing after a partition, and summaries between data centres.

use std::collections::BTreeSet;

use rand::seq::{IndexedRandom, SliceRandom};

use super::membership::Membership;
use super::rendezvous;
use super::table::Record;
use super::wire::{MAX_DATA_CENTRES, MemberMessage, Stated, TABLE_UPDATES, TableHash, Update};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// How many seeds a VM without live members tries at a time.
const JOIN_CONTACTS: usize = 3;
/// The period of these tries.
const JOIN_PERIOD: Millis = Millis(500);
/// The period of comparisons in the first seconds of a process, which may have lost a part of the table.
const START_SYNC_PERIOD: Millis = Millis(2_000);
/// One of this many summaries goes to any known VM of a data centre, in case its chosen ones are all gone.
const ANY_VM_SUMMARY: u32 = 4;

/// When the next comparisons are due.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    started: Option<Millis>,
    next_sync: Millis,
    next_contact: Millis,
    next_summary: Millis,
    summaries: u32,
}

impl Schedule {
    /// Puts the next comparison with a member at `at`, after which a paused process catches up.
    pub(super) fn sync_at(&mut self, at: Millis) {
        self.next_sync = at;
    }
}

impl Membership {
    /// Starts the comparisons that are due.
    pub(super) fn exchange(&mut self, now: Millis) {
        if now >= self.schedule.next_contact {
            self.contact(now);
        }
        if now >= self.schedule.next_sync {
            let started = *self.schedule.started.get_or_insert(now);
            let started_recently = now.since(started) < self.limits.sync_period;
            self.schedule.next_sync =
                now + if started_recently { START_SYNC_PERIOD } else { self.limits.sync_period };
            let live = self.table.live(&self.own.vm.data_centre);
            let live: Vec<VmId> = live.map(|record| record.member.vm.clone()).collect();
            if let Some(vm) = live.choose(&mut self.rng) {
                self.send_sync(vm, false);
            }
        }
        if now >= self.schedule.next_summary {
            self.schedule.next_summary = now + self.limits.summary_period;
            self.summarise();
        }
    }

    /// Tries VMs that do not take part: seeds, listed VMs and dead members. This joins a new VM and heals
    /// a split data centre.
    fn contact(&mut self, now: Millis) {
        let data_centre = self.own.vm.data_centre.clone();
        let dead = self.table.records.values().filter(|record| {
            !record.is_live()
                && record.stated != Stated::Leaving
                && record.member.vm.data_centre == data_centre
        });
        let dead = dead.map(|record| &record.member.vm);
        let is_live = |vm: &&VmId| self.table.get(vm).is_some_and(Record::is_live);
        let listed = self.contacts.of(&data_centre).filter(|vm| !is_live(vm));
        let absent: BTreeSet<&VmId> = dead.chain(listed).filter(|vm| **vm != self.own.vm).collect();
        let mut absent: Vec<VmId> = absent.into_iter().cloned().collect();
        let alone = self.table.live(&data_centre).next().is_none();
        let (count, period) =
            if alone { (JOIN_CONTACTS, JOIN_PERIOD) } else { (1, self.limits.contact_period) };
        self.schedule.next_contact = now + period;
        let (chosen, _) = absent.partial_shuffle(&mut self.rng, count);
        for vm in chosen {
            self.send_sync(vm, false);
        }
    }

    /// Compares summaries with one VM of each other data centre, when this VM is one of those chosen.
    fn summarise(&mut self) {
        let own = &self.own.vm;
        let live = self.table.live(&own.data_centre);
        let staying = live.filter(|record| record.stated != Stated::Leaving);
        let staying = staying.map(|record| &record.member.vm).chain([own]);
        let chosen = rendezvous::ranked("summary", staying);
        if !chosen.into_iter().take(self.limits.summary_vms).any(|vm| vm == own) {
            return;
        }
        self.schedule.summaries = self.schedule.summaries.wrapping_add(1);
        let any_vm = self.schedule.summaries.is_multiple_of(ANY_VM_SUMMARY);
        for data_centre in self.other_data_centres() {
            let live: BTreeSet<&VmId> =
                self.table.live(&data_centre).map(|record| &record.member.vm).collect();
            let known = if live.is_empty() || any_vm {
                live.into_iter().chain(self.contacts.of(&data_centre)).collect()
            } else {
                live
            };
            let mut known = rendezvous::ranked("summary", known);
            if !any_vm {
                known.truncate(self.limits.summary_vms);
            }
            if let Some(vm) = known.choose(&mut self.rng).copied().cloned() {
                self.send_sync(&vm, false);
            }
        }
    }

    fn other_data_centres(&self) -> Vec<Name> {
        let own = &self.own.vm.data_centre;
        let known = self.table.records.keys().chain(self.contacts.all());
        let names: BTreeSet<&Name> =
            known.map(|vm| &vm.data_centre).filter(|name| *name != own).collect();
        names.into_iter().take(MAX_DATA_CENTRES - 1).cloned().collect()
    }

    /// Sends what this VM knows of each data centre as hashes.
    pub(super) fn send_sync(&mut self, to: &VmId, answer: bool) {
        let (head, me) = (self.own.head(), self.own.statement());
        let mut names = vec![self.own.vm.data_centre.clone()];
        names.extend(self.other_data_centres());
        let hash =
            |data_centre: Name| TableHash { hash: self.table_hash(&data_centre, to), data_centre };
        let tables = names.into_iter().map(hash).collect();
        self.send(to, MemberMessage::Sync { head, me, tables, answer });
    }

    /// Returns the hash of a table, as it is compared with `peer`.
    fn table_hash(&self, data_centre: &Name, peer: &VmId) -> u64 {
        let own = &self.own.vm.data_centre;
        let here = data_centre == own;
        let own_entry = here.then(|| (&self.own.vm, self.own.head()));
        self.table.hash(data_centre, own_entry, here && peer.data_centre == *own)
    }

    /// Answers a comparison with the tables that differ, and with a comparison in return. A VM of another
    /// data centre gets the table of this one only.
    pub(super) fn on_sync(&mut self, now: Millis, from: &VmId, tables: &[TableHash], answer: bool) {
        let own = self.own.vm.data_centre.clone();
        let hash_of = |name: &Name| {
            tables.iter().find(|table| table.data_centre == *name).map(|table| table.hash)
        };
        let differs = |this: &Membership, name: &Name| {
            hash_of(name).unwrap_or_default() != this.table_hash(name, from)
        };
        let mut compared = vec![own.clone()];
        if from.data_centre == own {
            compared.extend(self.other_data_centres());
        }
        compared.retain(|name| differs(self, name));
        let theirs_differ = differs(self, &from.data_centre);
        for name in &compared {
            self.send_table(now, from, name);
        }
        if !answer && (theirs_differ || !compared.is_empty()) {
            self.send_sync(from, true);
        }
    }

    fn send_table(&mut self, now: Millis, to: &VmId, data_centre: &Name) {
        let reader = &self.own.vm.data_centre;
        let inside = to.data_centre == *reader;
        let here = self
            .table
            .records
            .values()
            .filter(|record| record.member.vm.data_centre == *data_centre);
        let others = here.filter(|record| record.member.vm != *to).flat_map(|record| {
            let claim = record.claim(reader).filter(|_| inside || !record.is_live());
            let statement = record.is_live().then(|| record.statement(reader));
            statement.into_iter().chain(claim)
        });
        let own = (data_centre == reader).then(|| self.own.statement());
        let updates: Vec<Update> = others.chain(own).collect();
        let (head, hold) = (self.own.head(), self.hold_for(now, to));
        for part in updates.chunks(TABLE_UPDATES) {
            let updates = part.to_vec();
            self.send(to, MemberMessage::Table { head, updates, hold });
        }
    }

    /// Returns how long a VM has to wait before it owns anything, from the deaths of its name.
    fn hold_for(&self, now: Millis, vm: &VmId) -> Millis {
        let Some(record) = self.table.get(vm) else { return Millis::ZERO };
        let window = self.limits.flap_window;
        let deaths = record.deaths.iter().filter(|at| now.since(**at) < window).count();
        self.limits.hold(deaths)
    }
}
