//! Simulates VMs that start together, one after the other, and during an outage of the store. They find each other
//! through seeds and obtain routes and targets from the store or from peers. The links of the store and of the
//! VMs are modelled, because they determine how long a start takes (`docs/platform.md`, "Start of a VM").

use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::support::{routes, target};
use jasminecart_core::process::{Discovery, DiscoveryMessage, PeerAddress, VmHint};
use jasminecart_core::version::{
    Evacuations, Sharing, SharingLimits, SharingMessage, SharingStep, Source, StoreRevision,
    TargetChange, TargetList, TransferFailure, View,
};
use jasminecart_core::{Millis, VmId};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// The sizes of the large deployment: data centres, VMs with fast links and others in each, and targets.
const DATA_CENTRES: usize = 5;
const LARGE_VMS: usize = 3;
const SMALL_VMS: usize = 57;
const TARGETS: usize = 600;
/// The sizes of a target's and a route's entry in the store, and of a target in a message between VMs. The
/// configuration has 1,600 routes.
const STORE_BYTES: u64 = (TARGETS as u64 + 1_600) * 400;
const PEER_BYTES: u64 = (TARGETS as u64 + 1_600) * 60;
/// Speeds of links in bytes per millisecond.
const STORE_LINK: u64 = 125_000;
const LARGE_LINK: u64 = 25_000;
const SMALL_LINK: u64 = 2_500;
const LARGE_LINK_MEGABITS: u32 = 200;
const SMALL_LINK_MEGABITS: u32 = 20;
/// All processes start within this time.
const START_SPREAD_MS: u64 = 300;
/// The delay of a message or call, one way.
const ONE_WAY: Millis = Millis(1);
/// How long a small VM takes to apply the state, and a large one.
const SMALL_APPLY: Millis = Millis(60);
const LARGE_APPLY: Millis = Millis(5);
const STORE_TIMEOUT: Millis = Millis(1_000);
const TICK: Millis = Millis(100);

#[derive(Debug)]
enum Event {
    Tick(usize),
    Discovery {
        from: usize,
        to: usize,
        message: DiscoveryMessage,
    },
    /// A stream from `vm` arrives at `source`.
    Request {
        vm: usize,
        source: usize,
        after: StoreRevision,
    },
    /// A stream to `vm` ends.
    Response {
        vm: usize,
        source: usize,
        message: Option<SharingMessage>,
    },
    /// A VM serves one stream less.
    Served(usize),
    Read(usize),
    ReadFailed(usize),
}

struct Vm {
    id: VmId,
    large: bool,
    starts_at: Millis,
    sharing: Sharing,
    discovery: Discovery,
    targets: TargetList,
    routes: Option<Arc<jasminecart_core::version::Routes>>,
    reading: bool,
    loaded_at: Option<Millis>,
    /// Streams that are served, and requests that wait for one.
    served: usize,
    waiting: Vec<(usize, StoreRevision)>,
    link_free_at: Millis,
}

/// The result of one simulation.
#[derive(Debug)]
struct Figures {
    /// The times from the start of each VM to its first routes and targets, sorted.
    load_times: Vec<u64>,
    reads: u64,
    store_bytes: u64,
}

impl Figures {
    fn median(&self) -> u64 {
        self.load_times[self.load_times.len() / 2]
    }

    fn worst(&self) -> u64 {
        *self.load_times.last().expect("a VM")
    }
}

