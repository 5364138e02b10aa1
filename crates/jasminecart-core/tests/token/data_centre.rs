//! A simulation of `Sharing` in the VMs of a data centre, with the store that they read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::process::{Introduction, Member, MemberState, Members, PeerAddress, VmHint};
use jasminecart_core::version::{
    EvacuationChange, Evacuations, Revision, Routes, SharedChanges, Sharing, SharingLimits,
    SharingMessage, SharingStep, Source, StoreRevision, TargetChange, TargetList, TargetRecord,
    TransferFailure, View,
};
use jasminecart_core::{Incarnation, Millis, Name, VmId};

use crate::support::{routes, target};

pub(crate) const TICK: Millis = Millis(100);
/// The time within which every VM has to apply new routes.
pub(crate) const APPLY_WITHIN: Millis = Millis(3_000);
pub(crate) const WATCH_WAIT: Millis = Millis(1_500);

pub(crate) struct Vm {
    pub(crate) sharing: Sharing,
    pub(crate) targets: TargetList,
    pub(crate) evacuations: Evacuations,
    pub(crate) routes: Option<Arc<Routes>>,
    /// Whether the store responds to this VM.
    pub(crate) reaches_store: bool,
    /// Whether the VM runs. Otherwise it neither sends nor receives.
    pub(crate) running: bool,
    pub(crate) watch_ends: Option<Millis>,
    /// Calls to the store.
    calls: u64,
}

/// The content of the store at an earlier time.
pub(crate) struct Backup {
    evacuations: Vec<EvacuationChange>,
    targets: Vec<TargetRecord>,
    routes: Arc<Routes>,
    number: u64,
}

/// Simulates the VMs of a data centre and the store. Each VM reads from the source that its `Sharing` selects.
pub(crate) struct DataCentre {
    pub(crate) now: Millis,
    pub(crate) vms: BTreeMap<VmId, Vm>,
    store: Vec<(StoreRevision, TargetChange)>,
    /// The history of the requested evacuations.
    evacuations: Vec<EvacuationChange>,
    /// The revision at which the store was last restored from a backup.
    restored_at: StoreRevision,
    pub(crate) routes: Arc<Routes>,
    messages: Vec<(VmId, VmId, SharingMessage)>,
    /// Drops every n-th message.
    pub(crate) drop_every: Option<usize>,
    sent: usize,
    /// How long a failed call takes, and the pauses before the next one of a VM that probes the store and of any
    /// other VM.
    pub(crate) failed_call: Millis,
    pub(crate) retry_pauses: (Millis, Millis),
    /// The time between two steps of the simulation, in which a message arrives.
    pub(crate) step: Millis,
}

impl DataCentre {
    pub(crate) fn new(count: usize) -> DataCentre {
        DataCentre::with_limits(count, SharingLimits::default())
    }

    pub(crate) fn with_limits(count: usize, limits: SharingLimits) -> DataCentre {
        let ids: Vec<VmId> = (0..count).map(|n| VmId::new("east", format!("vm-{n}"))).collect();
        let vms = ids.iter().map(|id| {
            let sharing = Sharing::new(id.clone(), limits);
            let vm = Vm {
                sharing,
                targets: TargetList::default(),
                evacuations: Evacuations::default(),
                routes: None,
                reaches_store: true,
                running: true,
                watch_ends: None,
                calls: 0,
            };
            (id.clone(), vm)
        });
        let mut centre = DataCentre {
            now: Millis(1_000),
            vms: vms.collect(),
            store: Vec::new(),
            evacuations: Vec::new(),
            restored_at: StoreRevision::NONE,
            routes: Arc::new(routes(1)),
            messages: Vec::new(),
            drop_every: None,
            sent: 0,
            failed_call: WATCH_WAIT + Millis(1_000),
            retry_pauses: (Millis::ZERO, Millis::ZERO),
            step: TICK,
        };
        centre.write(target("a1", "desk", "east", 0));
        centre.set_members();
        centre
    }

