//! The packet loop, which owns the router.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use jasminecart_core::flow::token::{ClientSegment, Destination, TokenRouter, Verdict};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Revision, Routes};
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::edges::{Changes, Encapsulation, Snapshot};
use crate::events::{self, Beliefs, Events};
use crate::feed::Update;
use crate::metrics::{CauseLabel, RouteLabel};
use crate::process::Shared;

/// The largest datagram read. Packets carry up to 1,200 bytes of data; a longer datagram is malformed.
const MAX_DATAGRAM: usize = 2_048;
/// The most packets handled before timers and updates get their turn.
const BATCH: usize = 64;
/// The period of [`TokenRouter::tick`].
const TICK: std::time::Duration = std::time::Duration::from_millis(100);

/// Forwards packets with one router.
pub(crate) struct Forwarder<E> {
    socket: UdpSocket,
    encapsulation: E,
    router: TokenRouter,
    shared: Rc<Shared>,
    events: Events,
    revision: Revision,
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
            datagram: vec![0; MAX_DATAGRAM].into(),
            out: Vec::with_capacity(MAX_DATAGRAM),
        }
    }

    /// Forwards packets until `updates` is closed.
    pub(crate) async fn run(mut self, mut updates: mpsc::Receiver<Update>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                update = updates.recv() => match update {
                    Some(update) => self.on_update(update),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
                ready = self.socket.readable() => match ready {
                    Ok(()) => self.receive(),
                    Err(error) => report_socket(&error),
                },
            }
        }
    }

    fn receive(&mut self) {
        let now = self.shared.clock.now();
        let mut datagram = std::mem::take(&mut self.datagram);
        for _ in 0..BATCH {
            match self.socket.try_recv(&mut datagram) {
                Ok(length) => self.on_datagram(now, &datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
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
        let metrics = &self.shared.metrics;
        metrics.packets.inc();
        let segment = match self.encapsulation.decode(datagram) {
            Ok(segment) => segment,
            Err(error) => {
                let cause = events::malformed_label(error);
                metrics.drops.get_or_create(&CauseLabel { cause }).inc();
                return;
            }
        };
        match self.router.on_segment(now, &segment) {
            Verdict::Forward(destination) => self.forward(now, datagram, &segment, destination),
            Verdict::Reset(cause) => {
                let label = CauseLabel { cause: events::reset_label(cause) };
                metrics.resets.get_or_create(&label).inc();
                let beliefs = self.beliefs(now);
                self.events.reset(now, &self.shared.metrics, &segment, cause, beliefs);
                self.out.clear();
                let to = self.encapsulation.reset(&segment, &mut self.out);
                self.send(to);
            }
            Verdict::Drop(cause) => {
                let label = CauseLabel { cause: events::drop_label(cause) };
                metrics.drops.get_or_create(&label).inc();
                let beliefs = self.beliefs(now);
                self.events.dropped(now, &self.shared.metrics, &segment, cause, beliefs);
            }
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
        if let Some((route, latency)) = self.router.take_answered() {
            let label = RouteLabel { route: route.to_string() };
            metrics.latency.get_or_create(&label).observe(latency.as_secs_f64());
        }
        let Some(decision) = self.router.take_decision() else { return };
        let label = RouteLabel { route: decision.route.to_string() };
        metrics.openings.get_or_create(&label).inc();
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

    fn on_update(&mut self, update: Update) {
        let now = self.shared.clock.now();
        match update {
            Update::Regained => self.router.set_store_returned(now),
            Update::Read(snapshot) => self.on_snapshot(now, snapshot),
            Update::Changed(changes) => self.on_changes(now, changes),
        }
        self.shared.readiness.set_loaded(self.router.is_ready());
    }

    fn on_snapshot(&mut self, now: Millis, snapshot: Snapshot) {
        self.shared.readiness.set_heard(now);
        self.shared.metrics.refused_entries.inc_by(snapshot.refused);
        self.revision = self.revision.max(snapshot.revision);
        for (name, effect) in self.router.set_targets(now, snapshot.targets, snapshot.revision) {
            events::target_changed(&name, effect, snapshot.revision);
        }
        self.adopt(snapshot.routes);
    }

    fn on_changes(&mut self, now: Millis, changes: Changes) {
        self.shared.readiness.set_heard(now);
        self.shared.metrics.refused_entries.inc_by(changes.refused);
        self.revision = self.revision.max(changes.revision);
        for change in changes.targets {
            let name = change.name().clone();
            let effect = self.router.change_target(now, change);
            events::target_changed(&name, effect, changes.revision);
        }
        self.adopt(changes.routes);
    }

    fn adopt(&mut self, routes: Option<Routes>) {
        let Some(routes) = routes else { return };
        let (version, revision, count) =
            (routes.version, routes.revision.0, routes.by_address.len());
        if self.router.set_routes(Arc::new(routes)) {
            info!(
                event = "routes-adopted", version = version, revision = revision, routes = count;
                "new routes are in force"
            );
        }
    }

    fn on_tick(&mut self) {
        let now = self.shared.clock.now();
        self.router.tick(now);
        let metrics = &self.shared.metrics;
        metrics.flows.set(self.router.observed_flows() as i64);
        metrics.targets.set(self.router.targets().usable() as i64);
        metrics.directory_age_ms.set(self.shared.readiness.age(now).get() as i64);
    }
}

fn report_socket(error: &io::Error) {
    let cause = error.to_string();
    warn!(event = "packet-socket-failed", cause = cause.as_str(); "the packet socket reported an error");
}
