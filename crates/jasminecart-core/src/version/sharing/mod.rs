//! Distributes the changes that a few VMs read from the platform's store to the rest of their data
//! centre.
//!
//! Calls to the store are charged, and its rate limit grows more slowly than the number of VMs.
//! Only [`SharingLimits::readers`] VMs of a data centre therefore follow it. They send changes and
//! beacons to the other members, which follow them. A member whose view was last confirmed more
//! than [`SharingLimits::fallback_after`] ago reads the store itself, whatever the reason. A reader
//! that cannot reach the store announces this, and the next member takes its place.
//! `docs/platform.md`, "Readers", gives the figures.

mod delta;
mod first_state;
mod message;
mod outage;
mod parts;
mod transfers;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use self::delta::RouteHistory;
use self::first_state::FirstState;
pub use self::message::{
    SharedChanges, SharedItem, SharingCounters, SharingLimits, SharingMessage, SharingStep, Source,
    TransferFailure,
};
use self::outage::StoreOutage;
use self::parts::Assembly;
use self::transfers::{FIRST_REVISION, Transfers};
use super::{Evacuations, Routes, StoreRevision, TargetList};
use crate::names::VmId;
use crate::process::{Introduction, Member, Members, rendezvous};
use crate::time::Millis;

/// This VM's view of evacuations, targets and routes, borrowed from the caller.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The evacuations.
    pub evacuations: &'a Evacuations,
    /// The targets.
    pub targets: &'a TargetList,
    /// The current routes, if any are known.
    pub routes: Option<&'a Arc<Routes>>,
}

/// Decides whether this VM follows the store, and distributes changes to its peers.
#[derive(Debug)]
pub struct Sharing {
    me: VmId,
    limits: SharingLimits,
    peers: Vec<VmId>,
    /// The members that may become readers, ordered by rank.
    ranked: Vec<VmId>,
    outage: StoreOutage,
    is_reader: bool,
    is_standby: bool,
    /// The revision up to which this VM's view is complete.
    position: StoreRevision,
    first_state: FirstState,
    /// The revision up to which a peer offered changes that are too large for datagrams.
    offered_upto: StoreRevision,
    /// Until when this VM waits for a peer to send them.
    offer_expires_at: Millis,
    /// Whether this VM needs the full state, because its peers may have purged tombstones that it
    /// has not received.
    needs_full_state: bool,
    transfers: Transfers,
    /// The position at which this VM's view last changed.
    changed_at: StoreRevision,
    /// When the store last confirmed this VM's view, directly or through a peer.
    confirmed_at: Option<Millis>,
    /// Whether a peer has ever confirmed this VM's view.
    peer_has_confirmed: bool,
    source: Source,
    beacon_at: Millis,
    assemblies: BTreeMap<VmId, Assembly>,
    history: RouteHistory,
    counters: SharingCounters,
}

impl Sharing {
    /// Creates the state of one VM. It follows the store itself until a peer confirms its view.
    pub fn new(me: VmId, limits: SharingLimits) -> Sharing {
        Sharing {
            me,
            limits,
            peers: Vec::new(),
            ranked: Vec::new(),
            outage: StoreOutage::default(),
            is_reader: true,
            is_standby: false,
            position: StoreRevision::NONE,
            first_state: FirstState::default(),
            offered_upto: StoreRevision::NONE,
            offer_expires_at: Millis::ZERO,
            needs_full_state: false,
            transfers: Transfers::default(),
            changed_at: StoreRevision::NONE,
            confirmed_at: None,
            peer_has_confirmed: false,
            source: Source::Fallback,
            beacon_at: Millis::ZERO,
            assemblies: BTreeMap::new(),
            history: RouteHistory::default(),
            counters: SharingCounters::default(),
        }
    }

    /// Replaces the members, and ranks those of this data centre as readers.
    pub fn set_members(&mut self, members: &Members) {
        let is_local = |vm: &&VmId| vm.data_centre == self.me.data_centre;
        let eligible = members.eligible().filter(|member| is_local(&&member.vm));
        // Reading the store costs CPU time, of which the smallest VMs have a twentieth of the
        // largest, so the largest VMs rank first. Sizes that differ by less than a factor of two
        // count as equal.
        let rank = |member: &&Member| {
            let hash = rendezvous::hash(("store readers", &member.vm));
            Reverse((member.size.max(1).ilog2(), hash))
        };
        let mut ranked: Vec<&Member> = eligible.collect();
        ranked.sort_by_cached_key(rank);
        self.ranked = ranked.into_iter().map(|member| member.vm.clone()).collect();
        self.peers = members.peers().map(|member| &member.vm).filter(is_local).cloned().collect();
        let peers = &self.peers;
        self.assemblies.retain(|vm, _| peers.contains(vm));
        self.transfers.set_members(members.peers().filter(|member| is_local(&&member.vm)));
    }

