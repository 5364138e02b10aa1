//! Discrete-event simulation of entry VMs in front of targets with slots.
//!
//! One trip between two VMs, or between a VM and a target, takes 1 ms. The arrivals and the work of each
//! request depend on the seed alone, so every policy faces the same requests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, Name, VmId};
use jasminecart_core::process::{Member, MemberState, Members, PeerAddress};
use jasminecart_core::request::{
    Action, AttemptId, DispatchCounters, DispatchLimits, Dispatcher, NotRunCause, Outcome,
    RequestId, RequestMessage, RequestMeta,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Document, Revision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of the entry VMs. A VM receives requests in proportion to its size.
const VM_SIZES: [u32; 9] = [4, 4, 4, 2, 2, 2, 1, 1, 1];
pub(super) const TARGETS: usize = 14;
const SLOTS: usize = 2;
/// Mean service time of the fastest target; the slowest takes 4 times as long.
const FASTEST_MS: f64 = 100.0;
const SPREAD: f64 = 4.0;
const TRIP: u64 = 1;
const TICK: u64 = 10;
/// The longest wait before a request is shed, the same for queues at VMs and at targets.
pub(super) const MAX_WAIT: u64 = 5_000;
const DEADLINE: u64 = 30_000;
/// A target whose endpoint lies or lags answers a failure this fast.
const FAILURE_MS: u64 = 5;

/// How a request finds its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// The dispatcher of jasminecart.
    Dispatcher,
    /// A random target; the request queues there.
    Random,
    /// The target with the fewest requests of this VM; the request queues there.
    LeastOutstanding,
    /// As `LeastOutstanding`, among targets whose health endpoint said 5 s ago that they work.
    LaggingHealth,
    /// As `LeastOutstanding`, among targets whose health endpoint says that they work; it says so of
    /// failing targets, and denies it of two that work.
    LyingHealth,
}

impl Policy {
    pub(super) fn name(self) -> &'static str {
        match self {
            Policy::Dispatcher => "jasminecart",
            Policy::Random => "random",
            Policy::LeastOutstanding => "least outstanding",
            Policy::LaggingHealth => "l.o., health lags 5 s",
            Policy::LyingHealth => "l.o., health lies",
        }
    }
}

/// What goes wrong between `from` and the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    None,
    /// Three targets fail every request at once during 20 s of every 40 s.
    Failing,
    /// Every target has one slot instead of two.
    HalfSlots,
    /// Every target sheds every request.
    ShedAll,
    /// One more tenant offers twice the capacity of all targets. With `limited`, the document limits it.
    Flood {
        limited: bool,
    },
    /// The largest VM, home of several targets, makes no progress during 5 s of every 20 s.
    PausingHome,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) policy: Policy,
    pub(super) load: f64,
    pub(super) fault: Fault,
    /// Requests that arrive before are not counted.
    pub(super) from: u64,
    pub(super) until: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    Failed,
    Shed,
}

#[derive(Clone, Debug)]
struct Request {
    arrived: u64,
    vm: usize,
    claim: bool,
    flood: bool,
    idempotent: bool,
    work: f64,
    started: Option<u64>,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    request: usize,
    attempt: u64,
    vm: usize,
}

