//! The parameters and results of a run of the simulation.

/// How the target of a flow is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// The router of jasminecart, with a separate one for each VM.
    Router,
    /// One router that sees the flows of all VMs, as an upper bound of what sharing observations
    /// could gain.
    SharedRouter,
    /// A random target.
    Random,
    /// The target with the fewest outstanding requests of this VM.
    LeastOutstanding,
    /// The target with the fewest open flows of this VM. Between equals, one in the VM's data
    /// centre.
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

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) policy: Policy,
    /// The offered load as a share of the capacity.
    pub(super) load: f64,
    /// Whether targets are replaced, one after the other, by targets that are warming up.
    pub(super) replaced: bool,
    /// Requests that arrive before are not counted.
    pub(super) from: u64,
    pub(super) until: u64,
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// The times between arrival at a target and the start of processing, sorted, in ms.
    pub(super) queueing_times: Vec<u64>,
    pub(super) requests: u64,
    /// Requests whose response arrived after their objective.
    pub(super) late: u64,
    /// Requests that were refused in every attempt.
    pub(super) refused: u64,
    /// The processing time of the busiest target divided by the mean of all targets.
    pub(super) busiest_to_mean: f64,
    /// Requests to targets of another data centre than the VM's.
    pub(super) remote: u64,
}

impl Figures {
    pub(super) fn quantile(&self, share: f64) -> u64 {
        let last = self.queueing_times.len().saturating_sub(1);
        self.queueing_times.get((share * last as f64) as usize).copied().unwrap_or(0)
    }

    pub(super) fn late_share(&self) -> f64 {
        (self.late + self.refused) as f64 / self.requests.max(1) as f64
    }
}
