//! First fragments, which name the flow of the later ones.

use std::collections::{HashMap, VecDeque};

use super::packet::{FlowKey, FragmentKey};
use crate::time::Millis;

/// How long a first fragment is remembered, which is the usual reassembly time of a receiver.
const FRAGMENT_SPAN: Millis = Millis::from_secs(30);
/// The most first fragments remembered, about 8 MB.
const MAX_FRAGMENTS: usize = 65_536;

/// The flows of fragmented packets.
#[derive(Debug, Default)]
pub(super) struct Fragments {
    flows: HashMap<FragmentKey, (Millis, FlowKey)>,
    queue: VecDeque<(Millis, FragmentKey)>,
}

impl Fragments {
    /// Records a first fragment.
    pub(super) fn insert(&mut self, now: Millis, fragment: FragmentKey, flow: FlowKey) {
        self.expire(now);
        if self.queue.len() >= MAX_FRAGMENTS {
            self.pop();
        }
        self.flows.insert(fragment, (now, flow));
        self.queue.push_back((now, fragment));
    }

    /// Returns the flow of a later fragment.
    pub(super) fn get(&self, now: Millis, fragment: &FragmentKey) -> Option<FlowKey> {
        let (at, flow) = self.flows.get(fragment)?;
        (now.since(*at) <= FRAGMENT_SPAN).then_some(*flow)
    }

    /// Forgets old fragments.
    pub(super) fn expire(&mut self, now: Millis) {
        while self.queue.front().is_some_and(|(at, _)| now.since(*at) > FRAGMENT_SPAN) {
            self.pop();
        }
    }

    fn pop(&mut self) {
        let Some((at, fragment)) = self.queue.pop_front() else { return };
        // A fragment with the same identification may have been recorded since.
        if self.flows.get(&fragment).is_some_and(|(recorded, _)| *recorded == at) {
            self.flows.remove(&fragment);
        }
    }
}
