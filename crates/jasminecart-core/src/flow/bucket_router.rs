//! The state, inputs and reports of the bucket router.

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

/// The delay after adoption until a revision is used for new flows, unless every member has it
/// earlier. Of the 5 s that I6 allows after publication, 2 s are left for distribution.
const ACTIVATION_DELAY: Millis = Millis::from_secs(3);
/// The delay from when every member has a revision until it is used for new flows, because a
/// duplicate of a SYN that was routed without an entry may still be in flight.
const SETTLE_DELAY: Millis = Millis::from_secs(1);
/// Hints may use 1 KB/s and repair transfers 2 KB/s of the 4 KB/s of control traffic.
const HINT_BYTES_PER_S: u64 = 1_000;
const REPAIR_BYTES_PER_S: u64 = 2_000;
/// Transfers for planned changes are bulk traffic, which is counted apart from the control traffic.
const PLANNED_BYTES_PER_S: u64 = 64_000;
/// The time after which a VM without a joined peer starts to route with the generations it has.
const NO_PEER_TIMEOUT: Millis = Millis::from_secs(3);
/// The time after which a joining VM becomes ready even if peers have not responded.
const JOIN_TIMEOUT: Millis = Millis::from_secs(60);
/// The time after a change of owners or a pause in which entries and packets of flows opened before
/// it may still be in flight to the new owners.
const IN_FLIGHT_TIME: Millis = Millis::from_secs(5);

/// A revision that is adopted but not yet used for new flows.
#[derive(Clone, Copy, Debug)]
struct PendingRevision {
    revision: Revision,
    adopted_at: Millis,
    /// When every member was first known to have it.
    acknowledged_at: Option<Millis>,
}

/// Routes the packets of flows by bucket tables, and by exact entries for the exceptions.
///
/// `tick` must be called at least every 500 ms. A gap of more than 1.5 s between calls is treated
/// as a pause of the process. Messages produced by `route` are returned by the next `tick` or by
/// `take_outgoing`.
#[derive(Debug)]
pub struct BucketRouter {
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
    /// The last epoch for which each peer announced that it has transferred all entries.
    pub(super) transfer_done_from: BTreeMap<VmId, u64>,
    /// The last epoch for which this VM announced the same to each peer.
    pub(super) transfer_done_to: BTreeMap<VmId, u64>,
    /// Whether all joined peers have transferred their entries for the current epoch.
    pub(super) transfers_complete: bool,
    /// Whether entries owned by other VMs were removed since the epoch changed.
    pub(super) foreign_entries_dropped: bool,
    pub(super) owners_changed_at: Millis,
    /// Whether this VM has the generations of its peers.
    pub(super) synced: bool,
    /// While not synced, the revision up to which this VM has all generations.
    pub(super) synced_to: Revision,
    pub(super) last_exchange: Option<Millis>,
    pub(super) exchange_rounds: u64,
    pub(super) started_at: Option<Millis>,
    /// Packets that this VM, as second owner, sent to base targets, by flow.
    pub(super) base_packet_counts: HashMap<u64, u8>,
    pub(super) outbox: Vec<Outgoing>,
    pub(super) counters: FlowCounters,
    pending: Vec<PendingRevision>,
    active_revision: Revision,
    leaving: bool,
    members: Option<Members>,
}

impl BucketRouter {
    /// Creates the router of one process.
    pub fn new(me: VmId, seed: u64, limits: FlowLimits) -> BucketRouter {
        BucketRouter {
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
            hint_budget: Budget::new(HINT_BYTES_PER_S),
            repair_budget: Budget::new(REPAIR_BYTES_PER_S),
            planned_budget: Budget::new(PLANNED_BYTES_PER_S),
            transfer_done_from: BTreeMap::new(),
            transfer_done_to: BTreeMap::new(),
            transfers_complete: true,
            foreign_entries_dropped: true,
            owners_changed_at: Millis::ZERO,
            synced: false,
            synced_to: Revision(0),
            last_exchange: None,
            exchange_rounds: 0,
            started_at: None,
            base_packet_counts: HashMap::new(),
            outbox: Vec::new(),
            counters: FlowCounters::default(),
            pending: Vec::new(),
            active_revision: Revision(0),
            leaving: false,
            members: None,
        }
    }

