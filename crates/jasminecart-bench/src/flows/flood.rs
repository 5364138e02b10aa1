//! A SYN flood against routers with a small flow table.

use std::fmt;

use jasminecart_core::flow::FlowLimits;
use serde_json::{Value, json};

use super::network::Network;

const VMS: usize = 3;
/// The table of each VM has room for the exceptions of established flows and a few half-open
/// entries.
const MAX_EXCEPTIONS: usize = 2_000;
const OPEN_FLOWS: usize = 10_000;
const FLOOD_SECONDS: u64 = 10;
/// SYN packets a second, none of which leads to a connection.
const SYNS_PER_S: usize = 20_000;
const PACKET_INTERVAL_MS: u64 = 2_000;

/// The results of the flood.
#[derive(Clone, Debug)]
pub(super) struct FloodResult {
    /// How often flows that were established before the flood broke.
    pub(super) broken: u64,
    /// The number of flows that clients opened during the flood, and how often these broke.
    opened: u64,
    opened_broken: u64,
    evicted: u64,
    dropped: u64,
    max_entries: u64,
    syns: usize,
}

impl FloodResult {
    pub(super) fn figures(&self) -> Value {
        json!({
            "syns": self.syns, "table": MAX_EXCEPTIONS, "most_entries": self.max_entries, "evicted": self.evicted,
            "dropped_table_full": self.dropped, "established_broken": self.broken,
            "opened_during": self.opened, "opened_during_broken": self.opened_broken,
        })
    }
}

impl fmt::Display for FloodResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "SYN flood: {} SYN on {VMS} VMs with tables of {MAX_EXCEPTIONS}: {} established flows broken, {} of {} \
             opened meanwhile broken, {} entries evicted, {} SYN dropped, at most {} entries",
            self.syns,
            self.broken,
            self.opened_broken,
            self.opened,
            self.evicted,
            self.dropped,
            self.max_entries
        )
    }
}

/// Sends the SYN flood while a target of each service drains, and returns the results.
pub(super) fn run(seed: u64, document: &str, drained_document: &str) -> FloodResult {
    let limits = FlowLimits { max_exceptions: MAX_EXCEPTIONS };
    let mut network = Network::new(seed, VMS, document, limits);
    network.open_flows(OPEN_FLOWS, true);
    network.run(2_000, PACKET_INTERVAL_MS);
    network.publish(drained_document, 1_000, &[]);
    network.run(8_000, PACKET_INTERVAL_MS);
    network.open_flows(OPEN_FLOWS / 2, true);
    network.run(PACKET_INTERVAL_MS * 2, PACKET_INTERVAL_MS);
    let established = network.flows.len();
    network.counts = Default::default();
    let mut max_entries = 0;
    for _ in 0..FLOOD_SECONDS * 10 {
        network.flood(SYNS_PER_S / 10);
        network.open_flows(20, true);
        network.run(100, PACKET_INTERVAL_MS);
        let highest = network.routers().map(|router| router.measure().entries).max();
        max_entries = max_entries.max(highest.unwrap_or(0));
    }
    network.run(PACKET_INTERVAL_MS * 2, PACKET_INTERVAL_MS);
    let (mut evicted, mut dropped) = (0, 0);
    for router in network.routers() {
        let counters = router.measure();
        evicted += counters.evicted;
        dropped += counters.dropped_table_full;
    }
    let (established_flows, new_flows) = network.flows.split_at(established);
    let broken = |flows: &[super::network::Flow]| flows.iter().map(|flow| flow.broken).sum();
    FloodResult {
        broken: broken(established_flows),
        opened: new_flows.len() as u64,
        opened_broken: broken(new_flows),
        evicted,
        dropped,
        max_entries,
        syns: SYNS_PER_S * FLOOD_SECONDS as usize,
    }
}
