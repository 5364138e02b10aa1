//! Discrete-event simulation of entry VMs in front of targets with slots.
//!
//! The one-way delay between two VMs, or between a VM and a target, is 1 ms. The arrivals and the
//! service times of the requests depend only on the seed, so every policy gets the same requests.

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
/// The mean service time of the fastest target. That of the slowest is `SPEED_RATIO` times as long.
const FASTEST_MS: f64 = 100.0;
const SPEED_RATIO: f64 = 4.0;
const ONE_WAY_MS: u64 = 1;
const TICK_MS: u64 = 10;
/// The queueing time after which a request is shed, the same at VMs and at targets.
pub(super) const MAX_WAIT_MS: u64 = 5_000;
const DEADLINE_MS: u64 = 30_000;
/// The time in which a failing target responds with an error.
const FAILURE_MS: u64 = 5;

/// How the target of a request is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// The dispatcher of jasminecart.
    Dispatcher,
    /// A random target; the request queues there.
    Random,
    /// The target with the fewest outstanding requests of this VM; the request queues there.
    LeastOutstanding,
    /// As `LeastOutstanding`, among targets whose health endpoint reported them healthy 5 s ago.
    StaleHealth,
    /// As `LeastOutstanding`, among targets whose health endpoint reports them healthy. It reports
    /// failing targets as healthy and two healthy targets as failing.
    WrongHealth,
}

impl Policy {
    pub(super) fn name(self) -> &'static str {
        match self {
            Policy::Dispatcher => "jasminecart",
            Policy::Random => "random",
            Policy::LeastOutstanding => "least outstanding",
            Policy::StaleHealth => "l.o., health lags 5 s",
            Policy::WrongHealth => "l.o., health lies",
        }
    }
}

/// The fault that is injected from `from` to the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    None,
    /// Three targets fail every request immediately during 20 s of every 40 s.
    Failing,
    /// Every target has one slot instead of two.
    HalfSlots,
    /// Every target sheds every request.
    ShedAll,
    /// An additional tenant offers twice the capacity of all targets. With `limited`, the document
    /// limits it.
    Flood {
        limited: bool,
    },
    /// The largest VM, which is the home of several targets, is paused during 5 s of every 20 s.
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
enum RequestEnd {
    Completed,
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
    /// The service time as a multiple of the target's mean. Once the request has ended, the
    /// milliseconds from its arrival to its end.
    work: f64,
    started: Option<u64>,
    end: Option<RequestEnd>,
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
    ArriveAtTarget { target: usize, job: Job },
    FinishAtTarget { target: usize, job: Job, failed: bool },
    Abort { target: usize, job: Job },
    Outcome { target: usize, job: Job, end: AttemptEnd },
    Message { to: usize, from: usize, index: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    Done(u16),
    Shed,
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// Queueing times of requests with a response, sorted, in ms.
    pub(super) queueing_times: Vec<u64>,
    pub(super) claim_queueing_times: Vec<u64>,
    /// Times from arrival to response of requests with a response, sorted, in ms.
    pub(super) latencies: Vec<u64>,
    pub(super) offered: u64,
    pub(super) shed: u64,
    pub(super) claims_offered: u64,
    pub(super) claims_shed: u64,
    pub(super) failed: u64,
    /// Attempts for the offered requests that reached a target.
    pub(super) received: u64,
    pub(super) slot_use: f64,
    pub(super) messages: u64,
    pub(super) bytes: u64,
    /// The bytes sent by the VM that sent the most.
    pub(super) max_vm_bytes: u64,
    pub(super) seconds: f64,
    pub(super) counters: DispatchCounters,
    /// The number of refusals by state and reason.
    pub(super) refusal_reasons: BTreeMap<String, u64>,
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
    open_attempts: BTreeMap<(usize, u64), (usize, usize)>,
    messages: Vec<Option<RequestMessage>>,
    message_count: u64,
    refusal_reasons: BTreeMap<String, u64>,
    bytes: [u64; VM_SIZES.len()],
}

fn vm_id(index: usize) -> VmId {
    VmId::new("dc", format!("vm{index}"))
}

fn mean_ms(target: usize) -> f64 {
    FASTEST_MS * SPEED_RATIO.powf(target as f64 / (TARGETS - 1) as f64)
}

/// Returns the number of requests that all slots together serve a millisecond.
fn capacity() -> f64 {
    (0..TARGETS).map(|target| SLOTS as f64 / mean_ms(target)).sum()
}

fn document(limited: bool) -> Arc<Document> {
    let mut text = format!(
        "[service ledger]\nclass = claims\nshed_status = 503\n\
         [class claims]\npriority = 1\nmax_queue_time = {MAX_WAIT_MS}ms\n\
         [class uploads]\npriority = 5\nmax_queue_time = {MAX_WAIT_MS}ms\n"
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
            open_attempts: BTreeMap::new(),
            messages: Vec::new(),
            message_count: 0,
            refusal_reasons: BTreeMap::new(),
            bytes: [0; VM_SIZES.len()],
        };
        sim.schedule(1, Event::Arrival);
        if matches!(scenario.fault, Fault::Flood { .. }) {
            sim.schedule(scenario.from, Event::FloodArrival);
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
            self.schedule(1 + index as u64 % TICK_MS, Event::Tick(index));
        }
    }

