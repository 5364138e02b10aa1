//! The token router's state of each target.

use std::net::SocketAddrV4;

use super::cold_targets::ColdState;
use super::refusal::Refusals;
use super::relative_latency::RelativeLatency;
use super::routing_token::{RoutingToken, TargetKey};
use super::silence::{Eligibility, SilenceDetector};
use super::verdict::Destination;
use crate::names::Name;
use crate::time::Millis;
use crate::version::TargetEntry;

/// A target's record and what this VM observed of it, in the form that routing a packet needs.
#[derive(Clone, Debug)]
pub(super) struct ObservedTarget {
    pub(super) name: Name,
    pub(super) service: Name,
    pub(super) data_centre: Name,
    /// The index of its data centre in the router's `data_centres`.
    pub(super) data_centre_index: usize,
    pub(super) key: TargetKey,
    pub(super) label: u64,
    pub(super) address: SocketAddrV4,
    pub(super) slots: u32,
    /// Whether it accepts new flows.
    pub(super) accepts_flows: bool,
    /// When the router starts to reset its flows.
    pub(super) delivery_ends_at: Millis,
    /// The end of its warm-up.
    pub(super) warm_up_until: Millis,
    /// The limit on new flows while it is cold. Cached here like `eligibility`.
    pub(super) cold: ColdState,
    /// Open flows tracked by this VM.
    pub(super) flows: u32,
    /// Requests in progress on these flows.
    pub(super) active_requests: u32,
    pub(super) silence: SilenceDetector,
    /// Whether new flows may go to it, by its own silence and that of its data centre. Cached here because
    /// every opening reads it for every target.
    pub(super) eligibility: Eligibility,
    pub(super) relative_latency: RelativeLatency,
    pub(super) refusals: Refusals,
}

impl ObservedTarget {
    pub(super) fn new(
        now: Millis,
        listed: &TargetEntry,
        data_centre_index: usize,
    ) -> ObservedTarget {
        let record = &listed.record;
        ObservedTarget {
            name: record.name.clone(),
            service: record.service.clone(),
            data_centre: record.data_centre.clone(),
            data_centre_index,
            key: TargetKey::of(&record.name),
            label: record.label,
            address: record.address,
            slots: record.slots,
            accepts_flows: listed.accepts_flows(),
            delivery_ends_at: listed.delivery_ends_at(),
            warm_up_until: now + listed.warmup_left(now),
            cold: ColdState::default(),
            flows: 0,
            active_requests: 0,
            silence: SilenceDetector::default(),
            eligibility: Eligibility::Eligible,
            relative_latency: RelativeLatency::default(),
            refusals: Refusals::default(),
        }
    }

    pub(super) fn destination(&self, token: RoutingToken) -> Destination {
        Destination { address: self.address, label: self.label, token }
    }

    /// Copies the observations from an earlier state of the same incarnation.
    pub(super) fn with_observations(mut self, earlier: &ObservedTarget) -> ObservedTarget {
        self.flows = earlier.flows;
        self.active_requests = earlier.active_requests;
        self.silence = earlier.silence.clone();
        self.relative_latency = earlier.relative_latency;
        self.refusals = earlier.refusals;
        self
    }
}
