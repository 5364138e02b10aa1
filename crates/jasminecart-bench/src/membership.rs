//! Case `membership`.

use std::net::{Ipv4Addr, SocketAddr};

use jasminecart_core::process::{
    Event, MemberLimits, MemberState, Members, Membership, PeerAddress, VmHint,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage, VmId};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::message_queue::{InFlight, Links, MessageQueue, median_and_worst};
use crate::report::Report;

const TICK: Millis = Millis(50);
const WARM_UP: Millis = Millis::from_secs(20);
const STEADY: Millis = Millis::from_secs(30);
const DEATHS: usize = 5;
const PAUSES: usize = 8;
/// A removal of a VM that has run for this long since its last pause is a false positive.
const RUNNING: Millis = Millis::from_secs(3);

/// How numbered VMs are distributed over data centres.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// The number of VMs of each data centre.
    pub(crate) per_data_centre: usize,
}

impl Layout {
    /// Returns the identity of a VM.
    pub(crate) fn vm(self, number: usize) -> VmId {
        let data_centre = number / self.per_data_centre;
        VmId::new(format!("ub-{data_centre}"), format!("entry-{}", number % self.per_data_centre))
    }

    /// Returns the number of a VM.
    pub(crate) fn number(self, vm: &VmId) -> usize {
        let last = |text: &str| text.rsplit('-').next().and_then(|text| text.parse().ok());
        let part = |text: &str| last(text).unwrap_or(0_usize);
        part(vm.data_centre.as_str()) * self.per_data_centre + part(vm.name.as_str())
    }

    /// Returns an entry of the platform's list.
    pub(crate) fn hint(self, number: usize) -> VmHint {
        VmHint { vm: self.vm(number), address: address(number), leaving: false }
    }

    /// Returns the seeds: three VMs of each data centre.
    pub(crate) fn seeds(self, vms: usize) -> Vec<VmHint> {
        let seeds = (0..vms).filter(|number| number % self.per_data_centre < 3);
        seeds.map(|number| self.hint(number)).collect()
    }
}

/// Returns the addresses of a VM by its number.
pub(crate) fn address(number: usize) -> PeerAddress {
    let [high, low] = (number as u16).to_be_bytes();
    let at = |port| SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), port);
    PeerAddress { control: at(7001), packets: at(7002), requests: at(7003) }
}

struct Vm {
    membership: Membership,
    alive: bool,
    runs_from: Millis,
}

struct Run {
    now: Millis,
    seed: u64,
    size: usize,
    layout: Layout,
    queue: MessageQueue,
    vms: Vec<Vm>,
    false_positives: u64,
    fresh: (u64, u64),
}

impl Run {
    fn new(size: usize, layout: Layout, links: Links, seed: u64) -> Run {
        let queue = MessageQueue::new(size, links, seed);
        let mut run = Run {
            now: Millis::from_secs(1),
            seed,
            size,
            layout,
            queue,
            vms: Vec::new(),
            false_positives: 0,
            fresh: (0, 0),
        };
        run.vms = (0..size).map(|number| run.start(number)).collect();
        run
    }

    fn start(&self, number: usize) -> Vm {
        let limits = MemberLimits::default();
        let incarnation = Incarnation(1_790_000_000_000 + self.now.get());
        let vm = self.layout.vm(number);
        let new = Membership::new(vm, incarnation, address(number), self.seed, limits);
        let mut membership = new.with_seeds(self.layout.seeds(self.size));
        membership.set_ready(self.now);
        Vm { membership, alive: true, runs_from: Millis::ZERO }
    }

    /// Lets the time pass until `end`.
    fn until(&mut self, end: Millis) {
        while self.now < end {
            self.now += Millis(1);
            while let Some((_, message)) = self.queue.next(self.now) {
                self.deliver(message);
            }
            for number in 0..self.vms.len() {
                if (self.now.get() + number as u64 * 7).is_multiple_of(TICK.get()) {
                    self.tick(number);
                }
            }
        }
    }

