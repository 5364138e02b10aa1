//! The limit on openings to cold targets.
//!
//! A target handles few requests in the first seconds after its start. The limit on openings holds for the sum
//! over all VMs, which do not talk to each other about single openings: `cold_holders` selects the few VMs that
//! may send any, and each of them has a fixed share per window. See `docs/design/cold-targets.md`.

use std::collections::VecDeque;

use super::cold_holders::{ColdBudget, Holders};
use crate::hashing::HashMap;
use crate::names::{Name, VmId};
use crate::process::Members;
use crate::time::Millis;
use crate::version::ServiceRule;

/// The window in which openings are counted: the second of the limit, and 100 ms by which the delay of
/// packets between this VM and the target may vary.
const WINDOW: Millis = Millis(1_100);
/// How long after the end of its cold time a target's cost takes to fall to its normal value on all VMs.
const COST_DECAY: Millis = Millis(1_000);
/// The extra cost at the end of the cold time, in requests waiting for a slot. A target whose queue of 8
/// requests is full has a cost of 4.5.
const INITIAL_EXTRA_COST: f64 = 4.0;

/// The limit on openings to a cold target, as the settings state it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// The factor on the rate of the service.
    pub overage: f64,
    /// The openings per second in addition.
    pub slack: f64,
}

/// What an opening has to observe about a target that is cold or was cold until recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ColdState {
    /// Whether the target is cold.
    pub(super) is_cold: bool,
    /// Whether this VM is one of its holders.
    pub(super) is_held: bool,
    /// Whether this VM may not send it a new flow now.
    pub(super) withheld: bool,
    /// The extra cost of a new flow.
    pub(super) extra_cost: f64,
}

/// The limit on openings to a cold target, for an explanation.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdExplanation {
    pub(super) state: ColdState,
    /// The end of the cold time.
    pub(super) until: Millis,
    /// How many openings this VM may send in any window, if it is a holder.
    pub(super) share: usize,
    /// How many of them are left now.
    pub(super) left: usize,
}

/// A change of how many targets are cold, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdSummary {
    /// The number of targets that are cold.
    pub cold: usize,
    /// How many of them may get new flows from this VM.
    pub held: usize,
}

/// The rule on the cold targets of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdRule {
    warm_up: Millis,
    budget: ColdBudget,
}

/// A target that is cold, or was until recently.
#[derive(Debug, Default)]
struct ColdTarget {
    ends_at: Millis,
    /// When this VM sent openings to it, oldest first.
    openings: VecDeque<Millis>,
}

impl ColdTarget {
    fn remove_old_openings(&mut self, now: Millis) {
        while self.openings.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.openings.pop_front();
        }
    }
}

/// Decides which cold targets this VM may send new flows to.
#[derive(Debug)]
pub(super) struct ColdTargets {
    limit: Option<WarmUpLimit>,
    rules: HashMap<Name, ColdRule>,
    holders: Holders,
    targets: HashMap<Name, ColdTarget>,
    /// When data centres returned from an evacuation.
    returned: HashMap<Name, Millis>,
    summary: ColdSummary,
    reported: ColdSummary,
}

impl ColdTargets {
    /// Creates the state of one VM. Without a limit no target is treated as cold.
    pub(super) fn new(me: VmId, limit: Option<WarmUpLimit>) -> ColdTargets {
        ColdTargets {
            limit,
            rules: HashMap::default(),
            holders: Holders::new(me),
            targets: HashMap::default(),
            returned: HashMap::default(),
            summary: ColdSummary::default(),
            reported: ColdSummary::default(),
        }
    }

    /// Replaces the rules of the services. A service without a rate has no limit.
    pub(super) fn set_services(&mut self, services: &HashMap<Name, ServiceRule>) {
        let Some(limit) = self.limit else { return };
        let rules = services.iter().filter_map(|(name, rule)| {
            let rule = rule.sanitized();
            let budget = ColdBudget::new(rule.cold_rate? * limit.overage + limit.slack);
            Some((name.clone(), ColdRule { warm_up: rule.warm_up, budget }))
        });
        self.rules = rules.collect();
    }

    /// Replaces the members, among which the holders of targets are selected.
    pub(super) fn set_members(&mut self, now: Millis, members: &Members) {
        if self.limit.is_some() {
            self.holders.set_members(now, members);
        }
    }

    /// Records that a data centre returned from an evacuation. Its targets may have restarted meanwhile, and the
    /// records that say so may arrive later.
    pub(super) fn set_data_centre_returned(&mut self, now: Millis, data_centre: &Name) {
        if self.limit.is_some() {
            self.returned.insert(data_centre.clone(), now);
        }
    }

