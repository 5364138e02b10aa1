//! Rate and concurrency limits of tenants.

use std::collections::BTreeMap;

use crate::names::Name;
use crate::time::Millis;
use crate::version::Tenant;

/// Tokens are counted in thousandths, so that a rate per second is exact with steps of a
/// millisecond.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

#[derive(Debug)]
struct Usage {
    tokens: u64,
    refilled_at: Millis,
    in_progress: u32,
}

/// The usage of each tenant in the document. Tenants that are not in the document share one entry,
/// so that names chosen by clients cannot grow this table.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    usage: BTreeMap<Name, Usage>,
}

impl Tenants {
    /// Counts a new request, or returns `false` if the tenant is at a limit.
    pub(super) fn admit(&mut self, now: Millis, tenant: &Tenant) -> bool {
        let capacity = u64::from(tenant.burst) * MILLITOKENS_PER_TOKEN;
        let usage = self.usage.entry(tenant.name.clone()).or_insert(Usage {
            tokens: capacity,
            refilled_at: now,
            in_progress: 0,
        });
        let refill = now.since(usage.refilled_at).get().saturating_mul(u64::from(tenant.rate));
        usage.tokens = usage.tokens.saturating_add(refill).min(capacity);
        usage.refilled_at = usage.refilled_at.max(now);
        if usage.in_progress >= tenant.concurrency || usage.tokens < MILLITOKENS_PER_TOKEN {
            return false;
        }
        usage.tokens -= MILLITOKENS_PER_TOKEN;
        usage.in_progress += 1;
        true
    }

    /// Records the end of an admitted request.
    pub(super) fn release(&mut self, tenant: &Name) {
        let Some(usage) = self.usage.get_mut(tenant) else { return };
        crate::invariant!(
            usage.in_progress > 0,
            "tenant {tenant} released more requests than it was admitted"
        );
        usage.in_progress = usage.in_progress.saturating_sub(1);
    }

    /// Removes tenants that are no longer in the document and have no request in progress.
    pub(super) fn retain_tenants(&mut self, known: &BTreeMap<Name, Tenant>) {
        self.usage.retain(|name, usage| usage.in_progress > 0 || known.contains_key(name));
    }

    /// Returns how many requests of all tenants are in progress.
    pub(super) fn in_progress(&self) -> u64 {
        self.usage.values().map(|usage| u64::from(usage.in_progress)).sum()
    }
}