    /// Replaces the document by a newly adopted one. A document that is not newer is ignored (I8).
    pub fn set_document(&mut self, now: Millis, document: &Arc<Document>) -> Vec<Outgoing> {
        self.advance(now);
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
            None => self.active_revision = revision,
            Some(_) => {
                self.pending.push(PendingRevision {
                    revision,
                    adopted_at: now,
                    acknowledged_at: None,
                });
            }
        }
        // A skipped revision may have removed a target that this one adds again as a different
        // target.
        if self.synced && previous.is_some_and(|previous| previous.0 + 1 < revision.0) {
            self.synced = false;
            self.synced_to = previous.unwrap_or_default();
            self.last_exchange = None;
        }
        self.adopt_targets(now, document);
        self.activate_revisions(now);
        self.remove_stale_entries(now);
        self.exchange_generations(now);
        self.take_outgoing()
    }

    /// Replaces the list of members. Callers also have to pass it after messages from members,
    /// because the times of the last contact decide whether the view of this VM is up to date.
    pub fn set_members(&mut self, now: Millis, members: &Members) -> Vec<Outgoing> {
        self.advance(now);
        self.freshness.set_members(now, members);
        self.members = Some(members.clone());
        self.update_owners(now);
        self.activate_revisions(now);
        self.exchange_generations(now);
        self.take_outgoing()
    }

    /// Refills rate limits, expires entries and sends messages that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.advance(now);
        self.hint_budget.refill(now);
        self.repair_budget.refill(now);
        self.planned_budget.refill(now);
        self.flows.expire(now);
        self.fragments.expire(now);
        self.activate_revisions(now);
        self.exchange_generations(now);
        self.send_transfers(now);
        self.take_outgoing()
    }

    /// Starts a planned stop by transferring all entries to their new owners.
    pub fn leave(&mut self, now: Millis) -> Vec<Outgoing> {
        self.advance(now);
        self.leaving = true;
        self.update_owners(now);
        self.send_transfers(now);
        self.take_outgoing()
    }

    /// Returns whether a planned stop has transferred all entries and announced this to every peer.
    pub fn is_drained(&self) -> bool {
        let epoch = self.owners.epoch();
        let announced = |vm: &VmId| self.transfer_done_to.get(vm) == Some(&epoch);
        self.leaving && self.owners.peers().all(|peer| announced(&peer.vm))
    }

    /// Returns whether this VM has what an owner needs: the document, the generations and its share
    /// of the entries. After a time-out the document is enough. Membership may then make a joining
    /// VM active.
    pub fn is_ready(&self, now: Millis) -> bool {
        let join_timed_out =
            self.started_at.is_some_and(|started_at| now.since(started_at) >= JOIN_TIMEOUT);
        self.document.is_some() && (join_timed_out || self.synced && self.transfers_complete)
    }

    /// Returns the messages produced since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the counters, without an update of those derived from tables.
    pub fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    /// Updates the counters that are derived from tables, and returns all counters.
    pub fn measure(&mut self) -> &FlowCounters {
        self.counters.evicted = self.flows.evicted();
        self.counters.entries = self.flows.len() as u64;
        self.counters.table_bytes = self.flows.bytes() as u64;
        let unsettled = self.services.values().map(ServiceTable::unsettled);
        self.counters.unsettled_buckets = unsettled.sum::<usize>() as u64;
        self.counters.transfer_queue = self.transfers.len() as u64;
        &self.counters
    }

    /// Explains to which target a packet of a flow would go and why.
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
        let chosen = known.map(|(_, chosen)| chosen).or_else(|| table.base(bucket));
        let rule = match known {
            Some((entry, _)) if entry.state == State::Hint => "hint of an owner",
            Some(_) => "entry in the flow table",
            None if table.is_settled(bucket) => "base target of a settled bucket",
            None => "base target unless an owner knows the flow",
        };
        let name_of = |chosen: Option<&super::generations::LiveTarget>| {
            chosen.map_or("none".to_owned(), |chosen| chosen.target.name.to_string())
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
            self.active_revision,
            owners.join(" and "),
            self.is_view_fresh(now),
        );
        let target = chosen.map(|chosen| chosen.target.name.clone());
        FlowExplanation { service: Some(name.clone()), target, reason }
    }

    /// Returns whether the generations and the document of this VM are up to date, so that it may
    /// route by its own tables alone.
    pub(super) fn is_view_fresh(&self, now: Millis) -> bool {
        let revision = self.document.as_ref().map(|document| document.revision());
        self.synced && revision.is_some_and(|revision| self.freshness.is_fresh(now, revision))
    }

    /// Returns whether the owners have all entries, so that a flow without one is certain to be on
    /// its base target.
    pub(super) fn owners_have_all_entries(&self, now: Millis) -> bool {
        let resumed = self.freshness.resumed_at().unwrap_or_default();
        let since = self.owners_changed_at.max(resumed);
        self.transfers_complete && now.since(since) >= IN_FLIGHT_TIME && self.is_view_fresh(now)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Records a run of the event loop. Synchronises again after a pause, and stops waiting for
    /// generations when no peer can send them or after [`JOIN_TIMEOUT`].
    pub(super) fn advance(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
        if self.freshness.advance(now) {
            self.counters.pauses += 1;
            // Owners may have revoked hints during the pause and stopped waiting for a
            // confirmation.
            self.flows.retain(|_, entry| entry.state != State::Hint);
            self.resync_after_pause();
        }
        let alone =
            self.started_at.is_some_and(|started_at| now.since(started_at) >= NO_PEER_TIMEOUT);
        let has_joined_peer = self.owners.peers().any(|peer| peer.state != MemberState::Joining);
        let join_timed_out =
            self.started_at.is_some_and(|started_at| now.since(started_at) >= JOIN_TIMEOUT);
        if !self.synced && self.document.is_some() && (join_timed_out || alone && !has_joined_peer)
        {
            self.synced = true;
        }
    }

    /// Derives the tables of a service after generations were merged.
    pub(super) fn rebuild(&mut self, service: &Name) {
        if let Some(table) = self.services.get_mut(service) {
            table.rebuild(self.active_revision);
        }
    }

    fn adopt_targets(&mut self, now: Millis, document: &Document) {
        let revision = document.revision();
        for (name, targets) in target_sets(document, &self.me.data_centre, revision) {
            match self.services.get_mut(&name) {
                Some(table) => {
                    if table.adopt(now, revision, targets) {
                        table.rebuild(self.active_revision);
                    }
                }
                None => {
                    let table = ServiceTable::new(name.clone(), now, revision, targets);
                    self.services.insert(name, table);
                }
            }
        }
    }

    /// Uses revisions for new flows once their delay is over or every member has them.
    fn activate_revisions(&mut self, now: Millis) {
        if self.pending.is_empty() {
            return;
        }
        let peers = self.members.as_ref().map(|members| members.peers());
        let lowest = peers.map(|peers| peers.map(|peer| peer.revision).min());
        for pending in &mut self.pending {
            let has = |lowest: Option<Revision>| lowest.is_none_or(|low| low >= pending.revision);
            if pending.acknowledged_at.is_none() && lowest.is_some_and(has) {
                pending.acknowledged_at = Some(now);
            }
        }
        let is_due = |pending: &&PendingRevision| {
            let settled = |at: Millis| now.since(at) >= SETTLE_DELAY;
            now.since(pending.adopted_at) >= ACTIVATION_DELAY
                || pending.acknowledged_at.is_some_and(settled)
        };
        let due = self.pending.iter().filter(is_due).map(|pending| pending.revision);
        let Some(active_revision) = due.max() else { return };
        self.active_revision = self.active_revision.max(active_revision);
        self.pending.retain(|pending| pending.revision > active_revision);
        for table in self.services.values_mut().filter(|table| table.len() > 1) {
            table.rebuild(self.active_revision);
        }
    }

    /// Removes the entries of targets that are no longer in the document. Recent entries are
    /// retained, because an owner with a newer document may have recorded them here.
    fn remove_stale_entries(&mut self, now: Millis) {
        // Target keys depend on the generations, so before synchronisation the keys here may differ
        // from those in transferred entries.
        if !self.synced {
            return;
        }
        let services = self.services.values();
        let live: HashSet<u64> = services.flat_map(ServiceTable::keys).collect();
        self.flows.retain(|_, entry| {
            live.contains(&entry.target)
                || now.since(entry.opened()) < ACTIVATION_DELAY + IN_FLIGHT_TIME
        });
    }
}

/// Returns the target sets of all services for a data centre: its own targets, or those of other
/// data centres for a service that has none in this one.
fn target_sets(
    document: &Document,
    data_centre: &Name,
    revision: Revision,
) -> BTreeMap<Name, Vec<GenerationTarget>> {
    let names = document.services().keys();
    let mut local: BTreeMap<Name, Vec<GenerationTarget>> =
        names.map(|name| (name.clone(), Vec::new())).collect();
    let mut remote = local.clone();
    for target in document.targets().values() {
        let sets = if target.data_centre == *data_centre { &mut local } else { &mut remote };
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
    for (name, set) in local.iter_mut().filter(|(_, set)| set.is_empty()) {
        *set = remote.remove(name).unwrap_or_default();
    }
    local
}
