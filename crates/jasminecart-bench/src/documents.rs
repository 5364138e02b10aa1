//! Case `documents`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jasminecart_core::process::{Event, MemberLimits, Members, Membership};
use jasminecart_core::version::{
    Adoption, AdoptionAlert, AdoptionLimits, PlatformReply, Revision, Step,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage};
use serde_json::{Value, json};

use crate::membership::{Layout, address};
use crate::message_queue::{InFlight, Links, MessageQueue, median_and_worst};
use crate::report::Report;

const TICK: Millis = Millis(50);
const WARM_UP: Millis = Millis::from_secs(15);
const STEADY: Millis = Millis::from_secs(30);
/// The longest wait of a watch at the platform.
const WATCH: Millis = Millis::from_secs(30);
/// The time of the platform to answer.
const ANSWER: Millis = Millis(4);
/// A publication that is not in force everywhere within this time has failed.
const GIVE_UP: Millis = Millis::from_secs(60);
const OUTAGE: Millis = Millis::from_secs(30);
const LAG: Millis = Millis::from_secs(120);
/// The simulated time over which idle VMs are measured.
const IDLE_SPAN: Millis = Millis::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Size {
    Today,
    Large,
}

impl Size {
    fn name(self) -> &'static str {
        match self {
            Size::Today => "today",
            Size::Large => "1 MB",
        }
    }

    /// Returns the services, the targets of each and the bytes of comment a section.
    fn shape(self) -> (usize, usize, usize) {
        match self {
            Size::Today => (2, 9, 0),
            Size::Large => (1_130, 3, 110),
        }
    }
}

fn layout() -> Layout {
    Layout { per_data_centre: 1_000 }
}

/// Returns the text of a revision. Each revision differs from the previous one in two targets, or in all
/// sections when it is rewritten.
fn text(size: Size, revision: u64, rewritten: bool) -> Arc<str> {
    let (services, targets, comment) = size.shape();
    let comment = format!("; {}\n", if rewritten { "=" } else { "-" }.repeat(comment + 1));
    let mut text = String::new();
    for service in 0..services {
        let [high, low] = (service as u16).to_be_bytes();
        text += &format!("[service s{service}]\naddress = 10.2.{high}.{low}:443/tcp\n{comment}");
        for target in 0..targets {
            let place = (service * targets + target) as u64;
            let draining = revision % (services * targets) as u64 == place;
            let state = if draining { "state = draining\n" } else { "" };
            text += &format!(
                "[target s{service}-{target}]\nservice = s{service}\ndata_centre = ub-1\n\
                 address = 10.3.{high}.{low}:{}\n{state}{comment}",
                8_000 + target
            );
        }
    }
    Arc::from(text)
}

/// The configuration service: revisions, waiting watches and faults.
#[derive(Default)]
struct Platform {
    published: Vec<(Millis, Revision, Arc<str>)>,
    watches: BTreeMap<usize, (Revision, Millis)>,
    replies: Vec<(Millis, usize, PlatformReply)>,
    reads: u64,
    down: bool,
    cut_off: BTreeSet<usize>,
    /// VMs that see the state of [`LAG`] ago.
    lagging: BTreeSet<usize>,
    /// The revision that the platform went back to.
    back_at: Option<Revision>,
}

impl Platform {
    fn reachable(&self, vm: usize) -> bool {
        !self.down && !self.cut_off.contains(&vm)
    }

    fn view(&self, now: Millis, vm: usize) -> Option<(Revision, Arc<str>)> {
        let until = if self.lagging.contains(&vm) { now - LAG } else { now };
        let mut visible = self.published.iter().filter(|(at, revision, _)| {
            *at <= until && self.back_at.is_none_or(|back_at| *revision <= back_at)
        });
        visible.next_back().map(|(_, revision, text)| (*revision, text.clone()))
    }

    fn reply(&mut self, now: Millis, vm: usize, reply: PlatformReply) {
        self.replies.push((now + ANSWER, vm, reply));
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
        self.watches.insert(vm, (after, now + WATCH));
    }

