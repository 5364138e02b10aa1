//! The control actor and its message handlers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use jasminecart_core::invariant;
use jasminecart_core::message::{Outgoing, PeerMessage};
use jasminecart_core::names::{Incarnation, VmId};
use jasminecart_core::process::{Event, Members, Membership};
use jasminecart_core::request::{
    Action, AttemptId, Dispatcher, IssuedKey, NotRunCause, Outcome, Refusal, RefusalReason,
    RequestExplanation, RequestId, RunState,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Adoption, AdoptionAlert, Document, Revision, Step};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::{Context, Handler};

use super::peers::Peers;
use super::status::{
    ControlCounters, DocumentStatus, MemberStatus, MembersByState, RemainingWork, Status,
};
use super::{
    AttemptEnded, CancelRequest, Directive, DocumentSender, ExplainService, FromPeer, FromPlatform,
    GetCounters, GetRemainingWork, GetStatus, IssueKey, Leave, RequestEnded, Start, Submit, Tick,
    ToPeer, VmList,
};
use crate::clock::Clock;
use crate::metrics::{Metrics, increment};
use crate::packet_listener::PacketCommand;
use crate::platform::Platform;

/// A longer gap between two ticks is logged as a pause of the process.
const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// The components of the actor.
#[derive(Debug)]
pub(crate) struct ControlParts {
    pub(crate) me: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) adoption: Adoption,
    pub(crate) membership: Membership,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) seeds: Vec<jasminecart_core::process::VmHint>,
    pub(crate) platform: Platform,
    pub(crate) packets: mpsc::Sender<PacketCommand>,
    pub(crate) packets_ready: watch::Receiver<bool>,
    pub(crate) documents: DocumentSender,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop_within: Millis,
}

/// Owns `Adoption`, `Membership` and `Dispatcher`, and executes the actions that they return.
#[derive(Debug, xtra::Actor)]
pub(crate) struct ControlActor {
    parts: ControlParts,
    vm: String,
    peers: Peers,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Directive>>,
    attempts: HashMap<AttemptId, RequestId>,
    /// The newest document and members, if not yet accepted by the packet task's channel.
    unsent_document: Option<Arc<Document>>,
    unsent_members: Option<Members>,
    packets_drained: Option<oneshot::Receiver<()>>,
    unsent_leave: Option<oneshot::Sender<()>>,
    ready: bool,
    /// Whether membership was notified that this VM may own flows and slots.
    joined: bool,
    leaving: bool,
    last_tick: Millis,
}

impl ControlActor {
    pub(crate) fn new(parts: ControlParts) -> ControlActor {
        let peers = Peers::new(parts.me.clone(), parts.incarnation, &parts.seeds);
        ControlActor {
            vm: parts.me.to_string(),
            peers,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            unsent_document: None,
            unsent_members: None,
            packets_drained: None,
            unsent_leave: None,
            ready: false,
            joined: false,
            leaving: false,
            last_tick: parts.clock.now(),
            parts,
        }
    }

    fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    fn revision(&self) -> Revision {
        self.parts.adoption.current().map_or(Revision(0), |document| document.revision())
    }

