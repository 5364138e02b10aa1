//! Evidence that a target, or a whole data centre, does not answer.
//!
//! Clients repeat what is not acknowledged. A repeated packet alone proves little, because a busy target may
//! acknowledge a request only with its answer. It counts as evidence while nothing at all was heard from the
//! target since the packet was first forwarded, and evidence of several flows adds up. `docs/platform.md`,
//! "Silent targets", gives the weights and the false alarms that were measured.

use crate::time::Millis;

/// The evidence of a repeated opening. Targets acknowledge openings at once, whatever their load.
const OPENING: u32 = 2;
/// The evidence of a request's first repetition, which follows 200 ms after the request.
const FIRST_REPEAT: u32 = 1;
/// The evidence of each later repetition. They follow after 600 ms and 1,400 ms.
const LATER_REPEAT: u32 = 2;
/// The evidence from which new flows go elsewhere.
const SUSPECTED: u32 = 2;
/// The evidence from which open flows are given up: three flows, or one that repeated more than once and
/// another one.
const CERTAIN: u32 = 3;
/// The evidence, with nothing heard from any target of a data centre, from which all of them are suspected.
const CUT: u32 = 4;
/// A repetition counts only if it arrived at least this long after this VM forwarded the original. After a
/// pause of the process, or while it can't keep up, original and repetitions wait together and prove nothing.
const LEAST_WAIT: Millis = Millis(150);
/// An answer that arrives within this time after a packet was sent was under way before. Clients are up to
/// 3 ms away, targets a millisecond, and an acknowledgement may wait for a second packet.
const UNDER_WAY: Millis = Millis(25);
/// How long a suspected target gets no new flows before one is tried. Cuts last seconds; a target that is
/// gone leaves the list after 3.6 s.
const FIRST_AVOIDANCE: Millis = Millis(1_000);
/// The longest time between two trials, which bounds how late a target is noticed that is back.
const LONGEST_AVOIDANCE: Millis = Millis(4_000);

/// How long the outcome of a trial is awaited. Its opening is repeated after 200 ms and 600 ms; a trial whose
/// client went away has no outcome.
const TRIAL: Millis = Millis(1_000);

/// A packet that a client had to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repetition {
    /// An opening.
    Opening,
    /// A part of a request, for the given time, counted from 1.
    Request(u8),
}

impl Repetition {
    fn weight(self) -> u32 {
        match self {
            Repetition::Opening => OPENING,
            Repetition::Request(0 | 1) => FIRST_REPEAT,
            Repetition::Request(_) => LATER_REPEAT,
        }
    }
}

/// What new flows may do with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Trust {
    /// It answers, as far as is known.
    Trusted,
    /// It was silent for a while and may be tried with one flow.
    Trial,
    /// It is silent.
    Suspected,
}

/// What the flows through this VM say about one target or data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Silence {
    heard_at: Option<Millis>,
    evidence: u32,
    avoid_until: Millis,
    avoidance: Millis,
    /// Until when the outcome of a trial is awaited.
    trial_until: Millis,
}

impl Silence {
    /// Notes that a client acknowledged something that the target sent. Returns whether that ended a
    /// suspicion.
    pub(super) fn on_progress(&mut self, now: Millis) -> bool {
        let suspected = self.is_suspected();
        *self = Silence { heard_at: Some(now), ..Silence::default() };
        suspected
    }

    /// Tells whether there is enough evidence against the target.
    pub(super) fn is_suspected(&self) -> bool {
        self.evidence >= SUSPECTED
    }

    /// Notes a repetition of a packet that was first forwarded at `sent_at`. The repetition arrived after
    /// `drained_at`, when no packet was waiting. Returns whether the target became suspected.
    pub(super) fn on_repetition(
        &mut self,
        now: Millis,
        sent_at: Millis,
        drained_at: Millis,
        repetition: Repetition,
    ) -> bool {
        let answered = self.heard_at.is_some_and(|at| sent_at + UNDER_WAY <= at);
        if answered || drained_at.since(sent_at) < LEAST_WAIT {
            return false;
        }
        let before = self.evidence;
        self.evidence = self.evidence.saturating_add(repetition.weight());
        if !self.is_suspected() {
            return false;
        }
        if now >= self.avoid_until {
            let next = Millis((self.avoidance.get() * 2).min(LONGEST_AVOIDANCE.get()));
            self.avoidance = next.max(FIRST_AVOIDANCE);
            self.avoid_until = now + self.avoidance;
        }
        before < SUSPECTED
    }

    /// Notes that a new flow goes to the target although it was silent.
    pub(super) fn on_trial(&mut self, now: Millis) {
        self.trial_until = now + TRIAL;
    }

    /// Tells what new flows may do.
    pub(super) fn trust(&self, now: Millis) -> Trust {
        if !self.is_suspected() {
            Trust::Trusted
        } else if now < self.avoid_until.max(self.trial_until) {
            Trust::Suspected
        } else {
            Trust::Trial
        }
    }

    /// Tells whether open flows that wait for the target are lost.
    pub(super) fn is_certain(&self) -> bool {
        self.evidence >= CERTAIN
    }

    /// Tells whether the evidence suffices to suspect all targets of a data centre, of which some may not
    /// have been tried.
    pub(super) fn is_cut(&self) -> bool {
        self.evidence >= CUT
    }
}
