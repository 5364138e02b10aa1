//! Discrete-event simulation of VMs in front of targets that shed what they can't queue.
//!
//! The routers see only the segments that clients send, as on the platform. Feeds stay on open
//! flows until a target sheds one of their requests; claims open a flow each. Clients retry what was
//! refused a few milliseconds later, on a new flow through any VM.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, FlowId, RoutingToken, SegmentKind, TokenRouter, TokenRouterLimits, Verdict,
};
use jasminecart_core::hashing::HashMap;
use jasminecart_core::version::{
    Repeatable, RouteRule, Routes, StoreRevision, TargetChange, TargetRecord, TargetState,
};
use jasminecart_core::{Millis, Name, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{CLAIM_WORK_MS, Class, FEED_WORK_MS, Figures, Policy, Scenario};

const VMS: usize = 9;
const TARGETS: usize = 14;
const SLOTS: usize = 3;
/// The number of requests that a target queues. It refuses more.
const MAX_QUEUE: usize = 12;
/// The factors on the processing time of the targets, in turn.
const SLOWNESS: [f64; 3] = [0.6, 1.0, 1.6];
const FEED_USERS: usize = 300;
/// The number of claims for each request of a feed.
const CLAIMS_PER_FEED_REQUEST: f64 = 2.0 / 7.0;
const FEED_OBJECTIVE: Millis = Millis(250);
const CLAIM_OBJECTIVE: Millis = Millis(300);
const DEADLINE_MS: u64 = 4_000;
const ONE_WAY_MS: u64 = 1;
/// The pause before a client's next attempt.
const RETRY_PAUSE_MS: u64 = 12;
const FEED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
const CLAIM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
const SERVICE: &str = "desk";
const SERVED_BYTES: u32 = 2_000;
const SHED_BYTES: u32 = 150;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Class),
    /// A client makes an attempt.
    Attempt(usize),
    /// A request arrives at its target.
    Arrive(usize),
    /// A target finishes a request.
    Finish(usize),
    /// A client gets the response to a request.
    Response {
        request: usize,
        served: bool,
    },
    /// Targets are lost, or return.
    Lose(bool),
}

/// A flow between a client and a target.
#[derive(Clone, Copy, Debug)]
struct Flow {
    id: FlowId,
    vm: usize,
    target: usize,
    seq: u32,
    ack: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: Class,
    /// The user whose feed it belongs to.
    user: usize,
    sent_at: u64,
    attempts: u8,
    flow: Option<Flow>,
    counted: bool,
}

#[derive(Clone, Debug, Default)]
struct Target {
    lost: bool,
    running: usize,
    queue: VecDeque<usize>,
}

/// The state of the simulation.
pub(super) struct Sim {
    scenario: Scenario,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    routers: Vec<TokenRouter>,
    outstanding: Vec<[u32; TARGETS]>,
    targets: Vec<Target>,
    by_name: HashMap<Name, usize>,
    /// The open flow of each feed.
    feeds: Vec<Option<Flow>>,
    requests: Vec<Request>,
    next_port: u32,
    figures: Figures,
}

fn target_name(target: usize) -> Name {
    Name::new(format!("i-{target:04x}"))
}

fn record(target: usize, revision: u64) -> TargetRecord {
    TargetRecord {
        name: target_name(target),
        label: target as u64,
        service: Name::new(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, target as u8), 8_000),
        data_centre: Name::new("a"),
        slots: SLOTS as u32,
        state: TargetState::Active,
        cold_for: Millis::ZERO,
        started_at: None,
        sequence: 1,
        revision: StoreRevision::new(0, revision),
    }
}

fn routes() -> Routes {
    let rule = |name, repeatable, objective, priority| {
        Arc::new(RouteRule {
            name: Name::new(name),
            services: vec![(Name::new(SERVICE), 1)],
            repeatable,
            timeout: Millis(DEADLINE_MS),
            objective,
            priority,
        })
    };
    let feed = rule("feed", Repeatable::Always, FEED_OBJECTIVE, 2);
    let claim = rule("claim", Repeatable::Never, CLAIM_OBJECTIVE, 1);
    Routes {
        revision: StoreRevision::new(0, 1),
        version: 1,
        by_address: [(FEED, feed), (CLAIM, claim)].into_iter().collect(),
        services: Default::default(),
        idle_timeout: Millis::from_secs(12),
    }
}

