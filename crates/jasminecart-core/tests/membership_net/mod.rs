//! Memberships of several VMs in simulated time, connected by a queue with delay, loss,
//! duplication, cut links and pauses.
#![allow(dead_code, reason = "each test program uses a part of the module")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use jasminecart_core::process::{
    Event, MemberLimits, MemberMessage, MemberState, Members, Membership, PeerAddress, VmHint,
};
use jasminecart_core::{Incarnation, Millis, PeerMessage, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const START: Millis = Millis::from_secs(1);
const TICK_MS: u64 = 50;

/// VMs 0 to 99 are in the first data centre, 100 to 199 in the second, and so on.
pub(crate) fn vm(number: usize) -> VmId {
    VmId::new(format!("dc-{}", number / 100), format!("entry-{}", number % 100))
}

pub(crate) fn number(vm: &VmId) -> usize {
    let last = |text: &str| text.rsplit('-').next().unwrap().parse::<usize>().unwrap();
    last(vm.data_centre.as_str()) * 100 + last(vm.name.as_str())
}

pub(crate) fn address(number: usize) -> PeerAddress {
    let [high, low] = (number as u16).to_be_bytes();
    let at = |port| SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), port);
    PeerAddress { control: at(7001), packets: at(7002), requests: at(7003) }
}

pub(crate) fn hint(number: usize) -> VmHint {
    VmHint { vm: vm(number), address: address(number), leaving: false }
}

pub(crate) fn new_membership(number: usize, incarnation: u64, seeds: &[usize]) -> Membership {
    let limits = MemberLimits::default();
    let incarnation = Incarnation(incarnation);
    Membership::new(vm(number), incarnation, address(number), 7, limits)
        .with_seeds(seeds.iter().map(|number| hint(*number)))
}

pub(crate) struct Net {
    pub(crate) now: Millis,
    pub(crate) vms: BTreeMap<usize, Membership>,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    /// Pairs of a sending and a receiving VM between which all messages are lost.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// The VMs that are paused, with the end of each pause.
    pub(crate) paused: BTreeMap<usize, Millis>,
    /// The events for operators, with their time and the VM that reported them.
    pub(crate) log: Vec<(Millis, usize, String)>,
    queue: BTreeMap<(Millis, u64), (usize, usize, MemberMessage)>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Net {
    /// Starts VMs that are ready at once, and runs until they have found each other.
    pub(crate) fn new(numbers: impl IntoIterator<Item = usize>, seed: u64) -> Net {
        let mut net = Net {
            now: START,
            vms: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            cut_links: BTreeSet::new(),
            paused: BTreeMap::new(),
            log: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in numbers {
            net.start(number, &[0, 1, 100]);
        }
        net.run(15);
        net.log.clear();
        net
    }

    /// Starts a process that is ready at once and replaces an earlier one on the same VM.
    pub(crate) fn start(&mut self, number: usize, seeds: &[usize]) {
        let mut membership = new_membership(number, self.now.get(), seeds);
        membership.set_ready(self.now);
        self.vms.insert(number, membership);
    }

    pub(crate) fn run(&mut self, secs: u64) {
        self.run_ms(secs * 1_000);
    }

    pub(crate) fn run_ms(&mut self, duration: u64) {
        let end = self.now + Millis(duration);
        while self.now < end {
            self.now += Millis(1);
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                self.deliver(from, to, message);
            }
            for number in self.vms.keys().copied().collect::<Vec<_>>() {
                let due = (self.now.get() + number as u64 * 7).is_multiple_of(TICK_MS);
                if due && !self.is_paused(number) {
                    let events = self.vms.get_mut(&number).unwrap().tick(self.now);
                    self.apply_events(number, events);
                }
            }
        }
    }

    fn is_paused(&self, number: usize) -> bool {
        self.paused.get(&number).is_some_and(|until| *until > self.now)
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize, message: MemberMessage) {
        if self.is_paused(to) {
            return self.enqueue(self.paused[&to], (from, to, message));
        }
        let Some(membership) = self.vms.get_mut(&to) else { return };
        let events = membership.on_message(self.now, &vm(from), message);
        self.apply_events(to, events);
    }

    fn enqueue(&mut self, at: Millis, message: (usize, usize, MemberMessage)) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), message);
    }

    pub(crate) fn apply_events(&mut self, from: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Changed(_) => {}
                Event::Message(outgoing) => {
                    let PeerMessage::Member(message) = outgoing.message else { unreachable!() };
                    let address = self.vms[&from].address_of(&outgoing.to);
                    assert!(address.is_some(), "{from} has no address of {}", outgoing.to);
                    self.send(from, number(&outgoing.to), message);
                }
                other => self.log.push((self.now, from, format!("{other:?}"))),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: MemberMessage) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + Millis(self.rng.random_range(1..=4));
            self.enqueue(at, (from, to, message.clone()));
        }
    }

    /// Cuts the links from some VMs to others in one direction.
    pub(crate) fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|from| to.iter().map(|to| (*from, *to)));
        self.cut_links.extend(pairs.filter(|(from, to)| from != to));
    }

    /// Cuts the links between some VMs and others in both directions.
    pub(crate) fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    pub(crate) fn pause(&mut self, number: usize, secs: u64) {
        self.paused.insert(number, self.now + Millis::from_secs(secs));
    }

    pub(crate) fn members(&self, number: usize) -> &Members {
        self.vms[&number].members()
    }

    /// Returns the state that a VM has in the view of `reader`.
    pub(crate) fn state(&self, reader: usize, of: usize) -> Option<MemberState> {
        self.members(reader).get(&vm(of)).map(|member| member.state)
    }

    /// Returns the pairs of running VMs of one data centre of which the first does not see the
    /// second as active.
    pub(crate) fn unconverged(&self) -> Vec<(usize, usize)> {
        let pairs = self.vms.keys().flat_map(|a| self.vms.keys().map(|b| (*a, *b)));
        let near = pairs.filter(|(a, b)| a / 100 == b / 100);
        near.filter(|(a, b)| self.state(*a, *b) != Some(MemberState::Active)).collect()
    }

    pub(crate) fn events(&self, name: &str) -> Vec<&(Millis, usize, String)> {
        self.log.iter().filter(|(_, _, event)| event.starts_with(name)).collect()
    }
}
