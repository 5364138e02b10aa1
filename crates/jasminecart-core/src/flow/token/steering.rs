//! The choice of a target for a new flow.

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::silence::Trust;
use super::target_state::TargetState;
use crate::names::Name;
use crate::time::Millis;

/// The load of an open flow without a request in progress, in requests. Flows stay open for many requests
/// of about 30 ms, with about a second between them.
const IDLE_FLOW_LOAD: f64 = 0.05;
/// How much longer a request takes on a target that has just started.
const COLD_FACTOR: f64 = 1.6;
/// The cost of a target in another data centre, in requests waiting at a local one. Bytes between data
/// centres are priced, and a cut between them breaks flows.
const REMOTE_COST: f64 = 0.6;

/// What each kilobyte of a request adds to that cost. A photographed receipt of 40 kB stays in its data centre
/// unless some requests more wait there.
const REMOTE_COST_PER_KB: f64 = 0.1;

/// What a new flow asks of its target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wish {
    /// The target that left an earlier copy of the same opening unanswered.
    pub(super) avoid: Option<usize>,
    /// Whether the flow may find out whether a silent target is back.
    pub(super) may_try: bool,
    /// The bytes that its client is expected to send.
    pub(super) bytes: f64,
}

/// What is known of the load of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// The estimated cost of one more request, in requests waiting.
    pub cost: f64,
}

/// A chosen target with what spoke for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The place of the target in the router's table.
    pub(super) index: usize,
    /// Its load when it was chosen.
    pub load: Load,
    /// How many targets could have been chosen.
    pub candidates: usize,
    /// Whether every candidate was suspected of not answering.
    pub all_suspect: bool,
}

/// Chooses targets for new flows of one VM.
#[derive(Debug)]
pub(super) struct Steering {
    data_centre: Name,
    rng: ChaCha8Rng,
}

impl Steering {
    pub(super) fn new(data_centre: Name, rng: ChaCha8Rng) -> Steering {
        Steering { data_centre, rng }
    }

    /// Chooses among the targets at `members`. Suspected targets are chosen only when there is no other.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        targets: &[TargetState],
        members: &[usize],
        wish: Wish,
    ) -> Option<Choice> {
        let usable = |index: &&usize| targets[**index].takes_flows && !targets[**index].ambiguous;
        let candidates = members.iter().filter(usable).count();
        let trusted = |index: &&usize| {
            let trust = targets[**index].trust;
            let allowed = trust == Trust::Trusted || (wish.may_try && trust == Trust::Trial);
            usable(index) && Some(**index) != wish.avoid && allowed
        };
        let best = self.cheapest(now, targets, members.iter().filter(trusted), wish);
        let all_suspect = best.is_none();
        let best =
            best.or_else(|| self.cheapest(now, targets, members.iter().filter(usable), wish));
        best.map(|(index, load)| Choice { index, load, candidates, all_suspect })
    }

    fn cheapest<'a>(
        &mut self,
        now: Millis,
        targets: &[TargetState],
        members: impl Iterator<Item = &'a usize>,
        wish: Wish,
    ) -> Option<(usize, Load)> {
        let mut best: Option<(usize, Load)> = None;
        let mut ties = 0u32;
        for &index in members {
            let load = self.load(now, &targets[index], wish);
            let current = best.map_or(f64::INFINITY, |(_, load)| load.cost);
            if load.cost < current {
                best = Some((index, load));
                ties = 1;
            } else if load.cost == current {
                ties += 1;
                if self.rng.random_ratio(1, ties) {
                    best = Some((index, load));
                }
            }
        }
        best
    }

    fn load(&self, now: Millis, target: &TargetState, wish: Wish) -> Load {
        let seen = f64::from(target.busy) + IDLE_FLOW_LOAD * f64::from(target.flows);
        let waiting = seen + target.refusals.load(now);
        let cold = if now < target.cold_until { COLD_FACTOR } else { 1.0 };
        let remote = if target.data_centre == self.data_centre {
            0.0
        } else {
            REMOTE_COST + REMOTE_COST_PER_KB * wish.bytes / 1_000.0
        };
        let slowness = target.slowness.factor(now);
        let cost = (waiting + 1.0) * cold * slowness / f64::from(target.slots.max(1)) + remote;
        Load { busy: target.busy, flows: target.flows, cost }
    }
}