    fn deliver(&mut self, message: InFlight) {
        let (from, to) = (message.from, message.to);
        let vm = &mut self.vms[to];
        if !vm.alive {
            return;
        }
        if vm.runs_from > self.now {
            return self.queue.put(vm.runs_from, message);
        }
        let PeerMessage::Member(message) = message.message else { return };
        let events = vm.membership.on_message(self.now, &self.layout.vm(from), message);
        self.carry_out(to, events);
    }

    fn tick(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if !vm.alive || vm.runs_from > self.now {
            return;
        }
        let events = vm.membership.tick(self.now);
        self.carry_out(number, events);
        self.sample_freshness(number);
    }

    fn carry_out(&mut self, from: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Message(outgoing) => {
                    let (to, message) = (self.layout.number(&outgoing.to), outgoing.message);
                    self.queue.send(self.now, InFlight { from, to, message });
                }
                Event::Died(vm) | Event::Left(vm) => {
                    let vm = &self.vms[self.layout.number(&vm)];
                    let running = vm.alive && self.now >= vm.runs_from + RUNNING;
                    self.false_positives += u64::from(running);
                }
                Event::Changed(_) | Event::Suspected(_) | Event::Joined(_) | Event::Refuted(_) => {}
            }
        }
    }

    /// Counts how often a VM has heard from enough members for section 6 to call it fresh.
    fn sample_freshness(&mut self, number: usize) {
        let members = self.vms[number].membership.members();
        let live = members.list.iter().filter(|member| member.is_reachable()).count();
        let needed = if live <= 9 { live / 2 } else { 3 };
        let recent = |at: Millis| at > Millis::ZERO && self.now.since(at) <= Millis(1_500);
        let heard = members.peers().filter(|member| recent(member.heard_at)).count();
        self.fresh.0 += u64::from(heard >= needed);
        self.fresh.1 += 1;
    }

    /// Returns the share of samples since the last call in which a VM was fresh.
    fn fresh_percent(&mut self) -> f64 {
        let (fresh, samples) = std::mem::take(&mut self.fresh);
        fresh as f64 * 100.0 / samples.max(1) as f64
    }

    fn members(&self, number: usize) -> &Members {
        self.vms[number].membership.members()
    }

    /// Kills a VM and returns how long each other VM took to list it as dead, or `None` when one did not
    /// within 30 s.
    fn kill(&mut self, killed: usize) -> Option<Vec<u64>> {
        self.vms[killed].alive = false;
        let started = self.now;
        let mut found = vec![None; self.vms.len()];
        while self.now.since(started) < Millis::from_secs(30) {
            self.until(self.now + Millis(50));
            for (number, found) in found.iter_mut().enumerate() {
                let state =
                    self.members(number).get(&self.layout.vm(killed)).map(|member| member.state);
                if found.is_none() && state.is_none_or(|state| state == MemberState::Dead) {
                    *found = Some(self.now.since(started).get());
                }
            }
            let others = (0..self.vms.len()).filter(|number| self.vms[*number].alive);
            if let Some(spans) = others.map(|number| found[number]).collect() {
                return Some(spans);
            }
        }
        None
    }

    /// Starts a new process of a killed VM and returns how long all others took to list it as active.
    fn restart(&mut self, killed: usize) -> Option<u64> {
        self.vms[killed] = self.start(killed);
        let started = self.now;
        while self.now.since(started) < Millis::from_secs(30) {
            self.until(self.now + Millis(50));
            let back = |number: usize| {
                let member = self.members(number).get(&self.layout.vm(killed));
                member.is_some_and(|member| member.state == MemberState::Active)
            };
            if (0..self.vms.len()).all(back) {
                return Some(self.now.since(started).get());
            }
        }
        None
    }

    /// Returns the mean and the greatest count of bytes a second that a VM sends in the steady state.
    fn steady_bytes(&mut self) -> (u64, u64) {
        self.queue.bytes.fill(0);
        self.until(self.now + STEADY);
        let bytes = self.queue.bytes.iter().map(|bytes| bytes * 1_000 / STEADY.get());
        let bytes: Vec<u64> = bytes.collect();
        (bytes.iter().sum::<u64>() / self.size as u64, median_and_worst(&bytes).1)
    }

    fn pause(&mut self, number: usize, span: Millis) {
        self.vms[number].runs_from = self.now + span;
    }
}

