//! The packet loop, which owns the router.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, Destination, DropCause, ResetCause, SegmentKind, TokenRouter, Verdict,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Effect, Revision, Routes, SharedChanges, TargetChange};
use log::{info, warn};
use tokio::net::UdpSocket;

use crate::edges::{Changes, Encapsulation, Snapshot};
use crate::events::{self, Beliefs, Events};
use crate::metrics::{CauseLabel, RouteLabel};
use crate::process::Shared;

/// The largest datagram read. Packets carry up to 1,200 bytes of data; a longer datagram is malformed.
const MAX_DATAGRAM: usize = 2_048;
/// The most packets handled before timers and updates get their turn.
const BATCH: usize = 64;

/// How long a packet waits at most for the first routes and targets. Its client repeats it after 200 ms, so
/// that an older one only doubles the work.
const BACKLOG_AGE: Millis = Millis(200);
/// The most packets that wait for the first routes and targets, about 100 ms of the busiest VM.
const BACKLOG: usize = 128;

/// Forwards packets with one router.
pub(crate) struct Forwarder<E> {
    socket: UdpSocket,
    encapsulation: E,
    router: TokenRouter,
    shared: Rc<Shared>,
    events: Events,
    revision: Revision,
    /// Packets that arrived before the first routes and targets did.
    backlog: VecDeque<(Millis, Box<[u8]>)>,
    datagram: Box<[u8]>,
    out: Vec<u8>,
}

impl<E: Encapsulation> Forwarder<E> {
    pub(crate) fn new(
        socket: UdpSocket,
        encapsulation: E,
        router: TokenRouter,
        shared: Rc<Shared>,
    ) -> Forwarder<E> {
        Forwarder {
            socket,
            encapsulation,
            router,
            shared,
            events: Events::default(),
            revision: Revision::default(),
            backlog: VecDeque::new(),
            datagram: vec![0; MAX_DATAGRAM].into(),
            out: Vec::with_capacity(MAX_DATAGRAM),
        }
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Handles waiting packets, up to a batch.
    pub(crate) fn receive(&mut self) {
        let now = self.shared.clock.now();
        let mut datagram = std::mem::take(&mut self.datagram);
        for _ in 0..BATCH {
            match self.socket.try_recv(&mut datagram) {
                Ok(length) => self.on_datagram(now, &datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.router.set_drained(self.shared.clock.now());
                    break;
                }
                // A target's host that refuses datagrams is reported here, on the next call.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    report_socket(&error);
                    break;
                }
            }
        }
        self.datagram = datagram;
    }

    fn on_datagram(&mut self, now: Millis, datagram: &[u8]) {
        self.shared.metrics.packets.inc();
        if self.router.is_ready() {
            self.handle(now, datagram);
        } else {
            if self.backlog.len() >= BACKLOG {
                self.backlog.pop_front();
                self.count_drop(events::drop_label(DropCause::NotReady));
            }
            self.backlog.push_back((now, datagram.into()));
        }
    }

    /// Handles the packets that waited for the first routes and targets.
    fn work_off_backlog(&mut self, now: Millis) {
        for (arrived_at, datagram) in std::mem::take(&mut self.backlog) {
            if now.since(arrived_at) <= BACKLOG_AGE {
                self.handle(now, &datagram);
            } else {
                self.count_drop(events::drop_label(DropCause::NotReady));
            }
        }
    }

    fn handle(&mut self, now: Millis, datagram: &[u8]) {
        let segment = match self.encapsulation.decode(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.count_drop(events::malformed_label(error)),
        };
        let verdict = self.router.on_segment(now, &segment);
        self.report_beliefs(now);
        match verdict {
            Verdict::Forward(destination) => self.forward(now, datagram, &segment, destination),
            Verdict::Reset(cause) => self.reset(now, &segment, cause),
            Verdict::Drop(cause) => {
                self.count_drop(events::drop_label(cause));
                let beliefs = self.beliefs(now);
                self.events.dropped(now, &self.shared.metrics, &segment, cause, beliefs);
            }
        }
    }

    fn count_drop(&self, cause: &'static str) {
        self.shared.metrics.drops.get_or_create(&CauseLabel { cause }).inc();
    }

    fn reset(&mut self, now: Millis, segment: &ClientSegment, cause: ResetCause) {
        let label = CauseLabel { cause: events::reset_label(cause) };
        self.shared.metrics.resets.get_or_create(&label).inc();
        let beliefs = self.beliefs(now);
        self.events.reset(now, &self.shared.metrics, segment, cause, beliefs);
        self.out.clear();
        let to = self.encapsulation.reset(segment, &mut self.out);
        self.send(to);
    }

    /// Reports what the last packet changed in the router's beliefs.
    fn report_beliefs(&mut self, now: Millis) {
        for belief in self.router.take_beliefs() {
            events::believed(&belief, self.beliefs(now));
        }
    }

