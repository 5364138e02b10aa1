//! The two baselines: a hash ring, and a hash ring with a local table on each VM.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use jasminecart_core::version::{Document, TargetState};

use super::network::{MAX_VMS, SERVICES, TargetId, Targets};

/// Points of a target on the ring for each unit of weight, as usual for weighted rings.
const POINTS: u32 = 160;

/// Marks a flow without a target.
pub(super) const NO_TARGET: TargetId = TargetId::MAX;

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The rings of one document, by service.
#[derive(Debug)]
pub(super) struct Rings(Vec<BTreeMap<u64, TargetId>>);

impl Rings {
    /// Builds the rings over the targets that take new flows.
    pub(super) fn new(document: &Document, targets: &mut Targets) -> Rings {
        let ring = |service: &str| {
            let mut ring = BTreeMap::new();
            let serving = document.targets().values().filter(|target| {
                target.state == TargetState::Active
                    && target.services.iter().any(|name| name.as_str() == service)
            });
            for target in serving {
                let id = targets.id(&target.name);
                for point in 0..POINTS * target.weight {
                    ring.insert(hash((target.name.as_str(), point)), id);
                }
            }
            ring
        };
        Rings(SERVICES.map(ring).into_iter().collect())
    }

    /// Returns the target of a flow.
    pub(super) fn target(&self, service: usize, flow: u64) -> TargetId {
        let ring = &self.0[service];
        let point = hash(flow);
        let next = ring.range(point..).next().or_else(|| ring.iter().next());
        next.map_or(NO_TARGET, |(_, target)| *target)
    }
}

/// A flow as a baseline sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct BaselineFlow {
    /// The target that holds the connection.
    pub(super) target: TargetId,
    /// The target in the local table of each VM; the plain ring does not use it.
    local: [TargetId; MAX_VMS],
}

impl Default for BaselineFlow {
    fn default() -> Self {
        BaselineFlow { target: NO_TARGET, local: [NO_TARGET; MAX_VMS] }
    }
}

impl BaselineFlow {
    /// Routes a packet by the ring. Returns whether the packet breaks the flow, which then goes on with a
    /// new connection to the other target.
    pub(super) fn packet(&mut self, entry: usize, target: TargetId, with_table: bool) -> bool {
        let chosen = match self.local[entry] {
            known if with_table && known != NO_TARGET => known,
            _ => target,
        };
        if with_table {
            self.local[entry] = chosen;
        }
        let broken = self.target != NO_TARGET && self.target != chosen;
        if broken {
            self.local = [NO_TARGET; MAX_VMS];
            self.local[entry] = chosen;
        }
        self.target = chosen;
        broken
    }

    /// Forgets a target that was removed, whose connections it closed itself.
    pub(super) fn close(&mut self, target: TargetId) {
        if self.target == target {
            *self = BaselineFlow::default();
        }
        self.local
            .iter_mut()
            .filter(|local| **local == target)
            .for_each(|local| *local = NO_TARGET);
    }
}