struct Row {
    size: usize,
    loss: f64,
    detected: (u64, u64),
    missed: usize,
    restarted: u64,
    bytes_per_s: (u64, u64),
    fresh_percent: f64,
    fresh_with_deaths: f64,
    false_positives: u64,
    with_pauses: u64,
}

fn measure(size: usize, loss: f64, seed: u64) -> Row {
    let links = Links { loss, duplication: 0.01, delay: (1, 3) };
    let mut run = Run::new(size, Layout { per_data_centre: size }, links, seed);
    run.until(WARM_UP);
    run.fresh = (0, 0);
    let bytes_per_s = run.steady_bytes();
    let fresh_percent = run.fresh_percent();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut spans, mut restarts, mut missed) = (Vec::new(), Vec::new(), 0);
    // Different VMs are killed, because one that dies twice within a minute is held down.
    let mut victims: Vec<usize> = (0..size).collect();
    victims.shuffle(&mut rng);
    for killed in victims.into_iter().take(DEATHS) {
        run.until(run.now + Millis(rng.random_range(0..3_000)));
        match run.kill(killed) {
            Some(found) => spans.extend(found),
            None => missed += 1,
        }
        restarts.push(run.restart(killed).unwrap_or(u64::MAX));
    }
    let fresh_with_deaths = run.fresh_percent();
    let false_positives = run.false_positives;
    for _ in 0..PAUSES {
        run.pause(rng.random_range(0..size), Millis(rng.random_range(1_000..30_000)));
        run.until(run.now + Millis(rng.random_range(1_000..8_000)));
    }
    run.until(run.now + Millis::from_secs(35));
    Row {
        size,
        loss,
        detected: median_and_worst(&spans),
        missed,
        restarted: restarts.into_iter().max().unwrap_or_default(),
        bytes_per_s,
        fresh_percent,
        fresh_with_deaths,
        false_positives,
        with_pauses: run.false_positives - false_positives,
    }
}

impl Row {
    /// Checks the figures required by section 9 and the budget of section 6.
    fn holds(&self) -> bool {
        let (worst, bytes) = if self.size <= 9 { (6_000, 1_000) } else { (10_000, 10_000) };
        let budget = self.loss > 0.0 || self.bytes_per_s.1 < bytes;
        let deaths = self.missed == 0 && self.detected.1 <= worst;
        deaths && budget && self.false_positives + self.with_pauses == 0
    }

    fn figures(&self) -> Value {
        json!({
            "members": self.size,
            "loss_percent": self.loss * 100.0,
            "detect_median_ms": self.detected.0,
            "detect_worst_ms": self.detected.1,
            "deaths_missed": self.missed,
            "restart_listed_worst_ms": self.restarted,
            "control_bytes_per_s_mean": self.bytes_per_s.0,
            "control_bytes_per_s_worst": self.bytes_per_s.1,
            "fresh_percent": self.fresh_percent,
            "fresh_percent_with_deaths": self.fresh_with_deaths,
            "false_positives": self.false_positives,
            "false_positives_with_pauses": self.with_pauses,
        })
    }