    pub(crate) fn set_members(&mut self) {
        let address: SocketAddr = "10.0.0.1:7000".parse().expect("an address");
        let address = PeerAddress { control: address, packets: address, requests: address };
        let members: Vec<Member> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.running)
            .map(|(id, _)| Member {
                vm: id.clone(),
                incarnation: Incarnation(1),
                state: MemberState::Active,
                size: 1,
                address,
                revision: Revision(0),
                heard_at: Millis::ZERO,
            })
            .collect();
        for (id, vm) in &mut self.vms {
            vm.sharing.set_members(&Members::new(id.clone(), members.clone()));
        }
    }

    pub(crate) fn revision(&self) -> StoreRevision {
        let targets = self.store.last().map_or(StoreRevision::NONE, |(revision, _)| *revision);
        let evacuations = self.evacuations.iter().map(EvacuationChange::revision).max();
        targets.max(self.routes.revision).max(self.restored_at).max(evacuations.unwrap_or_default())
    }

    fn next_revision(&self) -> StoreRevision {
        let last = self.revision();
        StoreRevision::new(last.epoch, last.number + 1)
    }

    /// Returns the content of the store, for [`DataCentre::restore`].
    pub(crate) fn backup(&self) -> Backup {
        Backup {
            evacuations: evacuations_in(&self.evacuations),
            targets: targets_in(&self.store),
            routes: self.routes.clone(),
            number: self.revision().number,
        }
    }

    /// Restores the store from a backup: later changes are lost, and their revisions are given out again.
    pub(crate) fn restore(&mut self, backup: Backup) {
        self.restored_at = StoreRevision::new(self.restored_at.epoch + 1, backup.number);
        let renumber = |revision: &mut StoreRevision| revision.epoch = self.restored_at.epoch;
        let mut routes = backup.routes.as_ref().clone();
        renumber(&mut routes.revision);
        self.routes = Arc::new(routes);
        let written = backup.targets.into_iter().map(|mut record| {
            renumber(&mut record.revision);
            (record.revision, TargetChange::Written(record))
        });
        self.store = written.collect();
        let requested = backup.evacuations.into_iter().map(|change| {
            let mut revision = change.revision();
            renumber(&mut revision);
            EvacuationChange::Requested { data_centre: change.data_centre().clone(), revision }
        });
        self.evacuations = requested.collect();
        for vm in self.vms.values_mut() {
            vm.watch_ends = None;
        }
    }

    pub(crate) fn write(&mut self, mut record: TargetRecord) {
        record.revision = self.next_revision();
        self.store.push((record.revision, TargetChange::Written(record)));
    }

    pub(crate) fn delete(&mut self, name: &str) {
        let revision = self.next_revision();
        self.store.push((
            revision,
            TargetChange::Deleted { name: Name::new(name), revision, lapsed: false },
        ));
    }

    /// Requests the evacuation of a data centre, or withdraws it.
    pub(crate) fn evacuate(&mut self, data_centre: &str, requested: bool) {
        let (data_centre, revision) = (Name::new(data_centre), self.next_revision());
        self.evacuations.push(if requested {
            EvacuationChange::Requested { data_centre, revision }
        } else {
            EvacuationChange::Withdrawn { data_centre, revision }
        });
    }

    /// Returns the data centres whose evacuation the store requests.
    pub(crate) fn requested(&self) -> BTreeSet<Name> {
        evacuations_in(&self.evacuations)
            .iter()
            .map(|change| change.data_centre().clone())
            .collect()
    }

    /// Replaces a VM by one that has no state.
    pub(crate) fn restart(&mut self, id: &VmId, limits: SharingLimits) {
        let vm = self.vms.get_mut(id).expect("a VM");
        vm.sharing = Sharing::new(id.clone(), limits);
        (vm.targets, vm.routes) = (TargetList::default(), None);
        (vm.evacuations, vm.watch_ends) = (Evacuations::default(), None);
        self.set_members();
    }

    pub(crate) fn configure(&mut self, change: impl FnOnce(&mut Routes)) {
        let mut routes = self.routes.as_ref().clone();
        routes.revision = self.next_revision();
        routes.version += 3;
        change(&mut routes);
        self.routes = Arc::new(routes);
    }

    /// Writes routes that the store has lost again, in the same version.
    pub(crate) fn configure_again(&mut self, lost: &Routes) {
        let revision = self.next_revision();
        self.routes = Arc::new(Routes { revision, ..lost.clone() });
    }

    pub(crate) fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += self.step;
            let ids: Vec<VmId> = self.vms.keys().cloned().collect();
            for id in &ids {
                self.step(id);
            }
            self.deliver();
        }
    }

    fn step(&mut self, id: &VmId) {
        let (now, head) = (self.now, self.revision());
        let vm = self.vms.get_mut(id).expect("a VM");
        if !vm.running {
            return;
        }
        vm.targets.set_confirmed(now - vm.sharing.age(now));
        vm.targets.expire(now);
        vm.evacuations.set_confirmed(now - vm.sharing.age(now));
        vm.evacuations.expire(now);
        let mut steps = vm.sharing.tick(now);
        let position = vm.sharing.position();
        let reads_all = position == StoreRevision::NONE || position.epoch < head.epoch;
        let ended = vm.watch_ends.is_none_or(|end| now >= end);
        match vm.sharing.source(now) {
            Source::Starting | Source::Peers => vm.watch_ends = None,
            Source::Reader | Source::Fallback if !vm.reaches_store => {
                if ended {
                    vm.calls += 1;
                    let (fast, slow) = self.retry_pauses;
                    let pause = if vm.sharing.probes_store() { fast } else { slow };
                    vm.watch_ends = Some(now + self.failed_call + pause);
                    if now > WATCH_WAIT {
                        steps.extend(vm.sharing.on_store_failure(now));
                    }
                }
            }
            Source::Reader | Source::Fallback => {
                if position < head || ended {
                    vm.calls += 1;
                    vm.watch_ends = Some(now + WATCH_WAIT);
                    if reads_all {
                        let requested = evacuations_in(&self.evacuations);
                        vm.evacuations.replace(now, requested, head);
                        vm.targets.replace(now, targets_in(&self.store), head);
                    } else {
                        let newer = self.store.iter().filter(|(revision, _)| *revision > position);
                        for (_, change) in newer {
                            vm.targets.apply(now, change.clone());
                        }
                        let newer = self.evacuations.iter();
                        for change in newer.filter(|change| change.revision() > position) {
                            vm.evacuations.apply(now, change.clone());
                        }
                    }
                    if vm.routes.as_ref().is_none_or(|routes| self.routes.supersede(routes)) {
                        vm.routes = Some(self.routes.clone());
                    }
                    let view = View {
                        evacuations: &vm.evacuations,
                        targets: &vm.targets,
                        routes: vm.routes.as_ref(),
                    };
                    let changed = position < head;
                    steps.extend(vm.sharing.on_store_response(now, head, changed, view));
                }
            }
        }
        self.execute(id, steps);
    }

    pub(crate) fn execute(&mut self, id: &VmId, steps: Vec<SharingStep>) {
        for step in steps {
            match step {
                SharingStep::Message { to, message } => {
                    for to in to {
                        self.sent += 1;
                        if self.drop_every.is_none_or(|every| !self.sent.is_multiple_of(every)) {
                            self.messages.push((id.clone(), to, message.clone()));
                        }
                    }
                }
                SharingStep::Apply(changes) => self.apply(id, changes),
                SharingStep::Fetch { from, after } => self.transfer(id, &from, after),
            }
        }
    }

    /// Simulates a transfer over a stream, which takes no time.
    fn transfer(&mut self, to: &VmId, from: &VmId, after: StoreRevision) {
        let now = self.now;
        let source = self.vms.get_mut(from).filter(|vm| vm.running);
        let response = source.map(|vm| {
            let view = View {
                evacuations: &vm.evacuations,
                targets: &vm.targets,
                routes: vm.routes.as_ref(),
            };
            vm.sharing.on_fetch(now, to, after, view)
        });
        let vm = self.vms.get_mut(to).expect("a VM");
        let view =
            View { evacuations: &vm.evacuations, targets: &vm.targets, routes: vm.routes.as_ref() };
        let steps = match response {
            Some(message) => vm.sharing.on_transfer(now, from, message, view),
            None => vm.sharing.on_transfer_failure(now, from, TransferFailure::Failed),
        };
        self.execute(to, steps);
    }

    fn apply(&mut self, id: &VmId, changes: SharedChanges) {
        let now = self.now;
        let vm = self.vms.get_mut(id).expect("a VM");
        if changes.complete {
            vm.evacuations.replace(now, changes.evacuations, changes.upto);
            let records = changes.targets.into_iter().filter_map(TargetChange::into_written);
            vm.targets.replace(now, records.collect(), changes.upto);
        } else {
            for change in changes.evacuations {
                vm.evacuations.apply(now, change);
            }
            for change in changes.targets {
                vm.targets.apply(now, change);
            }
        }
        if let Some(routes) = changes.routes {
            assert!(
                vm.routes.as_ref().is_none_or(|current| routes.supersede(current)),
                "an older revision of the routes was applied"
            );
            vm.routes = Some(routes);
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.messages.pop() {
            let now = self.now;
            let Some(vm) = self.vms.get_mut(&to).filter(|vm| vm.running) else { continue };
            let view = View {
                evacuations: &vm.evacuations,
                targets: &vm.targets,
                routes: vm.routes.as_ref(),
            };
            let steps = vm.sharing.on_message(now, &from, message, view);
            self.execute(&to, steps);
        }
    }

    pub(crate) fn readers(&mut self) -> Vec<VmId> {
        let now = self.now;
        let reading = |vm: &mut Vm| vm.running && vm.sharing.source(now) == Source::Reader;
        self.vms.iter_mut().filter_map(|(id, vm)| reading(vm).then(|| id.clone())).collect()
    }

    pub(crate) fn calls(&self) -> u64 {
        self.vms.values().map(|vm| vm.calls).sum()
    }

    /// Asserts that the view of every running VM equals the content of the store.
    pub(crate) fn assert_up_to_date(&self) {
        let mut expected = TargetList::default();
        for (_, change) in &self.store {
            expected.apply(Millis::ZERO, change.clone());
        }
        let usable = |list: &TargetList| -> Vec<Name> {
            let usable = list.iter().filter(|target| target.accepts_flows());
            usable.map(|target| target.record.name.clone()).collect()
        };
        for (id, vm) in self.vms.iter().filter(|(_, vm)| vm.running) {
            assert_eq!(usable(&vm.targets), usable(&expected), "targets of {id}");
            assert_eq!(evacuated(vm), self.requested(), "evacuations of {id}");
            let routes = vm.routes.as_ref().expect("routes");
            assert_eq!(routes.by_address, self.routes.by_address, "routes of {id}");
            assert_eq!(routes.services, self.routes.services, "services of {id}");
            assert_eq!(routes.revision, self.routes.revision, "revision of {id}");
        }
    }
}

