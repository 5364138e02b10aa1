//! What a run of the simulation plays, and what it yields.

/// How a flow finds its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// The router of jasminecart, one for each VM.
    Router,
    /// One router that sees the flows of all VMs, the most that sharing of evidence could reach.
    SharedRouter,
    /// A random target.
    Random,
    /// The target with the fewest requests in progress of this VM.
    LeastOutstanding,
    /// The target with the fewest open flows of this VM, in the own data centre where they are equal.
    LeastFlows,
}

impl Policy {
    pub(super) fn name(self) -> &'static str {
        match self {
            Policy::Router => "jasminecart",
            Policy::SharedRouter => "jasminecart, one VM",
            Policy::Random => "random",
            Policy::LeastOutstanding => "least outstanding",
            Policy::LeastFlows => "least flows",
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) policy: Policy,
    /// The offered work as a share of the capacity.
    pub(super) load: f64,
    /// Whether targets are replaced by cold ones, one after the other.
    pub(super) replaced: bool,
    /// Requests that arrive before are not counted.
    pub(super) from: u64,
    pub(super) until: u64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// The times between arrival at a target and the start of work, sorted, in ms.
    pub(super) waits: Vec<u64>,
    pub(super) requests: u64,
    /// Requests answered after their objective.
    pub(super) late: u64,
    /// Requests that were refused to the end.
    pub(super) refused: u64,
    /// The busiest target's use of its slots over the mean.
    pub(super) busiest_to_mean: f64,
    /// Requests at targets of another data centre.
    pub(super) remote: u64,
}

impl Figures {
    pub(super) fn quantile(&self, share: f64) -> u64 {
        let last = self.waits.len().saturating_sub(1);
        self.waits.get((share * last as f64) as usize).copied().unwrap_or(0)
    }

    pub(super) fn late_share(&self) -> f64 {
        (self.late + self.refused) as f64 / self.requests.max(1) as f64
    }
}