    /// Returns where this VM has to obtain changes from, and counts a switch to reading the store
    /// itself.
    pub fn source(&mut self, now: Millis) -> Source {
        self.outage.update(now, &self.ranked, &self.limits);
        self.update_rank(now);
        let fallback_after =
            if self.is_standby { self.limits.standby_after } else { self.limits.fallback_after };
        let stale =
            self.age(now) >= fallback_after && (!self.outage.is_active() || self.probes_store());
        let source = if self.is_reader {
            Source::Reader
        } else if self.position == StoreRevision::NONE {
            let fetches = self.transfers.is_active();
            self.first_state.source(now, &self.me, &self.limits, fetches)
        } else if self.misses_offer(now) || !self.peer_has_confirmed || stale {
            Source::Fallback
        } else {
            Source::Peers
        };
        if source == Source::Fallback && self.source == Source::Peers {
            self.counters.alone += 1;
        }
        self.source = source;
        source
    }

    /// Returns whether no peer sent in time what one of them offered.
    fn misses_offer(&self, now: Millis) -> bool {
        self.position < self.offered_upto && now >= self.offer_expires_at
    }

    /// Starts a transfer if this VM needs one and a peer can send it.
    fn fetch(&mut self, now: Millis) -> Option<SharingStep> {
        let needed = if self.position == StoreRevision::NONE {
            self.first_state.may_fetch(now)
        } else {
            self.needs_full_state || self.position < self.offered_upto
        };
        if !needed {
            return None;
        }
        let upto =
            if self.position < self.offered_upto { self.offered_upto } else { FIRST_REVISION };
        let from = self.transfers.start(now, &self.me, upto)?;
        self.counters.fetches += 1;
        let after = if self.needs_full_state { StoreRevision::NONE } else { self.position };
        Some(SharingStep::Fetch { from, after })
    }

    /// Updates whether this VM is one of the readers, or the next to become one.
    fn update_rank(&mut self, now: Millis) {
        let mut available = self.ranked.iter().filter(|vm| !self.outage.is_excluded(vm));
        let index = available.position(|vm| *vm == self.me);
        let in_rank = index.is_some_and(|index| index < self.limits.readers);
        let reported = self.outage.is_reported(&self.ranked, &self.limits);
        let joining = self.first_state.is_joining(now, &self.limits);
        self.is_reader = in_rank && !reported && !joining;
        self.is_standby = index == Some(self.limits.readers) && !reported;
    }

    /// Returns whether this VM has to detect the recovery of a failed store for its data centre.
    /// This applies to the first [`SharingLimits::probers`] VMs in rank, even if they are excluded
    /// from reading, and to a VM that is not ranked yet.
    pub fn probes_store(&self) -> bool {
        let index = self.ranked.iter().position(|vm| *vm == self.me);
        index.is_none_or(|index| index < self.limits.probers)
    }

    /// Returns the revision up to which this VM's view is complete.
    pub fn position(&self) -> StoreRevision {
        self.position
    }

