//! The addresses of peers, and the links to them.

use std::collections::{BTreeMap, BTreeSet};

use jasminecart_core::message::Outgoing;
use jasminecart_core::names::{Incarnation, VmId};
use jasminecart_core::process::{Members, PeerAddress, VmHint};
use jasminecart_peer::{LinkLimits, PeerCounters, PeerLinks};

/// The links to peers, with the addresses known from membership, the platform's list and the settings.
#[derive(Debug)]
pub(super) struct Peers {
    me: VmId,
    links: PeerLinks,
    seeds: BTreeMap<VmId, PeerAddress>,
    listed: BTreeMap<VmId, PeerAddress>,
    members: BTreeMap<VmId, PeerAddress>,
}

impl Peers {
    pub(super) fn new(me: VmId, incarnation: Incarnation, seeds: &[VmHint]) -> Peers {
        let links = PeerLinks::new(me.clone(), incarnation, LinkLimits::default());
        let seeds = seeds.iter().map(|seed| (seed.vm.clone(), seed.address)).collect();
        Peers { me, links, seeds, listed: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// Replaces the addresses from the platform's list, which may be older than those from membership.
    pub(super) fn set_listed(&mut self, list: &[VmHint]) {
        self.listed = list.iter().map(|hint| (hint.vm.clone(), hint.address)).collect();
        self.close_unknown_links();
    }

    /// Replaces the addresses from membership, including the VMs of other data centres in its summaries.
    pub(super) fn set_members(&mut self, members: &Members) {
        let peers = members.peers().chain(members.remote.iter());
        self.members = peers.map(|member| (member.vm.clone(), member.address)).collect();
        self.close_unknown_links();
    }

    /// Queues a message. An address from membership takes precedence over the platform's list and the
    /// settings, because it is newer.
    pub(super) fn send(&mut self, outgoing: Outgoing) {
        let to = &outgoing.to;
        let known = [&self.members, &self.listed, &self.seeds];
        let address = known.iter().find_map(|addresses| addresses.get(to));
        match address.filter(|_| *to != self.me) {
            Some(address) => {
                let control = address.control;
                self.links.send(to, control, outgoing.message);
            }
            None => self.links.drop_unroutable(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.links.is_idle()
    }

    pub(super) fn counters(&self) -> PeerCounters {
        self.links.counters()
    }

    fn close_unknown_links(&mut self) {
        let known = self.members.keys().chain(self.listed.keys()).chain(self.seeds.keys());
        let known: BTreeSet<VmId> = known.cloned().collect();
        self.links.retain(&known);
    }
}
