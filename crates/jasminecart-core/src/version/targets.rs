//! The list of targets, which changes far more often than the routes and is learned apart from them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{Revision, TargetState};
use crate::names::Name;
use crate::time::Millis;

/// How long a target whose entry lapsed during an outage of the store still takes new flows after the
/// store is back. Targets that live register again within about two seconds of its return.
pub const LAPSE_GRACE: Millis = Millis(2_500);
/// How long packets of open flows still go to a target whose entry is gone. Afterwards their clients get a
/// reset. It has to exceed [`LAPSE_GRACE`], because an entry may lapse while its target serves.
pub const GONE_AFTER: Millis = Millis(4_000);
/// How long the name of a target that is gone is remembered, so that late packets of its flows are answered
/// with a reset. A flow may be discarded after 60 s of age.
pub const FORGOTTEN_AFTER: Millis = Millis::from_secs(75);

/// What the platform says of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The name of the target, unique among all targets.
    pub name: Name,
    /// The number by which the target recognises packets that are meant for it.
    pub label: u64,
    /// The service it serves.
    pub service: Name,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Name,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it takes new flows.
    pub state: TargetState,
    /// How much longer it runs slowly after its start, counted from the moment of the record.
    pub cold_for: Millis,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub started_at: Option<u64>,
    /// The revision of the record.
    pub revision: Revision,
}

/// Whether the record of a target is in the platform's store, as far as this VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The record is there.
    Listed,
    /// The record was lost during an outage of the store, and the target may be alive.
    Lapsed {
        /// When this VM learned of it.
        since: Millis,
    },
    /// The record was removed while the store worked: the target has left or died.
    Removed {
        /// When this VM learned of it.
        since: Millis,
    },
}

/// A target with what this VM knows about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The last record of the target.
    pub record: TargetRecord,
    /// Whether the record still exists.
    pub presence: Presence,
    /// When this VM received the record.
    pub received_at: Millis,
}

impl ListedTarget {
    /// Tells whether new flows may go to the target.
    pub fn takes_flows(&self) -> bool {
        self.record.state == TargetState::Active
            && !matches!(self.presence, Presence::Removed { .. })
    }

    /// Returns from when the target is known to be gone, so that packets of its flows can't be delivered
    /// any more. [`Millis::MAX`] while its record exists.
    pub fn gone_at(&self) -> Millis {
        match self.presence {
            // A lapsed target becomes a removed one once the store has confirmed that it stays away.
            Presence::Listed | Presence::Lapsed { .. } => Millis::MAX,
            Presence::Removed { since } => since + GONE_AFTER,
        }
    }

    /// Returns how much longer the target is expected to run slowly.
    pub fn cold_left(&self, now: Millis) -> Millis {
        self.record.cold_for - now.since(self.received_at)
    }
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target was added, or its record changed.
    Written(TargetRecord),
    /// The record of a target was deleted at a revision.
    Deleted {
        /// The name of the target.
        name: Name,
        /// The revision of the deletion.
        revision: Revision,
        /// Whether the record may only have lapsed while the store was away, as the VM knows that read it.
        lapsed: bool,
    },
}

impl TargetChange {
    /// Returns the record that was written.
    pub fn into_written(self) -> Option<TargetRecord> {
        match self {
            TargetChange::Written(record) => Some(record),
            TargetChange::Deleted { .. } => None,
        }
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &Name {
        match self {
            TargetChange::Written(record) => &record.name,
            TargetChange::Deleted { name, .. } => name,
        }
    }
}

/// What a change did to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The target is new.
    Added,
    /// Its record changed.
    Changed,
    /// It runs in a new incarnation that knows nothing of earlier flows.
    Restarted,
    /// Its record is gone.
    Removed,
    /// The change is older than what is known, or says nothing new.
    Ignored,
}

/// The targets that this VM knows of. Records are monotonic: an older one never replaces a newer one.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<Name, ListedTarget>,
    /// Until when deletions count as lapses, because the store was away shortly before.
    lapse_until: Millis,
    /// When the store last confirmed the list.
    confirmed_at: Millis,
    /// When the first whole list was taken. Entries that lapsed before may be missing in it.
    first_list_at: Option<Millis>,
}

impl TargetList {
    /// Notes that the store answers again after an outage, or is seen for the first time.
    pub fn set_store_returned(&mut self, now: Millis) {
        self.lapse_until = now + LAPSE_GRACE;
    }

    /// Notes that the store confirmed the list, directly or through a peer. A target that lapsed is gone only
    /// once the store was there for long enough without it.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Tells whether a target that is not listed is gone. Shortly after the store's return, and after the
    /// first list of a process that may have started then, live targets may still have to register again.
    pub fn is_settled(&self, now: Millis) -> bool {
        let first = self.first_list_at.is_some_and(|at| now.since(at) >= LAPSE_GRACE);
        first && now >= self.lapse_until
    }

