//! Case `faults`: randomised runs of several complete VMs over a simulated network.
//!
//! Every VM runs all four decision modules. The run injects deaths, restarts, planned stops,
//! drains, partial updates, platform outages, pauses, partitions, loss, duplication and silent
//! connections, which often overlap, and checks the invariants of `docs/design.md`, section 2. A
//! seed repeats a run exactly.

mod client;
mod flows;
mod injection;
mod network;
mod platform;
mod requests;
mod targets;
mod verdict;
mod vm;
mod world;

use serde_json::json;

use self::verdict::Verdict;
use self::world::World;
use crate::report::Report;

/// The number of steps of a default run.
pub const DEFAULT_STEPS: u64 = 12_000;

/// Runs the case with a seed for a number of steps of 50 ms, and then until all requests have
/// ended.
pub fn run(seed: u64, steps: u64) -> Report {
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step();
    }
    world.settle();
    report(seed, steps, world.verdict())
}

fn report(seed: u64, steps: u64, verdict: &Verdict) -> Report {
    let failed = !verdict.violations.is_empty();
    let mut table = verdict.table();
    if failed {
        table.push(format!(
            "repeat with: cargo run --release -p jasminecart-bench --bin measure -- faults --seed {seed} \
             --steps {steps}"
        ));
    }
    let figures = json!({
        "seed": seed,
        "steps": steps,
        "flows": verdict.flows,
        "packets": verdict.packets,
        "broken_by_plan": verdict.broken_by_plan,
        "broken_by_vm_loss": verdict.broken_by_vm_loss,
        "broken_by_cut": verdict.broken_by_cut,
        "broken_by_target": verdict.broken_by_target,
        "requests": verdict.requests,
        "answered": verdict.answered,
        "not_run": verdict.not_run,
        "unknown": verdict.unknown,
        "run_twice": verdict.run_twice,
        "false_not_run": verdict.false_not_run,
        "misrouted": verdict.misrouted,
        "reverted": verdict.reverted,
        "late_new_work": verdict.late_new_work,
        "cut_off_by_stop": verdict.cut_off_by_stop,
        "slow_adoption": verdict.slow_adoption,
        "faults": verdict.faults,
    });
    Report::new(table, figures).with_failed(failed)
}
