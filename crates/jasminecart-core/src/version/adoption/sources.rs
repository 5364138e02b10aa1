//! The VMs that take part in adoption, and the revisions they have.

use std::collections::{BTreeMap, BTreeSet};

use super::refused::Refused;
use crate::names::{Incarnation, VmId};
use crate::process::{Member, MemberState, Members, rendezvous};
use crate::time::Millis;
use crate::version::document::Revision;

/// The most VMs outside of the member list whose revisions are noted.
const MAX_SOURCES: usize = 2_048;

/// The VMs known to adoption.
#[derive(Debug)]
pub(super) struct Sources {
    me: VmId,
    previous: Option<Members>,
    /// The live members of the data centre that are not leaving, and this VM.
    staying: Vec<VmId>,
    /// The same VMs by their rank for watching the platform.
    ranked: Vec<VmId>,
    /// The reported revisions, with the process that reported them as far as it is known.
    revisions: BTreeMap<VmId, (Incarnation, Revision)>,
}

impl Sources {
    pub(super) fn new(me: VmId) -> Sources {
        Sources {
            previous: None,
            staying: vec![me.clone()],
            ranked: vec![me.clone()],
            me,
            revisions: BTreeMap::new(),
        }
    }

    pub(super) fn set_members(&mut self, members: &Members) {
        // Most lists differ from the previous one only in when a member was heard.
        let known = self.previous.as_ref();
        if known.is_some_and(|known| {
            is_same(&known.list, &members.list) && is_same(&known.remote, &members.remote)
        }) {
            return;
        }
        self.previous = Some(members.clone());
        let staying = members
            .list
            .iter()
            .filter(|member| member.is_reachable() && member.state != MemberState::Leaving);
        let others = staying.map(|member| &member.vm).filter(|vm| **vm != self.me);
        let staying: Vec<&VmId> = others.chain([&self.me]).collect();
        if !staying.iter().copied().eq(&self.staying) {
            self.staying = staying.into_iter().cloned().collect();
            let ranked = rendezvous::ranked("watch", &self.staying);
            self.ranked = ranked.into_iter().cloned().collect();
        }
        // VMs elsewhere count when they talk to this VM; the other ones are left to those they talk to.
        let remote = members.remote.iter().filter(|member| member.heard_at > Millis::ZERO);
        let known: BTreeSet<&VmId> =
            members.peers().chain(remote.clone()).map(|member| &member.vm).collect();
        self.revisions.retain(|vm, _| known.contains(vm));
        for member in members.peers().chain(remote) {
            self.note(&member.vm, member.incarnation, member.revision);
        }
    }

    /// Notes what the member list tells of a VM. A new process may have less than the previous one.
    fn note(&mut self, vm: &VmId, incarnation: Incarnation, revision: Revision) {
        let known = self.revisions.get(vm).filter(|(process, _)| *process >= incarnation);
        let known = known.map(|(_, revision)| *revision).unwrap_or_default();
        self.insert(vm, incarnation, revision.max(known));
    }

    /// Notes what a VM itself reported.
    pub(super) fn set(&mut self, vm: &VmId, revision: Revision) {
        let incarnation = self.revisions.get(vm).map(|(incarnation, _)| *incarnation);
        self.insert(vm, incarnation.unwrap_or_default(), revision);
    }

    fn insert(&mut self, vm: &VmId, incarnation: Incarnation, revision: Revision) {
        let known = self.revisions.contains_key(vm);
        if *vm != self.me && (known || self.revisions.len() < MAX_SOURCES) {
            self.revisions.insert(vm.clone(), (incarnation, revision));
        }
    }

    /// Forgets the revision of a VM that did not deliver it, until it reports one again.
    pub(super) fn forget(&mut self, vm: &VmId) {
        self.revisions.remove(vm);
        self.previous = None;
    }

    /// Returns the highest revision above the one in force that was not refused, and the VMs that have it,
    /// those of this data centre if any.
    pub(super) fn newer(
        &self,
        in_force: Revision,
        refused: &Refused,
    ) -> Option<(Revision, Vec<&VmId>)> {
        let useful = |revision: &Revision| *revision > in_force && !refused.contains(*revision);
        let revisions = self.revisions.iter().map(|(vm, (_, revision))| (vm, *revision));
        let highest = revisions.clone().map(|(_, revision)| revision).filter(useful).max()?;
        let (local, remote): (Vec<&VmId>, Vec<&VmId>) = revisions
            .filter(|(_, revision)| *revision == highest)
            .map(|(vm, _)| vm)
            .partition(|vm| vm.data_centre == self.me.data_centre);
        Some((highest, if local.is_empty() { remote } else { local }))
    }

    /// Returns the other members of the data centre.
    pub(super) fn peers(&self) -> Vec<VmId> {
        self.ranked.iter().filter(|vm| **vm != self.me).cloned().collect()
    }

    pub(super) fn count(&self) -> usize {
        self.ranked.len()
    }

    /// Returns the place of this VM in the ranking for watching the platform.
    pub(super) fn own_rank(&self) -> usize {
        self.ranked.iter().position(|vm| *vm == self.me).unwrap_or_default()
    }

    /// Returns a VM after the watchers in the ranking, in turn.
    pub(super) fn backup_watcher(&self, watchers: usize, place: usize) -> Option<&VmId> {
        let others = self.ranked.get(watchers..).filter(|others| !others.is_empty())?;
        others.get(place % others.len()).filter(|vm| **vm != self.me)
    }
}

/// Tells whether two lists are equal in what adoption uses.
fn is_same(one: &[Member], other: &[Member]) -> bool {
    let used = |member: &Member| {
        let heard = member.heard_at > Millis::ZERO;
        (member.incarnation, member.state, member.revision, heard)
    };
    let same = |(a, b): (&Member, &Member)| used(a) == used(b) && a.vm == b.vm;
    one.len() == other.len() && one.iter().zip(other).all(same)
}
