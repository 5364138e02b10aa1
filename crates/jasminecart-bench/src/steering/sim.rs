//! Discrete-event simulation of VMs that select targets for flows with a routing token.
//!
//! As on the platform, the router under test sees only the segments that clients send. It does not
//! see responses, queues or the selections of other VMs. All policies get the same arrivals and
//! draw processing times from the same seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, FlowId, RoutingToken, SegmentKind, TokenRouter, TokenRouterLimits, Verdict,
};
use jasminecart_core::hashing::HashMap;
use jasminecart_core::version::{
    Repeatable, RouteRule, Routes, StoreRevision, TargetRecord, TargetState,
};
use jasminecart_core::{Millis, Name, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Figures, Policy, Scenario};

/// Sizes of the VMs. A VM receives flows in proportion to its size.
const VM_SIZES: [u32; 7] = [4, 4, 2, 2, 2, 1, 1];
/// The data centres, to which VMs and targets are assigned round-robin.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
pub(super) const TARGETS: usize = 14;
const SLOTS: usize = 2;
/// The number of requests that a target queues. It refuses more.
const MAX_QUEUE: usize = 8;
/// The ratio of processing times of the slowest and the fastest target.
const SLOWNESS_RATIO: f64 = 4.0;
/// The warm-up of a target that has started, and the factor by which it is slower during that time.
const TARGET_WARM_UP_MS: u64 = 5_000;
const TARGET_WARM_UP_FACTOR: f64 = 2.0;
/// The interval between replacements of targets.
const REPLACE_INTERVAL_MS: u64 = 2_000;
/// The one-way delay to a target in the VM's own data centre, and the extra delay to another data
/// centre.
const ONE_WAY_MS: u64 = 1;
const REMOTE_EXTRA_MS: u64 = 1;
/// The mean processing time of a feed's request and of a claim on a target of average speed.
const FEED_WORK_MS: f64 = 30.0;
const CLAIM_WORK_MS: f64 = 39.0;
/// The mean number of requests of a feed's flow, and the mean pause between them.
const FEED_REQUESTS: f64 = 10.0;
const FEED_PAUSE_MS: f64 = 1_000.0;
/// The number of claims for each request of a feed.
const CLAIMS_PER_FEED_REQUEST: f64 = 2.0 / 7.0;
/// How often a client retries a refused request, each time on a new flow.
const MAX_RETRIES: u8 = 2;
const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const CLAIM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const SERVICE: &str = "desk";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    OpenFeed,
    OpenClaim,
    Replace(usize),
    /// A client continues its feed on a new flow.
    Reopen {
        vm: u32,
        requests_left: u32,
    },
    /// The client of a flow sends a request.
    Send(u32),
    /// A request arrives at the target of its flow.
    Arrive(u32),
    /// The target of a flow finishes the request.
    Finish(u32),
    /// The client receives the response; `refused` means that the request was not executed.
    Response {
        flow: u32,
        refused: bool,
    },
}

#[derive(Clone, Debug)]
struct Flow {
    id: FlowId,
    vm: usize,
    target: usize,
    incarnation: u32,
    requests_left: u32,
    retries: u8,
    sent_at: u64,
    arrived_at: u64,
    seq: u32,
    ack: u32,
    counted: bool,
}

