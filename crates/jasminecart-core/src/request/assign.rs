//! Assigns queued requests to slots of targets: requests slots from homes, chooses the request only
//! when a slot is granted, and falls back to direct use.

use rand::RngExt;

use super::concurrency_limit::ConcurrencyLimit;
use super::dispatcher::{Attempt, Dispatcher};
use super::outbox::Outbox;
use super::queue::QueuePosition;
use super::types::{
    Action, AskItem, AttemptId, GrantItem, RefusalReason, RequestId, TargetTag, Urgency,
};
use crate::names::{Name, VmId};
use crate::time::Millis;

/// How many targets a VM requests slots of at first, per waiting request. With 3 instead of 1, a
/// request at half load took 132 instead of 71 bytes of control messages, for a p99 queueing time
/// of 4 instead of 12 ms.
pub(super) const INITIAL_FANOUT: usize = 1;
/// The largest fan-out per waiting request; each busy response raises the fan-out by one. At 95 %
/// load, asking all 14 targets took 219 bytes per request and asking 4 took 138, without longer
/// queueing times. At half load, 4 raised the p99 queueing time from 12 to 26 ms.
pub(super) const MAX_FANOUT: usize = 5;
/// A request waits this long for a grant before it is sent to a target whose home is unreachable.
/// Without this wait, 1,246 instead of 922 of 36,675 requests were shed while a home was paused.
const DIRECT_FALLBACK_AFTER_MS: u32 = 10;
/// Costs are varied randomly by up to this share, so that VMs with the same view choose different
/// targets.
const COST_JITTER: f64 = 0.3;

/// How this VM gets slots of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SlotAccess {
    /// This VM is the home and grants its own slots.
    Local,
    /// Another VM is the home.
    Remote(VmId),
    /// The target has no home or the home is unreachable, so requests are sent without a grant.
    Direct,
}

impl Dispatcher {
    pub(super) fn slot_access(&self, now: Millis, target: &Name) -> SlotAccess {
        match self.target_index.home(target) {
            Some(home) if *home == self.me => SlotAccess::Local,
            Some(home)
                if self.slot_requests.is_unresponsive(now, home, self.limits.home_timeout) =>
            {
                SlotAccess::Direct
            }
            Some(_) if self.slot_requests.is_not_home(now, target) => SlotAccess::Direct,
            Some(home) => SlotAccess::Remote(home.clone()),
            None => SlotAccess::Direct,
        }
    }

