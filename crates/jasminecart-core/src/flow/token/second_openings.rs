//! Second copies of openings: which openings wait for one, and when it is due.
//!
//! A target responds to an opening at once. An opening that its client does not follow up within the usual
//! handshake time of its route is probably lost, and the client repeats it only after 200 ms.
//! `docs/design/tail-latency.md` compares the times at which a second copy may be sent.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::routing_token::TargetId;
use super::segment::FlowId;
use super::verdict::Destination;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::second_copies::{RecentLatencies, SecondCopyBudget, SecondCopyLimit};
use crate::time::Millis;

/// The delay is this many times the 99th percentile of the route's handshake times, so that few openings of
/// live targets get a second copy.
const HANDSHAKE_QUANTILE: f64 = 0.99;
const HANDSHAKE_FACTOR: u64 = 2;
/// Clients and targets of another data centre are up to 4 ms away, and a busy VM handles packets some
/// milliseconds late.
const MIN_DELAY: Millis = Millis(20);
/// The client repeats its opening after 200 ms, so that a later copy gains nothing.
const MAX_DELAY: Millis = Millis(150);
/// A copy that is late by more than this is not sent. The process was paused, and what the client sent
/// meanwhile has not been read.
const MAX_LATENESS: Millis = Millis(40);
/// Second copies are withheld while more than this share of the openings is not followed up through this VM in
/// time. Either the packets of flows spread over several VMs, or a fault is too large for the budget to help.
const MAX_UNANSWERED: f64 = 0.25;
const UNANSWERED_WEIGHT: f64 = 0.05;
/// The maximum number of openings that wait. The busiest VM opens about 100 flows a second.
const MAX_PENDING: usize = 256;
/// The maximum number of routes with handshake times.
const MAX_ROUTES: usize = 1_024;

/// When the second copy of an opening is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SecondCopyTiming {
    /// With the client's repeated opening, which then goes to two targets.
    OnRepeat,
    /// By the VM itself, after a fixed delay.
    Fixed(Millis),
    /// By the VM itself, after a delay derived from the handshake times of the route.
    #[default]
    Adaptive,
}

/// Why a second copy was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SecondCopyRefusal {
    /// The budget is exhausted.
    Budget,
    /// The service is overloaded.
    Overload,
    /// No other target may get the opening.
    NoTarget,
    /// Too many openings are not followed up through this VM.
    Unanswered,
    /// This VM handles packets late, so that the client may have followed its opening up.
    Late,
}

/// A second copy to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondCopy {
    /// The flow whose opening is repeated.
    pub flow: FlowId,
    /// When its opening was forwarded.
    pub sent_at: Millis,
    /// Where the copy goes, or `None` if none is sent.
    pub destination: Option<Destination>,
}

/// What happened to the second copy of an opening, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SecondCopyEvent {
    /// It was sent.
    Sent {
        /// The flow.
        flow: FlowId,
        /// The route of the flow.
        route: Name,
        /// The target of the first copy.
        first: Name,
        /// The target of the second copy.
        second: Name,
        /// The time since the first copy.
        after: Millis,
        /// How many more copies the budget allows at once.
        budget: u64,
    },
    /// It was not sent.
    Withheld {
        /// The flow.
        flow: FlowId,
        /// The route of the flow.
        route: Name,
        /// The reason.
        refusal: SecondCopyRefusal,
    },
    /// The client echoed the token of its target first.
    Won {
        /// The flow.
        flow: FlowId,
        /// The target of the second copy.
        second: Name,
    },
}

/// An opening that waits for its second copy: when it is due, its flow, and when the first was forwarded.
pub(super) type Pending = (Millis, FlowId, Millis);

/// A target that did not respond before the target of the second copy did.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overtaken {
    pub(super) target: TargetId,
    pub(super) sent_at: Millis,
}

