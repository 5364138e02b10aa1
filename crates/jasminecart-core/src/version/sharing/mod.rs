//! Shares what a few VMs read from the platform's store with the rest of their data centre.
//!
//! Calls to the store are priced and its rate grows more slowly than the fleet, so that only
//! [`SharingLimits::readers`] VMs of a data centre follow it. They announce what they know to the other
//! members, which follow them. A member that hears of nothing current for [`SharingLimits::silence`] reads
//! on its own, whatever the reason. `docs/platform.md`, "Readers", gives the figures.

mod delta;
mod parts;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use self::delta::RouteHistory;
use self::parts::Assembly;
use super::{Revision, RouteRule, Routes, TargetChange, TargetList};
use crate::names::VmId;
use crate::process::{Members, rendezvous};
use crate::time::Millis;

/// Bounds and periods of [`Sharing`].
#[derive(Clone, Copy, Debug)]
pub struct SharingLimits {
    /// How many VMs of a data centre follow the store. With two, the loss of one is not noticed.
    pub readers: usize,
    /// The period in which a reader states what it knows, if nothing changed.
    pub beacon: Millis,
    /// A member that has heard nothing current for this long reads on its own: three beacons.
    pub silence: Millis,
    /// The oldest confirmation by the store that counts as current. A watch confirms every 2 s.
    pub current_within: Millis,
    /// How long deletions are remembered. A member that was away for longer has to read everything.
    pub history: Millis,
}

impl Default for SharingLimits {
    fn default() -> Self {
        SharingLimits {
            readers: 2,
            beacon: Millis(500),
            silence: Millis(1_500),
            current_within: Millis(3_200),
            history: Millis::from_secs(60),
        }
    }
}

/// One item of what VMs share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharedItem {
    /// A target was written or deleted.
    Target(TargetChange),
    /// The routes changed. The items that follow tell how.
    Routes {
        /// The routes that the following items change; absent when they are all routes.
        base: Option<Revision>,
        /// The revision of the new routes.
        revision: Revision,
        /// The operators' version of the new routes.
        version: u64,
        /// How long a flow may be idle.
        idle_timeout: Millis,
    },
    /// A service address leads to a rule.
    Route(std::net::SocketAddrV4, RouteRule),
    /// A service address no longer leads anywhere.
    RouteGone(std::net::SocketAddrV4),
}

/// A message between two VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharingMessage {
    /// What the sender knows is of `revision`, confirmed by the store `age` ago.
    Beacon {
        /// The revision since which nothing changed that concerns the receiver.
        unchanged_since: Revision,
        /// The revision up to which the sender knows everything.
        revision: Revision,
        /// How long ago the store confirmed it.
        age: Millis,
    },
    /// Asks for what changed after a revision.
    Ask {
        /// The revision up to which the asker knows everything.
        after: Revision,
    },
    /// One part of what changed between two revisions.
    Share {
        /// The revision from which the changes count; 0 when they are everything.
        after: Revision,
        /// The revision up to which they are complete.
        upto: Revision,
        /// How long ago the store confirmed that.
        age: Millis,
        /// The number of this part, from 0.
        part: u16,
        /// How many parts there are.
        parts: u16,
        /// The items of this part.
        items: Vec<SharedItem>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum SharingStep {
    /// A message has to be sent.
    Message {
        /// The VM that receives it.
        to: VmId,
        /// The message.
        message: SharingMessage,
    },
    /// A peer's knowledge has to be applied.
    Apply(SharedChanges),
}

/// Changes that were received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedChanges {
    /// The VM that sent them.
    pub from: VmId,
    /// Changes of targets.
    pub targets: Vec<TargetChange>,
    /// The new routes, if they changed.
    pub routes: Option<Arc<Routes>>,
    /// The revision up to which they are complete.
    pub upto: Revision,
}

/// How a VM keeps its knowledge current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It follows the store itself, because it is one of the readers.
    Reader,
    /// It follows the store itself, because no peer tells it anything current.
    Alone,
    /// It follows the readers of its data centre.
    Peers,
}

