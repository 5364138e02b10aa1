//! Maps fragmented packets to their flows, since only the first fragment has ports.

use std::collections::{HashMap, VecDeque};

use super::packet::{FlowKey, FragmentKey};
use crate::time::Millis;

/// How long a first fragment is stored: the usual reassembly time-out of a receiver.
const REASSEMBLY_TIMEOUT: Millis = Millis::from_secs(30);
/// The maximum number of first fragments stored, which take about 8 MB.
const MAX_FRAGMENTS: usize = 65_536;

/// The flows of recent fragmented packets.
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

    /// Returns the flow of a later fragment if its first fragment was recorded.
    pub(super) fn get(&self, now: Millis, fragment: &FragmentKey) -> Option<FlowKey> {
        let (at, flow) = self.flows.get(fragment)?;
        (now.since(*at) <= REASSEMBLY_TIMEOUT).then_some(*flow)
    }

    /// Removes fragments older than [`REASSEMBLY_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Millis) {
        while self.queue.front().is_some_and(|(at, _)| now.since(*at) > REASSEMBLY_TIMEOUT) {
            self.pop();
        }
    }

    fn pop(&mut self) {
        let Some((at, fragment)) = self.queue.pop_front() else { return };
        // A later packet with the same identification may have replaced the entry.
        if self.flows.get(&fragment).is_some_and(|(recorded, _)| *recorded == at) {
            self.flows.remove(&fragment);
        }
    }
}
