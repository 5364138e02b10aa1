//! Slot requests that this VM has sent to the homes of targets, and the state learned from their
//! responses.

use std::collections::BTreeMap;

use super::types::Urgency;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// A slot request is renewed this often while requests wait. With 250 ms, the busiest sender sent
/// 4,861 instead of 3,837 bytes/s of control messages at 120 % load.
pub(super) const RENEW_INTERVAL: Millis = Millis(500);
/// The urgency that a home reported for a rival is valid for as long as the rival had waited, in
/// milliseconds and within these limits: the longer the oldest request of a VM waits, the slower
/// its queue changes.
const RIVAL_LIFETIME_MS: std::ops::RangeInclusive<u64> = 20..=500;
/// A request may be younger than that of a rival by this and still reuse a slot, because returning
/// the slot leaves it idle for two message delays between VMs.
const REUSE_SLACK_MS: u32 = 500;
/// The same slack as a fraction of the rival's age; the larger of the two applies.
const REUSE_SLACK_DIVISOR: u32 = 4;
/// A slot is reused at most this often before the home decides again.
const MAX_REUSE: u32 = 16;
/// A target whose home reported it as busy ranks after others for this long.
const BUSY_LIFETIME: Millis = Millis(50);
/// A VM that responded that it is not the home of a target gets no slot requests for it for this
/// long.
const NOT_HOME_LIFETIME: Millis = Millis(500);

#[derive(Debug, Default)]
struct PendingRequest {
    slots: u32,
    sent_at: Millis,
}

#[derive(Debug, Default)]
struct TargetRequests {
    /// The pending slot requests by class priority.
    pending: BTreeMap<u8, PendingRequest>,
    busy_at: Option<Millis>,
    not_home_at: Option<Millis>,
    rival: Option<(Urgency, Millis)>,
    reused: u32,
}

/// The slot requests of this VM, by target.
#[derive(Debug, Default)]
pub(super) struct SlotRequests {
    targets: BTreeMap<Name, TargetRequests>,
    awaiting_response: BTreeMap<VmId, Millis>,
}

impl SlotRequests {
    pub(super) fn retain_targets(&mut self, mut known: impl FnMut(&Name) -> bool) {
        self.targets.retain(|target, _| known(target));
    }

    pub(super) fn retain_vms(&mut self, mut known: impl FnMut(&VmId) -> bool) {
        self.awaiting_response.retain(|vm, _| known(vm));
    }

    /// Removes the slot requests for a target, because its home changed.
    pub(super) fn remove_target(&mut self, target: &Name) {
        self.targets.remove(target);
    }

    /// Clears the pending requests and timeouts after a pause of this process, which could not
    /// receive responses meanwhile.
    pub(super) fn resume(&mut self) {
        self.awaiting_response.clear();
        self.targets.values_mut().for_each(|state| state.pending.clear());
    }

    /// Returns whether a request for `slots` slots has to be sent now, and if so records it as
    /// sent.
    pub(super) fn request_slots(
        &mut self,
        now: Millis,
        target: &Name,
        home: &VmId,
        priority: u8,
        slots: u32,
    ) -> bool {
        let state = self.targets.entry(target.clone()).or_default();
        let request = state.pending.entry(priority).or_default();
        if request.slots >= slots && now.since(request.sent_at) < RENEW_INTERVAL {
            return false;
        }
        *request = PendingRequest { slots, sent_at: now };
        self.awaiting_response.entry(home.clone()).or_insert(now);
        true
    }

    /// Returns whether a slot request is pending.
    pub(super) fn is_requested(&self, target: &Name, priority: u8) -> bool {
        self.targets.get(target).is_some_and(|state| state.pending.contains_key(&priority))
    }

    /// Returns the priorities of the pending slot requests for a target.
    pub(super) fn requested_priorities(&self, target: &Name) -> Vec<u8> {
        let state = self.targets.get(target);
        state.map(|state| state.pending.keys().copied().collect()).unwrap_or_default()
    }

    /// Records that the slot request of a priority was withdrawn.
    pub(super) fn withdraw(&mut self, target: &Name, priority: u8) {
        if let Some(state) = self.targets.get_mut(target) {
            state.pending.remove(&priority);
        }
    }

    /// Records that a home responded.
    pub(super) fn record_response(&mut self, home: &VmId) {
        self.awaiting_response.remove(home);
    }

    /// Returns whether a home has left a slot request without a response for longer than `timeout`.
    pub(super) fn is_unresponsive(&self, now: Millis, home: &VmId, timeout: Millis) -> bool {
        self.awaiting_response.get(home).is_some_and(|since| now.since(*since) > timeout)
    }

    pub(super) fn record_grant(
        &mut self,
        now: Millis,
        target: &Name,
        priority: u8,
        rival: Option<Urgency>,
    ) {
        let state = self.targets.entry(target.clone()).or_default();
        if let Some(request) = state.pending.get_mut(&priority) {
            request.slots = request.slots.saturating_sub(1);
        }
        state.pending.retain(|_, request| request.slots > 0);
        state.rival = rival.map(|rival| (rival, now));
        state.busy_at = None;
        state.reused = 0;
    }

    /// Records the most urgent other VM that waits for a target whose home is this VM.
    pub(super) fn record_rival(&mut self, now: Millis, target: &Name, rival: Option<Urgency>) {
        let state = self.targets.entry(target.clone()).or_default();
        state.rival = rival.map(|rival| (rival, now));
    }

    pub(super) fn record_busy(&mut self, now: Millis, target: &Name, rival: Option<Urgency>) {
        let state = self.targets.entry(target.clone()).or_default();
        state.rival = rival.map(|rival| (rival, now));
        state.busy_at = Some(now);
    }

    pub(super) fn record_not_home(&mut self, now: Millis, target: &Name) {
        let state = self.targets.entry(target.clone()).or_default();
        state.pending.clear();
        state.not_home_at = Some(now);
    }

    pub(super) fn is_not_home(&self, now: Millis, target: &Name) -> bool {
        let at = self.targets.get(target).and_then(|state| state.not_home_at);
        at.is_some_and(|at| now.since(at) < NOT_HOME_LIFETIME)
    }

    pub(super) fn is_busy(&self, now: Millis, target: &Name) -> bool {
        let at = self.targets.get(target).and_then(|state| state.busy_at);
        at.is_some_and(|at| now.since(at) < BUSY_LIFETIME)
    }

    /// Returns whether a freed slot may serve the next request of this VM without a new grant. It
    /// may if no other VM waits with an older request or one of a higher class.
    pub(super) fn may_reuse(&mut self, now: Millis, target: &Name, own: Urgency) -> bool {
        let state = self.targets.entry(target.clone()).or_default();
        let is_current = |(rival, at): &(Urgency, Millis)| {
            let lifetime =
                u64::from(rival.age_ms).clamp(*RIVAL_LIFETIME_MS.start(), *RIVAL_LIFETIME_MS.end());
            now.since(*at).get() < lifetime
        };
        let is_first = state.rival.filter(is_current).is_none_or(|(rival, _)| {
            let slack = REUSE_SLACK_MS.max(rival.age_ms / REUSE_SLACK_DIVISOR);
            let as_old = own.age_ms.saturating_add(slack) >= rival.age_ms;
            own.priority < rival.priority || (own.priority == rival.priority && as_old)
        });
        let allowed = is_first && (state.rival.is_none() || state.reused < MAX_REUSE);
        state.reused = if allowed { state.reused + 1 } else { 0 };
        allowed
    }
}
