//! Discrete-event simulation of openings through VMs to targets that die, pause or are partitioned.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, Destination, FlowId, RoutingToken, SecondCopyTiming, SegmentKind, TokenRouter,
    TokenRouterLimits, Verdict,
};
use jasminecart_core::hashing::HashMap;
use jasminecart_core::second_copies::SecondCopyLimit;
use jasminecart_core::version::{
    Repeatable, RouteRule, Routes, StoreRevision, TargetChange, TargetRecord, TargetState,
};
use jasminecart_core::{Millis, Name, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(super) const VMS: usize = 12;
const TARGETS: usize = 60;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// Flows that are opened per second.
const FLOWS_PER_SECOND: f64 = 400.0;
const DURATION_MS: u64 = 300_000;
/// The mean time from the follow-up of an opening to the end of its flow.
const FLOW_MS: f64 = 60.0;
/// A dead target leaves the list after this time, and another one joins.
const REMOVED_AFTER_MS: u64 = 3_600;
const DEATH_INTERVAL_MS: u64 = 4_000;
/// A target pauses, as after a garbage collection, and responds afterwards.
const PAUSE_INTERVAL_MS: u64 = 2_000;
const PAUSE_MS: u64 = 400;
/// Data centre a cannot reach the others for a while.
const PARTITION_INTERVAL_MS: u64 = 60_000;
const PARTITION_MS: u64 = 3_000;
const LOSS: f64 = 0.000_2;
const REPEAT_AFTER_MS: [u64; 2] = [200, 600];
const ABANDON_AFTER_MS: u64 = 1_400;
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const TICK_MS: u64 = 100;

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    /// When second copies are sent, or `None` for none.
    pub(super) timing: Option<SecondCopyTiming>,
    pub(super) share: f64,
    pub(super) burst: u32,
    /// The extra one-way delay between clients and VMs.
    pub(super) link_ms: u64,
    /// The share of flows whose later packets reach another VM.
    pub(super) rehashed: f64,
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    times: Vec<u64>,
    pub(super) openings: u64,
    /// Flows that never opened.
    pub(super) failed: u64,
    /// Second copies that were sent.
    pub(super) copies: u64,
    /// Flows that opened at the target of a second copy, as the VMs saw it.
    pub(super) won: u64,
    /// Connections at live targets that their clients do not use.
    pub(super) unused: u64,
    /// Clients that got responses of two targets.
    pub(super) responded_twice: u64,
    /// Packets of open flows that reached another target than the one that opened the flow.
    pub(super) astray: u64,
}