    /// Ends the watches that have news, waited long enough or lost the platform.
    fn step(&mut self, now: Millis) {
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
    in_force: Revision,
    ready: bool,
}

struct Run {
    now: Millis,
    size: Size,
    queue: MessageQueue,
    platform: Platform,
    vms: Vec<Vm>,
    rewritten: bool,
    reverted: u64,
    went_back_alerts: u64,
}

impl Run {
    fn new(vms: usize, size: Size, seed: u64) -> Run {
        let links = Links { loss: 0.0, duplication: 0.01, delay: (1, 3) };
        let mut run = Run {
            now: Millis::from_secs(1),
            size,
            queue: MessageQueue::new(vms, links, seed),
            platform: Platform::default(),
            vms: Vec::new(),
            rewritten: false,
            reverted: 0,
            went_back_alerts: 0,
        };
        run.publish();
        for number in 0..vms {
            let limits = MemberLimits::default();
            let new =
                Membership::new(layout().vm(number), Incarnation(1), address(number), seed, limits);
            let membership = new.with_seeds(layout().seeds(vms));
            let mut adoption = Adoption::new(layout().vm(number), seed, AdoptionLimits::default());
            let steps = adoption.start(run.now);
            run.vms.push(Vm { membership, adoption, in_force: Revision(0), ready: false });
            run.steps(number, steps);
        }
        run.until(WARM_UP);
        run
    }

    fn publish(&mut self) -> Revision {
        self.publish_text(false)
    }

    fn publish_text(&mut self, rewritten: bool) -> Revision {
        let revision = self.platform.published.len() as u64 + 1;
        self.rewritten |= rewritten;
        let text = text(self.size, revision, self.rewritten);
        self.platform.published.push((self.now, Revision(revision), text));
        Revision(revision)
    }

    fn until(&mut self, end: Millis) {
        while self.now < end {
            self.now += Millis(1);
            self.platform.step(self.now);
            while let Some((_, message)) = self.queue.next(self.now) {
                self.deliver(message);
            }
            let replies = std::mem::take(&mut self.platform.replies);
            let (due, later) = replies.into_iter().partition(|(at, ..)| *at <= self.now);
            self.platform.replies = later;
            let due: Vec<_> = due;
            for (_, vm, reply) in due {
                let steps = self.vms[vm].adoption.on_platform(self.now, reply);
                self.steps(vm, steps);
            }
            for vm in 0..self.vms.len() {
                if (self.now.get() + vm as u64 * 7).is_multiple_of(TICK.get()) {
                    let events = self.vms[vm].membership.tick(self.now);
                    self.events(vm, events);
                    let steps = self.vms[vm].adoption.tick(self.now);
                    self.steps(vm, steps);
                }
            }
        }
    }

    fn deliver(&mut self, message: InFlight) {
        let (from, to) = (layout().vm(message.from), message.to);
        match message.message {
            PeerMessage::Member(message) => {
                let events = self.vms[to].membership.on_message(self.now, &from, message);
                self.events(to, events);
            }
            PeerMessage::Document(message) => {
                let steps = self.vms[to].adoption.on_message(self.now, &from, message);
                self.steps(to, steps);
            }
            PeerMessage::Flow(_) | PeerMessage::Request(_) => {}
        }
    }

    fn events(&mut self, vm: usize, events: Vec<Event>) {
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
        self.steps(vm, steps);
    }

    fn send(&mut self, from: usize, to: &jasminecart_core::VmId, message: PeerMessage) {
        self.queue.send(self.now, InFlight { from, to: layout().number(to), message });
    }

    fn steps(&mut self, vm: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Adopt(document) => {
                    let state = &mut self.vms[vm];
                    self.reverted += u64::from(document.revision() <= state.in_force);
                    state.in_force = document.revision();
                    state.membership.set_revision(document.revision());
                }
                Step::ReadPlatform => self.platform.read(self.now, vm),
                Step::Watch { after } => self.platform.watch(self.now, vm, after),
                Step::StopWatch => {
                    self.platform.watches.remove(&vm);
                }
                Step::Message(outgoing) => self.send(vm, &outgoing.to, outgoing.message),
                Step::Alert(AdoptionAlert::Reverted { .. }) => self.went_back_alerts += 1,
                Step::Alert(alert) => panic!("unexpected alert in a run: {alert:?}"),
            }
        }
        if !self.vms[vm].ready && self.vms[vm].adoption.is_ready() {
            self.vms[vm].ready = true;
            let events = self.vms[vm].membership.set_ready(self.now);
            self.events(vm, events);
        }
    }

    /// Waits until a revision is in force on every VM, and returns the time since `since`.
    fn in_force(&mut self, revision: Revision, since: Millis) -> Option<u64> {
        while self.now.since(since) < GIVE_UP {
            if self.vms.iter().all(|vm| vm.in_force >= revision) {
                return Some(self.now.since(since).get());
            }
            self.until(self.now + Millis(10));
        }
        None
    }

    /// Waits until every VM knows that every other one has a revision.
    fn acknowledged(&mut self, revision: Revision, since: Millis) -> Option<u64> {
        while self.now.since(since) < GIVE_UP {
            let lists = self.vms.iter().map(|vm| &vm.membership.members().list);
            if lists.flat_map(|list| list.iter()).all(|member| member.revision >= revision) {
                return Some(self.now.since(since).get());
            }
            self.until(self.now + Millis(10));
        }
        None
    }

    fn publish_and_wait(&mut self) -> Option<u64> {
        let (now, revision) = (self.now, self.publish());
        self.in_force(revision, now)
    }

    fn watchers(&self) -> BTreeSet<usize> {
        self.platform.watches.keys().copied().collect()
    }
}

