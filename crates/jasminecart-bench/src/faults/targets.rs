//! The simulated targets: two slots, shedding, broken and silent connections.

use std::collections::{BTreeMap, VecDeque};

use jasminecart_core::request::AttemptId;
use jasminecart_core::{Millis, Name};

use super::network::ProcessId;
use super::requests::ClientRequestId;

/// A request that arrives at a target.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) target: Name,
    pub(super) from: ProcessId,
    pub(super) attempt: AttemptId,
    pub(super) request: ClientRequestId,
    pub(super) deadline: Millis,
}

/// A target that serves requests.
#[derive(Debug)]
pub(super) struct Target {
    /// How long one request runs.
    pub(super) run_time: Millis,
    pub(super) running: u32,
    pub(super) waiting: VecDeque<Arrival>,
    /// Until this time the target sheds everything.
    pub(super) shed_until: Millis,
    /// Until this time connections to the target break after the request was sent.
    pub(super) break_until: Millis,
    /// Until this time connections to the target go silent.
    pub(super) silent_until: Millis,
}

/// The number of requests that a target runs at once.
pub(super) const SLOTS: u32 = 2;
/// A target sheds requests while this many are waiting.
pub(super) const MAX_WAITING: usize = 4;

/// All targets, and how often each request ran.
#[derive(Debug, Default)]
pub(super) struct Targets {
    pub(super) by_name: BTreeMap<Name, Target>,
    pub(super) runs: BTreeMap<ClientRequestId, u32>,
}

impl Targets {
    /// Adds a target.
    pub(super) fn add(&mut self, name: Name, run_time: Millis) {
        self.by_name.insert(
            name,
            Target {
                run_time,
                running: 0,
                waiting: VecDeque::new(),
                shed_until: Millis::ZERO,
                break_until: Millis::ZERO,
                silent_until: Millis::ZERO,
            },
        );
    }

    /// Starts a run if a slot is free and returns when it ends, or queues the request.
    pub(super) fn start(&mut self, now: Millis, arrival: &Arrival) -> Option<Millis> {
        let target = self.by_name.get_mut(&arrival.target)?;
        if target.running >= SLOTS {
            target.waiting.push_back(arrival.clone());
            return None;
        }
        target.running += 1;
        *self.runs.entry(arrival.request).or_default() += 1;
        Some(now + target.run_time)
    }

    /// Ends a run and returns a waiting request that can start now. Requests past their deadline
    /// are dropped without a run, because targets observe deadlines.
    pub(super) fn end(&mut self, now: Millis, name: &Name) -> Option<Arrival> {
        let target = self.by_name.get_mut(name)?;
        target.running -= 1;
        while let Some(arrival) = target.waiting.pop_front() {
            if arrival.deadline > now {
                return Some(arrival);
            }
        }
        None
    }
}
