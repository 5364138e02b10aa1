//! Detection of targets, and of whole data centres, that do not respond.
//!
//! Clients retransmit what is not acknowledged. A retransmission alone proves little, because a busy target may
//! acknowledge a request only with its response. It counts as evidence if the target responded to no client at
//! all since the packet was first forwarded, and the evidence of several flows adds up. `docs/platform.md`,
//! "Silent targets", gives the weights and the measured rate of false positives.

use crate::time::Millis;

/// The weight of a retransmitted opening. Targets acknowledge openings at once, whatever their load.
const OPENING_WEIGHT: u32 = 2;
/// The weight of the first retransmission of a request, which follows after 200 ms.
const FIRST_RETRANSMISSION_WEIGHT: u32 = 1;
/// The weight of each later retransmission. They follow after 600 ms and 1,400 ms.
const LATER_RETRANSMISSION_WEIGHT: u32 = 2;
/// The evidence at which a target is suspected, and new flows go elsewhere.
const SUSPICION_THRESHOLD: u32 = 2;
/// The evidence at which the silence is confirmed, and open flows are reset: three flows that
/// retransmitted part of a request once, or one that did so twice.
const CONFIRMATION_THRESHOLD: u32 = 3;
/// The evidence at which all targets of a data centre are suspected, if none of them responded meanwhile.
const PARTITION_THRESHOLD: u32 = 4;
/// A retransmission counts only if it arrived at least this long after this VM forwarded the original. After a
/// pause or under overload of the process, both wait in the receive queue together and prove nothing.
const MIN_RETRANSMISSION_GAP: Millis = Millis(150);
/// A response that arrives within this time after a packet was sent may have been in flight before. Clients are
/// up to 3 ms away, targets 1 ms, and an acknowledgement may be delayed until a second packet.
const IN_FLIGHT_MARGIN: Millis = Millis(25);
/// How long a suspected target gets no new flows before the first probe flow. Partitions last seconds; a target
/// that died leaves the list after 3.6 s.
const MIN_AVOIDANCE: Millis = Millis(1_000);
/// The maximum time between two probe flows, which bounds how long a recovered target goes unnoticed.
const MAX_AVOIDANCE: Millis = Millis(4_000);

/// How long to wait for the outcome of a probe flow. Its opening is retransmitted after 200 ms and 600 ms; a
/// probe flow whose client went away has no outcome.
const PROBE_TIMEOUT: Millis = Millis(1_000);

/// A packet that a client retransmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retransmission {
    /// An opening.
    Opening,
    /// A part of a request, with the number of the retransmission, counted from 1.
    Request(u8),
}

impl Retransmission {
    fn weight(self) -> u32 {
        match self {
            Retransmission::Opening => OPENING_WEIGHT,
            Retransmission::Request(0 | 1) => FIRST_RETRANSMISSION_WEIGHT,
            Retransmission::Request(_) => LATER_RETRANSMISSION_WEIGHT,
        }
    }
}

/// Whether a target may get new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    /// It is not suspected of being silent.
    Eligible,
    /// It was silent and avoided for a while, and may get one probe flow.
    ProbeOnly,
    /// It is suspected of being silent, and gets no flows.
    Suspected,
}

/// Detects the silence of one target or data centre from the flows through this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceDetector {
    last_contact_at: Option<Millis>,
    evidence: u32,
    avoid_until: Millis,
    avoidance: Millis,
    /// Until when the outcome of a probe flow is awaited.
    probe_until: Millis,
}

impl SilenceDetector {
    /// Records that a client acknowledged something that the target sent. Returns whether that cleared a
    /// suspicion.
    pub(super) fn on_progress(&mut self, now: Millis) -> bool {
        let suspected = self.is_suspected();
        *self = SilenceDetector { last_contact_at: Some(now), ..SilenceDetector::default() };
        suspected
    }

    /// Returns whether there is enough evidence to send new flows elsewhere.
    pub(super) fn is_suspected(&self) -> bool {
        self.evidence >= SUSPICION_THRESHOLD
    }

    /// Records a retransmission of a packet that was first forwarded at `sent_at`. It arrived after
    /// `queue_empty_at`, when the receive queue was empty. Returns whether the target became suspected.
    pub(super) fn on_retransmission(
        &mut self,
        now: Millis,
        sent_at: Millis,
        queue_empty_at: Millis,
        retransmission: Retransmission,
    ) -> bool {
        let responded = self.last_contact_at.is_some_and(|at| sent_at + IN_FLIGHT_MARGIN <= at);
        if responded || queue_empty_at.since(sent_at) < MIN_RETRANSMISSION_GAP {
            return false;
        }
        let before = self.evidence;
        self.evidence = self.evidence.saturating_add(retransmission.weight());
        if !self.is_suspected() {
            return false;
        }
        if now >= self.avoid_until {
            let next = Millis((self.avoidance.get() * 2).min(MAX_AVOIDANCE.get()));
            self.avoidance = next.max(MIN_AVOIDANCE);
            self.avoid_until = now + self.avoidance;
        }
        before < SUSPICION_THRESHOLD
    }

    /// Records that a probe flow goes to the target.
    pub(super) fn on_probe(&mut self, now: Millis) {
        self.probe_until = now + PROBE_TIMEOUT;
    }

    /// Returns whether the target may get new flows.
    pub(super) fn eligibility(&self, now: Millis) -> Eligibility {
        if !self.is_suspected() {
            Eligibility::Eligible
        } else if now < self.avoid_until.max(self.probe_until) {
            Eligibility::Suspected
        } else {
            Eligibility::ProbeOnly
        }
    }

    /// Returns the time after which a suspected target may get a probe flow.
    pub(super) fn probe_in(&self, now: Millis) -> Millis {
        self.avoid_until.max(self.probe_until) - now
    }

    /// Returns when a client last acknowledged something that the target sent.
    pub(super) fn last_contact_at(&self) -> Option<Millis> {
        self.last_contact_at
    }

    /// Returns whether there is enough evidence to reset open flows that wait for the target.
    pub(super) fn is_confirmed(&self) -> bool {
        self.evidence >= CONFIRMATION_THRESHOLD
    }

    /// Returns whether there is enough evidence to suspect all targets of a data centre, including those that
    /// got no packets.
    pub(super) fn is_partitioned(&self) -> bool {
        self.evidence >= PARTITION_THRESHOLD
    }
}
