//! Several dispatchers, targets with slots and a network with faults, in simulated time.
//!
//! The world counts how often each request ran, which no dispatcher can see, and checks the outcomes
//! against that.

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

use crate::support::{document, member, meta, vm};

const TICK: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Serve,
    ShedAll,
    /// Runs the request and breaks the connection.
    Break,
    /// Fails before a byte is taken.
    Refuse,
    /// Runs the request and never answers.
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
    Arrive { target: Name, node: usize, start: u64, attempt: AttemptId, request: RequestId },
    Finish { target: Name, node: usize, start: u64, attempt: AttemptId },
    Outcome { node: usize, start: u64, attempt: AttemptId, outcome: Outcome },
    Abort { target: Name, node: usize, start: u64, attempt: AttemptId },
    Forwarded { node: usize, request: RequestMeta },
}

pub(crate) struct Node {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) start: u64,
    pub(crate) state: MemberState,
    pub(crate) paused_until: u64,
    sent: BTreeMap<AttemptId, Name>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) targets: BTreeMap<Name, Target>,
    /// Pairs of VMs between which messages are lost, in this direction.
    pub(crate) cut: BTreeSet<(usize, usize)>,
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
    pub(crate) fn new(nodes: usize, targets: usize) -> World {
        let target = || Target {
            mode: Mode::Serve,
            slots: 2,
            service_ms: 20,
            running: BTreeSet::new(),
            received: 0,
        };
        let mut world = World {
            now: 1,
            nodes: Vec::new(),
            targets: (0..targets).map(|i| (Name::new(format!("t{i}")), target())).collect(),
            cut: BTreeSet::new(),
            document: document(1, targets, ""),
            refusals: BTreeMap::new(),
            runs: BTreeMap::new(),
            runs_of_key: BTreeMap::new(),
            metas: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            next_request: 0,
        };
        world.nodes = (0..nodes).map(|index| world.node(index, 1)).collect();
        (0..nodes).for_each(|index| world.set_members(index));
        world
    }

    fn node(&self, index: usize, start: u64) -> Node {
        let seed = 100 * start + index as u64;
        let mut dispatcher =
            Dispatcher::new(vm(index), Incarnation(start), seed, DispatchLimits::default());
        dispatcher.set_document(Millis(self.now), &self.document);
        let (state, sent) = (MemberState::Active, BTreeMap::new());
        Node { dispatcher, start, state, paused_until: 0, sent }
    }

    /// Gives a VM the true list of members.
    pub(crate) fn set_members(&mut self, index: usize) {
        let row = |(index, node): (usize, &Node)| member(index, node.state, node.start);
        let list: Vec<Member> = self.nodes.iter().enumerate().map(row).collect();
        let members = Members::new(vm(index), list);
        let now = Millis(self.now);
        let actions = self.nodes[index].dispatcher.set_members(now, &members);
        self.perform(index, actions);
    }

    pub(crate) fn set_members_everywhere(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].state != MemberState::Dead {
                self.set_members(index);
            }
        }
    }

    pub(crate) fn set_document(&mut self, document: Arc<Document>) {
        self.document = document.clone();
        for index in 0..self.nodes.len() {
            let now = Millis(self.now);
            let actions = self.nodes[index].dispatcher.set_document(now, &document);
            self.perform(index, actions);
        }
    }

    /// Loses all state of a VM and starts it again.
    pub(crate) fn restart(&mut self, index: usize) {
        let start = self.nodes[index].start + 1;
        self.nodes[index] = self.node(index, start);
        self.set_members_everywhere();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].state = MemberState::Dead;
        self.nodes[index].paused_until = u64::MAX;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.nodes[index].state = MemberState::Leaving;
        let now = Millis(self.now);
        let actions = self.nodes[index].dispatcher.leave(now);
        self.perform(index, actions);
        self.set_members_everywhere();
    }

    pub(crate) fn issue_key(&mut self, index: usize) -> IssuedKey {
        self.nodes[index].dispatcher.issue_key(Millis(self.now))
    }

    /// Submits a request with the remaining time `for_ms` and returns its identity.
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
        let actions = self.nodes[index].dispatcher.submit(Millis(self.now), request);
        self.perform(index, actions);
        id
    }

    pub(crate) fn cancel(&mut self, index: usize, request: RequestId) {
        let actions = self.nodes[index].dispatcher.on_cancel(Millis(self.now), request);
        self.perform(index, actions);
    }

    /// Lets `span` milliseconds pass.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            if self.now.is_multiple_of(TICK) {
                (0..self.nodes.len()).for_each(|index| self.tick(index));
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let actions = self.nodes[index].dispatcher.tick(Millis(self.now));
        self.perform(index, actions);
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Message { to, from, message } => {
                let paused_until = self.nodes[to].paused_until;
                if paused_until > self.now {
                    if paused_until < u64::MAX {
                        self.at(paused_until, Event::Message { to, from, message });
                    }
                    return;
                }
                let actions = self.nodes[to].dispatcher.on_message(now, &vm(from), message);
                self.perform(to, actions);
            }
            Event::Arrive { target, node, start, attempt, request } => {
                self.arrive(target, node, start, attempt, request);
            }
            Event::Finish { target, node, start, attempt } => {
                let state = self.targets.get_mut(&target).unwrap();
                if !state.running.remove(&(node, start, attempt)) {
                    return;
                }
                let outcome = match state.mode {
                    Mode::Break => Outcome::Failed(FailureCause::Broken),
                    _ => Outcome::Done { status: 200 },
                };
                if state.mode != Mode::Silent {
                    self.at(self.now + 1, Event::Outcome { node, start, attempt, outcome });
                }
            }
            Event::Outcome { node, start, attempt, outcome } => {
                let paused_until = self.nodes[node].paused_until;
                if self.nodes[node].start != start || paused_until == u64::MAX {
                    return;
                }
                if paused_until > self.now {
                    return self.at(paused_until, Event::Outcome { node, start, attempt, outcome });
                }
                let actions = self.nodes[node].dispatcher.on_outcome(now, attempt, outcome);
                self.perform(node, actions);
            }
            Event::Abort { target, node, start, attempt } => {
                let state = self.targets.get_mut(&target).unwrap();
                state.running.remove(&(node, start, attempt));
            }
            Event::Forwarded { node, request } => {
                if self.nodes[node].paused_until <= self.now {
                    let actions = self.nodes[node].dispatcher.submit_forwarded(now, request);
                    self.perform(node, actions);
                }
            }
        }
    }

    fn arrive(&mut self, target: Name, node: usize, start: u64, attempt: AttemptId, id: RequestId) {
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
            return self.at(now + 1, Event::Outcome { node, start, attempt, outcome });
        }
        state.running.insert((node, start, attempt));
        let finish = now + state.service_ms;
        *self.runs.entry(id).or_default() += 1;
        if let Some(key) = self.metas[&id].key.clone() {
            *self.runs_of_key.entry(key).or_default() += 1;
        }
        self.at(finish, Event::Finish { target, node, start, attempt });
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        let start = self.nodes[index].start;
        for action in actions {
            match action {
                Action::Send { request, attempt, target, deadline, .. } => {
                    assert!(deadline > Millis(self.now), "sent after the deadline");
                    let service = &self.metas[&request].service;
                    let served = self.document.targets()[&target].serves(service);
                    assert!(served, "I2: {target} does not serve {service}");
                    self.nodes[index].sent.insert(attempt, target.clone());
                    let arrive = Event::Arrive { target, node: index, start, attempt, request };
                    self.at(self.now + 1, arrive);
                }
                Action::Refuse { request, refusal } => {
                    let twice = self.refusals.insert(request, refusal).is_some();
                    assert!(!twice, "{request:?} was refused twice");
                }
                Action::Cancel { attempt } => {
                    let Some(target) = self.nodes[index].sent.get(&attempt).cloned() else {
                        continue;
                    };
                    self.at(self.now + 1, Event::Abort { target, node: index, start, attempt });
                }
                Action::Forward { request, vm: to, .. } => {
                    let node = (0..self.nodes.len()).find(|node| vm(*node) == to).unwrap();
                    let mut forwarded = self.metas[&request].clone();
                    self.next_request += 1;
                    forwarded.id = RequestId(self.next_request);
                    self.metas.insert(forwarded.id, forwarded.clone());
                    self.at(self.now + 1, Event::Forwarded { node, request: forwarded });
                }
                Action::Message(outgoing) => {
                    let to = (0..self.nodes.len()).find(|node| vm(*node) == outgoing.to).unwrap();
                    let PeerMessage::Request(message) = outgoing.message else { continue };
                    if !self.cut.contains(&(index, to)) {
                        self.at(self.now + 1, Event::Message { to, from: index, message });
                    }
                }
            }
        }
    }

    /// Checks I4 and I5 against what the targets saw, and that every request was answered once.
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
        for node in self.nodes.iter().filter(|node| node.state != MemberState::Dead) {
            let c = node.dispatcher.counters();
            let ended = c.answered + c.refused + c.forwarded + c.cancelled;
            assert_eq!(c.submitted, ended, "requests without an end: {c:?}");
            assert!(c.retries * 10 <= c.attempts - c.retries, "too many retries: {c:?}");
        }
    }

    pub(crate) fn total(&self, count: impl Fn(&Dispatcher) -> u64) -> u64 {
        self.nodes.iter().map(|node| count(&node.dispatcher)).sum()
    }
}