    fn apply_steps(&mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Adopt(document) => self.adopt(&document),
                Step::ReadPlatform => self.parts.platform.read(),
                Step::Watch { after } => self.parts.platform.watch(after),
                Step::StopWatch => self.parts.platform.stop_watch(),
                Step::Message(outgoing) => self.peers.send(outgoing),
                Step::Alert(alert) => self.alert(&alert),
            }
        }
    }

    fn adopt(&mut self, document: &Arc<Document>) {
        let previous = self.parts.documents.borrow().as_ref().map(|document| document.revision());
        let newer = previous.is_none_or(|previous| previous < document.revision());
        invariant!(newer, "revision {} replaced {previous:?}", document.revision());
        let now = self.now();
        self.parts.membership.set_revision(document.revision());
        self.parts.documents.send_replace(Some(document.clone()));
        self.unsent_document = Some(document.clone());
        self.flush_packets();
        let actions = self.parts.dispatcher.set_document(now, document);
        self.apply_actions(actions);
        let (revision, digest) = (document.revision(), document.digest().to_string());
        log::info!(event = "document_adopted", vm = self.vm.as_str(), epoch = revision.epoch(), revision = revision.number(), digest = digest.as_str(); "adopted a new document");
        self.warn_of_short_stop_limit(document);
    }

    /// Warns if `stop_within` is below the longest deadline of the document. A planned stop then waits for
    /// that deadline, so that the limit itself aborts no request.
    fn warn_of_short_stop_limit(&self, document: &Document) {
        let longest = longest_deadline(document);
        if longest > self.parts.stop_within {
            let (revision, bound) = (document.revision().number(), self.parts.stop_within.get());
            log::warn!(event = "stop_bound_short", vm = self.vm.as_str(), revision = revision, stop_within_ms = bound, longest_deadline_ms = longest.get(); "stop_within is below the longest deadline of a class; a planned stop may take up to that deadline");
        }
    }

    fn alert(&mut self, alert: &AdoptionAlert) {
        increment(&self.parts.metrics.counters.adoption_alerts);
        let (vm, ours) = (self.vm.as_str(), self.revision().number());
        match alert {
            AdoptionAlert::DigestConflict { revision, ours, theirs } => {
                let (ours, theirs) = (ours.to_string(), theirs.to_string());
                log::error!(event = "document_digest_conflict", vm = vm, revision = revision.number(), ours = ours.as_str(), theirs = theirs.as_str(); "another document has this revision with a different digest; keeping the current document");
            }
            AdoptionAlert::Invalid { revision, errors } => {
                let problems: Vec<String> =
                    errors.problems.iter().map(ToString::to_string).collect();
                let problems = problems.join("; ");
                log::error!(event = "document_invalid", vm = vm, revision = revision.number(), in_force = ours, problems = problems.as_str(); "refused an invalid document; keeping the current document");
            }
            AdoptionAlert::Reverted { ours, theirs } => {
                log::warn!(event = "platform_reverted", vm = vm, in_force = ours.number(), revision = theirs.number(), epoch = theirs.epoch(); "the platform returned an older document than the current one; keeping the current document");
            }
        }
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Changed(members) => self.set_members(&members),
                Event::Message(outgoing) => self.peers.send(outgoing),
                Event::Suspected(member) => {
                    self.log_member("member_suspected", &member, "a member is suspected dead");
                }
                Event::Died(member) => {
                    self.log_member("member_died", &member, "a member was declared dead");
                }
                Event::Joined(member) => {
                    self.log_member("member_joined", &member, "a member joined");
                }
                Event::Left(member) => {
                    self.log_member("member_left", &member, "a member completed its planned stop");
                }
                Event::Refuted(member) => {
                    self.log_member("member_refuted", &member, "a member refuted its suspicion");
                }
            }
        }
    }

    fn log_member(&self, event: &str, member: &VmId, text: &str) {
        let (member, revision) = (member.to_string(), self.revision().number());
        log::info!(event = event, vm = self.vm.as_str(), member = member.as_str(), revision = revision; "{text}");
    }

    fn set_members(&mut self, members: &Members) {
        let now = self.now();
        self.peers.set_members(members);
        self.unsent_members = Some(members.clone());
        self.flush_packets();
        let steps = self.parts.adoption.set_members(now, members);
        let actions = self.parts.dispatcher.set_members(now, members);
        self.apply_steps(steps);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Message(outgoing) => self.peers.send(outgoing),
                Action::Send { request, attempt, target, address, deadline } => {
                    self.attempts.insert(attempt, request);
                    let directive = Directive::Send { attempt, target, address, deadline };
                    if !self.send_directive(request, directive) {
                        self.attempts.remove(&attempt);
                        actions.extend(self.withdraw_attempt(request, attempt));
                    }
                }
                Action::Refuse { request, refusal } => {
                    self.send_directive(request, Directive::Refuse(refusal));
                }
                Action::Forward { request, vm, address } => {
                    self.send_directive(request, Directive::Forward { vm, address });
                }
                Action::Cancel { attempt } => {
                    if let Some(request) = self.attempts.get(&attempt).copied() {
                        self.send_directive(request, Directive::Cancel { attempt });
                    }
                }
            }
        }
    }

    /// Sends a directive to a request. Returns whether the request is still in progress.
    fn send_directive(&self, request: RequestId, directive: Directive) -> bool {
        self.requests.get(&request).is_some_and(|directives| directives.send(directive).is_ok())
    }

    /// Withdraws an attempt whose request has ended. The request is cancelled first, so that no failure is
    /// attributed to the target and no further attempt follows.
    fn withdraw_attempt(&mut self, request: RequestId, attempt: AttemptId) -> Vec<Action> {
        let now = self.now();
        let mut actions = self.parts.dispatcher.on_cancel(now, request);
        let not_sent = Outcome::NotRun(NotRunCause::NotSent);
        actions.extend(self.parts.dispatcher.on_outcome(now, attempt, not_sent));
        actions
    }

    fn handle_message(&mut self, from: &VmId, message: PeerMessage) {
        let now = self.now();
        match message {
            PeerMessage::Flow(message) => {
                let command = PacketCommand::Message { from: from.clone(), message };
                if self.parts.packets.try_send(command).is_err() {
                    increment(&self.parts.metrics.counters.packet_commands_dropped);
                }
            }
            PeerMessage::Request(message) => {
                let actions = self.parts.dispatcher.on_message(now, from, message);
                self.apply_actions(actions);
            }
            PeerMessage::Document(message) => {
                let steps = self.parts.adoption.on_message(now, from, message);
                self.apply_steps(steps);
            }
            PeerMessage::Member(message) => {
                let events = self.parts.membership.on_message(now, from, message);
                self.handle_events(events);
            }
        }
    }

    /// Sends the newest document and members, and the start of a planned stop, to the packet task. If its
    /// channel is full, the next tick retries; only the newest of each matters.
    fn flush_packets(&mut self) {
        if let Some(document) = self.unsent_document.take() {
            let command = PacketCommand::Document(document);
            if let Err(PacketCommand::Document(document)) = self.try_send_command(command) {
                self.unsent_document = Some(document);
            }
        }
        if let Some(members) = self.unsent_members.take() {
            let command = PacketCommand::Members(members);
            if let Err(PacketCommand::Members(members)) = self.try_send_command(command) {
                self.unsent_members = Some(members);
            }
        }
        if let Some(drained) = self.unsent_leave.take() {
            let command = PacketCommand::Leave { drained };
            if let Err(PacketCommand::Leave { drained }) = self.try_send_command(command) {
                self.unsent_leave = Some(drained);
            }
        }
    }

    #[allow(clippy::result_large_err)] // The command is returned only to the direct caller.
    fn try_send_command(&self, command: PacketCommand) -> Result<(), PacketCommand> {
        self.parts.packets.try_send(command).map_err(mpsc::error::TrySendError::into_inner)
    }

    fn record_pause(&mut self, now: Millis) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_THRESHOLD {
            increment(&self.parts.metrics.counters.control_pauses);
            log::warn!(event = "process_paused", vm = self.vm.as_str(), pause_ms = gap.get(); "the control loop did not run for a while; the process may have been paused");
        }
    }

    /// Ends the joining state once this VM has the document, the generations and its share of the flow
    /// entries.
    fn join(&mut self, now: Millis) {
        let can_join = self.parts.adoption.is_ready() && *self.parts.packets_ready.borrow();
        if can_join && !self.joined {
            self.joined = true;
            let events = self.parts.membership.set_ready(now);
            self.handle_events(events);
        }
    }

    fn update_readiness(&mut self) {
        // A rolling replacement waits for this VM to be ready before it stops the next one, so this VM must
        // be able to take over.
        let ready = self.parts.adoption.is_ready() && self.joined && !self.leaving;
        if ready != self.ready {
            self.ready = ready;
            let revision = self.revision().number();
            log::info!(event = "readiness_changed", vm = self.vm.as_str(), ready = ready, revision = revision; "the readiness of this VM changed");
        }
    }
}