impl Figures {
    pub(super) fn quantile(&self, share: f64) -> u64 {
        let last = self.times.len().saturating_sub(1);
        self.times.get((share * last as f64) as usize).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The client repeats its opening if the flow is not open.
    Repeat {
        flow: usize,
        copy: u32,
    },
    /// The client gives up if the flow is not open.
    Abandon(usize),
    Opening {
        flow: usize,
        copy: u32,
    },
    AtTarget {
        flow: usize,
        target: usize,
    },
    Response {
        flow: usize,
        target: usize,
    },
    /// A packet of an open flow arrives at a VM, with the token of the target at `echoed`.
    Data {
        flow: usize,
        finish: bool,
        echoed: usize,
    },
    /// The client closes its flow.
    Finish(usize),
    Due(usize),
    Death,
    Removal(usize),
    Pause,
    Partition(bool),
    Tick,
}

#[derive(Debug)]
struct Flow {
    id: FlowId,
    vm: usize,
    later_vm: usize,
    opened_at: u64,
    /// The target whose response opened the flow.
    target: Option<usize>,
    /// The target whose token the client echoes.
    echoed: usize,
    connected: BTreeSet<usize>,
}

#[derive(Debug)]
struct Target {
    name: Name,
    alive: bool,
    paused_until: u64,
}

pub(super) struct Sim {
    scenario: Scenario,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    faults: ChaCha8Rng,
    routers: Vec<TokenRouter>,
    targets: Vec<Target>,
    by_token: HashMap<RoutingToken, usize>,
    flows: Vec<Flow>,
    partitioned: bool,
    figures: Figures,
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

fn record(index: usize, revision: u64) -> TargetRecord {
    TargetRecord {
        name: Name::new(format!("t-{index:x}")),
        label: index as u64,
        service: Name::new("desk"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, 1), index as u16),
        data_centre: Name::new(data_centre(index)),
        slots: 2,
        state: TargetState::Active,
        cold_for: Millis::ZERO,
        started_at: None,
        sequence: 1,
        revision: StoreRevision::new(0, revision),
    }
}

fn routes() -> Routes {
    let rule = RouteRule {
        name: Name::new("feed"),
        services: vec![(Name::new("desk"), 1)],
        repeatable: Repeatable::Always,
        timeout: Millis(1_500),
        // So long that no service counts as overloaded: the case concerns openings.
        objective: Millis::from_secs(5),
        priority: 1,
    };
    Routes {
        revision: StoreRevision::new(0, 1),
        version: 1,
        by_address: [(SERVICE, Arc::new(rule))].into_iter().collect(),
        services: Default::default(),
        idle_timeout: Millis::from_secs(15),
    }
}

impl Sim {
    pub(super) fn new(scenario: Scenario) -> Sim {
        let seed = scenario.seed;
        let mut sim = Sim {
            scenario,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: ChaCha8Rng::seed_from_u64(seed ^ 0xfa17),
            routers: Vec::new(),
            targets: Vec::new(),
            by_token: HashMap::default(),
            flows: Vec::new(),
            partitioned: false,
            figures: Figures::default(),
        };
        (0..TARGETS).for_each(|_| sim.add_target());
        let limit =
            scenario.timing.and_then(|_| SecondCopyLimit::new(scenario.share, scenario.burst));
        for vm in 0..VMS {
            let me = VmId::new(data_centre(vm), format!("vm{vm}"));
            let mut router =
                TokenRouter::new(&me, seed * 100 + vm as u64, TokenRouterLimits::default());
            let records = (0..TARGETS).map(|index| record(index, 1)).collect();
            router.set_targets(Millis::ZERO, records, StoreRevision::new(0, 1));
            router.set_routes(Arc::new(routes()));
            router.set_second_copy_limit(limit.unwrap_or_default());
            router.set_second_copy_timing(scenario.timing.unwrap_or_default());
            sim.routers.push(router);
        }
        for (at, event) in [
            (1, Event::Arrival),
            (DEATH_INTERVAL_MS, Event::Death),
            (PAUSE_INTERVAL_MS, Event::Pause),
            (PARTITION_INTERVAL_MS, Event::Partition(true)),
            (TICK_MS, Event::Tick),
        ] {
            sim.schedule(at, event);
        }
        sim
    }

