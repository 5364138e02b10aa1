//! The limits of the two-year target next to the extrapolated values.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::fit::Slope;

/// The size of the two-year target, from `docs/design.md`, section 4, for one data centre or node.
const MEMBERS: f64 = 105.0;
const SERVICES: f64 = 1_600.0;
pub(super) const TARGETS: f64 = 3_400.0;
/// 9.1 million open flows over 630 nodes.
const FLOWS_PER_NODE: f64 = 9_100_000.0 / 630.0;
/// 25,000 new flows a second over 630 nodes.
const NEW_FLOWS_PER_NODE: f64 = 25_000.0 / 630.0;
/// Packets that a client sends over a flow, as a short request over HTTP does.
const PACKETS_PER_FLOW: f64 = 20.0;
/// 700 changes a day, all in the busiest tenth of it.
const CHANGES_PER_MINUTE: f64 = 700.0 / (24.0 * 60.0) * 10.0;
/// About 110 bytes a target and 45 a service.
const DOCUMENT_KIB: f64 = (TARGETS * 110.0 + SERVICES * 45.0) / 1_024.0;
const MEMORY_LIMIT_KIB: f64 = 32.0 * 1_024.0;
const CPU_LIMIT_PERCENT: f64 = 3.0;
const BYTES_LIMIT: f64 = 10_000.0;
/// The platform's reads a second over all readers, and the data centres that share them.
const READS_LIMIT: f64 = 2_000.0;
const DATA_CENTRES: f64 = 6.0;
/// The bound of a change to be in force everywhere.
const IN_FORCE_LIMIT_MS: f64 = 13_000.0;
/// Transfers after a death: every member loses one owner of 2/105 of its entries, at 12 bytes an entry.
/// 19 deaths a day spread over a day are below 1 byte a second, so the peak after one death counts, which
/// is paced to this rate.
const REPAIR_BYTES: f64 = 2_000.0;
/// The budget of hints, which are paced to this rate.
const HINT_BYTES: f64 = 1_000.0;

/// A limit with the extrapolated value.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// What is limited.
    pub name: &'static str,
    /// The limit.
    pub limit: f64,
    /// The extrapolated value.
    pub value: f64,
    /// The unit of both.
    pub unit: &'static str,
}

impl Limit {
    /// Tells whether the value is within the limit.
    pub fn is_met(&self) -> bool {
        self.value <= self.limit
    }

    /// Returns the limit as a multiple of the value.
    pub fn margin(&self) -> f64 {
        self.limit / self.value.max(f64::MIN_POSITIVE)
    }

    /// Returns the row for people.
    pub fn line(&self) -> String {
        let verdict = if self.is_met() { "met" } else { "NOT MET" };
        format!(
            "{:<44}{:>12.2}{:>12.0} {:<14}{:>9.1}x  {verdict}",
            self.name,
            self.value,
            self.limit,
            self.unit,
            self.margin()
        )
    }

    /// Returns the figures for programs.
    pub fn figures(&self) -> Value {
        json!({
            "name": self.name,
            "value": self.value,
            "limit": self.limit,
            "unit": self.unit,
            "margin": self.margin(),
            "met": self.is_met(),
        })
    }
}

/// Extrapolates the slopes to the two-year target.
pub(super) fn limits(slopes: &[Slope], platform: PlatformUse) -> Vec<Limit> {
    let slopes: BTreeMap<&str, &Slope> = slopes.iter().map(|slope| (slope.name, slope)).collect();
    let at = |name: &str, size: f64| slopes.get(name).map_or(f64::NAN, |slope| slope.at(size));
    let tables = at("services_heap", SERVICES);
    let document = 2.0 * at("document_heap", DOCUMENT_KIB);
    let members = at("members_heap", MEMBERS);
    let control_memory = tables + document + members;
    let cpu = at("members_cpu", MEMBERS) + at("changes_cpu", CHANGES_PER_MINUTE);
    let bytes = at("members_bytes", MEMBERS)
        + platform.bytes_per_change * CHANGES_PER_MINUTE / 60.0
        + REPAIR_BYTES
        + HINT_BYTES;
    let limit = |name, limit, value, unit| Limit { name, limit, value, unit };
    vec![
        limit("control: processor time of a node", CPU_LIMIT_PERCENT, cpu, "% of a core"),
        limit("control: memory of a node", MEMORY_LIMIT_KIB, control_memory, "KiB"),
        limit("control: traffic of a node", BYTES_LIMIT, bytes, "bytes/s"),
        limit("change in force everywhere", IN_FORCE_LIMIT_MS, platform.in_force_ms, "ms"),
        limit(
            "platform: reads of all data centres",
            READS_LIMIT,
            platform.reads_per_s * DATA_CENTRES,
            "reads/s",
        ),
        limit(
            "flow table: memory when every flow has an entry",
            MEMORY_LIMIT_KIB,
            at("flow_entries_heap", FLOWS_PER_NODE),
            "KiB",
        ),
        limit(
            "new flows: processor time of a node",
            100.0,
            NEW_FLOWS_PER_NODE * PACKETS_PER_FLOW * at("flow_entries_route_time", FLOWS_PER_NODE)
                / 1e9
                * 100.0,
            "% of a core",
        ),
    ]
}

/// What adoption costs at 105 members, measured by the case `documents`.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformUse {
    pub(super) in_force_ms: f64,
    pub(super) reads_per_s: f64,
    pub(super) bytes_per_change: f64,
}
