//! Anti-entropy: comparison of whole tables. It serves joining, repair after a partition, and
//! summaries between data centres.

use std::collections::BTreeSet;

use rand::seq::{IndexedRandom, SliceRandom};

use super::membership::Membership;
use super::rendezvous;
use super::table::Record;
use super::wire::{DeclaredState, MAX_DATA_CENTRES, MemberMessage, TableHash, Update, split_table};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// How many absent VMs a VM that knows no live member contacts at a time.
const JOIN_CONTACTS: usize = 3;
/// The period of these contacts.
const JOIN_PERIOD: Millis = Millis(500);
/// The period of comparisons in the first seconds of a process, when parts of the table that were
/// lost in transit may be missing.
const START_SYNC_PERIOD: Millis = Millis(2_000);
/// One of this many summaries goes to any known VM of a data centre, in case all VMs selected for
/// summaries have failed.
const ANY_VM_SUMMARY_INTERVAL: u32 = 4;

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
    /// Schedules the next comparison with a member at `at`, so that a process catches up after a
    /// pause.
    pub(super) fn sync_at(&mut self, at: Millis) {
        self.next_sync = at;
    }
}

impl Membership {
    /// Starts the comparisons that are due.
    pub(super) fn run_anti_entropy(&mut self, now: Millis) {
        if now >= self.schedule.next_contact {
            self.contact_absent_vms(now);
        }
        if now >= self.schedule.next_sync {
            let started = *self.schedule.started.get_or_insert(now);
            let started_recently = now.since(started) < self.limits.sync_period;
            self.schedule.next_sync =
                now + if started_recently { START_SYNC_PERIOD } else { self.limits.sync_period };
            let live = self.table.live(&self.local_member.vm.data_centre);
            let live: Vec<VmId> = live.map(|record| record.member.vm.clone()).collect();
            if let Some(vm) = live.choose(&mut self.rng) {
                self.send_sync(vm, false);
            }
        }
        if now >= self.schedule.next_summary {
            self.schedule.next_summary = now + self.limits.summary_period;
            self.sync_with_other_data_centres();
        }
    }

    /// Contacts VMs that are not live members: seeds, listed VMs and dead members. This lets a new
    /// VM join and repairs a partitioned data centre.
    fn contact_absent_vms(&mut self, now: Millis) {
        let data_centre = self.local_member.vm.data_centre.clone();
        let dead = self.table.records.values().filter(|record| {
            !record.is_live()
                && record.stated != DeclaredState::Leaving
                && record.member.vm.data_centre == data_centre
        });
        let dead = dead.map(|record| &record.member.vm);
        let is_live = |vm: &&VmId| self.table.get(vm).is_some_and(Record::is_live);
        let listed = self.contacts.in_data_centre(&data_centre).filter(|vm| !is_live(vm));
        let absent: BTreeSet<&VmId> =
            dead.chain(listed).filter(|vm| **vm != self.local_member.vm).collect();
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

    /// Compares summaries with one VM of each other data centre, if this VM is one of those
    /// selected for it.
    fn sync_with_other_data_centres(&mut self) {
        let me = &self.local_member.vm;
        let live = self.table.live(&me.data_centre);
        let staying = live.filter(|record| record.stated != DeclaredState::Leaving);
        let staying = staying.map(|record| &record.member.vm).chain([me]);
        let selected = rendezvous::ranked("summary", staying);
        if !selected.into_iter().take(self.limits.summary_vms).any(|vm| vm == me) {
            return;
        }
        self.schedule.summaries = self.schedule.summaries.wrapping_add(1);
        let any_vm = self.schedule.summaries.is_multiple_of(ANY_VM_SUMMARY_INTERVAL);
        for data_centre in self.other_data_centres() {
            let live: BTreeSet<&VmId> =
                self.table.live(&data_centre).map(|record| &record.member.vm).collect();
            let known = if live.is_empty() || any_vm {
                live.into_iter().chain(self.contacts.in_data_centre(&data_centre)).collect()
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
        let own_data_centre = &self.local_member.vm.data_centre;
        let known = self.table.records.keys().chain(self.contacts.all());
        let names: BTreeSet<&Name> =
            known.map(|vm| &vm.data_centre).filter(|name| *name != own_data_centre).collect();
        names.into_iter().take(MAX_DATA_CENTRES - 1).cloned().collect()
    }

    /// Sends the hashes of this VM's view of each data centre.
    pub(super) fn send_sync(&mut self, to: &VmId, answer: bool) {
        let (head, me) = (self.local_member.head(), self.local_member.state_update());
        let mut names = vec![self.local_member.vm.data_centre.clone()];
        names.extend(self.other_data_centres());
        let hash =
            |data_centre: Name| TableHash { hash: self.table_hash(&data_centre, to), data_centre };
        let tables = names.into_iter().map(hash).collect();
        self.send(to, MemberMessage::Sync { head, me, tables, answer });
    }

    /// Returns the hash of the table of a data centre, as compared with that of `peer`.
    fn table_hash(&self, data_centre: &Name, peer: &VmId) -> u64 {
        let own_data_centre = &self.local_member.vm.data_centre;
        let is_own = data_centre == own_data_centre;
        let own_entry = is_own.then(|| (&self.local_member.vm, self.local_member.head()));
        self.table.hash(data_centre, own_entry, is_own && peer.data_centre == *own_data_centre)
    }

    /// Responds to a comparison with the tables that differ and with the hashes of this VM. A VM of
    /// another data centre gets only the table of this data centre.
    pub(super) fn on_sync(&mut self, now: Millis, from: &VmId, tables: &[TableHash], answer: bool) {
        let own_data_centre = self.local_member.vm.data_centre.clone();
        let hash_of = |name: &Name| {
            tables.iter().find(|table| table.data_centre == *name).map(|table| table.hash)
        };
        let differs = |this: &Membership, name: &Name| {
            hash_of(name).unwrap_or_default() != this.table_hash(name, from)
        };
        let mut compared = vec![own_data_centre.clone()];
        if from.data_centre == own_data_centre {
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
        let sender = &self.local_member.vm.data_centre;
        let same_data_centre = to.data_centre == *sender;
        let here = self
            .table
            .records
            .values()
            .filter(|record| record.member.vm.data_centre == *data_centre);
        let others = here.filter(|record| record.member.vm != *to).flat_map(|record| {
            let failure =
                record.failure_update(sender).filter(|_| same_data_centre || !record.is_live());
            let state = record.is_live().then(|| record.state_update(sender));
            state.into_iter().chain(failure)
        });
        let local = (data_centre == sender).then(|| self.local_member.state_update());
        let updates: Vec<Update> = others.chain(local).collect();
        let (head, hold) = (self.local_member.head(), self.hold_down_for(now, to));
        for updates in split_table(updates) {
            self.send(to, MemberMessage::Table { head, updates, hold });
        }
    }

    /// Returns the hold-down of a VM, which follows from the recent deaths of its name.
    fn hold_down_for(&self, now: Millis, vm: &VmId) -> Millis {
        let Some(record) = self.table.get(vm) else { return Millis::ZERO };
        let window = self.limits.flap_window;
        let deaths = record.deaths.iter().filter(|at| now.since(**at) < window).count();
        self.limits.hold_down(deaths)
    }
}
