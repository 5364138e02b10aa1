//! A histogram of the recent latencies of one route, from which the delay before a second copy is derived.

use crate::time::Millis;

/// Upper bounds of the buckets grow by a factor of 2^(1/4), 19 %, up to 63 s.
const BUCKETS: usize = 64;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// All counts are halved when the total reaches this, so that the histogram follows changes. Half as many
/// samples still resolve the 99.5th percentile.
const MAX_SAMPLES: u32 = 1_000;
/// A quantile of fewer samples is mostly chance.
const MIN_SAMPLES: u32 = 50;

/// The recent latencies of one route.
#[derive(Clone, Debug)]
pub struct RecentLatencies {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for RecentLatencies {
    fn default() -> Self {
        RecentLatencies { counts: [0; BUCKETS], total: 0 }
    }
}

impl RecentLatencies {
    /// Adds a sample.
    pub fn add(&mut self, latency: Millis) {
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
        let bucket = (latency.get().max(1) as f64).log2() * BUCKETS_PER_OCTAVE;
        self.counts[(bucket.ceil() as usize).min(BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns the latency that a share of `quantile` of the samples does not exceed, rounded up to the bound
    /// of its bucket, or `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Millis> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (quantile * f64::from(self.total)).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            seen >= rank
        });
        bucket.map(|bucket| Millis((bucket as f64 / BUCKETS_PER_OCTAVE).exp2().ceil() as u64))
    }
}
