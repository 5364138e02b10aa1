//! Positions in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision of the platform's store, with the epoch in which the store gave it out.
///
/// A store that was restored from a copy loses its latest changes and gives their revisions out again, in a new
/// epoch. Revisions are therefore ordered by epoch first; `docs/platform.md`, "A restored store", gives the rules.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// How often the store had been restored, as it reports. The order of the fields is the order of revisions.
    pub epoch: u64,
    /// The number of the change within the epoch. The store starts above 0.
    pub number: u64,
}

impl StoreRevision {
    /// The position before the first change.
    pub const NONE: StoreRevision = StoreRevision::new(0, 0);

    /// Creates the revision `number` of an epoch.
    pub const fn new(epoch: u64, number: u64) -> StoreRevision {
        StoreRevision { epoch, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
