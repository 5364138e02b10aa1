//! Case `membership`: how fast deaths and restarts are detected, false positives and control
//! traffic.

use std::net::{Ipv4Addr, SocketAddr};

use jasminecart_core::process::{
    Event, MemberLimits, MemberState, Members, Membership, PeerAddress, VmHint,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage, VmId};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::message_queue::{InFlight, LinkConditions, MessageQueue, median_and_max};
use crate::report::Report;

const TICK: Millis = Millis(50);
const WARM_UP: Millis = Millis::from_secs(20);
const STEADY_DURATION: Millis = Millis::from_secs(30);
const DEATHS: usize = 5;
const PAUSES: usize = 8;
/// Listing a VM as dead or as having left is a false positive when it has run for this long since
/// its last pause.
const MIN_UPTIME: Millis = Millis::from_secs(3);

/// The distribution of numbered VMs over data centres.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// The number of VMs of each data centre.
    pub(crate) per_data_centre: usize,
}

impl Layout {
    /// Returns the id of a VM by its number.
    pub(crate) fn vm(self, number: usize) -> VmId {
        let data_centre = number / self.per_data_centre;
        VmId::new(format!("ub-{data_centre}"), format!("entry-{}", number % self.per_data_centre))
    }

    /// Returns the number of a VM.
    pub(crate) fn number(self, vm: &VmId) -> usize {
        let last_number = |text: &str| text.rsplit('-').next().and_then(|text| text.parse().ok());
        let number_in = |text: &str| last_number(text).unwrap_or(0_usize);
        number_in(vm.data_centre.as_str()) * self.per_data_centre + number_in(vm.name.as_str())
    }

    /// Returns a VM's entry in the platform's list of VMs.
    pub(crate) fn hint(self, number: usize) -> VmHint {
        VmHint { vm: self.vm(number), address: address(number), leaving: false }
    }

    /// Returns the seed members: the first three VMs of each data centre.
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
    paused_until: Millis,
}

struct Simulation {
    now: Millis,
    seed: u64,
    size: usize,
    layout: Layout,
    queue: MessageQueue,
    vms: Vec<Vm>,
    false_positives: u64,
    fresh: (u64, u64),
}

impl Simulation {
    fn new(size: usize, layout: Layout, links: LinkConditions, seed: u64) -> Simulation {
        let queue = MessageQueue::new(size, links, seed);
        let mut simulation = Simulation {
            now: Millis::from_secs(1),
            seed,
            size,
            layout,
            queue,
            vms: Vec::new(),
            false_positives: 0,
            fresh: (0, 0),
        };
        simulation.vms = (0..size).map(|number| simulation.start(number)).collect();
        simulation
    }

    fn start(&self, number: usize) -> Vm {
        let limits = MemberLimits::default();
        let incarnation = Incarnation(1_790_000_000_000 + self.now.get());
        let vm = self.layout.vm(number);
        let new = Membership::new(vm, incarnation, address(number), self.seed, limits);
        let mut membership = new.with_seeds(self.layout.seeds(self.size));
        membership.set_ready(self.now);
        Vm { membership, alive: true, paused_until: Millis::ZERO }
    }

    /// Advances the simulation to `end`.
    fn run_until(&mut self, end: Millis) {
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
        if vm.paused_until > self.now {
            return self.queue.enqueue(vm.paused_until, message);
        }
        let PeerMessage::Member(message) = message.message else { return };
        let events = vm.membership.on_message(self.now, &self.layout.vm(from), message);
        self.apply_events(to, events);
    }

    fn tick(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if !vm.alive || vm.paused_until > self.now {
            return;
        }
        let events = vm.membership.tick(self.now);
        self.apply_events(number, events);
        self.sample_freshness(number);
    }

