//! Slots that this VM grants as the home of targets.

use std::collections::BTreeMap;

use super::concurrency_limit::ConcurrencyLimit;
use super::types::{AskStamp, Urgency};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// A slot request that is not renewed expires, so that a failed VM gets no slots. VMs renew every
/// 500 ms.
const SLOT_REQUEST_LIFETIME: Millis = Millis(1_000);
/// A new home waits this long for VMs to announce the slots that they already use.
const TAKEOVER_DELAY: Millis = Millis(50);
/// An announced use that is lower than the number of granted slots is accepted only if nothing was
/// granted for this long, because a later grant may have crossed the announcement.
const GRANT_SETTLE_TIME: Millis = Millis(1_000);

#[derive(Debug)]
struct Lease {
    slots: u32,
    expires: Millis,
    granted_at: Millis,
}

#[derive(Debug)]
struct SlotRequest {
    slots: u32,
    since: Millis,
    renewed_at: Millis,
}

#[derive(Debug)]
struct HomeTarget {
    limit: ConcurrencyLimit,
    leases: BTreeMap<VmId, Lease>,
    /// Slot requests by VM and class priority.
    pending: BTreeMap<(VmId, u8), SlotRequest>,
    grant_after: Millis,
}

impl HomeTarget {
    fn in_use(&self) -> u32 {
        self.leases.values().map(|lease| lease.slots).sum()
    }

    /// Returns the most urgent slot request: by class priority, then by age.
    fn most_urgent(&self, except: Option<&VmId>) -> Option<(&VmId, u8, Millis)> {
        let pending = self.pending.iter().filter(|((vm, _), _)| Some(vm) != except);
        let pending = pending.map(|((vm, priority), request)| (vm, *priority, request.since));
        pending.min_by_key(|(vm, priority, since)| (*priority, *since, (*vm).clone()))
    }

    fn rival(&self, now: Millis, vm: &VmId) -> Option<Urgency> {
        let (_, priority, since) = self.most_urgent(Some(vm))?;
        let age = now.since(since).get();
        Some(Urgency { priority, age_ms: u32::try_from(age).unwrap_or(u32::MAX) })
    }
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) vm: VmId,
    pub(super) priority: u8,
    pub(super) rival: Option<Urgency>,
}

/// The targets whose home is this VM, with their leases and pending slot requests.
#[derive(Debug)]
pub(super) struct LeaseTable {
    targets: BTreeMap<Name, HomeTarget>,
    stamps: BTreeMap<VmId, AskStamp>,
    lease: Millis,
}

impl LeaseTable {
    pub(super) fn new(lease: Millis) -> LeaseTable {
        LeaseTable { targets: BTreeMap::new(), stamps: BTreeMap::new(), lease }
    }

    /// Makes this VM the home of a target. If the target was `taken_over`, granting starts only
    /// after other VMs had time to announce their use.
    pub(super) fn become_home(&mut self, now: Millis, target: &Name, slots: u32, taken_over: bool) {
        self.targets.entry(target.clone()).or_insert_with(|| HomeTarget {
            limit: ConcurrencyLimit::new(slots),
            leases: BTreeMap::new(),
            pending: BTreeMap::new(),
            grant_after: if taken_over { now + TAKEOVER_DELAY } else { now },
        });
    }

    /// Removes targets whose home is no longer this VM.
    pub(super) fn retain_targets(&mut self, mut is_home_of: impl FnMut(&Name) -> bool) {
        self.targets.retain(|target, _| is_home_of(target));
    }

    pub(super) fn is_home(&self, target: &Name) -> bool {
        self.targets.contains_key(target)
    }

    pub(super) fn record_stamp(&mut self, vm: &VmId, stamp: AskStamp) {
        self.stamps.insert(vm.clone(), stamp);
    }

    pub(super) fn stamp(&self, vm: &VmId) -> AskStamp {
        self.stamps.get(vm).copied().unwrap_or_default()
    }

    /// Removes the slot requests of VMs that are no longer members. Their leases stay until they
    /// expire, because their requests may still occupy the target.
    pub(super) fn retain_vms(&mut self, mut known: impl FnMut(&VmId) -> bool) {
        self.stamps.retain(|vm, _| known(vm));
        for target in self.targets.values_mut() {
            target.pending.retain(|(vm, _), _| known(vm));
        }
    }

    /// Records a slot request of a VM, or withdraws it if `slots` is zero.
    pub(super) fn request_slots(
        &mut self,
        now: Millis,
        vm: &VmId,
        target: &Name,
        slots: u32,
        urgency: Urgency,
    ) {
        let Some(home) = self.targets.get_mut(target) else { return };
        let key = (vm.clone(), urgency.priority);
        if slots == 0 {
            home.pending.remove(&key);
            return;
        }
        let since = now.since(Millis(u64::from(urgency.age_ms)));
        home.pending.insert(key, SlotRequest { slots, since, renewed_at: now });
    }

