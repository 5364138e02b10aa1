//! Tests of the limit on openings to cold targets. Bounds are those of `docs/hard-load.md`: the openings of all VMs
//! together in any second, and the 2 slots and the queue of 8 of a target.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::support::{FEED, data, deliver, flow, me, opening, routes, target};
use jasminecart_core::flow::token::{
    ResetCause, TokenRouter, TokenRouterLimits, Verdict, WarmUpLimit,
};
use jasminecart_core::message::PeerMessage;
use jasminecart_core::process::{Event, MemberLimits, Membership, PeerAddress, VmHint};
use jasminecart_core::version::{
    EvacuationChange, Routes, ServiceRule, StoreRevision, TargetRecord,
};
use jasminecart_core::{Incarnation, Millis, Name, VmId};
use test_case::test_case;

const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const WARM_UP: Millis = Millis(2_000);
const TARGETS: usize = 8;
const VMS: u8 = 24;
const ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 1], 7_000);

fn rated(cold_rate: Option<f64>) -> Routes {
    let services = [(Name::new("desk"), ServiceRule { warm_up: WARM_UP, cold_rate })];
    Routes { services: services.into_iter().collect(), ..routes(1) }
}

fn vm_router(me: &VmId, rate: Option<f64>, records: Vec<TargetRecord>) -> TokenRouter {
    let warm_up = Some(WarmUpLimit { overage: OVERAGE, slack: SLACK });
    let limits = TokenRouterLimits { warm_up, ..TokenRouterLimits::default() };
    let mut router = TokenRouter::new(me, 7, limits);
    router.set_targets(Millis::ZERO, records, StoreRevision::new(0, 100));
    router.set_routes(Arc::new(rated(rate)));
    router
}

/// Returns targets that stay cold for `cold_for`.
pub(crate) fn targets(count: usize, cold_for: Millis) -> Vec<TargetRecord> {
    let names = (0..count).map(|number| format!("a{number}"));
    names.map(|name| TargetRecord { cold_for, ..target(&name, "desk", "east", 1) }).collect()
}

fn membership(me: VmId, incarnation: u64) -> Membership {
    let at = ADDRESS.into();
    let address = PeerAddress { control: at, packets: at, requests: at };
    let seeds = (0..3).map(|number| VmHint { vm: vm(number), address, leaving: false });
    // The seed is combined with the identity of the VM.
    Membership::new(me, Incarnation(incarnation), address, 7, MemberLimits::default())
        .with_seeds(seeds)
}

fn vm(number: u8) -> VmId {
    VmId::new("east", format!("vm-{number}"))
}

/// Returns the largest number of openings to one target within less than a second.
fn max_per_second(openings: &[(Millis, u16)]) -> usize {
    let mut by_target: BTreeMap<u16, Vec<Millis>> = BTreeMap::new();
    for (at, target) in openings {
        by_target.entry(*target).or_default().push(*at);
    }
    let ends = |times: &[Millis], first: usize| {
        times[first..].iter().take_while(|at| at.since(times[first]) < Millis(1_000)).count()
    };
    let counts = by_target.values().flat_map(|at| (0..at.len()).map(|first| ends(at, first)));
    counts.max().unwrap_or_default()
}

struct Vm {
    membership: Membership,
    router: TokenRouter,
    is_ready: bool,
    /// The part of the partitioned data centre to which the VM belongs.
    part: u8,
    down_until: Millis,
}

/// The VMs of one data centre, which all open as many flows as they can to targets that stay cold.
struct Fleet {
    now: Millis,
    rate: f64,
    vms: BTreeMap<VmId, Vm>,
    messages: Vec<(VmId, VmId, PeerMessage)>,
    openings: Vec<(Millis, u16)>,
}

impl Fleet {
    fn new(rate: f64) -> Fleet {
        let (vms, messages, openings) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut fleet = Fleet { now: Millis::ZERO, rate, vms, messages, openings };
        (0..VMS).for_each(|number| fleet.start(vm(number), 1, Millis::ZERO));
        fleet
    }

    fn start(&mut self, id: VmId, incarnation: u64, at: Millis) {
        let records = targets(TARGETS, Millis::from_secs(3_000));
        let router = vm_router(&id, Some(self.rate), records);
        let membership = membership(id.clone(), incarnation);
        let part = self.vms.get(&id).map_or(0, |vm| vm.part);
        self.vms.insert(id, Vm { membership, router, is_ready: false, part, down_until: at });
    }

    fn handle(&mut self, id: &VmId, events: Vec<Event>) {
        let vm = self.vms.get_mut(id).expect("a VM");
        for event in events {
            match event {
                Event::Changed(members) => vm.router.set_members(self.now, &members),
                Event::Message(out) => self.messages.push((id.clone(), out.to, out.message)),
                _ => {}
            }
        }
    }

