//! Case `requests`: queueing of requests under load and faults, next to two baselines.
//!
//! The **queueing time** of a request, for every policy, is the time from its arrival at an entry VM until
//! a target begins to serve it, less the one trip of 1 ms to the target that no policy avoids. Waiting at the
//! VM, asking other VMs for a slot, refused attempts with their backoff, and waiting in the queue of a target
//! all count. It is taken over requests that were answered. A request is shed when it is refused or waits
//! longer than 5 s, at a VM or at a target alike. Because shed requests have no queueing time, the table gives
//! the shed share next to it, and `p99+` counts each shed request as 5 s. `p99` and `p99+` have to be below both
//! baselines at every load, `p99+` only where it is below 5 s: at 120 % load every policy sheds over 1 %.

mod sim;

use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};

use self::sim::{Fault, Figures, MAX_WAIT, Policy, Scenario, Sim};
use crate::report::Report;

const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];
const POLICIES: [Policy; 3] = [Policy::Dispatcher, Policy::Random, Policy::LeastOutstanding];
const WARM_UP: u64 = 30_000;
const THREADS: usize = 4;
const SPAN: u64 = 300_000;
/// Attempts that reach targets may be at most this many times the offered requests.
const MAX_AMPLIFICATION: f64 = 1.1;

struct Row {
    label: String,
    policy: Policy,
    load: f64,
    figures: Figures,
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let loads = load_rows(seed);
    let faults = fault_rows(seed);
    let failures = check(&loads, &faults);
    let mut table = vec![head()];
    table.extend(loads.iter().chain(&faults).map(line));
    table.extend(control(&loads));
    table.extend(failures.iter().map(|failure| format!("FAILED: {failure}")));
    let rows: Vec<Value> = loads.iter().chain(&faults).map(value).collect();
    let figures = json!({ "seed": seed, "rows": rows, "failures": failures });
    Report::new(table, figures).with_failed(!failures.is_empty())
}

fn load_rows(seed: u64) -> Vec<Row> {
    let cases = LOADS.iter().flat_map(|load| POLICIES.iter().map(move |policy| (*load, *policy)));
    let scenarios = cases.map(|(load, policy)| ("load", policy, load, Fault::None));
    rows(seed, scenarios.collect())
}

fn fault_rows(seed: u64) -> Vec<Row> {
    use Policy::{Dispatcher, LaggingHealth, LeastOutstanding, LyingHealth};
    let failing = "3 targets fail";
    let unlimited = Fault::Flood { limited: false };
    let cases = vec![
        (failing, Dispatcher, 0.7, Fault::Failing),
        (failing, LeastOutstanding, 0.7, Fault::Failing),
        (failing, LaggingHealth, 0.7, Fault::Failing),
        (failing, LyingHealth, 0.7, Fault::Failing),
        ("half the slots lost", Dispatcher, 0.8, Fault::HalfSlots),
        ("half the slots lost", LeastOutstanding, 0.8, Fault::HalfSlots),
        ("all targets shed", Dispatcher, 0.8, Fault::ShedAll),
        ("tenant floods, limited", Dispatcher, 0.5, Fault::Flood { limited: true }),
        ("tenant floods, no limit", Dispatcher, 0.5, unlimited),
        ("tenant floods", LeastOutstanding, 0.5, unlimited),
        ("a home pauses", Dispatcher, 0.8, Fault::PausingHome),
    ];
    rows(seed, cases)
}

/// Runs scenarios on a few threads. Each depends on the seed alone, so the order does not matter.
fn rows(seed: u64, cases: Vec<(&'static str, Policy, f64, Fault)>) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            let (label, policy, load, fault) = *case;
            done.push((case, row(label, seed, policy, load, fault)));
        }
        done
    };
    let mut done = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().filter_map(|thread| thread.join().ok());
        joined.flatten().collect::<Vec<_>>()
    });
    assert_eq!(done.len(), cases.len(), "a scenario panicked");
    done.sort_by_key(|(case, _)| std::ptr::from_ref(*case));
    done.into_iter().map(|(_, row)| row).collect()
}

fn row(label: &str, seed: u64, policy: Policy, load: f64, fault: Fault) -> Row {
    let (from, until) = (WARM_UP, WARM_UP + SPAN);
    let figures = Sim::new(Scenario { seed, policy, load, fault, from, until }).run();
    Row { label: label.to_owned(), policy, load, figures }
}

