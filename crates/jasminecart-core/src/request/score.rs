//! Scores of targets, learned from the outcomes of attempts.

use std::collections::BTreeMap;

use crate::names::Name;
use crate::time::Millis;

const GAIN: f64 = 0.1;
/// The answer time assumed for a target without a sample, when no target has one.
const DEFAULT_ANSWER_MS: f64 = 100.0;
/// Failures in a row after which a target is ejected. A target that returns is ejected again by its first
/// failure, because every VM learns on its own.
const EJECT_AFTER: u32 = 3;
const EJECT_BASE: Millis = Millis::from_secs(5);
const EJECT_MAX: Millis = Millis::from_secs(60);
/// The share with which slow start begins. Zero would never produce an outcome to learn from.
const FIRST_SHARE: f64 = 0.1;
/// Without a sample for this long, the expected cost of a target halves. Otherwise a target that was
/// slow or failed once would get no work at low load, and its recovery would not be seen.
const FORGET: Millis = Millis::from_secs(10);
/// How much a target that fails every attempt is worse than one of the same speed that fails none.
const ERROR_WEIGHT: f64 = 9.0;

/// What an attempt tells of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sample {
    Answered,
    Failed,
    /// The attempt ran longer than this without an answer, which is no fault of the target by itself.
    Unanswered,
}

/// The score of one target.
#[derive(Debug, Default)]
pub(super) struct Score {
    answer_ms: Option<f64>,
    errors: f64,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    cold_since: Option<Millis>,
    sampled_at: Millis,
}

impl Score {
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    /// Returns the share of its capacity that a target takes during slow start, from 0 to 1.
    pub(super) fn share(&self, now: Millis, slow_start: Millis) -> f64 {
        let since = match (self.ejected_until, self.cold_since) {
            (Some(until), cold) => Some(cold.map_or(until, |since| since.max(until))),
            (None, cold) => cold,
        };
        let Some(since) = since.filter(|_| slow_start > Millis::ZERO) else { return 1.0 };
        let done = now.since(since).get() as f64 / slow_start.get() as f64;
        done.clamp(FIRST_SHARE, 1.0)
    }

    fn add(&mut self, sample: Sample, took: Millis) {
        let took = took.get() as f64;
        let slower = self.answer_ms.is_none_or(|average| took > average);
        if sample == Sample::Answered || (sample == Sample::Unanswered && slower) {
            let average = self.answer_ms.unwrap_or(took);
            self.answer_ms = Some(average + GAIN * (took - average));
        }
        let failed = sample == Sample::Failed;
        self.errors += GAIN * (f64::from(u8::from(failed)) - self.errors);
        match sample {
            Sample::Answered => {
                self.failures_in_row = 0;
                self.ejections = 0;
            }
            Sample::Failed => self.failures_in_row += 1,
            Sample::Unanswered => {}
        }
    }
}

/// The scores of all targets in the document.
#[derive(Debug, Default)]
pub(super) struct Scores {
    by_target: BTreeMap<Name, Score>,
}

impl Scores {
    /// Adds a target, which is cold when it appeared while this process was serving.
    pub(super) fn add_target(&mut self, now: Millis, target: &Name, cold: bool) {
        let score = self.by_target.entry(target.clone()).or_default();
        if cold {
            score.cold_since = Some(now);
        }
    }

    pub(super) fn keep(&mut self, mut known: impl FnMut(&Name) -> bool) {
        self.by_target.retain(|name, _| known(name));
    }

    pub(super) fn get(&self, target: &Name) -> Option<&Score> {
        self.by_target.get(target)
    }

    pub(super) fn is_ejected(&self, now: Millis, target: &Name) -> bool {
        self.get(target).is_some_and(|score| score.is_ejected(now))
    }

    /// Takes a sample and tells whether the target should be ejected now.
    pub(super) fn add(&mut self, now: Millis, target: &Name, sample: Sample, took: Millis) -> bool {
        let Some(score) = self.by_target.get_mut(target) else { return false };
        score.add(sample, took);
        score.sampled_at = now;
        score.failures_in_row >= EJECT_AFTER && !score.is_ejected(now)
    }

    /// Ejects a target for a time that doubles with each ejection in a row.
    pub(super) fn eject(&mut self, now: Millis, target: &Name) {
        let Some(score) = self.by_target.get_mut(target) else { return };
        let span = EJECT_BASE.get() << score.ejections.min(8);
        score.ejected_until = Some(now + Millis(span.min(EJECT_MAX.get())));
        score.ejections += 1;
        score.failures_in_row = EJECT_AFTER - 1;
    }

    /// Ends the ejections that lapse first, so that at most `most` of the targets stay ejected.
    pub(super) fn pardon(&mut self, now: Millis, targets: &[Name], most: usize) {
        let mut ejected: Vec<(Millis, &Name)> = targets
            .iter()
            .filter(|target| self.is_ejected(now, target))
            .filter_map(|target| Some((self.get(target)?.ejected_until?, target)))
            .collect();
        ejected.sort();
        for (_, target) in ejected.iter().take(ejected.len().saturating_sub(most)) {
            if let Some(score) = self.by_target.get_mut(*target) {
                score.ejected_until = Some(now);
            }
        }
    }

    /// Returns the expected cost of an attempt: the answer time, raised by errors and by slow start.
    pub(super) fn cost(&self, now: Millis, target: &Name, slow_start: Millis) -> f64 {
        let Some(score) = self.get(target) else { return DEFAULT_ANSWER_MS };
        let answer = score.answer_ms.unwrap_or(DEFAULT_ANSWER_MS).max(1.0);
        let age = now.since(score.sampled_at).get() as f64 / FORGET.get() as f64;
        let known = answer * (1.0 + ERROR_WEIGHT * score.errors) * 0.5_f64.powf(age);
        known.max(1.0) / score.share(now, slow_start)
    }
}
