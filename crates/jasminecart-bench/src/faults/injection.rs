//! Injection of faults and of the changes that operators make.

use std::collections::BTreeMap;

use jasminecart_core::process::VmHint;
use jasminecart_core::version::TargetState;
use jasminecart_core::{Millis, Name};
use rand::RngExt;

use super::client::ClientState;
use super::network::Network;
use super::platform::Platform;
use super::requests::Submission;
use super::vm::Vm;
use super::world::{DATA_CENTRES, World};

/// The time after the end of a fault within which views may still differ, so that no bounds are
/// asserted.
const RECOVERY: Millis = Millis::from_secs(20);
/// No VM is killed, stopped or paused while its data centre has at most this many running VMs.
const MIN_RUNNING: usize = 2;

type Fault = fn(&mut World);

/// The faults that are in effect, each with the time of its end.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    partitioned_from_platform: BTreeMap<usize, Millis>,
    /// Until when each VM may not have received a change, because of a fault of this VM.
    affected: BTreeMap<usize, Millis>,
    lossy_until: Millis,
    /// The same for all VMs, because of a fault of the network or the platform.
    affected_until: Millis,
    stale_list_until: Millis,
    stale_list: Vec<VmHint>,
}

impl ActiveFaults {
    /// Returns whether a VM can't reach the platform.
    pub(super) fn is_partitioned_from_platform(&self, vm: usize, now: Millis) -> bool {
        self.partitioned_from_platform.get(&vm).is_some_and(|until| now < *until)
    }

    /// Returns the time until which a VM may not have been able to receive a change.
    pub(super) fn affected_until(&self, vm: usize) -> Millis {
        self.affected.get(&vm).copied().unwrap_or_default().max(self.affected_until)
    }

    /// Returns the platform's list of VMs, which is stale or empty during a fault of the list.
    pub(super) fn vm_list(&self, vms: &[Vm]) -> Vec<VmHint> {
        if self.stale_list_until > Millis::ZERO {
            return self.stale_list.clone();
        }
        vms.iter().filter(|vm| vm.process.is_some()).map(Vm::hint).collect()
    }

    /// Returns whether no fault, in effect or ended within [`RECOVERY`], can keep a new revision
    /// from a VM.
    pub(super) fn is_fault_free(
        &self,
        now: Millis,
        platform: &Platform,
        network: &Network,
        vms: &[Vm],
    ) -> bool {
        let paused =
            vms.iter().any(|vm| vm.paused_until + RECOVERY > now && vm.paused_until.get() > 0);
        let partitioned =
            self.partitioned_from_platform.values().any(|until| *until + RECOVERY > now);
        let platform_ok =
            platform.down_until + RECOVERY < now && platform.stale_until + RECOVERY < now;
        let network_ok = network.last_cut_end + RECOVERY < now && self.lossy_until + RECOVERY < now;
        platform_ok && network_ok && !paused && !partitioned
    }

    fn mark_affected(&mut self, vm: usize, until: Millis) {
        let until = until + RECOVERY;
        let entry = self.affected.entry(vm).or_default();
        *entry = until.max(*entry);
    }

    fn mark_all_affected(&mut self, until: Millis) {
        self.affected_until = self.affected_until.max(until + RECOVERY);
    }
}

impl World {
    /// Injects each kind of fault with its probability per step. The probabilities make faults
    /// overlap often.
    pub(super) fn inject_faults(&mut self) {
        self.end_loss();
        let faults: [(f64, Fault); 12] = [
            (0.004, World::publish_change),
            (0.0007, World::kill_vm),
            (0.0015, World::stop_vm),
            (0.0007, World::pause_vm),
            (0.0007, World::platform_outage),
            (0.0007, World::platform_stale),
            (0.001, World::partition_vm_from_platform),
            (0.0004, World::cut_link),
            (0.0003, World::partition_data_centres),
            (0.0007, World::start_loss),
            (0.006, World::inject_target_fault),
            (0.0005, World::stale_vm_list),
        ];
        for (rate, fault) in faults {
            if self.rng.random_bool(rate) {
                fault(self);
            }
        }
    }

    /// Ends the faults and repeated submissions that would keep requests from ending while the run
    /// settles.
    pub(super) fn end_faults(&mut self) {
        self.network.loss = 0.0;
        self.network.duplication = 0.0;
        self.platform.down_until = self.platform.down_until.min(self.now);
        self.platform.stale_until = self.platform.stale_until.min(self.now);
        self.active_faults.stale_list_until = Millis::ZERO;
        for request in self.clients.requests.values_mut() {
            request.repeat_at = None;
        }
    }

