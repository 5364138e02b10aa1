//! Slots that this VM grants as the home of targets.

use std::collections::BTreeMap;

use super::ceiling::Ceiling;
use super::types::{AskStamp, Urgency};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// A wish that is not renewed lapses, so that a dead VM gets no slots. VMs renew every 500 ms.
const WISH_LIFETIME: Millis = Millis(1_000);
/// A new home first listens this long to the VMs that already use slots of the target.
const LISTEN: Millis = Millis(50);
/// A stated use below the granted slots is believed when no grant was sent for this long, because a
/// later grant may have crossed the statement.
const GRANT_SETTLED: Millis = Millis(1_000);

#[derive(Debug)]
struct Lease {
    slots: u32,
    expires: Millis,
    granted_at: Millis,
}

#[derive(Debug)]
struct Wish {
    slots: u32,
    since: Millis,
    renewed_at: Millis,
}

#[derive(Debug)]
struct HomeTarget {
    ceiling: Ceiling,
    leases: BTreeMap<VmId, Lease>,
    /// By VM and class priority.
    wishes: BTreeMap<(VmId, u8), Wish>,
    grants_from: Millis,
}

impl HomeTarget {
    fn in_use(&self) -> u32 {
        self.leases.values().map(|lease| lease.slots).sum()
    }

    /// Returns the most urgent wish: by class priority, then by age.
    fn first_wish(&self, except: Option<&VmId>) -> Option<(&VmId, u8, Millis)> {
        let wishes = self.wishes.iter().filter(|((vm, _), _)| Some(vm) != except);
        let wishes = wishes.map(|((vm, priority), wish)| (vm, *priority, wish.since));
        wishes.min_by_key(|(vm, priority, since)| (*priority, *since, (*vm).clone()))
    }

    fn rival(&self, now: Millis, vm: &VmId) -> Option<Urgency> {
        let (_, priority, since) = self.first_wish(Some(vm))?;
        let age = now.since(since).get();
        Some(Urgency { priority, age_ms: u32::try_from(age).unwrap_or(u32::MAX) })
    }
}

/// A slot granted to a VM.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) vm: VmId,
    pub(super) priority: u8,
    pub(super) rival: Option<Urgency>,
}

/// The targets whose home this VM is.
#[derive(Debug)]
pub(super) struct Homes {
    targets: BTreeMap<Name, HomeTarget>,
    stamps: BTreeMap<VmId, AskStamp>,
    lease: Millis,
}

impl Homes {
    pub(super) fn new(lease: Millis) -> Homes {
        Homes { targets: BTreeMap::new(), stamps: BTreeMap::new(), lease }
    }

    /// Makes this VM the home of a target. A `taken_over` target is not granted before other VMs had
    /// time to state their use.
    pub(super) fn open(&mut self, now: Millis, target: &Name, slots: u32, taken_over: bool) {
        self.targets.entry(target.clone()).or_insert_with(|| HomeTarget {
            ceiling: Ceiling::new(slots),
            leases: BTreeMap::new(),
            wishes: BTreeMap::new(),
            grants_from: if taken_over { now + LISTEN } else { now },
        });
    }

    /// Stops being the home of targets that are not `kept`.
    pub(super) fn keep(&mut self, mut kept: impl FnMut(&Name) -> bool) {
        self.targets.retain(|target, _| kept(target));
    }

    pub(super) fn is_home(&self, target: &Name) -> bool {
        self.targets.contains_key(target)
    }

    pub(super) fn note_stamp(&mut self, vm: &VmId, stamp: AskStamp) {
        self.stamps.insert(vm.clone(), stamp);
    }

    pub(super) fn stamp(&self, vm: &VmId) -> AskStamp {
        self.stamps.get(vm).copied().unwrap_or_default()
    }

    /// Forgets VMs that are gone. Their leases run out by themselves, because their requests may
    /// still occupy the target.
    pub(super) fn keep_vms(&mut self, mut known: impl FnMut(&VmId) -> bool) {
        self.stamps.retain(|vm, _| known(vm));
        for target in self.targets.values_mut() {
            target.wishes.retain(|(vm, _), _| known(vm));
        }
    }