    fn line(&self) -> String {
        format!(
            "{:>7} {:>6.0} {:>10} {:>9} {:>7} {:>10} {:>9} {:>10} {:>7.2} {:>12.2} {:>9} {:>12}",
            self.size,
            self.loss * 100.0,
            self.detected.0,
            self.detected.1,
            self.missed,
            self.restarted,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
            self.fresh_percent,
            self.fresh_with_deaths,
            self.false_positives,
            self.with_pauses,
        )
    }
}

/// The figures of several data centres that exchange summaries.
struct Summaries {
    data_centres: usize,
    per_data_centre: usize,
    bytes_per_s: (u64, u64),
    restart_known_ms: Option<u64>,
    death_known_ms: Option<u64>,
}

fn measure_summaries(data_centres: usize, per_data_centre: usize, seed: u64) -> Summaries {
    let links = Links { loss: 0.0, duplication: 0.01, delay: (1, 3) };
    let size = data_centres * per_data_centre;
    let mut run = Run::new(size, Layout { per_data_centre }, links, seed);
    run.until(WARM_UP + WARM_UP);
    let bytes_per_s = run.steady_bytes();
    run.vms[per_data_centre - 1].alive = false;
    let death_known_ms = run.known_everywhere(per_data_centre - 1);
    run.vms[per_data_centre - 1] = run.start(per_data_centre - 1);
    let restart_known_ms = run.known_everywhere(per_data_centre - 1);
    Summaries { data_centres, per_data_centre, bytes_per_s, restart_known_ms, death_known_ms }
}

impl Run {
    /// Returns how long the VMs of all data centres took to know whether a VM runs.
    fn known_everywhere(&mut self, changed: usize) -> Option<u64> {
        let started = self.now;
        while self.now.since(started) < Millis::from_secs(60) {
            self.until(self.now + Millis(50));
            let knows = |number: usize| {
                let member = self.members(number).get(&self.layout.vm(changed));
                let state = member.map_or(MemberState::Dead, |member| member.state);
                (state == MemberState::Active) == self.vms[changed].alive
            };
            let mut running = (0..self.size).filter(|number| self.vms[*number].alive);
            if running.all(knows) {
                return Some(self.now.since(started).get());
            }
        }
        None
    }
}

impl Summaries {
    fn holds(&self) -> bool {
        let known = self.death_known_ms.is_some() && self.restart_known_ms.is_some();
        known && self.bytes_per_s.1 < 10_000
    }

    fn line(&self) -> String {
        format!(
            "{} data centres of {} VMs: a death is known everywhere after {:?} ms and a restart \
             after {:?} ms; control {} B/s a VM, worst {}",
            self.data_centres,
            self.per_data_centre,
            self.death_known_ms,
            self.restart_known_ms,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
        )
    }

    fn figures(&self) -> Value {
        json!({
            "data_centres": self.data_centres,
            "members": self.per_data_centre,
            "death_known_everywhere_ms": self.death_known_ms,
            "restart_known_everywhere_ms": self.restart_known_ms,
            "control_bytes_per_s_mean": self.bytes_per_s.0,
            "control_bytes_per_s_worst": self.bytes_per_s.1,
        })
    }
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut table = vec![
        "members loss_% detect_med detect_ms  missed restart_ms B/s/VM_mean B/s_worst fresh_% fresh_deaths \
         false_pos false_paused"
            .to_owned(),
    ];
    let sizes = [9, 105];
    let cases = sizes.into_iter().flat_map(|size| [0.0, 0.05, 0.2].map(|loss| (size, loss)));
    let rows: Vec<Row> = cases.map(|(size, loss)| measure(size, loss, seed)).collect();
    table.extend(rows.iter().map(Row::line));
    let figures: Vec<Value> = rows.iter().map(Row::figures).collect();
    let summaries = measure_summaries(6, 35, seed);
    table.push(summaries.line());
    let failed = !rows.iter().all(Row::holds) || !summaries.holds();
    let figures = json!({ "seed": seed, "rows": figures, "summaries": summaries.figures() });
    Report::new(table, figures).with_failed(failed)
}
