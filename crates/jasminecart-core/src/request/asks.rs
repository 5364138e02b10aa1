//! What this VM asked of the homes of targets, and what it knows of them.

use std::collections::BTreeMap;

use super::types::Urgency;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// A wish is renewed this often while requests wait. With 250 ms, the VM that sends most sent 4,861 instead of
/// 3,837 bytes/s of control messages at 120 % load.
pub(super) const RENEW: Millis = Millis(500);
/// What a home said about a rival is trusted for as long as the rival had waited, within these bounds:
/// the longer the oldest request of a VM waits, the slower its queue changes.
const RIVAL_LIFETIME: std::ops::RangeInclusive<u64> = 20..=500;
/// A request may be younger than that of a rival by this and still get a slot again, because returning
/// the slot leaves it idle for two trips between VMs.
const REUSE_SLACK_MS: u32 = 500;
/// The same as a part of the rival's age.
const REUSE_SLACK_DIVISOR: u32 = 4;
/// A slot is used again at most this often before the home decides anew.
const MAX_REUSE: u32 = 16;
/// A target whose home answered that it is busy is asked after others for this long.
const BUSY_LIFETIME: Millis = Millis(50);
/// A VM that denied to be the home of a target is not asked about it for this long.
const DENIED_LIFETIME: Millis = Millis(500);

#[derive(Debug, Default)]
struct Wished {
    slots: u32,
    at: Millis,
}

#[derive(Debug, Default)]
struct Asked {
    /// The standing wishes by class priority.
    wishes: BTreeMap<u8, Wished>,
    busy_at: Option<Millis>,
    denied_at: Option<Millis>,
    rival: Option<(Urgency, Millis)>,
    reused: u32,
}

/// The asks of this VM.
#[derive(Debug, Default)]
pub(super) struct Asks {
    targets: BTreeMap<Name, Asked>,
    unanswered: BTreeMap<VmId, Millis>,
}

impl Asks {
    pub(super) fn keep(&mut self, mut known: impl FnMut(&Name) -> bool) {
        self.targets.retain(|target, _| known(target));
    }

    pub(super) fn keep_vms(&mut self, mut known: impl FnMut(&VmId) -> bool) {
        self.unanswered.retain(|vm, _| known(vm));
    }

    /// Forgets the asks for a target, because its home changed.
    pub(super) fn forget(&mut self, target: &Name) {
        self.targets.remove(target);
    }

    /// Forgets which homes owe an answer, because this process could not have read it.
    pub(super) fn resume(&mut self) {
        self.unanswered.clear();
        self.targets.values_mut().for_each(|asked| asked.wishes.clear());
    }

    /// Tells whether a wish for `slots` slots has to be sent, and notes it as sent.
    pub(super) fn want(
        &mut self,
        now: Millis,
        target: &Name,
        home: &VmId,
        priority: u8,
        slots: u32,
    ) -> bool {
        let asked = self.targets.entry(target.clone()).or_default();
        let wished = asked.wishes.entry(priority).or_default();
        if wished.slots >= slots && now.since(wished.at) < RENEW {
            return false;
        }
        *wished = Wished { slots, at: now };
        self.unanswered.entry(home.clone()).or_insert(now);
        true
    }

    /// Tells whether a wish for slots stands.
    pub(super) fn is_asked(&self, target: &Name, priority: u8) -> bool {
        self.targets.get(target).is_some_and(|asked| asked.wishes.contains_key(&priority))
    }

    /// Returns the priorities of the standing wishes for a target.
    pub(super) fn asked(&self, target: &Name) -> Vec<u8> {
        let asked = self.targets.get(target);
        asked.map(|asked| asked.wishes.keys().copied().collect()).unwrap_or_default()
    }

    /// Notes that the wish of a priority ended.
    pub(super) fn withdraw(&mut self, target: &Name, priority: u8) {
        if let Some(asked) = self.targets.get_mut(target) {
            asked.wishes.remove(&priority);
        }
    }

    /// Notes that a home answered.
    pub(super) fn heard(&mut self, home: &VmId) {
        self.unanswered.remove(home);
    }

    /// Tells whether a home left an ask unanswered for longer than `silence`.
    pub(super) fn is_silent(&self, now: Millis, home: &VmId, silence: Millis) -> bool {
        self.unanswered.get(home).is_some_and(|since| now.since(*since) > silence)
    }

    pub(super) fn granted(
        &mut self,
        now: Millis,
        target: &Name,
        priority: u8,
        rival: Option<Urgency>,
    ) {
        let asked = self.targets.entry(target.clone()).or_default();
        if let Some(wished) = asked.wishes.get_mut(&priority) {
            wished.slots = wished.slots.saturating_sub(1);
        }
        asked.wishes.retain(|_, wished| wished.slots > 0);
        asked.rival = rival.map(|rival| (rival, now));
        asked.busy_at = None;
        asked.reused = 0;
    }

    /// Notes the most urgent other VM that waits for a target whose home this VM is.
    pub(super) fn note_rival(&mut self, now: Millis, target: &Name, rival: Option<Urgency>) {
        let asked = self.targets.entry(target.clone()).or_default();
        asked.rival = rival.map(|rival| (rival, now));
    }

    pub(super) fn busy(&mut self, now: Millis, target: &Name, rival: Option<Urgency>) {
        let asked = self.targets.entry(target.clone()).or_default();
        asked.rival = rival.map(|rival| (rival, now));
        asked.busy_at = Some(now);
    }

    pub(super) fn denied(&mut self, now: Millis, target: &Name) {
        let asked = self.targets.entry(target.clone()).or_default();
        asked.wishes.clear();
        asked.denied_at = Some(now);
    }

    pub(super) fn is_denied(&self, now: Millis, target: &Name) -> bool {
        let at = self.targets.get(target).and_then(|asked| asked.denied_at);
        at.is_some_and(|at| now.since(at) < DENIED_LIFETIME)
    }

    pub(super) fn is_busy(&self, now: Millis, target: &Name) -> bool {
        let at = self.targets.get(target).and_then(|asked| asked.busy_at);
        at.is_some_and(|at| now.since(at) < BUSY_LIFETIME)
    }

    /// Tells whether a slot that became free may serve the next request of this VM without asking.
    /// It may when no other VM waits with an older request or one of a higher class.
    pub(super) fn may_reuse(&mut self, now: Millis, target: &Name, mine: Urgency) -> bool {
        let asked = self.targets.entry(target.clone()).or_default();
        let trusted = |(rival, at): &(Urgency, Millis)| {
            let lifetime =
                u64::from(rival.age_ms).clamp(*RIVAL_LIFETIME.start(), *RIVAL_LIFETIME.end());
            now.since(*at).get() < lifetime
        };
        let first = asked.rival.filter(trusted).is_none_or(|(rival, _)| {
            let slack = REUSE_SLACK_MS.max(rival.age_ms / REUSE_SLACK_DIVISOR);
            let as_old = mine.age_ms.saturating_add(slack) >= rival.age_ms;
            mine.priority < rival.priority || (mine.priority == rival.priority && as_old)
        });
        let allowed = first && (asked.rival.is_none() || asked.reused < MAX_REUSE);
        asked.reused = if allowed { asked.reused + 1 } else { 0 };
        allowed
    }
}