fn check(loads: &[Row], faults: &[Row]) -> Vec<String> {
    let mut failures = Vec::new();
    for row in loads.iter().filter(|row| row.policy == Policy::Dispatcher) {
        let same_load = |other: &&Row| other.load == row.load && other.policy != row.policy;
        for other in loads.iter().filter(same_load) {
            let (mine, theirs) = (row.figures.p99(), other.figures.p99());
            let at = format!("at {:.0} % load against {}", row.load * 100.0, other.policy.name());
            if mine >= theirs {
                failures.push(format!("p99 {mine} ms is not below {theirs} ms {at}"));
            }
            let (mine, theirs) = (row.figures.p99_with_shed(), other.figures.p99_with_shed());
            if mine >= theirs && mine < MAX_WAIT {
                failures
                    .push(format!("p99 with shed requests {mine} ms, not below {theirs} ms {at}"));
            }
        }
    }
    for row in faults.iter().filter(|row| row.policy == Policy::Dispatcher) {
        let amplification = row.figures.amplification();
        let flood = row.label.starts_with("tenant");
        if amplification > MAX_AMPLIFICATION && !flood {
            failures.push(format!("amplification {amplification:.3} when {}", row.label));
        }
    }
    failures
}

impl Figures {
    fn p99(&self) -> u64 {
        percentile(&self.waits, 0.99)
    }

    fn amplification(&self) -> f64 {
        self.received as f64 / self.offered.max(1) as f64
    }

    /// Returns the 99th percentile of the queueing time with each shed request as the longest wait.
    fn p99_with_shed(&self) -> u64 {
        let mut waits = self.waits.clone();
        waits.resize(waits.len() + self.shed as usize, MAX_WAIT);
        waits.sort_unstable();
        percentile(&waits, 0.99)
    }
}

fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0)
}

fn head() -> String {
    format!(
        "{:<24} {:<22} {:>5} {:>6} {:>6} {:>6} {:>6} {:>9} {:>7} {:>7} {:>7} {:>6} {:>6} {:>7}",
        "case (queueing in ms)",
        "policy",
        "load",
        "p50",
        "p99",
        "worst",
        "p99+",
        "p99claims",
        "shed%",
        "claims%",
        "failed%",
        "use%",
        "ampl",
        "p99tot"
    )
}

fn line(row: &Row) -> String {
    let f = &row.figures;
    let share = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    format!(
        "{:<24} {:<22} {:>4.0}% {:>6} {:>6} {:>6} {:>6} {:>9} {:>7.2} {:>7.2} {:>7.2} {:>6.1} {:>6.3} {:>7}",
        row.label,
        row.policy.name(),
        row.load * 100.0,
        percentile(&f.waits, 0.5),
        f.p99(),
        f.waits.last().copied().unwrap_or(0),
        f.p99_with_shed(),
        percentile(&f.claim_waits, 0.99),
        share(f.shed, f.offered),
        share(f.claims_shed, f.claims_offered),
        share(f.failed, f.offered),
        f.slot_use * 100.0,
        f.amplification(),
        percentile(&f.totals, 0.99),
    )
}

/// Describes the control messages of the load runs.
fn control(loads: &[Row]) -> Vec<String> {
    let rows = loads.iter().filter(|row| row.policy == Policy::Dispatcher);
    let describe = |row: &Row| {
        let f = &row.figures;
        let a_request = |count: u64| count as f64 / f.offered.max(1) as f64;
        format!(
            "control at {:>3.0} % load: {:.1} messages and {:.0} bytes a request, {:.0} bytes/s a VM, \
             {:.0} at most; \
             {} grants, {} returned, {} slots reused, {} hedges, {} retries",
            row.load * 100.0,
            a_request(f.messages),
            a_request(f.bytes),
            f.bytes as f64 / f.seconds / 9.0,
            f.most_bytes as f64 / f.seconds,
            f.counters.grants,
            f.counters.grants_returned,
            f.counters.reused,
            f.counters.hedges,
            f.counters.retries - f.counters.hedges,
        )
    };
    rows.map(describe).collect()
}

fn value(row: &Row) -> Value {
    let f = &row.figures;
    json!({
        "case": row.label,
        "policy": row.policy.name(),
        "load": row.load,
        "p50_ms": percentile(&f.waits, 0.5),
        "p99_ms": f.p99(),
        "worst_ms": f.waits.last(),
        "p99_with_shed_ms": f.p99_with_shed(),
        "p99_claims_ms": percentile(&f.claim_waits, 0.99),
        "offered": f.offered,
        "shed": f.shed,
        "failed": f.failed,
        "slot_use": f.slot_use,
        "amplification": f.amplification(),
        "refusals": f.reasons,
        "direct": f.counters.direct,
        "messages": f.messages,
        "bytes": f.bytes,
        "most_bytes_of_a_vm": f.most_bytes,
    })
}
