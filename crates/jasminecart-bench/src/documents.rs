//! Case `documents`: how fast VMs adopt revisions of a document, also with platform faults, and
//! what that costs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jasminecart_core::process::{Event, MemberLimits, Members, Membership};
use jasminecart_core::version::{
    Adoption, AdoptionAlert, AdoptionLimits, PlatformReply, Revision, Step,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage};
use serde_json::{Value, json};

use crate::membership::{Layout, address};
use crate::message_queue::{InFlight, LinkConditions, MessageQueue, median_and_max};
use crate::report::Report;

const TICK: Millis = Millis(50);
const WARM_UP: Millis = Millis::from_secs(15);
const STEADY_DURATION: Millis = Millis::from_secs(30);
/// The time after which the platform ends a watch without a change.
const WATCH_TIMEOUT: Millis = Millis::from_secs(30);
/// The delay of the platform's responses.
const PLATFORM_LATENCY: Millis = Millis(4);
/// The time after which a publication that some VM has not adopted has failed.
const PUBLICATION_TIMEOUT: Millis = Millis::from_secs(60);
const OUTAGE_DURATION: Millis = Millis::from_secs(30);
/// How far behind the current state the platform's lagging readers are.
const PLATFORM_LAG: Millis = Millis::from_secs(120);
/// The simulated time over which VMs are measured while nothing changes.
const IDLE_DURATION: Millis = Millis::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DocumentSize {
    Today,
    Large,
}

impl DocumentSize {
    fn name(self) -> &'static str {
        match self {
            DocumentSize::Today => "today",
            DocumentSize::Large => "1 MB",
        }
    }

    /// Returns the number of services, of targets of each service and of comment bytes a section.
    fn dimensions(self) -> (usize, usize, usize) {
        match self {
            DocumentSize::Today => (2, 9, 0),
            DocumentSize::Large => (1_130, 3, 110),
        }
    }
}

fn layout() -> Layout {
    Layout { per_data_centre: 1_000 }
}

/// Returns the text of a revision. It differs from the previous revision in two targets, or in
/// every section when `all_rewritten` becomes true.
fn document_text(size: DocumentSize, revision: u64, all_rewritten: bool) -> Arc<str> {
    let (services, targets, comment_bytes) = size.dimensions();
    let comment_line =
        format!("; {}\n", if all_rewritten { "=" } else { "-" }.repeat(comment_bytes + 1));
    let mut out = String::new();
    for service in 0..services {
        let [high, low] = (service as u16).to_be_bytes();
        out +=
            &format!("[service s{service}]\naddress = 10.2.{high}.{low}:443/tcp\n{comment_line}");
        for target in 0..targets {
            let position = (service * targets + target) as u64;
            let draining = revision % (services * targets) as u64 == position;
            let state = if draining { "state = draining\n" } else { "" };
            out += &format!(
                "[target s{service}-{target}]\nservice = s{service}\ndata_centre = ub-1\n\
                 address = 10.3.{high}.{low}:{}\n{state}{comment_line}",
                8_000 + target
            );
        }
    }
    Arc::from(out)
}

/// The platform's configuration service: published revisions, open watches and injected faults.
#[derive(Default)]
struct Platform {
    published: Vec<(Millis, Revision, Arc<str>)>,
    watches: BTreeMap<usize, (Revision, Millis)>,
    replies: Vec<(Millis, usize, PlatformReply)>,
    reads: u64,
    unavailable: bool,
    partitioned: BTreeSet<usize>,
    /// VMs that read the state as it was [`PLATFORM_LAG`] ago.
    lagging: BTreeSet<usize>,
    /// The revision that the platform has rolled back to.
    rolled_back_to: Option<Revision>,
}

impl Platform {
    fn reachable(&self, vm: usize) -> bool {
        !self.unavailable && !self.partitioned.contains(&vm)
    }

    fn view(&self, now: Millis, vm: usize) -> Option<(Revision, Arc<str>)> {
        let until = if self.lagging.contains(&vm) { now - PLATFORM_LAG } else { now };
        let mut visible = self.published.iter().filter(|(at, revision, _)| {
            *at <= until
                && self.rolled_back_to.is_none_or(|rolled_back_to| *revision <= rolled_back_to)
        });
        visible.next_back().map(|(_, revision, text)| (*revision, text.clone()))
    }

    fn reply(&mut self, now: Millis, vm: usize, reply: PlatformReply) {
        self.replies.push((now + PLATFORM_LATENCY, vm, reply));
    }

