//! Case `overload`: admission of new flows when targets cannot serve all requests, compared with
//! five baselines.
//!
//! Targets queue what they can't serve at once and refuse requests when the queue is full, so that
//! without admission every served request has waited for a full queue. The case fails if the router
//! serves less work within the objectives than a baseline, or 5 % less work overall (two baselines are
//! only shown), or misses a goal of `docs/hard-load.md`, part 4.

mod scenario;
mod sim;

use serde_json::{Value, json};

pub use self::scenario::{Class, ClassFigures, Figures, Policy, Scenario};
use self::sim::Sim;
use crate::report::Report;

const LOADS: [f64; 5] = [0.8, 1.0, 1.2, 1.7, 2.5];
const POLICIES: [Policy; 6] = [
    Policy::Router,
    Policy::RouterWithoutRefusals,
    Policy::PriorityOnly,
    Policy::FixedConcurrency,
    Policy::LeastOutstanding,
    Policy::Random,
];
/// The share of targets that is lost in half of the rows.
const LOST: f64 = 1.0 / 3.0;
/// The least share of the work served by a baseline that the router has to serve.
const MIN_SERVED: f64 = 0.95;

/// The goals of `docs/hard-load.md`, part 4: the work in time at [`GOAL_LOAD`] as a share of that at
/// full load, the share of requests that fail, and what a class gets of its fair share.
const GOAL_LOAD: f64 = 1.7;
const MIN_GOODPUT: f64 = 0.95;
const MAX_FAILED: f64 = 0.005;
const MIN_SHARE_OF_FAIR: f64 = 0.5;

/// Simulates one scenario.
pub fn simulate(scenario: Scenario) -> Figures {
    Sim::new(scenario).run()
}

struct Row {
    scenario: Scenario,
    figures: Figures,
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut rows = Vec::new();
    for lost in [0.0, LOST] {
        for load in LOADS {
            for retries in [0, 1, 2] {
                for policy in POLICIES {
                    let scenario = Scenario::new(seed, policy, load);
                    let scenario = scenario.with_lost(lost).with_retries(retries);
                    rows.push(Row { scenario, figures: simulate(scenario) });
                }
            }
        }
    }
    for class in [Class::Feed, Class::Claim] {
        for retries in [0, 1, 2] {
            for policy in POLICIES {
                let scenario = Scenario::new(seed, policy, LOADS[0]);
                let scenario = scenario.with_burst(class).with_retries(retries);
                rows.push(Row { scenario, figures: simulate(scenario) });
            }
        }
    }
    let mut failures = failed_requirements(&rows);
    failures.extend(missed_goals(&rows));
    let mut table = vec![format!(
        "{:>5} {:>5} {:>5} {:>7} {:<18} {:<6} {:>8} {:>7} {:>8} {:>7} {:>5} {:>5}",
        "load",
        "lost",
        "burst",
        "retries",
        "policy",
        "class",
        "in time",
        "late",
        "refused",
        "failed",
        "p50",
        "p99"
    )];
    for row in &rows {
        table.push(table_row(row, "feed", &row.figures.feed));
        table.push(table_row(row, "claim", &row.figures.claim));
    }
    table.extend(failures.iter().map(|failure| format!("FAILED: {failure}")));
    let values: Vec<Value> = rows.iter().map(json_row).collect();
    let figures = json!({ "seed": seed, "rows": values, "failures": failures });
    Report::new(table, figures).with_failed(!failures.is_empty())
}

fn failed_requirements(rows: &[Row]) -> Vec<String> {
    let mut failures = Vec::new();
    for baselines in rows.chunks(POLICIES.len()) {
        let (router, baselines) = baselines.split_first().expect("a row for each policy");
        let at = describe(&router.scenario);
        for other in baselines.iter().filter(|other| !only_shown(other.scenario.policy)) {
            let at = format!("{at} against {}", other.scenario.policy.name());
            let (ours, theirs) = (router.figures.in_time_work(), other.figures.in_time_work());
            if ours < theirs {
                failures.push(format!("work in time {ours:.0} ms is below {theirs:.0} ms {at}"));
            }
            let (ours, theirs) = (router.figures.served_work(), other.figures.served_work());
            if ours < MIN_SERVED * theirs {
                failures.push(format!("work served {ours:.0} ms is below {theirs:.0} ms {at}"));
            }
        }
    }
    failures
}

