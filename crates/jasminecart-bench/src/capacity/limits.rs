//! The limits of the two-year target, compared with the extrapolated values.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::fit::Slope;

/// The size of the two-year target for one data centre or VM, from `docs/design.md`, section 4.
const MEMBERS: f64 = 105.0;
const SERVICES: f64 = 1_600.0;
pub(super) const TARGETS: f64 = 3_400.0;
/// 9.1 million open flows over 630 VMs.
const FLOWS_PER_VM: f64 = 9_100_000.0 / 630.0;
/// 25,000 new flows a second over 630 VMs.
const NEW_FLOWS_PER_VM: f64 = 25_000.0 / 630.0;
/// Packets that a client sends over a flow, as for a short HTTP request.
const PACKETS_PER_FLOW: f64 = 20.0;
/// 700 changes a day, all of them in the busiest tenth of the day.
const CHANGES_PER_MINUTE: f64 = 700.0 / (24.0 * 60.0) * 10.0;
/// A document has about 110 bytes a target and 45 bytes a service.
const DOCUMENT_KIB: f64 = (TARGETS * 110.0 + SERVICES * 45.0) / 1_024.0;
const MEMORY_LIMIT_KIB: f64 = 32.0 * 1_024.0;
const CPU_LIMIT_PERCENT: f64 = 3.0;
const CONTROL_BYTES_LIMIT: f64 = 10_000.0;
/// The limit of the platform's reads a second over all readers, and the data centres that share it.
const READS_LIMIT: f64 = 2_000.0;
const DATA_CENTRES: f64 = 6.0;
/// The time within which every VM has to adopt a change.
const ADOPTION_LIMIT_MS: f64 = 13_000.0;
/// The rate in bytes a second to which transfers after a death are paced. For every member, one
/// owner of 2/105 of its entries is lost, at 12 bytes an entry. The mean of 19 deaths a day is
/// below 1 byte a second, so the peak after one death counts.
const TRANSFER_BYTES: f64 = 2_000.0;
/// The rate in bytes a second to which hints are paced.
const HINT_BYTES: f64 = 1_000.0;

/// A limit and the extrapolated value to compare with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The limited quantity.
    pub name: &'static str,
    /// The limit.
    pub limit: f64,
    /// The extrapolated value.
    pub value: f64,
    /// The unit of the limit and the value.
    pub unit: &'static str,
}

impl Limit {
    /// Returns whether the value is within the limit.
    pub fn is_met(&self) -> bool {
        self.value <= self.limit
    }

    /// Returns the limit as a multiple of the value.
    pub fn margin(&self) -> f64 {
        self.limit / self.value.max(f64::MIN_POSITIVE)
    }

    /// Returns the row of the human-readable table.
    pub fn table_row(&self) -> String {
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

    /// Returns the JSON object with the same values.
    pub fn json_row(&self) -> Value {
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

/// Extrapolates the slopes to the two-year target and returns the values with their limits.
pub(super) fn limits(slopes: &[Slope], adoption: AdoptionCost) -> Vec<Limit> {
    let slopes: BTreeMap<&str, &Slope> = slopes.iter().map(|slope| (slope.name, slope)).collect();
    let at = |name: &str, size: f64| slopes.get(name).map_or(f64::NAN, |slope| slope.at(size));
    let tables = at("services_heap", SERVICES);
    let document = 2.0 * at("document_heap", DOCUMENT_KIB);
    let members = at("members_heap", MEMBERS);
    let control_memory = tables + document + members;
    let cpu = at("members_cpu", MEMBERS) + at("changes_cpu", CHANGES_PER_MINUTE);
    let bytes = at("members_bytes", MEMBERS)
        + adoption.bytes_per_change * CHANGES_PER_MINUTE / 60.0
        + TRANSFER_BYTES
        + HINT_BYTES;
    let limit = |name, limit, value, unit| Limit { name, limit, value, unit };
    vec![
        limit("control: processor time of a node", CPU_LIMIT_PERCENT, cpu, "% of a core"),
        limit("control: memory of a node", MEMORY_LIMIT_KIB, control_memory, "KiB"),
        limit("control: traffic of a node", CONTROL_BYTES_LIMIT, bytes, "bytes/s"),
        limit("change in force everywhere", ADOPTION_LIMIT_MS, adoption.adoption_ms, "ms"),
        limit(
            "platform: reads of all data centres",
            READS_LIMIT,
            adoption.reads_per_s * DATA_CENTRES,
            "reads/s",
        ),
        limit(
            "flow table: memory when every flow has an entry",
            MEMORY_LIMIT_KIB,
            at("flow_entries_heap", FLOWS_PER_VM),
            "KiB",
        ),
        limit(
            "new flows: processor time of a node",
            100.0,
            NEW_FLOWS_PER_VM * PACKETS_PER_FLOW * at("flow_entries_route_time", FLOWS_PER_VM) / 1e9
                * 100.0,
            "% of a core",
        ),
    ]
}

/// The cost of adopting a change with 105 members, measured as in the case `documents`.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdoptionCost {
    pub(super) adoption_ms: f64,
    pub(super) reads_per_s: f64,
    pub(super) bytes_per_change: f64,
}