#[derive(Debug)]
struct Target {
    incarnation: u32,
    slowness: f64,
    warming_until: u64,
    running: usize,
    queue: VecDeque<u32>,
    work_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Outstanding {
    requests: [u32; TARGETS],
    flows: [u32; TARGETS],
}

/// The state of the simulation.
pub(super) struct Sim {
    scenario: Scenario,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    arrivals: ChaCha8Rng,
    work: ChaCha8Rng,
    choice: ChaCha8Rng,
    routers: Vec<TokenRouter>,
    outstanding: Vec<Outstanding>,
    targets: Vec<Target>,
    by_name: HashMap<Name, usize>,
    flows: Vec<Flow>,
    figures: Figures,
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

fn slowness(target: usize) -> f64 {
    SLOWNESS_RATIO.powf(target as f64 / (TARGETS - 1) as f64) / SLOWNESS_RATIO.sqrt()
}

/// Returns the work that all slots do in a millisecond, in ms of processing time on a target of
/// average speed.
fn capacity() -> f64 {
    (0..TARGETS).map(|target| SLOTS as f64 / slowness(target)).sum()
}

fn target_name(target: usize, incarnation: u32) -> Name {
    Name::new(format!("i-{target:x}{incarnation:04x}"))
}

fn record(target: usize, incarnation: u32, revision: u64, cold_for: u64) -> TargetRecord {
    TargetRecord {
        name: target_name(target, incarnation),
        label: (target as u64) << 16 | u64::from(incarnation),
        service: Name::new(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, target as u8), 8_000),
        data_centre: Name::new(data_centre(target)),
        slots: SLOTS as u32,
        state: TargetState::Active,
        cold_for: Millis(cold_for),
        started_at: None,
        sequence: 1,
        revision: StoreRevision::new(0, revision),
    }
}

fn routes() -> Routes {
    let rule = |name, repeatable, objective| {
        Arc::new(RouteRule {
            name: Name::new(name),
            services: vec![(Name::new(SERVICE), 1)],
            repeatable,
            timeout: Millis(1_000),
            objective,
            priority: 1,
        })
    };
    let feed = rule("feed", Repeatable::Always, objective(true));
    let claim = rule("claim", Repeatable::Never, objective(false));
    Routes {
        revision: StoreRevision::new(0, 1),
        version: 1,
        by_address: [(FEED, feed), (CLAIM, claim)].into_iter().collect(),
        services: Default::default(),
        idle_timeout: Millis::from_secs(15),
    }
}

fn objective(feed: bool) -> Millis {
    Millis(if feed { 150 } else { 200 })
}

impl Sim {
    pub(super) fn new(scenario: Scenario) -> Sim {
        let seed = scenario.seed;
        let mut sim = Sim {
            scenario,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            work: ChaCha8Rng::seed_from_u64(seed ^ 0x0077),
            choice: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            routers: Vec::new(),
            outstanding: vec![Outstanding::default(); VM_SIZES.len()],
            targets: Vec::new(),
            by_name: HashMap::default(),
            flows: Vec::new(),
            figures: Figures::default(),
        };
        for target in 0..TARGETS {
            sim.by_name.insert(target_name(target, 0), target);
            sim.targets.push(Target {
                incarnation: 0,
                slowness: slowness(target),
                warming_until: 0,
                running: 0,
                queue: VecDeque::new(),
                work_ms: 0.0,
            });
        }
        let routes = Arc::new(routes());
        for vm in 0..VM_SIZES.len() {
            let me = VmId::new(data_centre(vm), format!("vm{vm}"));
            let limits = TokenRouterLimits::default();
            let mut router = TokenRouter::new(&me, seed * 100 + vm as u64, limits);
            let records = (0..TARGETS).map(|target| record(target, 0, 1, 0)).collect();
            router.set_targets(Millis::ZERO, records, StoreRevision::new(0, 1));
            router.set_routes(routes.clone());
            sim.routers.push(router);
        }
        sim.schedule(1, Event::OpenFeed);
        sim.schedule(1, Event::OpenClaim);
        if scenario.replaced {
            sim.schedule(scenario.from, Event::Replace(0));
        }
        sim
    }

