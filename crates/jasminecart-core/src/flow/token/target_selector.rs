//! The selection of a target for a new flow.

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::observed_target::ObservedTarget;
use super::silence::Eligibility;
use crate::names::Name;
use crate::time::Millis;

/// The load of an open flow without a request in progress, in requests. A flow carries many requests of
/// about 30 ms, about a second apart.
const IDLE_FLOW_LOAD: f64 = 0.05;
/// How much longer a request takes on a target that is warming up.
const WARM_UP_FACTOR: f64 = 1.6;
/// The extra cost of a target in another data centre, in requests waiting at a local one. Traffic between
/// data centres is billed, and a partition between them breaks flows.
const REMOTE_COST: f64 = 0.6;

/// The extra cost per kilobyte of request to another data centre. With it a photo of 40 kB stays in its data
/// centre unless several requests more wait there.
const REMOTE_COST_PER_KB: f64 = 0.1;

/// What the selection of a target depends on besides the targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SelectionCriteria<'a> {
    /// The targets that can't get the flow, because another target has the same token for its service address.
    pub(super) ambiguous: &'a [usize],
    /// The targets that got earlier copies of the same opening and did not respond.
    pub(super) avoid: [Option<usize>; 2],
    /// The data centre whose targets are selected only if no other target is eligible.
    pub(super) avoid_data_centre: Option<usize>,
    /// Whether the flow may probe a silent target.
    pub(super) may_probe: bool,
    /// The number of bytes that the client is expected to send in a request.
    pub(super) bytes: f64,
}

/// The load of a target as this VM sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub active_requests: u32,
    /// Open flows.
    pub flows: u32,
    /// The estimated cost of one more request, in requests waiting.
    pub cost: f64,
}

/// A selected target with the inputs of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The index of the target in the router's table.
    pub(super) index: usize,
    /// Its load when it was selected.
    pub load: Load,
    /// How many targets accept new flows.
    pub candidates: usize,
    /// Whether no candidate was eligible, so that a suspected or avoided one was selected.
    pub all_suspect: bool,
}

/// Selects targets for new flows of one VM, by least cost.
#[derive(Debug)]
pub(super) struct TargetSelector {
    data_centre: Name,
    rng: ChaCha8Rng,
}

impl TargetSelector {
    pub(super) fn new(data_centre: Name, rng: ChaCha8Rng) -> TargetSelector {
        TargetSelector { data_centre, rng }
    }

    /// Selects one of the targets at `indices`. A suspected target is selected only if there is no other.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        targets: &[ObservedTarget],
        indices: &[usize],
        criteria: SelectionCriteria<'_>,
    ) -> Option<Choice> {
        let usable = |index: &&usize| {
            let target = &targets[**index];
            let withheld = target.cold.withheld || criteria.ambiguous.contains(*index);
            target.accepts_flows && !withheld
        };
        let candidates = indices.iter().filter(usable).count();
        let eligible = |index: &&usize| {
            let eligibility = targets[**index].eligibility;
            let allowed = eligibility == Eligibility::Eligible
                || (criteria.may_probe && eligibility == Eligibility::ProbeOnly);
            usable(index) && !criteria.avoid.contains(&Some(**index)) && allowed
        };
        let preferred =
            |index: &&usize| criteria.avoid_data_centre != Some(targets[**index].data_centre_index);
        let best = indices.iter().filter(eligible).filter(preferred);
        let best = self
            .cheapest(now, targets, best, criteria)
            .or_else(|| self.cheapest(now, targets, indices.iter().filter(eligible), criteria));
        let all_suspect = best.is_none();
        let best =
            best.or_else(|| self.cheapest(now, targets, indices.iter().filter(usable), criteria));
        best.map(|(index, load)| Choice { index, load, candidates, all_suspect })
    }

    fn cheapest<'a>(
        &mut self,
        now: Millis,
        targets: &[ObservedTarget],
        indices: impl Iterator<Item = &'a usize>,
        criteria: SelectionCriteria<'_>,
    ) -> Option<(usize, Load)> {
        let mut best: Option<(usize, Load)> = None;
        let mut ties = 0u32;
        for &index in indices {
            let load = self.load(now, &targets[index], criteria);
            let lowest = best.map_or(f64::INFINITY, |(_, load)| load.cost);
            if load.cost < lowest {
                best = Some((index, load));
                ties = 1;
            } else if load.cost == lowest {
                ties += 1;
                if self.rng.random_ratio(1, ties) {
                    best = Some((index, load));
                }
            }
        }
        best
    }

    /// Returns the load of a target with the estimated cost of one more request.
    pub(super) fn load(
        &self,
        now: Millis,
        target: &ObservedTarget,
        criteria: SelectionCriteria<'_>,
    ) -> Load {
        let visible = f64::from(target.active_requests) + IDLE_FLOW_LOAD * f64::from(target.flows);
        let waiting = visible + target.refusals.load(now);
        let warm_up = if now < target.warm_up_until { WARM_UP_FACTOR } else { 1.0 };
        let remote = if target.data_centre == self.data_centre {
            0.0
        } else {
            REMOTE_COST + REMOTE_COST_PER_KB * criteria.bytes / 1_000.0
        };
        let relative_latency = target.relative_latency.factor(now);
        let cost =
            (waiting + 1.0) * warm_up * relative_latency / f64::from(target.slots.max(1)) + remote;
        let cost = cost + target.cold.extra_cost;
        Load { active_requests: target.active_requests, flows: target.flows, cost }
    }
}