/// The second copies of one VM.
#[derive(Debug, Default)]
pub(super) struct SecondOpenings {
    pub(super) budget: SecondCopyBudget,
    pub(super) timing: SecondCopyTiming,
    handshakes: HashMap<Name, RecentLatencies>,
    pending: BinaryHeap<Reverse<Pending>>,
    /// The share of recent openings that were not followed up when their second copy was due.
    unanswered: f64,
    last_scheduled: Option<(FlowId, Millis)>,
    pub(super) overtaken: Vec<Overtaken>,
    pub(super) events: Vec<SecondCopyEvent>,
    /// The second copy of the last packet, if it is sent together with it.
    pub(super) immediate: Option<Destination>,
}

impl SecondOpenings {
    pub(super) fn set_limit(&mut self, limit: SecondCopyLimit) {
        self.budget.set_limit(limit);
        if !limit.is_enabled() {
            self.handshakes.clear();
        }
    }

    /// Records the time from an opening to what its client sent next.
    pub(super) fn on_handshake(&mut self, route: &Name, time: Millis) {
        if !self.budget.is_enabled() {
            return;
        }
        if let Some(latencies) = self.handshakes.get_mut(route) {
            latencies.add(time);
        } else if self.handshakes.len() < MAX_ROUTES {
            self.handshakes.entry(route.clone()).or_default().add(time);
        }
    }

    /// Removes routes that no longer exist.
    pub(super) fn retain_routes(&mut self, exists: impl Fn(&Name) -> bool) {
        self.handshakes.retain(|route, _| exists(route));
    }

    /// Returns how long an opening of a route waits, or `None` if it gets no second copy from the VM.
    fn delay(&self, route: &Name) -> Option<Millis> {
        match self.timing {
            SecondCopyTiming::OnRepeat => None,
            SecondCopyTiming::Fixed(delay) => Some(delay.min(MAX_DELAY)),
            SecondCopyTiming::Adaptive => {
                let usual = self.handshakes.get(route)?.quantile(HANDSHAKE_QUANTILE)?;
                let delay = Millis(usual.get().saturating_mul(HANDSHAKE_FACTOR));
                (usual <= MAX_DELAY).then_some(delay.clamp(MIN_DELAY, MAX_DELAY))
            }
        }
    }

    /// Schedules the second copy of an opening.
    pub(super) fn schedule(&mut self, now: Millis, flow: FlowId, route: &Name) {
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        if let Some(delay) = self.delay(route) {
            self.pending.push(Reverse((now + delay, flow, now)));
            self.last_scheduled = Some((flow, now));
        }
    }

    /// Returns whether the latest opening that was scheduled is that of `flow`, forwarded at `now`.
    pub(super) fn is_scheduled(&self, now: Millis, flow: &FlowId) -> bool {
        self.last_scheduled == Some((*flow, now))
    }

    /// Records whether an opening was followed up before its second copy was due.
    pub(super) fn on_due(&mut self, answered: bool) {
        let sample = if answered { 0.0 } else { 1.0 };
        self.unanswered += UNANSWERED_WEIGHT * (sample - self.unanswered);
    }

    /// Returns whether so many openings are unanswered that no second copy is sent.
    pub(super) fn is_withheld(&self) -> bool {
        self.unanswered > MAX_UNANSWERED
    }

    pub(super) fn next_at(&self) -> Option<Millis> {
        self.pending.peek().map(|Reverse((due_at, ..))| *due_at)
    }

    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Pending> {
        self.next_at().filter(|due_at| *due_at <= now)?;
        self.pending.pop().map(|Reverse(pending)| pending)
    }
}

/// Returns whether a copy that was due at `due_at` comes too late. `queue_empty_at` is when the receive queue
/// was last seen empty; until it was, the follow-up of the client may wait in it.
pub(super) fn is_late(now: Millis, (due_at, _, sent_at): Pending, queue_empty_at: Millis) -> bool {
    now.since(due_at) > MAX_LATENESS || queue_empty_at < sent_at
}
