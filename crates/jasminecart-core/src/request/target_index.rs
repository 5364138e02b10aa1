//! Targets by service and the home VM of each target, derived from the document and the members.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use super::types::TargetTag;
use crate::names::{Name, VmId};
use crate::process::{Member, Members};
use crate::version::{Document, Target, TargetState};

/// The properties of a target that dispatch needs.
#[derive(Clone, Debug)]
pub(super) struct TargetInfo {
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) services: Vec<Name>,
    pub(super) active: bool,
}

/// The targets that this VM uses.
#[derive(Debug, Default)]
pub(super) struct TargetIndex {
    targets: BTreeMap<Name, TargetInfo>,
    by_service: BTreeMap<Name, Arc<[Name]>>,
    by_tag: BTreeMap<TargetTag, Option<Name>>,
    homes: BTreeMap<Name, VmId>,
}

impl TargetIndex {
    /// Replaces the targets with those of a document that are in the data centre of this VM or
    /// serve it from another one.
    pub(super) fn set_document(&mut self, document: &Document, me: &VmId) {
        self.targets.clear();
        self.by_service.clear();
        self.by_tag.clear();
        for (service, candidates) in targets_by_service(document, &me.data_centre) {
            for target in &candidates {
                let info = TargetInfo {
                    address: target.address,
                    slots: target.slots,
                    services: target.services.clone(),
                    active: target.state == TargetState::Active,
                };
                self.targets.insert(target.name.clone(), info);
            }
            let active = candidates.iter().filter(|target| target.state == TargetState::Active);
            let names = active.map(|target| target.name.clone()).collect();
            self.by_service.insert(service.clone(), names);
        }
        for target in self.targets.keys() {
            let same_tag = self.by_tag.entry(TargetTag::of(target));
            same_tag.and_modify(|name| *name = None).or_insert_with(|| Some(target.clone()));
        }
    }

    /// Recomputes the home of each target, and returns the targets whose home changed.
    pub(super) fn set_homes(&mut self, members: &Members) -> Vec<Name> {
        let eligible: Vec<&Member> = members.eligible().collect();
        let mut homes = BTreeMap::new();
        for target in self.by_tag.values().flatten() {
            let home = eligible.iter().max_by(|a, b| {
                let (left, right) = (rendezvous_score(a, target), rendezvous_score(b, target));
                left.total_cmp(&right).then_with(|| a.vm.cmp(&b.vm))
            });
            if let Some(home) = home {
                homes.insert(target.clone(), home.vm.clone());
            }
        }
        let previous = std::mem::replace(&mut self.homes, homes);
        let changed = |target: &&Name| previous.get(*target) != self.homes.get(*target);
        self.targets.keys().filter(changed).cloned().collect()
    }

    pub(super) fn target(&self, target: &Name) -> Option<&TargetInfo> {
        self.targets.get(target)
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = (&Name, &TargetInfo)> {
        self.targets.iter()
    }

    /// Returns the active targets of a service, or `None` if the service is unknown.
    pub(super) fn active(&self, service: &Name) -> Option<Arc<[Name]>> {
        self.by_service.get(service).cloned()
    }

    pub(super) fn services(&self) -> impl Iterator<Item = &Arc<[Name]>> {
        self.by_service.values()
    }

    pub(super) fn home(&self, target: &Name) -> Option<&VmId> {
        self.homes.get(target)
    }

    pub(super) fn by_tag(&self, tag: TargetTag) -> Option<Name> {
        self.by_tag.get(&tag).cloned().flatten()
    }
}

/// Returns the targets of each service that this VM uses: those of its data centre, or all if none
/// of those is active.
fn targets_by_service<'a>(
    document: &'a Document,
    data_centre: &Name,
) -> BTreeMap<&'a Name, Vec<&'a Target>> {
    let mut all: BTreeMap<&Name, Vec<&Target>> = BTreeMap::new();
    for target in document.targets().values() {
        for service in &target.services {
            all.entry(service).or_default().push(target);
        }
    }
    for targets in all.values_mut() {
        let usable = |target: &&Target| {
            target.data_centre == *data_centre && target.state == TargetState::Active
        };
        if targets.iter().any(usable) {
            targets.retain(|target| target.data_centre == *data_centre);
        }
    }
    all
}

/// Returns the weighted rendezvous score of a VM for a target: the probability that it is the
/// highest is proportional to the size of the VM.
fn rendezvous_score(member: &Member, target: &Name) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(format!("{}/{target}", member.vm).as_bytes());
    let uniform = ((hasher.finish() >> 11) as f64 + 1.0) / ((1_u64 << 53) as f64 + 1.0);
    f64::from(member.size.max(1)) / -uniform.ln()
}
