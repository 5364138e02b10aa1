//! Limits of tenants on rate and concurrency.

use std::collections::BTreeMap;

use crate::names::Name;
use crate::time::Millis;
use crate::version::Tenant;

/// Tokens are counted in thousandths, so that a rate a second is exact at millisecond steps.
const TOKEN: u64 = 1_000;

#[derive(Debug)]
struct Usage {
    tokens: u64,
    refilled_at: Millis,
    in_progress: u32,
}

/// The use of every tenant of the document. Tenants outside the document share one entry, so that
/// names chosen by clients cannot grow this table.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    usage: BTreeMap<Name, Usage>,
}

impl Tenants {
    /// Counts a new request, or returns `false` when the tenant is at a limit.
    pub(super) fn admit(&mut self, now: Millis, tenant: &Tenant) -> bool {
        let full = u64::from(tenant.burst) * TOKEN;
        let usage = self.usage.entry(tenant.name.clone()).or_insert(Usage {
            tokens: full,
            refilled_at: now,
            in_progress: 0,
        });
        let refill = now.since(usage.refilled_at).get().saturating_mul(u64::from(tenant.rate));
        usage.tokens = usage.tokens.saturating_add(refill).min(full);
        usage.refilled_at = usage.refilled_at.max(now);
        if usage.in_progress >= tenant.concurrency || usage.tokens < TOKEN {
            return false;
        }
        usage.tokens -= TOKEN;
        usage.in_progress += 1;
        true
    }

    /// Counts the end of an admitted request.
    pub(super) fn release(&mut self, tenant: &Name) {
        let Some(usage) = self.usage.get_mut(tenant) else { return };
        crate::invariant!(usage.in_progress > 0, "tenant {tenant} released more than admitted");
        usage.in_progress = usage.in_progress.saturating_sub(1);
    }

    /// Forgets tenants that left the document and have no request in progress.
    pub(super) fn keep(&mut self, known: &BTreeMap<Name, Tenant>) {
        self.usage.retain(|name, usage| usage.in_progress > 0 || known.contains_key(name));
    }

    /// Returns how many requests are in progress.
    pub(super) fn in_progress(&self) -> u64 {
        self.usage.values().map(|usage| u64::from(usage.in_progress)).sum()
    }
}
