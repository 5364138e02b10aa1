//! Discovery of other VMs from the addresses of a few seeds, some of which may be down.
//!
//! Every VM sends a hello to the seeds. A VM that receives a hello records the sender and responds
//! with the VMs that it knows of the sender's data centre. The responses are hints for
//! [`super::Membership`], which determines which VMs are alive, and tell a starting VM which others
//! have routes and targets to send (`docs/platform.md`, "Start of a VM").

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::VmHint;
use super::rendezvous;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// The period of hellos of a VM that has just started and lacks routes and targets, or knows no
/// other VM to send them to. Each goes to one seed, because all VMs of a deployment may start at
/// once and a seed may be one of the smallest.
const STARTING_HELLO_PERIOD: Millis = Millis(100);
/// How long a VM counts as starting. All processes start within 0.3 s.
const STARTING_TIME: Millis = Millis(2_000);
/// The period of hellos until another VM of the data centre is known.
const ISOLATED_HELLO_PERIOD: Millis = Millis(400);
/// The period of hellos afterwards. They keep the sender known to seeds that restart.
const HELLO_PERIOD: Millis = Millis(3_000);
/// How long a VM stays known after its last hello: four periods of [`HELLO_PERIOD`].
const KNOWN_VM_TIMEOUT: Millis = Millis(12_000);
/// Upper bound on the known VMs. The two-year target is 630 VMs.
const MAX_KNOWN: usize = 1_024;
/// Upper bound on the VMs in one response, which has to fit in a datagram. Gossip spreads the rest.
const MAX_RESPONSE_VMS: usize = 8;
/// How many of the VMs in a response to a starting VM are the largest that have routes and targets.
const MAX_RESPONSE_SOURCES: usize = 4;

/// A VM as it introduces itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Introduction {
    /// The VM and its addresses.
    pub hint: VmHint,
    /// Its capacity relative to the other VMs.
    pub size: u32,
    /// Whether it has routes and targets.
    pub loaded: bool,
}

/// A message between a VM and a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiscoveryMessage {
    /// The sender introduces itself.
    Hello(Introduction),
    /// The response: VMs of the data centre of the hello's sender.
    Known(Vec<Introduction>),
}

/// The discovery state of one VM, which both searches for other VMs and responds to their hellos.
#[derive(Debug)]
pub struct Discovery {
    me: Introduction,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<VmId, (Introduction, Millis)>,
    started_at: Option<Millis>,
    next_hello: Millis,
    /// Whether the last hello stated that this VM has routes and targets.
    introduced_loaded: bool,
    /// The number of hellos to single seeds.
    single_hellos: usize,
    /// Rotates the responses, so that successive ones cover a large data centre.
    rotation: usize,
}

impl Discovery {
    /// Creates the discovery state of one VM. `me` holds the addresses by which other VMs reach it,
    /// and `size` is its capacity relative to theirs.
    pub fn new(me: VmHint, size: u32, seeds: impl IntoIterator<Item = SocketAddr>) -> Discovery {
        let first_seed = rendezvous::hash(&me.vm) as usize;
        let mut discovery = Discovery {
            me: Introduction { hint: me, size, loaded: false },
            seeds: Vec::new(),
            known: BTreeMap::new(),
            started_at: None,
            next_hello: Millis::ZERO,
            introduced_loaded: false,
            single_hellos: first_seed % MAX_KNOWN,
            rotation: 0,
        };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Replaces the addresses of the seeds, as after a reload of the settings.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.me.hint.address.control;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.next_hello = Millis::ZERO;
    }

    /// Records that this VM has routes and targets. The next tick introduces it to all seeds.
    pub fn set_loaded(&mut self) {
        self.me.loaded = true;
        self.next_hello = Millis::ZERO;
    }

    /// Returns the hellos that are due. `alone` states whether no other VM of the data centre is
    /// known.
    pub fn tick(&mut self, now: Millis, alone: bool) -> Vec<(SocketAddr, DiscoveryMessage)> {
        self.known.retain(|_, (_, last_hello)| now.since(*last_hello) < KNOWN_VM_TIMEOUT);
        if now < self.next_hello {
            return Vec::new();
        }
        let first = self.started_at.is_none();
        let started_at = *self.started_at.get_or_insert(now);
        let starting = (!self.me.loaded || alone) && now.since(started_at) < STARTING_TIME;
        let period = match (starting, alone) {
            (true, _) => STARTING_HELLO_PERIOD,
            (false, true) => ISOLATED_HELLO_PERIOD,
            (false, false) => HELLO_PERIOD,
        };
        self.next_hello = now + period;
        let hello = DiscoveryMessage::Hello(self.me.clone());
        let introduced = std::mem::replace(&mut self.introduced_loaded, self.me.loaded);
        if !starting || first || introduced != self.me.loaded || self.seeds.is_empty() {
            return self.seeds.iter().map(|seed| (*seed, hello.clone())).collect();
        }
        self.single_hellos += 1;
        vec![(self.seeds[self.single_hellos % self.seeds.len()], hello)]
    }

    /// Records the sender of a hello and returns the response with its destination.
    pub fn on_hello(
        &mut self,
        now: Millis,
        introduction: Introduction,
    ) -> (SocketAddr, DiscoveryMessage) {
        let to = introduction.hint.address.control;
        let sender = introduction.hint.vm.clone();
        let response = self.known_to(&introduction);
        if self.known.len() < MAX_KNOWN || self.known.contains_key(&sender) {
            self.known.insert(sender, (introduction, now));
        }
        (to, DiscoveryMessage::Known(response))
    }

    /// Returns known VMs of the data centre of a hello's sender. A sender that is starting gets the
    /// largest VMs with routes and targets first; the others follow in rotation.
    fn known_to(&mut self, sender: &Introduction) -> Vec<Introduction> {
        let data_centre: &Name = &sender.hint.vm.data_centre;
        let others = self.known.values().map(|(introduction, _)| introduction).chain([&self.me]);
        let candidate = |other: &&Introduction| {
            other.hint.vm.data_centre == *data_centre && other.hint.vm != sender.hint.vm
        };
        let mut others: Vec<&Introduction> = others.filter(candidate).collect();
        self.rotation = self.rotation.wrapping_add(MAX_RESPONSE_VMS);
        let first = if others.is_empty() { 0 } else { self.rotation % others.len() };
        others.rotate_left(first);
        if !sender.loaded {
            // The sort is stable, so that VMs of one size take turns.
            others.sort_by_key(|other| Reverse((other.loaded, other.size)));
            let sources = others.iter().take(MAX_RESPONSE_SOURCES).filter(|other| other.loaded);
            let sources = sources.count();
            let rest = &mut others[sources..];
            let first = if rest.is_empty() { 0 } else { self.rotation % rest.len() };
            rest.rotate_left(first);
        }
        others.into_iter().take(MAX_RESPONSE_VMS).cloned().collect()
    }
}
