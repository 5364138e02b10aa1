//! Bounds, periods and counters of adoption.

use crate::time::Millis;

/// Bounds and periods of adoption.
#[derive(Clone, Debug)]
pub struct AdoptionLimits {
    /// How long a starting VM waits for the platform and its peers before it serves with what it has.
    pub start_within: Millis,
    /// How many peers a starting VM asks.
    pub start_peers: usize,
    /// How many VMs of a data centre watch the platform.
    pub watchers: usize,
    /// The wait after the first failed request to the platform; each further failure doubles it.
    pub backoff_min: Millis,
    /// The longest wait between requests to an unavailable platform. With 3 watchers a recovery is noticed
    /// within a few seconds, for less than one read a second from a data centre.
    pub backoff_max: Millis,
    /// The period in which a VM that does not watch checks the platform, for each member. A data centre of
    /// any size makes about one such read a second, up to 60 members.
    pub check_period: Millis,
    /// The shortest period of these checks.
    pub check_min: Millis,
    /// The longest period of these checks.
    pub check_max: Millis,
    /// How long a check waits for the platform, which answers in milliseconds when it has news.
    pub check_wait: Millis,
    /// After this time a request to the platform without an answer has failed. A watch waits up to 30 s.
    pub platform_timeout: Millis,
    /// The period in which a watcher that cannot reach the platform asks another VM to watch.
    pub backup_watch_period: Millis,
    /// How long a VM watches in place of a watcher.
    pub backup_watch_span: Millis,
    /// The wait for a part of a document before another peer is asked.
    pub fetch_timeout: Millis,
    /// A transfer that takes longer than this is backed up by a read of the platform, and one that is
    /// known to take longer from its first part at once.
    pub slow_fetch: Millis,
    /// The time over which the VMs of a data centre spread these reads.
    pub platform_read_spread: Millis,
    /// The period in which revision and digest are compared with a random peer.
    pub have_period: Millis,
    /// How many random peers are told of a new revision at once.
    pub push: usize,
    /// The most bytes of text in one message.
    pub part_bytes: usize,
    /// The bytes a second of text sent to peers, as section 6 allows for bulk transfers.
    pub bulk_rate: u64,
    /// The bytes of text that may be sent at once.
    pub bulk_burst: u64,
    /// The most peers waiting for a part.
    pub max_waiting: usize,
    /// How many revisions can be the base of a transfer. The index of a 1 MB document takes about 40 KB.
    pub history: usize,
}

impl AdoptionLimits {
    /// Tells whether a transfer of so many parts takes long at the paced rate.
    pub(super) fn is_slow(&self, parts: u32) -> bool {
        let bytes = u64::from(parts).saturating_mul(self.part_bytes as u64);
        bytes.saturating_mul(1_000) / self.bulk_rate.max(1) > self.slow_fetch.0
    }
}

impl Default for AdoptionLimits {
    fn default() -> Self {
        AdoptionLimits {
            start_within: Millis::from_secs(3),
            start_peers: 3,
            watchers: 3,
            backoff_min: Millis(500),
            backoff_max: Millis::from_secs(8),
            check_period: Millis::from_secs(1),
            check_min: Millis::from_secs(6),
            check_max: Millis::from_secs(60),
            check_wait: Millis::from_secs(1),
            platform_timeout: Millis::from_secs(45),
            backup_watch_period: Millis::from_secs(5),
            backup_watch_span: Millis::from_secs(30),
            fetch_timeout: Millis::from_secs(2),
            slow_fetch: Millis(2_500),
            platform_read_spread: Millis::from_secs(1),
            have_period: Millis::from_secs(10),
            push: 2,
            part_bytes: 16 << 10,
            bulk_rate: 64 << 10,
            bulk_burst: 64 << 10,
            max_waiting: 256,
            history: 16,
        }
    }
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionCounters {
    /// Documents put into force.
    pub adopted: u64,
    /// Documents taken from peers among them.
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
    /// Messages that hold an impossible value.
    pub refused: u64,
    /// Bytes of text sent to peers.
    pub text_bytes_sent: u64,
    /// Lower revisions that were ignored.
    pub outdated: u64,
}