struct Row {
    vms: usize,
    size: Size,
    spans: Vec<Option<u64>>,
    acknowledged: Vec<Option<u64>>,
    rewritten: Option<u64>,
    cut_off: Option<u64>,
    outage: Option<u64>,
    lagging: Option<u64>,
    after_back: Option<u64>,
    reads_per_s: f64,
    outage_reads_per_s: f64,
    bytes_per_s: (u64, u64),
    bytes_per_change: u64,
    reverted: u64,
}

fn measure(vms: usize, size: Size, publications: usize, seed: u64) -> Row {
    let mut run = Run::new(vms, size, seed);
    let (start, reads) = (run.now, run.platform.reads);
    run.queue.bytes.fill(0);
    run.until(start + STEADY);
    let reads_per_s = (run.platform.reads - reads) as f64 / STEADY.as_secs_f64();
    let bytes = run.queue.bytes.iter().map(|bytes| bytes * 1_000 / STEADY.get());
    let bytes: Vec<u64> = bytes.collect();
    let bytes_per_s = (bytes.iter().sum::<u64>() / vms as u64, median_and_worst(&bytes).1);
    let (mut spans, mut acknowledged, before) = (Vec::new(), Vec::new(), run.now);
    run.queue.bytes.fill(0);
    for _ in 0..publications {
        let (since, revision) = (run.now, run.publish());
        spans.push(run.in_force(revision, since));
        acknowledged.push(run.acknowledged(revision, since));
        run.until(run.now + Millis(8_321));
    }
    let sent = run.queue.bytes.iter().sum::<u64>() / vms as u64;
    let steady = bytes_per_s.0 * run.now.since(before).get() / 1_000;
    let bytes_per_change = sent.saturating_sub(steady) / publications as u64;
    let (since, revision) = (run.now, run.publish_text(true));
    let rewritten = run.in_force(revision, since);
    run.until(run.now + Millis::from_secs(10));
    // All VMs that watch now and a third of the others lose the platform.
    run.platform.cut_off = run.watchers();
    run.platform.cut_off.extend((0..vms).step_by(3));
    let cut_off = run.publish_and_wait();
    run.platform.cut_off.clear();
    // A publication during an outage counts from the end of the outage.
    run.until(run.now + Millis::from_secs(10));
    run.platform.down = true;
    let revision = run.publish();
    let reads = run.platform.reads;
    run.until(run.now + OUTAGE);
    let outage_reads_per_s = (run.platform.reads - reads) as f64 / OUTAGE.as_secs_f64();
    run.platform.down = false;
    let outage = run.in_force(revision, run.now);
    // The watchers see an old state and do not know it. Backup watchers of the outage have
    // stopped by then.
    run.until(run.now + Millis::from_secs(45));
    run.platform.lagging = run.watchers();
    let lagging = run.publish_and_wait();
    run.platform.lagging.clear();
    // The platform goes back by two revisions, which nobody takes over, and then publishes again.
    let latest = run.platform.published.len() as u64;
    run.platform.back_at = Some(Revision(latest - 2));
    run.until(run.now + Millis::from_secs(35));
    run.platform.back_at = None;
    let after_back = run.publish_and_wait();
    let reverted = run.reverted;
    Row {
        vms,
        size,
        spans,
        acknowledged,
        rewritten,
        cut_off,
        outage,
        lagging,
        after_back,
        reads_per_s,
        outage_reads_per_s,
        bytes_per_s,
        bytes_per_change,
        reverted,
    }
}

/// Returns the longest span, or `None` when one did not end.
fn worst(spans: &[Option<u64>]) -> Option<u64> {
    let spans: Option<Vec<u64>> = spans.iter().copied().collect();
    spans?.into_iter().max()
}

fn ms(span: Option<u64>) -> String {
    span.map_or("never".to_owned(), |span| span.to_string())
}

impl Row {
    /// Checks the bounds of invariant I8, the budget of section 6 and that nothing reverted.
    fn holds(&self) -> bool {
        let (bound, bytes) = if self.vms <= 9 { (5_000, 1_000) } else { (13_000, 10_000) };
        let spans = [worst(&self.spans), self.rewritten, self.cut_off, self.after_back];
        let in_time = spans.into_iter().all(|span| span.is_some_and(|span| span <= bound));
        let arrived = self.outage.is_some() && self.lagging.is_some();
        in_time && arrived && self.reverted == 0 && self.bytes_per_s.1 < bytes
    }

