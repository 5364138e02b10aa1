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

/// Returns the identity of a VM by its number.
pub(crate) fn vm_id(number: usize) -> VmId {
    VmId::new("ub-1", format!("entry-{number}"))
}

/// Returns the addresses of a VM by its number.
pub(crate) fn address(number: usize) -> PeerAddress {
    let [high, low] = (number as u16).to_be_bytes();
    let at = |port| SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), port);
    PeerAddress { control: at(7001), packets: at(7002), requests: at(7003) }
}

/// Returns an entry of the platform's list.
pub(crate) fn hint(number: usize) -> VmHint {
    VmHint { vm: vm_id(number), address: address(number), leaving: false }
}

/// Returns the number of a VM by its identity.
pub(crate) fn number(vm: &VmId) -> usize {
    vm.name.as_str().rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or_default()
}

struct Vm {
    membership: Membership,
    alive: bool,
    runs_from: Millis,
}

struct Run {
    now: Millis,
    seed: u64,
    queue: MessageQueue,
    vms: Vec<Vm>,
    false_positives: u64,
    fresh: (u64, u64),
}

impl Run {
    fn new(size: usize, links: Links, seed: u64) -> Run {
        let queue = MessageQueue::new(size, links, seed);
        let mut run = Run {
            now: Millis::from_secs(1),
            seed,
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
        let new = Membership::new(vm_id(number), incarnation, address(number), self.seed, limits);
        let mut membership = new.with_seeds((0..3).map(hint));
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
                if (self.now.get() + number as u64 * 7) % TICK.get() == 0 {
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
        let events = vm.membership.on_message(self.now, &vm_id(from), message);
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
                    let (to, message) = (number(&outgoing.to), outgoing.message);
                    self.queue.send(self.now, InFlight { from, to, message });
                }
                Event::Died(vm) | Event::Left(vm) => {
                    let vm = &self.vms[number(&vm)];
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
                let state = self.members(number).get(&vm_id(killed)).map(|member| member.state);
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
                let member = self.members(number).get(&vm_id(killed));
                member.is_some_and(|member| member.state == MemberState::Active)
            };
            if (0..self.vms.len()).all(back) {
                return Some(self.now.since(started).get());
            }
        }
        None
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
    false_positives: u64,
    with_pauses: u64,
}

fn measure(size: usize, loss: f64, seed: u64) -> Row {
    let links = Links { loss, duplication: 0.01, delay: (1, 3) };
    let mut run = Run::new(size, links, seed);
    run.until(WARM_UP);
    run.fresh = (0, 0);
    run.queue.bytes.fill(0);
    run.until(WARM_UP + STEADY);
    let mut bytes: Vec<u64> =
        run.queue.bytes.iter().map(|bytes| bytes * 1_000 / STEADY.get()).collect();
    bytes.sort_unstable();
    let bytes_per_s = (bytes.iter().sum::<u64>() / size as u64, bytes[size - 1]);
    let fresh_percent = run.fresh.0 as f64 * 100.0 / run.fresh.1.max(1) as f64;
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
            "false_positives": self.false_positives,
            "false_positives_with_pauses": self.with_pauses,
        })
    }

    fn line(&self) -> String {
        format!(
            "{:>7} {:>6.0} {:>10} {:>9} {:>7} {:>10} {:>9} {:>10} {:>7.2} {:>9} {:>12}",
            self.size,
            self.loss * 100.0,
            self.detected.0,
            self.detected.1,
            self.missed,
            self.restarted,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
            self.fresh_percent,
            self.false_positives,
            self.with_pauses,
        )
    }
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut table = vec![
        "members loss_% detect_med detect_ms  missed restart_ms B/s/VM_mean B/s_worst fresh_% \
         false_pos false_paused"
            .to_owned(),
    ];
    let sizes = [9, 105];
    let cases = sizes.into_iter().flat_map(|size| [0.0, 0.05, 0.2].map(|loss| (size, loss)));
    let rows: Vec<Row> = cases.map(|(size, loss)| measure(size, loss, seed)).collect();
    table.extend(rows.iter().map(Row::line));
    let figures: Vec<Value> = rows.iter().map(Row::figures).collect();
    let failed = !rows.iter().all(Row::holds);
    Report::new(table, json!({ "seed": seed, "rows": figures })).with_failed(failed)
}