/// Counts of [`Sharing`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SharingCounters {
    /// Messages sent.
    pub sent: u64,
    /// Changes taken from peers.
    pub applied: u64,
    /// Changes of peers that did not fit what this VM knows.
    pub gaps: u64,
    /// How often this VM began to read on its own.
    pub alone: u64,
}

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
    is_reader: bool,
    position: Revision,
    /// The position at which something was last added to what this VM knows.
    changed_at: Revision,
    /// When the store last confirmed what this VM knows, as far as it can tell.
    confirmed_at: Option<Millis>,
    /// When a peer last told something current.
    peer_heard_at: Option<Millis>,
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
            is_reader: true,
            position: Revision(0),
            changed_at: Revision(0),
            confirmed_at: None,
            peer_heard_at: None,
            source: Source::Alone,
            beacon_at: Millis::ZERO,
            assemblies: BTreeMap::new(),
            history: RouteHistory::default(),
            counters: SharingCounters::default(),
        }
    }

    /// Takes the members of the data centre.
    pub fn set_members(&mut self, members: &Members) {
        let me = &self.me;
        let live = |vm: &&VmId| vm.data_centre == me.data_centre;
        let eligible: Vec<&VmId> =
            members.eligible().map(|member| &member.vm).filter(live).collect();
        self.peers =
            members.peers().map(|member| member.vm.clone()).filter(|vm| live(&vm)).collect();
        let ranked = rendezvous::ranked("store readers", eligible);
        self.is_reader = ranked.iter().take(self.limits.readers).any(|vm| *vm == me);
        let peers = &self.peers;
        self.assemblies.retain(|vm, _| peers.contains(vm));
    }

    /// Returns how this VM has to keep its knowledge current.
    pub fn source(&mut self, now: Millis) -> Source {
        let silent = self.peer_heard_at.is_none_or(|at| now.since(at) >= self.limits.silence);
        let source = match (self.is_reader, self.position, silent) {
            (true, _, _) => Source::Reader,
            // Nothing is known yet: the store is the quickest source.
            (false, Revision(0), _) | (false, _, true) => Source::Alone,
            (false, _, false) => Source::Peers,
        };
        if source == Source::Alone && self.source == Source::Peers {
            self.counters.alone += 1;
        }
        self.source = source;
        source
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
        if changed {
            self.changed_at = self.position;
        }
        if !changed || !self.is_reader {
            return Vec::new();
        }
        let peers = self.peers.clone();
        let mut steps = Vec::new();
        for peer in peers {
            steps.extend(self.share(now, &peer, before, knowledge));
        }
        self.beacon_at = now + self.limits.beacon;
        steps
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
            SharingMessage::Ask { after } => self.share(now, from, after, knowledge),
            SharingMessage::Beacon { unchanged_since, revision, age } => {
                self.on_beacon(now, from, unchanged_since, revision, age)
            }
            SharingMessage::Share { after, upto, age, part, parts, items } => {
                let assembly = self.assemblies.entry(from.clone()).or_default();
                let Some(items) = assembly.add(after, upto, part, parts, items) else {
                    return Vec::new();
                };
                self.on_share(now, from, after, upto, age, items, knowledge)
            }
        }
    }

    /// Does what is due. A VM that follows the store states what it knows.
    pub fn tick(&mut self, now: Millis) -> Vec<SharingStep> {
        let age = self.age(now);
        if !self.is_reader || now < self.beacon_at || age > self.limits.current_within {
            return Vec::new();
        }
        self.beacon_at = now + self.limits.beacon;
        let (unchanged_since, revision) = (self.changed_at, self.position);
        let beacon = SharingMessage::Beacon { unchanged_since, revision, age };
        let peers = self.peers.clone();
        peers.iter().map(|peer| self.send(peer, beacon.clone())).collect()
    }

    fn on_beacon(
        &mut self,
        now: Millis,
        from: &VmId,
        unchanged_since: Revision,
        revision: Revision,
        age: Millis,
    ) -> Vec<SharingStep> {
        if unchanged_since > self.position || self.position == Revision(0) {
            let ask = SharingMessage::Ask { after: self.position };
            return vec![self.send(from, ask)];
        }
        if revision >= self.changed_at {
            self.position = self.position.max(revision);
            self.confirm(now, age);
        }
        Vec::new()
    }

    /// Notes that a peer confirms what this VM knows.
    fn confirm(&mut self, now: Millis, age: Millis) {
        if age > self.limits.current_within {
            return;
        }
        self.peer_heard_at = Some(now);
        let confirmed = now - age;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed));
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
        let routes = match routes {
            Ok(routes) if after <= self.position => routes,
            Ok(_) | Err(delta::BaseUnknown) => return self.on_gap(from, after),
        };
        self.confirm(now, age);
        if upto == self.position || items.is_empty() {
            self.position = upto;
            return Vec::new();
        }
        self.counters.applied += 1;
        self.changed_at = upto;
        let targets = items.into_iter().filter_map(|item| match item {
            SharedItem::Target(change) => Some(change),
            SharedItem::Routes { .. } | SharedItem::Route(..) | SharedItem::RouteGone(_) => None,
        });
        let changes =
            SharedChanges { from: from.clone(), targets: targets.collect(), routes, upto };
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
        vec![self.send(from, SharingMessage::Ask { after })]
    }

    /// Tells a peer what changed after a revision. Before the first answer of the store there is nothing
    /// to tell.
    fn share(
        &mut self,
        now: Millis,
        to: &VmId,
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
        let message =
            |(part, items)| SharingMessage::Share { after, upto, age, part, parts: count, items };
        let messages: Vec<SharingMessage> = (0..count).zip(parts).map(message).collect();
        messages.into_iter().map(|message| self.send(to, message)).collect()
    }

    fn send(&mut self, to: &VmId, message: SharingMessage) -> SharingStep {
        self.counters.sent += 1;
        SharingStep::Message { to: to.clone(), message }
    }
}
