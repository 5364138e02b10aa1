//! Requests to the platform: who watches, who checks, and how failures are backed off.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::limits::AdoptionLimits;
use crate::time::Millis;

/// An answer within this time counts as immediate. A watch that ends at once without news is not repeated
/// before this time has passed, so that a faulty platform is not flooded.
const IMMEDIATE: Millis = Millis(1_000);
/// The shortest time between two watches, when documents follow each other.
const SPACING: Millis = Millis(100);

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Open {
    Read,
    Watch,
    Check,
}

/// What has to be asked of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    Read,
    Watch,
    StopWatch,
}

/// The state of this VM towards the platform. At most one request is open at a time.
#[derive(Debug, Default)]
pub(super) struct Platform {
    open: Option<(Open, Millis)>,
    next_try: Millis,
    next_check: Option<Millis>,
    failures: u32,
    backup_until: Millis,
    next_backup: Millis,
    backups: usize,
}

impl Platform {
    pub(super) fn read(&mut self, now: Millis) -> Request {
        self.open = Some((Open::Read, now));
        Request::Read
    }

    /// Watches in place of a VM that cannot reach the platform.
    pub(super) fn backup_watcher(&mut self, now: Millis, span: Millis, limits: &AdoptionLimits) {
        let until = now + span.min(limits.backup_watch_span);
        self.backup_until = self.backup_until.max(until);
    }

    /// Makes the next check due at once.
    pub(super) fn check_soon(&mut self, now: Millis) {
        self.next_check = Some(now);
    }

    /// Returns the requests that are due. `watches` tells whether this VM is one of the watchers or has no
    /// document yet.
    pub(super) fn plan(
        &mut self,
        now: Millis,
        watches: bool,
        members: usize,
        rng: &mut ChaCha8Rng,
        limits: &AdoptionLimits,
    ) -> Vec<Request> {
        let watches = watches || now < self.backup_until;
        let mut requests = Vec::new();
        if let Some((open, since)) = self.open {
            let waited = now.since(since);
            let lost = waited >= limits.platform_timeout;
            let ended = match open {
                Open::Read => lost,
                Open::Watch => lost || !watches,
                Open::Check => !watches && waited >= limits.check_wait,
            };
            if open == Open::Check && watches {
                self.open = Some((Open::Watch, since));
            }
            if !ended {
                return requests;
            }
            self.open = None;
            if open != Open::Read {
                requests.push(Request::StopWatch);
            }
            if lost {
                self.failed(now, rng, limits);
            }
        }
        let next_check =
            *self.next_check.get_or_insert_with(|| now + check_period(members, rng, limits));
        if watches && now >= self.next_try {
            self.open = Some((Open::Watch, now));
            requests.push(Request::Watch);
        } else if !watches && now >= next_check && now >= self.next_try {
            self.next_check = Some(now + check_period(members, rng, limits));
            self.open = Some((Open::Check, now));
            requests.push(Request::Watch);
        }
        requests
    }

    /// Tells whether a request waits for its answer.
    pub(super) fn is_asked(&self) -> bool {
        self.open.is_some()
    }

    /// Notes that the platform answered.
    pub(super) fn answered(&mut self, now: Millis, news: bool) {
        self.failures = 0;
        let Some((_, since)) = self.open.take() else { return };
        let immediate = now.since(since) < IMMEDIATE;
        self.next_try = if immediate && !news { since + IMMEDIATE } else { now + SPACING };
    }

    /// Notes that the platform did not answer or is behind.
    pub(super) fn failed(&mut self, now: Millis, rng: &mut ChaCha8Rng, limits: &AdoptionLimits) {
        self.open = None;
        let doublings = self.failures.min(16);
        let most = limits.backoff_min.0.saturating_mul(1 << doublings).min(limits.backoff_max.0);
        self.next_try = now + Millis(rng.random_range(most / 2..=most.max(1)));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the place after the watchers in the ranking of the VM to ask for a watch, when one is due.
    /// Each request goes to the next VM, because the cause may affect several. A request that is still
    /// open after a while shows that the platform can be reached again.
    pub(super) fn next_backup(&mut self, now: Millis, limits: &AdoptionLimits) -> Option<usize> {
        let waits = self.open.is_some_and(|(_, since)| now.since(since) >= IMMEDIATE);
        if self.failures < 2 || waits || now < self.next_backup {
            return None;
        }
        self.next_backup = now + limits.backup_watch_period;
        self.backups += 1;
        Some(self.backups - 1)
    }
}

fn check_period(members: usize, rng: &mut ChaCha8Rng, limits: &AdoptionLimits) -> Millis {
    let period = limits.check_period.0.saturating_mul(members as u64);
    let period = period.max(limits.check_min.0).min(limits.check_max.0).max(2);
    Millis(rng.random_range(period / 2..=period + period / 2))
}
