//! The queue of one service, ordered by class priority and then by age.

use std::collections::BTreeMap;

use super::types::RequestId;
use crate::time::Millis;

/// The weight of a new sample in the moving average of the time between two assignments.
const INTERVAL_EWMA_WEIGHT: f64 = 0.1;
/// A request that waited longer than this for its slot indicates that slots are scarce.
const CONGESTION_WAIT: Millis = Millis(20);
/// Slots count as scarce for this long after a request had to wait.
const CONGESTION_LIFETIME: Millis = Millis(5_000);
/// A queue that has not been empty for this many times the longest allowed wait is a standing
/// queue.
const STANDING_QUEUE_FACTOR: u64 = 2;
/// The longest allowed wait is divided by this in a standing queue. A standing queue only adds
/// waiting time, because a shorter queue keeps the slots busy as well.
const STANDING_QUEUE_DIVISOR: u64 = 2;

/// The minimum interval between searches of the queue for requests that waited too long. Deadlines
/// stay exact, because requests past their deadline are skipped.
const SCAN_INTERVAL: Millis = Millis(10);
/// Waiting requests of one priority are counted up to this number, which is enough for slot
/// requests.
const MAX_COUNTED_PER_PRIORITY: usize = 16;

/// The position of a request in a queue. A lower priority number goes first, then the earlier
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: u8,
    pub(super) order: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: RequestId,
    /// When it entered the queue, or when its backoff ends.
    pub(super) since: Millis,
    /// When its backoff ends and it may be sent.
    pub(super) ready_at: Millis,
    /// The longest wait that its class allows.
    pub(super) max_wait: Millis,
    pub(super) deadline: Millis,
}

impl QueuedRequest {
    fn is_ready(&self, now: Millis) -> bool {
        self.ready_at <= now && now < self.deadline
    }
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<QueuePosition, QueuedRequest>,
    nonempty_since: Option<Millis>,
    assigned_at: Option<Millis>,
    assignment_interval_ms: Option<f64>,
    congested_at: Option<Millis>,
    next_scan_at: Millis,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, now: Millis, position: QueuePosition, waiting: QueuedRequest) {
        self.nonempty_since.get_or_insert(now);
        self.waiting.insert(position, waiting);
    }

    pub(super) fn remove(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let removed = self.waiting.remove(&position);
        if self.waiting.is_empty() {
            self.nonempty_since = None;
            self.assigned_at = None;
            // With the interval of an old backlog, the first requests of a new one would be
            // refused.
            self.assignment_interval_ms = None;
        }
        removed
    }

    pub(super) fn get(&self, position: QueuePosition) -> Option<&QueuedRequest> {
        self.waiting.get(&position)
    }

    /// Returns the first request that `is_eligible` and is past its backoff.
    pub(super) fn first_eligible(
        &self,
        now: Millis,
        mut is_eligible: impl FnMut(RequestId) -> bool,
    ) -> Option<(QueuePosition, QueuedRequest)> {
        let mut ready = self.waiting.iter().filter(|(_, waiting)| waiting.is_ready(now));
        ready
            .find(|(_, waiting)| is_eligible(waiting.request))
            .map(|(position, waiting)| (*position, *waiting))
    }

    /// Returns the position of the request that is refused first when the queue is full.
    pub(super) fn last(&self) -> Option<QueuePosition> {
        self.waiting.last_key_value().map(|(position, _)| *position)
    }

    /// Returns the priorities of the requests past their backoff, most urgent first. Each comes
    /// with the number of requests, up to [`MAX_COUNTED_PER_PRIORITY`], and the time since which
    /// the oldest waits.
    pub(super) fn demands(&self, now: Millis) -> Vec<(u8, u32, Millis)> {
        let mut demands = Vec::new();
        let mut from = QueuePosition { priority: 0, order: 0 };
        while let Some((position, _)) = self.waiting.range(from..).next() {
            let priority = position.priority;
            let of_priority =
                self.waiting.range(*position..=QueuePosition { priority, order: u64::MAX });
            let ready = of_priority.map(|(_, waiting)| waiting).filter(|w| w.is_ready(now));
            let counted: Vec<Millis> =
                ready.take(MAX_COUNTED_PER_PRIORITY).map(|w| w.since).collect();
            if let Some(since) = counted.first() {
                demands.push((priority, counted.len() as u32, *since));
            }
            let Some(next) = priority.checked_add(1) else { break };
            from = QueuePosition { priority: next, order: 0 };
        }
        demands
    }

    /// Returns the positions of requests that waited too long or whose deadline passed.
    pub(super) fn expired(&mut self, now: Millis) -> Vec<QueuePosition> {
        if now < self.next_scan_at || self.waiting.is_empty() {
            return Vec::new();
        }
        self.next_scan_at = now + SCAN_INTERVAL;
        let late = |waiting: &QueuedRequest| {
            now >= waiting.deadline
                || now.since(waiting.since) > self.allowed(now, waiting.max_wait)
        };
        self.waiting
            .iter()
            .filter(|(_, waiting)| late(waiting))
            .map(|(position, _)| *position)
            .collect()
    }

    /// Returns the longest wait that is allowed now for a class whose limit is `max_wait`.
    pub(super) fn allowed(&self, now: Millis, max_wait: Millis) -> Millis {
        let is_standing =
            |since: Millis| now.since(since).get() > max_wait.get() * STANDING_QUEUE_FACTOR;
        match self.nonempty_since {
            Some(since) if is_standing(since) => Millis(max_wait.get() / STANDING_QUEUE_DIVISOR),
            _ => max_wait,
        }
    }

    /// Estimates how long a new request of a priority would wait, from the interval between recent
    /// assignments and the time since the last one.
    pub(super) fn expected_wait(&self, now: Millis, priority: u8) -> Millis {
        let ahead = self.waiting.range(..=QueuePosition { priority, order: u64::MAX }).count();
        let last = self.assigned_at.or(self.nonempty_since);
        let idle = last.map_or(0.0, |at| now.since(at).get() as f64);
        Millis((ahead as f64 * self.assignment_interval_ms.unwrap_or(0.0).max(idle)) as u64)
    }

    /// Returns whether a request had to wait recently, so that slots are better reserved for first
    /// attempts.
    pub(super) fn is_congested(&self, now: Millis) -> bool {
        !self.waiting.is_empty()
            || self.congested_at.is_some_and(|at| now.since(at) < CONGESTION_LIFETIME)
    }

    /// Records that a request left the queue for a target.
    pub(super) fn record_assignment(&mut self, now: Millis, waited: Millis) {
        if waited > CONGESTION_WAIT {
            self.congested_at = Some(now);
        }
        if let Some(at) = self.assigned_at {
            let sample = now.since(at).get() as f64;
            let interval = self.assignment_interval_ms.unwrap_or(sample);
            self.assignment_interval_ms =
                Some(interval + INTERVAL_EWMA_WEIGHT * (sample - interval));
        }
        self.assigned_at = (!self.waiting.is_empty()).then_some(now);
    }
}