    fn forward(
        &mut self,
        now: Millis,
        datagram: &[u8],
        segment: &ClientSegment,
        destination: Destination,
    ) {
        self.out.clear();
        self.encapsulation.encode(datagram, destination.label, destination.token, &mut self.out);
        self.send(destination.address);
        let metrics = &self.shared.metrics;
        metrics.forwarded.inc();
        if let Some(answered) = self.router.take_answered() {
            let label = RouteLabel { route: answered.route.to_string() };
            if answered.refused {
                metrics.refusals.inc();
            } else {
                metrics.latency.get_or_create(&label).observe(answered.latency.as_secs_f64());
            }
            events::answered(segment, &answered);
        }
        let Some(decision) = self.router.take_decision() else { return };
        let label = RouteLabel { route: decision.route.to_string() };
        metrics.openings.get_or_create(&label).inc();
        if let SegmentKind::Open { copy: 1.. } = segment.kind {
            metrics.repeated_openings.inc();
        }
        if decision.instead_of.is_some() {
            metrics.moved_openings.inc();
        }
        let beliefs = self.beliefs(now);
        self.events.opened(now, &self.shared.metrics, segment, &decision, beliefs);
    }

    fn send(&self, to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(&self.out, to.into()) {
            self.shared.metrics.send_failures.inc();
            // A full socket buffer loses the packet like a full link would; its sender repeats it.
            if error.kind() != io::ErrorKind::WouldBlock {
                report_socket(&error);
            }
        }
    }

    fn beliefs(&self, now: Millis) -> Beliefs {
        Beliefs { age: self.shared.readiness.age(now), revision: self.revision }
    }

    pub(crate) fn router(&self) -> &TokenRouter {
        &self.router
    }

    /// Takes a whole reading of the directory. Returns whether it brought something new.
    pub(crate) fn take_snapshot(&mut self, now: Millis, snapshot: Snapshot) -> bool {
        self.shared.metrics.refused_entries.inc_by(snapshot.refused);
        let effects = self.router.set_targets(now, snapshot.targets, snapshot.revision);
        for (name, effect) in &effects {
            events::target_changed(name, *effect, snapshot.revision, "store");
        }
        let adopted = snapshot.routes.is_some_and(|routes| self.adopt(Arc::new(routes), "store"));
        self.note(now, snapshot.revision);
        adopted || !effects.is_empty()
    }

    /// Takes changes of the directory. Returns whether they brought something new.
    pub(crate) fn take_changes(&mut self, now: Millis, changes: Changes) -> bool {
        self.shared.metrics.refused_entries.inc_by(changes.refused);
        let applied = self.apply(now, changes.targets, changes.revision, "store");
        let adopted = changes.routes.is_some_and(|routes| self.adopt(Arc::new(routes), "store"));
        self.note(now, changes.revision);
        applied || adopted
    }

    /// Takes what a peer knows.
    pub(crate) fn take_shared(&mut self, now: Millis, changes: SharedChanges) {
        let source = changes.from.name;
        if changes.complete {
            let records = changes.targets.into_iter().filter_map(TargetChange::into_written);
            let effects = self.router.set_targets(now, records.collect(), changes.upto);
            for (name, effect) in &effects {
                events::target_changed(name, *effect, changes.upto, source.as_str());
            }
        } else {
            self.apply(now, changes.targets, changes.upto, source.as_str());
        }
        if let Some(routes) = changes.routes {
            self.adopt(routes, source.as_str());
        }
        self.note(now, changes.upto);
    }

    /// Notes that the directory answers again after an outage.
    pub(crate) fn set_directory_returned(&mut self, now: Millis) {
        self.router.set_store_returned(now);
    }

    /// Notes when the directory last confirmed what this VM knows, directly or through a peer.
    pub(crate) fn set_confirmed(&mut self, at: Millis) {
        self.shared.readiness.set_confirmed(at);
        self.router.set_confirmed(at);
    }

    fn apply(
        &mut self,
        now: Millis,
        changes: Vec<TargetChange>,
        revision: Revision,
        source: &str,
    ) -> bool {
        let mut applied = false;
        for change in changes {
            let name = change.name().clone();
            let effect = self.router.change_target(now, change);
            applied |= effect != Effect::Ignored;
            events::target_changed(&name, effect, revision, source);
        }
        applied
    }

    fn adopt(&mut self, routes: Arc<Routes>, source: &str) -> bool {
        let (version, revision, count) =
            (routes.version, routes.revision.0, routes.by_address.len());
        let adopted = self.router.set_routes(routes);
        if adopted {
            info!(
                event = "routes-adopted", version = version, revision = revision, routes = count,
                source = source;
                "new routes are in force"
            );
        }
        adopted
    }

    fn note(&mut self, now: Millis, revision: Revision) {
        self.revision = self.revision.max(revision);
        if self.router.is_ready() {
            self.shared.readiness.set_loaded(true);
            self.work_off_backlog(now);
        }
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        self.router.tick(now);
        let metrics = &self.shared.metrics;
        metrics.flows.set(self.router.observed_flows() as i64);
        metrics.suspects.set(self.router.suspects() as i64);
        metrics.targets.set(self.router.targets().usable_count() as i64);
        metrics.directory_age_ms.set(self.shared.readiness.age(now).get() as i64);
    }
}

pub(crate) fn report_socket(error: &io::Error) {
    let cause = error.to_string();
    warn!(event = "socket-failed", cause = cause.as_str(); "a UDP socket reported an error");
}
