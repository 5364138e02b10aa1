//! Several dispatchers, targets with slots and a network with faults, in simulated time.
//!
//! The simulation counts how often the targets ran each request, which no dispatcher can observe,
//! and checks the reported outcomes against these counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, Name};
use jasminecart_core::process::{Member, MemberState, Members};
use jasminecart_core::request::{
    Action, AttemptId, DispatchLimits, Dispatcher, FailureCause, IssuedKey, NotRunCause, Outcome,
    Refusal, RequestId, RequestMessage, RequestMeta, RunState,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::Document;

use crate::support::{document, member, meta, vm_id};

const TICK_MS: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Serve,
    ShedAll,
    /// Runs the request and breaks the connection.
    Break,
    /// Refuses the connection, so that no byte of the request is sent.
    Refuse,
    /// Runs the request and never responds.
    Silent,
}

pub(crate) struct Target {
    pub(crate) mode: Mode,
    pub(crate) slots: usize,
    pub(crate) service_ms: u64,
    running: BTreeSet<(usize, u64, AttemptId)>,
    pub(crate) received: u64,
}

enum Event {
    Message { to: usize, from: usize, message: RequestMessage },
    Arrive { target: Name, vm: usize, start: u64, attempt: AttemptId, request: RequestId },
    Finish { target: Name, vm: usize, start: u64, attempt: AttemptId },
    Outcome { vm: usize, start: u64, attempt: AttemptId, outcome: Outcome },
    Abort { target: Name, vm: usize, start: u64, attempt: AttemptId },
    Forwarded { vm: usize, request: RequestMeta },
}

pub(crate) struct Vm {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) start: u64,
    pub(crate) state: MemberState,
    pub(crate) paused_until: u64,
    sent: BTreeMap<AttemptId, Name>,
}

pub(crate) struct World {
    limits: DispatchLimits,
    pub(crate) now: u64,
    pub(crate) vms: Vec<Vm>,
    pub(crate) targets: BTreeMap<Name, Target>,
    /// Pairs of a sending and a receiving VM between which all messages are lost.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) document: Arc<Document>,
    pub(crate) refusals: BTreeMap<RequestId, Refusal>,
    pub(crate) runs: BTreeMap<RequestId, u32>,
    pub(crate) runs_of_key: BTreeMap<IssuedKey, u32>,
    metas: BTreeMap<RequestId, RequestMeta>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_request: u64,
}

impl World {
    pub(crate) fn new(vms: usize, targets: usize) -> World {
        World::with_limits(vms, targets, DispatchLimits::default())
    }

    pub(crate) fn with_limits(vms: usize, targets: usize, limits: DispatchLimits) -> World {
        let target = || Target {
            mode: Mode::Serve,
            slots: 2,
            service_ms: 20,
            running: BTreeSet::new(),
            received: 0,
        };
        let mut world = World {
            now: 1,
            limits,
            vms: Vec::new(),
            targets: (0..targets).map(|i| (Name::new(format!("t{i}")), target())).collect(),
            cut_links: BTreeSet::new(),
            document: document(1, targets, ""),
            refusals: BTreeMap::new(),
            runs: BTreeMap::new(),
            runs_of_key: BTreeMap::new(),
            metas: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            next_request: 0,
        };
        world.vms = (0..vms).map(|index| world.vm(index, 1)).collect();
        (0..vms).for_each(|index| world.set_members(index));
        world
    }

    fn vm(&self, index: usize, start: u64) -> Vm {
        let seed = 100 * start + index as u64;
        let mut dispatcher =
            Dispatcher::new(vm_id(index), Incarnation(start), seed, self.limits.clone());
        dispatcher.set_document(Millis(self.now), &self.document);
        let (state, sent) = (MemberState::Active, BTreeMap::new());
        Vm { dispatcher, start, state, paused_until: 0, sent }
    }

    /// Gives a VM the actual states of all members.
    pub(crate) fn set_members(&mut self, index: usize) {
        let row = |(index, vm): (usize, &Vm)| member(index, vm.state, vm.start);
        let list: Vec<Member> = self.vms.iter().enumerate().map(row).collect();
        let members = Members::new(vm_id(index), list);
        let now = Millis(self.now);
        let actions = self.vms[index].dispatcher.set_members(now, &members);
        self.apply_actions(index, actions);
    }