/// Returns the longest deadline that a request can have.
pub(crate) fn longest_deadline(document: &Document) -> Millis {
    let deadlines = document.classes().values().map(|class| class.default_deadline);
    deadlines.max().unwrap_or(Millis::ZERO)
}

impl Handler<Submit> for ControlActor {
    type Return = ();

    async fn handle(&mut self, submit: Submit, _cx: &mut Context<Self>) {
        // A leaving VM can still forward a keyed request to its successor.
        let leaving = self.leaving && submit.meta.key.is_none();
        if leaving || !self.parts.adoption.is_ready() {
            let refusal = Refusal { state: RunState::NotRun, reason: RefusalReason::NotReady };
            let _ = submit.directives.send(Directive::Refuse(refusal));
            return;
        }
        let now = self.now();
        self.requests.insert(submit.meta.id, submit.directives);
        let actions = match submit.forwarded {
            true => self.parts.dispatcher.submit_forwarded(now, submit.meta),
            false => self.parts.dispatcher.submit(now, submit.meta),
        };
        self.apply_actions(actions);
    }
}

impl Handler<AttemptEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, ended: AttemptEnded, _cx: &mut Context<Self>) {
        self.attempts.remove(&ended.attempt);
        let now = self.now();
        let actions = self.parts.dispatcher.on_outcome(now, ended.attempt, ended.outcome);
        self.apply_actions(actions);
    }
}

