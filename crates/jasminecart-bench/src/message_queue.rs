//! A network between entry VMs as a queue of messages, with delay, loss, duplication and cuts.

use std::collections::{BTreeMap, BTreeSet};

use jasminecart_core::{Millis, PeerMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The bytes added to each message for HTTP/2 and TCP framing.
pub const FRAMING_BYTES: usize = 150;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The index of the sender.
    pub from: usize,
    /// The index of the receiver.
    pub to: usize,
    /// The message.
    pub message: PeerMessage,
}

/// The conditions of all links.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// The share of messages lost.
    pub loss: f64,
    /// The share of messages delivered twice.
    pub duplication: f64,
    /// The shortest and the longest delay in milliseconds.
    pub delay: (u64, u64),
}

/// Messages on their way, in the order of their delivery.
#[derive(Debug)]
pub struct MessageQueue {
    /// The conditions of all links.
    pub links: Links,
    /// Directed pairs of VMs without a link.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The bytes sent by each VM.
    pub bytes: Vec<u64>,
    rng: ChaCha8Rng,
    messages: BTreeMap<(Millis, u64), InFlight>,
    count: u64,
}

impl MessageQueue {
    /// Creates the network of a number of VMs.
    pub fn new(vms: usize, links: Links, seed: u64) -> MessageQueue {
        MessageQueue {
            links,
            cuts: BTreeSet::new(),
            bytes: vec![0; vms],
            rng: ChaCha8Rng::seed_from_u64(seed),
            messages: BTreeMap::new(),
            count: 0,
        }
    }

    /// Takes a message from a VM.
    pub fn send(&mut self, now: Millis, message: InFlight) {
        let encoded = postcard::experimental::serialized_size(&message.message);
        let size = encoded.expect("peer messages can be encoded") + FRAMING_BYTES;
        self.bytes[message.from] += size as u64;
        let lost = self.rng.random_bool(self.links.loss);
        if lost || self.cuts.contains(&(message.from, message.to)) {
            return;
        }
        let copies = if self.rng.random_bool(self.links.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(self.links.delay.0..=self.links.delay.1);
            self.put(now + Millis(delay), message.clone());
        }
    }

    /// Puts a message back, for a receiver that is paused until `at`.
    pub fn put(&mut self, at: Millis, message: InFlight) {
        self.count += 1;
        self.messages.insert((at, self.count), message);
    }

    /// Removes the next message that arrives until `now`, with its time.
    pub fn next(&mut self, now: Millis) -> Option<(Millis, InFlight)> {
        let entry = self.messages.first_entry()?;
        let at = entry.key().0;
        (at <= now).then(|| (at, entry.remove()))
    }
}

/// Returns the median and the greatest of some spans, in milliseconds.
pub fn median_and_worst(spans: &[u64]) -> (u64, u64) {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    (median, sorted.last().copied().unwrap_or_default())
}