struct Fleet {
    now: Millis,
    vms: Vec<Vm>,
    seeds: Vec<usize>,
    by_id: BTreeMap<VmId, usize>,
    events: BinaryHeap<std::cmp::Reverse<(Millis, u64)>>,
    queued: BTreeMap<u64, Event>,
    sequence: u64,
    store_free_at: Millis,
    store_is_up: bool,
    uses_peers: bool,
    figures: Figures,
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), 7_720)
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet::with_vms(seed, LARGE_VMS, true)
    }

    fn with_vms(seed: u64, large_vms: usize, uses_peers: bool) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let per_data_centre = large_vms + SMALL_VMS;
        let count = DATA_CENTRES * per_data_centre;
        // One seed in each of three data centres, as on the platform.
        let seeds: Vec<usize> = (0..3).map(|index| index * per_data_centre).collect();
        let vms = (0..count).map(|number| {
            let large = number % per_data_centre < large_vms;
            let id = VmId::new(format!("dc-{}", number / per_data_centre), format!("vm-{number}"));
            let own = address(number);
            let address_of = PeerAddress { control: own, packets: own, requests: own };
            let hint = VmHint { vm: id.clone(), address: address_of, leaving: false };
            let size = if large { 500 } else { 28 };
            let megabits = if large { LARGE_LINK_MEGABITS } else { SMALL_LINK_MEGABITS };
            let limits = if uses_peers {
                SharingLimits::default().with_size(size).with_link(megabits, rng.random())
            } else {
                SharingLimits::default()
            };
            Vm {
                sharing: Sharing::new(id.clone(), limits),
                discovery: Discovery::new(hint, size, seeds.iter().map(|seed| address(*seed))),
                id,
                large,
                starts_at: Millis(rng.random_range(0..START_SPREAD_MS)),
                targets: TargetList::default(),
                routes: None,
                reading: false,
                loaded_at: None,
                served: 0,
                waiting: Vec::new(),
                link_free_at: Millis::ZERO,
            }
        });
        let vms: Vec<Vm> = vms.collect();
        let by_id = vms.iter().enumerate().map(|(number, vm)| (vm.id.clone(), number)).collect();
        Fleet {
            now: Millis::ZERO,
            vms,
            seeds,
            by_id,
            events: BinaryHeap::new(),
            queued: BTreeMap::new(),
            sequence: 0,
            store_free_at: Millis::ZERO,
            store_is_up: true,
            uses_peers,
            figures: Figures { load_times: Vec::new(), reads: 0, store_bytes: 0 },
        }
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(std::cmp::Reverse((at, self.sequence)));
        self.queued.insert(self.sequence, event);
    }

    /// Gives a VM the state at once, as if it had run before.
    fn preload(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.starts_at = Millis::ZERO;
        self.load_from_store(number);
    }

    /// Starts all VMs that have not been loaded, and runs until the end.
    fn run(mut self, end: Millis) -> Figures {
        for number in 0..self.vms.len() {
            let at = self.vms[number].starts_at;
            self.schedule(at, Event::Tick(number));
        }
        while let Some(std::cmp::Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.queued.remove(&number).expect("an event");
            self.handle(event);
        }
        self.figures.load_times.sort_unstable();
        self.figures
    }

    fn is_running(&self, number: usize) -> bool {
        self.now >= self.vms[number].starts_at
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Discovery { from, to, message } => self.on_discovery(from, to, message),
            Event::Request { vm, source, after } => self.on_request(vm, source, after),
            Event::Response { vm, source, message } => self.on_response(vm, source, message),
            Event::Served(source) => {
                self.vms[source].served -= 1;
                if let Some((waiting, after)) = self.vms[source].waiting.pop() {
                    self.serve(waiting, source, after);
                }
            }
            Event::Read(number) => {
                self.vms[number].reading = false;
                if self.vms[number].loaded_at.is_none() {
                    self.load_from_store(number);
                }
            }
            Event::ReadFailed(number) => {
                let now = self.now;
                let vm = &mut self.vms[number];
                vm.reading = false;
                let steps = vm.sharing.on_store_failure(now);
                self.execute(number, steps);
            }
        }
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        let alone = self.vms[number].loaded_at.is_none();
        if self.uses_peers {
            for (to, message) in self.vms[number].discovery.tick(now, alone) {
                self.send_to_seed(number, to, message);
            }
        }
        let steps = self.vms[number].sharing.tick(now);
        self.execute(number, steps);
        self.read_if_needed(number);
        self.schedule(now + TICK, Event::Tick(number));
    }

    fn send_to_seed(&mut self, from: usize, to: SocketAddr, message: DiscoveryMessage) {
        let to = self.seeds.iter().copied().find(|seed| address(*seed) == to).expect("a seed");
        self.schedule(self.now + ONE_WAY, Event::Discovery { from, to, message });
    }

    fn read_if_needed(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if vm.reading || vm.loaded_at.is_some() || vm.sharing.source(now) != Source::Fallback {
            return;
        }
        vm.reading = true;
        self.figures.reads += 1;
        if !self.store_is_up {
            self.schedule(now + ONE_WAY + ONE_WAY, Event::ReadFailed(number));
            return;
        }
        self.figures.store_bytes += STORE_BYTES;
        let sent_at = self.store_free_at.max(now + ONE_WAY) + Millis(STORE_BYTES / STORE_LINK);
        self.store_free_at = sent_at;
        let done_at = self.receive(number, sent_at, STORE_BYTES);
        if done_at.since(now) > STORE_TIMEOUT {
            self.schedule(now + STORE_TIMEOUT, Event::ReadFailed(number));
        } else {
            self.schedule(done_at, Event::Read(number));
        }
    }

    /// Returns when a VM has received and applied bytes whose last one was sent at a time.
    fn receive(&mut self, number: usize, sent_at: Millis, bytes: u64) -> Millis {
        let vm = &mut self.vms[number];
        let (link, apply) =
            if vm.large { (LARGE_LINK, LARGE_APPLY) } else { (SMALL_LINK, SMALL_APPLY) };
        let received_at = sent_at.max(vm.link_free_at.max(self.now) + Millis(bytes / link));
        vm.link_free_at = received_at;
        received_at + ONE_WAY + apply
    }

    fn load_from_store(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        let records = (0..TARGETS).map(|index| target(&format!("t{index}"), "desk", "dc-0", 1));
        vm.targets.replace(now, records.collect(), StoreRevision::new(0, 1));
        vm.routes = Some(Arc::new(routes(1)));
        let view = View {
            evacuations: &Evacuations::default(),
            targets: &vm.targets,
            routes: vm.routes.as_ref(),
        };
        let steps = vm.sharing.on_store_response(now, StoreRevision::new(0, 1), true, view);
        self.set_loaded(number);
        self.execute(number, steps);
    }

    fn set_loaded(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if vm.loaded_at.is_some() {
            return;
        }
        vm.loaded_at = Some(now);
        vm.discovery.set_loaded();
        self.figures.load_times.push(now.since(vm.starts_at).get());
        for (to, message) in self.vms[number].discovery.tick(now, false) {
            self.send_to_seed(number, to, message);
        }
    }

    fn on_discovery(&mut self, from: usize, to: usize, message: DiscoveryMessage) {
        if !self.is_running(to) {
            return;
        }
        let now = self.now;
        match message {
            DiscoveryMessage::Hello(introduction) => {
                let (_, message) = self.vms[to].discovery.on_hello(now, introduction.clone());
                self.schedule(now + ONE_WAY, Event::Discovery { from: to, to: from, message });
                let steps = self.vms[to].sharing.on_introductions(now, [&introduction]);
                self.execute(to, steps);
            }
            DiscoveryMessage::Known(introductions) => {
                let steps = self.vms[to].sharing.on_introductions(now, &introductions);
                self.execute(to, steps);
            }
        }
    }

    fn execute(&mut self, number: usize, steps: Vec<SharingStep>) {
        for step in steps {
            match step {
                // Membership, which carries other messages, is not simulated.
                SharingStep::Message { .. } => {}
                SharingStep::Fetch { from, after } => {
                    let source = self.by_id[&from];
                    let at = self.now + ONE_WAY + ONE_WAY;
                    self.schedule(at, Event::Request { vm: number, source, after });
                }
                SharingStep::Apply(changes) => {
                    let vm = &mut self.vms[number];
                    let records =
                        changes.targets.into_iter().filter_map(TargetChange::into_written);
                    vm.targets.replace(self.now, records.collect(), changes.upto);
                    vm.routes = changes.routes.or(vm.routes.take());
                    self.set_loaded(number);
                }
            }
        }
    }

    fn on_request(&mut self, vm: usize, source: usize, after: StoreRevision) {
        if !self.is_running(source) {
            let at = self.now + Millis(300);
            self.schedule(at, Event::Response { vm, source, message: None });
            return;
        }
        let streams = if self.vms[source].large { 10 } else { 1 };
        if self.vms[source].served < streams {
            self.serve(vm, source, after);
        } else if self.vms[source].waiting.len() < 6 * streams {
            self.vms[source].waiting.insert(0, (vm, after));
        } else {
            let message = Some(self.vms[source].sharing.refuse_fetch());
            let at = self.now + ONE_WAY;
            self.schedule(at, Event::Response { vm, source, message });
        }
    }

    fn serve(&mut self, vm: usize, source: usize, after: StoreRevision) {
        let (now, to) = (self.now, self.vms[vm].id.clone());
        let from = &mut self.vms[source];
        from.served += 1;
        let view = View {
            evacuations: &Evacuations::default(),
            targets: &from.targets,
            routes: from.routes.as_ref(),
        };
        let message = from.sharing.on_fetch(now, &to, after, view);
        let bytes = match message {
            SharingMessage::Share { .. } => PEER_BYTES,
            _ => 100,
        };
        let link = if from.large { LARGE_LINK } else { SMALL_LINK };
        from.link_free_at = from.link_free_at.max(now) + Millis(bytes / link);
        let sent_at = from.link_free_at;
        let at = self.receive(vm, sent_at, bytes);
        self.schedule(self.vms[vm].link_free_at, Event::Served(source));
        self.schedule(at, Event::Response { vm, source, message: Some(message) });
    }

    fn on_response(&mut self, vm: usize, source: usize, message: Option<SharingMessage>) {
        let (now, from) = (self.now, self.vms[source].id.clone());
        let to = &mut self.vms[vm];
        let view = View {
            evacuations: &Evacuations::default(),
            targets: &to.targets,
            routes: to.routes.as_ref(),
        };
        let steps = match message {
            Some(message) => to.sharing.on_transfer(now, &from, message, view),
            None => to.sharing.on_transfer_failure(now, &from, TransferFailure::Failed),
        };
        self.execute(vm, steps);
    }
}