#[derive(Debug, Default)]
struct Target {
    mean_ms: f64,
    running: Vec<(Job, u64)>,
    queue: VecDeque<(Job, u64)>,
    busy_ms: u64,
    received: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    FloodArrival,
    Tick(usize),
    ReachTarget { target: usize, job: Job },
    LeaveTarget { target: usize, job: Job, failed: bool },
    Abort { target: usize, job: Job },
    Outcome { target: usize, job: Job, end: Ended },
    Message { to: usize, from: usize, index: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ended {
    Done(u16),
    Shed,
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// Queueing times of requests that were served, sorted.
    pub(super) waits: Vec<u64>,
    pub(super) claim_waits: Vec<u64>,
    /// Times from arrival to answer of requests that were served, sorted.
    pub(super) totals: Vec<u64>,
    pub(super) offered: u64,
    pub(super) shed: u64,
    pub(super) claims_offered: u64,
    pub(super) claims_shed: u64,
    pub(super) failed: u64,
    /// Attempts that reached a target for the offered requests.
    pub(super) received: u64,
    pub(super) slot_use: f64,
    pub(super) messages: u64,
    pub(super) bytes: u64,
    /// The bytes sent by the VM that sent most.
    pub(super) most_bytes: u64,
    pub(super) seconds: f64,
    pub(super) counters: DispatchCounters,
    /// Refusals by reason.
    pub(super) reasons: BTreeMap<String, u64>,
}

pub(super) struct Sim {
    scenario: Scenario,
    rng: ChaCha8Rng,
    choice: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    dispatchers: Vec<Dispatcher>,
    outstanding: Vec<Vec<u32>>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    places: BTreeMap<(usize, u64), (usize, usize)>,
    messages: Vec<Option<RequestMessage>>,
    message_count: u64,
    reasons: BTreeMap<String, u64>,
    bytes: [u64; VM_SIZES.len()],
}

fn vm_id(index: usize) -> VmId {
    VmId::new("dc", format!("vm{index}"))
}

fn mean_ms(target: usize) -> f64 {
    FASTEST_MS * SPREAD.powf(target as f64 / (TARGETS - 1) as f64)
}

/// Returns the requests a millisecond that all slots together serve.
fn capacity() -> f64 {
    (0..TARGETS).map(|target| SLOTS as f64 / mean_ms(target)).sum()
}

fn document(limited: bool) -> Arc<Document> {
    let mut text = format!(
        "[service ledger]\nclass = claims\nshed_status = 503\n\
         [class claims]\npriority = 1\nmax_queue_time = {MAX_WAIT}ms\n\
         [class uploads]\npriority = 5\nmax_queue_time = {MAX_WAIT}ms\n"
    );
    if limited {
        text += "[tenant flood]\nrate = 5/s\nburst = 5\nconcurrency = 2\n";
    }
    for target in 0..TARGETS {
        text += &format!(
            "[target t{target}]\nservice = ledger\ndata_centre = dc\naddress = 10.0.1.{target}:80\n"
        );
    }
    let document = Document::parse(Revision(1), &text);
    Arc::new(document.unwrap_or_else(|errors| unreachable!("{errors}")))
}

impl Sim {
    pub(super) fn new(scenario: Scenario) -> Sim {
        let target = |index| Target { mean_ms: mean_ms(index), ..Target::default() };
        let mut sim = Sim {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            choice: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            dispatchers: Vec::new(),
            outstanding: vec![vec![0; TARGETS]; VM_SIZES.len()],
            targets: (0..TARGETS).map(target).collect(),
            requests: Vec::new(),
            places: BTreeMap::new(),
            messages: Vec::new(),
            message_count: 0,
            reasons: BTreeMap::new(),
            bytes: [0; VM_SIZES.len()],
        };
        sim.at(1, Event::Arrival);
        if matches!(scenario.fault, Fault::Flood { .. }) {
            sim.at(scenario.from, Event::FloodArrival);
        }
        if scenario.policy == Policy::Dispatcher {
            sim.start_dispatchers();
        }
        sim
    }

    fn start_dispatchers(&mut self) {
        let limited = matches!(self.scenario.fault, Fault::Flood { limited: true });
        let document = document(limited);
        let member = |(index, size): (usize, &u32)| {
            let socket = std::net::SocketAddr::from(([10, 0, 0, index as u8], 1));
            Member {
                vm: vm_id(index),
                incarnation: Incarnation(1),
                state: MemberState::Active,
                size: *size,
                address: PeerAddress { control: socket, packets: socket, requests: socket },
                revision: Revision(1),
                heard_at: Millis::ZERO,
            }
        };
        let list: Vec<Member> = VM_SIZES.iter().enumerate().map(member).collect();
        for index in 0..VM_SIZES.len() {
            let seed = self.scenario.seed * 100 + index as u64;
            let limits = DispatchLimits::default();
            let mut dispatcher = Dispatcher::new(vm_id(index), Incarnation(1), seed, limits);
            dispatcher.set_document(Millis::ZERO, &document);
            dispatcher.set_members(Millis::ZERO, &Members::new(vm_id(index), list.clone()));
            self.dispatchers.push(dispatcher);
            self.at(1 + index as u64 % TICK, Event::Tick(index));
        }
    }

    /// Runs until every request ended.
    pub(super) fn run(mut self) -> Figures {
        let end = self.scenario.until + MAX_WAIT + DEADLINE + 1_000;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.figures()
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let resume = self.resumes_at(&event);
        if resume > self.now {
            return self.at(resume, event);
        }
        match event {
            Event::Arrival => self.arrive(false),
            Event::FloodArrival => self.arrive(true),
            Event::Tick(vm) => {
                let actions = self.dispatchers[vm].tick(Millis(self.now));
                self.perform(vm, actions);
                self.at(self.now + TICK, Event::Tick(vm));
            }
            Event::ReachTarget { target, job } => self.reach(target, job),
            Event::LeaveTarget { target, job, failed } => {
                if !self.stop(target, job) {
                    return;
                }
                let end = Ended::Done(if failed { 500 } else { 200 });
                self.at(self.now + TRIP, Event::Outcome { target, job, end });
            }
            Event::Abort { target, job } => {
                self.stop(target, job);
            }
            Event::Outcome { target, job, end } => self.outcome(target, job, end),
            Event::Message { to, from, index } => {
                let Some(message) = self.messages[index].take() else { return };
                let now = Millis(self.now);
                let actions = self.dispatchers[to].on_message(now, &vm_id(from), message);
                self.perform(to, actions);
            }
        }
    }

    /// Returns when a paused VM handles an event.
    fn resumes_at(&self, event: &Event) -> u64 {
        let vm = match event {
            Event::Tick(vm) | Event::Outcome { job: Job { vm, .. }, .. } => *vm,
            Event::Message { to, .. } => *to,
            _ => return 0,
        };
        if self.is_paused(vm) { self.now - self.now % 20_000 + 5_000 } else { 0 }
    }

    fn is_paused(&self, vm: usize) -> bool {
        let pauses = self.scenario.fault == Fault::PausingHome && vm == 0;
        pauses && self.now >= self.scenario.from && self.now % 20_000 < 5_000
    }

    fn arrive(&mut self, flood: bool) {
        // Arrivals go on while the last counted requests wait, or those would find an idle system.
        if self.now > self.scenario.until + MAX_WAIT {
            return;
        }
        let load = if flood { 2.0 } else { self.scenario.load };
        let gap = exponential(&mut self.rng) / (capacity() * load);
        let event = if flood { Event::FloodArrival } else { Event::Arrival };
        let next = self.now + sample(&mut self.rng, gap);
        self.at(next, event);
        let total: u32 = VM_SIZES.iter().sum();
        let mut pick = self.rng.random_range(0..total);
        let vm = VM_SIZES.iter().position(|size| {
            let found = pick < *size;
            pick = pick.saturating_sub(*size);
            found
        });
        let (claim, idempotent) = (self.rng.random_bool(0.5), self.rng.random_bool(0.5));
        let work = exponential(&mut self.rng);
        let vm = vm.unwrap_or(0);
        // The fabric sends no new requests to a VM that does not answer.
        let vm = if self.is_paused(vm) { 1 } else { vm };
        let arrived = self.now;
        let (started, end) = (None, None);
        let request = Request { arrived, vm, claim, flood, idempotent, work, started, end };
        self.requests.push(request);
        self.submit(self.requests.len() - 1);
    }

    fn submit(&mut self, index: usize) {
        let request = &self.requests[index];
        let vm = request.vm;
        if self.scenario.policy != Policy::Dispatcher {
            let target = self.choose(vm);
            self.outstanding[vm][target] += 1;
            let job = Job { request: index, attempt: 0, vm };
            return self.at(self.now + TRIP, Event::ReachTarget { target, job });
        }
        let meta = RequestMeta {
            id: RequestId(index as u64),
            service: Name::new("ledger"),
            class: Name::new(if request.claim { "claims" } else { "uploads" }),
            tenant: Name::new(if request.flood { "flood" } else { "herders" }),
            deadline: Millis(request.arrived + DEADLINE),
            idempotent: request.idempotent,
            repeatable: true,
            key: None,
        };
        let actions = self.dispatchers[vm].submit(Millis(self.now), meta);
        self.perform(vm, actions);
    }

    fn choose(&mut self, vm: usize) -> usize {
        let random = self.choice.random_range(0..TARGETS);
        let now = self.now;
        let healthy = |target: &usize| match self.scenario.policy {
            Policy::LaggingHealth => now < 5_000 || !self.fails(*target, now - 5_000),
            Policy::LyingHealth => !(5..7).contains(target),
            _ => true,
        };
        if self.scenario.policy == Policy::Random {
            return random;
        }
        let all = (0..TARGETS).map(|offset| (random + offset) % TARGETS).filter(healthy);
        all.min_by_key(|target| self.outstanding[vm][*target]).unwrap_or(random)
    }

    /// Tells whether a target fails every request at a time.
    fn fails(&self, target: usize, time: u64) -> bool {
        let failing = self.scenario.fault == Fault::Failing && target.is_multiple_of(5);
        failing && time >= self.scenario.from && time % 40_000 < 20_000
    }

    fn slots(&self) -> usize {
        let faulty = self.now >= self.scenario.from;
        match self.scenario.fault {
            Fault::HalfSlots if faulty => 1,
            Fault::ShedAll if faulty => 0,
            _ => SLOTS,
        }
    }

    fn reach(&mut self, target: usize, job: Job) {
        let slots = self.slots();
        let queues = self.scenario.policy != Policy::Dispatcher && slots > 0;
        let request = &self.requests[job.request];
        let counted = (self.scenario.from..self.scenario.until).contains(&request.arrived);
        if counted && !request.flood {
            self.targets[target].received += 1;
        }
        if self.targets[target].running.len() < slots {
            self.start(target, job);
        } else if queues {
            self.targets[target].queue.push_back((job, self.now));
        } else {
            self.at(self.now + TRIP, Event::Outcome { target, job, end: Ended::Shed });
        }
    }

    fn start(&mut self, target: usize, job: Job) {
        let failed = self.fails(target, self.now);
        let request = &mut self.requests[job.request];
        request.started.get_or_insert(self.now);
        let service = (self.targets[target].mean_ms * request.work).round() as u64;
        let service = if failed { FAILURE_MS } else { service.max(1) };
        self.targets[target].running.push((job, self.now));
        self.at(self.now + service, Event::LeaveTarget { target, job, failed });
    }

    /// Ends a job, if it runs, and starts queued ones. Those that waited too long are shed, as in a
    /// dispatcher.
    fn stop(&mut self, target: usize, job: Job) -> bool {
        let running = &mut self.targets[target].running;
        let Some(index) = running.iter().position(|(other, _)| *other == job) else { return false };
        let (_, started) = running.swap_remove(index);
        let until = self.now.min(self.scenario.until);
        self.targets[target].busy_ms += until.saturating_sub(started.max(self.scenario.from));
        while self.targets[target].running.len() < self.slots() {
            let Some((next, since)) = self.targets[target].queue.pop_front() else { break };
            if self.now - since > MAX_WAIT {
                self.at(self.now + TRIP, Event::Outcome { target, job: next, end: Ended::Shed });
            } else {
                self.start(target, next);
            }
        }
        true
    }

    fn outcome(&mut self, target: usize, job: Job, end: Ended) {
        let end_of_request = match end {
            Ended::Done(200) => End::Answered,
            Ended::Done(_) => End::Failed,
            Ended::Shed => End::Shed,
        };
        if self.scenario.policy != Policy::Dispatcher {
            self.outstanding[job.vm][target] -= 1;
            return self.finish(job.request, end_of_request);
        }
        let live = self.places.remove(&(job.vm, job.attempt)).is_some();
        if live && end_of_request != End::Shed {
            self.finish(job.request, end_of_request);
        }
        let outcome = match end {
            Ended::Done(status) => Outcome::Done { status },
            Ended::Shed => Outcome::NotRun(NotRunCause::Shed),
        };
        let now = Millis(self.now);
        let actions = self.dispatchers[job.vm].on_outcome(now, AttemptId(job.attempt), outcome);
        self.perform(job.vm, actions);
    }

    fn finish(&mut self, request: usize, end: End) {
        let arrived = self.requests[request].arrived;
        if self.requests[request].end.is_none() {
            self.requests[request].end = Some(end);
            self.requests[request].work = (self.now - arrived) as f64;
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, attempt, target, .. } => {
                    let number = target.as_str().trim_start_matches('t').parse().unwrap_or(0);
                    let job = Job { request: request.0 as usize, attempt: attempt.0, vm };
                    self.places.insert((vm, attempt.0), (number, job.request));
                    self.at(self.now + TRIP, Event::ReachTarget { target: number, job });
                }
                Action::Refuse { request, refusal } => {
                    let reason = format!("{:?}/{:?}", refusal.state, refusal.reason);
                    *self.reasons.entry(reason).or_default() += 1;
                    self.finish(request.0 as usize, End::Shed);
                }
                Action::Cancel { attempt } => {
                    if let Some((target, request)) = self.places.remove(&(vm, attempt.0)) {
                        let job = Job { request, attempt: attempt.0, vm };
                        self.at(self.now + TRIP, Event::Abort { target, job });
                    }
                }
                Action::Message(outgoing) => self.message(vm, &outgoing.to, outgoing.message),
                Action::Forward { .. } => unreachable!("no request has a key"),
            }
        }
    }