impl Handler<CancelRequest> for ControlActor {
    type Return = ();

    async fn handle(&mut self, cancel: CancelRequest, _cx: &mut Context<Self>) {
        let now = self.now();
        let actions = self.parts.dispatcher.on_cancel(now, cancel.0);
        self.apply_actions(actions);
    }
}

impl Handler<RequestEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, ended: RequestEnded, _cx: &mut Context<Self>) {
        self.requests.remove(&ended.0);
    }
}

impl Handler<IssueKey> for ControlActor {
    type Return = Option<IssuedKey>;

    async fn handle(&mut self, _: IssueKey, _cx: &mut Context<Self>) -> Option<IssuedKey> {
        let now = self.now();
        self.ready.then(|| self.parts.dispatcher.issue_key(now))
    }
}

impl Handler<FromPeer> for ControlActor {
    type Return = ();

    async fn handle(&mut self, from_peer: FromPeer, _cx: &mut Context<Self>) {
        let delivered = from_peer.0;
        if delivered.from == self.parts.me {
            increment(&self.parts.metrics.counters.messages_from_self);
            return;
        }
        for message in delivered.messages {
            self.handle_message(&delivered.from, message);
        }
    }
}

impl Handler<ToPeer> for ControlActor {
    type Return = ();

    async fn handle(&mut self, to_peer: ToPeer, _cx: &mut Context<Self>) {
        let outgoing: Outgoing = to_peer.0;
        self.peers.send(outgoing);
    }
}

impl Handler<FromPlatform> for ControlActor {
    type Return = ();

    async fn handle(&mut self, from_platform: FromPlatform, _cx: &mut Context<Self>) {
        let now = self.now();
        let steps = self.parts.adoption.on_platform(now, from_platform.0);
        self.apply_steps(steps);
        self.update_readiness();
    }
}

impl Handler<VmList> for ControlActor {
    type Return = ();

    async fn handle(&mut self, list: VmList, _cx: &mut Context<Self>) {
        let now = self.now();
        self.peers.set_listed(&list.0);
        let events = self.parts.membership.on_vm_list(now, &list.0);
        self.handle_events(events);
    }
}

impl Handler<Start> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: Start, _cx: &mut Context<Self>) {
        let now = self.now();
        let members = self.parts.membership.members().clone();
        self.set_members(&members);
        let steps = self.parts.adoption.start(now);
        self.apply_steps(steps);
    }
}

