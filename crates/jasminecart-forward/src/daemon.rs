//! The main loop, which owns the state machines of the process.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::flow::token::{FlowId, RoutingToken};
use jasminecart_core::names::VmId;
use jasminecart_core::time::Millis;
use jasminecart_core::version::{
    Sharing, SharingMessage, SharingStep, Source, StoreRevision, TransferFailure, View,
};
use log::{debug, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::edges::{Changes, Encapsulation, Snapshot};
use crate::explain::Report;
use crate::feed::{FeedMode, RetryPace, Update};
use crate::forwarder::{Forwarder, report_socket};
use crate::peers::{ForwardMessage, Peers, Received};
use crate::process::Shared;
use crate::settings::Settings;
use crate::streams::{self, StreamEvent};

/// The period of timers. Membership requires a call at least every 200 ms.
const TICK: Duration = Duration::from_millis(100);

/// A command from the process to the main loop.
#[derive(Debug)]
pub(crate) enum Command {
    /// Apply reloaded settings.
    Reload(Box<Settings>),
    /// Announce a planned stop to the peers.
    Leave,
    /// Explain where the packets of a flow go.
    Explain {
        /// The flow.
        flow: FlowId,
        /// The token that its packets carry.
        token: Option<RoutingToken>,
        /// Where the explanation is sent.
        reply: oneshot::Sender<Report>,
    },
}

/// The state machines of the process with their sockets.
pub(crate) struct Daemon<E> {
    pub(crate) forwarder: Forwarder<E>,
    pub(crate) peers: Peers,
    pub(crate) sharing: Sharing,
    pub(crate) shared: Rc<Shared>,
    pub(crate) feed_mode: watch::Sender<FeedMode>,
    pub(crate) stream_events: mpsc::Sender<StreamEvent>,
    pub(crate) source: Source,
    pub(crate) joined: bool,
}

impl<E: Encapsulation> Daemon<E> {
    /// Runs until `updates` is closed.
    pub(crate) async fn run(
        mut self,
        mut updates: mpsc::Receiver<Update>,
        mut commands: mpsc::Receiver<Command>,
        mut stream_events: mpsc::Receiver<StreamEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                update = updates.recv() => match update {
                    Some(update) => self.on_update(update),
                    None => return,
                },
                Some(command) = commands.recv() => self.on_command(command),
                Some(event) = stream_events.recv() => self.on_stream_event(event),
                _ = ticks.tick() => self.on_tick(),
                ready = self.peers.readable() => match ready {
                    Ok(()) => self.on_peers(),
                    Err(error) => report_socket(&error),
                },
                ready = self.forwarder.readable() => match ready {
                    Ok(()) => self.forwarder.receive(),
                    Err(error) => report_socket(&error),
                },
                // Last, because the packets that wait may follow an opening up.
                () = self.forwarder.second_copy_due() => self.forwarder.send_second_copies(),
            }
        }
    }

    fn on_update(&mut self, update: Update) {
        let now = self.shared.clock.now();
        let (revision, changed) = match update {
            Update::Recovered => {
                self.forwarder.set_store_recovered(now);
                return;
            }
            Update::Failed => {
                let steps = self.sharing.on_store_failure(now);
                self.execute(now, steps);
                self.update_readiness_and_feed(now);
                return;
            }
            Update::Read(Snapshot { revision, .. }) | Update::Changed(Changes { revision, .. })
                if !self.sharing.accepts_response(revision) =>
            {
                return;
            }
            Update::Read(snapshot) => {
                (snapshot.revision, self.forwarder.apply_snapshot(now, snapshot))
            }
            Update::Changed(changes) => {
                (changes.revision, self.forwarder.apply_changes(now, changes))
            }
        };
        let steps = {
            let (sharing, view) = (&mut self.sharing, view(&self.forwarder));
            sharing.on_store_response(now, revision, changed, view)
        };
        self.execute(now, steps);
        self.update_readiness_and_feed(now);
    }

    fn on_peers(&mut self) {
        let now = self.shared.clock.now();
        let (received, changed) = self.peers.receive(now);
        if changed {
            self.update_members(now);
        }
        for received in received {
            let steps = match received {
                Received::Sharing { from, message } => {
                    self.sharing.on_message(now, &from, message, view(&self.forwarder))
                }
                Received::Introductions(introductions) => {
                    self.sharing.on_introductions(now, &introductions)
                }
            };
            self.execute(now, steps);
        }
        self.update_readiness_and_feed(now);
    }

    fn on_command(&mut self, command: Command) {
        let now = self.shared.clock.now();
        match command {
            Command::Reload(settings) => {
                self.peers.set_settings(&settings);
                self.forwarder.set_second_copy_limit(settings.second_copies);
            }
            Command::Leave => {
                if self.peers.leave(now) {
                    self.update_members(now);
                }
            }
            Command::Explain { flow, token, reply } => {
                // The client may have disconnected meanwhile.
                let _ = reply.send(self.explain(now, &flow, token));
            }
        }
    }

    fn explain(&self, now: Millis, flow: &FlowId, token: Option<RoutingToken>) -> Report {
        Report {
            vm: self.peers.members().me.to_string(),
            not_ready: self.shared.readiness.not_ready(now),
            source: source_name(self.source),
            revision: self.sharing.position().to_string(),
            view_ms_ago: self.shared.readiness.age(now),
            explanation: self.forwarder.router().explain(now, flow, token),
        }
    }

    fn on_tick(&mut self) {
        let now = self.shared.clock.now();
        self.forwarder.set_local_vm_count(self.peers.members().eligible().count());
        self.forwarder.tick(now);
        if self.peers.tick(now) {
            self.update_members(now);
        }
        let steps = self.sharing.tick(now);
        let counters = self.sharing.counters();
        self.shared.metrics.peer_gaps.set(i64::try_from(counters.gaps).unwrap_or(i64::MAX));
        self.shared.metrics.reads_alone.set(i64::try_from(counters.alone).unwrap_or(i64::MAX));
        self.shared.metrics.fetches.set(i64::try_from(counters.fetches).unwrap_or(i64::MAX));
        let failed = i64::try_from(counters.failed_fetches).unwrap_or(i64::MAX);
        self.shared.metrics.failed_fetches.set(failed);
        self.execute(now, steps);
        self.update_readiness_and_feed(now);
    }

    fn on_stream_event(&mut self, event: StreamEvent) {
        let now = self.shared.clock.now();
        match event {
            StreamEvent::Request { bytes, busy, response } => {
                if let Some(bytes) = self.respond_to_fetch(now, &bytes, busy) {
                    // The peer may have given up meanwhile.
                    let _ = response.send(bytes);
                }
            }
            StreamEvent::Ended { from, response } => {
                let steps = self.on_stream_ended(now, &from, response);
                self.execute(now, steps);
                self.update_readiness_and_feed(now);
            }
        }
    }

    /// Returns the response to a request of a peer over a stream, or `None` if it is invalid.
    fn respond_to_fetch(&mut self, now: Millis, bytes: &[u8], busy: bool) -> Option<Vec<u8>> {
        let (from, message) = self.peers.decode_from_stream(bytes)?;
        let SharingMessage::Ask { after } = message else { return None };
        let metrics = &self.shared.metrics;
        let response = if busy {
            metrics.streams_refused.inc();
            self.sharing.refuse_fetch()
        } else {
            metrics.streams_served.inc();
            self.sharing.on_fetch(now, &from, after, view(&self.forwarder))
        };
        self.peers.encode_for_stream(response)
    }

    fn on_stream_ended(
        &mut self,
        now: Millis,
        from: &VmId,
        response: io::Result<Vec<u8>>,
    ) -> Vec<SharingStep> {
        let response = match response {
            Ok(bytes) => self.peers.decode_from_stream(&bytes),
            Err(error) => {
                let (vm, cause) = (from.to_string(), error.to_string());
                debug!(
                    event = "fetch-failed", vm = vm.as_str(), cause = cause.as_str();
                    "a peer did not send routes and targets; trying another one"
                );
                None
            }
        };
        match response.filter(|(sender, _)| sender == from) {
            Some((_, message)) => {
                self.sharing.on_transfer(now, from, message, view(&self.forwarder))
            }
            None => self.sharing.on_transfer_failure(now, from, TransferFailure::Failed),
        }
    }

    fn execute(&mut self, now: Millis, steps: Vec<SharingStep>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                SharingStep::Message { to, message } => {
                    self.peers.send(&to, ForwardMessage::Sharing(message));
                }
                SharingStep::Apply(changes) => self.forwarder.apply_shared(now, changes),
                SharingStep::Fetch { from, after } => {
                    let request = self.peers.encode_for_stream(SharingMessage::Ask { after });
                    match self.peers.address_of(&from).zip(request) {
                        Some((address, request)) => {
                            streams::fetch(from, address, request, self.stream_events.clone());
                        }
                        None => {
                            let failure = TransferFailure::Failed;
                            steps.extend(self.sharing.on_transfer_failure(now, &from, failure));
                        }
                    }
                }
            }
        }
    }

    /// Passes the list of members on after it changed.
    fn update_members(&mut self, now: Millis) {
        let members = self.peers.members();
        self.sharing.set_members(members);
        self.forwarder.set_members(now, members);
    }

    /// Updates readiness and the feed after the view or the members may have changed.
    fn update_readiness_and_feed(&mut self, now: Millis) {
        let age = self.sharing.age(now);
        self.forwarder.set_confirmed(now - age);
        if !self.joined && self.sharing.position() > StoreRevision::NONE {
            self.joined = true;
            if self.peers.set_ready(now) {
                self.update_members(now);
            }
        }
        let source = self.sharing.source(now);
        if source != self.source {
            let name = source_name(source);
            let position = self.sharing.position();
            info!(
                event = "source-changed", source = name, epoch = position.epoch,
                revision = position.number, age_ms = age.get();
                "the source of routes and targets changed"
            );
            self.source = source;
            self.shared.metrics.set_source(name);
        }
        let mode = match source {
            Source::Reader | Source::Fallback => {
                let probes = self.sharing.probes_store();
                let retry = if probes { RetryPace::Fast } else { RetryPace::Slow };
                FeedMode::Follow { known: self.sharing.position(), retry }
            }
            Source::Starting | Source::Peers => FeedMode::Idle,
        };
        self.feed_mode.send_if_modified(|current| {
            let modified = *current != mode;
            *current = mode;
            modified
        });
    }
}

fn view<E: Encapsulation>(forwarder: &Forwarder<E>) -> View<'_> {
    let router = forwarder.router();
    View { evacuations: router.evacuations(), targets: router.targets(), routes: router.routes() }
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Starting => "starting",
        Source::Reader => "reader",
        Source::Fallback => "alone",
        Source::Peers => "peers",
    }
}