/// Returns the data centres that a VM takes as evacuated.
pub(crate) fn evacuated(vm: &Vm) -> BTreeSet<Name> {
    let known = vm.evacuations.iter().filter(|(_, evacuation)| evacuation.is_in_force());
    known.map(|(data_centre, _)| data_centre.clone()).collect()
}

/// Returns the requests that are in force after some changes.
fn evacuations_in(changes: &[EvacuationChange]) -> Vec<EvacuationChange> {
    let mut latest: BTreeMap<&Name, &EvacuationChange> = BTreeMap::new();
    for change in changes {
        latest.insert(change.data_centre(), change);
    }
    let requested =
        |change: &&EvacuationChange| matches!(change, EvacuationChange::Requested { .. });
    latest.into_values().filter(requested).cloned().collect()
}

/// Returns the records of the targets that are registered after some changes.
fn targets_in(changes: &[(StoreRevision, TargetChange)]) -> Vec<TargetRecord> {
    let mut targets: BTreeMap<&Name, &TargetChange> = BTreeMap::new();
    for (_, change) in changes {
        targets.insert(change.name(), change);
    }
    targets.into_values().cloned().filter_map(TargetChange::into_written).collect()
}

pub(crate) fn introduction(vm: &VmId) -> Introduction {
    let address: SocketAddr = "10.0.0.1:7000".parse().expect("an address");
    let address = PeerAddress { control: address, packets: address, requests: address };
    Introduction { hint: VmHint { vm: vm.clone(), address, leaving: false }, size: 1, loaded: true }
}
