//! Which VMs may send new flows to a cold target.
//!
//! The holders of a target are the first VMs by rank among all VMs of the target's data centre that this VM saw
//! in the last minute. VMs that died keep their place for that minute: a death that is no death, but a pause or a
//! partition, thus adds no holder while the supposedly dead VM still sends. `docs/design/cold-targets.md` proves
//! the bound that follows.

use std::cmp::Reverse;

use crate::hashing::HashMap;
use crate::names::{Name, VmId};
use crate::process::{MemberState, Members, rendezvous};
use crate::time::Millis;

/// How long a VM is no holder after its start or a pause. It does not know its peers before that.
const SETTLING_TIME: Millis = Millis::from_secs(3);
/// The gap between two ticks that counts as a pause. Ticks are due every 100 ms.
const PAUSE_THRESHOLD: Millis = Millis::from_secs(1);
/// How long a VM that started is a holder only where it ranks first. In a partition it does not know the VMs of the
/// other part, unlike the VMs that were started before. The list of members contains dead ones for the same time.
const PROBATION: Millis = Millis::from_secs(60);

/// How many openings the holders of a target may send while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdBudget {
    /// The number of holders.
    holders: usize,
    /// The number of holders among the VMs that are on probation, in each part of a partitioned data centre.
    new_holders: usize,
    /// The number of openings of each holder per window.
    pub(super) share: usize,
}

impl ColdBudget {
    /// The number of holders of a target, if the limit allows it.
    const HOLDERS: usize = 3;
    /// The number of VMs that can send their share within the limit: the holders and two more, because VMs may have
    /// wrong views of the members.
    const SENDERS: usize = 5;
    /// The largest share. It bounds the memory for openings; the busiest VM opens about 100 flows a second.
    const MAX_SHARE: usize = 1_000;

    /// Returns the budget that follows from the number of openings per second that all VMs together may send.
    pub(super) fn new(limit: f64) -> ColdBudget {
        // The conversion rounds down, and gives 0 for a negative number and the largest integer for a large one.
        let limit = limit as usize;
        let share = (limit / ColdBudget::SENDERS).clamp(limit.min(1), ColdBudget::MAX_SHARE);
        ColdBudget {
            holders: limit.min(ColdBudget::HOLDERS),
            new_holders: usize::from(limit >= ColdBudget::SENDERS),
            share,
        }
    }
}

/// The members of this VM's data centre, as far as they decide about holders.
#[derive(Debug)]
pub(super) struct Holders {
    me: VmId,
    /// The other members of the last minute, dead ones included.
    others: Vec<VmId>,
    /// Whether at least half of the members of the last minute are live.
    has_quorum: bool,
    /// From when this VM may be a holder.
    settled_at: Option<Millis>,
    /// From when it may be a holder where it does not rank first.
    experienced_at: Millis,
    ticked_at: Millis,
    /// The rank of this VM for each target that was cold since the members changed; 0 is the first.
    ranks: HashMap<Name, usize>,
}

impl Holders {
    pub(super) fn new(me: VmId) -> Holders {
        Holders {
            me,
            others: Vec::new(),
            has_quorum: false,
            settled_at: None,
            experienced_at: Millis::MAX,
            ticked_at: Millis::ZERO,
            ranks: HashMap::default(),
        }
    }

    /// Replaces the members. Most lists differ only in when the members were last heard of.
    pub(super) fn set_members(&mut self, now: Millis, members: &Members) {
        if self.settled_at.is_none() {
            self.settled_at = Some(now + SETTLING_TIME);
            self.experienced_at = now + PROBATION;
            self.ticked_at = now;
        }
        let local =
            || members.list.iter().filter(|member| member.vm.data_centre == self.me.data_centre);
        // A VM without contact to any other suspects all of them and removes none.
        let is_live = |state| !matches!(state, MemberState::Suspect | MemberState::Dead);
        let others = || local().filter(|member| member.vm != self.me);
        let live = others().filter(|member| is_live(member.state)).count() + 1;
        self.has_quorum = 2 * live > others().count();
        if !others().map(|member| &member.vm).eq(&self.others) {
            self.others = others().map(|member| member.vm.clone()).collect();
            self.ranks.clear();
        }
    }

    /// Detects pauses of this process. A paused VM missed changes of the members, and learned nothing.
    pub(super) fn tick(&mut self, now: Millis) {
        let gap = now.since(self.ticked_at);
        self.ticked_at = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.experienced_at = Millis(self.experienced_at.get().saturating_add(gap.get()));
        if let Some(settled_at) = &mut self.settled_at {
            *settled_at = now + SETTLING_TIME;
        }
    }

    /// Returns whether this VM may send new flows to a cold target.
    pub(super) fn is_holder(
        &mut self,
        now: Millis,
        target: &Name,
        data_centre: &Name,
        budget: ColdBudget,
    ) -> bool {
        let places = self.places(now, data_centre, budget);
        places > 0 && self.rank(target) < places
    }

    /// Returns what [`Holders::is_holder`] would, and stores nothing.
    pub(super) fn would_hold(
        &self,
        now: Millis,
        target: &Name,
        data_centre: &Name,
        budget: ColdBudget,
    ) -> bool {
        let places = self.places(now, data_centre, budget);
        let rank = || self.ranks.get(target).copied().unwrap_or_else(|| self.compute_rank(target));
        places > 0 && rank() < places
    }

    /// Returns below which rank this VM is a holder now.
    fn places(&self, now: Millis, data_centre: &Name, budget: ColdBudget) -> usize {
        let is_settled = self.settled_at.is_some_and(|at| now >= at)
            && now.since(self.ticked_at) < PAUSE_THRESHOLD;
        if !is_settled || !self.has_quorum || *data_centre != self.me.data_centre {
            0
        } else if now >= self.experienced_at {
            budget.holders
        } else {
            budget.new_holders
        }
    }

    fn rank(&mut self, target: &Name) -> usize {
        if let Some(rank) = self.ranks.get(target) {
            return *rank;
        }
        let rank = self.compute_rank(target);
        self.ranks.insert(target.clone(), rank);
        rank
    }

    fn compute_rank(&self, target: &Name) -> usize {
        let key = |vm| (Reverse(rendezvous::hash(("cold target", target, vm))), vm);
        let own = key(&self.me);
        self.others.iter().filter(|vm| key(vm) < own).count()
    }

    /// Forgets the ranks of targets that `keep` does not name.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.ranks.retain(|target, _| keep(target));
    }

    /// Returns a number above 0, up to 1, that differs between VMs and targets.
    pub(super) fn spread(&self, target: &Name) -> f64 {
        let hash = rendezvous::hash(("warm target", target, &self.me));
        (f64::from((hash >> 32) as u32) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}
