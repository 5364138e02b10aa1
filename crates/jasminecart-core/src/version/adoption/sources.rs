//! The VMs that documents can be fetched from, and the revisions they reported.

use std::collections::{BTreeMap, BTreeSet};

use super::refused::RefusedRevisions;
use crate::names::{Incarnation, VmId};
use crate::process::{Member, MemberState, Members, rendezvous};
use crate::time::Millis;
use crate::version::document::Revision;

/// The largest number of VMs whose revisions are recorded. It bounds the reports of VMs that are
/// not in the member list.
const MAX_SOURCES: usize = 2_048;

/// The known VMs with their revisions and ranks.
#[derive(Debug)]
pub(super) struct Sources {
    me: VmId,
    previous: Option<Members>,
    /// The reachable members of the data centre that are not leaving, and this VM.
    candidates: Vec<VmId>,
    /// The same VMs, ordered by rank for watching the platform.
    ranked: Vec<VmId>,
    /// The reported revisions, with the incarnation that reported them if it is known.
    revisions: BTreeMap<VmId, (Incarnation, Revision)>,
}

impl Sources {
    pub(super) fn new(me: VmId) -> Sources {
        Sources {
            previous: None,
            candidates: vec![me.clone()],
            ranked: vec![me.clone()],
            me,
            revisions: BTreeMap::new(),
        }
    }

    pub(super) fn set_members(&mut self, members: &Members) {
        // Most lists differ from the previous one only in the time of the last contact with a
        // member.
        let known = self.previous.as_ref();
        if known.is_some_and(|known| {
            is_same(&known.list, &members.list) && is_same(&known.remote, &members.remote)
        }) {
            return;
        }
        self.previous = Some(members.clone());
        let candidates = members
            .list
            .iter()
            .filter(|member| member.is_reachable() && member.state != MemberState::Leaving);
        let others = candidates.map(|member| &member.vm).filter(|vm| **vm != self.me);
        let candidates: Vec<&VmId> = others.chain([&self.me]).collect();
        if !candidates.iter().copied().eq(&self.candidates) {
            self.candidates = candidates.into_iter().cloned().collect();
            let ranked = rendezvous::ranked("watch", &self.candidates);
            self.ranked = ranked.into_iter().cloned().collect();
        }
        // VMs of other data centres are used only if this VM has contact with them; the others are
        // left to the VMs that have contact with them.
        let remote = members.remote.iter().filter(|member| member.heard_at > Millis::ZERO);
        let known: BTreeSet<&VmId> =
            members.peers().chain(remote.clone()).map(|member| &member.vm).collect();
        self.revisions.retain(|vm, _| known.contains(vm));
        for member in members.peers().chain(remote) {
            self.record_member(&member.vm, member.incarnation, member.revision);
        }
    }

    /// Records the revision of a VM from the member list. A new incarnation may have a lower
    /// revision than the previous one.
    fn record_member(&mut self, vm: &VmId, incarnation: Incarnation, revision: Revision) {
        let known = self.revisions.get(vm).filter(|(process, _)| *process >= incarnation);
        let known = known.map(|(_, revision)| *revision).unwrap_or_default();
        self.insert(vm, incarnation, revision.max(known));
    }

    /// Records the revision that a VM itself reported.
    pub(super) fn record_report(&mut self, vm: &VmId, revision: Revision) {
        let incarnation = self.revisions.get(vm).map(|(incarnation, _)| *incarnation);
        self.insert(vm, incarnation.unwrap_or_default(), revision);
    }

    fn insert(&mut self, vm: &VmId, incarnation: Incarnation, revision: Revision) {
        let known = self.revisions.contains_key(vm);
        if *vm != self.me && (known || self.revisions.len() < MAX_SOURCES) {
            self.revisions.insert(vm.clone(), (incarnation, revision));
        }
    }

    /// Removes the revision of a VM that did not deliver it, until the VM reports a revision again.
    pub(super) fn remove_revision(&mut self, vm: &VmId) {
        self.revisions.remove(vm);
        self.previous = None;
    }

    /// Returns the highest revision above `current` that was not refused, and the VMs that have it.
    /// VMs of other data centres are returned only if no VM of this one has it.
    pub(super) fn newer(
        &self,
        current: Revision,
        refused: &RefusedRevisions,
    ) -> Option<(Revision, Vec<&VmId>)> {
        let useful = |revision: &Revision| *revision > current && !refused.contains(*revision);
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

    /// Returns the rank of this VM for watching the platform, starting at 0.
    pub(super) fn own_rank(&self) -> usize {
        self.ranked.iter().position(|vm| *vm == self.me).unwrap_or_default()
    }

    /// Returns a VM that ranks after the watchers. `index` wraps around.
    pub(super) fn backup_watcher(&self, watchers: usize, index: usize) -> Option<&VmId> {
        let others = self.ranked.get(watchers..).filter(|others| !others.is_empty())?;
        others.get(index % others.len()).filter(|vm| **vm != self.me)
    }
}

/// Returns whether two lists are equal in the fields that adoption uses.
fn is_same(one: &[Member], other: &[Member]) -> bool {
    let used = |member: &Member| {
        let has_contact = member.heard_at > Millis::ZERO;
        (member.incarnation, member.state, member.revision, has_contact)
    };
    let same = |(a, b): (&Member, &Member)| used(a) == used(b) && a.vm == b.vm;
    one.len() == other.len() && one.iter().zip(other).all(same)
}
