//! Log lines about routing decisions and changes of targets.

use jasminecart_core::flow::token::{
    ClientSegment, ColdSummary, CompletedRequest, Decision, DropCause, FlowId, OverloadChange,
    ResetCause, SecondCopyEvent, SecondCopyRefusal, SuspicionChange,
};
use jasminecart_core::names::Name;
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Effect, Evacuation, EvacuationEffect, Routes, StoreRevision};
use log::{debug, info, warn};

use crate::edges::{SegmentError, Snapshot};
use crate::keys::VerifyError;
use crate::metrics::{Metrics, ResultLabel};

/// The maximum number of lines about packets per second. The busiest VM opens about 100 flows a second.
const MAX_LINES_PER_SECOND: u32 = 150;
const SECOND: Millis = Millis(1_000);

/// Logs events that packets cause, with a rate limit.
#[derive(Debug, Default)]
pub(crate) struct Events {
    window: Millis,
    lines: u32,
    suppressed: u64,
}

impl Events {
    /// Returns whether the rate limit admits one more line, and logs how many lines the previous window
    /// suppressed.
    fn admit(&mut self, now: Millis, metrics: &Metrics) -> bool {
        if now.since(self.window) >= SECOND {
            if self.suppressed > 0 {
                let suppressed = self.suppressed;
                info!(
                    event = "lines-suppressed", suppressed = suppressed;
                    "log lines about packets exceeded the rate limit and were suppressed"
                );
            }
            (self.window, self.lines, self.suppressed) = (now, 0, 0);
        }
        if self.lines < MAX_LINES_PER_SECOND {
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
        view_version: ViewVersion,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        let instead_of = decision.instead_of.as_ref().map_or("", Name::as_str);
        let passed_by = decision.passed_by.as_ref().map_or("", Name::as_str);
        let load = decision.choice.load;
        info!(
            event = "flow-opened", flow = flow(&segment.flow).as_str(),
            route = decision.route.as_str(), target = decision.target.as_str(),
            instead_of = instead_of, passed_by = passed_by, busy = load.active_requests, flows = load.flows,
            cost_percent = (load.cost * 100.0) as u64, candidates = decision.choice.candidates,
            all_suspect = decision.choice.all_suspect, version = decision.version,
            age_ms = view_version.age.get(), revision = view_version.revision.number;
            "a target was selected for a new flow"
        );
    }

    pub(crate) fn second_copy(&mut self, now: Millis, metrics: &Metrics, event: &SecondCopyEvent) {
        let result = second_copy_label(event);
        metrics.second_copies.get_or_create(&ResultLabel { result }).inc();
        if !self.admit(now, metrics) {
            return;
        }
        match event {
            SecondCopyEvent::Sent { flow: id, route, first, second, after, budget } => info!(
                event = "second-copy", flow = flow(id).as_str(), result = result,
                route = route.as_str(), first = first.as_str(), second = second.as_str(),
                after_ms = after.get(), budget = budget;
                "a second copy of an opening was sent to another target"
            ),
            SecondCopyEvent::Withheld { flow: id, route, .. } => info!(
                event = "second-copy", flow = flow(id).as_str(), result = result,
                route = route.as_str();
                "a second copy of an opening was due and not sent"
            ),
            SecondCopyEvent::Won { flow: id, second } => info!(
                event = "second-copy", flow = flow(id).as_str(), result = result,
                second = second.as_str();
                "a flow opened at the target of the second copy"
            ),
        }
    }

    pub(crate) fn reset(
        &mut self,
        now: Millis,
        metrics: &Metrics,
        segment: &ClientSegment,
        (cause, route): (ResetCause, &str),
        view_version: ViewVersion,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        info!(
            event = "flow-reset", flow = flow(&segment.flow).as_str(), cause = reset_label(cause),
            route = route, token = segment.token.map_or(0, |token| token.get()),
            age_ms = view_version.age.get(), revision = view_version.revision.number;
            "a flow was reset"
        );
    }

    pub(crate) fn dropped(
        &mut self,
        now: Millis,
        metrics: &Metrics,
        segment: &ClientSegment,
        cause: DropCause,
        view_version: ViewVersion,
    ) {
        if !self.admit(now, metrics) {
            return;
        }
        info!(
            event = "packet-dropped", flow = flow(&segment.flow).as_str(),
            cause = drop_label(cause), token = segment.token.map_or(0, |token| token.get()),
            age_ms = view_version.age.get(), revision = view_version.revision.number;
            "a packet was dropped"
        );
    }
}

/// Logs a completed request, at debug level, because there is a line for each request.
pub(crate) fn request_completed(segment: &ClientSegment, completed: &CompletedRequest) {
    debug!(
        event = "request-answered", flow = flow(&segment.flow).as_str(),
        route = completed.route.as_str(), target = completed.target.as_str(),
        latency_ms = completed.latency.get(), opened = completed.opened,
        bytes = completed.bytes, refused = completed.refused;
        "a client acknowledged the response to a request"
    );
}

/// Logs that a target is suspected of being silent, or responds again. A suspected target is avoided for at
/// least 1 s, which limits the volume to one line per second and target.
pub(crate) fn suspicion_changed(suspicion: &SuspicionChange, view_version: ViewVersion) {
    let change = if suspicion.suspected { "suspected" } else { "answers-again" };
    info!(
        event = "target-silence", target = suspicion.target.as_str(), change = change,
        revision = view_version.revision.number, age_ms = view_version.age.get();
        "a target became suspected of being silent or responds again"
    );
}

/// Logs that routes were not adopted, because they are older than those of this VM.
pub(crate) fn routes_outdated(routes: &Routes, current: &Routes, source: &str) {
    warn!(
        event = "routes-outdated", version = routes.version, epoch = routes.revision.epoch,
        revision = routes.revision.number, current_version = current.version,
        current_epoch = current.revision.epoch, current_revision = current.revision.number,
        source = source;
        "routes that are older than the current ones were not adopted"
    );
}

/// Logs a full read of the store, which happens at the start and when its history is lost.
pub(crate) fn store_read(snapshot: &Snapshot) {
    let routes = snapshot.routes.as_ref();
    info!(
        event = "store-read", epoch = snapshot.revision.epoch, revision = snapshot.revision.number,
        targets = snapshot.targets.len(), version = routes.map_or(0, |routes| routes.version),
        routes_revision = routes.map_or(0, |routes| routes.revision.number);
        "the directory was read in full"
    );
}

/// Logs that the store was restored from a copy, as it or a peer reports.
pub(crate) fn store_restored(revision: StoreRevision, current: StoreRevision) {
    warn!(
        event = "store-restored", epoch = revision.epoch, revision = revision.number,
        current_epoch = current.epoch, current_revision = current.number;
        "the directory was restored from a copy; its latest changes may be lost"
    );
}

/// Logs that a service became overloaded or recovered, which happens at most a few times a second.
pub(crate) fn overload_changed(change: &OverloadChange) {
    info!(
        event = "service-overload", service = change.service.as_str(),
        overloaded = change.overloaded,
        latency_percent_of_objective = (change.latency_ratio * 100.0) as u64,
        limit = change.limit as u64;
        "a service became overloaded, so that new flows beyond the limit are refused, or recovered"
    );
}

/// Logs how many targets are cold. Ticks 100 ms apart limit the volume to ten lines a second, and the targets of
/// one start share lines, since a small VM spends more time on a line for each than on using them.
pub(crate) fn cold_targets_changed(summary: ColdSummary, withheld: u64, view_version: ViewVersion) {
    info!(
        event = "cold-targets", cold = summary.cold, held = summary.held, withheld = withheld,
        revision = view_version.revision.number, age_ms = view_version.age.get();
        "the number of cold targets, or of those that this VM may send new flows to, changed"
    );
}

/// The age and revision of the view on which a decision was based.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewVersion {
    pub(crate) age: Millis,
    pub(crate) revision: StoreRevision,
}

