//! What the token router knows of one target besides its record.

use std::net::SocketAddrV4;

use super::refusal::Refusals;
use super::routing_token::RoutingToken;
use super::silence::{Silence, Trust};
use super::slowness::Slowness;
use super::verdict::Destination;
use crate::names::Name;
use crate::time::Millis;
use crate::version::TargetEntry;

/// A target as the router uses it for every packet.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) name: Name,
    pub(super) service: Name,
    pub(super) data_centre: Name,
    /// The place of its data centre in the router's table of their silence.
    pub(super) place: usize,
    pub(super) token: RoutingToken,
    pub(super) label: u64,
    pub(super) address: SocketAddrV4,
    pub(super) slots: u32,
    /// Whether new flows may go to it.
    pub(super) takes_flows: bool,
    /// Whether another target has the same token. Such a target gets no new flows.
    pub(super) ambiguous: bool,
    /// From when packets of its flows are answered with a reset.
    pub(super) gone_at: Millis,
    /// Until when it runs slowly after its start.
    pub(super) cold_until: Millis,
    /// Open flows seen by this VM.
    pub(super) flows: u32,
    /// Requests in progress seen by this VM.
    pub(super) busy: u32,
    pub(super) silence: Silence,
    /// What new flows may do with it, by its own silence and that of its data centre. Kept here because
    /// every opening asks it of every target.
    pub(super) trust: Trust,
    pub(super) slowness: Slowness,
    pub(super) refusals: Refusals,
}

impl TargetState {
    pub(super) fn new(now: Millis, listed: &TargetEntry, place: usize) -> TargetState {
        let record = &listed.record;
        TargetState {
            name: record.name.clone(),
            service: record.service.clone(),
            data_centre: record.data_centre.clone(),
            place,
            token: RoutingToken::of(&record.name),
            label: record.label,
            address: record.address,
            slots: record.slots,
            takes_flows: listed.accepts_flows(),
            ambiguous: false,
            gone_at: listed.delivery_ends_at(),
            cold_until: now + listed.warmup_left(now),
            flows: 0,
            busy: 0,
            silence: Silence::default(),
            trust: Trust::Trusted,
            slowness: Slowness::default(),
            refusals: Refusals::default(),
        }
    }

    /// Returns where packets of its flows go.
    pub(super) fn destination(&self) -> Destination {
        Destination { address: self.address, label: self.label, token: self.token }
    }

    /// Takes over whether another target has the same token.
    pub(super) fn with_ambiguity(mut self, earlier: &TargetState) -> TargetState {
        self.ambiguous = earlier.ambiguous;
        self
    }

    /// Takes over what was observed under an earlier record of the same incarnation.
    pub(super) fn with_observations(mut self, earlier: &TargetState) -> TargetState {
        self.flows = earlier.flows;
        self.busy = earlier.busy;
        self.silence = earlier.silence.clone();
        self.slowness = earlier.slowness;
        self.refusals = earlier.refusals;
        self
    }
}