    /// Returns how long ago the store confirmed this VM's view, directly or through a peer.
    pub fn age(&self, now: Millis) -> Millis {
        self.confirmed_at.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Returns the counters.
    pub fn counters(&self) -> SharingCounters {
        self.counters
    }

    /// Returns whether a response of the store at `revision` tells anything new. A VM that was paused may still
    /// handle one from before a restore of which its peers have told it meanwhile.
    pub fn accepts_response(&self, revision: StoreRevision) -> bool {
        revision.epoch >= self.position.epoch
    }

    /// Handles a response of the store after which `view` is complete up to `upto`. `changed`
    /// states whether the response contained changes. A VM that follows the store sends them to its
    /// peers immediately.
    pub fn on_store_response(
        &mut self,
        now: Millis,
        upto: StoreRevision,
        changed: bool,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        if !self.accepts_response(upto) {
            return Vec::new();
        }
        let before = self.position;
        let restored = self.is_new_epoch(upto);
        self.position = before.max(upto);
        if let Some(routes) = view.routes {
            self.history.add(routes.clone());
        }
        self.confirmed_at = Some(now);
        self.needs_full_state = false;
        self.outage.end();
        self.outage.include(&self.me);
        if changed || restored {
            self.changed_at = self.position;
        }
        // A member that fell back to the store also sends the changes, which saves its peers the
        // same call.
        if self.source == Source::Peers {
            return Vec::new();
        }
        if !changed && !restored {
            return self.announce(now);
        }
        self.beacon_at = now + self.limits.beacon_interval;
        self.send_update(now, self.peers.clone(), before, view)
    }

    /// Records that a call to the store failed, and reports it to the peers: another member takes
    /// the place of a reader, and after enough reports the others stop to call the store.
    pub fn on_store_failure(&mut self, now: Millis) -> Vec<SharingStep> {
        if self.position == StoreRevision::NONE {
            self.first_state.set_store_failed();
        }
        let reported = self.outage.is_reported(&self.ranked, &self.limits);
        let reports = self.is_reader || self.probes_store() || !reported;
        self.outage.exclude(&self.me, now + self.limits.exclusion);
        let mut steps: Vec<SharingStep> = self.fetch(now).into_iter().collect();
        if reports && self.position > StoreRevision::NONE {
            steps.extend(self.announce(now));
        }
        steps
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &VmId,
        message: SharingMessage,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        if from.data_centre != self.me.data_centre || *from == self.me {
            return Vec::new();
        }
        match message {
            SharingMessage::Ask { after } => self.send_update(now, vec![from.clone()], after, view),
            SharingMessage::Beacon { unchanged_since, revision, age, reachable } => {
                if reachable {
                    self.outage.include(from);
                } else {
                    self.outage.on_report(now, from, now + self.limits.exclusion);
                }
                self.on_beacon(now, from, unchanged_since, revision, age)
            }
            SharingMessage::Share { after, upto, age, part, parts, items } => {
                let assembly = self.assemblies.entry(from.clone()).or_default();
                let Some(items) = assembly.add(after, upto, part, parts, items) else {
                    return Vec::new();
                };
                self.on_share(now, from, after, upto, age, items, view)
            }
            SharingMessage::Offer { upto } => self.on_offer(now, from, upto),
            // Sources are named over streams only.
            SharingMessage::Sources { .. } => Vec::new(),
        }
    }

    /// Handles introductions of peers, which state whether a peer has routes and targets to send.
    pub fn on_introductions<'a>(
        &mut self,
        now: Millis,
        introductions: impl IntoIterator<Item = &'a Introduction>,
    ) -> Vec<SharingStep> {
        for introduction in introductions {
            let vm = &introduction.hint.vm;
            if vm.data_centre != self.me.data_centre || *vm == self.me {
                continue;
            }
            if introduction.loaded {
                self.first_state.remove_starting(vm);
                self.transfers.add_source(vm, Some(introduction.size), FIRST_REVISION);
            } else if self.position == StoreRevision::NONE {
                self.first_state.add_starting(vm, introduction.size);
            }
        }
        self.fetch(now).into_iter().collect()
    }

    /// Returns the response to a peer that requests the changes after a revision over a stream:
    /// one message with all of them, or other sources if this VM has nothing newer.
    pub fn on_fetch(
        &mut self,
        now: Millis,
        from: &VmId,
        after: StoreRevision,
        view: View<'_>,
    ) -> SharingMessage {
        let changes = self.changes(now, after, view).filter(|_| self.position > after);
        let Some((after, items)) = changes else { return self.refuse_fetch() };
        let (upto, age) = (self.position, self.age(now));
        self.transfers.add_served(from, upto);
        SharingMessage::Share { after, upto, age, part: 0, parts: 1, items }
    }

    /// Returns the response to a peer that this VM doesn't serve, because it serves others: VMs
    /// that it has served.
    pub fn refuse_fetch(&mut self) -> SharingMessage {
        let (vms, upto) = self.transfers.served();
        SharingMessage::Sources { vms, upto }
    }