    /// Runs until the end of the measured time and returns the results.
    pub(super) fn run(mut self) -> Figures {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.scenario.until {
                break;
            }
            if time / 100 != self.now / 100 {
                self.routers.iter_mut().for_each(|router| router.tick(Millis(time)));
            }
            self.now = time;
            self.handle(event);
        }
        let work_ms = self.targets.iter().map(|target| target.work_ms);
        let mean = work_ms.clone().sum::<f64>() / TARGETS as f64;
        self.figures.busiest_to_mean = work_ms.fold(0.0, f64::max) / mean.max(1.0);
        self.figures.queueing_times.sort_unstable();
        self.figures
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OpenFeed | Event::OpenClaim => self.handle_arrival(event),
            Event::Replace(target) => self.replace_target(target),
            Event::Reopen { vm, requests_left } => {
                self.open_flow(vm as usize, true, requests_left, 0, self.now)
            }
            Event::Send(flow) => self.send_request(flow),
            Event::Arrive(flow) => self.arrive_at_target(flow),
            Event::Finish(flow) => self.finish(flow),
            Event::Response { flow, refused } => self.handle_response(flow, refused),
        }
    }

    /// Returns an exponentially distributed time with the given mean.
    fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
        (-mean * (1.0 - rng.random::<f64>()).ln()).round() as u64
    }

    fn handle_arrival(&mut self, event: Event) {
        let feed = event == Event::OpenFeed;
        // Feeds and claims share the offered load in the same proportion as in the deployments.
        let work = FEED_WORK_MS + CLAIMS_PER_FEED_REQUEST * CLAIM_WORK_MS;
        let feed_gap = work / (capacity() * self.scenario.load);
        let gap = if feed { feed_gap * FEED_REQUESTS } else { feed_gap / CLAIMS_PER_FEED_REQUEST };
        let next = self.now + Self::exponential(&mut self.arrivals, gap);
        let requests_left =
            if feed { 1 + Self::exponential(&mut self.arrivals, FEED_REQUESTS - 1.0) } else { 1 };
        let all: u32 = VM_SIZES.iter().sum();
        let mut remaining = self.arrivals.random_range(0..all);
        let mut vm = 0;
        while remaining >= VM_SIZES[vm] {
            remaining -= VM_SIZES[vm];
            vm += 1;
        }
        self.open_flow(vm, feed, requests_left as u32, 0, self.now);
        self.schedule(next, event);
    }

    fn open_flow(&mut self, vm: usize, feed: bool, requests_left: u32, retries: u8, sent_at: u64) {
        let number = self.flows.len() as u32;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + number / 50_000);
        let client = SocketAddrV4::new(ip, (number % 50_000) as u16 + 1);
        let id = FlowId { client, service: if feed { FEED } else { CLAIM } };
        let target = self.select_target(vm, id);
        let incarnation = self.targets[target].incarnation;
        self.outstanding[vm].flows[target] += 1;
        let counted = sent_at >= self.scenario.from;
        self.flows.push(Flow {
            id,
            vm,
            target,
            incarnation,
            requests_left,
            retries,
            sent_at,
            arrived_at: 0,
            seq: 101,
            ack: 1,
            counted,
        });
        let one_way_ms = self.one_way_ms(vm, target);
        self.schedule(self.now + 2 * one_way_ms, Event::Send(number));
    }

    fn select_target(&mut self, vm: usize, id: FlowId) -> usize {
        let outstanding = &self.outstanding[vm];
        let remote = |target: usize| data_centre(target) != data_centre(vm);
        let cost = match self.scenario.policy {
            Policy::Router | Policy::SharedRouter => return self.route(vm, id),
            Policy::Random => [0; TARGETS],
            Policy::LeastOutstanding => outstanding.requests,
            Policy::LeastFlows => std::array::from_fn(|target| {
                2 * outstanding.flows[target] + u32::from(remote(target))
            }),
        };
        let least = cost.iter().min().copied().unwrap_or(0);
        let least_loaded: Vec<usize> =
            (0..TARGETS).filter(|target| cost[*target] == least).collect();
        least_loaded[self.choice.random_range(0..least_loaded.len())]
    }

    fn router_of(&self, vm: usize) -> usize {
        if self.scenario.policy == Policy::SharedRouter { 0 } else { vm }
    }

    fn route(&mut self, vm: usize, id: FlowId) -> usize {
        let kind = SegmentKind::Open { copy: 0 };
        let opening = ClientSegment { flow: id, kind, token: None, seq: 100, ack: 0, payload: 0 };
        let router = self.router_of(vm);
        let verdict = self.routers[router].on_segment(Millis(self.now), &opening);
        let decision = self.routers[router].take_decision();
        match (verdict, decision) {
            (Verdict::Forward(_), Some(decision)) => self.by_name[&decision.target],
            other => unreachable!("an opening with live targets was not forwarded: {other:?}"),
        }
    }

    /// Passes a segment of an open flow to the router, with policies that use one.
    fn observe(&mut self, number: u32, kind: SegmentKind, payload: u16) {
        if !matches!(self.scenario.policy, Policy::Router | Policy::SharedRouter) {
            return;
        }
        let flow = &mut self.flows[number as usize];
        let token =
            Some(RoutingToken::of(&target_name(flow.target, flow.incarnation), flow.id.service));
        let (seq, ack) = (flow.seq, flow.ack);
        let segment = ClientSegment { flow: flow.id, kind, token, seq, ack, payload };
        flow.seq += u32::from(payload);
        let router = self.router_of(self.flows[number as usize].vm);
        self.routers[router].on_segment(Millis(self.now), &segment);
    }

    fn one_way_ms(&self, vm: usize, target: usize) -> u64 {
        let remote = data_centre(vm) != data_centre(target);
        ONE_WAY_MS + if remote { REMOTE_EXTRA_MS } else { 0 }
    }

    fn send_request(&mut self, number: u32) {
        let flow = &mut self.flows[number as usize];
        let (vm, target) = (flow.vm, flow.target);
        self.outstanding[vm].requests[target] += 1;
        let one_way_ms = self.one_way_ms(vm, target);
        self.observe(number, SegmentKind::Data, 200);
        self.schedule(self.now + one_way_ms, Event::Arrive(number));
    }

    fn arrive_at_target(&mut self, number: u32) {
        let flow = &mut self.flows[number as usize];
        flow.arrived_at = self.now;
        let target = &mut self.targets[flow.target];
        if target.running < SLOTS {
            self.start_request(number);
        } else if target.queue.len() < MAX_QUEUE {
            target.queue.push_back(number);
        } else {
            let one_way_ms =
                self.one_way_ms(self.flows[number as usize].vm, self.flows[number as usize].target);
            self.schedule(self.now + one_way_ms, Event::Response { flow: number, refused: true });
        }
    }

    fn start_request(&mut self, number: u32) {
        let flow = &self.flows[number as usize];
        let mean = if flow.id.service == FEED { FEED_WORK_MS } else { CLAIM_WORK_MS };
        let target = &mut self.targets[flow.target];
        let warm_up_factor =
            if self.now < target.warming_until { TARGET_WARM_UP_FACTOR } else { 1.0 };
        let work = mean * (0.5 + self.work.random::<f64>()) * target.slowness * warm_up_factor;
        target.running += 1;
        if flow.counted {
            target.work_ms += work;
            self.figures.queueing_times.push(self.now - flow.arrived_at);
        }
        self.schedule(self.now + (work as u64).max(1), Event::Finish(number));
    }

    fn finish(&mut self, number: u32) {
        let (vm, target) = (self.flows[number as usize].vm, self.flows[number as usize].target);
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start_request(next);
        }
        let one_way_ms = self.one_way_ms(vm, target);
        self.schedule(self.now + one_way_ms, Event::Response { flow: number, refused: false });
    }

    fn handle_response(&mut self, number: u32, refused: bool) {
        let flow = &mut self.flows[number as usize];
        flow.ack += if refused { 150 } else { 2_000 };
        let (vm, target, feed) = (flow.vm, flow.target, flow.id.service == FEED);
        self.outstanding[vm].requests[target] -= 1;
        let current = flow.incarnation == self.targets[target].incarnation;
        let (retries, sent_at) = (flow.retries, flow.sent_at);
        if refused && retries < MAX_RETRIES {
            let requests_left = flow.requests_left;
            self.close_flow(number);
            let vm = self.next_vm(vm);
            return self.open_flow(vm, feed, requests_left, retries + 1, sent_at);
        }
        flow.requests_left -= 1;
        let requests_left = flow.requests_left;
        self.record_outcome(number, refused);
        let next = self.now + Self::exponential(&mut self.work, FEED_PAUSE_MS).max(1);
        if requests_left == 0 || refused || !current {
            self.close_flow(number);
            if requests_left > 0 {
                let vm = self.next_vm(vm) as u32;
                self.schedule(next, Event::Reopen { vm, requests_left });
            }
            return;
        }
        self.observe(number, SegmentKind::Data, 0);
        let flow = &mut self.flows[number as usize];
        (flow.sent_at, flow.retries) = (next, 0);
        flow.counted = next >= self.scenario.from;
        self.schedule(next, Event::Send(number));
    }

    /// Returns the VM that receives a client's next flow, which has another port: one of the same
    /// data centre.
    fn next_vm(&mut self, vm: usize) -> usize {
        let local: Vec<usize> =
            (0..VM_SIZES.len()).filter(|other| data_centre(*other) == data_centre(vm)).collect();
        local[self.work.random_range(0..local.len())]
    }

    fn record_outcome(&mut self, number: u32, refused: bool) {
        let flow = &self.flows[number as usize];
        if !flow.counted {
            return;
        }
        let late = self.now - flow.sent_at > objective(flow.id.service == FEED).get();
        self.figures.requests += 1;
        self.figures.refused += u64::from(refused);
        self.figures.late += u64::from(late && !refused);
        self.figures.remote += u64::from(data_centre(flow.vm) != data_centre(flow.target));
    }

    fn close_flow(&mut self, number: u32) {
        let flow = &self.flows[number as usize];
        self.outstanding[flow.vm].flows[flow.target] -= 1;
        self.observe(number, SegmentKind::Finish, 0);
    }

    /// Replaces a target by one that has just started. The old target's flows end with their next
    /// response.
    fn replace_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let old_name = target_name(index, target.incarnation);
        target.incarnation += 1;
        target.warming_until = self.now + TARGET_WARM_UP_MS;
        let incarnation = target.incarnation;
        self.by_name.remove(&old_name);
        self.by_name.insert(target_name(index, incarnation), index);
        let revision = self.now;
        for router in &mut self.routers {
            use jasminecart_core::version::TargetChange::{Deleted, Written};
            let name = old_name.clone();
            let now = Millis(self.now);
            router.change_target(
                now,
                Deleted { name, revision: StoreRevision::new(0, revision), lapsed: false },
            );
            router.change_target(
                now,
                Written(record(index, incarnation, revision, TARGET_WARM_UP_MS)),
            );
        }
        self.schedule(self.now + REPLACE_INTERVAL_MS, Event::Replace((index + 1) % TARGETS));
    }
}
