//! Requests to the platform: watches, periodic checks, and the backoff after failures.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::limits::AdoptionLimits;
use crate::time::Millis;

/// A response within this time counts as immediate. A watch that ends immediately without a newer
/// revision is not repeated before this time has passed, to avoid flooding a faulty platform.
const IMMEDIATE_RESPONSE: Millis = Millis(1_000);
/// The delay between two watches when new documents follow each other.
const WATCH_SPACING: Millis = Millis(100);

/// The kind of a request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingRequest {
    Read,
    Watch,
    Check,
}

/// A request to send to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformRequest {
    Read,
    Watch,
    StopWatch,
}

/// The state of this VM's requests to the platform. At most one request is pending at a time.
#[derive(Debug, Default)]
pub(super) struct PlatformRequests {
    pending: Option<(PendingRequest, Millis)>,
    next_attempt_at: Millis,
    next_check_at: Option<Millis>,
    failures: u32,
    backup_until: Millis,
    next_backup_at: Millis,
    backup_turns: usize,
}

impl PlatformRequests {
    pub(super) fn read(&mut self, now: Millis) -> PlatformRequest {
        self.pending = Some((PendingRequest::Read, now));
        PlatformRequest::Read
    }

    /// Starts watching as a backup for a VM that cannot reach the platform.
    pub(super) fn watch_as_backup(
        &mut self,
        now: Millis,
        duration: Millis,
        limits: &AdoptionLimits,
    ) {
        let until = now + duration.min(limits.backup_watch_duration);
        self.backup_until = self.backup_until.max(until);
    }

    /// Makes the next check due immediately.
    pub(super) fn check_now(&mut self, now: Millis) {
        self.next_check_at = Some(now);
    }

    /// Returns the requests that are due. `watches` is set if this VM is one of the watchers or has
    /// no document yet.
    pub(super) fn due_requests(
        &mut self,
        now: Millis,
        watches: bool,
        members: usize,
        rng: &mut ChaCha8Rng,
        limits: &AdoptionLimits,
    ) -> Vec<PlatformRequest> {
        let watches = watches || now < self.backup_until;
        let mut requests = Vec::new();
        if let Some((pending, since)) = self.pending {
            let waited = now.since(since);
            let timed_out = waited >= limits.platform_timeout;
            let ended = match pending {
                PendingRequest::Read => timed_out,
                PendingRequest::Watch => timed_out || !watches,
                PendingRequest::Check => !watches && waited >= limits.check_wait,
            };
            if pending == PendingRequest::Check && watches {
                self.pending = Some((PendingRequest::Watch, since));
            }
            if !ended {
                return requests;
            }
            self.pending = None;
            if pending != PendingRequest::Read {
                requests.push(PlatformRequest::StopWatch);
            }
            if timed_out {
                self.on_failure(now, rng, limits);
            }
        }
        let next_check_at =
            *self.next_check_at.get_or_insert_with(|| now + check_interval(members, rng, limits));
        if watches && now >= self.next_attempt_at {
            self.pending = Some((PendingRequest::Watch, now));
            requests.push(PlatformRequest::Watch);
        } else if !watches && now >= next_check_at && now >= self.next_attempt_at {
            self.next_check_at = Some(now + check_interval(members, rng, limits));
            self.pending = Some((PendingRequest::Check, now));
            requests.push(PlatformRequest::Watch);
        }
        requests
    }

    /// Returns whether a request waits for its response.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Records a response of the platform. `has_update` states whether it contained a newer
    /// revision.
    pub(super) fn on_response(&mut self, now: Millis, has_update: bool) {
        self.failures = 0;
        let Some((_, since)) = self.pending.take() else { return };
        let immediate = now.since(since) < IMMEDIATE_RESPONSE;
        self.next_attempt_at =
            if immediate && !has_update { since + IMMEDIATE_RESPONSE } else { now + WATCH_SPACING };
    }

    /// Records that the platform did not respond or returned an outdated revision, and backs off.
    pub(super) fn on_failure(
        &mut self,
        now: Millis,
        rng: &mut ChaCha8Rng,
        limits: &AdoptionLimits,
    ) {
        self.pending = None;
        let doublings = self.failures.min(16);
        let max_backoff =
            limits.backoff_min.0.saturating_mul(1 << doublings).min(limits.backoff_max.0);
        self.next_attempt_at = now + Millis(rng.random_range(max_backoff / 2..=max_backoff.max(1)));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the turn of the next backup if one has to be requested now. Each turn selects the
    /// next VM after the watchers in the ranking, because the cause of the failure may affect
    /// several VMs. A request that is still pending after [`IMMEDIATE_RESPONSE`] shows that the
    /// platform is reachable again.
    pub(super) fn take_backup_turn(
        &mut self,
        now: Millis,
        limits: &AdoptionLimits,
    ) -> Option<usize> {
        let is_waiting =
            self.pending.is_some_and(|(_, since)| now.since(since) >= IMMEDIATE_RESPONSE);
        if self.failures < 2 || is_waiting || now < self.next_backup_at {
            return None;
        }
        self.next_backup_at = now + limits.backup_watch_interval;
        self.backup_turns += 1;
        Some(self.backup_turns - 1)
    }
}

fn check_interval(members: usize, rng: &mut ChaCha8Rng, limits: &AdoptionLimits) -> Millis {
    let period = limits.check_interval_per_member.0.saturating_mul(members as u64);
    let period = period.max(limits.min_check_interval.0).min(limits.max_check_interval.0).max(2);
    Millis(rng.random_range(period / 2..=period + period / 2))
}
