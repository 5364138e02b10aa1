//! How VMs find each other when all that they know is the addresses of a few that may be down.
//!
//! Every VM says hello to the seeds. A VM that receives a hello remembers the sender and answers with the
//! VMs of the sender's data centre that it knows. The answers are hints for [`super::Membership`], which
//! finds out who is alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::VmHint;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// The period of hellos until a VM of the own data centre is known. Everything starts within 0.3 s.
const EAGER_PERIOD: Millis = Millis(400);
/// The period of hellos afterwards. They keep the sender known at the seeds, which may restart.
const CALM_PERIOD: Millis = Millis(3_000);
/// How long a VM is remembered after its last hello: four hellos.
const KEPT: Millis = Millis(12_000);
/// The most VMs remembered, above the two-year size of 630.
const MAX_KNOWN: usize = 1_024;
/// The most VMs in one answer, which has to fit a datagram. Gossip spreads the rest.
const MAX_ANSWER: usize = 8;

/// A message between a VM and a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiscoveryMessage {
    /// The sender introduces itself.
    Hello(VmHint),
    /// The answer: VMs of the data centre of the one who said hello.
    Known(Vec<VmHint>),
}

/// What a VM does to find others and to help others find each other.
#[derive(Debug)]
pub struct Discovery {
    me: VmHint,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<VmId, (VmHint, Millis)>,
    hello_at: Millis,
    /// Rotates the answers, so that a large data centre is told in turns.
    turn: usize,
}

impl Discovery {
    /// Creates the discovery of one VM, which other VMs reach as `me` says.
    pub fn new(me: VmHint, seeds: impl IntoIterator<Item = SocketAddr>) -> Discovery {
        let mut discovery = Discovery {
            me,
            seeds: Vec::new(),
            known: BTreeMap::new(),
            hello_at: Millis::ZERO,
            turn: 0,
        };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Takes the addresses of the seeds from new settings.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.me.address.control;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.hello_at = Millis::ZERO;
    }

    /// Returns the hellos that are due. `alone` tells that no other VM of the data centre is known.
    pub fn tick(&mut self, now: Millis, alone: bool) -> Vec<(SocketAddr, DiscoveryMessage)> {
        self.known.retain(|_, (_, heard_at)| now.since(*heard_at) < KEPT);
        if now < self.hello_at {
            return Vec::new();
        }
        self.hello_at = now + if alone { EAGER_PERIOD } else { CALM_PERIOD };
        let hello = DiscoveryMessage::Hello(self.me.clone());
        self.seeds.iter().map(|seed| (*seed, hello.clone())).collect()
    }

    /// Takes a hello and returns the answer to its sender.
    pub fn on_hello(&mut self, now: Millis, hint: VmHint) -> (SocketAddr, DiscoveryMessage) {
        let to = hint.address.control;
        let data_centre = hint.vm.data_centre.clone();
        let asker = hint.vm.clone();
        if self.known.len() < MAX_KNOWN || self.known.contains_key(&asker) {
            self.known.insert(asker.clone(), (hint, now));
        }
        let answer = DiscoveryMessage::Known(self.near(&data_centre, &asker));
        (to, answer)
    }

    /// Returns the VMs of this VM's data centre that said hello, as hints for membership.
    pub fn hints(&self) -> Vec<VmHint> {
        let near = |hint: &&VmHint| hint.vm.data_centre == self.me.vm.data_centre;
        self.known.values().map(|(hint, _)| hint).filter(near).cloned().collect()
    }

    fn near(&mut self, data_centre: &Name, asker: &VmId) -> Vec<VmHint> {
        let others = self.known.values().map(|(hint, _)| hint).chain([&self.me]);
        let near = |hint: &&VmHint| hint.vm.data_centre == *data_centre && hint.vm != *asker;
        let near: Vec<&VmHint> = others.filter(near).collect();
        self.turn = self.turn.wrapping_add(MAX_ANSWER);
        let first = if near.is_empty() { 0 } else { self.turn % near.len() };
        near.iter().cycle().skip(first).take(MAX_ANSWER.min(near.len())).copied().cloned().collect()
    }
}
