//! The flow router: its state, its inputs and its reports.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::exceptions::{Exceptions, State};
use super::fragments::Fragments;
use super::freshness::Freshness;
use super::generations::ServiceTable;
use super::hash::flow_hash;
use super::messages::GenerationTarget;
use super::owners::Owners;
use super::packet::FlowKey;
use super::revocations::Revocations;
use super::table::bucket_of;
use super::transfers::{Budget, Transfers};
use super::types::{FlowCounters, FlowExplanation, FlowLimits};
use crate::message::Outgoing;
use crate::names::{Name, VmId};
use crate::process::{MemberState, Members};
use crate::time::Millis;
use crate::version::{Document, Revision, ServiceAddress, TargetState};

/// How long a revision waits before it takes new flows, unless every member has it earlier. Of the 5 s that
/// I6 allows after publication, 2 s are left for distribution.
const ACTIVATION_DELAY: Millis = Millis::from_secs(3);
/// A revision that every member has waits this long still, because a duplicate of a SYN that was routed
/// without an entry may be on its way.
const SETTLE_DELAY: Millis = Millis::from_secs(1);
/// Hints may use 1 KB/s and transfers after a death 2 KB/s of the 4 KB/s of control traffic.
const HINT_RATE: u64 = 1_000;
const REPAIR_RATE: u64 = 2_000;
/// Transfers of planned changes are bulk traffic, counted apart.
const PLANNED_RATE: u64 = 64_000;
/// A VM that finds no peer to learn from serves with what it has.
const ALONE_SPAN: Millis = Millis::from_secs(3);
/// A joining VM becomes eligible after this span even if peers did not answer.
const JOIN_SPAN: Millis = Millis::from_secs(60);
/// Packets of flows recorded just before a change of members may still be on their way to the new owners.
const OVERLAP_SPAN: Millis = Millis::from_secs(5);

/// A revision that does not take new flows yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    revision: Revision,
    adopted: Millis,
    /// When every member was first seen to have it.
    acknowledged: Option<Millis>,
}

/// Routes the packets of flows to targets.
///
/// `tick` must be called at least every 500 ms. A gap of more than 1.5 s between calls counts as a pause
/// of the process. Messages that routing produces are returned by the next `tick` or by `take_outgoing`.
#[derive(Debug)]
pub struct Router {
    pub(super) me: VmId,
    pub(super) seed: u64,
    pub(super) document: Option<Arc<Document>>,
    pub(super) services: BTreeMap<Name, ServiceTable>,
    pub(super) by_address: HashMap<ServiceAddress, Name>,
    pub(super) owners: Owners,
    pub(super) freshness: Freshness,
    pub(super) flows: Exceptions,
    pub(super) fragments: Fragments,
    pub(super) transfers: Transfers,
    pub(super) revocations: Revocations,
    pub(super) hint_budget: Budget,
    pub(super) repair_budget: Budget,
    pub(super) planned_budget: Budget,
    /// The last epoch for which each peer handed over its entries, and was told the same by this VM.
    pub(super) done_from: BTreeMap<VmId, u64>,
    pub(super) done_to: BTreeMap<VmId, u64>,
    /// Whether all peers handed over their entries for the present owners.
    pub(super) all_done: bool,
    /// Whether entries that other VMs own were dropped since the owners changed.
    pub(super) foreign_dropped: bool,
    pub(super) owners_since: Millis,
    /// Whether this VM knows the generations that its peers know.
    pub(super) synced: bool,
    /// The revision up to which the generations are known while later ones are not.
    pub(super) synced_to: Revision,
    pub(super) last_exchange: Option<Millis>,
    pub(super) rounds: u64,
    pub(super) started: Option<Millis>,
    /// Packets on base targets that were answered as an owner, by flow.
    pub(super) base_packets: HashMap<u64, u8>,
    pub(super) outbox: Vec<Outgoing>,
    pub(super) counters: FlowCounters,
    pending: Vec<Pending>,
    active: Revision,
    leaving: bool,
    members: Option<Members>,
}

impl Router {
    /// Creates the router of one process.
    pub fn new(me: VmId, seed: u64, limits: FlowLimits) -> Router {
        Router {
            me,
            seed,
            document: None,
            services: BTreeMap::new(),
            by_address: HashMap::new(),
            owners: Owners::default(),
            freshness: Freshness::default(),
            flows: Exceptions::new(limits.max_exceptions.max(1)),
            fragments: Fragments::default(),
            transfers: Transfers::default(),
            revocations: Revocations::default(),
            hint_budget: Budget::new(HINT_RATE),
            repair_budget: Budget::new(REPAIR_RATE),
            planned_budget: Budget::new(PLANNED_RATE),
            done_from: BTreeMap::new(),
            done_to: BTreeMap::new(),
            all_done: true,
            foreign_dropped: true,
            owners_since: Millis::ZERO,
            synced: false,
            synced_to: Revision(0),
            last_exchange: None,
            rounds: 0,
            started: None,
            base_packets: HashMap::new(),
            outbox: Vec::new(),
            counters: FlowCounters::default(),
            pending: Vec::new(),
            active: Revision(0),
            leaving: false,
            members: None,
        }
    }