    fn apply_events(&mut self, from: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Message(outgoing) => {
                    let (to, message) = (self.layout.number(&outgoing.to), outgoing.message);
                    self.queue.send(self.now, InFlight { from, to, message });
                }
                Event::Died(vm) | Event::Left(vm) => {
                    let vm = &self.vms[self.layout.number(&vm)];
                    let running = vm.alive && self.now >= vm.paused_until + MIN_UPTIME;
                    self.false_positives += u64::from(running);
                }
                Event::Changed(_) | Event::Suspected(_) | Event::Joined(_) | Event::Refuted(_) => {}
            }
        }
    }

    /// Counts the samples in which a VM's view is fresh by section 6 of `docs/design.md`: enough
    /// members were in contact within the last 1.5 s.
    fn sample_freshness(&mut self, number: usize) {
        let members = self.vms[number].membership.members();
        let live = members.list.iter().filter(|member| member.is_reachable()).count();
        let needed = if live <= 9 { live / 2 } else { 3 };
        let recent = |at: Millis| at > Millis::ZERO && self.now.since(at) <= Millis(1_500);
        let in_contact = members.peers().filter(|member| recent(member.heard_at)).count();
        self.fresh.0 += u64::from(in_contact >= needed);
        self.fresh.1 += 1;
    }

    /// Returns the percentage of samples since the last call in which a VM's view was fresh.
    fn fresh_percent(&mut self) -> f64 {
        let (fresh, samples) = std::mem::take(&mut self.fresh);
        fresh as f64 * 100.0 / samples.max(1) as f64
    }

    fn members(&self, number: usize) -> &Members {
        self.vms[number].membership.members()
    }

    /// Kills a VM and returns the milliseconds until each running VM listed it as dead, or `None`
    /// when one did not within 30 s.
    fn kill(&mut self, killed: usize) -> Option<Vec<u64>> {
        self.vms[killed].alive = false;
        let started = self.now;
        let mut detected_after = vec![None; self.vms.len()];
        while self.now.since(started) < Millis::from_secs(30) {
            self.run_until(self.now + Millis(50));
            for (number, detected_after) in detected_after.iter_mut().enumerate() {
                let state =
                    self.members(number).get(&self.layout.vm(killed)).map(|member| member.state);
                if detected_after.is_none() && state.is_none_or(|state| state == MemberState::Dead)
                {
                    *detected_after = Some(self.now.since(started).get());
                }
            }
            let others = (0..self.vms.len()).filter(|number| self.vms[*number].alive);
            if let Some(detection_times) = others.map(|number| detected_after[number]).collect() {
                return Some(detection_times);
            }
        }
        None
    }

    /// Restarts a killed VM and returns the milliseconds until all VMs listed it as active, or
    /// `None` when one did not within 30 s.
    fn restart(&mut self, killed: usize) -> Option<u64> {
        self.vms[killed] = self.start(killed);
        let started = self.now;
        while self.now.since(started) < Millis::from_secs(30) {
            self.run_until(self.now + Millis(50));
            let is_listed = |number: usize| {
                let member = self.members(number).get(&self.layout.vm(killed));
                member.is_some_and(|member| member.state == MemberState::Active)
            };
            if (0..self.vms.len()).all(is_listed) {
                return Some(self.now.since(started).get());
            }
        }
        None
    }

    /// Returns the mean and the maximum over all VMs of the bytes a second sent in the steady
    /// state.
    fn steady_bytes(&mut self) -> (u64, u64) {
        self.queue.bytes.fill(0);
        self.run_until(self.now + STEADY_DURATION);
        let bytes = self.queue.bytes.iter().map(|bytes| bytes * 1_000 / STEADY_DURATION.get());
        let bytes: Vec<u64> = bytes.collect();
        (bytes.iter().sum::<u64>() / self.size as u64, median_and_max(&bytes).1)
    }

    fn pause(&mut self, number: usize, duration: Millis) {
        self.vms[number].paused_until = self.now + duration;
    }
}

struct Row {
    size: usize,
    loss: f64,
    detection_ms: (u64, u64),
    undetected: usize,
    restart_listed_ms: u64,
    bytes_per_s: (u64, u64),
    fresh_percent: f64,
    fresh_percent_with_deaths: f64,
    false_positives: u64,
    false_positives_with_pauses: u64,
}

fn measure(size: usize, loss: f64, seed: u64) -> Row {
    let links = LinkConditions { loss, duplication: 0.01, delay: (1, 3) };
    let mut simulation = Simulation::new(size, Layout { per_data_centre: size }, links, seed);
    simulation.run_until(WARM_UP);
    simulation.fresh = (0, 0);
    let bytes_per_s = simulation.steady_bytes();
    let fresh_percent = simulation.fresh_percent();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut detection_times, mut restarts, mut undetected) = (Vec::new(), Vec::new(), 0);
    // A VM is killed only once, because one that dies twice within a minute is held down.
    let mut killed_vms: Vec<usize> = (0..size).collect();
    killed_vms.shuffle(&mut rng);
    for killed in killed_vms.into_iter().take(DEATHS) {
        simulation.run_until(simulation.now + Millis(rng.random_range(0..3_000)));
        match simulation.kill(killed) {
            Some(detected_after) => detection_times.extend(detected_after),
            None => undetected += 1,
        }
        restarts.push(simulation.restart(killed).unwrap_or(u64::MAX));
    }
    let fresh_percent_with_deaths = simulation.fresh_percent();
    let false_positives = simulation.false_positives;
    for _ in 0..PAUSES {
        simulation.pause(rng.random_range(0..size), Millis(rng.random_range(1_000..30_000)));
        simulation.run_until(simulation.now + Millis(rng.random_range(1_000..8_000)));
    }
    simulation.run_until(simulation.now + Millis::from_secs(35));
    Row {
        size,
        loss,
        detection_ms: median_and_max(&detection_times),
        undetected,
        restart_listed_ms: restarts.into_iter().max().unwrap_or_default(),
        bytes_per_s,
        fresh_percent,
        fresh_percent_with_deaths,
        false_positives,
        false_positives_with_pauses: simulation.false_positives - false_positives,
    }
}