    /// Handles changes that a peer sent over a stream.
    pub fn on_transfer(
        &mut self,
        now: Millis,
        from: &VmId,
        message: SharingMessage,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        let (after, upto, age, items) = match message {
            SharingMessage::Share { after, upto, age, items, .. } => (after, upto, age, items),
            SharingMessage::Sources { vms, upto } => {
                for vm in vms.iter().filter(|vm| vm.data_centre == self.me.data_centre) {
                    self.transfers.add_source(vm, None, upto);
                }
                return self.on_transfer_failure(now, from, TransferFailure::Busy);
            }
            SharingMessage::Beacon { .. }
            | SharingMessage::Ask { .. }
            | SharingMessage::Offer { .. } => {
                return self.on_transfer_failure(now, from, TransferFailure::Failed);
            }
        };
        let Some(started_at) = self.transfers.complete(from) else { return Vec::new() };
        // The sender determined the age after this VM had sent the request.
        let age = age + now.since(started_at);
        let mut steps = self.on_share(now, from, after, upto, age, items, view);
        steps.extend(self.fetch(now));
        steps
    }

    /// Records that a peer did not send what [`SharingStep::Fetch`] requested.
    pub fn on_transfer_failure(
        &mut self,
        now: Millis,
        from: &VmId,
        failure: TransferFailure,
    ) -> Vec<SharingStep> {
        self.transfers.fail(now, from, failure);
        self.counters.failed_fetches += 1;
        self.fetch(now).into_iter().collect()
    }

    fn on_offer(&mut self, now: Millis, from: &VmId, upto: StoreRevision) -> Vec<SharingStep> {
        if upto <= self.position {
            return Vec::new();
        }
        if upto > self.offered_upto {
            if self.offered_upto <= self.position {
                self.offer_expires_at = now + self.limits.transfer_patience;
            }
            self.offered_upto = upto;
        }
        self.transfers.add_source(from, None, upto);
        self.fetch(now).into_iter().collect()
    }

    /// Sends the periodic beacon if this VM is a reader and the beacon is due, and starts a transfer
    /// if one is needed.
    pub fn tick(&mut self, now: Millis) -> Vec<SharingStep> {
        let mut steps: Vec<SharingStep> = self.fetch(now).into_iter().collect();
        let reports = self.outage.is_excluded(&self.me) && self.probes_store();
        let beacons = (self.is_reader || reports) && self.position > StoreRevision::NONE;
        if beacons && now >= self.beacon_at {
            steps.extend(self.announce(now));
        }
        steps
    }

    /// Sends a beacon with the revision and age of this VM's view to all peers.
    fn announce(&mut self, now: Millis) -> Vec<SharingStep> {
        self.beacon_at = now + self.limits.beacon_interval;
        let beacon = SharingMessage::Beacon {
            unchanged_since: self.changed_at,
            revision: self.position,
            age: self.age(now),
            reachable: !self.outage.is_excluded(&self.me),
        };
        vec![self.send(self.peers.clone(), beacon)]
    }

    fn on_beacon(
        &mut self,
        now: Millis,
        from: &VmId,
        unchanged_since: StoreRevision,
        revision: StoreRevision,
        age: Millis,
    ) -> Vec<SharingStep> {
        if self.is_new_epoch(revision) {
            self.needs_full_state = true;
            return self.on_offer(now, from, revision);
        }
        self.needs_full_state |= self.has_missed_deletions(now);
        if self.position == StoreRevision::NONE || self.needs_full_state {
            self.transfers.add_source(from, None, revision);
            return self.fetch(now).into_iter().collect();
        }
        if unchanged_since > self.position {
            let ask = SharingMessage::Ask { after: self.position };
            return vec![self.send(vec![from.clone()], ask)];
        }
        if revision >= self.changed_at {
            self.position = self.position.max(revision);
            self.confirm(now, age);
        }
        Vec::new()
    }

    /// Returns whether a revision is of a later epoch of the store than this VM's view. The store has then lost its
    /// latest changes, so that no changes lead from the view to that revision: the full state has to replace it.
    fn is_new_epoch(&self, revision: StoreRevision) -> bool {
        self.position != StoreRevision::NONE && revision.epoch > self.position.epoch
    }

    /// Returns whether this VM's view is so old that its peers may have purged tombstones it has
    /// not received.
    fn has_missed_deletions(&self, now: Millis) -> bool {
        self.confirmed_at.is_some() && self.age(now) > self.limits.max_delta_age
    }

