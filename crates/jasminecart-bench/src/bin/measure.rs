//! Measurements of the decision modules. The last line printed is one JSON object with the figures.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use jasminecart_bench::report::Report;
use jasminecart_bench::{
    capacity, documents, faults, flows, membership, overload, packets, requests, second_copies,
    steering,
};
use jasminecart_core::invariant;
use peak_alloc::PeakAlloc;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Measures the decision modules of jasminecart and prints a table and a line of JSON.
enum Case {
    /// Routing of flows under planned changes, next to two baselines
    #[bpaf(command)]
    Flows(#[bpaf(external(common))] Common),
    /// Dispatch of requests under load, next to two baselines
    #[bpaf(command)]
    Requests(#[bpaf(external(common))] Common),
    /// Adoption of documents from 9 to 105 VMs
    #[bpaf(command)]
    Documents(#[bpaf(external(common))] Common),
    /// Detection of deaths and false positives
    #[bpaf(command)]
    Membership(#[bpaf(external(common))] Common),
    /// Randomised faults over several instances, with invariants
    #[bpaf(command)]
    Faults(#[bpaf(external(faults_options))] FaultsOptions),
    /// Slopes for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Packets per second of the packet path on one core, next to a plain forwarder
    #[bpaf(command)]
    Packets(#[bpaf(external(common))] Common),
    /// Choice of targets for flows with a routing token, next to three baselines
    #[bpaf(command)]
    Steering(#[bpaf(external(common))] Common),
    /// Admission of new flows under overload, next to three baselines
    #[bpaf(command)]
    Overload(#[bpaf(external(common))] Common),
    /// Tail latency with second copies of openings, next to none and to a fixed delay
    #[bpaf(command("second-copies"))]
    SecondCopies(#[bpaf(external(common))] Common),
}

#[derive(Clone, Debug, Bpaf)]
struct Common {
    /// Seed of the run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct FaultsOptions {
    /// Seed of the run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Steps of 50 ms
    #[bpaf(argument("M"), fallback(faults::DEFAULT_STEPS), display_fallback)]
    steps: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct CapacityOptions {
    /// Seed of the run
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Folder for a plot of each slope
    #[bpaf(argument("FOLDER"))]
    plots: Option<PathBuf>,
}

/// Tracks the live heap, which the case `capacity` reads for its memory slopes.
#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

fn main() -> ExitCode {
    let report = run(case().run());
    for line in &report.table {
        println!("{line}");
    }
    println!("{}", report.figures);
    let violations = invariant::violations();
    if violations > 0 {
        eprintln!("{violations} invariants were violated");
    }
    ExitCode::from(u8::from(report.failed || violations > 0))
}

fn run(case: Case) -> Report {
    match case {
        Case::Flows(common) => flows::run(common.seed),
        Case::Requests(common) => requests::run(common.seed),
        Case::Documents(common) => documents::run(common.seed),
        Case::Membership(common) => membership::run(common.seed),
        Case::Faults(options) => faults::run(options.seed, options.steps),
        Case::Capacity(options) => capacity::run(options.seed, options.plots.as_deref()),
        Case::Packets(common) => packets::run(common.seed),
        Case::Steering(common) => steering::run(common.seed),
        Case::Overload(common) => overload::run(common.seed),
        Case::SecondCopies(common) => second_copies::run(common.seed),
    }
}