    /// Runs all VMs in steps of 50 ms. Every VM opens two flows a step, and repeats one of them.
    fn run(&mut self, duration: Millis) {
        let (end, ids) = (self.now + duration, self.vms.keys().cloned().collect::<Vec<_>>());
        while self.now < end {
            self.now += Millis(50);
            let now = self.now;
            for (from, to, message) in std::mem::take(&mut self.messages) {
                let part = self.vms[&from].part;
                let PeerMessage::Member(message) = message else { continue };
                let Some(vm) = self.vms.get_mut(&to) else { continue };
                if vm.part == part && now >= vm.down_until {
                    let events = vm.membership.on_message(now, &from, message);
                    self.handle(&to, events);
                }
            }
            for id in &ids {
                let vm = self.vms.get_mut(id).expect("a VM");
                if now < vm.down_until {
                    continue;
                }
                let mut events = vm.membership.tick(now);
                if !vm.is_ready {
                    events.extend(vm.membership.set_ready(now));
                    vm.is_ready = true;
                }
                vm.router.tick(now);
                for copy in [0, 0, 1] {
                    let port = (now.get() % 30_000) as u16 + copy as u16;
                    let verdict = deliver(&mut vm.router, now, &opening(flow(port, FEED), copy));
                    if let Verdict::Forward(to) = verdict {
                        self.openings.push((now, to.address.port()));
                    }
                }
                self.handle(id, events);
            }
        }
    }

    fn partition(&mut self, parts: u8) {
        for (index, vm) in self.vms.values_mut().enumerate() {
            vm.part = index as u8 % parts;
        }
    }

    /// Restarts every second VM of each part.
    fn restart_half(&mut self) {
        let ids: Vec<VmId> = self.vms.keys().cloned().collect();
        for id in ids.into_iter().enumerate().filter(|(index, _)| index / 2 % 2 == 0) {
            self.start(id.1, 2, self.now + Millis(1_000));
        }
    }

    fn pause_half(&mut self, duration: Millis) {
        self.vms.values_mut().step_by(2).for_each(|vm| vm.down_until = self.now + duration);
    }
}

/// Guards against more openings to a cold target than the sum of all VMs may send, at rates of 0 (the limit is the
/// slack), 2 (8 a second) and 10 (20 a second).
#[test_case(|_| {}; "a burst from the start on")]
#[test_case(|fleet| fleet.partition(2); "a partition into halves")]
#[test_case(Fleet::restart_half; "a restart of half of the VMs")]
#[test_case(|fleet| { fleet.partition(2); fleet.run(Millis(500)); fleet.restart_half(); };
    "a restart of half of the VMs in a partition")]
#[test_case(|fleet| fleet.pause_half(Millis(15_000)); "a pause of half of the VMs")]
fn the_sum_of_all_vms_keeps_the_limit(fault: impl Fn(&mut Fleet)) {
    for rate in [0.0, 2.0, 10.0] {
        let mut fleet = Fleet::new(rate);
        fleet.run(Millis::from_secs(66));
        fault(&mut fleet);
        fleet.run(Millis::from_secs(40));
        fleet.partition(1);
        fleet.run(Millis::from_secs(30));
        let limit = (rate * OVERAGE + SLACK) as usize;
        let max = max_per_second(&fleet.openings);
        assert!(max <= limit, "{max} openings in a second, {limit} allowed at rate {rate}");
    }
}

/// Guards against cold targets that get less than three fifths of the limit in normal operation. A holder's window
/// is 1.1 s, so that ten of them take 11 s.
#[test]
fn holders_use_three_fifths_of_the_limit() {
    let mut fleet = Fleet::new(10.0);
    fleet.run(Millis::from_secs(66));
    fleet.openings.clear();
    fleet.run(Millis::from_secs(11));
    assert_eq!(fleet.openings.len(), TARGETS * 10 * 12);
}

/// Returns a router of a data centre with one VM, 70 s after its start, and the time.
pub(crate) fn settled(rate: Option<f64>, records: Vec<TargetRecord>) -> (TokenRouter, Millis) {
    let mut router = vm_router(&me(), rate, records);
    let membership = membership(me(), 1);
    let mut now = Millis::ZERO;
    router.set_members(now, membership.members());
    while now < Millis::from_secs(70) {
        now += Millis(100);
        router.tick(now);
    }
    (router, now)
}

fn count(router: &mut TokenRouter, now: Millis, openings: u16) -> (usize, usize) {
    let verdicts = (1..=openings).map(|port| deliver(router, now, &opening(flow(port, FEED), 0)));
    let verdicts: Vec<Verdict> = verdicts.collect();
    let forwarded = verdicts.iter().filter(|verdict| matches!(verdict, Verdict::Forward(_)));
    let cold = Verdict::Reset(ResetCause::TargetsCold);
    (forwarded.count(), verdicts.iter().filter(|verdict| **verdict == cold).count())
}

