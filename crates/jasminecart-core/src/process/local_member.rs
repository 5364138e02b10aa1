//! This VM as a member: its declared state, incarnation and counter.

use super::limits::MemberLimits;
use super::members::PeerAddress;
use super::wire::{Claim, DeclaredState, Head, Update};
use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// This VM and the inputs of its declared state.
#[derive(Debug)]
pub(super) struct LocalMember {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) address: PeerAddress,
    pub(super) size: u32,
    pub(super) revision: Revision,
    /// Grows with each change of the declared state and each refutation.
    counter: u32,
    stated: DeclaredState,
    ready: bool,
    leaving: bool,
    held_down_until: Millis,
    refuted_deaths: Vec<Millis>,
}

impl LocalMember {
    pub(super) fn new(vm: VmId, incarnation: Incarnation, address: PeerAddress) -> LocalMember {
        LocalMember {
            vm,
            incarnation,
            address,
            size: 1,
            revision: Revision(0),
            counter: 0,
            stated: DeclaredState::Joining,
            ready: false,
            leaving: false,
            held_down_until: Millis::ZERO,
            refuted_deaths: Vec::new(),
        }
    }

    pub(super) fn declared_state(&self) -> DeclaredState {
        self.stated
    }

    pub(super) fn head(&self) -> Head {
        let (incarnation, counter) = (self.incarnation, self.counter);
        Head { incarnation, counter, stated: self.stated, revision: self.revision }
    }

    pub(super) fn state_update(&self) -> Update {
        let (stated, size) = (self.stated, self.size);
        let (address, revision) = (self.address, self.revision);
        self.update(Claim::State { stated, size, address, revision })
    }

    pub(super) fn update(&self, claim: Claim) -> Update {
        let (incarnation, counter) = (self.incarnation, self.counter);
        Update { data_centre: None, name: self.vm.name.clone(), incarnation, counter, claim }
    }

    pub(super) fn set_ready(&mut self) {
        self.ready = true;
    }

    pub(super) fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Holds this VM down because other members saw it flap.
    pub(super) fn hold_down(&mut self, now: Millis, duration: Millis, limits: &MemberLimits) {
        self.held_down_until = self.held_down_until.max(now + duration.min(limits.hold_down_max));
    }

    /// Recomputes the declared state. Returns whether it changed and has to be announced.
    pub(super) fn update_declared_state(&mut self, now: Millis) -> bool {
        let stated = if self.leaving {
            DeclaredState::Leaving
        } else if !self.ready {
            DeclaredState::Joining
        } else if now < self.held_down_until {
            DeclaredState::Held
        } else {
            DeclaredState::Active
        };
        let changed = stated != self.stated;
        if changed {
            self.stated = stated;
            self.counter = self.counter.saturating_add(1);
        }
        changed
    }

    /// Refutes a suspicion or death reported about this VM by exceeding its counter. Returns false
    /// if the report is outdated.
    pub(super) fn refute(&mut self, now: Millis, update: &Update, limits: &MemberLimits) -> bool {
        let current = update.incarnation == self.incarnation && update.counter >= self.counter;
        if !current || update.counter == u32::MAX {
            return false;
        }
        self.counter = update.counter + 1;
        if update.claim == Claim::Dead {
            self.refuted_deaths.retain(|at| now.since(*at) < limits.flap_window);
            self.refuted_deaths.push(now);
            self.hold_down(now, limits.hold_down(self.refuted_deaths.len()), limits);
        }
        true
    }
}
