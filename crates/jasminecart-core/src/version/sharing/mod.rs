//! Shares what a few VMs read from the platform's store with the rest of their data centre.
//!
//! Calls to the store are priced and its rate grows more slowly than the fleet, so that only
//! [`SharingLimits::readers`] VMs of a data centre follow it. They announce what they know to the other
//! members, which follow them. A member whose knowledge was last confirmed more than
//! [`SharingLimits::alone_after`] ago reads on its own, whatever the reason. A reader that can't reach the
//! store says so, and the next member takes its place. `docs/platform.md`, "Readers", gives the figures.

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

/// What this VM knows, as the caller holds it.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// The targets.
    pub targets: &'a TargetList,
    /// The routes in force.
    pub routes: Option<&'a Arc<Routes>>,
}

/// Decides who follows the store, and passes on what it says.
#[derive(Debug)]
pub struct Sharing {
    me: VmId,
    limits: SharingLimits,
    peers: Vec<VmId>,
    /// The members that may read, the first in rank first.
    ranked: Vec<VmId>,
    /// Until when members are passed over, because they can't reach the store.
    passed_over: BTreeMap<VmId, Millis>,
    is_reader: bool,
    is_standby: bool,
    position: Revision,
    /// The revision up to which a peer told this VM to read the store.
    read_upto: Revision,
    /// The position at which something was last added to what this VM knows.
    changed_at: Revision,
    /// When the store last confirmed what this VM knows, as far as it can tell.
    confirmed_at: Option<Millis>,
    /// Whether a peer has ever confirmed what this VM knows.
    has_heard: bool,
    source: Source,
    beacon_at: Millis,
    assemblies: BTreeMap<VmId, Assembly>,
    history: RouteHistory,
    counters: SharingCounters,
}

impl Sharing {
    /// Creates the sharing of one VM, which follows the store itself until it hears from its peers.
    pub fn new(me: VmId, limits: SharingLimits) -> Sharing {
        Sharing {
            me,
            limits,
            peers: Vec::new(),
            ranked: Vec::new(),
            passed_over: BTreeMap::new(),
            is_reader: true,
            is_standby: false,
            position: Revision(0),
            read_upto: Revision(0),
            changed_at: Revision(0),
            confirmed_at: None,
            has_heard: false,
            source: Source::Alone,
            beacon_at: Millis::ZERO,
            assemblies: BTreeMap::new(),
            history: RouteHistory::default(),
            counters: SharingCounters::default(),
        }
    }

    /// Takes the members of the data centre.
    pub fn set_members(&mut self, members: &Members) {
        let near = |vm: &&VmId| vm.data_centre == self.me.data_centre;
        let eligible = members.eligible().filter(|member| near(&&member.vm));
        // Reading costs processor time, of which the smallest VMs have a twentieth of the largest. Sizes
        // that differ by less than a factor of two count as equal.
        let rank = |member: &&Member| {
            let hash = rendezvous::hash(("store readers", &member.vm));
            std::cmp::Reverse((member.size.max(1).ilog2(), hash))
        };
        let mut ranked: Vec<&Member> = eligible.collect();
        ranked.sort_by_cached_key(rank);
        self.ranked = ranked.into_iter().map(|member| member.vm.clone()).collect();
        self.peers = members.peers().map(|member| &member.vm).filter(near).cloned().collect();
        let peers = &self.peers;
        self.assemblies.retain(|vm, _| peers.contains(vm));
    }

    /// Returns how this VM has to keep its knowledge current.
    pub fn source(&mut self, now: Millis) -> Source {
        self.rank(now);
        let alone_after =
            if self.is_standby { self.limits.standby_after } else { self.limits.alone_after };
        let stale = self.age(now) >= alone_after;
        let source = if self.is_reader {
            Source::Reader
        } else if self.position < self.read_upto
            || self.position == Revision(0)
            || !self.has_heard
            || stale
        {
            Source::Alone
        } else {
            Source::Peers
        };
        if source == Source::Alone && self.source == Source::Peers {
            self.counters.alone += 1;
        }
        self.source = source;
        source
    }

    /// Works out whether this VM is one of the readers, or the next to become one.
    fn rank(&mut self, now: Millis) {
        self.passed_over.retain(|_, until| now < *until);
        let mut able = self.ranked.iter().filter(|vm| !self.passed_over.contains_key(vm));
        let place = able.position(|vm| *vm == self.me);
        self.is_reader = place.is_some_and(|place| place < self.limits.readers);
        self.is_standby = place == Some(self.limits.readers);
    }

    /// Tells whether the data centre relies on this VM to notice the return of a store that failed. The first
    /// in rank do, whether they are passed over or not, and a VM that its peers do not know yet.
    pub fn probes_store(&self) -> bool {
        let place = self.ranked.iter().position(|vm| *vm == self.me);
        place.is_none_or(|place| place < self.limits.probers)
    }

