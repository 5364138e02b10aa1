//! Log lines about decisions and changes of belief.

use jasminecart_core::flow::token::{
    ClientSegment, CompletedRequest, Decision, DropCause, FlowId, ResetCause, SuspicionChange,
};
use jasminecart_core::names::Name;
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Effect, Revision};
use log::{debug, info};

use crate::edges::SegmentError;
use crate::keys::SealError;
use crate::metrics::Metrics;

/// The most lines about packets in a second. Today's busiest VM opens about 100 flows a second.
const LINES_PER_SECOND: u32 = 150;
const SECOND: Millis = Millis(1_000);

/// Writes events, and bounds the volume of those that packets cause.
#[derive(Debug, Default)]
pub(crate) struct Events {
    window: Millis,
    lines: u32,
    suppressed: u64,
}

impl Events {
    /// Tells whether one more line about a packet fits, and reports what did not fit before.
    fn admit(&mut self, now: Millis, metrics: &Metrics) -> bool {
        if now.since(self.window) >= SECOND {
            if self.suppressed > 0 {
                let suppressed = self.suppressed;
                info!(event = "lines-suppressed", suppressed = suppressed; "the log volume is bounded");
            }
            (self.window, self.lines, self.suppressed) = (now, 0, 0);
        }
        if self.lines < LINES_PER_SECOND {
            self.lines += 1;
            return true;
        }
        self.suppressed += 1;
        metrics.log_lines_suppressed.inc();
        false
    }

    pub(crate) fn opened(
        &mut self,
        now: Millis,
        metrics: &Metrics,
        segment: &ClientSegment,
        decision: &Decision,
        beliefs: Beliefs,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        let instead_of = decision.instead_of.as_ref().map_or("", Name::as_str);
        let load = decision.choice.load;
        info!(
            event = "flow-opened", flow = flow(&segment.flow).as_str(),
            route = decision.route.as_str(), target = decision.target.as_str(),
            instead_of = instead_of, busy = load.active_requests, flows = load.flows,
            cost_percent = (load.cost * 100.0) as u64, candidates = decision.choice.candidates,
            all_suspect = decision.choice.all_suspect, version = decision.version,
            age_ms = beliefs.age.get(), revision = beliefs.revision.0;
            "a flow got a target"
        );
    }

    pub(crate) fn reset(
        &mut self,
        now: Millis,
        metrics: &Metrics,
        segment: &ClientSegment,
        cause: ResetCause,
        beliefs: Beliefs,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        info!(
            event = "flow-reset", flow = flow(&segment.flow).as_str(), cause = reset_label(cause),
            token = segment.token.map_or(0, |token| token.get()),
            age_ms = beliefs.age.get(), revision = beliefs.revision.0;
            "a flow was reset"
        );
    }

    pub(crate) fn dropped(
        &mut self,
        now: Millis,
        metrics: &Metrics,
        segment: &ClientSegment,
        cause: DropCause,
        beliefs: Beliefs,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        info!(
            event = "packet-dropped", flow = flow(&segment.flow).as_str(),
            cause = drop_label(cause), token = segment.token.map_or(0, |token| token.get()),
            age_ms = beliefs.age.get(), revision = beliefs.revision.0;
            "a packet was dropped"
        );
    }
}

/// Reports an answered request at the level for debugging, because there is one for each request.
pub(crate) fn answered(segment: &ClientSegment, answered: &CompletedRequest) {
    debug!(
        event = "request-answered", flow = flow(&segment.flow).as_str(),
        route = answered.route.as_str(), target = answered.target.as_str(),
        latency_ms = answered.latency.get(), opened = answered.opened,
        bytes = answered.bytes, refused = answered.refused;
        "a request was answered"
    );
}

/// Reports that a target is suspected of not answering, or answers again. Avoidance of 1 s and more bounds
/// the volume to one line a second and target.
pub(crate) fn believed(belief: &SuspicionChange, beliefs: Beliefs) {
    let change = if belief.suspected { "suspected" } else { "answers-again" };
    info!(
        event = "target-silence", target = belief.target.as_str(), change = change,
        revision = beliefs.revision.0, age_ms = beliefs.age.get();
        "a target's silence changed"
    );
}

/// What the VM believed when it decided: how old and of which revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beliefs {
    pub(crate) age: Millis,
    pub(crate) revision: Revision,
}

/// Reports a change of one target.
pub(crate) fn target_changed(name: &Name, effect: Effect, revision: Revision, source: &str) {
    let change = match effect {
        Effect::Added => "added",
        Effect::Changed => "changed",
        Effect::Restarted => "restarted",
        Effect::Removed => "removed",
        Effect::Ignored => return,
    };
    info!(
        event = "target-changed", target = name.as_str(), change = change, revision = revision.0,
        source = source; "a target changed"
    );
}

pub(crate) fn flow(flow: &FlowId) -> String {
    format!("{}>{}", flow.client, flow.service)
}

pub(crate) fn reset_label(cause: ResetCause) -> &'static str {
    match cause {
        ResetCause::NoRoute => "no-route",
        ResetCause::NoTarget => "no-target",
        ResetCause::TargetGone => "target-gone",
        ResetCause::TargetSilent => "target-silent",
    }
}

pub(crate) fn drop_label(cause: DropCause) -> &'static str {
    match cause {
        DropCause::NotReady => "not-ready",
        DropCause::NoTargetYet => "no-target-yet",
        DropCause::UnknownToken => "unknown-token",
        DropCause::NoToken => "no-token",
        DropCause::ForeignToken => "foreign-token",
    }
}

pub(crate) fn seal_label(cause: SealError) -> &'static str {
    match cause {
        SealError::Short => "short",
        SealError::Unsigned => "unsigned",
        SealError::UnknownKey => "unknown-key",
        SealError::WrongTag => "wrong-tag",
    }
}

pub(crate) fn malformed_label(cause: SegmentError) -> &'static str {
    match cause {
        SegmentError::Short => "short",
        SegmentError::Long => "long",
        SegmentError::FromTarget => "from-target",
        SegmentError::Flags => "flags",
    }
}