    pub(crate) fn set_members_everywhere(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].state != MemberState::Dead {
                self.set_members(index);
            }
        }
    }

    pub(crate) fn set_document(&mut self, document: Arc<Document>) {
        self.document = document.clone();
        for index in 0..self.vms.len() {
            let now = Millis(self.now);
            let actions = self.vms[index].dispatcher.set_document(now, &document);
            self.apply_actions(index, actions);
        }
    }

    /// Restarts a VM, which loses all its state and gets a new incarnation.
    pub(crate) fn restart(&mut self, index: usize) {
        let start = self.vms[index].start + 1;
        self.vms[index] = self.vm(index, start);
        self.set_members_everywhere();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.vms[index].state = MemberState::Dead;
        self.vms[index].paused_until = u64::MAX;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.vms[index].state = MemberState::Leaving;
        let now = Millis(self.now);
        let actions = self.vms[index].dispatcher.leave(now);
        self.apply_actions(index, actions);
        self.set_members_everywhere();
    }

    pub(crate) fn issue_key(&mut self, index: usize) -> IssuedKey {
        self.vms[index].dispatcher.issue_key(Millis(self.now))
    }

    /// Submits a request whose deadline is `for_ms` milliseconds ahead and returns its identity.
    pub(crate) fn submit(
        &mut self,
        index: usize,
        for_ms: u64,
        change: impl FnOnce(&mut RequestMeta),
    ) -> RequestId {
        self.next_request += 1;
        let mut request = meta(self.next_request);
        request.deadline = Millis(self.now + for_ms);
        change(&mut request);
        let id = request.id;
        self.metas.insert(id, request.clone());
        let actions = self.vms[index].dispatcher.submit(Millis(self.now), request);
        self.apply_actions(index, actions);
        id
    }

    pub(crate) fn cancel(&mut self, index: usize, request: RequestId) {
        let actions = self.vms[index].dispatcher.on_cancel(Millis(self.now), request);
        self.apply_actions(index, actions);
    }

    /// Advances the simulated time by `duration` milliseconds.
    pub(crate) fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.now.is_multiple_of(TICK_MS) {
                (0..self.vms.len()).for_each(|index| self.tick(index));
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if self.vms[index].paused_until > self.now {
            return;
        }
        let actions = self.vms[index].dispatcher.tick(Millis(self.now));
        self.apply_actions(index, actions);
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Message { to, from, message } => {
                let paused_until = self.vms[to].paused_until;
                if paused_until > self.now {
                    if paused_until < u64::MAX {
                        self.schedule(paused_until, Event::Message { to, from, message });
                    }
                    return;
                }
                let actions = self.vms[to].dispatcher.on_message(now, &vm_id(from), message);
                self.apply_actions(to, actions);
            }
            Event::Arrive { target, vm, start, attempt, request } => {
                self.arrive(target, vm, start, attempt, request);
            }
            Event::Finish { target, vm, start, attempt } => {
                let state = self.targets.get_mut(&target).unwrap();
                if !state.running.remove(&(vm, start, attempt)) {
                    return;
                }
                let outcome = match state.mode {
                    Mode::Break => Outcome::Failed(FailureCause::Broken),
                    _ => Outcome::Done { status: 200 },
                };
                if state.mode != Mode::Silent {
                    self.schedule(self.now + 1, Event::Outcome { vm, start, attempt, outcome });
                }
            }
            Event::Outcome { vm, start, attempt, outcome } => {
                let paused_until = self.vms[vm].paused_until;
                if self.vms[vm].start != start || paused_until == u64::MAX {
                    return;
                }
                if paused_until > self.now {
                    return self
                        .schedule(paused_until, Event::Outcome { vm, start, attempt, outcome });
                }
                let actions = self.vms[vm].dispatcher.on_outcome(now, attempt, outcome);
                self.apply_actions(vm, actions);
            }
            Event::Abort { target, vm, start, attempt } => {
                let state = self.targets.get_mut(&target).unwrap();
                state.running.remove(&(vm, start, attempt));
            }
            Event::Forwarded { vm, request } => {
                if self.vms[vm].paused_until <= self.now {
                    let actions = self.vms[vm].dispatcher.submit_forwarded(now, request);
                    self.apply_actions(vm, actions);
                }
            }
        }
    }

    fn arrive(&mut self, target: Name, vm: usize, start: u64, attempt: AttemptId, id: RequestId) {
        let now = self.now;
        let state = self.targets.get_mut(&target).unwrap();
        state.received += 1;
        let refusal = match state.mode {
            Mode::Refuse => Some(NotRunCause::NotSent),
            Mode::ShedAll => Some(NotRunCause::Shed),
            _ if state.running.len() >= state.slots => Some(NotRunCause::Shed),
            _ => None,
        };
        if let Some(cause) = refusal {
            let outcome = Outcome::NotRun(cause);
            return self.schedule(now + 1, Event::Outcome { vm, start, attempt, outcome });
        }
        state.running.insert((vm, start, attempt));
        let finish = now + state.service_ms;
        *self.runs.entry(id).or_default() += 1;
        if let Some(key) = self.metas[&id].key.clone() {
            *self.runs_of_key.entry(key).or_default() += 1;
        }
        self.schedule(finish, Event::Finish { target, vm, start, attempt });
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<Action>) {
        let start = self.vms[index].start;
        for action in actions {
            match action {
                Action::Send { request, attempt, target, deadline, .. } => {
                    assert!(deadline > Millis(self.now), "sent after the deadline");
                    let service = &self.metas[&request].service;
                    let served = self.document.targets()[&target].serves(service);
                    assert!(served, "I2: {target} does not serve {service}");
                    self.vms[index].sent.insert(attempt, target.clone());
                    let arrive = Event::Arrive { target, vm: index, start, attempt, request };
                    self.schedule(self.now + 1, arrive);
                }
                Action::Refuse { request, refusal } => {
                    let twice = self.refusals.insert(request, refusal).is_some();
                    assert!(!twice, "{request:?} was refused twice");
                }
                Action::Cancel { attempt } => {
                    let Some(target) = self.vms[index].sent.get(&attempt).cloned() else {
                        continue;
                    };
                    self.schedule(self.now + 1, Event::Abort { target, vm: index, start, attempt });
                }
                Action::Forward { request, vm: to, .. } => {
                    let vm = (0..self.vms.len()).find(|vm| vm_id(*vm) == to).unwrap();
                    let mut forwarded = self.metas[&request].clone();
                    self.next_request += 1;
                    forwarded.id = RequestId(self.next_request);
                    self.metas.insert(forwarded.id, forwarded.clone());
                    self.schedule(self.now + 1, Event::Forwarded { vm, request: forwarded });
                }
                Action::Message(outgoing) => {
                    let to = (0..self.vms.len()).find(|vm| vm_id(*vm) == outgoing.to).unwrap();
                    let PeerMessage::Request(message) = outgoing.message else { continue };
                    if !self.cut_links.contains(&(index, to)) {
                        self.schedule(self.now + 1, Event::Message { to, from: index, message });
                    }
                }
            }
        }
    }

    /// Checks I4 and I5 against the runs that the targets counted, that every request ended exactly
    /// once, and that retries are at most a tenth of the first attempts.
    pub(crate) fn check(&self) {
        for (request, refusal) in &self.refusals {
            let runs = self.runs.get(request).copied().unwrap_or(0);
            let exact = refusal.state == RunState::Unknown || runs == 0;
            assert!(exact, "I4: {request:?} ran {runs} times and was refused as {refusal:?}");
        }
        for (request, runs) in &self.runs {
            assert!(
                *runs <= 1 || self.metas[request].idempotent,
                "I5: {request:?} ran {runs} times"
            );
        }
        for (key, runs) in &self.runs_of_key {
            assert!(*runs <= 1, "I5: the request with key {key} ran {runs} times");
        }
        for vm in self.vms.iter().filter(|vm| vm.state != MemberState::Dead) {
            let c = vm.dispatcher.counters();
            let ended = c.answered + c.refused + c.forwarded + c.cancelled;
            assert_eq!(c.submitted, ended, "submitted requests that did not end: {c:?}");
            assert!(
                c.retries * 10 <= c.attempts - c.retries,
                "retries exceed a tenth of the first attempts: {c:?}"
            );
        }
    }

    pub(crate) fn total(&self, count: impl Fn(&Dispatcher) -> u64) -> u64 {
        self.vms.iter().map(|vm| count(&vm.dispatcher)).sum()
    }
}
