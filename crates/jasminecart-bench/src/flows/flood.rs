//! A SYN flood against routers with a small table.

use std::fmt;

use jasminecart_core::flow::FlowLimits;
use serde_json::{Value, json};

use super::network::Network;

const VMS: usize = 3;
/// The table of each VM holds the established exceptions and few half-open entries besides.
const TABLE: usize = 2_000;
const OPEN_FLOWS: usize = 10_000;
const FLOOD_SECONDS: u64 = 10;
/// SYN packets a second that no client follows up.
const FLOOD_RATE: usize = 20_000;
const PERIOD: u64 = 2_000;

/// What the flood did.
#[derive(Clone, Debug)]
pub(super) struct Flood {
    /// Established flows that broke.
    pub(super) broken: u64,
    /// Flows opened during the flood that were established, and of these the ones that broke.
    opened: u64,
    opened_broken: u64,
    evicted: u64,
    dropped: u64,
    entries: u64,
    syns: usize,
}

impl Flood {
    pub(super) fn figures(&self) -> Value {
        json!({
            "syns": self.syns, "table": TABLE, "most_entries": self.entries, "evicted": self.evicted,
            "dropped_table_full": self.dropped, "established_broken": self.broken,
            "opened_during": self.opened, "opened_during_broken": self.opened_broken,
        })
    }
}

impl fmt::Display for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "SYN flood: {} SYN on {VMS} VMs with tables of {TABLE}: {} established flows broken, {} of {} \
             opened meanwhile broken, {} entries evicted, {} SYN dropped, at most {} entries",
            self.syns,
            self.broken,
            self.opened_broken,
            self.opened,
            self.evicted,
            self.dropped,
            self.entries
        )
    }
}

/// Floods the routers while a target of each service drains.
pub(super) fn run(seed: u64, document: &str, drained: &str) -> Flood {
    let limits = FlowLimits { max_exceptions: TABLE };
    let mut network = Network::new(seed, VMS, document, limits);
    network.open_flows(OPEN_FLOWS, true);
    network.run(2_000, PERIOD);
    network.publish(drained, 1_000, &[]);
    network.run(8_000, PERIOD);
    network.open_flows(OPEN_FLOWS / 2, true);
    network.run(PERIOD * 2, PERIOD);
    let established = network.flows.len();
    network.tally = Default::default();
    let mut entries = 0;
    for _ in 0..FLOOD_SECONDS * 10 {
        network.flood(FLOOD_RATE / 10);
        network.open_flows(20, true);
        network.run(100, PERIOD);
        let most = network.routers().map(|router| router.measure().entries).max();
        entries = entries.max(most.unwrap_or(0));
    }
    network.run(PERIOD * 2, PERIOD);
    let (mut evicted, mut dropped) = (0, 0);
    for router in network.routers() {
        let counters = router.measure();
        evicted += counters.evicted;
        dropped += counters.dropped_table_full;
    }
    let (earlier, later) = network.flows.split_at(established);
    let broken = |flows: &[super::network::Flow]| flows.iter().map(|flow| flow.broken).sum();
    Flood {
        broken: broken(earlier),
        opened: later.len() as u64,
        opened_broken: broken(later),
        evicted,
        dropped,
        entries,
        syns: FLOOD_RATE * FLOOD_SECONDS as usize,
    }
}
