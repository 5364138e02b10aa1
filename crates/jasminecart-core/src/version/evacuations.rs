//! The evacuations of data centres that operators have requested.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{REREGISTRATION_GRACE, StoreRevision, TOMBSTONE_RETENTION};
use crate::names::Name;
use crate::time::Millis;

/// The largest number of data centres whose evacuation is recorded, including withdrawn ones. The
/// largest deployment has 6 data centres; the limit bounds what faulty writers can use up.
pub const MAX_EVACUATIONS: usize = 1_024;

/// One change of the evacuations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// Operators requested the evacuation of a data centre.
    Requested {
        /// The data centre.
        data_centre: Name,
        /// The revision of the request.
        revision: StoreRevision,
    },
    /// Operators withdrew the request.
    Withdrawn {
        /// The data centre.
        data_centre: Name,
        /// The revision of the withdrawal.
        revision: StoreRevision,
    },
    /// The store was restored from a copy without the request. It is in force until the store has
    /// confirmed for [`REREGISTRATION_GRACE`] that it is not written again.
    Lost {
        /// The data centre.
        data_centre: Name,
        /// The revision of the request, in an earlier epoch.
        requested_at: StoreRevision,
        /// The revision at which the request was missing.
        revision: StoreRevision,
    },
}

impl EvacuationChange {
    /// Returns the data centre.
    pub fn data_centre(&self) -> &Name {
        match self {
            EvacuationChange::Requested { data_centre, .. }
            | EvacuationChange::Withdrawn { data_centre, .. }
            | EvacuationChange::Lost { data_centre, .. } => data_centre,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> StoreRevision {
        match self {
            EvacuationChange::Requested { revision, .. }
            | EvacuationChange::Withdrawn { revision, .. }
            | EvacuationChange::Lost { revision, .. } => *revision,
        }
    }
}

/// Whether an evacuation is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationState {
    /// It is requested.
    Requested,
    /// The store has lost the request, which is in force until it is known not to be written again.
    Lost {
        /// When this VM learned of it.
        since: Millis,
    },
    /// It was withdrawn.
    Withdrawn {
        /// When this VM learned of it.
        since: Millis,
    },
}

/// The evacuation of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Whether it is in force.
    pub state: EvacuationState,
    /// The revision of the latest change.
    pub revision: StoreRevision,
    /// The revision of the latest request; [`StoreRevision::NONE`] if this VM knows of none.
    pub requested_at: StoreRevision,
    /// When it came into force at this VM.
    pub began_at: Millis,
}

impl Evacuation {
    /// Returns whether the data centre gets no new flows.
    pub fn is_in_force(&self) -> bool {
        match self.state {
            EvacuationState::Requested | EvacuationState::Lost { .. } => true,
            EvacuationState::Withdrawn { .. } => false,
        }
    }
}

/// The effect of a change on the evacuations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationEffect {
    /// The evacuation came into force.
    Began,
    /// A restored store has lost the request; the evacuation stays in force for now.
    Doubted,
    /// A request that a restored store had lost was written again.
    Confirmed,
    /// The evacuation is no longer in force.
    Ended,
    /// The change is older than the known state, and was not applied.
    Outdated,
    /// The change does not change whether the evacuation is in force.
    Unchanged,
    /// The change was refused: the name is invalid, or too many evacuations are known.
    Refused,
}

impl EvacuationEffect {
    /// Returns whether peers have to be told of the change.
    pub fn is_change(self) -> bool {
        match self {
            EvacuationEffect::Began
            | EvacuationEffect::Doubted
            | EvacuationEffect::Confirmed
            | EvacuationEffect::Ended => true,
            EvacuationEffect::Outdated
            | EvacuationEffect::Unchanged
            | EvacuationEffect::Refused => false,
        }
    }
}

/// The evacuations that this VM knows. Changes are ordered by revision: an older one never replaces a
/// newer one. In case of doubt a data centre stays evacuated, because a flow that is opened wrongly
/// breaks a promise to the operators, whereas one that is not opened only costs capacity.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: BTreeMap<Name, Evacuation>,
    /// When the store last confirmed this VM's view.
    confirmed_at: Millis,
}