/// Returns the work that all slots do in a millisecond, in ms of processing time on a target of
/// average speed.
fn capacity() -> f64 {
    (0..TARGETS).map(|target| SLOTS as f64 / SLOWNESS[target % SLOWNESS.len()]).sum()
}

impl Sim {
    pub(super) fn new(scenario: Scenario) -> Sim {
        let seed = scenario.seed;
        let routes = Arc::new(routes());
        let routers = (0..VMS).map(|vm| {
            let me = VmId::new("a", format!("vm{vm}"));
            let refuses = scenario.policy == Policy::Router;
            let limits =
                TokenRouterLimits { refuses_under_overload: refuses, ..Default::default() };
            let mut router = TokenRouter::new(&me, seed * 100 + vm as u64, limits);
            let records = (0..TARGETS).map(|target| record(target, 1)).collect();
            router.set_targets(Millis::ZERO, records, StoreRevision::new(0, 1));
            router.set_routes(routes.clone());
            router
        });
        let mut sim = Sim {
            scenario,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: routers.collect(),
            outstanding: vec![[0; TARGETS]; VMS],
            targets: vec![Target::default(); TARGETS],
            by_name: (0..TARGETS).map(|target| (target_name(target), target)).collect(),
            feeds: vec![None; FEED_USERS],
            requests: Vec::new(),
            next_port: 0,
            figures: Figures::default(),
        };
        sim.schedule(1, Event::Arrival(Class::Feed));
        sim.schedule(1, Event::Arrival(Class::Claim));
        if scenario.lost > 0.0 {
            sim.schedule(scenario.from, Event::Lose(true));
            sim.schedule(scenario.until, Event::Lose(false));
        }
        sim
    }

