//! Scores of targets, learned from the outcomes of attempts.

use std::collections::BTreeMap;

use crate::names::Name;
use crate::time::Millis;

const EWMA_WEIGHT: f64 = 0.1;
/// The response time assumed for a target without a sample.
const DEFAULT_RESPONSE_MS: f64 = 100.0;
/// Consecutive failures after which a target is ejected. After an ejection, the first failure
/// ejects the target again, because every VM learns separately.
const EJECT_AFTER_FAILURES: u32 = 3;
const BASE_EJECTION_TIME: Millis = Millis::from_secs(5);
const MAX_EJECTION_TIME: Millis = Millis::from_secs(60);
/// The share of capacity at which slow start begins. With zero there would be no outcome to learn
/// from.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// The expected cost of a target halves in this time without a sample. Otherwise a target that was
/// slow or failed once would get no requests at low load, and its recovery would go unnoticed.
const COST_HALF_LIFE: Millis = Millis::from_secs(10);
/// The additional cost of a target that fails every attempt, as a multiple of its cost without
/// errors.
const ERROR_WEIGHT: f64 = 9.0;

/// The result of an attempt, as it counts for the score of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sample {
    Responded,
    Failed,
    /// The attempt ran for the given time without a response, which does not count as a failure of
    /// the target.
    NoResponse,
}

#[derive(Debug, Default)]
pub(super) struct Score {
    response_ms: Option<f64>,
    errors: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    warm_up_since: Option<Millis>,
    sampled_at: Millis,
}

impl Score {
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn response_ms(&self) -> Option<f64> {
        self.response_ms
    }

    /// Returns the share of its capacity that a target gets during slow start, from 0 to 1.
    pub(super) fn share(&self, now: Millis, slow_start: Millis) -> f64 {
        let since = match (self.ejected_until, self.warm_up_since) {
            (Some(until), warm_up) => Some(warm_up.map_or(until, |since| since.max(until))),
            (None, warm_up) => warm_up,
        };
        let Some(since) = since.filter(|_| slow_start > Millis::ZERO) else { return 1.0 };
        let progress = now.since(since).get() as f64 / slow_start.get() as f64;
        progress.clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    fn add(&mut self, sample: Sample, elapsed: Millis) {
        let elapsed = elapsed.get() as f64;
        let slower = self.response_ms.is_none_or(|average| elapsed > average);
        if sample == Sample::Responded || (sample == Sample::NoResponse && slower) {
            let average = self.response_ms.unwrap_or(elapsed);
            self.response_ms = Some(average + EWMA_WEIGHT * (elapsed - average));
        }
        let failed = sample == Sample::Failed;
        self.errors += EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.errors);
        match sample {
            Sample::Responded => {
                self.consecutive_failures = 0;
                self.ejections = 0;
            }
            Sample::Failed => self.consecutive_failures += 1,
            Sample::NoResponse => {}
        }
    }
}

/// The scores of all targets in the document.
#[derive(Debug, Default)]
pub(super) struct Scores {
    by_target: BTreeMap<Name, Score>,
}

impl Scores {
    /// Adds a target, which warms up if it was added while this process was serving.
    pub(super) fn add_target(&mut self, now: Millis, target: &Name, warming_up: bool) {
        let score = self.by_target.entry(target.clone()).or_default();
        if warming_up {
            score.warm_up_since = Some(now);
        }
    }

    pub(super) fn retain_targets(&mut self, mut known: impl FnMut(&Name) -> bool) {
        self.by_target.retain(|name, _| known(name));
    }

    pub(super) fn get(&self, target: &Name) -> Option<&Score> {
        self.by_target.get(target)
    }

    pub(super) fn is_ejected(&self, now: Millis, target: &Name) -> bool {
        self.get(target).is_some_and(|score| score.is_ejected(now))
    }

    /// Adds a sample, and returns whether the target should be ejected now.
    pub(super) fn add(
        &mut self,
        now: Millis,
        target: &Name,
        sample: Sample,
        elapsed: Millis,
    ) -> bool {
        let Some(score) = self.by_target.get_mut(target) else { return false };
        score.add(sample, elapsed);
        score.sampled_at = now;
        score.consecutive_failures >= EJECT_AFTER_FAILURES && !score.is_ejected(now)
    }

    /// Ejects a target for a time that doubles with each consecutive ejection.
    pub(super) fn eject(&mut self, now: Millis, target: &Name) {
        let Some(score) = self.by_target.get_mut(target) else { return };
        let ejection_ms = BASE_EJECTION_TIME.get() << score.ejections.min(8);
        score.ejected_until = Some(now + Millis(ejection_ms.min(MAX_EJECTION_TIME.get())));
        score.ejections += 1;
        score.consecutive_failures = EJECT_AFTER_FAILURES - 1;
    }

    /// Ends the ejections that expire first, so that at most `max_ejected` of the targets stay
    /// ejected.
    pub(super) fn end_excess_ejections(
        &mut self,
        now: Millis,
        targets: &[Name],
        max_ejected: usize,
    ) {
        let mut ejected: Vec<(Millis, &Name)> = targets
            .iter()
            .filter(|target| self.is_ejected(now, target))
            .filter_map(|target| Some((self.get(target)?.ejected_until?, target)))
            .collect();
        ejected.sort();
        for (_, target) in ejected.iter().take(ejected.len().saturating_sub(max_ejected)) {
            if let Some(score) = self.by_target.get_mut(*target) {
                score.ejected_until = Some(now);
            }
        }
    }

    /// Returns the expected cost of an attempt: the response time, raised by errors and by slow
    /// start.
    pub(super) fn cost(&self, now: Millis, target: &Name, slow_start: Millis) -> f64 {
        let Some(score) = self.get(target) else { return DEFAULT_RESPONSE_MS };
        let response = score.response_ms.unwrap_or(DEFAULT_RESPONSE_MS).max(1.0);
        let age = now.since(score.sampled_at).get() as f64 / COST_HALF_LIFE.get() as f64;
        let cost = response * (1.0 + ERROR_WEIGHT * score.errors) * 0.5_f64.powf(age);
        cost.max(1.0) / score.share(now, slow_start)
    }
}