/// Logs a change to one target, or that it was outdated.
pub(crate) fn target_changed(name: &Name, effect: Effect, revision: StoreRevision, source: &str) {
    let change = match effect {
        Effect::Added => "added",
        Effect::Changed => "changed",
        Effect::Restarted => "restarted",
        Effect::Removed => "removed",
        Effect::Outdated => "outdated",
        Effect::Ignored => return,
    };
    info!(
        event = "target-changed", target = name.as_str(), change = change, epoch = revision.epoch,
        revision = revision.number, source = source;
        "the list of targets changed"
    );
}

/// Logs a change of an evacuation. The store and the peers report each change once, so that the volume
/// is one line per change.
pub(crate) fn evacuation_changed(
    now: Millis,
    data_centre: &Name,
    change: &'static str,
    evacuation: Option<&Evacuation>,
    source: &str,
) {
    let revision = evacuation.map(|known| known.revision).unwrap_or_default();
    let in_force = evacuation.is_some_and(Evacuation::is_in_force);
    let since_ms = evacuation.map_or(0, |known| now.since(known.began_at).get());
    info!(
        event = "evacuation-changed", data_centre = data_centre.as_str(), change = change,
        in_force = in_force, since_ms = since_ms, epoch = revision.epoch,
        revision = revision.number, source = source;
        "the evacuation of a data centre changed; while it is in force its targets get no new flows"
    );
}

/// Returns the name of an effect in the log, or `None` if it is not logged.
pub(crate) fn evacuation_label(effect: EvacuationEffect) -> Option<&'static str> {
    match effect {
        EvacuationEffect::Began => Some("requested"),
        EvacuationEffect::Doubted => Some("missing-after-restore"),
        EvacuationEffect::Confirmed => Some("requested-again"),
        EvacuationEffect::Ended => Some("withdrawn"),
        EvacuationEffect::Outdated => Some("outdated"),
        EvacuationEffect::Refused => Some("refused"),
        EvacuationEffect::Unchanged => None,
    }
}

pub(crate) fn flow(flow: &FlowId) -> String {
    format!("{}>{}", flow.client, flow.service)
}

fn second_copy_label(event: &SecondCopyEvent) -> &'static str {
    match event {
        SecondCopyEvent::Sent { .. } => "sent",
        SecondCopyEvent::Won { .. } => "won",
        SecondCopyEvent::Withheld { refusal, .. } => match refusal {
            SecondCopyRefusal::Budget => "withheld-budget",
            SecondCopyRefusal::Overload => "withheld-overload",
            SecondCopyRefusal::NoTarget => "withheld-no-target",
            SecondCopyRefusal::Unanswered => "withheld-unanswered",
            SecondCopyRefusal::Late => "withheld-late",
        },
    }
}

pub(crate) fn reset_label(cause: ResetCause) -> &'static str {
    cause.label()
}

pub(crate) fn drop_label(cause: DropCause) -> &'static str {
    cause.label()
}

pub(crate) fn verify_label(cause: VerifyError) -> &'static str {
    match cause {
        VerifyError::Short => "short",
        VerifyError::Unsigned => "unsigned",
        VerifyError::UnknownKey => "unknown-key",
        VerifyError::WrongTag => "wrong-tag",
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