/// Guards against the stampede after a kill of all processes: when every VM read the whole store, its link was
/// shared by all of them and small VMs had their first targets only after 1 to 3 s, longer than the deadline of
/// the shortest requests.
#[test]
fn vms_that_start_together_load_before_the_deadlines_of_requests() {
    let before = Fleet::with_vms(1, LARGE_VMS, false).run(Millis(20_000));
    assert!(before.worst() > 2_000, "the model does not show the stampede: {before:?}");
    for seed in 1..=5 {
        let figures = Fleet::new(seed).run(Millis(5_000));
        assert_eq!(figures.load_times.len(), DATA_CENTRES * (LARGE_VMS + SMALL_VMS));
        assert!(figures.median() <= 400, "median {} ms", figures.median());
        assert!(figures.worst() <= 900, "worst {} ms", figures.worst());
        let large = (DATA_CENTRES * LARGE_VMS) as u64;
        assert_eq!(figures.reads, large, "reads of the store");
        assert!(figures.store_bytes < before.store_bytes / 15, "{} bytes", figures.store_bytes);
    }
}

/// Guards against a start that depends on VMs with fast links: where there are none, some of the others read the
/// store and the rest obtain the state from them.
#[test]
fn small_vms_alone_share_what_a_few_of_them_read() {
    for seed in 1..=5 {
        let figures = Fleet::with_vms(seed, 0, true).run(Millis(10_000));
        assert_eq!(figures.load_times.len(), DATA_CENTRES * SMALL_VMS);
        assert!(figures.worst() <= 3_000, "worst {} ms", figures.worst());
        assert!(figures.reads <= (DATA_CENTRES * SMALL_VMS / 3) as u64, "{} reads", figures.reads);
    }
}