    /// Records that a peer confirmed this VM's view.
    fn confirm(&mut self, now: Millis, age: Millis) {
        self.peer_has_confirmed = true;
        if age < self.limits.standby_after {
            self.outage.end();
        }
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message and its sender.
    fn on_share(
        &mut self,
        now: Millis,
        from: &VmId,
        after: StoreRevision,
        upto: StoreRevision,
        age: Millis,
        items: Vec<SharedItem>,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        if upto < self.position {
            return Vec::new();
        }
        let routes = delta::apply(items.iter(), view.routes);
        let complete = after == StoreRevision::NONE;
        let missed_deletions =
            self.needs_full_state || self.has_missed_deletions(now) || self.is_new_epoch(upto);
        if missed_deletions && !complete {
            return self.on_gap(from, self.position);
        }
        let routes = match routes {
            Ok(routes) if after <= self.position => routes,
            Ok(_) | Err(delta::BaseUnknown) => return self.on_gap(from, after),
        };
        self.confirm(now, age);
        self.needs_full_state &= !complete;
        if !missed_deletions && (upto == self.position || items.is_empty()) {
            self.position = upto;
            return Vec::new();
        }
        let is_newer =
            |routes: &Arc<Routes>| view.routes.is_none_or(|known| routes.supersede(known));
        let routes = routes.filter(is_newer);
        self.counters.applied += 1;
        if self.position == StoreRevision::NONE {
            self.first_state.set_joined(now);
        }
        self.changed_at = upto;
        let (mut evacuations, mut targets) = (Vec::new(), Vec::new());
        for item in items {
            match item {
                SharedItem::Target(change) => targets.push(change),
                SharedItem::Evacuation(change) => evacuations.push(change),
                // Applied above.
                SharedItem::Routes { .. }
                | SharedItem::Route(..)
                | SharedItem::RouteGone(_)
                | SharedItem::Service(..)
                | SharedItem::ServiceGone(_) => {}
            }
        }
        let from = from.clone();
        let changes = SharedChanges { from, evacuations, targets, complete, routes, upto };
        if let Some(routes) = &changes.routes {
            self.history.add(routes.clone());
        }
        self.position = upto;
        vec![SharingStep::Apply(changes)]
    }

    /// Requests the missing changes, or the full state if the update already started at this
    /// position.
    fn on_gap(&mut self, from: &VmId, started_at: StoreRevision) -> Vec<SharingStep> {
        self.counters.gaps += 1;
        let after = if started_at == self.position { StoreRevision::NONE } else { self.position };
        vec![self.send(vec![from.clone()], SharingMessage::Ask { after })]
    }

    /// Returns the items that changed after a revision, and that revision; the full state if the
    /// revision is of an earlier epoch. `None` before this VM has a view, or if the revision is
    /// later than it.
    fn changes(
        &self,
        now: Millis,
        after: StoreRevision,
        view: View<'_>,
    ) -> Option<(StoreRevision, Vec<SharedItem>)> {
        if self.position == StoreRevision::NONE
            || after > self.position
            || self.age(now) == Millis::MAX
        {
            return None;
        }
        let same_epoch = after.epoch == self.position.epoch;
        let after = if same_epoch { after } else { StoreRevision::NONE };
        let evacuations = view.evacuations.changes_after(after).map(SharedItem::Evacuation);
        let targets = view.targets.changes_after(now, after).map(SharedItem::Target);
        let mut items: Vec<SharedItem> = evacuations.chain(targets).collect();
        if let Some(routes) = view.routes.filter(|routes| routes.revision > after) {
            items.extend(self.history.delta(routes, after));
        }
        Some((after, items))
    }

    /// Sends the changes after a revision to some peers, or offers them if they are too large for
    /// datagrams.
    fn send_update(
        &mut self,
        now: Millis,
        to: Vec<VmId>,
        after: StoreRevision,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        let Some((after, items)) = self.changes(now, after, view) else { return Vec::new() };
        let (upto, age) = (self.position, self.age(now));
        let parts = parts::split(items);
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        if parts.len() * parts::PART_BYTES * to.len() > self.limits.max_update_bytes
            && parts.len() > 1
        {
            return vec![self.send(to, SharingMessage::Offer { upto })];
        }
        let message =
            |(part, items)| SharingMessage::Share { after, upto, age, part, parts: count, items };
        let messages: Vec<SharingMessage> = (0..count).zip(parts).map(message).collect();
        messages.into_iter().map(|message| self.send(to.clone(), message)).collect()
    }

    fn send(&mut self, to: Vec<VmId>, message: SharingMessage) -> SharingStep {
        self.counters.sent += to.len() as u64;
        SharingStep::Message { to, message }
    }
}