    fn read(&mut self, now: Millis, vm: usize) {
        self.reads += 1;
        let reply = match self.view(now, vm).filter(|_| self.reachable(vm)) {
            Some((revision, text)) => PlatformReply::Document { revision, text },
            None => PlatformReply::Unavailable,
        };
        self.reply(now, vm, reply);
    }

    fn watch(&mut self, now: Millis, vm: usize, after: Revision) {
        self.reads += 1;
        self.watches.insert(vm, (after, now + WATCH_TIMEOUT));
    }

    /// Completes the watches that have a newer revision, timed out or lost the platform.
    fn complete_watches(&mut self, now: Millis) {
        for (vm, (after, until)) in self.watches.clone() {
            let reply = if !self.reachable(vm) {
                PlatformReply::Unavailable
            } else if let Some((revision, text)) =
                self.view(now, vm).filter(|(revision, _)| *revision > after)
            {
                PlatformReply::Document { revision, text }
            } else if now >= until {
                PlatformReply::Unchanged
            } else {
                continue;
            };
            self.watches.remove(&vm);
            self.reply(now, vm, reply);
        }
    }
}

struct Vm {
    membership: Membership,
    adoption: Adoption,
    adopted: Revision,
    ready: bool,
}

struct Simulation {
    now: Millis,
    size: DocumentSize,
    queue: MessageQueue,
    platform: Platform,
    vms: Vec<Vm>,
    all_rewritten: bool,
    reverted: u64,
    rollback_alerts: u64,
}

impl Simulation {
    fn new(vms: usize, size: DocumentSize, seed: u64) -> Simulation {
        let links = LinkConditions { loss: 0.0, duplication: 0.01, delay: (1, 3) };
        let mut simulation = Simulation {
            now: Millis::from_secs(1),
            size,
            queue: MessageQueue::new(vms, links, seed),
            platform: Platform::default(),
            vms: Vec::new(),
            all_rewritten: false,
            reverted: 0,
            rollback_alerts: 0,
        };
        simulation.publish();
        for number in 0..vms {
            let limits = MemberLimits::default();
            let new =
                Membership::new(layout().vm(number), Incarnation(1), address(number), seed, limits);
            let membership = new.with_seeds(layout().seeds(vms));
            let mut adoption = Adoption::new(layout().vm(number), seed, AdoptionLimits::default());
            let steps = adoption.start(simulation.now);
            simulation.vms.push(Vm { membership, adoption, adopted: Revision(0), ready: false });
            simulation.apply_steps(number, steps);
        }
        simulation.run_until(WARM_UP);
        simulation
    }

    fn publish(&mut self) -> Revision {
        self.publish_with(false)
    }

    fn publish_with(&mut self, all_rewritten: bool) -> Revision {
        let revision = self.platform.published.len() as u64 + 1;
        self.all_rewritten |= all_rewritten;
        let text = document_text(self.size, revision, self.all_rewritten);
        self.platform.published.push((self.now, Revision(revision), text));
        Revision(revision)
    }

    fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.now += Millis(1);
            self.platform.complete_watches(self.now);
            while let Some((_, message)) = self.queue.next(self.now) {
                self.deliver(message);
            }
            let replies = std::mem::take(&mut self.platform.replies);
            let (due, later) = replies.into_iter().partition(|(at, ..)| *at <= self.now);
            self.platform.replies = later;
            let due: Vec<_> = due;
            for (_, vm, reply) in due {
                let steps = self.vms[vm].adoption.on_platform(self.now, reply);
                self.apply_steps(vm, steps);
            }
            for vm in 0..self.vms.len() {
                if (self.now.get() + vm as u64 * 7).is_multiple_of(TICK.get()) {
                    let events = self.vms[vm].membership.tick(self.now);
                    self.apply_events(vm, events);
                    let steps = self.vms[vm].adoption.tick(self.now);
                    self.apply_steps(vm, steps);
                }
            }
        }
    }

    fn deliver(&mut self, message: InFlight) {
        let (from, to) = (layout().vm(message.from), message.to);
        match message.message {
            PeerMessage::Member(message) => {
                let events = self.vms[to].membership.on_message(self.now, &from, message);
                self.apply_events(to, events);
            }
            PeerMessage::Document(message) => {
                let steps = self.vms[to].adoption.on_message(self.now, &from, message);
                self.apply_steps(to, steps);
            }
            PeerMessage::Flow(_) | PeerMessage::Request(_) => {}
        }
    }

    fn apply_events(&mut self, vm: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Changed(members) => self.set_members(vm, &members),
                Event::Message(outgoing) => self.send(vm, &outgoing.to, outgoing.message),
                _ => {}
            }
        }
    }

    fn set_members(&mut self, vm: usize, members: &Members) {
        let steps = self.vms[vm].adoption.set_members(self.now, members);
        self.apply_steps(vm, steps);
    }

    fn send(&mut self, from: usize, to: &jasminecart_core::VmId, message: PeerMessage) {
        self.queue.send(self.now, InFlight { from, to: layout().number(to), message });
    }

    fn apply_steps(&mut self, vm: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Adopt(document) => {
                    let state = &mut self.vms[vm];
                    self.reverted += u64::from(document.revision() <= state.adopted);
                    state.adopted = document.revision();
                    state.membership.set_revision(document.revision());
                }
                Step::ReadPlatform => self.platform.read(self.now, vm),
                Step::Watch { after } => self.platform.watch(self.now, vm, after),
                Step::StopWatch => {
                    self.platform.watches.remove(&vm);
                }
                Step::Message(outgoing) => self.send(vm, &outgoing.to, outgoing.message),
                Step::Alert(AdoptionAlert::Reverted { .. }) => self.rollback_alerts += 1,
                Step::Alert(alert) => panic!("unexpected alert in a run: {alert:?}"),
            }
        }
        if !self.vms[vm].ready && self.vms[vm].adoption.is_ready() {
            self.vms[vm].ready = true;
            let events = self.vms[vm].membership.set_ready(self.now);
            self.apply_events(vm, events);
        }
    }

    /// Waits until every VM has adopted a revision. Returns the milliseconds since `since`, or
    /// `None` after [`PUBLICATION_TIMEOUT`].
    fn wait_adopted(&mut self, revision: Revision, since: Millis) -> Option<u64> {
        while self.now.since(since) < PUBLICATION_TIMEOUT {
            if self.vms.iter().all(|vm| vm.adopted >= revision) {
                return Some(self.now.since(since).get());
            }
            self.run_until(self.now + Millis(10));
        }
        None
    }

    /// Waits until every VM's member list has the revision for every member. Returns the
    /// milliseconds since `since`, or `None` after [`PUBLICATION_TIMEOUT`].
    fn wait_acknowledged(&mut self, revision: Revision, since: Millis) -> Option<u64> {
        while self.now.since(since) < PUBLICATION_TIMEOUT {
            let lists = self.vms.iter().map(|vm| &vm.membership.members().list);
            if lists.flat_map(|list| list.iter()).all(|member| member.revision >= revision) {
                return Some(self.now.since(since).get());
            }
            self.run_until(self.now + Millis(10));
        }
        None
    }

    fn publish_and_wait(&mut self) -> Option<u64> {
        let (now, revision) = (self.now, self.publish());
        self.wait_adopted(revision, now)
    }

    fn watchers(&self) -> BTreeSet<usize> {
        self.platform.watches.keys().copied().collect()
    }
}

struct Row {
    vms: usize,
    size: DocumentSize,
    adoption_ms: Vec<Option<u64>>,
    acknowledged_ms: Vec<Option<u64>>,
    all_rewritten_ms: Option<u64>,
    partitioned_ms: Option<u64>,
    after_outage_ms: Option<u64>,
    lagging_ms: Option<u64>,
    after_rollback_ms: Option<u64>,
    reads_per_s: f64,
    outage_reads_per_s: f64,
    bytes_per_s: (u64, u64),
    bytes_per_change: u64,
    reverted: u64,
}

