//! The owners of flows: rendezvous hashing over the members of the data centre.

use std::net::SocketAddr;

use super::hash::{hash, mix, vm_hash};
use crate::names::{Incarnation, VmId};
use crate::process::{Member, MemberState, Members};

/// Owners and further candidates that a packet may visit, one for each hop.
pub(super) const RANKS: usize = 3;

/// A member that packets can be forwarded to.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) vm: VmId,
    pub(super) hash: u64,
    pub(super) address: SocketAddr,
    pub(super) state: MemberState,
    incarnation: Incarnation,
    eligible: bool,
    /// Whether the member owns flows once it has joined.
    future: bool,
}

/// The members that are not dead, and the ranking of flows over them.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    candidates: Vec<Candidate>,
    me: u64,
    epoch: u64,
    eligible_hash: u64,
}

impl Owners {
    /// Derives the candidates from a list of members. `leaving` states that this VM is stopping even if
    /// the list does not say so yet.
    pub(super) fn new(members: &Members, leaving: bool) -> Owners {
        let reachable = members.list.iter().filter(|member| member.is_reachable());
        let candidate = |member: &Member| {
            let stays = !(leaving && member.vm == members.me);
            let eligible = member.is_eligible() && stays;
            Candidate {
                vm: member.vm.clone(),
                hash: vm_hash(&member.vm),
                address: member.address.packets,
                state: member.state,
                incarnation: member.incarnation,
                eligible,
                future: stays && (eligible || member.state == MemberState::Joining),
            }
        };
        let mut candidates: Vec<Candidate> = reachable.map(candidate).collect();
        candidates.sort_by_key(|candidate| candidate.hash);
        let digest = |keep: fn(&Candidate) -> bool| {
            let kept = candidates.iter().filter(|candidate| keep(candidate));
            hash(kept.map(|kept| (kept.hash, kept.incarnation)).collect::<Vec<_>>())
        };
        let epoch = digest(|candidate| candidate.future);
        let eligible_hash = digest(|candidate| candidate.eligible);
        Owners { epoch, eligible_hash, candidates, me: vm_hash(&members.me) }
    }

    /// Returns the hash of the members that own flows now or after joining.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the other members that are not dead.
    pub(super) fn peers(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter().filter(|candidate| candidate.hash != self.me)
    }

    /// Returns a candidate by the hash of its identity.
    pub(super) fn get(&self, hash: u64) -> Option<&Candidate> {
        let found = self.candidates.binary_search_by_key(&hash, |candidate| candidate.hash).ok();
        found.map(|index| &self.candidates[index])
    }

    /// Tells whether a member owns flows now or after joining.
    pub(super) fn owns(&self, vm: u64) -> bool {
        self.get(vm).is_some_and(|candidate| candidate.future)
    }

    /// Tells whether a member is the same process in both lists. A restarted one has lost its entries.
    pub(super) fn is_same_process(&self, later: &Owners, vm: u64) -> bool {
        let incarnation = |owners: &Owners| owners.get(vm).map(|candidate| candidate.incarnation);
        incarnation(self).is_some_and(|before| incarnation(later) == Some(before))
    }

    /// Returns the hash of this VM.
    pub(super) fn me(&self) -> u64 {
        self.me
    }

    /// Returns the owners of a flow and the next candidate, best first, as hashes; 0 where there is none.
    /// Members that are not eligible come after all that are. Joining members, which may not know the
    /// generations yet, count only where no member is eligible.
    pub(super) fn ranked(&self, flow: u64) -> [u64; RANKS] {
        let started = self.candidates.iter().any(|candidate| candidate.eligible);
        self.rank(flow, |candidate| {
            let joins = candidate.state == MemberState::Joining;
            (!joins || !started).then_some(candidate.eligible)
        })
    }

    /// Returns the two owners of a flow after all joining members have joined.
    pub(super) fn future(&self, flow: u64) -> [u64; 2] {
        let [first, second, _] = self.rank(flow, |candidate| candidate.future.then_some(true));
        [first, second]
    }

    /// Returns the hash of the members that own flows now.
    pub(super) fn eligible_hash(&self) -> u64 {
        self.eligible_hash
    }

    /// Tells whether a member that owned flows is gone without a planned stop.
    pub(super) fn lost_owner(&self, later: &Owners) -> bool {
        let mut owners = self.candidates.iter().filter(|candidate| candidate.future);
        owners.any(|owner| !self.is_same_process(later, owner.hash))
    }

    fn rank(&self, flow: u64, class: impl Fn(&Candidate) -> Option<bool>) -> [u64; RANKS] {
        let mut best = [(false, 0, 0); RANKS];
        for candidate in &self.candidates {
            let Some(preferred) = class(candidate) else { continue };
            let mut entry = (preferred, mix(flow, candidate.hash).max(1), candidate.hash);
            for place in &mut best {
                if entry > *place {
                    std::mem::swap(&mut entry, place);
                }
            }
        }
        best.map(|(_, _, hash)| hash)
    }
}