    fn random_time(&mut self, from: u64, to: u64) -> Millis {
        self.now + Millis(self.rng.random_range(from..to))
    }

    fn publish_change(&mut self) {
        if self.now < self.platform.down_until {
            return;
        }
        self.verdict.count_fault(self.now, "document published");
        let names: Vec<Name> = self.platform.targets.keys().cloned().collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let weight = self.rng.random_range(1..=4);
        let change = self.rng.random_range(0..3);
        let alternatives = self.count_alternatives(&name);
        let now = self.now;
        let Some(target) = self.platform.targets.get_mut(&name) else { return };
        match (change, target.state) {
            (0, _) => target.weight = weight,
            (_, TargetState::Active) if alternatives > 0 => {
                target.state = TargetState::Draining;
                target.since = now;
            }
            (_, TargetState::Draining) => {
                target.state = TargetState::Active;
                target.since = now;
            }
            _ => {}
        }
        self.platform.publish(now);
    }

    fn count_alternatives(&self, name: &Name) -> usize {
        let Some(target) = self.platform.targets.get(name) else { return 0 };
        let is_alternative = |(other, published): &(&Name, &super::platform::PublishedTarget)| {
            *other != name
                && published.service == target.service
                && published.data_centre == target.data_centre
                && published.state == TargetState::Active
        };
        self.platform.targets.iter().filter(is_alternative).count()
    }

    fn random_running_vm(&mut self) -> Option<usize> {
        let vm = self.rng.random_range(0..self.vms.len());
        let data_centre = vm % DATA_CENTRES.len();
        let usable = |index: &usize| {
            index % DATA_CENTRES.len() == data_centre
                && self.vms[*index]
                    .process
                    .as_ref()
                    .is_some_and(|process| process.ready && process.leaving_since.is_none())
        };
        let running = (0..self.vms.len()).filter(usable).count();
        (usable(&vm) && running > MIN_RUNNING).then_some(vm)
    }

    fn kill_vm(&mut self) {
        let Some(vm) = self.random_running_vm() else { return };
        self.verdict.count_fault(self.now, "VM killed");
        self.verdict.record_event(self.now, format!("vm-{vm} is killed"));
        self.flows.record_loss(vm, self.now, self.now);
        self.vms[vm].died_at = Some(self.now);
        let process = self.process_id(vm);
        self.end_process(vm);
        self.fail_requests_at(&process);
    }

    // The connections of the clients of a killed VM break, so the outcome of their requests is
    // unknown.
    fn fail_requests_at(&mut self, process: &super::network::ProcessId) {
        let waiting: Vec<_> = self
            .clients
            .requests
            .iter()
            .filter(|(_, request)| {
                request.state == ClientState::Waiting && request.at.as_ref() == Some(process)
            })
            .map(|(id, request)| Submission { request: *id, number: request.submissions })
            .collect();
        for id in waiting {
            self.end_for_client(id, ClientState::Unknown);
        }
    }

    /// Ends the process on a VM and schedules the start of another one.
    pub(super) fn end_process(&mut self, vm: usize) {
        let restart_at = self.random_time(500, 40_000);
        let vm = &mut self.vms[vm];
        vm.process = None;
        vm.events.clear();
        vm.packets.clear();
        vm.paused_until = Millis::ZERO;
        vm.restart_at = Some(restart_at);
    }

    fn stop_vm(&mut self) {
        let Some(vm) = self.random_running_vm() else { return };
        let now = self.now;
        if !self.vms[vm].is_running(now) {
            return;
        }
        self.verdict.count_fault(now, "VM stopped");
        self.verdict.record_event(now, format!("vm-{vm} starts to stop"));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.leaving_since = Some(now);
        let events = process.membership.leave(now);
        let outgoing = process.router.leave(now);
        let actions = process.dispatcher.leave(now);
        self.apply_events(vm, events);
        self.send_all(vm, outgoing);
        self.apply_actions(vm, actions);
    }