    /// Takes an adopted document. A document that is not newer than the present one is ignored (I8).
    pub fn set_document(&mut self, now: Millis, document: &Arc<Document>) -> Vec<Outgoing> {
        self.run(now);
        let revision = document.revision();
        let previous = self.document.as_ref().map(|document| document.revision());
        if previous.is_some_and(|previous| previous >= revision) {
            return self.take_outgoing();
        }
        self.document = Some(document.clone());
        let services = document.services();
        self.services.retain(|name, _| services.contains_key(name));
        let addresses = services.values().flat_map(|service| {
            service.addresses.iter().map(|address| (*address, service.name.clone()))
        });
        self.by_address = addresses.collect();
        match previous {
            None => self.active = revision,
            Some(_) => {
                self.pending.push(Pending { revision, adopted: now, acknowledged: None });
            }
        }
        // A revision that was skipped may have removed a target that is here again, with a new identity.
        if self.synced && previous.is_some_and(|previous| previous.0 + 1 < revision.0) {
            self.synced = false;
            self.synced_to = previous.unwrap_or_default();
            self.last_exchange = None;
        }
        self.adopt_targets(now, document);
        self.activate(now);
        self.drop_dead_entries(now);
        self.exchange(now);
        self.take_outgoing()
    }

    /// Takes a new list of members. It has to be passed again when members were heard, because the times
    /// at which they were heard decide whether this VM is fresh.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Outgoing> {
        self.run(now);
        self.freshness.set_members(now, members);
        self.members = Some(members.clone());
        self.change_owners(now);
        self.activate(now);
        self.exchange(now);
        self.take_outgoing()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.run(now);
        self.hint_budget.refill(now);
        self.repair_budget.refill(now);
        self.planned_budget.refill(now);
        self.flows.expire(now);
        self.fragments.expire(now);
        self.activate(now);
        self.exchange(now);
        self.transfer(now);
        self.take_outgoing()
    }

    /// Starts a planned stop: hands over what this VM owns.
    pub fn leave(&mut self, now: Millis) -> Vec<Outgoing> {
        self.run(now);
        self.leaving = true;
        self.change_owners(now);
        self.transfer(now);
        self.take_outgoing()
    }

    /// Tells whether everything was handed over.
    pub fn is_drained(&self) -> bool {
        let epoch = self.owners.epoch();
        let told = |vm: &VmId| self.done_to.get(vm) == Some(&epoch);
        self.leaving && self.owners.peers().all(|peer| told(&peer.vm))
    }

    /// Tells whether this VM has what an owner needs: the document, the generations and its share of the
    /// entries. Membership may then make a joining VM active.
    pub fn is_ready(&self, now: Millis) -> bool {
        let late = self.started.is_some_and(|started| now.since(started) >= JOIN_SPAN);
        self.document.is_some() && (late || self.synced && self.all_done)
    }

    /// Returns the messages that routing produced since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    /// Updates the counts that are derived from tables, and returns all counts.
    pub fn measure(&mut self) -> &FlowCounters {
        self.counters.evicted = self.flows.evicted();
        self.counters.entries = self.flows.len() as u64;
        self.counters.table_bytes = self.flows.bytes() as u64;
        let unsettled = self.services.values().map(ServiceTable::unsettled);
        self.counters.unsettled_buckets = unsettled.sum::<usize>() as u64;
        self.counters.transfer_queue = self.transfers.len() as u64;
        &self.counters
    }

    /// Explains where a flow goes and why.
    pub fn explain(&self, now: Millis, key: &FlowKey) -> FlowExplanation {
        let none = |reason: &str| FlowExplanation {
            service: None,
            target: None,
            reason: reason.to_owned(),
        };
        let Some(document) = &self.document else { return none("this VM has no document yet") };
        let Some(name) = self.by_address.get(&key.service_address()) else {
            return none("no service has this address");
        };
        let Some(table) = self.services.get(name) else { return none("the service has no table") };
        let flow = flow_hash(key);
        let bucket = bucket_of(flow);
        let entry = self.flows.get(now, flow);
        let known = entry.and_then(|entry| Some((entry, table.by_key(entry.target)?)));
        let slot = known.map(|(_, slot)| slot).or_else(|| table.base(bucket));
        let rule = match known {
            Some((entry, _)) if entry.state == State::Hint => "hint of an owner",
            Some(_) => "entry in the flow table",
            None if table.is_settled(bucket) => "base target of a settled bucket",
            None => "base target unless an owner knows the flow",
        };
        let name_of = |slot: Option<&super::generations::Slot>| {
            slot.map_or("none".to_owned(), |slot| slot.target.name.to_string())
        };
        let owners = self.owners.ranked(flow);
        let owners = owners[..2].iter().filter_map(|owner| self.owners.get(*owner));
        let owners: Vec<String> = owners.map(|owner| owner.vm.to_string()).collect();
        let reason = format!(
            "{rule}; bucket {bucket}, base {}, current {}, {} generations, revision {} (active {}), \
             owners {}, fresh {}",
            name_of(table.base(bucket)),
            name_of(table.current(bucket)),
            table.len(),
            document.revision(),
            self.active,
            owners.join(" and "),
            self.is_trusted(now),
        );
        let target = slot.map(|slot| slot.target.name.clone());
        FlowExplanation { service: Some(name.clone()), target, reason }
    }

    /// Tells whether this VM may rely on its own tables alone.
    pub(super) fn is_trusted(&self, now: Millis) -> bool {
        let revision = self.document.as_ref().map(|document| document.revision());
        self.synced && revision.is_some_and(|revision| self.freshness.is_fresh(now, revision))
    }

    /// Tells whether a flow that neither owner knows is certain to be on its base target.
    pub(super) fn is_complete(&self, now: Millis) -> bool {
        let resumed = self.freshness.resumed_at().unwrap_or_default();
        let since = self.owners_since.max(resumed);
        self.all_done && now.since(since) >= OVERLAP_SPAN && self.is_trusted(now)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Notes that the event loop runs, and detects pauses.
    pub(super) fn run(&mut self, now: Millis) {
        self.started.get_or_insert(now);
        if self.freshness.run(now) {
            self.counters.pauses += 1;
            // The owners may have revoked hints in vain during the pause.
            self.flows.retain(|_, entry| entry.state != State::Hint);
            self.ask_again();
        }
        let alone = self.started.is_some_and(|started| now.since(started) >= ALONE_SPAN);
        let teachers = self.owners.peers().any(|peer| peer.state != MemberState::Joining);
        let late = self.started.is_some_and(|started| now.since(started) >= JOIN_SPAN);
        if !self.synced && self.document.is_some() && (late || alone && !teachers) {
            self.synced = true;
        }
    }

    /// Derives the tables of the services after generations were merged.
    pub(super) fn rebuild(&mut self, service: &Name) {
        if let Some(table) = self.services.get_mut(service) {
            table.rebuild(self.active);
        }
    }

    fn adopt_targets(&mut self, now: Millis, document: &Document) {
        let revision = document.revision();
        for (name, targets) in target_sets(document, &self.me.data_centre, revision) {
            match self.services.get_mut(&name) {
                Some(table) => {
                    if table.adopt(now, revision, targets) {
                        table.rebuild(self.active);
                    }
                }
                None => {
                    let table = ServiceTable::new(name.clone(), now, revision, targets);
                    self.services.insert(name, table);
                }
            }
        }
    }

    /// Makes revisions take new flows once their delay is over or every member has them.
    fn activate(&mut self, now: Millis) {
        if self.pending.is_empty() {
            return;
        }
        let peers = self.members.as_ref().map(|members| members.peers());
        let lowest = peers.map(|peers| peers.map(|peer| peer.revision).min());
        for pending in &mut self.pending {
            let has = |lowest: Option<Revision>| lowest.is_none_or(|low| low >= pending.revision);
            if pending.acknowledged.is_none() && lowest.is_some_and(has) {
                pending.acknowledged = Some(now);
            }
        }
        let is_due = |pending: &&Pending| {
            let settled = |at: Millis| now.since(at) >= SETTLE_DELAY;
            now.since(pending.adopted) >= ACTIVATION_DELAY
                || pending.acknowledged.is_some_and(settled)
        };
        let due = self.pending.iter().filter(is_due).map(|pending| pending.revision);
        let Some(active) = due.max() else { return };
        self.active = self.active.max(active);
        self.pending.retain(|pending| pending.revision > active);
        for table in self.services.values_mut().filter(|table| table.len() > 1) {
            table.rebuild(self.active);
        }
    }

    /// Frees the entries of targets that left the document. A young entry stays, because an owner with a
    /// newer document may have recorded it here.
    fn drop_dead_entries(&mut self, now: Millis) {
        // Before the generations are known, targets have other keys here than in transferred entries.
        if !self.synced {
            return;
        }
        let services = self.services.values();
        let live: HashSet<u64> = services.flat_map(ServiceTable::keys).collect();
        self.flows.retain(|_, entry| {
            live.contains(&entry.target)
                || now.since(entry.opened()) < ACTIVATION_DELAY + OVERLAP_SPAN
        });
    }
}

/// Returns the target sets of all services as the VMs of a data centre use them.
fn target_sets(
    document: &Document,
    data_centre: &Name,
    revision: Revision,
) -> BTreeMap<Name, Vec<GenerationTarget>> {
    let names = document.services().keys();
    let mut near: BTreeMap<Name, Vec<GenerationTarget>> =
        names.map(|name| (name.clone(), Vec::new())).collect();
    let mut far = near.clone();
    for target in document.targets().values() {
        let sets = if target.data_centre == *data_centre { &mut near } else { &mut far };
        for service in &target.services {
            let Some(set) = sets.get_mut(service) else { continue };
            set.push(GenerationTarget {
                name: target.name.clone(),
                address: target.packet_address(),
                weight: target.weight,
                draining: target.state == TargetState::Draining,
                added: revision,
            });
        }
    }
    for (name, set) in near.iter_mut().filter(|(_, set)| set.is_empty()) {
        *set = far.remove(name).unwrap_or_default();
    }
    near
}