    /// Runs until every request has ended and returns the results.
    pub(super) fn run(mut self) -> Figures {
        let end = self.scenario.until + MAX_WAIT_MS + DEADLINE_MS + 1_000;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.figures()
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let resume_at = self.resume_time(&event);
        if resume_at > self.now {
            return self.schedule(resume_at, event);
        }
        match event {
            Event::Arrival => self.handle_arrival(false),
            Event::FloodArrival => self.handle_arrival(true),
            Event::Tick(vm) => {
                let actions = self.dispatchers[vm].tick(Millis(self.now));
                self.perform(vm, actions);
                self.schedule(self.now + TICK_MS, Event::Tick(vm));
            }
            Event::ArriveAtTarget { target, job } => self.arrive_at_target(target, job),
            Event::FinishAtTarget { target, job, failed } => {
                if !self.stop_job(target, job) {
                    return;
                }
                let end = AttemptEnd::Done(if failed { 500 } else { 200 });
                self.schedule(self.now + ONE_WAY_MS, Event::Outcome { target, job, end });
            }
            Event::Abort { target, job } => {
                self.stop_job(target, job);
            }
            Event::Outcome { target, job, end } => self.handle_outcome(target, job, end),
            Event::Message { to, from, index } => {
                let Some(message) = self.messages[index].take() else { return };
                let now = Millis(self.now);
                let actions = self.dispatchers[to].on_message(now, &vm_id(from), message);
                self.perform(to, actions);
            }
        }
    }

    /// Returns when the VM of an event resumes, or 0 when it is not paused.
    fn resume_time(&self, event: &Event) -> u64 {
        let vm = match event {
            Event::Tick(vm) | Event::Outcome { job: Job { vm, .. }, .. } => *vm,
            Event::Message { to, .. } => *to,
            _ => return 0,
        };
        if self.is_paused(vm) { self.now - self.now % 20_000 + 5_000 } else { 0 }
    }

    fn is_paused(&self, vm: usize) -> bool {
        let home_pauses = self.scenario.fault == Fault::PausingHome && vm == 0;
        home_pauses && self.now >= self.scenario.from && self.now % 20_000 < 5_000
    }

