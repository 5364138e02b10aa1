//! Limits, intervals and counters of document adoption.

use crate::time::Millis;

/// Limits and intervals of document adoption.
#[derive(Clone, Debug)]
pub struct AdoptionLimits {
    /// How long a starting VM waits for the platform and its peers before it serves with the
    /// document it has.
    pub start_timeout: Millis,
    /// The number of peers that a starting VM queries for their revisions.
    pub start_peers: usize,
    /// The number of VMs per data centre that watch the platform.
    pub watchers: usize,
    /// The backoff after the first failed request to the platform. Each further failure doubles it.
    pub backoff_min: Millis,
    /// The longest backoff between requests to an unavailable platform. With 3 watchers, a recovery
    /// is detected within a few seconds at less than one read per second and data centre.
    pub backoff_max: Millis,
    /// The interval at which a VM that is not a watcher checks the platform, multiplied by the
    /// number of members. A data centre of up to 60 members therefore makes about one such read per
    /// second.
    pub check_interval_per_member: Millis,
    /// The shortest interval of these checks.
    pub min_check_interval: Millis,
    /// The longest interval of these checks.
    pub max_check_interval: Millis,
    /// How long a check waits for a response. The platform responds within milliseconds if it has a
    /// newer revision.
    pub check_wait: Millis,
    /// The time after which a request to the platform without a response has failed. A watch waits
    /// for up to 30 s.
    pub platform_timeout: Millis,
    /// The interval at which a watcher that cannot reach the platform requests another VM to watch.
    pub backup_watch_interval: Millis,
    /// How long a VM watches as a backup for another one.
    pub backup_watch_duration: Millis,
    /// How long to wait for a part of a document before fetching from another peer.
    pub fetch_timeout: Millis,
    /// The duration after which a transfer is slow, and the platform is read as well. If the first
    /// part shows that the transfer will take longer, the platform is read immediately.
    pub slow_fetch: Millis,
    /// The time over which these reads of the VMs of a data centre are spread.
    pub platform_read_spread: Millis,
    /// The interval at which revision and digest are compared with a random peer.
    pub compare_interval: Millis,
    /// The number of random peers that are notified of a new revision immediately.
    pub push_fanout: usize,
    /// The largest number of text bytes in one message.
    pub part_bytes: usize,
    /// The rate of text sent to peers, in bytes per second, as section 6 allows for bulk transfers.
    pub bulk_rate: u64,
    /// The largest burst of text sent to peers, in bytes.
    pub bulk_burst: u64,
    /// The largest number of peers that wait for a part.
    pub max_waiting: usize,
    /// The number of retained revisions that can be the base of a transfer. The index of a 1 MB
    /// document takes about 40 KB.
    pub max_history: usize,
}

impl AdoptionLimits {
    /// Returns whether a transfer of `parts` parts is slow at the paced rate.
    pub(super) fn is_slow(&self, parts: u32) -> bool {
        let bytes = u64::from(parts).saturating_mul(self.part_bytes as u64);
        bytes.saturating_mul(1_000) / self.bulk_rate.max(1) > self.slow_fetch.0
    }
}

impl Default for AdoptionLimits {
    fn default() -> Self {
        AdoptionLimits {
            start_timeout: Millis::from_secs(3),
            start_peers: 3,
            watchers: 3,
            backoff_min: Millis(500),
            backoff_max: Millis::from_secs(8),
            check_interval_per_member: Millis::from_secs(1),
            min_check_interval: Millis::from_secs(6),
            max_check_interval: Millis::from_secs(60),
            check_wait: Millis::from_secs(1),
            platform_timeout: Millis::from_secs(45),
            backup_watch_interval: Millis::from_secs(5),
            backup_watch_duration: Millis::from_secs(30),
            fetch_timeout: Millis::from_secs(2),
            slow_fetch: Millis(2_500),
            platform_read_spread: Millis::from_secs(1),
            compare_interval: Millis::from_secs(10),
            push_fanout: 2,
            part_bytes: 16 << 10,
            bulk_rate: 64 << 10,
            bulk_burst: 64 << 10,
            max_waiting: 256,
            max_history: 16,
        }
    }
}

/// Counters for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionCounters {
    /// Documents adopted.
    pub adopted: u64,
    /// Documents adopted from peers.
    pub from_peers: u64,
    /// Documents refused as invalid.
    pub invalid: u64,
    /// Requests to the platform.
    pub platform_reads: u64,
    /// Requests to the platform that failed.
    pub platform_failures: u64,
    /// Transfers from peers that were started.
    pub fetches: u64,
    /// Transfers whose text did not have the stated digest.
    pub mismatches: u64,
    /// Parts that did not come from the source of the current transfer.
    pub refused: u64,
    /// Bytes of text sent to peers.
    pub text_bytes_sent: u64,
    /// Lower revisions that were ignored.
    pub outdated: u64,
}
