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
mod message;
mod parts;

use std::collections::BTreeMap;
use std::sync::Arc;

use self::delta::RouteHistory;
pub use self::message::{
    SharedChanges, SharedItem, SharingCounters, SharingLimits, SharingMessage, SharingStep, Source,
};
use self::parts::Assembly;
use super::{Revision, Routes, TargetList};
use crate::names::VmId;
use crate::process::{Member, Members, rendezvous};
use crate::time::Millis;

/// This VM's view of targets and routes, borrowed from the caller.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
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
    /// The members that are excluded from reading because they cannot reach the store, and until
    /// when.
    excluded_until: BTreeMap<VmId, Millis>,
    is_reader: bool,
    is_standby: bool,
    /// The revision up to which this VM's view is complete.
    position: Revision,
    /// The revision up to which a peer requested this VM to read the store itself.
    read_upto: Revision,
    /// The position at which this VM's view last changed.
    changed_at: Revision,
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
            excluded_until: BTreeMap::new(),
            is_reader: true,
            is_standby: false,
            position: Revision(0),
            read_upto: Revision(0),
            changed_at: Revision(0),
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
            std::cmp::Reverse((member.size.max(1).ilog2(), hash))
        };
        let mut ranked: Vec<&Member> = eligible.collect();
        ranked.sort_by_cached_key(rank);
        self.ranked = ranked.into_iter().map(|member| member.vm.clone()).collect();
        self.peers = members.peers().map(|member| &member.vm).filter(is_local).cloned().collect();
        let peers = &self.peers;
        self.assemblies.retain(|vm, _| peers.contains(vm));
    }

    /// Returns where this VM has to obtain changes from, and counts a switch to reading the store
    /// itself.
    pub fn source(&mut self, now: Millis) -> Source {
        self.update_rank(now);
        let fallback_after =
            if self.is_standby { self.limits.standby_after } else { self.limits.fallback_after };
        let stale = self.age(now) >= fallback_after;
        let source = if self.is_reader {
            Source::Reader
        } else if self.position < self.read_upto
            || self.position == Revision(0)
            || !self.peer_has_confirmed
            || stale
        {
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

    /// Updates whether this VM is one of the readers, or the next to become one.
    fn update_rank(&mut self, now: Millis) {
        self.excluded_until.retain(|_, until| now < *until);
        let mut available = self.ranked.iter().filter(|vm| !self.excluded_until.contains_key(vm));
        let index = available.position(|vm| *vm == self.me);
        self.is_reader = index.is_some_and(|index| index < self.limits.readers);
        self.is_standby = index == Some(self.limits.readers);
    }

    /// Returns whether this VM has to detect the recovery of a failed store for its data centre.
    /// This applies to the first [`SharingLimits::probers`] VMs in rank, even if they are excluded
    /// from reading, and to a VM that is not ranked yet.
    pub fn probes_store(&self) -> bool {
        let index = self.ranked.iter().position(|vm| *vm == self.me);
        index.is_none_or(|index| index < self.limits.probers)
    }

    /// Returns the revision up to which this VM's view is complete.
    pub fn position(&self) -> Revision {
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

    /// Handles a response of the store after which `view` is complete up to `upto`. `changed`
    /// states whether the response contained changes. A VM that follows the store sends them to its
    /// peers immediately.
    pub fn on_store_response(
        &mut self,
        now: Millis,
        upto: Revision,
        changed: bool,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        let before = self.position;
        self.position = before.max(upto);
        if let Some(routes) = view.routes {
            self.history.add(routes.clone());
        }
        self.confirmed_at = Some(now);
        self.excluded_until.remove(&self.me);
        if changed {
            self.changed_at = self.position;
        }
        // A member that fell back to the store also sends the changes, which saves its peers the
        // same call.
        if self.source == Source::Peers {
            return Vec::new();
        }
        if !changed {
            return self.announce(now);
        }
        self.beacon_at = now + self.limits.beacon_interval;
        self.send_update(now, self.peers.clone(), before, view)
    }

    /// Records that a call to the store failed. A reader announces this to its peers, so that
    /// another member takes its place.
    pub fn on_store_failure(&mut self, now: Millis) -> Vec<SharingStep> {
        if !self.is_reader {
            return Vec::new();
        }
        self.excluded_until.insert(self.me.clone(), now + self.limits.exclusion);
        self.announce(now)
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
                    self.excluded_until.remove(from);
                } else {
                    self.excluded_until.insert(from.clone(), now + self.limits.exclusion);
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
            SharingMessage::ReadStore { upto } => {
                self.read_upto = self.read_upto.max(upto);
                Vec::new()
            }
        }
    }

    /// Sends the periodic beacon if this VM is a reader and the beacon is due.
    pub fn tick(&mut self, now: Millis) -> Vec<SharingStep> {
        if !self.is_reader || now < self.beacon_at || self.position == Revision(0) {
            return Vec::new();
        }
        self.announce(now)
    }

    /// Sends a beacon with the revision and age of this VM's view to all peers.
    fn announce(&mut self, now: Millis) -> Vec<SharingStep> {
        self.beacon_at = now + self.limits.beacon_interval;
        let beacon = SharingMessage::Beacon {
            unchanged_since: self.changed_at,
            revision: self.position,
            age: self.age(now),
            reachable: !self.excluded_until.contains_key(&self.me),
        };
        vec![self.send(self.peers.clone(), beacon)]
    }

    fn on_beacon(
        &mut self,
        now: Millis,
        from: &VmId,
        unchanged_since: Revision,
        revision: Revision,
        age: Millis,
    ) -> Vec<SharingStep> {
        if unchanged_since > self.position
            || self.position == Revision(0)
            || self.has_missed_deletions(now)
        {
            let after = if self.has_missed_deletions(now) { Revision(0) } else { self.position };
            let ask = SharingMessage::Ask { after };
            return vec![self.send(vec![from.clone()], ask)];
        }
        if revision >= self.changed_at {
            self.position = self.position.max(revision);
            self.confirm(now, age);
        }
        Vec::new()
    }

    /// Returns whether this VM's view is so old that its peers may have purged tombstones it has
    /// not received.
    fn has_missed_deletions(&self, now: Millis) -> bool {
        self.confirmed_at.is_some() && self.age(now) > self.limits.max_delta_age
    }

    /// Records that a peer confirmed this VM's view.
    fn confirm(&mut self, now: Millis, age: Millis) {
        self.peer_has_confirmed = true;
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message and its sender.
    fn on_share(
        &mut self,
        now: Millis,
        from: &VmId,
        after: Revision,
        upto: Revision,
        age: Millis,
        items: Vec<SharedItem>,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        if upto < self.position {
            return Vec::new();
        }
        let routes = delta::apply(items.iter(), view.routes);
        let complete = after == Revision(0);
        let missed_deletions = self.has_missed_deletions(now);
        if missed_deletions && !complete {
            return self.on_gap(from, self.position);
        }
        let routes = match routes {
            Ok(routes) if after <= self.position => routes,
            Ok(_) | Err(delta::BaseUnknown) => return self.on_gap(from, after),
        };
        self.confirm(now, age);
        if !missed_deletions && (upto == self.position || items.is_empty()) {
            self.position = upto;
            return Vec::new();
        }
        let is_newer =
            |routes: &Arc<Routes>| view.routes.is_none_or(|known| routes.revision > known.revision);
        let routes = routes.filter(is_newer);
        self.counters.applied += 1;
        self.changed_at = upto;
        let targets = items.into_iter().filter_map(|item| match item {
            SharedItem::Target(change) => Some(change),
            SharedItem::Routes { .. } | SharedItem::Route(..) | SharedItem::RouteGone(_) => None,
        });
        let changes = SharedChanges {
            from: from.clone(),
            targets: targets.collect(),
            complete,
            routes,
            upto,
        };
        if let Some(routes) = &changes.routes {
            self.history.add(routes.clone());
        }
        self.position = upto;
        vec![SharingStep::Apply(changes)]
    }

    /// Requests the missing changes, or the full state if the update already started at this
    /// position.
    fn on_gap(&mut self, from: &VmId, started_at: Revision) -> Vec<SharingStep> {
        self.counters.gaps += 1;
        let after = if started_at == self.position { Revision(0) } else { self.position };
        vec![self.send(vec![from.clone()], SharingMessage::Ask { after })]
    }

    /// Sends the changes after a revision to some peers. Sends nothing before the first response of
    /// the store, when this VM has no view.
    fn send_update(
        &mut self,
        now: Millis,
        to: Vec<VmId>,
        after: Revision,
        view: View<'_>,
    ) -> Vec<SharingStep> {
        let age = self.age(now);
        if self.position == Revision(0) || after > self.position || age == Millis::MAX {
            return Vec::new();
        }
        let mut items: Vec<SharedItem> =
            view.targets.changes_after(now, after).map(SharedItem::Target).collect();
        if let Some(routes) = view.routes.filter(|routes| routes.revision > after) {
            items.extend(self.history.delta(routes, after));
        }
        let parts = parts::split(items);
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let upto = self.position;
        if parts.len() * parts::PART_BYTES * to.len() > self.limits.max_update_bytes
            && parts.len() > 1
        {
            return vec![self.send(to, SharingMessage::ReadStore { upto })];
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