    fn handle_arrival(&mut self, flood: bool) {
        // Arrivals continue while the last measured requests are queued, which would otherwise find
        // an idle system.
        if self.now > self.scenario.until + MAX_WAIT_MS {
            return;
        }
        let load = if flood { 2.0 } else { self.scenario.load };
        let gap = exponential(&mut self.rng) / (capacity() * load);
        let event = if flood { Event::FloodArrival } else { Event::Arrival };
        let next = self.now + round_randomly(&mut self.rng, gap);
        self.schedule(next, event);
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
        // The fabric sends no new requests to a VM that does not respond.
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
            let target = self.select_target(vm);
            self.outstanding[vm][target] += 1;
            let job = Job { request: index, attempt: 0, vm };
            return self.schedule(self.now + ONE_WAY_MS, Event::ArriveAtTarget { target, job });
        }
        let meta = RequestMeta {
            id: RequestId(index as u64),
            service: Name::new("ledger"),
            class: Name::new(if request.claim { "claims" } else { "uploads" }),
            tenant: Name::new(if request.flood { "flood" } else { "herders" }),
            deadline: Millis(request.arrived + DEADLINE_MS),
            idempotent: request.idempotent,
            repeatable: true,
            key: None,
        };
        let actions = self.dispatchers[vm].submit(Millis(self.now), meta);
        self.perform(vm, actions);
    }

    fn select_target(&mut self, vm: usize) -> usize {
        let random = self.choice.random_range(0..TARGETS);
        let now = self.now;
        let healthy = |target: &usize| match self.scenario.policy {
            Policy::StaleHealth => now < 5_000 || !self.is_failing(*target, now - 5_000),
            Policy::WrongHealth => !(5..7).contains(target),
            _ => true,
        };
        if self.scenario.policy == Policy::Random {
            return random;
        }
        let all = (0..TARGETS).map(|offset| (random + offset) % TARGETS).filter(healthy);
        all.min_by_key(|target| self.outstanding[vm][*target]).unwrap_or(random)
    }

    /// Returns whether a target fails every request at the given time.
    fn is_failing(&self, target: usize, time: u64) -> bool {
        let failing = self.scenario.fault == Fault::Failing && target.is_multiple_of(5);
        failing && time >= self.scenario.from && time % 40_000 < 20_000
    }

    fn active_slots(&self) -> usize {
        let fault_active = self.now >= self.scenario.from;
        match self.scenario.fault {
            Fault::HalfSlots if fault_active => 1,
            Fault::ShedAll if fault_active => 0,
            _ => SLOTS,
        }
    }

    fn arrive_at_target(&mut self, target: usize, job: Job) {
        let active_slots = self.active_slots();
        let queues = self.scenario.policy != Policy::Dispatcher && active_slots > 0;
        let request = &self.requests[job.request];
        let counted = (self.scenario.from..self.scenario.until).contains(&request.arrived);
        if counted && !request.flood {
            self.targets[target].received += 1;
        }
        if self.targets[target].running.len() < active_slots {
            self.start_job(target, job);
        } else if queues {
            self.targets[target].queue.push_back((job, self.now));
        } else {
            self.schedule(
                self.now + ONE_WAY_MS,
                Event::Outcome { target, job, end: AttemptEnd::Shed },
            );
        }
    }

    fn start_job(&mut self, target: usize, job: Job) {
        let failed = self.is_failing(target, self.now);
        let request = &mut self.requests[job.request];
        request.started.get_or_insert(self.now);
        let service = (self.targets[target].mean_ms * request.work).round() as u64;
        let service = if failed { FAILURE_MS } else { service.max(1) };
        self.targets[target].running.push((job, self.now));
        self.schedule(self.now + service, Event::FinishAtTarget { target, job, failed });
    }

    /// Ends a job and starts queued ones. Jobs that were queued for more than [`MAX_WAIT_MS`] are
    /// shed, as by the dispatcher. Returns whether the job was running.
    fn stop_job(&mut self, target: usize, job: Job) -> bool {
        let running = &mut self.targets[target].running;
        let Some(index) = running.iter().position(|(other, _)| *other == job) else { return false };
        let (_, started) = running.swap_remove(index);
        let until = self.now.min(self.scenario.until);
        self.targets[target].busy_ms += until.saturating_sub(started.max(self.scenario.from));
        while self.targets[target].running.len() < self.active_slots() {
            let Some((next, since)) = self.targets[target].queue.pop_front() else { break };
            if self.now - since > MAX_WAIT_MS {
                self.schedule(
                    self.now + ONE_WAY_MS,
                    Event::Outcome { target, job: next, end: AttemptEnd::Shed },
                );
            } else {
                self.start_job(target, next);
            }
        }
        true
    }

    fn handle_outcome(&mut self, target: usize, job: Job, end: AttemptEnd) {
        let request_end = match end {
            AttemptEnd::Done(200) => RequestEnd::Completed,
            AttemptEnd::Done(_) => RequestEnd::Failed,
            AttemptEnd::Shed => RequestEnd::Shed,
        };
        if self.scenario.policy != Policy::Dispatcher {
            self.outstanding[job.vm][target] -= 1;
            return self.end_request(job.request, request_end);
        }
        let is_open = self.open_attempts.remove(&(job.vm, job.attempt)).is_some();
        if is_open && request_end != RequestEnd::Shed {
            self.end_request(job.request, request_end);
        }
        let outcome = match end {
            AttemptEnd::Done(status) => Outcome::Done { status },
            AttemptEnd::Shed => Outcome::NotRun(NotRunCause::Shed),
        };
        let now = Millis(self.now);
        let actions = self.dispatchers[job.vm].on_outcome(now, AttemptId(job.attempt), outcome);
        self.perform(job.vm, actions);
    }

    fn end_request(&mut self, request: usize, end: RequestEnd) {
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
                    self.open_attempts.insert((vm, attempt.0), (number, job.request));
                    self.schedule(
                        self.now + ONE_WAY_MS,
                        Event::ArriveAtTarget { target: number, job },
                    );
                }
                Action::Refuse { request, refusal } => {
                    let reason = format!("{:?}/{:?}", refusal.state, refusal.reason);
                    *self.refusal_reasons.entry(reason).or_default() += 1;
                    self.end_request(request.0 as usize, RequestEnd::Shed);
                }
                Action::Cancel { attempt } => {
                    if let Some((target, request)) = self.open_attempts.remove(&(vm, attempt.0)) {
                        let job = Job { request, attempt: attempt.0, vm };
                        self.schedule(self.now + ONE_WAY_MS, Event::Abort { target, job });
                    }
                }
                Action::Message(outgoing) => self.send_message(vm, &outgoing.to, outgoing.message),
                Action::Forward { .. } => unreachable!("no request has a key"),
            }
        }
    }

    fn send_message(&mut self, from: usize, to: &VmId, message: PeerMessage) {
        if (self.scenario.from..self.scenario.until).contains(&self.now) {
            self.message_count += 1;
            let size = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
            self.bytes[from] += size as u64;
        }
        let PeerMessage::Request(message) = message else { return };
        let Some(to) = (0..VM_SIZES.len()).find(|index| vm_id(*index) == *to) else { return };
        self.messages.push(Some(message));
        let index = self.messages.len() - 1;
        self.schedule(self.now + ONE_WAY_MS, Event::Message { to, from, index });
    }

    fn figures(self) -> Figures {
        let duration = self.scenario.until - self.scenario.from;
        let mut figures = Figures { seconds: duration as f64 / 1_000.0, ..Figures::default() };
        let measured = self.scenario.from..self.scenario.until;
        let counted = |request: &&Request| measured.contains(&request.arrived);
        for request in self.requests.iter().filter(counted).filter(|request| !request.flood) {
            figures.offered += 1;
            figures.claims_offered += u64::from(request.claim);
            match (request.end, request.started) {
                (Some(RequestEnd::Completed), Some(started)) => {
                    let queueing_time = started - request.arrived - ONE_WAY_MS;
                    figures.queueing_times.push(queueing_time);
                    figures.latencies.push(request.work as u64);
                    if request.claim {
                        figures.claim_queueing_times.push(queueing_time);
                    }
                }
                (Some(RequestEnd::Failed), _) => figures.failed += 1,
                _ => {
                    figures.shed += 1;
                    figures.claims_shed += u64::from(request.claim);
                }
            }
        }
        for sorted in
            [&mut figures.queueing_times, &mut figures.claim_queueing_times, &mut figures.latencies]
        {
            sorted.sort_unstable();
        }
        figures.received = self.targets.iter().map(|target| target.received).sum();
        let busy: u64 = self.targets.iter().map(|target| target.busy_ms).sum();
        figures.slot_use = busy as f64 / (duration * (TARGETS * SLOTS) as u64) as f64;
        figures.refusal_reasons = self.refusal_reasons;
        (figures.messages, figures.bytes) = (self.message_count, self.bytes.iter().sum());
        figures.max_vm_bytes = self.bytes.into_iter().max().unwrap_or(0);
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

/// Returns an exponentially distributed value with mean 1, capped at 8 so that no single request
/// dominates a run.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let unit: f64 = rng.random();
    (-(1.0 - unit).ln()).min(8.0)
}

/// Rounds a time to milliseconds up or down at random, which preserves the mean.
fn round_randomly(rng: &mut ChaCha8Rng, time: f64) -> u64 {
    (time + rng.random::<f64>()).floor() as u64
}