    pub(super) fn run(mut self) -> Figures {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if time > DURATION_MS {
                break;
            }
            self.handle(event);
        }
        for router in &self.routers {
            self.figures.copies += router.counters().second_copies;
            self.figures.won += router.counters().second_copies_won;
        }
        for flow in &self.flows {
            let used = usize::from(flow.target.is_some());
            self.figures.unused += flow.connected.len().saturating_sub(used) as u64;
        }
        self.figures.times.sort_unstable();
        self.figures
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Repeat { flow, copy } => self.send_opening(flow, copy),
            Event::Abandon(flow) => {
                self.figures.failed += u64::from(self.flows[flow].target.is_none());
            }
            Event::Opening { flow, copy } => self.on_opening(flow, copy),
            Event::AtTarget { flow, target } => self.on_opening_at_target(flow, target),
            Event::Response { flow, target } => self.on_response(flow, target),
            Event::Data { flow, finish, echoed } => self.on_data(flow, finish, echoed),
            Event::Finish(flow) => {
                let echoed = self.flows[flow].echoed;
                let at = self.now + self.scenario.link_ms + 2;
                self.schedule(at, Event::Data { flow, finish: true, echoed });
            }
            Event::Due(vm) => self.send_due(vm),
            Event::Death => self.on_death(),
            Event::Removal(target) => self.on_removal(target),
            Event::Pause => {
                let target = self.faults.random_range(0..self.targets.len());
                self.targets[target].paused_until = self.now + PAUSE_MS;
                self.schedule(self.now + PAUSE_INTERVAL_MS, Event::Pause);
            }
            Event::Partition(begins) => {
                self.partitioned = begins;
                let after = if begins { PARTITION_MS } else { PARTITION_INTERVAL_MS };
                self.schedule(self.now + after, Event::Partition(!begins));
            }
            Event::Tick => {
                for router in &mut self.routers {
                    router.set_receive_queue_empty(Millis(self.now));
                    router.tick(Millis(self.now));
                    router.take_second_copy_events();
                }
                self.schedule(self.now + TICK_MS, Event::Tick);
            }
        }
    }

    fn on_arrival(&mut self) {
        let number = self.flows.len();
        let vm = self.rng.random_range(0..VMS);
        let rehashed = self.rng.random_bool(self.scenario.rehashed);
        let other = self.rng.random_range(0..VMS);
        let ip = Ipv4Addr::from_bits(0x6440_0000 + (number / 50_000) as u32);
        let client = SocketAddrV4::new(ip, (number % 50_000) as u16 + 1);
        self.flows.push(Flow {
            id: FlowId { client, service: SERVICE },
            vm,
            later_vm: if rehashed { other } else { vm },
            opened_at: self.now,
            target: None,
            echoed: 0,
            connected: BTreeSet::new(),
        });
        self.figures.openings += 1;
        self.send_opening(number, 0);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / FLOWS_PER_SECOND;
        self.schedule(self.now + gap.round() as u64, Event::Arrival);
    }

    /// Returns the time of a packet from the client to a VM, or `None` if it is lost.
    fn client_link(&mut self) -> Option<u64> {
        let delay = self.scenario.link_ms + self.rng.random_range(1..=3);
        (!self.rng.random_bool(LOSS)).then_some(self.now + delay)
    }

    /// The client sends a copy of its opening, unless the flow is open, and abandons it in the end.
    fn send_opening(&mut self, flow: usize, copy: u32) {
        if self.flows[flow].target.is_some() {
            return;
        }
        if let Some(at) = self.client_link() {
            self.schedule(at, Event::Opening { flow, copy });
        }
        let opened_at = self.flows[flow].opened_at;
        match REPEAT_AFTER_MS.get(copy as usize) {
            Some(after) => self.schedule(opened_at + after, Event::Repeat { flow, copy: copy + 1 }),
            None => self.schedule(opened_at + ABANDON_AFTER_MS, Event::Abandon(flow)),
        }
    }

    fn on_opening(&mut self, flow: usize, copy: u32) {
        let open = &self.flows[flow];
        let (vm, now) = (open.vm, Millis(self.now));
        let kind = SegmentKind::Open { copy };
        let segment =
            ClientSegment { flow: open.id, kind, token: None, seq: 100, ack: 0, payload: 0 };
        let router = &mut self.routers[vm];
        router.set_receive_queue_empty(now);
        let verdict = router.on_segment(now, &segment);
        let second = router.take_immediate_second_copy();
        let due_at = router.next_second_copy_at();
        if let Verdict::Forward(destination) = verdict {
            self.send_to_target(vm, flow, destination);
        }
        if let Some(destination) = second {
            self.send_to_target(vm, flow, destination);
        }
        if let Some(due_at) = due_at {
            self.schedule(due_at.get(), Event::Due(vm));
        }
    }

    fn send_due(&mut self, vm: usize) {
        let router = &mut self.routers[vm];
        router.set_receive_queue_empty(Millis(self.now));
        let due = router.due_second_copies(Millis(self.now));
        if let Some(at) = router.next_second_copy_at() {
            self.schedule(at.get(), Event::Due(vm));
        }
        for copy in due {
            let Some(destination) = copy.destination else { continue };
            // Clients are numbered by address and port.
            let ip = copy.flow.client.ip().to_bits() - 0x6440_0000;
            let flow = ip as usize * 50_000 + usize::from(copy.flow.client.port()) - 1;
            self.send_to_target(vm, flow, destination);
        }
    }

    fn send_to_target(&mut self, vm: usize, flow: usize, destination: Destination) {
        let target = self.by_token[&destination.token];
        let remote = data_centre(vm) != data_centre(target);
        let cut =
            self.partitioned && remote && (data_centre(vm) == "a" || data_centre(target) == "a");
        let delay = 1 + u64::from(remote) + self.rng.random_range(0..=1);
        if !cut && !self.rng.random_bool(LOSS) {
            self.schedule(self.now + delay, Event::AtTarget { flow, target });
        }
    }

    fn on_opening_at_target(&mut self, flow: usize, target: usize) {
        let state = &self.targets[target];
        if !state.alive {
            return;
        }
        let paused_until = state.paused_until;
        self.flows[flow].connected.insert(target);
        if let Some(at) = self.client_link() {
            let at = at.max(paused_until + 1);
            self.schedule(at, Event::Response { flow, target });
        }
    }

    fn on_response(&mut self, flow: usize, target: usize) {
        let open = &mut self.flows[flow];
        let elapsed = self.now - open.opened_at;
        match open.target {
            Some(first) => self.figures.responded_twice += u64::from(first != target),
            None if elapsed >= ABANDON_AFTER_MS => return,
            None => {
                open.target = Some(target);
                self.figures.times.push(elapsed);
                if let Some(at) = self.client_link() {
                    self.schedule(at, Event::Data { flow, finish: false, echoed: target });
                }
            }
        }
        self.flows[flow].echoed = target;
    }

    fn on_data(&mut self, flow: usize, finish: bool, echoed: usize) {
        let open = &self.flows[flow];
        let token = Some(RoutingToken::of(&self.targets[echoed].name, SERVICE));
        let kind = if finish { SegmentKind::Finish } else { SegmentKind::Data };
        let (ack, payload) = if finish { (900, 0) } else { (1, 200) };
        let segment = ClientSegment { flow: open.id, kind, token, seq: 101, ack, payload };
        let (vm, first) = (open.later_vm, open.target);
        let router = &mut self.routers[vm];
        router.set_receive_queue_empty(Millis(self.now));
        if let Verdict::Forward(destination) = router.on_segment(Millis(self.now), &segment) {
            let astray = self.by_token.get(&destination.token).copied() != first;
            self.figures.astray += u64::from(astray);
        }
        if !finish {
            let rest = -(1.0 - self.rng.random::<f64>()).ln() * FLOW_MS;
            self.schedule(self.now + 1 + rest as u64, Event::Finish(flow));
        }
    }

    fn add_target(&mut self) {
        let index = self.targets.len();
        let name = record(index, 1).name;
        self.by_token.insert(RoutingToken::of(&name, SERVICE), index);
        self.targets.push(Target { name, alive: true, paused_until: 0 });
    }

    fn on_death(&mut self) {
        let alive: Vec<usize> =
            (0..self.targets.len()).filter(|index| self.targets[*index].alive).collect();
        let target = alive[self.faults.random_range(0..alive.len())];
        self.targets[target].alive = false;
        self.schedule(self.now + REMOVED_AFTER_MS, Event::Removal(target));
        self.schedule(self.now + DEATH_INTERVAL_MS, Event::Death);
    }

    fn on_removal(&mut self, target: usize) {
        let added = self.targets.len();
        self.add_target();
        let revision = StoreRevision::new(0, self.now);
        for router in &mut self.routers {
            let name = self.targets[target].name.clone();
            let deleted = TargetChange::Deleted { name, revision, lapsed: false };
            router.change_target(Millis(self.now), deleted);
            router.change_target(Millis(self.now), TargetChange::Written(record(added, self.now)));
        }
    }
}
