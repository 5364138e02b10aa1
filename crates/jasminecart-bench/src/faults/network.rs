//! The simulated network: delay, loss, duplication and cut links.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use jasminecart_core::names::VmId;
use jasminecart_core::process::VmHint;
use jasminecart_core::request::{AttemptId, Outcome};
use jasminecart_core::version::PlatformReply;
use jasminecart_core::{Incarnation, Millis, PeerMessage};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::requests::Submission;
use super::targets::Arrival;

/// The identity of a process: its VM and its incarnation.
pub(super) type ProcessId = (VmId, Incarnation);

/// An event that is delivered at a scheduled time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Peer { from: VmId, to: VmId, message: PeerMessage },
    Platform { to: ProcessId, reply: PlatformReply },
    VmList { to: ProcessId, list: Vec<VmHint> },
    Target(Arrival),
    RunEnds { target: jasminecart_core::Name, arrival: Arrival },
    Outcome { to: ProcessId, attempt: AttemptId, outcome: Outcome },
    Forwarded { to: VmId, submission: Submission, deadline: Millis },
}

/// The scheduled events in the order of their times, and the cut links between VMs.
#[derive(Debug, Default)]
pub(super) struct Network {
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    /// Cut links, from sender to receiver, and when each cut ends.
    cuts: BTreeMap<(VmId, VmId), Millis>,
    pub(super) loss: f64,
    pub(super) duplication: f64,
    pub(super) last_cut_end: Millis,
}

impl Network {
    /// Schedules the delivery of an event.
    pub(super) fn schedule(&mut self, time: Millis, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends a message between VMs, which may be lost, duplicated or delayed. Cut links are checked
    /// on delivery.
    pub(super) fn send(&mut self, now: Millis, rng: &mut ChaCha8Rng, event: Event) {
        if rng.random_bool(self.loss) {
            return;
        }
        if rng.random_bool(self.duplication) {
            let delay = Millis(rng.random_range(1..200));
            self.schedule(now + delay, event.clone());
        }
        let delay = Millis(rng.random_range(1..4));
        self.schedule(now + delay, event);
    }

    /// Removes and returns the next event that is due.
    pub(super) fn next(&mut self, now: Millis) -> Option<Event> {
        let Reverse((time, id)) = *self.queue.peek()?;
        if time > now {
            return None;
        }
        self.queue.pop();
        self.events.remove(&id)
    }

    /// Cuts the link between two VMs in one direction.
    pub(super) fn cut(&mut self, from: &VmId, to: &VmId, until: Millis) {
        self.cuts.insert((from.clone(), to.clone()), until);
        self.last_cut_end = self.last_cut_end.max(until);
    }

    /// Returns whether the link from one VM to another is not cut.
    pub(super) fn is_open(&self, now: Millis, from: &VmId, to: &VmId) -> bool {
        self.cuts.get(&(from.clone(), to.clone())).is_none_or(|until| *until <= now)
    }
}