impl Row {
    /// Returns whether the requirements of section 9 and the traffic budget of section 6 of
    /// `docs/design.md` are met.
    fn meets_requirements(&self) -> bool {
        let (worst, bytes) = if self.size <= 9 { (6_000, 1_000) } else { (10_000, 10_000) };
        let budget = self.loss > 0.0 || self.bytes_per_s.1 < bytes;
        let deaths = self.undetected == 0 && self.detection_ms.1 <= worst;
        deaths && budget && self.false_positives + self.false_positives_with_pauses == 0
    }

    fn figures(&self) -> Value {
        json!({
            "members": self.size,
            "loss_percent": self.loss * 100.0,
            "detect_median_ms": self.detection_ms.0,
            "detect_worst_ms": self.detection_ms.1,
            "deaths_missed": self.undetected,
            "restart_listed_worst_ms": self.restart_listed_ms,
            "control_bytes_per_s_mean": self.bytes_per_s.0,
            "control_bytes_per_s_worst": self.bytes_per_s.1,
            "fresh_percent": self.fresh_percent,
            "fresh_percent_with_deaths": self.fresh_percent_with_deaths,
            "false_positives": self.false_positives,
            "false_positives_with_pauses": self.false_positives_with_pauses,
        })
    }

    fn table_row(&self) -> String {
        format!(
            "{:>7} {:>6.0} {:>10} {:>9} {:>7} {:>10} {:>9} {:>10} {:>7.2} {:>12.2} {:>9} {:>12}",
            self.size,
            self.loss * 100.0,
            self.detection_ms.0,
            self.detection_ms.1,
            self.undetected,
            self.restart_listed_ms,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
            self.fresh_percent,
            self.fresh_percent_with_deaths,
            self.false_positives,
            self.false_positives_with_pauses,
        )
    }
}

/// The results for several data centres that exchange membership summaries.
struct Summaries {
    data_centres: usize,
    per_data_centre: usize,
    bytes_per_s: (u64, u64),
    restart_convergence_ms: Option<u64>,
    death_convergence_ms: Option<u64>,
}

fn measure_data_centres(data_centres: usize, per_data_centre: usize, seed: u64) -> Summaries {
    let links = LinkConditions { loss: 0.0, duplication: 0.01, delay: (1, 3) };
    let size = data_centres * per_data_centre;
    let mut simulation = Simulation::new(size, Layout { per_data_centre }, links, seed);
    simulation.run_until(WARM_UP + WARM_UP);
    let bytes_per_s = simulation.steady_bytes();
    simulation.vms[per_data_centre - 1].alive = false;
    let death_convergence_ms = simulation.convergence_time(per_data_centre - 1);
    simulation.vms[per_data_centre - 1] = simulation.start(per_data_centre - 1);
    let restart_convergence_ms = simulation.convergence_time(per_data_centre - 1);
    Summaries {
        data_centres,
        per_data_centre,
        bytes_per_s,
        restart_convergence_ms,
        death_convergence_ms,
    }
}

impl Simulation {
    /// Returns the milliseconds until every running VM of all data centres lists the changed VM as
    /// active or not, as it is, or `None` when one did not within 60 s.
    fn convergence_time(&mut self, changed: usize) -> Option<u64> {
        let started = self.now;
        while self.now.since(started) < Millis::from_secs(60) {
            self.run_until(self.now + Millis(50));
            let is_current = |number: usize| {
                let member = self.members(number).get(&self.layout.vm(changed));
                let state = member.map_or(MemberState::Dead, |member| member.state);
                (state == MemberState::Active) == self.vms[changed].alive
            };
            let mut running = (0..self.size).filter(|number| self.vms[*number].alive);
            if running.all(is_current) {
                return Some(self.now.since(started).get());
            }
        }
        None
    }
}

impl Summaries {
    fn meets_requirements(&self) -> bool {
        let converged =
            self.death_convergence_ms.is_some() && self.restart_convergence_ms.is_some();
        converged && self.bytes_per_s.1 < 10_000
    }

    fn table_row(&self) -> String {
        format!(
            "{} data centres of {} VMs: a death is known everywhere after {:?} ms and a restart \
             after {:?} ms; control {} B/s a VM, worst {}",
            self.data_centres,
            self.per_data_centre,
            self.death_convergence_ms,
            self.restart_convergence_ms,
            self.bytes_per_s.0,
            self.bytes_per_s.1,
        )
    }

    fn figures(&self) -> Value {
        json!({
            "data_centres": self.data_centres,
            "members": self.per_data_centre,
            "death_known_everywhere_ms": self.death_convergence_ms,
            "restart_known_everywhere_ms": self.restart_convergence_ms,
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
    table.extend(rows.iter().map(Row::table_row));
    let figures: Vec<Value> = rows.iter().map(Row::figures).collect();
    let summaries = measure_data_centres(6, 35, seed);
    table.push(summaries.table_row());
    let failed = !rows.iter().all(Row::meets_requirements) || !summaries.meets_requirements();
    let figures = json!({ "seed": seed, "rows": figures, "summaries": summaries.figures() });
    Report::new(table, figures).with_failed(failed)
}
