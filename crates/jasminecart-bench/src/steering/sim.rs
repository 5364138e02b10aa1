//! Discrete-event simulation of VMs that choose targets for flows with a routing token.
//!
//! The router under test sees exactly what it sees on the platform: the segments of clients. It does not see
//! answers, queues or the choices of other VMs. All policies face the same flows, requests and work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, FlowId, RoutingToken, SegmentKind, TokenRouter, TokenRouterLimits, Verdict,
};
use jasminecart_core::hashing::HashMap;
use jasminecart_core::version::{
    Repeatable, Revision, RouteRule, Routes, TargetRecord, TargetState,
};
use jasminecart_core::{Millis, Name, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Figures, Policy, Scenario};

/// Sizes of the VMs. A VM gets flows in proportion to its size.
const VM_SIZES: [u32; 7] = [4, 4, 2, 2, 2, 1, 1];
/// The data centres of VMs and targets, in turn.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
pub(super) const TARGETS: usize = 14;
const SLOTS: usize = 2;
/// The requests that a target queues before it refuses more.
const QUEUE: usize = 8;
/// The slowest target takes this many times as long as the fastest.
const SPREAD: f64 = 4.0;
/// The span during which a target that has started is slow, and by how much.
const COLD_MS: u64 = 5_000;
const COLD_FACTOR: f64 = 2.0;
/// A target starts anew every so often when targets are replaced.
const REPLACE_EVERY_MS: u64 = 2_000;
/// One way between a client and a target of its own data centre, and what another data centre adds.
const TRIP_MS: u64 = 1;
const REMOTE_TRIP_MS: u64 = 1;
/// The mean work of a feed's request and of a claim on a target of average speed.
const FEED_WORK_MS: f64 = 30.0;
const CLAIM_WORK_MS: f64 = 39.0;
/// The requests of a feed's flow on average, and the pause between them.
const FEED_REQUESTS: f64 = 10.0;
const FEED_PAUSE_MS: f64 = 1_000.0;
/// Claims for each request of a feed.
const CLAIMS_PER_FEED_REQUEST: f64 = 2.0 / 7.0;
/// How often a client tries again after a refusal, on a new flow.
const RETRIES: u8 = 2;
const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const CLAIM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const SERVICE: &str = "desk";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    OpenFeed,
    OpenClaim,
    Replace(usize),
    /// A client goes on with its feed on a new flow.
    Reopen {
        vm: u32,
        left: u32,
    },
    /// The client of a flow sends a request.
    Send(u32),
    /// A request arrives at the target of its flow.
    Reach(u32),
    /// The target of a flow has done the request.
    Done(u32),
    /// The client receives the answer; `refused` is one that says that the request did not run.
    Answer {
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
    left: u32,
    tries: u8,
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
    cold_until: u64,
    running: usize,
    queue: VecDeque<u32>,
    work_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Outstanding {
    requests: [u32; TARGETS],
    flows: [u32; TARGETS],
}

/// The state of a run.
pub(super) struct Sim {
    scenario: Scenario,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    arrivals: ChaCha8Rng,
    work: ChaCha8Rng,
    choice: ChaCha8Rng,
    routers: Vec<TokenRouter>,
    seen: Vec<Outstanding>,
    targets: Vec<Target>,
    by_name: HashMap<Name, usize>,
    flows: Vec<Flow>,
    figures: Figures,
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

fn slowness(target: usize) -> f64 {
    SPREAD.powf(target as f64 / (TARGETS - 1) as f64) / SPREAD.sqrt()
}

/// Returns the work in ms that all slots do in a millisecond, for requests of average speed.
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
        revision: Revision(revision),
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
        revision: Revision(1),
        version: 1,
        by_address: [(FEED, feed), (CLAIM, claim)].into_iter().collect(),
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
            seen: vec![Outstanding::default(); VM_SIZES.len()],
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
                cold_until: 0,
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
            router.set_targets(Millis::ZERO, records, Revision(1));
            router.set_routes(routes.clone());
            sim.routers.push(router);
        }
        sim.at(1, Event::OpenFeed);
        sim.at(1, Event::OpenClaim);
        if scenario.replaced {
            sim.at(scenario.from, Event::Replace(0));
        }
        sim
    }

    /// Runs until the end of the measured span.
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
        let used = self.targets.iter().map(|target| target.work_ms);
        let mean = used.clone().sum::<f64>() / TARGETS as f64;
        self.figures.busiest_to_mean = used.fold(0.0, f64::max) / mean.max(1.0);
        self.figures.waits.sort_unstable();
        self.figures
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OpenFeed | Event::OpenClaim => self.arrive(event),
            Event::Replace(target) => self.replace(target),
            Event::Reopen { vm, left } => self.open(vm as usize, true, left, 0, self.now),
            Event::Send(flow) => self.send(flow),
            Event::Reach(flow) => self.reach(flow),
            Event::Done(flow) => self.done(flow),
            Event::Answer { flow, refused } => self.answer(flow, refused),
        }
    }

    /// Returns a random span with the given mean.
    fn span(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
        (-mean * (1.0 - rng.random::<f64>()).ln()).round() as u64
    }

    fn arrive(&mut self, event: Event) {
        let feed = event == Event::OpenFeed;
        // Feeds and claims share the offered work in the proportions of the deployments.
        let work = FEED_WORK_MS + CLAIMS_PER_FEED_REQUEST * CLAIM_WORK_MS;
        let feed_gap = work / (capacity() * self.scenario.load);
        let gap = if feed { feed_gap * FEED_REQUESTS } else { feed_gap / CLAIMS_PER_FEED_REQUEST };
        let next = self.now + Self::span(&mut self.arrivals, gap);
        let left = if feed { 1 + Self::span(&mut self.arrivals, FEED_REQUESTS - 1.0) } else { 1 };
        let all: u32 = VM_SIZES.iter().sum();
        let mut rest = self.arrivals.random_range(0..all);
        let mut vm = 0;
        while rest >= VM_SIZES[vm] {
            rest -= VM_SIZES[vm];
            vm += 1;
        }
        self.open(vm, feed, left as u32, 0, self.now);
        self.at(next, event);
    }

    fn open(&mut self, vm: usize, feed: bool, left: u32, tries: u8, sent_at: u64) {
        let number = self.flows.len() as u32;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + number / 50_000);
        let client = SocketAddrV4::new(ip, (number % 50_000) as u16 + 1);
        let id = FlowId { client, service: if feed { FEED } else { CLAIM } };
        let target = self.choose(vm, id);
        let incarnation = self.targets[target].incarnation;
        self.seen[vm].flows[target] += 1;
        let counted = sent_at >= self.scenario.from;
        self.flows.push(Flow {
            id,
            vm,
            target,
            incarnation,
            left,
            tries,
            sent_at,
            arrived_at: 0,
            seq: 101,
            ack: 1,
            counted,
        });
        let trip = self.trip(vm, target);
        self.at(self.now + 2 * trip, Event::Send(number));
    }

    fn choose(&mut self, vm: usize, id: FlowId) -> usize {
        let seen = &self.seen[vm];
        let remote = |target: usize| data_centre(target) != data_centre(vm);
        let cost = match self.scenario.policy {
            Policy::Router | Policy::SharedRouter => return self.route(vm, id),
            Policy::Random => [0; TARGETS],
            Policy::LeastOutstanding => seen.requests,
            Policy::LeastFlows => {
                std::array::from_fn(|target| 2 * seen.flows[target] + u32::from(remote(target)))
            }
        };
        let least = cost.iter().min().copied().unwrap_or(0);
        let best: Vec<usize> = (0..TARGETS).filter(|target| cost[*target] == least).collect();
        best[self.choice.random_range(0..best.len())]
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

    /// Shows a segment of an open flow to the router.
    fn show(&mut self, number: u32, kind: SegmentKind, payload: u16) {
        if !matches!(self.scenario.policy, Policy::Router | Policy::SharedRouter) {
            return;
        }
        let flow = &mut self.flows[number as usize];
        let token = Some(RoutingToken::of(&target_name(flow.target, flow.incarnation)));
        let (seq, ack) = (flow.seq, flow.ack);
        let segment = ClientSegment { flow: flow.id, kind, token, seq, ack, payload };
        flow.seq += u32::from(payload);
        let router = self.router_of(self.flows[number as usize].vm);
        self.routers[router].on_segment(Millis(self.now), &segment);
    }

    fn trip(&self, vm: usize, target: usize) -> u64 {
        let remote = data_centre(vm) != data_centre(target);
        TRIP_MS + if remote { REMOTE_TRIP_MS } else { 0 }
    }

    fn send(&mut self, number: u32) {
        let flow = &mut self.flows[number as usize];
        let (vm, target) = (flow.vm, flow.target);
        self.seen[vm].requests[target] += 1;
        let trip = self.trip(vm, target);
        self.show(number, SegmentKind::Data, 200);
        self.at(self.now + trip, Event::Reach(number));
    }

    fn reach(&mut self, number: u32) {
        let flow = &mut self.flows[number as usize];
        flow.arrived_at = self.now;
        let target = &mut self.targets[flow.target];
        if target.running < SLOTS {
            self.start(number);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(number);
        } else {
            let trip =
                self.trip(self.flows[number as usize].vm, self.flows[number as usize].target);
            self.at(self.now + trip, Event::Answer { flow: number, refused: true });
        }
    }

    fn start(&mut self, number: u32) {
        let flow = &self.flows[number as usize];
        let mean = if flow.id.service == FEED { FEED_WORK_MS } else { CLAIM_WORK_MS };
        let target = &mut self.targets[flow.target];
        let cold = if self.now < target.cold_until { COLD_FACTOR } else { 1.0 };
        let work = mean * (0.5 + self.work.random::<f64>()) * target.slowness * cold;
        target.running += 1;
        if flow.counted {
            target.work_ms += work;
            self.figures.waits.push(self.now - flow.arrived_at);
        }
        self.at(self.now + (work as u64).max(1), Event::Done(number));
    }

    fn done(&mut self, number: u32) {
        let (vm, target) = (self.flows[number as usize].vm, self.flows[number as usize].target);
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(next);
        }
        let trip = self.trip(vm, target);
        self.at(self.now + trip, Event::Answer { flow: number, refused: false });
    }

    fn answer(&mut self, number: u32, refused: bool) {
        let flow = &mut self.flows[number as usize];
        flow.ack += if refused { 150 } else { 2_000 };
        let (vm, target, feed) = (flow.vm, flow.target, flow.id.service == FEED);
        self.seen[vm].requests[target] -= 1;
        let current = flow.incarnation == self.targets[target].incarnation;
        let (tries, sent_at) = (flow.tries, flow.sent_at);
        if refused && tries < RETRIES {
            let left = flow.left;
            self.close(number);
            let vm = self.another_vm(vm);
            return self.open(vm, feed, left, tries + 1, sent_at);
        }
        flow.left -= 1;
        let left = flow.left;
        self.count(number, refused);
        let next = self.now + Self::span(&mut self.work, FEED_PAUSE_MS).max(1);
        if left == 0 || refused || !current {
            self.close(number);
            if left > 0 {
                let vm = self.another_vm(vm) as u32;
                self.at(next, Event::Reopen { vm, left });
            }
            return;
        }
        self.show(number, SegmentKind::Data, 0);
        let flow = &mut self.flows[number as usize];
        (flow.sent_at, flow.tries) = (next, 0);
        flow.counted = next >= self.scenario.from;
        self.at(next, Event::Send(number));
    }

    /// Returns the VM that gets a client's next flow, by its new port: one of the same data centre.
    fn another_vm(&mut self, vm: usize) -> usize {
        let near: Vec<usize> =
            (0..VM_SIZES.len()).filter(|other| data_centre(*other) == data_centre(vm)).collect();
        near[self.work.random_range(0..near.len())]
    }

    fn count(&mut self, number: u32, refused: bool) {
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

    fn close(&mut self, number: u32) {
        let flow = &self.flows[number as usize];
        self.seen[flow.vm].flows[flow.target] -= 1;
        self.show(number, SegmentKind::Finish, 0);
    }

    /// Replaces a target by one that has just started. Its flows end with their next answers.
    fn replace(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let gone = target_name(index, target.incarnation);
        target.incarnation += 1;
        target.cold_until = self.now + COLD_MS;
        let incarnation = target.incarnation;
        self.by_name.remove(&gone);
        self.by_name.insert(target_name(index, incarnation), index);
        let revision = self.now;
        for router in &mut self.routers {
            use jasminecart_core::version::TargetChange::{Deleted, Written};
            let name = gone.clone();
            let now = Millis(self.now);
            router
                .change_target(now, Deleted { name, revision: Revision(revision), lapsed: false });
            router.change_target(now, Written(record(index, incarnation, revision, COLD_MS)));
        }
        self.at(self.now + REPLACE_EVERY_MS, Event::Replace((index + 1) % TARGETS));
    }
}
