//! Case `steering`: target selection for flows with a routing token, compared with three baselines.
//!
//! The **queueing time** is the time between a request's arrival at a target and the start of its
//! processing. A request is late when its response arrives after its latency objective, counted
//! from its first attempt, or when it is refused in every attempt. At every load, the share of late
//! requests has to be below that of each baseline. The same holds for the 99th percentile of the
//! queueing time, except against a baseline that refuses more requests, because refused requests
//! have no queueing time.

mod scenario;
mod sim;

use serde_json::{Value, json};

use self::scenario::{Figures, Policy, Scenario};
use self::sim::Sim;
use crate::report::Report;

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
const POLICIES: [Policy; 5] = [
    Policy::Router,
    Policy::SharedRouter,
    Policy::Random,
    Policy::LeastOutstanding,
    Policy::LeastFlows,
];
/// The time in which the routers first measure the targets' speeds, and the measured time after
/// it.
const WARM_UP_MS: u64 = 20_000;
const MEASURED_DURATION_MS: u64 = 120_000;

struct Row {
    policy: Policy,
    load: f64,
    replaced: bool,
    figures: Figures,
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let rows = rows(seed);
    let failures = failed_requirements(&rows);
    let mut table = vec![format!(
        "{:>5} {:<22} {:<10} {:>5} {:>5} {:>6} {:>8} {:>8} {:>9} {:>7}",
        "load", "policy", "targets", "p50", "p99", "worst", "late", "refused", "busiest", "remote"
    )];
    table.extend(rows.iter().map(table_row));
    table.extend(failures.iter().map(|failure| format!("FAILED: {failure}")));
    let values: Vec<Value> = rows.iter().map(json_row).collect();
    let figures = json!({ "seed": seed, "rows": values, "failures": failures });
    Report::new(table, figures).with_failed(!failures.is_empty())
}

fn rows(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for replaced in [false, true] {
        for load in LOADS {
            for policy in POLICIES {
                let (from, until) = (WARM_UP_MS, WARM_UP_MS + MEASURED_DURATION_MS);
                let scenario = Scenario { seed, policy, load, replaced, from, until };
                rows.push(Row { policy, load, replaced, figures: Sim::new(scenario).run() });
            }
        }
    }
    rows
}

fn failed_requirements(rows: &[Row]) -> Vec<String> {
    let mut failures = Vec::new();
    let baselines = [Policy::Random, Policy::LeastOutstanding, Policy::LeastFlows];
    for row in rows.iter().filter(|row| row.policy == Policy::Router) {
        let same = |other: &&Row| other.load == row.load && other.replaced == row.replaced;
        for other in rows.iter().filter(same).filter(|row| baselines.contains(&row.policy)) {
            let at = format!("at {:.0} % load against {}", row.load * 100.0, other.policy.name());
            let (ours, baseline) = (row.figures.late_share(), other.figures.late_share());
            if ours >= baseline {
                failures.push(format!("late {ours:.4} is not below {baseline:.4} {at}"));
            }
            let (ours, baseline) = (row.figures.quantile(0.99), other.figures.quantile(0.99));
            if ours >= baseline && row.figures.refused >= other.figures.refused {
                failures.push(format!("p99 {ours} ms is not below {baseline} ms {at}"));
            }
        }
    }
    failures
}

fn table_row(row: &Row) -> String {
    let figures = &row.figures;
    let share = |count: u64| 100.0 * count as f64 / figures.requests.max(1) as f64;
    format!(
        "{:>4.0}% {:<22} {:<10} {:>5} {:>5} {:>6} {:>7.2}% {:>7.2}% {:>9.2} {:>6.0}%",
        row.load * 100.0,
        row.policy.name(),
        if row.replaced { "replaced" } else { "steady" },
        figures.quantile(0.5),
        figures.quantile(0.99),
        figures.quantile(1.0),
        100.0 * figures.late_share(),
        share(figures.refused),
        figures.busiest_to_mean,
        share(figures.remote),
    )
}

fn json_row(row: &Row) -> Value {
    let figures = &row.figures;
    json!({
        "policy": row.policy.name(),
        "load": row.load,
        "replaced": row.replaced,
        "p50_ms": figures.quantile(0.5),
        "p99_ms": figures.quantile(0.99),
        "worst_ms": figures.quantile(1.0),
        "late_share": figures.late_share(),
        "refused": figures.refused,
        "requests": figures.requests,
        "busiest_to_mean": figures.busiest_to_mean,
        "remote": figures.remote,
    })
}