    /// Removes the slot requests of a VM for priorities that are not `needed`.
    pub(super) fn retain_requests(
        &mut self,
        vm: &VmId,
        target: &Name,
        needed: impl Fn(u8) -> bool,
    ) {
        if let Some(home) = self.targets.get_mut(target) {
            home.pending.retain(|(other, priority), _| other != vm || needed(*priority));
        }
    }

    /// Records that a VM released one slot.
    pub(super) fn release(&mut self, vm: &VmId, target: &Name) {
        let Some(home) = self.targets.get_mut(target) else { return };
        let Some(lease) = home.leases.get_mut(vm) else { return };
        lease.slots = lease.slots.saturating_sub(1);
        if lease.slots == 0 {
            home.leases.remove(vm);
        }
    }

    /// Records that a target refused a request in a granted slot.
    pub(super) fn record_refusal(&mut self, now: Millis, vm: &VmId, target: &Name) {
        let Some(home) = self.targets.get_mut(target) else { return };
        home.limit.on_refusal(now, home.in_use());
        self.release(vm, target);
    }

    /// Records how many slots a VM uses, whether granted by this home or by an earlier one.
    pub(super) fn record_use(&mut self, now: Millis, vm: &VmId, target: &Name, slots: u32) {
        let lease_duration = self.lease;
        let Some(home) = self.targets.get_mut(target) else { return };
        let lease = home.leases.entry(vm.clone()).or_insert(Lease {
            slots: 0,
            expires: now,
            granted_at: Millis::ZERO,
        });
        let settled = now.since(lease.granted_at) >= GRANT_SETTLE_TIME;
        lease.slots = if settled { slots } else { lease.slots.max(slots) };
        lease.expires = now + lease_duration;
        if lease.slots == 0 {
            home.leases.remove(vm);
        }
    }

    /// Grants free slots of a target to the most urgent VMs, up to `slots` in use at a time.
    pub(super) fn grant(&mut self, now: Millis, target: &Name, slots: u32) -> Vec<Grant> {
        let lease_duration = self.lease;
        let Some(home) = self.targets.get_mut(target) else { return Vec::new() };
        home.pending.retain(|_, request| now.since(request.renewed_at) <= SLOT_REQUEST_LIFETIME);
        let mut grants = Vec::new();
        if now < home.grant_after {
            return grants;
        }
        let allowed = home.limit.allowed(now, slots);
        while home.in_use() < allowed {
            let Some((vm, priority, _)) = home.most_urgent(None) else { break };
            let vm = vm.clone();
            if let Some(request) = home.pending.get_mut(&(vm.clone(), priority)) {
                request.slots = request.slots.saturating_sub(1);
            }
            home.pending.retain(|_, request| request.slots > 0);
            let lease = home.leases.entry(vm.clone()).or_insert(Lease {
                slots: 0,
                expires: now,
                granted_at: now,
            });
            lease.slots += 1;
            lease.expires = now + lease_duration;
            lease.granted_at = now;
            let rival = home.rival(now, &vm);
            grants.push(Grant { vm, priority, rival });
        }
        let in_use = home.in_use();
        let granted = !grants.is_empty();
        crate::invariant!(
            !granted || in_use <= slots,
            "{in_use} slots of {target} granted, but it has only {slots}"
        );
        grants
    }

    /// Returns whether a VM waits for a slot of a target.
    pub(super) fn is_waiting(&self, vm: &VmId, target: &Name, priority: u8) -> bool {
        let key = (vm.clone(), priority);
        self.targets.get(target).is_some_and(|home| home.pending.contains_key(&key))
    }

    /// Returns whether the slots in use of a target are within its current concurrency limit.
    pub(super) fn is_within_limit(&mut self, now: Millis, target: &Name, slots: u32) -> bool {
        let Some(home) = self.targets.get_mut(target) else { return false };
        home.in_use() <= home.limit.allowed(now, slots)
    }

    /// Returns the urgency of the most urgent slot request of a VM other than `vm`.
    pub(super) fn rival(&self, now: Millis, vm: &VmId, target: &Name) -> Option<Urgency> {
        self.targets.get(target)?.rival(now, vm)
    }

    /// Removes expired leases, and returns the targets with pending slot requests.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Name> {
        for home in self.targets.values_mut() {
            home.leases.retain(|_, lease| now < lease.expires);
        }
        let contended = self.targets.iter().filter(|(_, home)| !home.pending.is_empty());
        contended.map(|(target, _)| target.clone()).collect()
    }

    /// Extends all leases after a pause of this VM, during which it could not receive renewals.
    pub(super) fn resume(&mut self, now: Millis) {
        let expires = now + self.lease;
        for home in self.targets.values_mut() {
            for lease in home.leases.values_mut() {
                lease.expires = lease.expires.max(expires);
            }
        }
    }

    /// Returns how many slots of a target all VMs use.
    pub(super) fn in_use(&self, target: &Name) -> Option<u32> {
        self.targets.get(target).map(HomeTarget::in_use)
    }
}
