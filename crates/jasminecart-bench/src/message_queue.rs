//! A simulated network between entry VMs: a queue of messages with delay, loss, duplication and
//! partitions.

use std::collections::{BTreeMap, BTreeSet};

use jasminecart_core::{Millis, PeerMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bytes added to each message for HTTP/2 and TCP framing.
pub const FRAMING_BYTES: usize = 150;

/// A message in flight.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The number of the sending VM.
    pub from: usize,
    /// The number of the receiving VM.
    pub to: usize,
    /// The content.
    pub message: PeerMessage,
}

/// Loss, duplication and delay, which apply to all links alike.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is delivered twice.
    pub duplication: f64,
    /// The minimum and maximum delay in milliseconds.
    pub delay: (u64, u64),
}

/// Messages in flight, ordered by delivery time.
#[derive(Debug)]
pub struct MessageQueue {
    /// Loss, duplication and delay of all links.
    pub links: LinkConditions,
    /// Pairs of sender and receiver between which every message is lost.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// The bytes sent by each VM, framing included.
    pub bytes: Vec<u64>,
    rng: ChaCha8Rng,
    messages: BTreeMap<(Millis, u64), InFlight>,
    sequence: u64,
}

impl MessageQueue {
    /// Creates the network between `vms` VMs.
    pub fn new(vms: usize, links: LinkConditions, seed: u64) -> MessageQueue {
        MessageQueue {
            links,
            partitioned: BTreeSet::new(),
            bytes: vec![0; vms],
            rng: ChaCha8Rng::seed_from_u64(seed),
            messages: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Sends a message. Lost messages also count as bytes sent.
    pub fn send(&mut self, now: Millis, message: InFlight) {
        let encoded = postcard::experimental::serialized_size(&message.message);
        let size = encoded.expect("peer messages can be encoded") + FRAMING_BYTES;
        self.bytes[message.from] += size as u64;
        let lost = self.rng.random_bool(self.links.loss);
        if lost || self.partitioned.contains(&(message.from, message.to)) {
            return;
        }
        let copies = if self.rng.random_bool(self.links.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(self.links.delay.0..=self.links.delay.1);
            self.enqueue(now + Millis(delay), message.clone());
        }
    }

    /// Schedules a message for delivery at `at`, also again for a receiver that is paused until
    /// then.
    pub fn enqueue(&mut self, at: Millis, message: InFlight) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }

    /// Removes the earliest message that is due by `now` and returns it with its delivery time.
    pub fn next(&mut self, now: Millis) -> Option<(Millis, InFlight)> {
        let entry = self.messages.first_entry()?;
        let at = entry.key().0;
        (at <= now).then(|| (at, entry.remove()))
    }
}

/// Returns the median and the maximum of the values, or zeros when there are none.
pub fn median_and_max(values: &[u64]) -> (u64, u64) {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    (median, sorted.last().copied().unwrap_or_default())
}