    /// Runs until 5 s after the load and returns the results.
    pub(super) fn run(mut self) -> Figures {
        let end = self.scenario.until + 5_000;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            if time / 100 != self.now / 100 {
                self.routers.iter_mut().for_each(|router| router.tick(Millis(time)));
            }
            self.now = time;
            self.handle(event);
        }
        self.figures.feed.latencies.sort_unstable();
        self.figures.claim.latencies.sort_unstable();
        self.figures
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(class) => self.handle_arrival(class),
            Event::Attempt(request) => self.attempt(request),
            Event::Arrive(request) => self.arrive_at_target(request),
            Event::Finish(request) => self.finish(request),
            Event::Response { request, served } => self.handle_response(request, served),
            Event::Lose(lost) => self.lose_targets(lost),
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()).round() as u64
    }

    fn handle_arrival(&mut self, class: Class) {
        let loaded = (self.scenario.from..self.scenario.until).contains(&self.now);
        let load = if loaded { self.scenario.load } else { self.scenario.calm_load };
        let feed_gap =
            (FEED_WORK_MS + CLAIMS_PER_FEED_REQUEST * CLAIM_WORK_MS) / (capacity() * load);
        let gap = match class {
            Class::Feed => feed_gap,
            Class::Claim => feed_gap / CLAIMS_PER_FEED_REQUEST,
        };
        let next = self.now + self.exponential(gap);
        self.schedule(next, Event::Arrival(class));
        let user = self.rng.random_range(0..FEED_USERS);
        let request =
            Request { class, user, sent_at: self.now, attempts: 0, flow: None, counted: loaded };
        self.requests.push(request);
        if loaded {
            self.figures.class(class).offered += 1;
        }
        self.attempt(self.requests.len() - 1);
    }

    /// Sends a request on the open flow of its feed, or on a new flow.
    fn attempt(&mut self, number: usize) {
        let Request { class, user, sent_at, .. } = self.requests[number];
        self.requests[number].attempts += 1;
        if self.now >= sent_at + DEADLINE_MS {
            return self.end(number, Outcome::Failed);
        }
        let open = match class {
            Class::Feed => self.feeds[user],
            Class::Claim => None,
        };
        let flow = match open {
            Some(mut flow) => {
                self.observe(&mut flow, SegmentKind::Data, 200);
                self.feeds[user] = Some(flow);
                flow
            }
            None => match self.open(class) {
                Some(flow) => flow,
                None => return self.retry_or_refuse(number),
            },
        };
        self.requests[number].flow = Some(flow);
        self.outstanding[flow.vm][flow.target] += 1;
        self.schedule(self.now + ONE_WAY_MS, Event::Arrive(number));
    }

    /// Opens a flow through a random VM, unless the VM refuses it.
    fn open(&mut self, class: Class) -> Option<Flow> {
        self.next_port += 1;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + self.next_port / 50_000);
        let client = SocketAddrV4::new(ip, (self.next_port % 50_000) as u16 + 1);
        let id = FlowId { client, service: if class == Class::Feed { FEED } else { CLAIM } };
        let vm = self.rng.random_range(0..VMS);
        let target = self.select_target(vm, id)?;
        let mut flow = Flow { id, vm, target, seq: 101, ack: 1 };
        self.observe(&mut flow, SegmentKind::Data, 200);
        Some(flow)
    }

    fn select_target(&mut self, vm: usize, id: FlowId) -> Option<usize> {
        let live: Vec<usize> = (0..TARGETS).filter(|target| !self.targets[*target].lost).collect();
        match self.scenario.policy {
            Policy::Router | Policy::RouterWithoutRefusals => self.route(vm, id),
            Policy::Random => Some(live[self.rng.random_range(0..live.len())]),
            Policy::LeastOutstanding => {
                let outstanding = &self.outstanding[vm];
                let least = live.iter().map(|target| outstanding[*target]).min()?;
                let least_loaded: Vec<usize> =
                    live.into_iter().filter(|target| outstanding[*target] == least).collect();
                Some(least_loaded[self.rng.random_range(0..least_loaded.len())])
            }
        }
    }

    fn route(&mut self, vm: usize, id: FlowId) -> Option<usize> {
        let kind = SegmentKind::Open { copy: 0 };
        let opening = ClientSegment { flow: id, kind, token: None, seq: 100, ack: 0, payload: 0 };
        match self.routers[vm].on_segment(Millis(self.now), &opening) {
            Verdict::Forward(_) => {
                let decision = self.routers[vm].take_decision()?;
                Some(self.by_name[&decision.target])
            }
            Verdict::Reset(_) | Verdict::Drop(_) => None,
        }
    }

    /// Passes a segment of a flow to its router, with policies that use one.
    fn observe(&mut self, flow: &mut Flow, kind: SegmentKind, payload: u16) {
        if !matches!(self.scenario.policy, Policy::Router | Policy::RouterWithoutRefusals) {
            return;
        }
        let token = Some(RoutingToken::of(&target_name(flow.target), flow.id.service));
        let (seq, ack) = (flow.seq, flow.ack);
        let segment = ClientSegment { flow: flow.id, kind, token, seq, ack, payload };
        flow.seq += u32::from(payload);
        self.routers[flow.vm].on_segment(Millis(self.now), &segment);
    }

    fn arrive_at_target(&mut self, number: usize) {
        let Some(flow) = self.requests[number].flow else { return };
        if self.targets[flow.target].lost {
            return self.respond(number, false);
        }
        let target = &mut self.targets[flow.target];
        if target.running < SLOTS {
            return self.start(number, flow.target);
        }
        if target.queue.len() < MAX_QUEUE {
            target.queue.push_back(number);
        } else {
            self.respond(number, false);
        }
    }

    fn start(&mut self, number: usize, target: usize) {
        let mean = match self.requests[number].class {
            Class::Feed => FEED_WORK_MS,
            Class::Claim => CLAIM_WORK_MS,
        };
        self.targets[target].running += 1;
        let slowness = SLOWNESS[target % SLOWNESS.len()];
        let work = mean * (0.5 + self.rng.random::<f64>()) * slowness;
        self.schedule(self.now + (work as u64).max(1), Event::Finish(number));
    }

    fn finish(&mut self, number: usize) {
        let Some(flow) = self.requests[number].flow else { return };
        self.targets[flow.target].running -= 1;
        if let Some(next) = self.targets[flow.target].queue.pop_front() {
            self.start(next, flow.target);
        }
        self.respond(number, true);
    }

    fn respond(&mut self, request: usize, served: bool) {
        self.schedule(self.now + ONE_WAY_MS, Event::Response { request, served });
    }

    fn handle_response(&mut self, number: usize, served: bool) {
        let Request { class, user, sent_at, flow, .. } = self.requests[number];
        let Some(mut flow) = flow else { return };
        self.outstanding[flow.vm][flow.target] -= 1;
        flow.ack += if served { SERVED_BYTES } else { SHED_BYTES };
        let stays_open = class == Class::Feed && served && !self.targets[flow.target].lost;
        if stays_open {
            self.observe(&mut flow, SegmentKind::Data, 0);
            self.feeds[user] = Some(flow);
        } else {
            self.observe(&mut flow, SegmentKind::Finish, 0);
            if class == Class::Feed {
                self.feeds[user] = None;
            }
        }
        if !served {
            return self.retry_or_refuse(number);
        }
        let latency = self.now - sent_at;
        let objective = match class {
            Class::Feed => FEED_OBJECTIVE,
            Class::Claim => CLAIM_OBJECTIVE,
        };
        let outcome = match latency {
            latency if latency > DEADLINE_MS => Outcome::Failed,
            latency if latency > objective.get() => Outcome::Late(latency),
            latency => Outcome::InTime(latency),
        };
        self.end(number, outcome);
    }

    fn retry_or_refuse(&mut self, number: usize) {
        if self.requests[number].attempts <= self.scenario.retries {
            self.schedule(self.now + RETRY_PAUSE_MS, Event::Attempt(number));
            return;
        }
        let after = self.now.saturating_sub(self.scenario.until);
        self.figures.last_refusal_after = self.figures.last_refusal_after.max(after);
        self.end(number, Outcome::Refused);
    }

    fn end(&mut self, number: usize, outcome: Outcome) {
        let Request { class, counted, .. } = self.requests[number];
        if !counted {
            return;
        }
        let figures = self.figures.class(class);
        match outcome {
            Outcome::InTime(latency) => {
                figures.in_time += 1;
                figures.latencies.push(latency);
            }
            Outcome::Late(latency) => {
                figures.late += 1;
                figures.latencies.push(latency);
            }
            Outcome::Refused => figures.refused += 1,
            Outcome::Failed => figures.failed += 1,
        }
    }

    /// Removes the last targets, with the requests that they hold, or returns them.
    fn lose_targets(&mut self, lost: bool) {
        let count = (self.scenario.lost * TARGETS as f64) as usize;
        for target in TARGETS - count..TARGETS {
            self.targets[target].lost = lost;
            let queued = std::mem::take(&mut self.targets[target].queue);
            queued.into_iter().for_each(|request| self.respond(request, false));
            for user in 0..FEED_USERS {
                if self.feeds[user].is_some_and(|flow| flow.target == target) {
                    self.feeds[user] = None;
                }
            }
            let revision = 2 + self.now;
            let change = if lost {
                let name = target_name(target);
                TargetChange::Deleted {
                    name,
                    revision: StoreRevision::new(0, revision),
                    lapsed: false,
                }
            } else {
                TargetChange::Written(record(target, revision))
            };
            for router in &mut self.routers {
                router.change_target(Millis(self.now), change.clone());
            }
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// It was served within its objective, after the given time in ms.
    InTime(u64),
    /// It was served later.
    Late(u64),
    Refused,
    Failed,
}