impl Evacuations {
    /// Records that the store confirmed this VM's view, directly or through a peer.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Returns whether a data centre gets no new flows.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.by_data_centre.get(data_centre).is_some_and(Evacuation::is_in_force)
    }

    /// Returns the evacuation of a data centre, which may be withdrawn.
    pub fn get(&self, data_centre: &Name) -> Option<&Evacuation> {
        self.by_data_centre.get(data_centre)
    }

    /// Returns all evacuations, including withdrawn ones, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Evacuation)> {
        self.by_data_centre.iter()
    }

    /// Applies one change.
    pub fn apply(&mut self, now: Millis, change: EvacuationChange) -> EvacuationEffect {
        let data_centre = change.data_centre();
        let Some(known) = self.by_data_centre.get_mut(data_centre) else {
            return self.add(now, change);
        };
        let was_in_force = known.is_in_force();
        // A withdrawal only has to be newer than the request that the store has lost.
        let latest = match (&change, known.state) {
            (EvacuationChange::Lost { requested_at, .. }, EvacuationState::Withdrawn { .. }) => {
                *requested_at
            }
            _ => change.revision(),
        };
        if latest < known.revision {
            return EvacuationEffect::Outdated;
        }
        if latest == known.revision {
            return EvacuationEffect::Unchanged;
        }
        let is_new_epoch = change.revision().epoch > known.revision.epoch;
        known.revision = known.revision.max(change.revision());
        match change {
            EvacuationChange::Requested { revision, .. } => {
                known.requested_at = revision;
                let before = std::mem::replace(&mut known.state, EvacuationState::Requested);
                match before {
                    EvacuationState::Requested => EvacuationEffect::Unchanged,
                    EvacuationState::Lost { .. } => EvacuationEffect::Confirmed,
                    EvacuationState::Withdrawn { .. } => {
                        known.began_at = now;
                        EvacuationEffect::Began
                    }
                }
            }
            EvacuationChange::Withdrawn { .. } => {
                if was_in_force {
                    known.state = EvacuationState::Withdrawn { since: now };
                    EvacuationEffect::Ended
                } else {
                    EvacuationEffect::Unchanged
                }
            }
            EvacuationChange::Lost { requested_at, .. } => match known.state {
                EvacuationState::Requested => {
                    known.state = EvacuationState::Lost { since: now };
                    EvacuationEffect::Doubted
                }
                EvacuationState::Lost { .. } => {
                    if is_new_epoch {
                        known.state = EvacuationState::Lost { since: now };
                    }
                    EvacuationEffect::Unchanged
                }
                EvacuationState::Withdrawn { .. } => {
                    known.state = EvacuationState::Lost { since: now };
                    (known.requested_at, known.began_at) = (requested_at, now);
                    EvacuationEffect::Began
                }
            },
        }
    }

    /// Adds the evacuation of a data centre that is not known yet. A withdrawal is recorded as well,
    /// so that an older request which arrives later is not applied.
    fn add(&mut self, now: Millis, change: EvacuationChange) -> EvacuationEffect {
        let data_centre = change.data_centre().clone();
        let is_withdrawal = matches!(change, EvacuationChange::Withdrawn { .. });
        let is_full = self.by_data_centre.len() >= MAX_EVACUATIONS;
        if Name::parse(data_centre.as_str()).is_none()
            || (is_full && (is_withdrawal || !self.drop_oldest_withdrawn()))
        {
            return EvacuationEffect::Refused;
        }
        let revision = change.revision();
        let (state, requested_at, effect) = match change {
            EvacuationChange::Requested { revision, .. } => {
                (EvacuationState::Requested, revision, EvacuationEffect::Began)
            }
            EvacuationChange::Withdrawn { .. } => (
                EvacuationState::Withdrawn { since: now },
                StoreRevision::NONE,
                EvacuationEffect::Unchanged,
            ),
            EvacuationChange::Lost { requested_at, .. } => {
                (EvacuationState::Lost { since: now }, requested_at, EvacuationEffect::Began)
            }
        };
        let evacuation = Evacuation { state, revision, requested_at, began_at: now };
        self.by_data_centre.insert(data_centre, evacuation);
        effect
    }

    /// Makes room for a request by dropping the oldest withdrawn evacuation. Returns whether there
    /// was one.
    fn drop_oldest_withdrawn(&mut self) -> bool {
        let withdrawn = self.by_data_centre.iter().filter(|(_, known)| !known.is_in_force());
        let oldest = withdrawn.min_by_key(|(_, known)| known.revision);
        let Some(oldest) = oldest.map(|(data_centre, _)| data_centre.clone()) else { return false };
        self.by_data_centre.remove(&oldest).is_some()
    }

    /// Replaces the evacuations by a full state that is complete up to `revision`. Evacuations that
    /// it does not list are withdrawn, unless they are newer. One of an earlier epoch may have been
    /// lost when the store was restored, and stays in force for now. Returns the effect on each data
    /// centre that is not [`EvacuationEffect::Unchanged`].
    pub fn replace(
        &mut self,
        now: Millis,
        listed: Vec<EvacuationChange>,
        revision: StoreRevision,
    ) -> Vec<(Name, EvacuationEffect)> {
        let (withdrawn, in_force): (Vec<_>, Vec<_>) = listed
            .into_iter()
            .partition(|change| matches!(change, EvacuationChange::Withdrawn { .. }));
        let mut effects: Vec<(Name, EvacuationEffect)> = Vec::new();
        // A tombstone of the peer may be older than the request that its full state lacks.
        for change in withdrawn {
            let data_centre = change.data_centre().clone();
            let effect = self.apply(now, change);
            effects.extend(effect.is_change().then_some((data_centre, effect)));
        }
        effects.extend(self.withdraw_all_but(now, &in_force, revision));
        for change in in_force {
            let data_centre = change.data_centre().clone();
            effects.push((data_centre, self.apply(now, change)));
        }
        effects.retain(|(_, effect)| *effect != EvacuationEffect::Unchanged);
        effects
    }

    /// Withdraws the requests that are not in `listed` and not newer than `revision`.
    fn withdraw_all_but(
        &mut self,
        now: Millis,
        listed: &[EvacuationChange],
        revision: StoreRevision,
    ) -> Vec<(Name, EvacuationEffect)> {
        let listed: BTreeSet<&Name> = listed.iter().map(EvacuationChange::data_centre).collect();
        let missing = |(data_centre, known): &(&Name, &mut Evacuation)| {
            // A request that an earlier restore lost may have been written again and lost once more.
            let may_be_missing = match known.state {
                EvacuationState::Requested => true,
                EvacuationState::Lost { .. } => known.revision.epoch < revision.epoch,
                EvacuationState::Withdrawn { .. } => false,
            };
            may_be_missing && known.revision <= revision && !listed.contains(data_centre)
        };
        let mut effects = Vec::new();
        for (data_centre, known) in self.by_data_centre.iter_mut().filter(missing) {
            let may_be_lost = known.revision.epoch < revision.epoch;
            known.revision = revision;
            let effect = if may_be_lost {
                known.state = EvacuationState::Lost { since: now };
                EvacuationEffect::Doubted
            } else {
                known.state = EvacuationState::Withdrawn { since: now };
                EvacuationEffect::Ended
            };
            effects.push((data_centre.clone(), effect));
        }
        effects
    }

    /// Ends the evacuations whose requests a restored store has lost, once it has confirmed for
    /// [`REREGISTRATION_GRACE`] that they are not written again, and purges tombstones older than
    /// [`TOMBSTONE_RETENTION`]. Returns the data centres whose evacuation ended.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        let mut ended = Vec::new();
        for (data_centre, evacuation) in &mut self.by_data_centre {
            if let EvacuationState::Lost { since } = evacuation.state
                && self.confirmed_at.since(since) >= REREGISTRATION_GRACE
            {
                evacuation.state = EvacuationState::Withdrawn { since: now };
                ended.push(data_centre.clone());
            }
        }
        self.by_data_centre.retain(|_, evacuation| match evacuation.state {
            EvacuationState::Requested | EvacuationState::Lost { .. } => true,
            EvacuationState::Withdrawn { since } => now.since(since) < TOMBSTONE_RETENTION,
        });
        ended
    }

    /// Returns the changes since revision `after`.
    pub fn changes_after(&self, after: StoreRevision) -> impl Iterator<Item = EvacuationChange> {
        let newer = self.by_data_centre.iter().filter(move |(_, known)| known.revision > after);
        newer.map(|(data_centre, known)| {
            let (data_centre, revision) = (data_centre.clone(), known.revision);
            match known.state {
                EvacuationState::Requested => EvacuationChange::Requested { data_centre, revision },
                EvacuationState::Withdrawn { .. } => {
                    EvacuationChange::Withdrawn { data_centre, revision }
                }
                EvacuationState::Lost { .. } => {
                    let requested_at = known.requested_at;
                    EvacuationChange::Lost { data_centre, requested_at, revision }
                }
            }
        })
    }

    /// Returns how many data centres are evacuated.
    pub fn in_force_count(&self) -> usize {
        self.by_data_centre.values().filter(|evacuation| evacuation.is_in_force()).count()
    }
}
