//! The limit on second copies, and the token bucket that enforces it.

/// Credit is counted in ten-thousandths of a copy, since the share has a resolution of 0.01 %.
const CREDIT_PER_COPY: u64 = 10_000;
const MAX_SHARE_PERCENT: f64 = 20.0;
const MAX_BURST: u32 = 1_000;
const DEFAULT_BURST: u32 = 10;

/// How many second copies operators accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondCopyLimit {
    /// Second copies for each 10,000 first ones.
    share: u32,
    burst: u32,
}

impl Default for SecondCopyLimit {
    fn default() -> Self {
        SecondCopyLimit { share: 0, burst: DEFAULT_BURST }
    }
}

impl SecondCopyLimit {
    /// The burst if none is set.
    pub const DEFAULT_BURST: u32 = DEFAULT_BURST;

    /// Creates a limit of `percent` second copies for each 100 first ones and of `burst` at once. Returns `None`
    /// if a value is out of bounds, or if `percent` is positive and below the resolution of 0.01.
    pub fn new(percent: f64, burst: u32) -> Option<SecondCopyLimit> {
        if !(0.0..=MAX_SHARE_PERCENT).contains(&percent) || !(1..=MAX_BURST).contains(&burst) {
            return None;
        }
        let share = (percent * 100.0).round() as u32;
        (share > 0 || percent == 0.0).then_some(SecondCopyLimit { share, burst })
    }

    /// Parses the percentage of a limit.
    pub fn parse_share(text: &str) -> Option<f64> {
        let valid = |percent: &f64| SecondCopyLimit::new(*percent, DEFAULT_BURST).is_some();
        text.parse().ok().filter(valid)
    }

    /// Parses the burst of a limit.
    pub fn parse_burst(text: &str) -> Option<u32> {
        text.parse().ok().filter(|burst| (1..=MAX_BURST).contains(burst))
    }

    /// Returns whether any second copy may be sent.
    pub fn is_enabled(&self) -> bool {
        self.share > 0
    }
}

/// A token bucket. In any interval, the number of second copies is at most the share of the first copies in
/// the interval plus the burst.
///
/// It starts empty: after a restart of all VMs, when every caller returns at once, full buckets would add a
/// burst for each VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCopyBudget {
    limit: SecondCopyLimit,
    credit: u64,
}

impl SecondCopyBudget {
    /// Creates an empty bucket.
    pub fn new(limit: SecondCopyLimit) -> SecondCopyBudget {
        SecondCopyBudget { limit, credit: 0 }
    }

    /// Replaces the limit. Credit beyond the new burst is lost.
    pub fn set_limit(&mut self, limit: SecondCopyLimit) {
        self.limit = limit;
        self.credit = if limit.is_enabled() { self.credit.min(self.max_credit()) } else { 0 };
    }

    /// Returns whether any second copy may be sent.
    pub fn is_enabled(&self) -> bool {
        self.limit.is_enabled()
    }

    /// Adds the credit for one first copy.
    pub fn record_first(&mut self) {
        self.credit = (self.credit + u64::from(self.limit.share)).min(self.max_credit());
    }

    /// Returns whether a second copy may be sent now.
    pub fn allows(&self) -> bool {
        self.credit >= CREDIT_PER_COPY
    }

    /// Spends the credit for one second copy, or returns `false` if it does not suffice.
    pub fn spend(&mut self) -> bool {
        let allowed = self.allows();
        if allowed {
            self.credit -= CREDIT_PER_COPY;
        }
        allowed
    }

    /// Returns the quantile of the latencies after which a second copy is sent: half of the share's second copies
    /// follow from it, and the other half is left for times with more slow responses.
    pub fn quantile(&self) -> f64 {
        1.0 - f64::from(self.limit.share) / CREDIT_PER_COPY as f64 / 2.0
    }

    /// Returns how many second copies may be sent at once now.
    pub fn available(&self) -> u64 {
        self.credit / CREDIT_PER_COPY
    }

    fn max_credit(&self) -> u64 {
        u64::from(self.limit.burst) * CREDIT_PER_COPY
    }
}
