//! The two baselines: a consistent-hash ring, and such a ring with a local flow table on each VM.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use jasminecart_core::version::{Document, TargetState};

use super::network::{MAX_VMS, SERVICES, TargetId, Targets};

/// The points of a target on the ring for each unit of its weight, a usual number for weighted
/// rings.
const POINTS_PER_WEIGHT: u32 = 160;

/// The id that stands for no target.
pub(super) const NO_TARGET: TargetId = TargetId::MAX;

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The hash rings of one document, one for each service.
#[derive(Debug)]
pub(super) struct HashRings(Vec<BTreeMap<u64, TargetId>>);

impl HashRings {
    /// Builds the rings from the targets that accept new flows.
    pub(super) fn new(document: &Document, targets: &mut Targets) -> HashRings {
        let ring = |service: &str| {
            let mut ring = BTreeMap::new();
            let serving = document.targets().values().filter(|target| {
                target.state == TargetState::Active
                    && target.services.iter().any(|name| name.as_str() == service)
            });
            for target in serving {
                let id = targets.id(&target.name);
                for point in 0..POINTS_PER_WEIGHT * target.weight {
                    ring.insert(hash((target.name.as_str(), point)), id);
                }
            }
            ring
        };
        HashRings(SERVICES.map(ring).into_iter().collect())
    }

    /// Returns the target that the service's ring selects for a flow, or [`NO_TARGET`] when the
    /// ring is empty.
    pub(super) fn target(&self, service: usize, flow: u64) -> TargetId {
        let ring = &self.0[service];
        let point = hash(flow);
        let next = ring.range(point..).next().or_else(|| ring.iter().next());
        next.map_or(NO_TARGET, |(_, target)| *target)
    }
}

/// The state of a flow with one of the baselines.
#[derive(Clone, Copy, Debug)]
pub(super) struct BaselineFlow {
    /// The target that holds the connection.
    pub(super) target: TargetId,
    /// The entry of the flow in the local table of each VM. The plain ring does not use it.
    local_tables: [TargetId; MAX_VMS],
}

impl Default for BaselineFlow {
    fn default() -> Self {
        BaselineFlow { target: NO_TARGET, local_tables: [NO_TARGET; MAX_VMS] }
    }
}

impl BaselineFlow {
    /// Routes a packet that a VM receives, to its table's target or else to `target`, the ring's.
    /// Returns whether the packet breaks the flow, which then continues with a new connection to
    /// the other target.
    pub(super) fn route(&mut self, vm: usize, target: TargetId, with_table: bool) -> bool {
        let selected = match self.local_tables[vm] {
            entry if with_table && entry != NO_TARGET => entry,
            _ => target,
        };
        if with_table {
            self.local_tables[vm] = selected;
        }
        let broken = self.target != NO_TARGET && self.target != selected;
        if broken {
            self.local_tables = [NO_TARGET; MAX_VMS];
            self.local_tables[vm] = selected;
        }
        self.target = selected;
        broken
    }

    /// Removes a target from the flow's state. The target itself has closed its connections.
    pub(super) fn remove_target(&mut self, target: TargetId) {
        if self.target == target {
            *self = BaselineFlow::default();
        }
        self.local_tables
            .iter_mut()
            .filter(|table_entry| **table_entry == target)
            .for_each(|table_entry| *table_entry = NO_TARGET);
    }
}
