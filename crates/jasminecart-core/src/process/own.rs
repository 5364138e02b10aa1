//! What this VM states of itself.

use super::limits::MemberLimits;
use super::members::PeerAddress;
use super::wire::{Claim, Head, Stated, Update};
use crate::names::{Incarnation, VmId};
use crate::time::Millis;
use crate::version::Revision;

/// The statement of this VM, with its reasons.
#[derive(Debug)]
pub(super) struct Own {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
    pub(super) address: PeerAddress,
    pub(super) size: u32,
    pub(super) revision: Revision,
    counter: u32,
    stated: Stated,
    ready: bool,
    leaving: bool,
    held_until: Millis,
    refuted_deaths: Vec<Millis>,
}

impl Own {
    pub(super) fn new(vm: VmId, incarnation: Incarnation, address: PeerAddress) -> Own {
        Own {
            vm,
            incarnation,
            address,
            size: 1,
            revision: Revision(0),
            counter: 0,
            stated: Stated::Joining,
            ready: false,
            leaving: false,
            held_until: Millis::ZERO,
            refuted_deaths: Vec::new(),
        }
    }

    pub(super) fn stated(&self) -> Stated {
        self.stated
    }

    pub(super) fn head(&self) -> Head {
        let (incarnation, counter) = (self.incarnation, self.counter);
        Head { incarnation, counter, stated: self.stated, revision: self.revision }
    }

    pub(super) fn statement(&self) -> Update {
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

    /// Delays eligibility because other members saw this VM flap.
    pub(super) fn hold(&mut self, now: Millis, span: Millis, limits: &MemberLimits) {
        self.held_until = self.held_until.max(now + span.min(limits.hold_max));
    }

    /// Brings the statement up to date. Returns whether it changed and has to be spread.
    pub(super) fn refresh(&mut self, now: Millis) -> bool {
        let stated = if self.leaving {
            Stated::Leaving
        } else if !self.ready {
            Stated::Joining
        } else if now < self.held_until {
            Stated::Held
        } else {
            Stated::Active
        };
        let changed = stated != self.stated;
        if changed {
            self.stated = stated;
            self.counter = self.counter.saturating_add(1);
        }
        changed
    }

    /// Answers a claim about this VM with a later statement. Returns false when the claim is outdated.
    pub(super) fn refute(&mut self, now: Millis, update: &Update, limits: &MemberLimits) -> bool {
        let current = update.incarnation == self.incarnation && update.counter >= self.counter;
        if !current || update.counter == u32::MAX {
            return false;
        }
        self.counter = update.counter + 1;
        if update.claim == Claim::Dead {
            self.refuted_deaths.retain(|at| now.since(*at) < limits.flap_window);
            self.refuted_deaths.push(now);
            self.hold(now, limits.hold(self.refuted_deaths.len()), limits);
        }
        true
    }
}