/// Guards against a call of each VM in a rolling restart, and against a start that waits for the store's delay
/// although a peer has the state.
#[test]
fn a_vm_that_starts_beside_running_ones_loads_from_them_without_the_store() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(seed);
        let restarted = LARGE_VMS + seed as usize;
        for number in (0..fleet.vms.len()).filter(|number| *number != restarted) {
            fleet.preload(number);
        }
        fleet.vms[restarted].starts_at = Millis(2_000);
        fleet.figures.load_times.clear();
        fleet.figures.reads = 0;
        let figures = fleet.run(Millis(10_000));
        assert_eq!(figures.load_times.len(), 1);
        assert!(figures.worst() <= 400, "{} ms", figures.worst());
        assert_eq!(figures.reads, 0);
    }
}

/// Guards against VMs that cannot serve after a restart during an outage of the store, although one VM of their data
/// centre still has the state. It is a small one, which sends it to one other at a time.
#[test_case(1; "a seed")]
#[test_case(4; "a small VM")]
fn vms_load_from_one_survivor_during_an_outage_of_the_store(survivor: usize) {
    let mut fleet = Fleet::new(3);
    fleet.store_is_up = false;
    let per_data_centre = LARGE_VMS + SMALL_VMS;
    for data_centre in 0..DATA_CENTRES {
        fleet.preload(data_centre * per_data_centre + survivor - 1);
    }
    fleet.figures.load_times.clear();
    let figures = fleet.run(Millis(10_000));
    assert_eq!(figures.load_times.len(), DATA_CENTRES * (per_data_centre - 1));
    assert!(figures.worst() <= 4_000, "worst {} ms", figures.worst());
}
