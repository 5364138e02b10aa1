//! Case `second-copies`: tail latency of openings with and without second copies, and the extra work.
//!
//! The **opening time** runs from a client's first opening to the response that opens the flow. Targets
//! die, pause and are partitioned, and packets are lost. The case fails if a policy sends more second
//! copies than the budget allows, or if the adaptive delay does not improve the 99.9th percentile.

mod sim;

use jasminecart_core::Millis;
use jasminecart_core::flow::token::SecondCopyTiming;
use serde_json::{Value, json};

use self::sim::{Figures, Scenario, Sim};
use crate::report::Report;

/// The budget of all policies but the first.
const SHARE_PERCENT: f64 = 5.0;
const BURST: u32 = 10;
const POLICIES: [(&str, Option<SecondCopyTiming>); 6] = [
    ("none", None),
    ("on repeat", Some(SecondCopyTiming::OnRepeat)),
    ("fixed 10 ms", Some(SecondCopyTiming::Fixed(Millis(10)))),
    ("fixed 50 ms", Some(SecondCopyTiming::Fixed(Millis(50)))),
    ("fixed 100 ms", Some(SecondCopyTiming::Fixed(Millis(100)))),
    ("adaptive", Some(SecondCopyTiming::Adaptive)),
];

/// Networks with the extra delay between clients and VMs, and the share of flows that change the VM: on the
/// users' platform they do if the list of VMs changes.
const NETWORKS: [(&str, u64, f64); 3] =
    [("near", 0, 0.002), ("far", 30, 0.002), ("spread", 0, 1.0)];

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut table = vec![format!(
        "{:<10} {:<13} {:>5} {:>5} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}",
        "network",
        "policy",
        "p50",
        "p99",
        "p99.9",
        "max",
        "failed",
        "copies",
        "won",
        "unused",
        "twice",
        "astray"
    )];
    let mut values = Vec::new();
    let mut failures = Vec::new();
    for (network, link_ms, rehashed) in NETWORKS {
        let mut none_p999 = 0;
        for (name, timing) in POLICIES {
            let (share, burst) = (SHARE_PERCENT, BURST);
            let scenario = Scenario { seed, timing, share, burst, link_ms, rehashed };
            let figures = Sim::new(scenario).run();
            let p999 = figures.quantile(0.999);
            match timing {
                None => none_p999 = p999,
                Some(SecondCopyTiming::Adaptive) if rehashed < 0.5 && p999 >= none_p999 => {
                    failures.push(format!("p99.9 {p999} is not below {none_p999} ({network})"));
                }
                Some(_) => {}
            }
            let allowed = figures.openings as f64 * SHARE_PERCENT / 100.0
                + f64::from(BURST) * sim::VMS as f64;
            if figures.copies as f64 > allowed {
                failures.push(format!("{name}: {} copies exceed {allowed}", figures.copies));
            }
            table.push(row(network, name, &figures));
            values.push(json_row(network, name, &figures));
        }
    }
    table.extend(failures.iter().map(|failure| format!("FAILED: {failure}")));
    let figures = json!({ "seed": seed, "rows": values, "failures": failures });
    Report::new(table, figures).with_failed(!failures.is_empty())
}

fn row(network: &str, name: &str, figures: &Figures) -> String {
    let share = |count: u64| 100.0 * count as f64 / figures.openings.max(1) as f64;
    format!(
        "{:<10} {:<13} {:>5} {:>5} {:>6} {:>6} {:>6.3}% {:>6.2}% {:>6.2}% {:>6.2}% {:>6.2}% {:>6.3}%",
        network,
        name,
        figures.quantile(0.5),
        figures.quantile(0.99),
        figures.quantile(0.999),
        figures.quantile(1.0),
        share(figures.failed),
        share(figures.copies),
        share(figures.won),
        share(figures.unused),
        share(figures.responded_twice),
        share(figures.astray),
    )
}

fn json_row(network: &str, name: &str, figures: &Figures) -> Value {
    json!({
        "network": network,
        "policy": name,
        "p50_ms": figures.quantile(0.5),
        "p99_ms": figures.quantile(0.99),
        "p999_ms": figures.quantile(0.999),
        "max_ms": figures.quantile(1.0),
        "openings": figures.openings,
        "failed": figures.failed,
        "copies": figures.copies,
        "won": figures.won,
        "unused_connections": figures.unused,
        "responded_twice": figures.responded_twice,
        "astray": figures.astray,
    })
}
