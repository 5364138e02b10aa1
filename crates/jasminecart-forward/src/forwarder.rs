//! Forwards packets of clients to targets by the decisions of the token router.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use jasminecart_core::flow::token::{
    ClientSegment, Destination, DropCause, ResetCause, SegmentKind, TokenRouter, Verdict,
};
use jasminecart_core::names::Name;
use jasminecart_core::process::Members;
use jasminecart_core::time::Millis;
use jasminecart_core::version::{
    Effect, EvacuationChange, EvacuationEffect, Routes, SharedChanges, StoreRevision, TargetChange,
    TargetRecord,
};
use log::{info, warn};
use tokio::net::UdpSocket;

use crate::backlog::Backlog;
use crate::edges::{Changes, Encapsulation, Snapshot};
use crate::events::{self, Events, ViewVersion};
use crate::metrics::{CauseLabel, KindLabel, RouteLabel};
use crate::process::Shared;

/// The size of the receive buffer. Packets carry up to 1,200 bytes of data, so that a longer datagram is
/// malformed.
const MAX_DATAGRAM: usize = 2_048;
/// The maximum number of packets handled before timers and updates are polled.
const BATCH: usize = 64;

/// The packet socket with the router that decides where its packets go.
pub(crate) struct Forwarder<E> {
    socket: UdpSocket,
    encapsulation: E,
    router: TokenRouter,
    shared: Rc<Shared>,
    events: Events,
    revision: StoreRevision,
    backlog: Backlog,
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
            revision: StoreRevision::default(),
            backlog: Backlog::default(),
            datagram: vec![0; MAX_DATAGRAM].into(),
            out: Vec::with_capacity(MAX_DATAGRAM),
        }
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives and handles up to [`BATCH`] waiting packets.
    pub(crate) fn receive(&mut self) {
        let now = self.shared.clock.now();
        let mut datagram = std::mem::take(&mut self.datagram);
        for _ in 0..BATCH {
            match self.socket.try_recv(&mut datagram) {
                Ok(length) => self.on_datagram(now, &datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.router.set_receive_queue_empty(self.shared.clock.now());
                    break;
                }
                // An ICMP port unreachable for an earlier send is reported by the next receive.
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
            self.on_packet(now, datagram);
        } else {
            if self.backlog.push(now, datagram) {
                self.count_drop(events::drop_label(DropCause::NotReady));
            }
        }
    }

    /// Handles the packets that waited for the first routes and targets, and drops those that are too old.
    fn process_backlog(&mut self, now: Millis) {
        let (recent, dropped) = self.backlog.take(now);
        for _ in 0..dropped {
            self.count_drop(events::drop_label(DropCause::NotReady));
        }
        for datagram in recent {
            self.on_packet(now, &datagram);
        }
    }

    fn on_packet(&mut self, now: Millis, datagram: &[u8]) {
        let segment = match self.encapsulation.decode(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.count_drop(events::malformed_label(error)),
        };
        let verdict = self.router.on_segment(now, &segment);
        self.report_suspicion_changes(now);
        match verdict {
            Verdict::Forward(destination) => self.forward(now, datagram, &segment, destination),
            Verdict::Reset(cause) => self.reset(now, &segment, cause),
            Verdict::Drop(cause) => {
                self.count_drop(events::drop_label(cause));
                let view_version = self.view_version(now);
                self.events.dropped(now, &self.shared.metrics, &segment, cause, view_version);
            }
        }
    }

    fn count_drop(&self, cause: &'static str) {
        self.shared.metrics.drops.get_or_create(&CauseLabel { cause }).inc();
    }

    fn reset(&mut self, now: Millis, segment: &ClientSegment, cause: ResetCause) {
        let label = CauseLabel { cause: events::reset_label(cause) };
        self.shared.metrics.resets.get_or_create(&label).inc();
        let view_version = self.view_version(now);
        self.events.reset(now, &self.shared.metrics, segment, cause, view_version);
        self.out.clear();
        let to = self.encapsulation.reset(segment, &mut self.out);
        self.send(to);
    }

    /// Logs which targets the last packet made suspected or cleared.
    fn report_suspicion_changes(&mut self, now: Millis) {
        for change in self.router.take_suspicion_changes() {
            events::suspicion_changed(&change, self.view_version(now));
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
        if let Some(completed) = self.router.take_completed_request() {
            let label = RouteLabel { route: completed.route.to_string() };
            if completed.refused {
                metrics.refusals.inc();
            } else {
                metrics.latency.get_or_create(&label).observe(completed.latency.as_secs_f64());
            }
            events::request_completed(segment, &completed);
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
        let view_version = self.view_version(now);
        self.events.opened(now, &self.shared.metrics, segment, &decision, view_version);
    }

    fn send(&self, to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(&self.out, to.into()) {
            self.shared.metrics.send_failures.inc();
            // A full send buffer loses the packet as a congested link would, and its sender retransmits it.
            if error.kind() != io::ErrorKind::WouldBlock {
                report_socket(&error);
            }
        }
    }

    fn view_version(&self, now: Millis) -> ViewVersion {
        ViewVersion { age: self.shared.readiness.age(now), revision: self.revision }
    }

    pub(crate) fn router(&self) -> &TokenRouter {
        &self.router
    }

    /// Applies a full read of the store. Returns whether anything changed.
    pub(crate) fn apply_snapshot(&mut self, now: Millis, snapshot: Snapshot) -> bool {
        self.shared.metrics.refused_entries.inc_by(snapshot.refused);
        events::store_read(&snapshot);
        // Evacuations first, so that no target of an evacuated data centre gets in use.
        let evacuated =
            self.replace_evacuations(now, snapshot.evacuations, snapshot.revision, "store");
        let replaced = self.replace_targets(now, snapshot.targets, snapshot.revision, "store");
        let adopted =
            snapshot.routes.is_some_and(|routes| self.adopt_routes(Arc::new(routes), "store"));
        self.advance_to(now, snapshot.revision);
        adopted || replaced || evacuated
    }

    /// Replaces all targets. Returns whether that changed any. The first targets of the process are
    /// logged as one line, since a small VM spends more time on a line for each than on using them.
    fn replace_targets(
        &mut self,
        now: Millis,
        records: Vec<TargetRecord>,
        revision: StoreRevision,
        source: &str,
    ) -> bool {
        let first = self.router.targets().iter().next().is_none();
        let effects = self.router.set_targets(now, records, revision);
        if first {
            self.shared.metrics.first_state_ms.set(now.get() as i64);
            info!(
                event = "targets-loaded", targets = effects.len(), epoch = revision.epoch,
                revision = revision.number,
                source = source, after_ms = now.get();
                "the first targets of this process were loaded"
            );
        } else {
            for (name, effect) in &effects {
                self.report_target(name, *effect, revision, source);
            }
        }
        effects.iter().any(|(_, effect)| effect.is_change())
    }

    /// Applies changes from a watch of the store. Returns whether anything changed.
    pub(crate) fn apply_changes(&mut self, now: Millis, changes: Changes) -> bool {
        self.shared.metrics.refused_entries.inc_by(changes.refused);
        let evacuated = self.apply_evacuations(now, changes.evacuations, "store");
        let applied = self.apply_targets(now, changes.targets, changes.revision, "store");
        let adopted =
            changes.routes.is_some_and(|routes| self.adopt_routes(Arc::new(routes), "store"));
        self.advance_to(now, changes.revision);
        applied || adopted || evacuated
    }

    /// Applies changes that a peer sent.
    pub(crate) fn apply_shared(&mut self, now: Millis, changes: SharedChanges) {
        let source = changes.from.name;
        if changes.complete {
            self.replace_evacuations(now, changes.evacuations, changes.upto, source.as_str());
            let records = changes.targets.into_iter().filter_map(TargetChange::into_written);
            self.replace_targets(now, records.collect(), changes.upto, source.as_str());
        } else {
            self.apply_evacuations(now, changes.evacuations, source.as_str());
            self.apply_targets(now, changes.targets, changes.upto, source.as_str());
        }
        if let Some(routes) = changes.routes {
            self.adopt_routes(routes, source.as_str());
        }
        self.advance_to(now, changes.upto);
    }

    /// Records that the store responds again after an outage.
    pub(crate) fn set_store_recovered(&mut self, now: Millis) {
        self.router.set_store_recovered(now);
    }

    /// Records when the store last confirmed this VM's view, directly or through a peer.
    pub(crate) fn set_confirmed(&mut self, at: Millis) {
        self.shared.readiness.set_confirmed(at);
        self.router.set_confirmed(at);
    }

    /// Replaces the members of the data centre.
    pub(crate) fn set_members(&mut self, now: Millis, members: &Members) {
        self.router.set_members(now, members);
    }

    fn apply_targets(
        &mut self,
        now: Millis,
        changes: Vec<TargetChange>,
        revision: StoreRevision,
        source: &str,
    ) -> bool {
        let mut applied = false;
        for change in changes {
            let name = change.name().clone();
            let effect = self.router.change_target(now, change);
            applied |= effect.is_change();
            self.report_target(&name, effect, revision, source);
        }
        applied
    }

    /// Replaces all evacuations. Returns whether that changed any.
    fn replace_evacuations(
        &mut self,
        now: Millis,
        requested: Vec<EvacuationChange>,
        revision: StoreRevision,
        source: &str,
    ) -> bool {
        let effects = self.router.set_evacuations(now, requested, revision);
        for (data_centre, effect) in &effects {
            self.report_evacuation(now, data_centre, *effect, source);
        }
        effects.iter().any(|(_, effect)| effect.is_change())
    }

    fn apply_evacuations(
        &mut self,
        now: Millis,
        changes: Vec<EvacuationChange>,
        source: &str,
    ) -> bool {
        let mut applied = false;
        for change in changes {
            let data_centre = change.data_centre().clone();
            let effect = self.router.change_evacuation(now, change);
            applied |= effect.is_change();
            self.report_evacuation(now, &data_centre, effect, source);
        }
        applied
    }

    fn report_evacuation(
        &self,
        now: Millis,
        data_centre: &Name,
        effect: EvacuationEffect,
        source: &str,
    ) {
        let metrics = &self.shared.metrics;
        match effect {
            EvacuationEffect::Outdated => {
                metrics.outdated.get_or_create(&KindLabel { kind: "evacuation" }).inc();
            }
            EvacuationEffect::Refused => {
                metrics.refused_entries.inc();
            }
            EvacuationEffect::Began
            | EvacuationEffect::Doubted
            | EvacuationEffect::Confirmed
            | EvacuationEffect::Ended
            | EvacuationEffect::Unchanged => {}
        }
        let Some(change) = events::evacuation_label(effect) else { return };
        let evacuation = self.router.evacuations().get(data_centre);
        events::evacuation_changed(now, data_centre, change, evacuation, source);
    }

    fn report_target(&self, name: &Name, effect: Effect, revision: StoreRevision, source: &str) {
        if effect == Effect::Outdated {
            self.shared.metrics.outdated.get_or_create(&KindLabel { kind: "target" }).inc();
        }
        events::target_changed(name, effect, revision, source);
    }

    fn adopt_routes(&mut self, routes: Arc<Routes>, source: &str) -> bool {
        let (version, revision, count) = (routes.version, routes.revision, routes.by_address.len());
        let known = self.router.routes().cloned();
        let adopted = self.router.set_routes(routes.clone());
        if let Some(known) = known.filter(|known| !adopted && known.supersede(&routes)) {
            self.shared.metrics.outdated.get_or_create(&KindLabel { kind: "routes" }).inc();
            events::routes_outdated(&routes, &known, source);
        }
        if adopted {
            info!(
                event = "routes-adopted", version = version, epoch = revision.epoch,
                revision = revision.number, routes = count, source = source;
                "new routes were adopted"
            );
        }
        adopted
    }

    fn advance_to(&mut self, now: Millis, revision: StoreRevision) {
        if revision.epoch > self.revision.epoch {
            self.shared.metrics.store_epoch.set(revision.epoch as i64);
            if self.revision != StoreRevision::NONE {
                events::store_restored(revision, self.revision);
            }
        }
        self.revision = self.revision.max(revision);
        if self.router.is_ready() {
            self.shared.readiness.set_loaded(true);
            self.process_backlog(now);
        }
    }

    fn report_cold_targets(&mut self, now: Millis) {
        let withheld = self.router.counters().withheld_openings;
        let metrics = &self.shared.metrics;
        metrics.cold_targets.set(self.router.cold_targets().cold as i64);
        metrics.openings_withheld.set(i64::try_from(withheld).unwrap_or(i64::MAX));
        if let Some(summary) = self.router.take_cold_change() {
            events::cold_targets_changed(summary, withheld, self.view_version(now));
        }
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        self.router.tick(now);
        self.router.take_overload_changes().iter().for_each(events::overload_changed);
        for data_centre in self.router.take_lapsed_evacuations() {
            let evacuation = self.router.evacuations().get(&data_centre);
            events::evacuation_changed(now, &data_centre, "lapsed", evacuation, "store");
        }
        self.report_cold_targets(now);
        let metrics = &self.shared.metrics;
        let evacuated = self.router.evacuated_targets();
        metrics.evacuated_targets.set(evacuated as i64);
        metrics.evacuations.set(self.router.evacuations().in_force_count() as i64);
        metrics.flows.set(self.router.tracked_flows() as i64);
        metrics.suspects.set(self.router.suspects() as i64);
        metrics.ambiguous.set(self.router.counters().ambiguous as i64);
        metrics.overloaded_services.set(self.router.overloaded_services() as i64);
        let accepting = self.router.targets().usable_count();
        metrics.targets.set(accepting.saturating_sub(evacuated) as i64);
        metrics.directory_age_ms.set(self.shared.readiness.age(now).get() as i64);
    }
}

pub(crate) fn report_socket(error: &io::Error) {
    let cause = error.to_string();
    warn!(event = "socket-failed", cause = cause.as_str(); "an operation on a UDP socket failed");
}