fn measure(vms: usize, size: DocumentSize, publications: usize, seed: u64) -> Row {
    let mut simulation = Simulation::new(vms, size, seed);
    let (start, reads) = (simulation.now, simulation.platform.reads);
    simulation.queue.bytes.fill(0);
    simulation.run_until(start + STEADY_DURATION);
    let reads_per_s = (simulation.platform.reads - reads) as f64 / STEADY_DURATION.as_secs_f64();
    let bytes = simulation.queue.bytes.iter().map(|bytes| bytes * 1_000 / STEADY_DURATION.get());
    let bytes: Vec<u64> = bytes.collect();
    let bytes_per_s = (bytes.iter().sum::<u64>() / vms as u64, median_and_max(&bytes).1);
    let (mut adoption_ms, mut acknowledged_ms, before) = (Vec::new(), Vec::new(), simulation.now);
    simulation.queue.bytes.fill(0);
    for _ in 0..publications {
        let (since, revision) = (simulation.now, simulation.publish());
        adoption_ms.push(simulation.wait_adopted(revision, since));
        acknowledged_ms.push(simulation.wait_acknowledged(revision, since));
        simulation.run_until(simulation.now + Millis(8_321));
    }
    let sent = simulation.queue.bytes.iter().sum::<u64>() / vms as u64;
    let steady = bytes_per_s.0 * simulation.now.since(before).get() / 1_000;
    let bytes_per_change = sent.saturating_sub(steady) / publications as u64;
    let (since, revision) = (simulation.now, simulation.publish_with(true));
    let all_rewritten_ms = simulation.wait_adopted(revision, since);
    simulation.run_until(simulation.now + Millis::from_secs(10));
    // The VMs that currently watch and every third VM are partitioned from the platform.
    simulation.platform.partitioned = simulation.watchers();
    simulation.platform.partitioned.extend((0..vms).step_by(3));
    let partitioned_ms = simulation.publish_and_wait();
    simulation.platform.partitioned.clear();
    // The time of a publication during an outage is counted from the end of the outage.
    simulation.run_until(simulation.now + Millis::from_secs(10));
    simulation.platform.unavailable = true;
    let revision = simulation.publish();
    let reads = simulation.platform.reads;
    simulation.run_until(simulation.now + OUTAGE_DURATION);
    let outage_reads_per_s =
        (simulation.platform.reads - reads) as f64 / OUTAGE_DURATION.as_secs_f64();
    simulation.platform.unavailable = false;
    let after_outage_ms = simulation.wait_adopted(revision, simulation.now);
    // The watching VMs read an outdated state without an indication of it. The wait lets the backup
    // watchers of the outage stop first.
    simulation.run_until(simulation.now + Millis::from_secs(45));
    simulation.platform.lagging = simulation.watchers();
    let lagging_ms = simulation.publish_and_wait();
    simulation.platform.lagging.clear();
    // The platform rolls back by two revisions, which no VM may adopt, and then publishes a new
    // one.
    let latest = simulation.platform.published.len() as u64;
    simulation.platform.rolled_back_to = Some(Revision(latest - 2));
    simulation.run_until(simulation.now + Millis::from_secs(35));
    simulation.platform.rolled_back_to = None;
    let after_rollback_ms = simulation.publish_and_wait();
    let reverted = simulation.reverted;
    Row {
        vms,
        size,
        adoption_ms,
        acknowledged_ms,
        all_rewritten_ms,
        partitioned_ms,
        after_outage_ms,
        lagging_ms,
        after_rollback_ms,
        reads_per_s,
        outage_reads_per_s,
        bytes_per_s,
        bytes_per_change,
        reverted,
    }
}

/// Returns the longest of the times, or `None` when one of them is missing.
fn worst(times: &[Option<u64>]) -> Option<u64> {
    let times: Option<Vec<u64>> = times.iter().copied().collect();
    times?.into_iter().max()
}

fn format_ms(time: Option<u64>) -> String {
    time.map_or("never".to_owned(), |time| time.to_string())
}

impl Row {
    /// Returns whether the bounds of invariant I8 and the traffic budget of section 6 of
    /// `docs/design.md` are met and no VM reverted to an older revision.
    fn meets_requirements(&self) -> bool {
        let (bound, bytes) = if self.vms <= 9 { (5_000, 1_000) } else { (13_000, 10_000) };
        let bounded = [
            worst(&self.adoption_ms),
            self.all_rewritten_ms,
            self.partitioned_ms,
            self.after_rollback_ms,
        ];
        let in_time = bounded.into_iter().all(|time| time.is_some_and(|time| time <= bound));
        let reached_all = self.after_outage_ms.is_some() && self.lagging_ms.is_some();
        in_time && reached_all && self.reverted == 0 && self.bytes_per_s.1 < bytes
    }

    fn figures(&self) -> Value {
        json!({
            "vms": self.vms,
            "document": self.size.name(),
            "in_force_ms": self.adoption_ms,
            "acknowledged_ms": self.acknowledged_ms,
            "rewritten_ms": self.all_rewritten_ms,
            "some_cut_off_ms": self.partitioned_ms,
            "after_outage_ms": self.after_outage_ms,
            "watchers_lag_ms": self.lagging_ms,
            "after_going_back_ms": self.after_rollback_ms,
            "platform_reads_per_s": self.reads_per_s,
            "platform_reads_per_s_in_outage": self.outage_reads_per_s,
            "control_bytes_per_s_mean": self.bytes_per_s.0,
            "control_bytes_per_s_worst": self.bytes_per_s.1,
            "control_bytes_per_change": self.bytes_per_change,
            "reverted": self.reverted,
        })
    }