    fn figures(&self) -> Value {
        json!({
            "vms": self.vms,
            "document": self.size.name(),
            "in_force_ms": self.spans,
            "acknowledged_ms": self.acknowledged,
            "rewritten_ms": self.rewritten,
            "some_cut_off_ms": self.cut_off,
            "after_outage_ms": self.outage,
            "watchers_lag_ms": self.lagging,
            "after_going_back_ms": self.after_back,
            "platform_reads_per_s": self.reads_per_s,
            "platform_reads_per_s_in_outage": self.outage_reads_per_s,
            "control_bytes_per_s_mean": self.bytes_per_s.0,
            "control_bytes_per_s_worst": self.bytes_per_s.1,
            "control_bytes_per_change": self.bytes_per_change,
            "reverted": self.reverted,
        })
    }

    fn line(&self) -> String {
        format!(
            "{:>4} {:>8} {:>11} {:>8} {:>12} {:>10} {:>13} {:>12} {:>13} {:>8.2} {:>13.2} {:>13} {:>9} {:>10} {:>8}",
            self.vms,
            self.size.name(),
            ms(worst(&self.spans)),
            ms(worst(&self.acknowledged)),
            ms(self.rewritten),
            ms(self.cut_off),
            ms(self.outage),
            ms(self.lagging),
            ms(self.after_back),
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
    let sizes = [(Size::Today, 6), (Size::Large, 2)];
    let cases =
        [9, 35, 105].into_iter().flat_map(|vms| sizes.map(|(size, count)| (vms, size, count)));
    // The rows are independent of each other, and each is deterministic by itself.
    let rows: Vec<Row> = std::thread::scope(|scope| {
        let row = |(vms, size, count)| scope.spawn(move || measure(vms, size, count, seed));
        let running: Vec<_> = cases.map(row).collect();
        running.into_iter().map(|row| row.join().expect("a row panicked")).collect()
    });
    table.extend(rows.iter().map(Row::line));
    let figures: Vec<Value> = rows.iter().map(Row::figures).collect();
    let failed = !rows.iter().all(Row::holds);
    Report::new(table, json!({ "seed": seed, "rows": figures })).with_failed(failed)
}

/// What membership and adoption cost a VM while nothing changes.
#[derive(Clone, Copy, Debug)]
pub struct IdleUse {
    /// Control bytes sent a second.
    pub bytes_per_s: f64,
    /// Processor time as a share of a core. It includes the share of the simulated network.
    pub cpu_percent: f64,
    /// Heap of membership, adoption and the document.
    pub heap_kib: f64,
}

/// Measures what membership and adoption cost each of a number of VMs while nothing changes.
pub fn idle(vms: usize, seed: u64) -> IdleUse {
    let heap = peak_alloc::PeakAlloc;
    let before = heap.current_usage();
    let mut run = Run::new(vms, Size::Today, seed);
    let heap_kib = heap.current_usage().saturating_sub(before) as f64 / 1_024.0 / vms as f64;
    run.queue.bytes.fill(0);
    let (start, started) = (run.now, std::time::Instant::now());
    run.until(start + IDLE_SPAN);
    let cpu = started.elapsed().as_secs_f64() / IDLE_SPAN.as_secs_f64() / vms as f64;
    let bytes = run.queue.bytes.iter().sum::<u64>() as f64 / vms as f64;
    IdleUse { bytes_per_s: bytes / IDLE_SPAN.as_secs_f64(), cpu_percent: cpu * 100.0, heap_kib }
}

/// What a change of a 1 MB document costs.
#[derive(Clone, Copy, Debug)]
pub struct ChangeUse {
    /// The longest time until a revision was in force on every VM, with some VMs cut off or not.
    pub in_force_ms: f64,
    /// Reads of the platform a second by all VMs of the data centre.
    pub reads_per_s: f64,
    /// Control bytes a VM sends for a change.
    pub bytes_per_change: f64,
}

/// Measures the adoption of small changes to a 1 MB document.
pub fn adoption_at(vms: usize, seed: u64) -> ChangeUse {
    let row = measure(vms, Size::Large, 4, seed);
    let spans = row.spans.iter().copied().chain([row.cut_off, row.after_back]);
    let worst = spans.map(|span| span.map_or(f64::INFINITY, |span| span as f64));
    ChangeUse {
        in_force_ms: worst.fold(0.0, f64::max),
        reads_per_s: row.reads_per_s,
        bytes_per_change: row.bytes_per_change as f64,
    }
}