    /// Returns the rule on the cold targets of a service, if they are limited.
    pub(super) fn rule(&self, service: &Name) -> Option<ColdRule> {
        self.rules.get(service).copied()
    }

    /// Returns the state of a target whose own records report it as cold until `reported_until`.
    pub(super) fn assess(
        &mut self,
        now: Millis,
        rule: ColdRule,
        target: &Name,
        data_centre: &Name,
        reported_until: Millis,
    ) -> ColdState {
        let until = self.cold_until(rule, data_centre, reported_until);
        if now >= until {
            return self.assess_warm(now, target);
        }
        let is_held = self.holders.is_holder(now, target, data_centre, rule.budget);
        let cold = match self.targets.get_mut(target) {
            Some(cold) => cold,
            None => self.targets.entry(target.clone()).or_default(),
        };
        cold.ends_at = until;
        cold.remove_old_openings(now);
        let withheld = !is_held || cold.openings.len() >= rule.budget.share;
        ColdState { is_cold: true, is_held, withheld, extra_cost: 0.0 }
    }

    fn cold_until(&self, rule: ColdRule, data_centre: &Name, reported_until: Millis) -> Millis {
        let returned_at = self.returned.get(data_centre);
        reported_until.max(returned_at.map_or(Millis::ZERO, |at| *at + rule.warm_up))
    }

    /// Explains what [`ColdTargets::assess`] would return, and changes nothing.
    pub(super) fn explain(
        &self,
        now: Millis,
        rule: ColdRule,
        target: &Name,
        data_centre: &Name,
        reported_until: Millis,
    ) -> ColdExplanation {
        let until = self.cold_until(rule, data_centre, reported_until);
        let share = rule.budget.share;
        let known = self.targets.get(target);
        if now >= until {
            let extra_cost = known.map_or(0.0, |cold| self.extra_cost(now, target, cold.ends_at));
            let state = ColdState { extra_cost, ..ColdState::default() };
            return ColdExplanation { state, until, share, left: share };
        }
        let is_held = self.holders.would_hold(now, target, data_centre, rule.budget);
        let recent = known
            .map_or(0, |cold| cold.openings.iter().filter(|at| now.since(**at) < WINDOW).count());
        let left = if is_held { share.saturating_sub(recent) } else { 0 };
        let state = ColdState { is_cold: true, is_held, withheld: left == 0, extra_cost: 0.0 };
        ColdExplanation { state, until, share, left }
    }

    /// Returns the state of a target that is not cold. Every VM sees a target that becomes warm as empty at the
    /// same moment; its cost reaches the normal value at another moment on each VM, so that they do not all select
    /// it at once.
    fn assess_warm(&mut self, now: Millis, target: &Name) -> ColdState {
        let Some(cold) = self.targets.get_mut(target) else { return ColdState::default() };
        // A record may report the end of the cold time earlier than expected.
        cold.ends_at = cold.ends_at.min(now);
        let ends_at = cold.ends_at;
        let extra_cost = self.extra_cost(now, target, ends_at);
        ColdState { extra_cost, ..ColdState::default() }
    }

    fn extra_cost(&self, now: Millis, target: &Name, ends_at: Millis) -> f64 {
        let age = now.since(ends_at).get() as f64;
        let decay = COST_DECAY.get() as f64 * self.holders.spread(target);
        INITIAL_EXTRA_COST * (1.0 - age / decay).max(0.0)
    }

    /// Counts an opening that was sent to a cold target.
    pub(super) fn on_opening(&mut self, now: Millis, target: &Name) {
        if let Some(cold) = self.targets.get_mut(target) {
            cold.openings.push_back(now);
        }
    }

    /// Removes the state of targets that have been warm for a while, and stores how many are cold.
    pub(super) fn tick(&mut self, now: Millis, summary: ColdSummary) {
        self.holders.tick(now);
        self.summary = summary;
        self.targets.retain(|_, cold| {
            cold.remove_old_openings(now);
            !cold.openings.is_empty() || now < cold.ends_at + COST_DECAY
        });
        let targets = &self.targets;
        self.holders.retain(|target| targets.contains_key(target));
        let longest = self.rules.values().map(|rule| rule.warm_up).max().unwrap_or_default();
        self.returned.retain(|_, at| now < *at + longest);
    }

    /// Returns how many targets are cold.
    pub(super) fn summary(&self) -> ColdSummary {
        self.summary
    }

    /// Returns how many targets are cold if that changed since the last call.
    pub(super) fn take_change(&mut self) -> Option<ColdSummary> {
        let changed = self.reported != self.summary;
        self.reported = self.summary;
        changed.then_some(self.summary)
    }
}