    /// Returns the revision up to which this VM knows everything.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Returns how long ago the store confirmed what this VM knows, directly or through a peer.
    pub fn age(&self, now: Millis) -> Millis {
        self.confirmed_at.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Returns the counts.
    pub fn counters(&self) -> SharingCounters {
        self.counters
    }

    /// Notes an answer of the store: `knowledge` is complete up to `upto`, and `changed` tells whether the
    /// answer brought something new. A reader tells its peers at once what changed.
    pub fn on_store(
        &mut self,
        now: Millis,
        upto: Revision,
        changed: bool,
        knowledge: Knowledge<'_>,
    ) -> Vec<SharingStep> {
        let before = self.position;
        self.position = before.max(upto);
        if let Some(routes) = knowledge.routes {
            self.history.add(routes.clone());
        }
        self.confirmed_at = Some(now);
        self.passed_over.remove(&self.me);
        if changed {
            self.changed_at = self.position;
        }
        // A member that had to read on its own spares the others the call.
        if self.source == Source::Peers {
            return Vec::new();
        }
        if !changed {
            return self.state(now);
        }
        self.beacon_at = now + self.limits.beacon;
        self.share(now, self.peers.clone(), before, knowledge)
    }

    /// Notes that a call to the store failed. A reader tells its peers, so that another one takes its place.
    pub fn on_store_failure(&mut self, now: Millis) -> Vec<SharingStep> {
        if !self.is_reader {
            return Vec::new();
        }
        self.passed_over.insert(self.me.clone(), now + self.limits.passed_over);
        self.state(now)
    }

    /// Takes a message of a peer.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &VmId,
        message: SharingMessage,
        knowledge: Knowledge<'_>,
    ) -> Vec<SharingStep> {
        if from.data_centre != self.me.data_centre || *from == self.me {
            return Vec::new();
        }
        match message {
            SharingMessage::Ask { after } => self.share(now, vec![from.clone()], after, knowledge),
            SharingMessage::Beacon { unchanged_since, revision, age, reachable } => {
                if reachable {
                    self.passed_over.remove(from);
                } else {
                    self.passed_over.insert(from.clone(), now + self.limits.passed_over);
                }
                self.on_beacon(now, from, unchanged_since, revision, age)
            }
            SharingMessage::Share { after, upto, age, part, parts, items } => {
                let assembly = self.assemblies.entry(from.clone()).or_default();
                let Some(items) = assembly.add(after, upto, part, parts, items) else {
                    return Vec::new();
                };
                self.on_share(now, from, after, upto, age, items, knowledge)
            }
            SharingMessage::ReadStore { upto } => {
                self.read_upto = self.read_upto.max(upto);
                Vec::new()
            }
        }
    }

    /// Does what is due: a reader repeats what it knows.
    pub fn tick(&mut self, now: Millis) -> Vec<SharingStep> {
        if !self.is_reader || now < self.beacon_at || self.position == Revision(0) {
            return Vec::new();
        }
        self.state(now)
    }

    /// Tells all peers what this VM knows, and how old it is.
    fn state(&mut self, now: Millis) -> Vec<SharingStep> {
        self.beacon_at = now + self.limits.beacon;
        let beacon = SharingMessage::Beacon {
            unchanged_since: self.changed_at,
            revision: self.position,
            age: self.age(now),
            reachable: !self.passed_over.contains_key(&self.me),
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

    /// Tells whether this VM was away for so long that its peers may have forgotten deletions since.
    fn has_missed_deletions(&self, now: Millis) -> bool {
        self.confirmed_at.is_some() && self.age(now) > self.limits.history
    }

    /// Notes that a peer confirms what this VM knows.
    fn confirm(&mut self, now: Millis, age: Millis) {
        self.has_heard = true;
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message and where it came from.
    fn on_share(
        &mut self,
        now: Millis,
        from: &VmId,
        after: Revision,
        upto: Revision,
        age: Millis,
        items: Vec<SharedItem>,
        knowledge: Knowledge<'_>,
    ) -> Vec<SharingStep> {
        if upto < self.position {
            return Vec::new();
        }
        let routes = delta::apply(items.iter(), knowledge.routes);
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
        let is_newer = |routes: &Arc<Routes>| {
            knowledge.routes.is_none_or(|known| routes.revision > known.revision)
        };
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

    /// Asks for what is missing, or for everything when the statement already began at this position.
    fn on_gap(&mut self, from: &VmId, began_at: Revision) -> Vec<SharingStep> {
        self.counters.gaps += 1;
        let after = if began_at == self.position { Revision(0) } else { self.position };
        vec![self.send(vec![from.clone()], SharingMessage::Ask { after })]
    }

    /// Tells some peers what changed after a revision. Before the first answer of the store there is nothing
    /// to tell.
    fn share(
        &mut self,
        now: Millis,
        to: Vec<VmId>,
        after: Revision,
        knowledge: Knowledge<'_>,
    ) -> Vec<SharingStep> {
        let age = self.age(now);
        if self.position == Revision(0) || after > self.position || age == Millis::MAX {
            return Vec::new();
        }
        let mut items: Vec<SharedItem> =
            knowledge.targets.changes_after(now, after).map(SharedItem::Target).collect();
        if let Some(routes) = knowledge.routes.filter(|routes| routes.revision > after) {
            items.extend(self.history.delta(routes, after));
        }
        let parts = parts::split(items);
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let upto = self.position;
        if parts.len() * parts::PART_BYTES * to.len() > self.limits.statement_bytes
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
