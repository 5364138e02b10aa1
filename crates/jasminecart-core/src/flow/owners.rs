//! The owners of flows: rendezvous hashing over the members of the data centre.

use std::net::SocketAddr;

use super::hash::{hash, mix, vm_hash};
use crate::names::{Incarnation, VmId};
use crate::process::{Member, MemberState, Members};

/// The number of members ranked for a flow: two owners and the next candidate, one for each hop.
pub(super) const MAX_RANKED: usize = 3;

/// A reachable member, to which packets can be forwarded.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) vm: VmId,
    pub(super) hash: u64,
    pub(super) address: SocketAddr,
    pub(super) state: MemberState,
    incarnation: Incarnation,
    eligible: bool,
    /// Whether the member owns flows now or will own them after joining.
    future_owner: bool,
}

/// Ranks the reachable members for each flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    candidates: Vec<Candidate>,
    me: u64,
    epoch: u64,
    eligible_hash: u64,
}

impl Owners {
    /// Derives the candidates from a list of members. With `leaving`, this VM owns no flows any
    /// more, even if the list does not say so yet.
    pub(super) fn new(members: &Members, leaving: bool) -> Owners {
        let reachable = members.list.iter().filter(|member| member.is_reachable());
        let candidate = |member: &Member| {
            let is_staying = !(leaving && member.vm == members.me);
            let eligible = member.is_eligible() && is_staying;
            Candidate {
                vm: member.vm.clone(),
                hash: vm_hash(&member.vm),
                address: member.address.packets,
                state: member.state,
                incarnation: member.incarnation,
                eligible,
                future_owner: is_staying && (eligible || member.state == MemberState::Joining),
            }
        };
        let mut candidates: Vec<Candidate> = reachable.map(candidate).collect();
        candidates.sort_by_key(|candidate| candidate.hash);
        let digest = |include: fn(&Candidate) -> bool| {
            let selected = candidates.iter().filter(|candidate| include(candidate));
            hash(selected.map(|member| (member.hash, member.incarnation)).collect::<Vec<_>>())
        };
        let epoch = digest(|candidate| candidate.future_owner);
        let eligible_hash = digest(|candidate| candidate.eligible);
        Owners { epoch, eligible_hash, candidates, me: vm_hash(&members.me) }
    }

    /// Returns the hash of the members that own flows now or will own them after joining.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the reachable members except this VM.
    pub(super) fn peers(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter().filter(|candidate| candidate.hash != self.me)
    }

    /// Returns a candidate by the hash of its VM id.
    pub(super) fn get(&self, hash: u64) -> Option<&Candidate> {
        let found = self.candidates.binary_search_by_key(&hash, |candidate| candidate.hash).ok();
        found.map(|index| &self.candidates[index])
    }

    /// Returns whether a member owns flows now or will own them after joining.
    pub(super) fn owns(&self, vm: u64) -> bool {
        self.get(vm).is_some_and(|candidate| candidate.future_owner)
    }

    /// Returns whether a member has the same incarnation in both lists. A restarted member has lost
    /// its entries.
    pub(super) fn has_same_incarnation(&self, later: &Owners, vm: u64) -> bool {
        let incarnation = |owners: &Owners| owners.get(vm).map(|candidate| candidate.incarnation);
        incarnation(self).is_some_and(|before| incarnation(later) == Some(before))
    }

    /// Returns the hash of this VM's id.
    pub(super) fn me(&self) -> u64 {
        self.me
    }

    /// Returns the hashes of the two owners of a flow and the next candidate, best first, and 0
    /// where there is none. Eligible members rank before all others. Joining members, which may not
    /// have the generations yet, are ranked only if no member is eligible.
    pub(super) fn ranked(&self, flow: u64) -> [u64; MAX_RANKED] {
        let any_eligible = self.candidates.iter().any(|candidate| candidate.eligible);
        self.rank(flow, |candidate| {
            let is_joining = candidate.state == MemberState::Joining;
            (!is_joining || !any_eligible).then_some(candidate.eligible)
        })
    }

    /// Returns the hashes of the two owners that a flow will have after all joining members have
    /// joined.
    pub(super) fn future_owners(&self, flow: u64) -> [u64; 2] {
        let [first, second, _] =
            self.rank(flow, |candidate| candidate.future_owner.then_some(true));
        [first, second]
    }

    /// Returns the hash of the members that own flows now.
    pub(super) fn eligible_hash(&self) -> u64 {
        self.eligible_hash
    }

    /// Returns whether a member that owns flows here is missing from `later` or has restarted.
    pub(super) fn has_lost_owner(&self, later: &Owners) -> bool {
        let mut owners = self.candidates.iter().filter(|candidate| candidate.future_owner);
        owners.any(|owner| !self.has_same_incarnation(later, owner.hash))
    }

    fn rank(
        &self,
        flow: u64,
        preference: impl Fn(&Candidate) -> Option<bool>,
    ) -> [u64; MAX_RANKED] {
        let mut best = [(false, 0, 0); MAX_RANKED];
        for candidate in &self.candidates {
            let Some(preferred) = preference(candidate) else { continue };
            let mut entry = (preferred, mix(flow, candidate.hash).max(1), candidate.hash);
            for ranked in &mut best {
                if entry > *ranked {
                    std::mem::swap(&mut entry, ranked);
                }
            }
        }
        best.map(|(_, _, hash)| hash)
    }
}
