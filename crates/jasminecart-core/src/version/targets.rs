//! The list of targets. It changes far more often than the routes and is distributed separately.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{StoreRevision, TargetState};
use crate::names::Name;
use crate::time::Millis;

/// How long a target whose registration expired during an outage of the store still accepts new
/// flows after the store has recovered. Live targets register again within about two seconds of the
/// recovery.
pub const REREGISTRATION_GRACE: Millis = Millis(2_500);
/// How long packets of open flows are still delivered to a target whose record was removed.
/// Afterwards their clients receive a reset. It must exceed [`REREGISTRATION_GRACE`], because a
/// registration may expire while its target still serves.
pub const REMOVAL_GRACE: Millis = Millis(4_000);
/// How long the tombstone of a removed target is retained, so that late packets of its flows are
/// answered with a reset. A flow may be discarded at an age of 60 s.
pub const TOMBSTONE_RETENTION: Millis = Millis::from_secs(75);

/// The record of one target in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The name of the target, unique among all targets.
    pub name: Name,
    /// The number by which the target recognises packets that are addressed to it.
    pub label: u64,
    /// The service that the target serves.
    pub service: Name,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Name,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it accepts new flows.
    pub state: TargetState,
    /// The remaining warm-up time after its start, as of this record.
    pub cold_for: Millis,
    /// When it started, in milliseconds since the Unix epoch, if it reports that.
    pub started_at: Option<u64>,
    /// How many reports it had made since its start.
    pub sequence: u64,
    /// The revision of the record.
    pub revision: StoreRevision,
}

impl TargetRecord {
    /// Returns whether this record is a later report of the target than `known`, whatever their revisions. Targets
    /// that drain do not return to service, so that draining is the later one of two reports with one number.
    fn is_later_report_than(&self, known: &TargetRecord) -> bool {
        let order = |record: &TargetRecord| {
            (record.started_at, record.sequence, record.state == TargetState::Draining)
        };
        order(self) > order(known)
    }
}

/// Whether a target is registered in the platform's store, in this VM's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The record is in the store.
    Registered,
    /// The registration expired during an outage of the store, and the target may still be alive.
    Expired {
        /// When this VM received the expiry.
        since: Millis,
    },
    /// The record was removed while the store was available: the target has left or died.
    Removed {
        /// When this VM received the removal.
        since: Millis,
    },
}

/// A target with its last record and the state of its registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The last record of the target.
    pub record: TargetRecord,
    /// Whether the target is still registered.
    pub registration: Registration,
    /// When this VM received the record.
    pub received_at: Millis,
}

impl TargetEntry {
    /// Returns whether the target accepts new flows.
    pub fn accepts_flows(&self) -> bool {
        self.record.state == TargetState::Active
            && !matches!(self.registration, Registration::Removed { .. })
    }

    /// Returns the time from which packets of the target's flows are no longer delivered, because
    /// its record was removed. [`Millis::MAX`] while the target is registered or its registration
    /// has only expired.
    pub fn delivery_ends_at(&self) -> Millis {
        match self.registration {
            // An expired target becomes a removed one once the store has confirmed that it did not
            // return.
            Registration::Registered | Registration::Expired { .. } => Millis::MAX,
            Registration::Removed { since } => since + REMOVAL_GRACE,
        }
    }

    /// Applies a record that a restored store returns, and that is no later report than the known one. It does not
    /// return a removed target to service: the removal was lost with the store's latest changes.
    fn on_restored(&mut self, restored: &TargetRecord) -> Effect {
        let same_incarnation = restored.started_at == self.record.started_at;
        match self.registration {
            Registration::Expired { .. } if same_incarnation => {
                self.registration = Registration::Registered;
                self.record.revision = restored.revision;
                Effect::Changed
            }
            Registration::Registered if !self.record.is_later_report_than(restored) => {
                Effect::Ignored
            }
            Registration::Registered
            | Registration::Expired { .. }
            | Registration::Removed { .. } => Effect::Outdated,
        }
    }

    /// Returns the remaining warm-up time of the target.
    pub fn warmup_left(&self, now: Millis) -> Millis {
        self.record.cold_for - now.since(self.received_at)
    }
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A record was added or changed.
    Written(TargetRecord),
    /// The record of a target was deleted at a revision.
    Deleted {
        /// The name of the target.
        name: Name,
        /// The revision of the deletion.
        revision: StoreRevision,
        /// Whether the registration may have expired because of a store outage, in the view of the
        /// VM that read the store.
        lapsed: bool,
    },
}

impl TargetChange {
    /// Returns the record if one was written.
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

/// The effect of a change on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The target was added.
    Added,
    /// Its record changed.
    Changed,
    /// The target runs in a new incarnation that has no state of earlier flows.
    Restarted,
    /// Its record was deleted.
    Removed,
    /// The change is older than the known state of the target, and was not applied.
    Outdated,
    /// The change changes nothing.
    Ignored,
}

impl Effect {
    /// Returns whether the list changed.
    pub fn is_change(self) -> bool {
        match self {
            Effect::Added | Effect::Changed | Effect::Restarted | Effect::Removed => true,
            Effect::Outdated | Effect::Ignored => false,
        }
    }
}

/// The targets that this VM knows. Records are monotonic: an older one never replaces a newer one, also if the store
/// was restored from a copy and returns older records under new revisions.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    targets: BTreeMap<Name, TargetEntry>,
    /// Deletions before this time count as expired registrations, because the store was unavailable
    /// shortly before.
    grace_until: Millis,
    /// When the store last confirmed the list.
    confirmed_at: Millis,
    /// The revision of the first snapshot in the store's current epoch. Records up to it may come from the copy
    /// that the store was restored from.
    epoch_start: Option<StoreRevision>,
    /// When the first snapshot was applied. Registrations that expired before may be missing in it.
    first_snapshot_at: Option<Millis>,
}