    fn message(&mut self, from: usize, to: &VmId, message: PeerMessage) {
        if (self.scenario.from..self.scenario.until).contains(&self.now) {
            self.message_count += 1;
            let size = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
            self.bytes[from] += size as u64;
        }
        let PeerMessage::Request(message) = message else { return };
        let Some(to) = (0..VM_SIZES.len()).find(|index| vm_id(*index) == *to) else { return };
        self.messages.push(Some(message));
        let index = self.messages.len() - 1;
        self.at(self.now + TRIP, Event::Message { to, from, index });
    }

    fn figures(self) -> Figures {
        let span = self.scenario.until - self.scenario.from;
        let mut figures = Figures { seconds: span as f64 / 1_000.0, ..Figures::default() };
        let span_of_count = self.scenario.from..self.scenario.until;
        let counted = |request: &&Request| span_of_count.contains(&request.arrived);
        for request in self.requests.iter().filter(counted).filter(|request| !request.flood) {
            figures.offered += 1;
            figures.claims_offered += u64::from(request.claim);
            match (request.end, request.started) {
                (Some(End::Answered), Some(started)) => {
                    let wait = started - request.arrived - TRIP;
                    figures.waits.push(wait);
                    figures.totals.push(request.work as u64);
                    if request.claim {
                        figures.claim_waits.push(wait);
                    }
                }
                (Some(End::Failed), _) => figures.failed += 1,
                _ => {
                    figures.shed += 1;
                    figures.claims_shed += u64::from(request.claim);
                }
            }
        }
        for sorted in [&mut figures.waits, &mut figures.claim_waits, &mut figures.totals] {
            sorted.sort_unstable();
        }
        figures.received = self.targets.iter().map(|target| target.received).sum();
        let busy: u64 = self.targets.iter().map(|target| target.busy_ms).sum();
        figures.slot_use = busy as f64 / (span * (TARGETS * SLOTS) as u64) as f64;
        figures.reasons = self.reasons;
        (figures.messages, figures.bytes) = (self.message_count, self.bytes.iter().sum());
        figures.most_bytes = self.bytes.into_iter().max().unwrap_or(0);
        for dispatcher in &self.dispatchers {
            let c = dispatcher.counters();
            figures.counters.retries += c.retries;
            figures.counters.hedges += c.hedges;
            figures.counters.grants += c.grants;
            figures.counters.grants_returned += c.grants_returned;
            figures.counters.direct += c.direct;
            figures.counters.reused += c.reused;
            figures.counters.ejections += c.ejections;
            figures.counters.unmatched += c.unmatched;
        }
        figures
    }
}

/// Returns an exponential value with mean 1, cut at 8 so that one request cannot decide a run.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let unit: f64 = rng.random();
    (-(1.0 - unit).ln()).min(8.0)
}

/// Rounds a time up or down at random, so that the mean is kept at millisecond steps.
fn sample(rng: &mut ChaCha8Rng, time: f64) -> u64 {
    (time + rng.random::<f64>()).floor() as u64
}