    fn pause_vm(&mut self) {
        let Some(vm) = self.random_running_vm() else { return };
        self.verdict.count_fault(self.now, "VM paused");
        let until = self.random_time(1_000, 30_000);
        self.verdict.record_event(self.now, format!("vm-{vm} is paused until {}", until.get()));
        self.vms[vm].paused_until = until;
        self.flows.record_loss(vm, self.now, until);
        self.active_faults.mark_affected(vm, until);
    }

    fn platform_outage(&mut self) {
        self.verdict.count_fault(self.now, "platform down");
        let until = self.random_time(5_000, 120_000);
        self.platform.down_until = until;
        self.active_faults.mark_all_affected(until);
    }

    fn platform_stale(&mut self) {
        self.verdict.count_fault(self.now, "platform stale");
        let until = self.random_time(5_000, 60_000);
        self.platform.stale_until = until;
        self.platform.lag = self.rng.random_range(1..4);
        self.active_faults.mark_all_affected(until);
    }

    fn partition_vm_from_platform(&mut self) {
        self.verdict.count_fault(self.now, "VM cut from platform");
        let vm = self.rng.random_range(0..self.vms.len());
        let until = self.random_time(5_000, 60_000);
        self.active_faults.partitioned_from_platform.insert(vm, until);
        self.active_faults.mark_affected(vm, until);
    }

    fn cut_link(&mut self) {
        let from = self.rng.random_range(0..self.vms.len());
        let to = self.rng.random_range(0..self.vms.len());
        let until = self.random_time(2_000, 40_000);
        let both = self.rng.random_bool(0.5);
        self.verdict.count_fault(self.now, if both { "cut between VMs" } else { "one-way cut" });
        let (a, b) = (self.vms[from].id.clone(), self.vms[to].id.clone());
        self.network.cut(&a, &b, until);
        if both {
            self.network.cut(&b, &a, until);
        }
        if from % DATA_CENTRES.len() == to % DATA_CENTRES.len() {
            let entry = self.flows.cut_until.entry(from % DATA_CENTRES.len()).or_default();
            *entry = until.max(*entry);
        }
        self.active_faults.mark_affected(from, until);
        self.active_faults.mark_affected(to, until);
    }

    fn partition_data_centres(&mut self) {
        self.verdict.count_fault(self.now, "data centres cut");
        let until = self.random_time(10_000, 120_000);
        for from in 0..self.vms.len() {
            for to in 0..self.vms.len() {
                if from % DATA_CENTRES.len() != to % DATA_CENTRES.len() {
                    let (a, b) = (self.vms[from].id.clone(), self.vms[to].id.clone());
                    self.network.cut(&a, &b, until);
                }
            }
        }
        // The platform also becomes unreachable for one of the data centres, which is then
        // isolated.
        for vm in (0..self.vms.len()).filter(|vm| vm % DATA_CENTRES.len() == 1) {
            self.active_faults.partitioned_from_platform.insert(vm, until);
            self.active_faults.mark_affected(vm, until);
        }
    }

    fn start_loss(&mut self) {
        self.verdict.count_fault(self.now, "loss and duplication");
        self.network.loss = self.rng.random_range(0.02..0.2);
        self.network.duplication = self.rng.random_range(0.0..0.1);
        let until = self.random_time(5_000, 60_000);
        self.active_faults.lossy_until = until;
        self.active_faults.mark_all_affected(until);
    }

    fn end_loss(&mut self) {
        if self.active_faults.lossy_until <= self.now {
            self.network.loss = 0.0;
            self.network.duplication = 0.0;
        }
        if self.active_faults.stale_list_until <= self.now {
            self.active_faults.stale_list_until = Millis::ZERO;
        }
    }

    fn inject_target_fault(&mut self) {
        let names: Vec<Name> = self.targets.by_name.keys().cloned().collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let until = self.random_time(500, 15_000);
        let kind = self.rng.random_range(0..3);
        let Some(target) = self.targets.by_name.get_mut(&name) else { return };
        match kind {
            0 => target.shed_until = until,
            1 => target.break_until = until,
            _ => target.silent_until = until,
        }
        self.verdict
            .count_fault(self.now, ["target sheds", "target breaks", "target silent"][kind]);
    }

    fn stale_vm_list(&mut self) {
        self.verdict.count_fault(self.now, "VM list stale or empty");
        self.active_faults.stale_list = if self.rng.random_bool(0.5) {
            Vec::new()
        } else {
            self.vms.iter().map(Vm::hint).collect()
        };
        self.active_faults.stale_list_until = self.random_time(5_000, 60_000);
    }
}