impl TargetList {
    /// Records that the store responds again after an outage, or for the first time.
    pub fn set_store_recovered(&mut self, now: Millis) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Records that the store confirmed the list, directly or through a peer. A target whose
    /// registration expired is removed only after the store was available for
    /// [`REREGISTRATION_GRACE`] without it.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Returns when the store last confirmed the list.
    pub fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Returns whether a target that is not in the list can be considered removed. Live targets may
    /// not have registered again yet shortly after the store's recovery, or shortly after the first
    /// snapshot of a process that started at that time.
    pub fn is_settled(&self, now: Millis) -> bool {
        let first = self.first_snapshot_at.is_some_and(|at| now.since(at) >= REREGISTRATION_GRACE);
        first && now >= self.grace_until
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

    /// Replaces the list by a snapshot that was read at `revision`. Targets that are missing in the
    /// snapshot are removed, unless their records are newer. Returns the effect on each target that
    /// changed, and the records that are outdated.
    pub fn replace(
        &mut self,
        now: Millis,
        records: Vec<TargetRecord>,
        revision: StoreRevision,
    ) -> Vec<(Name, Effect)> {
        self.first_snapshot_at.get_or_insert(now);
        if self.epoch_start.is_some_and(|start| revision.epoch > start.epoch) {
            // Targets that registered after the copy was made have to register again.
            self.set_store_recovered(now);
            self.epoch_start = Some(revision);
        }
        self.epoch_start.get_or_insert(revision);
        let listed: std::collections::BTreeSet<Name> =
            records.iter().map(|record| record.name.clone()).collect();
        let missing = |target: &&TargetEntry| {
            target.registration == Registration::Registered
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
        let listed =
            TargetEntry { record, registration: Registration::Registered, received_at: now };
        let Some(known) = self.targets.get_mut(&listed.record.name) else {
            self.targets.insert(listed.record.name.clone(), listed);
            return Effect::Added;
        };
        let new_epoch = listed.record.revision.epoch > known.record.revision.epoch;
        if new_epoch
            && self.epoch_start.is_some_and(|start| listed.record.revision <= start)
            && !listed.record.is_later_report_than(&known.record)
        {
            return known.on_restored(&listed.record);
        }
        if listed.record.revision < known.record.revision {
            return Effect::Outdated;
        }
        if listed.record.revision == known.record.revision
            && known.registration == Registration::Registered
        {
            return Effect::Ignored;
        }
        let restarted = listed.record.started_at != known.record.started_at;
        *known = listed;
        if restarted { Effect::Restarted } else { Effect::Changed }
    }

    fn delete(
        &mut self,
        now: Millis,
        name: &Name,
        revision: StoreRevision,
        expired: bool,
    ) -> Effect {
        let is_expiry = expired || now < self.grace_until;
        let Some(known) = self.targets.get_mut(name) else { return Effect::Ignored };
        if revision < known.record.revision {
            return Effect::Outdated;
        }
        if known.registration != Registration::Registered {
            return Effect::Ignored;
        }
        known.record.revision = revision;
        known.registration = if is_expiry && known.record.state == TargetState::Active {
            Registration::Expired { since: now }
        } else {
            Registration::Removed { since: now }
        };
        Effect::Removed
    }

    /// Removes expired targets once the store was available for [`REREGISTRATION_GRACE`] without
    /// them, and purges tombstones older than [`TOMBSTONE_RETENTION`]. Returns the names of both.
    pub fn expire(&mut self, now: Millis) -> ExpiredTargets {
        let mut expired = ExpiredTargets::default();
        for (name, target) in &mut self.targets {
            if let Registration::Expired { since } = target.registration
                && self.confirmed_at.since(since) >= REREGISTRATION_GRACE
            {
                target.registration = Registration::Removed { since };
                expired.removed.push(name.clone());
            }
            if let Registration::Removed { since } = target.registration
                && now.since(since) >= TOMBSTONE_RETENTION
            {
                expired.purged.push(name.clone());
            }
        }
        for name in &expired.purged {
            self.targets.remove(name);
        }
        expired
    }

    /// Returns a target, which may be expired or removed.
    pub fn get(&self, name: &Name) -> Option<&TargetEntry> {
        self.targets.get(name)
    }

    /// Returns all targets, including expired and removed ones, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the changes since revision `after`, with the remaining warm-up times as of `now`.
    pub fn changes_after(
        &self,
        now: Millis,
        after: StoreRevision,
    ) -> impl Iterator<Item = TargetChange> {
        let newer = self.targets.values().filter(move |target| target.record.revision > after);
        newer.map(move |target| match target.registration {
            Registration::Registered => TargetChange::Written(TargetRecord {
                cold_for: target.warmup_left(now),
                ..target.record.clone()
            }),
            Registration::Expired { .. } | Registration::Removed { .. } => TargetChange::Deleted {
                name: target.record.name.clone(),
                revision: target.record.revision,
                lapsed: matches!(target.registration, Registration::Expired { .. }),
            },
        })
    }

    /// Returns the number of targets that accept new flows.
    pub fn usable_count(&self) -> usize {
        self.targets.values().filter(|target| target.accepts_flows()).count()
    }
}

/// The targets that [`TargetList::expire`] changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredTargets {
    /// Targets whose registration expired and that were removed. They no longer accept new flows.
    pub removed: Vec<Name>,
    /// Targets whose tombstones were dropped.
    pub purged: Vec<Name>,
}