    /// Notes that a VM wants slots.
    pub(super) fn want(
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
            home.wishes.remove(&key);
            return;
        }
        let since = now.since(Millis(u64::from(urgency.age_ms)));
        home.wishes.insert(key, Wish { slots, since, renewed_at: now });
    }

    /// Forgets the wishes of a VM whose priority is not `needed`.
    pub(super) fn keep_wishes(&mut self, vm: &VmId, target: &Name, needed: impl Fn(u8) -> bool) {
        if let Some(home) = self.targets.get_mut(target) {
            home.wishes.retain(|(other, priority), _| other != vm || needed(*priority));
        }
    }

    /// Notes that a VM uses one slot less.
    pub(super) fn release(&mut self, vm: &VmId, target: &Name) {
        let Some(home) = self.targets.get_mut(target) else { return };
        let Some(lease) = home.leases.get_mut(vm) else { return };
        lease.slots = lease.slots.saturating_sub(1);
        if lease.slots == 0 {
            home.leases.remove(vm);
        }
    }

    /// Notes that a target refused a request in a granted slot.
    pub(super) fn refused(&mut self, now: Millis, vm: &VmId, target: &Name) {
        let Some(home) = self.targets.get_mut(target) else { return };
        home.ceiling.refuse(now, home.in_use());
        self.release(vm, target);
    }

    /// Notes how many slots a VM uses, granted by this home or by an earlier one.
    pub(super) fn hold(&mut self, now: Millis, vm: &VmId, target: &Name, slots: u32) {
        let lease_span = self.lease;
        let Some(home) = self.targets.get_mut(target) else { return };
        let lease = home.leases.entry(vm.clone()).or_insert(Lease {
            slots: 0,
            expires: now,
            granted_at: Millis::ZERO,
        });
        let settled = now.since(lease.granted_at) >= GRANT_SETTLED;
        lease.slots = if settled { slots } else { lease.slots.max(slots) };
        lease.expires = now + lease_span;
        if lease.slots == 0 {
            home.leases.remove(vm);
        }
    }

    /// Grants free slots of a target to the most urgent VMs, at most `slots` at a time.
    pub(super) fn grant(&mut self, now: Millis, target: &Name, slots: u32) -> Vec<Grant> {
        let lease_span = self.lease;
        let Some(home) = self.targets.get_mut(target) else { return Vec::new() };
        home.wishes.retain(|_, wish| now.since(wish.renewed_at) <= WISH_LIFETIME);
        let mut grants = Vec::new();
        if now < home.grants_from {
            return grants;
        }
        let allowed = home.ceiling.allowed(now, slots);
        while home.in_use() < allowed {
            let Some((vm, priority, _)) = home.first_wish(None) else { break };
            let vm = vm.clone();
            if let Some(wish) = home.wishes.get_mut(&(vm.clone(), priority)) {
                wish.slots = wish.slots.saturating_sub(1);
            }
            home.wishes.retain(|_, wish| wish.slots > 0);
            let lease = home.leases.entry(vm.clone()).or_insert(Lease {
                slots: 0,
                expires: now,
                granted_at: now,
            });
            lease.slots += 1;
            lease.expires = now + lease_span;
            lease.granted_at = now;
            let rival = home.rival(now, &vm);
            grants.push(Grant { vm, priority, rival });
        }
        let in_use = home.in_use();
        let granted = !grants.is_empty();
        crate::invariant!(!granted || in_use <= slots, "{in_use} of {slots} slots of {target}");
        grants
    }

    /// Tells whether a VM waits for a slot of a target.
    pub(super) fn wants(&self, vm: &VmId, target: &Name, priority: u8) -> bool {
        let key = (vm.clone(), priority);
        self.targets.get(target).is_some_and(|home| home.wishes.contains_key(&key))
    }

    /// Tells whether the slots in use of a target are not more than it takes now.
    pub(super) fn has_room(&mut self, now: Millis, target: &Name, slots: u32) -> bool {
        let Some(home) = self.targets.get_mut(target) else { return false };
        home.in_use() <= home.ceiling.allowed(now, slots)
    }

    /// Returns the most urgent wish of a VM other than `vm`.
    pub(super) fn rival(&self, now: Millis, vm: &VmId, target: &Name) -> Option<Urgency> {
        self.targets.get(target)?.rival(now, vm)
    }

    /// Ends leases that were not renewed, and returns the targets on which a VM waits.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Name> {
        for home in self.targets.values_mut() {
            home.leases.retain(|_, lease| now < lease.expires);
        }
        let waited = self.targets.iter().filter(|(_, home)| !home.wishes.is_empty());
        waited.map(|(target, _)| target.clone()).collect()
    }

    /// Extends all leases after a pause of this VM, during which renewals could not be read.
    pub(super) fn resume(&mut self, now: Millis) {
        let expires = now + self.lease;
        for home in self.targets.values_mut() {
            for lease in home.leases.values_mut() {
                lease.expires = lease.expires.max(expires);
            }
        }
    }

    /// Returns the slots in use of a target by all VMs.
    pub(super) fn in_use(&self, target: &Name) -> Option<u32> {
        self.targets.get(target).map(HomeTarget::in_use)
    }
}
