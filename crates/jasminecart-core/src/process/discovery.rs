//! Discovery of other VMs from the addresses of a few seeds, some of which may be down.
//!
//! Every VM sends a hello to the seeds. A VM that receives a hello records the sender and responds
//! with the VMs that it knows of the sender's data centre. The responses are hints for
//! [`super::Membership`], which determines which VMs are alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::VmHint;
use crate::names::{Name, VmId};
use crate::time::Millis;

/// The period of hellos until another VM of the data centre is known. All processes start within
/// 0.3 s.
const ISOLATED_HELLO_PERIOD: Millis = Millis(400);
/// The period of hellos afterwards. They keep the sender known to seeds that restart.
const HELLO_PERIOD: Millis = Millis(3_000);
/// How long a VM stays known after its last hello: four periods of [`HELLO_PERIOD`].
const KNOWN_VM_TIMEOUT: Millis = Millis(12_000);
/// Upper bound on the known VMs. The two-year target is 630 VMs.
const MAX_KNOWN: usize = 1_024;
/// Upper bound on the VMs in one response, which has to fit in a datagram. Gossip spreads the rest.
const MAX_RESPONSE_VMS: usize = 8;

/// A message between a VM and a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiscoveryMessage {
    /// The sender introduces itself.
    Hello(VmHint),
    /// The response: VMs of the data centre of the hello's sender.
    Known(Vec<VmHint>),
}

/// The discovery state of one VM, which both searches for other VMs and responds to their hellos.
#[derive(Debug)]
pub struct Discovery {
    me: VmHint,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<VmId, (VmHint, Millis)>,
    next_hello: Millis,
    /// Rotates the responses, so that successive ones cover a large data centre.
    rotation: usize,
}

impl Discovery {
    /// Creates the discovery state of one VM. `me` holds the addresses by which other VMs reach it.
    pub fn new(me: VmHint, seeds: impl IntoIterator<Item = SocketAddr>) -> Discovery {
        let mut discovery = Discovery {
            me,
            seeds: Vec::new(),
            known: BTreeMap::new(),
            next_hello: Millis::ZERO,
            rotation: 0,
        };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Replaces the addresses of the seeds, as after a reload of the settings.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.me.address.control;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.next_hello = Millis::ZERO;
    }

    /// Returns the hellos that are due. `alone` states whether no other VM of the data centre is
    /// known.
    pub fn tick(&mut self, now: Millis, alone: bool) -> Vec<(SocketAddr, DiscoveryMessage)> {
        self.known.retain(|_, (_, last_hello)| now.since(*last_hello) < KNOWN_VM_TIMEOUT);
        if now < self.next_hello {
            return Vec::new();
        }
        self.next_hello = now + if alone { ISOLATED_HELLO_PERIOD } else { HELLO_PERIOD };
        let hello = DiscoveryMessage::Hello(self.me.clone());
        self.seeds.iter().map(|seed| (*seed, hello.clone())).collect()
    }

    /// Records the sender of a hello and returns the response with its destination.
    pub fn on_hello(&mut self, now: Millis, hint: VmHint) -> (SocketAddr, DiscoveryMessage) {
        let to = hint.address.control;
        let data_centre = hint.vm.data_centre.clone();
        let sender = hint.vm.clone();
        if self.known.len() < MAX_KNOWN || self.known.contains_key(&sender) {
            self.known.insert(sender.clone(), (hint, now));
        }
        let response = DiscoveryMessage::Known(self.known_in(&data_centre, &sender));
        (to, response)
    }

    /// Returns the VMs of this data centre that sent a hello, as hints for membership.
    pub fn hints(&self) -> Vec<VmHint> {
        let local = |hint: &&VmHint| hint.vm.data_centre == self.me.vm.data_centre;
        self.known.values().map(|(hint, _)| hint).filter(local).cloned().collect()
    }

    /// Returns known VMs of a data centre other than `sender`, in rotation.
    fn known_in(&mut self, data_centre: &Name, sender: &VmId) -> Vec<VmHint> {
        let others = self.known.values().map(|(hint, _)| hint).chain([&self.me]);
        let candidate = |hint: &&VmHint| hint.vm.data_centre == *data_centre && hint.vm != *sender;
        let vms: Vec<&VmHint> = others.filter(candidate).collect();
        self.rotation = self.rotation.wrapping_add(MAX_RESPONSE_VMS);
        let first = if vms.is_empty() { 0 } else { self.rotation % vms.len() };
        vms.iter()
            .cycle()
            .skip(first)
            .take(MAX_RESPONSE_VMS.min(vms.len()))
            .copied()
            .cloned()
            .collect()
    }
}
