//! Bounded queue of one service, ordered by class priority and then by age.

use std::collections::BTreeMap;

use super::types::RequestId;
use crate::time::Millis;

/// The share of a new sample in the moving average of the time between two bindings.
const PACE_GAIN: f64 = 0.1;
/// A request that waited longer than this for its slot shows that slots are scarce.
const STRAIN_WAIT: Millis = Millis(20);
/// Slots count as scarce for this long after a request had to wait.
const STRAIN_LASTS: Millis = Millis(5_000);
/// A queue that was never empty for this many times the longest wait holds a standing backlog.
const STANDING_FACTOR: u64 = 2;
/// The part of the longest wait that is allowed while a backlog stands. A standing backlog only adds
/// waiting time, because the slots stay busy with a shorter queue as well.
const STANDING_DIVISOR: u64 = 2;

/// The queue is searched for requests that waited too long this often at most. Deadlines are exact, because
/// requests past theirs are passed over.
const SCAN_INTERVAL: Millis = Millis(10);
/// Waiting requests of one priority are counted up to this number, which is enough to ask for slots.
const MAX_COUNTED: usize = 16;

/// The place of a request in a queue. A lower priority number goes first, then the earlier request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) priority: u8,
    pub(super) order: u64,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) request: RequestId,
    /// When it entered the queue.
    pub(super) since: Millis,
    /// When its backoff ends.
    pub(super) ready_at: Millis,
    /// The longest wait by its class.
    pub(super) max_wait: Millis,
    pub(super) deadline: Millis,
}

impl Waiting {
    fn is_ready(&self, now: Millis) -> bool {
        self.ready_at <= now && now < self.deadline
    }
}

/// The queue of one service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Place, Waiting>,
    standing_since: Option<Millis>,
    bound_at: Option<Millis>,
    pace_ms: Option<f64>,
    strained_at: Option<Millis>,
    scan_at: Millis,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, now: Millis, place: Place, waiting: Waiting) {
        self.standing_since.get_or_insert(now);
        self.waiting.insert(place, waiting);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Waiting> {
        let removed = self.waiting.remove(&place);
        if self.waiting.is_empty() {
            self.standing_since = None;
            self.bound_at = None;
            // The pace of an old backlog would refuse the first requests of a new one.
            self.pace_ms = None;
        }
        removed
    }

    pub(super) fn get(&self, place: Place) -> Option<&Waiting> {
        self.waiting.get(&place)
    }

    /// Returns the first request that `suits` and is past its backoff.
    pub(super) fn first(
        &self,
        now: Millis,
        mut suits: impl FnMut(RequestId) -> bool,
    ) -> Option<(Place, Waiting)> {
        let mut ready = self.waiting.iter().filter(|(_, waiting)| waiting.is_ready(now));
        ready.find(|(_, waiting)| suits(waiting.request)).map(|(place, waiting)| (*place, *waiting))
    }

    /// Returns the place of the request that is given up first when the queue is full.
    pub(super) fn last(&self) -> Option<Place> {
        self.waiting.last_key_value().map(|(place, _)| *place)
    }

    /// Returns the priorities of the requests past their backoff, the first one first, each with the
    /// number of requests, up to [`MAX_COUNTED`], and the time since which the oldest waits.
    pub(super) fn demands(&self, now: Millis) -> Vec<(u8, u32, Millis)> {
        let mut demands = Vec::new();
        let mut from = Place { priority: 0, order: 0 };
        while let Some((place, _)) = self.waiting.range(from..).next() {
            let priority = place.priority;
            let of_priority = self.waiting.range(*place..=Place { priority, order: u64::MAX });
            let ready = of_priority.map(|(_, waiting)| waiting).filter(|w| w.is_ready(now));
            let counted: Vec<Millis> = ready.take(MAX_COUNTED).map(|w| w.since).collect();
            if let Some(since) = counted.first() {
                demands.push((priority, counted.len() as u32, *since));
            }
            let Some(next) = priority.checked_add(1) else { break };
            from = Place { priority: next, order: 0 };
        }
        demands
    }

    /// Returns the places of requests that waited too long or whose deadline passed.
    pub(super) fn expired(&mut self, now: Millis) -> Vec<Place> {
        if now < self.scan_at || self.waiting.is_empty() {
            return Vec::new();
        }
        self.scan_at = now + SCAN_INTERVAL;
        let late = |waiting: &Waiting| {
            now >= waiting.deadline
                || now.since(waiting.since) > self.allowed(now, waiting.max_wait)
        };
        self.waiting.iter().filter(|(_, waiting)| late(waiting)).map(|(place, _)| *place).collect()
    }

    /// Returns the longest wait that is allowed now to a class with the given longest wait.
    pub(super) fn allowed(&self, now: Millis, max_wait: Millis) -> Millis {
        let stands = |since: Millis| now.since(since).get() > max_wait.get() * STANDING_FACTOR;
        match self.standing_since {
            Some(since) if stands(since) => Millis(max_wait.get() / STANDING_DIVISOR),
            _ => max_wait,
        }
    }

    /// Estimates how long a new request of a priority would wait, from the time between recent bindings
    /// and the time since the last one.
    pub(super) fn expected_wait(&self, now: Millis, priority: u8) -> Millis {
        let ahead = self.waiting.range(..=Place { priority, order: u64::MAX }).count();
        let last = self.bound_at.or(self.standing_since);
        let idle = last.map_or(0.0, |at| now.since(at).get() as f64);
        Millis((ahead as f64 * self.pace_ms.unwrap_or(0.0).max(idle)) as u64)
    }

    /// Tells whether a request had to wait lately, so that slots are better kept for first attempts.
    pub(super) fn is_strained(&self, now: Millis) -> bool {
        !self.waiting.is_empty() || self.strained_at.is_some_and(|at| now.since(at) < STRAIN_LASTS)
    }

    /// Notes that a request left the queue for a target.
    pub(super) fn note_bound(&mut self, now: Millis, waited: Millis) {
        if waited > STRAIN_WAIT {
            self.strained_at = Some(now);
        }
        if let Some(at) = self.bound_at {
            let sample = now.since(at).get() as f64;
            let pace = self.pace_ms.unwrap_or(sample);
            self.pace_ms = Some(pace + PACE_GAIN * (sample - pace));
        }
        self.bound_at = (!self.waiting.is_empty()).then_some(now);
    }
}
