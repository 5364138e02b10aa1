//! The parameters and results of a run of the overload simulation.

/// The mean processing time of a feed's request and of a claim on a target of average speed.
pub(super) const FEED_WORK_MS: f64 = 55.0;
pub(super) const CLAIM_WORK_MS: f64 = 72.0;

/// How new flows are admitted and their targets selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router of jasminecart.
    Router,
    /// The router of jasminecart without refusals under overload.
    RouterWithoutRefusals,
    /// The router of jasminecart with a limit by priority alone: no guaranteed minimum, and services
    /// do not pass on flows.
    PriorityOnly,
    /// As many requests in progress through each VM as its share of the slots; the target with the
    /// fewest outstanding requests of this VM.
    FixedConcurrency,
    /// The target with the fewest outstanding requests of this VM; nothing is refused.
    LeastOutstanding,
    /// A random target; nothing is refused.
    Random,
}

impl Policy {
    pub(super) fn name(self) -> &'static str {
        match self {
            Policy::Router => "jasminecart",
            Policy::RouterWithoutRefusals => "without refusals",
            Policy::PriorityOnly => "priority only",
            Policy::FixedConcurrency => "fixed concurrency",
            Policy::LeastOutstanding => "least outstanding",
            Policy::Random => "random",
        }
    }

    /// Returns whether the VMs use the router of jasminecart.
    pub(super) fn is_router(self) -> bool {
        matches!(self, Policy::Router | Policy::RouterWithoutRefusals | Policy::PriorityOnly)
    }
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The seed of arrivals, processing times and selections.
    pub seed: u64,
    /// The policy of all VMs.
    pub policy: Policy,
    /// The offered load as a share of the capacity of all targets, between `from` and `until`.
    pub load: f64,
    /// The offered load before and after that.
    pub calm_load: f64,
    /// The start of the load in milliseconds. Requests before it are not counted.
    pub from: u64,
    /// The end of the load in milliseconds.
    pub until: u64,
    /// How often a client retries a refused request.
    pub retries: u8,
    /// The share of the targets that are gone between `from` and `until`.
    pub lost: f64,
    /// The class whose arrivals are multiplied in the middle of the load.
    pub burst: Option<Class>,
}

/// How many times as often requests of a class arrive in a burst, and its length in ms: the largest and
/// longest of clavesur-grown in `docs/hard-load.md`.
pub(super) const BURST_FACTOR: f64 = 2.5;
pub(super) const BURST_MS: u64 = 6_000;

impl Scenario {
    /// Creates a scenario of 10 s of load between two calm phases.
    pub fn new(seed: u64, policy: Policy, load: f64) -> Scenario {
        let (from, until) = (10_000, 20_000);
        Scenario {
            seed,
            policy,
            load,
            calm_load: 0.5,
            from,
            until,
            retries: 2,
            lost: 0.0,
            burst: None,
        }
    }

    /// Sets the share of the targets that are gone during the load.
    pub fn with_lost(mut self, share: f64) -> Scenario {
        self.lost = share;
        self
    }

    /// Sets the class whose arrivals are multiplied for a part of the load.
    pub fn with_burst(mut self, class: Class) -> Scenario {
        self.burst = Some(class);
        self
    }

    /// Sets how often a client retries a refused request.
    pub fn with_retries(mut self, retries: u8) -> Scenario {
        self.retries = retries;
        self
    }
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Requests on flows that stay open.
    Feed,
    /// Requests with a flow each, of a higher priority.
    Claim,
}

/// The outcomes of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassFigures {
    /// Requests that clients sent.
    pub offered: u64,
    /// Those that were served within their objective.
    pub in_time: u64,
    /// Those that were served later.
    pub late: u64,
    /// Those that were refused in every attempt.
    pub refused: u64,
    /// Those whose deadline passed.
    pub failed: u64,
    /// The times from the first attempt to the response of served requests, sorted, in ms.
    pub latencies: Vec<u64>,
}

impl ClassFigures {
    /// Returns a quantile of the latencies of served requests, in ms.
    pub fn quantile(&self, share: f64) -> u64 {
        let last = self.latencies.len().saturating_sub(1);
        self.latencies.get((share * last as f64) as usize).copied().unwrap_or(0)
    }

    /// Returns a count as a share of the offered requests.
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.offered.max(1) as f64
    }
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests of feeds.
    pub feed: ClassFigures,
    /// Claims.
    pub claim: ClassFigures,
    /// The time after the end of the load at which the last request was refused, in ms.
    pub last_refusal_after: u64,
}

impl Figures {
    pub(super) fn class(&mut self, class: Class) -> &mut ClassFigures {
        match class {
            Class::Feed => &mut self.feed,
            Class::Claim => &mut self.claim,
        }
    }

    /// Returns the work of the requests that were served, late or not, in ms of processing time.
    /// Requests of one class need more work than those of the other, so that the number of served
    /// requests depends on which are admitted, while the work that targets can do does not.
    pub fn served_work(&self) -> f64 {
        self.work(|class| class.in_time + class.late)
    }

    /// Returns the work of the requests that were served within their objective.
    pub fn in_time_work(&self) -> f64 {
        self.work(|class| class.in_time)
    }

    fn work(&self, count: impl Fn(&ClassFigures) -> u64) -> f64 {
        count(&self.feed) as f64 * FEED_WORK_MS + count(&self.claim) as f64 * CLAIM_WORK_MS
    }

    /// Returns what each class got of its max-min fair share of the served requests, by arrivals.
    pub fn shares_of_fair(&self) -> [f64; 2] {
        let served = |class: &ClassFigures| (class.in_time + class.late) as f64;
        let classes = [&self.feed, &self.claim];
        let total: f64 = classes.iter().map(|class| served(class)).sum();
        let smaller = self.feed.offered.min(self.claim.offered) as f64;
        // The smaller class gets up to half, and the other the rest.
        let level = if smaller < total / 2.0 { total - smaller } else { total / 2.0 };
        classes.map(|class| served(class) / (class.offered as f64).min(level).max(1.0))
    }

    /// Returns the requests of both classes.
    pub fn offered(&self) -> u64 {
        self.feed.offered + self.claim.offered
    }
}
