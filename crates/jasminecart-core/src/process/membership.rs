//! Membership of a data centre.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::members::{Member, MemberState, Members, PeerAddress, VmHint};
use crate::message::Outgoing;
use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// Bounds and periods of membership.
#[derive(Clone, Debug)]
pub struct MemberLimits {
    /// The period of probes.
    pub probe_period: Millis,
}

impl Default for MemberLimits {
    fn default() -> Self {
        MemberLimits { probe_period: Millis(500) }
    }
}

/// A message of membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// States that the sender is alive, with what it knows of itself.
    Heartbeat(Member),
}

/// What the caller of [`Membership`] has to do or to note.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of members changed; other modules need the new one.
    Changed(Members),
    /// A message has to be sent.
    Message(Outgoing),
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberCounters {
    /// Messages received.
    pub received: u64,
}

/// Tracks which entry VMs of the data centre are alive.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    limits: MemberLimits,
    known: BTreeMap<VmId, Member>,
    members: Members,
    last_probe: Millis,
    counters: MemberCounters,
}

impl Membership {
    /// Creates the membership of one process. `address` is how other VMs reach it.
    pub fn new(
        me: VmId,
        incarnation: Incarnation,
        address: PeerAddress,
        _seed: u64,
        limits: MemberLimits,
    ) -> Membership {
        let me = Member {
            vm: me,
            incarnation,
            state: MemberState::Active,
            size: 1,
            address,
            revision: Revision(0),
            heard_at: Millis::ZERO,
        };
        let members = Members::new(me.vm.clone(), [me.clone()]);
        let counters = MemberCounters::default();
        Membership {
            me,
            limits,
            known: BTreeMap::new(),
            members,
            last_probe: Millis::ZERO,
            counters,
        }
    }

    /// Sets the capacity of this VM relative to the others.
    pub fn with_size(mut self, size: u32) -> Membership {
        self.me.size = size;
        self
    }

    /// Adds VMs to contact before any list was received.
    pub fn with_seeds(mut self, seeds: impl IntoIterator<Item = VmHint>) -> Membership {
        for hint in seeds {
            self.add_hint(&hint);
        }
        self
    }

    /// Sets the document revision that this VM reports to its peers.
    pub fn set_revision(&mut self, revision: Revision) {
        self.me.revision = revision;
    }

    /// Takes a message from a peer.
    pub fn on_message(&mut self, now: Millis, _from: &VmId, message: MemberMessage) -> Vec<Event> {
        self.counters.received += 1;
        let MemberMessage::Heartbeat(mut member) = message;
        member.heard_at = now;
        self.known.insert(member.vm.clone(), member);
        self.publish()
    }

    /// Takes the platform's list of VMs, which is only a hint.
    pub fn on_vm_list(&mut self, _now: Millis, list: &[VmHint]) -> Vec<Event> {
        for hint in list {
            self.add_hint(hint);
        }
        self.publish()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Event> {
        if now.since(self.last_probe) < self.limits.probe_period {
            return Vec::new();
        }
        self.last_probe = now;
        let peers = self.members.peers().map(|peer| peer.vm.clone());
        let heartbeat = MemberMessage::Heartbeat(self.me.clone());
        peers.map(|vm| Event::Message(Outgoing::new(vm, heartbeat.clone()))).collect()
    }

    /// Announces a planned stop.
    pub fn leave(&mut self, _now: Millis) -> Vec<Event> {
        self.me.state = MemberState::Leaving;
        self.publish()
    }

    /// Returns the members as known now.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the counts for metrics.
    pub fn counters(&self) -> &MemberCounters {
        &self.counters
    }

    fn add_hint(&mut self, hint: &VmHint) {
        if hint.vm == self.me.vm || hint.vm.data_centre != self.me.vm.data_centre {
            return;
        }
        self.known.entry(hint.vm.clone()).or_insert_with(|| Member {
            vm: hint.vm.clone(),
            incarnation: Incarnation(0),
            state: MemberState::Active,
            size: 1,
            address: hint.address,
            revision: Revision(0),
            heard_at: Millis::ZERO,
        });
    }

    fn publish(&mut self) -> Vec<Event> {
        let mut list: Vec<Member> = self.known.values().cloned().collect();
        list.push(self.me.clone());
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.members = Members::new(self.me.vm.clone(), list);
        vec![Event::Changed(self.members.clone())]
    }
}