impl Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _cx: &mut Context<Self>) {
        let now = self.now();
        self.record_pause(now);
        let events = self.parts.membership.tick(now);
        self.handle_events(events);
        let steps = self.parts.adoption.tick(now);
        self.apply_steps(steps);
        let actions = self.parts.dispatcher.tick(now);
        self.apply_actions(actions);
        self.flush_packets();
        self.join(now);
        self.update_readiness();
    }
}

impl Handler<Leave> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: Leave, _cx: &mut Context<Self>) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        let now = self.now();
        self.update_readiness();
        let events = self.parts.membership.leave(now);
        self.handle_events(events);
        let actions = self.parts.dispatcher.leave(now);
        self.apply_actions(actions);
        let (drained, receiver) = oneshot::channel();
        self.unsent_leave = Some(drained);
        self.packets_drained = Some(receiver);
        self.flush_packets();
    }
}

impl Handler<GetRemainingWork> for ControlActor {
    type Return = Option<RemainingWork>;

    async fn handle(
        &mut self,
        _: GetRemainingWork,
        _cx: &mut Context<Self>,
    ) -> Option<RemainingWork> {
        if let Some(drained) = &mut self.packets_drained {
            match drained.try_recv() {
                Err(oneshot::error::TryRecvError::Empty) => return Some(RemainingWork::Packets),
                Ok(()) | Err(oneshot::error::TryRecvError::Closed) => self.packets_drained = None,
            }
        }
        match () {
            () if !self.requests.is_empty() => Some(RemainingWork::Requests),
            () if !self.parts.dispatcher.is_drained() => Some(RemainingWork::Dispatch),
            () if !self.peers.is_idle() => Some(RemainingWork::Messages),
            () => None,
        }
    }
}

impl Handler<ExplainService> for ControlActor {
    type Return = RequestExplanation;

    async fn handle(
        &mut self,
        explain: ExplainService,
        _cx: &mut Context<Self>,
    ) -> RequestExplanation {
        let now = self.now();
        self.parts.dispatcher.explain(now, &explain.0)
    }
}

impl Handler<GetStatus> for ControlActor {
    type Return = Status;

    async fn handle(&mut self, _: GetStatus, _cx: &mut Context<Self>) -> Status {
        let now = self.now();
        let document = self.parts.adoption.current().map(|document| DocumentStatus {
            epoch: document.revision().epoch(),
            revision: document.revision().number(),
            digest: document.digest().to_string(),
            services: document.services().len(),
            targets: document.targets().len(),
        });
        let members = self.parts.membership.members().list.iter().map(|member| MemberStatus {
            vm: member.vm.to_string(),
            state: member.state,
            incarnation: member.incarnation.0,
            size: member.size,
            epoch: member.revision.epoch(),
            revision: member.revision.number(),
            control: member.address.control.to_string(),
            silent_ms: now.since(member.heard_at).get(),
        });
        Status {
            vm: self.vm.clone(),
            incarnation: self.parts.incarnation.0,
            uptime_ms: now.get(),
            ready: self.ready,
            leaving: self.leaving,
            document,
            members: members.collect(),
            targets: self.parts.dispatcher.targets(),
            requests_in_progress: self.requests.len(),
        }
    }
}

impl Handler<GetCounters> for ControlActor {
    type Return = ControlCounters;

    async fn handle(&mut self, _: GetCounters, _cx: &mut Context<Self>) -> ControlCounters {
        let mut members_by_state = MembersByState::default();
        let members = &self.parts.membership.members().list;
        members.iter().for_each(|member| members_by_state.count(member.state));
        ControlCounters {
            dispatch: self.parts.dispatcher.counters().clone(),
            members: self.parts.membership.counters().clone(),
            adoption: self.parts.adoption.counters().clone(),
            links: self.peers.counters(),
            revision: self.revision(),
            ready: self.ready,
            members_by_state,
        }
    }
}