    fn table_row(&self) -> String {
        format!(
            "{:>4} {:>8} {:>11} {:>8} {:>12} {:>10} {:>13} {:>12} {:>13} {:>8.2} {:>13.2} {:>13} {:>9} {:>10} {:>8}",
            self.vms,
            self.size.name(),
            format_ms(worst(&self.adoption_ms)),
            format_ms(worst(&self.acknowledged_ms)),
            format_ms(self.all_rewritten_ms),
            format_ms(self.partitioned_ms),
            format_ms(self.after_outage_ms),
            format_ms(self.lagging_ms),
            format_ms(self.after_rollback_ms),
            self.reads_per_s,
            self.outage_reads_per_s,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
            self.bytes_per_change,
            self.reverted,
        )
    }
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut table = vec![
        " VMs document in_force_ms acked_ms rewritten_ms cut_off_ms after_outage watchers_lag after_back_ms reads/s \
         outage_reads/s B/s/VM_mean B/s_worst B/VM/change reverted"
            .to_owned(),
    ];
    let sizes = [(DocumentSize::Today, 6), (DocumentSize::Large, 2)];
    let cases =
        [9, 35, 105].into_iter().flat_map(|vms| sizes.map(|(size, count)| (vms, size, count)));
    // Each row is deterministic and independent of the others, so they can run in parallel.
    let rows: Vec<Row> = std::thread::scope(|scope| {
        let row = |(vms, size, count)| scope.spawn(move || measure(vms, size, count, seed));
        let running: Vec<_> = cases.map(row).collect();
        running.into_iter().map(|row| row.join().expect("a row panicked")).collect()
    });
    table.extend(rows.iter().map(Row::table_row));
    let figures: Vec<Value> = rows.iter().map(Row::figures).collect();
    let failed = !rows.iter().all(Row::meets_requirements);
    Report::new(table, json!({ "seed": seed, "rows": figures })).with_failed(failed)
}

/// The cost of membership and adoption for a VM while nothing changes.
#[derive(Clone, Copy, Debug)]
pub struct IdleCost {
    /// Control bytes that a VM sends a second.
    pub bytes_per_s: f64,
    /// Processor time in percent of a core. It includes that of the simulated network.
    pub cpu_percent: f64,
    /// Heap of membership, adoption and the document, in KiB a VM.
    pub heap_kib: f64,
}

/// Measures the cost of membership and adoption for each of `vms` VMs while nothing changes.
pub fn idle_cost(vms: usize, seed: u64) -> IdleCost {
    let heap = peak_alloc::PeakAlloc;
    let before = heap.current_usage();
    let mut simulation = Simulation::new(vms, DocumentSize::Today, seed);
    let heap_kib = heap.current_usage().saturating_sub(before) as f64 / 1_024.0 / vms as f64;
    simulation.queue.bytes.fill(0);
    let (start, started) = (simulation.now, std::time::Instant::now());
    simulation.run_until(start + IDLE_DURATION);
    let cpu = started.elapsed().as_secs_f64() / IDLE_DURATION.as_secs_f64() / vms as f64;
    let bytes = simulation.queue.bytes.iter().sum::<u64>() as f64 / vms as f64;
    IdleCost {
        bytes_per_s: bytes / IDLE_DURATION.as_secs_f64(),
        cpu_percent: cpu * 100.0,
        heap_kib,
    }
}

/// The cost of a change of a 1 MB document.
#[derive(Clone, Copy, Debug)]
pub struct AdoptionCost {
    /// The longest time until every VM had adopted a revision, also with some VMs partitioned
    /// from the platform.
    pub adoption_ms: f64,
    /// Reads of the platform a second by all VMs of the data centre.
    pub reads_per_s: f64,
    /// Control bytes that a VM sends for a change, on average over all VMs.
    pub bytes_per_change: f64,
}

/// Measures the adoption of small changes to a 1 MB document.
pub fn adoption_cost(vms: usize, seed: u64) -> AdoptionCost {
    let row = measure(vms, DocumentSize::Large, 4, seed);
    let times = row.adoption_ms.iter().copied().chain([row.partitioned_ms, row.after_rollback_ms]);
    let worst = times.map(|time| time.map_or(f64::INFINITY, |time| time as f64));
    AdoptionCost {
        adoption_ms: worst.fold(0.0, f64::max),
        reads_per_s: row.reads_per_s,
        bytes_per_change: row.bytes_per_change as f64,
    }
}