/// Guards against rates that are taken for another limit: a fifth of `rate * 1.5 + 5` for each VM, at most 1,000, and
/// none without a valid rate.
#[test_case(None, 3_000; "missing")]
#[test_case(Some(-1.0), 3_000; "negative")]
#[test_case(Some(f64::NAN), 3_000; "not a number")]
#[test_case(Some(f64::INFINITY), 3_000; "infinite")]
#[test_case(Some(0.0), 1; "zero")]
#[test_case(Some(0.3), 1; "fractional")]
#[test_case(Some(10.0), 4; "usual")]
#[test_case(Some(f64::MAX), 1_000; "enormous")]
fn a_rate_gives_the_share_of_a_vm(rate: Option<f64>, share: usize) {
    let (mut router, now) = settled(rate, targets(1, Millis::from_secs(3_000)));
    assert_eq!(count(&mut router, now, 3_000), (share, 3_000 - share));
}

/// Guards against repeated openings and probe flows to a suspected cold target beyond the limit, when no other target
/// is left.
#[test]
fn suspicion_does_not_lift_the_limit() {
    let (mut router, start) = settled(Some(0.0), targets(1, Millis::from_secs(3_000)));
    let mut sent = Vec::new();
    for step in 0..400 {
        let now = start + Millis(50 * step);
        router.tick(now);
        let segment = opening(flow((step / 8) as u16, FEED), (step % 8).min(2) as u32);
        if let Verdict::Forward(to) = deliver(&mut router, now, &segment) {
            sent.push((now, to.address.port()));
        }
    }
    assert!(router.suspects() > 0 && sent.len() > 5, "{} openings", sent.len());
    assert_eq!(max_per_second(&sent), 1);
}

/// Guards against full use of targets whose data centre returned from an evacuation, before their records report
/// them as cold, and against a limit that stays.
#[test]
fn targets_of_a_returned_data_centre_are_cold() {
    let (mut router, now) = settled(Some(0.0), targets(4, Millis::ZERO));
    assert_eq!(count(&mut router, now, 50), (50, 0));
    for (number, data_centre) in ["east", "unknown"].into_iter().enumerate() {
        let data_centre = Name::new(data_centre);
        let revision = |offset| StoreRevision::new(0, 500 + 2 * number as u64 + offset);
        let requested =
            EvacuationChange::Requested { data_centre: data_centre.clone(), revision: revision(0) };
        router.change_evacuation(now, requested);
        let withdrawn = EvacuationChange::Withdrawn { data_centre, revision: revision(1) };
        router.change_evacuation(now, withdrawn);
    }
    assert_eq!(count(&mut router, now, 50), (4, 46));
    for step in 1..=20 {
        router.tick(now + Millis(100 * step));
    }
    assert_eq!(count(&mut router, now + WARM_UP, 50), (50, 0));
}

/// Guards against a surge of new flows to a target at the end of its cold time: it is empty, and all VMs prefer it at
/// the same moment. Its queue of 8 must not overflow with 2 slots and requests of 30 ms. Flows stay open and idle after
/// their request, so that the other targets have flows already.
#[test]
fn a_target_that_becomes_warm_is_not_crowded() {
    let mut records = targets(60, Millis::ZERO);
    records[0].cold_for = Millis(72_000);
    let busy: Vec<Name> = records[1..].iter().map(|record| record.name.clone()).collect();
    let label = records[0].label;
    let mut vms: Vec<TokenRouter> = Vec::new();
    for number in 0..58 {
        let mut router = vm_router(&vm(number), Some(0.0), records.clone());
        for (index, name) in busy.iter().enumerate() {
            let id = flow(60_000 + index as u16, FEED);
            router.on_segment(Millis(71_000), &data(id, name, 101, 1, 0));
        }
        vms.push(router);
    }
    let (mut queue, mut most, mut running) = (0.0_f64, 0.0_f64, Vec::new());
    for now in (71_000..74_000).map(Millis) {
        // Two slots of 30 ms finish a request every 15 ms.
        queue = (queue - 1.0 / 15.0).max(0.0);
        for (index, router) in vms.iter_mut().enumerate() {
            if now.get().is_multiple_of(100) {
                router.tick(now);
            }
            if (now.get() + index as u64).is_multiple_of(37) {
                let id = flow((now.get() % 50_000) as u16, FEED);
                let Verdict::Forward(to) = deliver(router, now, &opening(id, 0)) else {
                    panic!("the busy targets accept flows");
                };
                let name = router.take_decision().expect("a decision").target;
                router.on_segment(now, &data(id, &name, 101, 1, 300));
                let waits = if to.label == label { (queue - 1.0).max(0.0) * 15.0 } else { 0.0 };
                queue += f64::from(u8::from(to.label == label));
                running.push((now + Millis(30 + waits as u64), index, id, name));
            }
        }
        most = most.max(queue);
        running.retain(|(end, index, id, name)| {
            let ended = *end <= now;
            if ended {
                vms[*index].on_segment(now, &data(*id, name, 401, 600, 0));
            }
            !ended
        });
    }
    assert!(most > 0.0 && most <= 10.0, "{most} requests at the target");
}