/// Returns whether a baseline is shown without a requirement. Fixed concurrency keeps queues short, and
/// starves the class without open flows; the limit by priority alone differs from the router only
/// where a class is below its guaranteed minimum.
fn only_shown(policy: Policy) -> bool {
    matches!(policy, Policy::FixedConcurrency | Policy::PriorityOnly)
}

/// Returns which goals of `docs/hard-load.md`, part 4, the router misses.
fn missed_goals(rows: &[Row]) -> Vec<String> {
    let mut missed = Vec::new();
    for Row { scenario, figures } in rows {
        if scenario.policy != Policy::Router {
            continue;
        }
        let at = describe(scenario);
        for (name, class) in [("feed", &figures.feed), ("claim", &figures.claim)] {
            let failed = class.share(class.failed);
            if failed >= MAX_FAILED {
                missed.push(format!("{:.2} % of {name} requests failed {at}", failed * 100.0));
            }
        }
        for (name, share) in ["feed", "claim"].iter().zip(figures.shares_of_fair()) {
            if share < MIN_SHARE_OF_FAIR {
                missed.push(format!("{name} got {share:.2} of its fair share {at}"));
            }
        }
        let full = rows.iter().find(|row| is_full_load(&row.scenario, scenario));
        let Some(full) = full.filter(|_| scenario.load == GOAL_LOAD) else { continue };
        let (ours, full) = (figures.in_time_work(), full.figures.in_time_work());
        if ours < MIN_GOODPUT * full {
            missed
                .push(format!("work in time {ours:.0} ms is below {full:.0} ms at full load {at}"));
        }
    }
    missed
}

/// Returns whether a scenario differs from another one only by a load of 100 % of what the remaining
/// targets can serve. Without lost targets, that is what the goal compares with.
fn is_full_load(full: &Scenario, scenario: &Scenario) -> bool {
    full.load == 1.0
        && full.policy == scenario.policy
        && full.retries == scenario.retries
        && full.burst.is_none()
        && full.lost == 0.0
        && scenario.lost == 0.0
}

fn describe(scenario: &Scenario) -> String {
    let Scenario { load, lost, retries, burst, .. } = scenario;
    let burst =
        burst.map_or_else(String::new, |class| format!(" with a burst of {}s", class_name(class)));
    let (load, lost) = (load * 100.0, lost * 100.0);
    format!("at {load:.0} % load{burst}, {lost:.0} % of targets lost, {retries} retries")
}

fn table_row(row: &Row, name: &str, class: &ClassFigures) -> String {
    let share = |count: u64| 100.0 * class.share(count);
    format!(
        "{:>4.0}% {:>4.0}% {:>5} {:>7} {:<18} {:<6} {:>7.1}% {:>6.1}% {:>7.1}% {:>6.1}% {:>5} {:>5}",
        row.scenario.load * 100.0,
        row.scenario.lost * 100.0,
        row.scenario.burst.map_or("-", class_name),
        row.scenario.retries,
        row.scenario.policy.name(),
        name,
        share(class.in_time),
        share(class.late),
        share(class.refused),
        share(class.failed),
        class.quantile(0.5),
        class.quantile(0.99),
    )
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Feed => "feed",
        Class::Claim => "claim",
    }
}

fn json_row(row: &Row) -> Value {
    let class = |class: &ClassFigures| {
        json!({
            "offered": class.offered,
            "in_time": class.in_time,
            "late": class.late,
            "refused": class.refused,
            "failed": class.failed,
            "p50_ms": class.quantile(0.5),
            "p99_ms": class.quantile(0.99),
        })
    };
    json!({
        "policy": row.scenario.policy.name(),
        "load": row.scenario.load,
        "lost": row.scenario.lost,
        "burst": row.scenario.burst.map(class_name),
        "shares_of_fair": row.figures.shares_of_fair(),
        "retries": row.scenario.retries,
        "feed": class(&row.figures.feed),
        "claim": class(&row.figures.claim),
        "last_refusal_after_ms": row.figures.last_refusal_after,
    })
}