    pub(super) fn dispatch_all(&mut self, now: Millis, out: &mut Outbox) {
        let waiting = self.queues.iter().filter(|(_, queue)| queue.len() > 0);
        let services: Vec<Name> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.dispatch(now, &service, out);
        }
    }

    /// Tries to get slots for the requests that wait for a service.
    pub(super) fn dispatch(&mut self, now: Millis, service: &Name, out: &mut Outbox) {
        self.refuse_expired(now, service, out);
        for (priority, ..) in self.demands(now, service) {
            self.dispatch_priority(now, service, priority, out);
        }
        self.withdraw_unneeded(now, service, out);
    }

    fn dispatch_priority(&mut self, now: Millis, service: &Name, priority: u8, out: &mut Outbox) {
        let targets = self.ranked_targets(now, service, priority);
        let fanout =
            self.fanouts.get(&(service.clone(), priority)).copied().unwrap_or(INITIAL_FANOUT);
        let mut requested = 0;
        let mut queued = usize::MAX;
        let mut demand = None;
        for target in targets {
            if queued != self.queued {
                queued = self.queued;
                let mut demands = self.demands(now, service).into_iter();
                demand = demands.find(|(other, ..)| *other == priority);
            }
            let Some((_, waiting, since)) = demand else { return };
            if requested >= fanout.saturating_mul(waiting as usize) {
                return;
            }
            if self.most_urgent(now, &target).is_some() {
                let urgency = urgency(now, priority, since);
                requested += usize::from(self.acquire_slots(now, &target, waiting, urgency, out));
            }
        }
    }

    /// Acquires slots of one target, and returns whether a slot request is now pending with another
    /// VM.
    fn acquire_slots(
        &mut self,
        now: Millis,
        target: &Name,
        waiting: u32,
        urgency: Urgency,
        out: &mut Outbox,
    ) -> bool {
        let Some(info) = self.target_index.target(target) else { return false };
        let slots = waiting.min(info.slots);
        match self.slot_access(now, target) {
            SlotAccess::Local => {
                self.leases.request_slots(now, &self.me, target, slots, urgency);
                self.grant_from_home(now, target, out);
                false
            }
            SlotAccess::Remote(home) => {
                self.send_slot_request(now, target, &home, slots, urgency, out);
                true
            }
            SlotAccess::Direct => {
                let home = self.target_index.home(target).cloned();
                if let Some(home) = &home {
                    self.send_slot_request(now, target, home, slots, urgency, out);
                }
                if home.is_none() || urgency.age_ms >= DIRECT_FALLBACK_AFTER_MS {
                    self.send_direct(now, target, out);
                }
                false
            }
        }
    }

    fn send_slot_request(
        &mut self,
        now: Millis,
        target: &Name,
        home: &VmId,
        slots: u32,
        urgency: Urgency,
        out: &mut Outbox,
    ) {
        if self.slot_requests.request_slots(now, target, home, urgency.priority, slots) {
            let slots = u8::try_from(slots).unwrap_or(u8::MAX);
            out.ask(home, AskItem::Want { target: TargetTag::of(target), slots, urgency });
        }
    }

    /// Sends requests to a target without a grant, up to the concurrency limit that was learned
    /// from the target's refusals.
    fn send_direct(&mut self, now: Millis, target: &Name, out: &mut Outbox) {
        let Some(slots) = self.target_index.target(target).map(|info| info.slots) else { return };
        let limit =
            self.direct_limits.entry(target.clone()).or_insert_with(|| ConcurrencyLimit::new(1));
        let allowed = limit.allowed(now, slots);
        while self.slots_used(target) < allowed && self.assign_slot(now, target, out) {
            self.counters.direct += 1;
        }
    }

    fn demands(&self, now: Millis, service: &Name) -> Vec<(u8, u32, Millis)> {
        self.queues.get(service).map(|queue| queue.demands(now)).unwrap_or_default()
    }

    /// Returns the usable targets of a service: those with a pending slot request first, those that
    /// were busy recently last, and by cost among equals.
    fn ranked_targets(&mut self, now: Millis, service: &Name, priority: u8) -> Vec<Name> {
        let Some(active) = self.target_index.active(service) else { return Vec::new() };
        let mut ranked = Vec::with_capacity(active.len());
        for target in active.iter().filter(|target| !self.scores.is_ejected(now, target)) {
            let jitter = 1.0 + COST_JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
            let load = f64::from(self.slots_used(target) + 1);
            let direct = self.slot_access(now, target) == SlotAccess::Direct;
            let cost = self.cost(now, target) * jitter * if direct { load } else { 1.0 };
            let requested = self.slot_requests.is_requested(target, priority);
            let recently_busy = !requested && self.slot_requests.is_busy(now, target);
            ranked.push((!requested, recently_busy, cost, target.clone()));
        }
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().map(|(_, _, _, target)| target).collect()
    }

    /// Withdraws slot requests of priorities for which no request waits any more.
    fn withdraw_unneeded(&mut self, now: Millis, service: &Name, out: &mut Outbox) {
        let Some(active) = self.target_index.active(service) else { return };
        let priorities: Vec<u8> =
            self.demands(now, service).iter().map(|demand| demand.0).collect();
        self.fanouts
            .retain(|(other, priority), _| other != service || priorities.contains(priority));
        for target in active.iter() {
            let shared =
                self.target_index.target(target).is_some_and(|info| info.services.len() > 1);
            let needed_priorities =
                if shared { self.needed_priorities(now, target) } else { priorities.clone() };
            self.leases.retain_requests(&self.me, target, |priority| {
                needed_priorities.contains(&priority)
            });
            let Some(home) = self.target_index.home(target).cloned() else { continue };
            for priority in self.slot_requests.requested_priorities(target) {
                if !needed_priorities.contains(&priority) {
                    self.slot_requests.withdraw(target, priority);
                    let (target, urgency) =
                        (TargetTag::of(target), Urgency { priority, age_ms: 0 });
                    out.ask(&home, AskItem::Want { target, slots: 0, urgency });
                }
            }
        }
    }

    /// Returns the priorities of the requests that wait for the services of a target.
    fn needed_priorities(&self, now: Millis, target: &Name) -> Vec<u8> {
        let Some(info) = self.target_index.target(target) else { return Vec::new() };
        let demands = info.services.iter().flat_map(|service| self.demands(now, service));
        demands.map(|demand| demand.0).collect()
    }

    /// Grants free slots of a target whose home is this VM.
    pub(super) fn grant_from_home(&mut self, now: Millis, target: &Name, out: &mut Outbox) {
        let Some(slots) = self.grantable_slots(now, target) else { return };
        loop {
            let mut again = false;
            for grant in self.leases.grant(now, target, slots) {
                if grant.vm != self.me {
                    let (target, priority) = (TargetTag::of(target), grant.priority);
                    out.grant(&grant.vm, GrantItem::Slot { target, priority, rival: grant.rival });
                } else if !self.assign_slot(now, target, out) {
                    self.leases.retain_requests(&self.me, target, |_| false);
                    self.leases.release(&self.me, target);
                    again = true;
                }
            }
            if !again {
                return;
            }
        }
    }

    /// Returns how many slots of a target may be granted now, which is fewer during its slow start.
    fn grantable_slots(&self, now: Millis, target: &Name) -> Option<u32> {
        let slots = self.target_index.target(target).filter(|info| info.active)?.slots;
        let slow_start = self.document.as_ref()?.limits().slow_start;
        let share = self.scores.get(target).map_or(1.0, |score| score.share(now, slow_start));
        Some(((f64::from(slots) * share).ceil() as u32).clamp(1, slots.max(1)))
    }

    /// Uses a slot granted by another VM for a waiting request, or returns it.
    pub(super) fn apply_slot_grant(
        &mut self,
        now: Millis,
        home: &VmId,
        target: &Name,
        out: &mut Outbox,
    ) {
        self.counters.grants += 1;
        self.lease_renewed_at.insert(target.clone(), now);
        if !self.assign_slot(now, target, out) {
            self.counters.grants_returned += 1;
            out.ask(home, AskItem::Release { target: TargetTag::of(target) });
        }
    }

    /// Assigns a slot of a target to the most urgent eligible request and sends that request. All
    /// attempts are sent from here, so this is where the checks before a send belong.
    fn assign_slot(&mut self, now: Millis, target: &Name, out: &mut Outbox) -> bool {
        let Some(info) = self.target_index.target(target).cloned() else { return false };
        if !info.active || self.scores.is_ejected(now, target) {
            return false;
        }
        for service in &info.services {
            self.refuse_expired(now, service, out);
        }
        let Some((service, _, request)) = self.most_urgent(now, target) else { return false };
        let served = info.services.contains(&service);
        crate::invariant!(served, "I2: {target} does not serve {service}");
        self.send(now, request, target, info.address, out);
        true
    }

    /// Returns the most urgent request that may be sent to a target, over all services of the
    /// target.
    fn most_urgent(&self, now: Millis, target: &Name) -> Option<(Name, QueuePosition, RequestId)> {
        let info = self.target_index.target(target)?;
        let candidates = info.services.iter().filter_map(|service| {
            let is_eligible = |request| self.is_eligible(now, service, request, target);
            let (position, waiting) = self.queues.get(service)?.first_eligible(now, is_eligible)?;
            Some((service.clone(), position, waiting.request))
        });
        candidates.min_by_key(|(_, position, _)| *position)
    }

    /// Returns whether a request may be sent to a target. A target that was tried already is
    /// eligible only after all usable ones were tried, and while no attempt is in progress.
    fn is_eligible(&self, now: Millis, service: &Name, request: RequestId, target: &Name) -> bool {
        let Some(request) = self.requests.get(&request) else { return false };
        if !request.tried_targets.contains(target) {
            return true;
        }
        let Some(active) = self.target_index.active(service) else { return false };
        let untried = |other: &&Name| {
            !request.tried_targets.contains(other) && !self.scores.is_ejected(now, other)
        };
        request.attempts.is_empty() && !active.iter().any(|other| untried(&other))
    }

    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        target: &Name,
        address: std::net::SocketAddr,
        out: &mut Outbox,
    ) {
        let since = self.dequeue(id).map_or(now, |waiting| waiting.since);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let deadline = request.meta.deadline;
        crate::invariant!(now < deadline, "request {} was sent after its deadline", id.0);
        let safe_to_repeat =
            !request.may_have_run || (request.meta.idempotent && request.meta.key.is_none());
        crate::invariant!(safe_to_repeat, "I5: request {} may have run and was sent again", id.0);
        let service = request.meta.service.clone();
        let first = request.attempts_sent == 0;
        request.attempts_sent += 1;
        request.tried_targets.push(target.clone());
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        self.counters.hedges += u64::from(!request.attempts.is_empty());
        request.attempts.push(attempt);
        self.counters.attempts += 1;
        self.counters.retries += u64::from(!first);
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.record_assignment(now, now.since(since));
        }
        if first {
            self.hedging.record_first();
            let percent = self.document.as_ref().map_or(0, |d| d.limits().retry_percent);
            self.retry_budgets.entry(service.clone()).or_default().record_first_attempt(percent);
        }
        *self.in_use.entry(target.clone()).or_default() += 1;
        let state = Attempt {
            request: id,
            service,
            target: target.clone(),
            sent_at: now,
            deadline,
            cancelled_at: None,
        };
        self.attempts.insert(attempt, state);
        let target = target.clone();
        out.push(Action::Send { request: id, attempt, target, address, deadline });
    }

    /// Frees the slot of an attempt that ended: uses it for the next request, or returns it.
    pub(super) fn free_slot(
        &mut self,
        now: Millis,
        target: &Name,
        refused: bool,
        out: &mut Outbox,
    ) {
        let used = self.slots_used(target);
        crate::invariant!(used > 0, "a slot of {target} was freed twice");
        self.in_use.insert(target.clone(), used.saturating_sub(1));
        self.in_use.retain(|_, used| *used > 0);
        let access = self.slot_access(now, target);
        if refused && let Some(limit) = self.direct_limits.get_mut(target) {
            limit.on_refusal(now, used);
        }
        match access {
            SlotAccess::Local => {
                let rival = self.leases.rival(now, &self.me, target);
                self.slot_requests.record_rival(now, target, rival);
                if refused {
                    self.leases.record_refusal(now, &self.me, target);
                } else if !self.may_retain_slot(now, target) || !self.reuse(now, target, out) {
                    self.leases.release(&self.me, target);
                }
                self.grant_from_home(now, target, out);
            }
            SlotAccess::Remote(home) => {
                if refused || !self.reuse(now, target, out) {
                    let target = TargetTag::of(target);
                    let item = if refused {
                        AskItem::Refused { target }
                    } else {
                        AskItem::Release { target }
                    };
                    out.ask(&home, item);
                }
            }
            SlotAccess::Direct => self.send_direct(now, target, out),
        }
    }

    /// Returns whether this VM, as the home of a target, may keep a slot that it freed: only while
    /// the slots in use are within the current limit of the target.
    fn may_retain_slot(&mut self, now: Millis, target: &Name) -> bool {
        let Some(slots) = self.grantable_slots(now, target) else { return false };
        self.leases.is_within_limit(now, target, slots)
    }

    /// Uses a freed slot for the next request of this VM, unless another VM has a more urgent one.
    fn reuse(&mut self, now: Millis, target: &Name, out: &mut Outbox) -> bool {
        let Some((service, position, _)) = self.most_urgent(now, target) else { return false };
        let first = self.queues.get(&service).and_then(|queue| queue.get(position));
        let Some(first) = first.map(|waiting| urgency(now, position.priority, waiting.since))
        else {
            return false;
        };
        let reused =
            self.slot_requests.may_reuse(now, target, first) && self.assign_slot(now, target, out);
        self.counters.reused += u64::from(reused);
        reused
    }

    /// Sends the home of a target the number of slots that this VM uses.
    pub(super) fn announce_use(&mut self, now: Millis, target: &Name, out: &mut Outbox) {
        let used = self.slots_used(target);
        let Some(home) = self.target_index.home(target).cloned() else { return };
        if used == 0 {
            return;
        }
        self.lease_renewed_at.insert(target.clone(), now);
        if home == self.me {
            self.leases.record_use(now, &self.me, target, used);
        } else {
            let slots = u8::try_from(used).unwrap_or(u8::MAX);
            out.ask(&home, AskItem::Hold { target: TargetTag::of(target), slots });
        }
    }

    /// Renews the leases of targets in use that were last renewed a third of the lease time ago.
    pub(super) fn renew_leases(&mut self, now: Millis, out: &mut Outbox) {
        let third = self.limits.lease.get() / 3;
        let due: Vec<Name> = self
            .in_use
            .keys()
            .filter(|target| {
                let at = self.lease_renewed_at.get(*target).copied().unwrap_or_default();
                now.since(at).get() >= third
            })
            .cloned()
            .collect();
        for target in due {
            self.announce_use(now, &target, out);
        }
        let in_use = &self.in_use;
        self.lease_renewed_at.retain(|target, _| in_use.contains_key(target));
    }

    /// Refuses requests of a service that waited too long or whose deadline passed.
    fn refuse_expired(&mut self, now: Millis, service: &Name, out: &mut Outbox) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        let expired = queue.expired(now);
        let expired: Vec<RequestId> = expired
            .into_iter()
            .filter_map(|position| queue.get(position).map(|waiting| waiting.request))
            .collect();
        for request in expired {
            let late = self.requests.get(&request).is_some_and(|r| now >= r.meta.deadline);
            let reason = if late { RefusalReason::Deadline } else { RefusalReason::Overload };
            self.refuse_queued(now, request, reason, out);
        }
    }
}

fn urgency(now: Millis, priority: u8, since: Millis) -> Urgency {
    let age = now.since(since).get();
    Urgency { priority, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
}