    /// Applies one change.
    pub fn apply(&mut self, now: Millis, change: TargetChange) -> Effect {
        match change {
            TargetChange::Written(record) => self.write(now, record),
            TargetChange::Deleted { name, revision, lapsed } => {
                self.delete(now, &name, revision, lapsed)
            }
        }
    }

    /// Takes a whole list that was read at `revision`. Targets that it leaves out are gone, unless their
    /// records are newer than the list. Returns the names whose state changed.
    pub fn replace(
        &mut self,
        now: Millis,
        records: Vec<TargetRecord>,
        revision: Revision,
    ) -> Vec<(Name, Effect)> {
        self.first_list_at.get_or_insert(now);
        let listed: std::collections::BTreeSet<Name> =
            records.iter().map(|record| record.name.clone()).collect();
        let missing = |target: &&ListedTarget| {
            target.presence == Presence::Listed
                && target.record.revision <= revision
                && !listed.contains(&target.record.name)
        };
        let missing: Vec<Name> = self
            .targets
            .values()
            .filter(missing)
            .map(|target| target.record.name.clone())
            .collect();
        let mut effects: Vec<(Name, Effect)> = Vec::new();
        for record in records {
            let name = record.name.clone();
            effects.push((name, self.write(now, record)));
        }
        for name in missing {
            let effect = self.delete(now, &name, revision, false);
            effects.push((name, effect));
        }
        effects.retain(|(_, effect)| *effect != Effect::Ignored);
        effects
    }

    fn write(&mut self, now: Millis, record: TargetRecord) -> Effect {
        let listed = ListedTarget { record, presence: Presence::Listed, received_at: now };
        let Some(known) = self.targets.get_mut(&listed.record.name) else {
            self.targets.insert(listed.record.name.clone(), listed);
            return Effect::Added;
        };
        if listed.record.revision < known.record.revision {
            return Effect::Ignored;
        }
        if listed.record.revision == known.record.revision && known.presence == Presence::Listed {
            return Effect::Ignored;
        }
        let restarted = listed.record.started_at != known.record.started_at;
        *known = listed;
        if restarted { Effect::Restarted } else { Effect::Changed }
    }

    fn delete(&mut self, now: Millis, name: &Name, revision: Revision, lapsed: bool) -> Effect {
        let lapses = lapsed || now < self.lapse_until;
        let Some(known) = self.targets.get_mut(name) else { return Effect::Ignored };
        if revision < known.record.revision || known.presence != Presence::Listed {
            return Effect::Ignored;
        }
        known.record.revision = revision;
        known.presence = if lapses && known.record.state == TargetState::Active {
            Presence::Lapsed { since: now }
        } else {
            Presence::Removed { since: now }
        };
        Effect::Removed
    }

    /// Ends the grace of lapsed targets and forgets targets that are long gone. Returns the names that
    /// stopped taking flows and the names that were forgotten.
    pub fn expire(&mut self, now: Millis) -> Expired {
        let mut expired = Expired::default();
        for (name, target) in &mut self.targets {
            if let Presence::Lapsed { since } = target.presence
                && self.confirmed_at.since(since) >= LAPSE_GRACE
            {
                target.presence = Presence::Removed { since };
                expired.stopped.push(name.clone());
            }
            if let Presence::Removed { since } = target.presence
                && now.since(since) >= FORGOTTEN_AFTER
            {
                expired.forgotten.push(name.clone());
            }
        }
        for name in &expired.forgotten {
            self.targets.remove(name);
        }
        expired
    }

    /// Returns a target, gone ones included.
    pub fn get(&self, name: &Name) -> Option<&ListedTarget> {
        self.targets.get(name)
    }

    /// Returns all targets, gone ones included, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values()
    }

    /// Returns the changes that lead from a list that is complete up to `after` to this one, as of `now`.
    pub fn changes_after(
        &self,
        now: Millis,
        after: Revision,
    ) -> impl Iterator<Item = TargetChange> {
        let newer = self.targets.values().filter(move |target| target.record.revision > after);
        newer.map(move |target| match target.presence {
            Presence::Listed => TargetChange::Written(TargetRecord {
                cold_for: target.cold_left(now),
                ..target.record.clone()
            }),
            Presence::Lapsed { .. } | Presence::Removed { .. } => TargetChange::Deleted {
                name: target.record.name.clone(),
                revision: target.record.revision,
                lapsed: matches!(target.presence, Presence::Lapsed { .. }),
            },
        })
    }

    /// Returns how many targets take new flows.
    pub fn usable(&self) -> usize {
        self.targets.values().filter(|target| target.takes_flows()).count()
    }
}

/// What time alone changed in a [`TargetList`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Targets that no longer take new flows.
    pub stopped: Vec<Name>,
    /// Targets that are no longer known.
    pub forgotten: Vec<Name>,
}
