//! What the router learns from the packets that it routes: load, slowness and silence of targets.

use super::TokenRouter;
use crate::flow::token::open_flows::{Observation, OpenFlow, Request};
use crate::flow::token::segment::{ClientSegment, FlowId, SegmentKind};
use crate::flow::token::silence::Repetition;
use crate::flow::token::verdict::{Answered, Belief};
use crate::time::Millis;
use crate::version::{Repeatable, RouteRule};

impl TokenRouter {
    /// Returns the target that got an earlier copy of the opening, and notes that it did not answer.
    pub(super) fn earlier_target(
        &mut self,
        now: Millis,
        flow: &FlowId,
        copy: u32,
    ) -> Option<usize> {
        if copy == 0 {
            return None;
        }
        let earlier = self.flows.get_mut(flow)?;
        let (target, sent_at) = (earlier.target, earlier.last_at);
        let index = *self.by_token.get(&target)?;
        self.on_repetition(now, index, sent_at, Repetition::Opening);
        Some(index)
    }

    fn on_repetition(
        &mut self,
        now: Millis,
        index: usize,
        sent_at: Millis,
        repetition: Repetition,
    ) {
        let drained_at = self.drained_at;
        let target = &mut self.targets[index];
        let (_, data_centre) = &mut self.data_centres[target.place];
        data_centre.on_repetition(now, sent_at, drained_at, repetition);
        if target.silence.on_repetition(now, sent_at, drained_at, repetition) {
            self.counters.suspicions += 1;
            self.beliefs.push(Belief { target: target.name.clone(), suspected: true });
        }
    }

    fn on_progress(&mut self, now: Millis, index: usize) {
        let target = &mut self.targets[index];
        if target.silence.on_progress(now) {
            self.beliefs.push(Belief { target: target.name.clone(), suspected: false });
        }
        self.data_centres[target.place].1.on_progress(now);
    }

    pub(super) fn observe_opening(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
        moved: bool,
    ) {
        let earlier = self.end(&segment.flow);
        if self.flows.len() >= self.limits.max_flows {
            return;
        }
        let target = &mut self.targets[index];
        let mut flow = OpenFlow::opened(now, target.token, segment);
        flow.moved = moved || earlier.is_some_and(|earlier| !earlier.established && earlier.moved);
        target.flows += 1;
        target.busy += 1;
        self.flows.insert(segment.flow, flow);
    }

    /// Learns from what a segment shows. Returns whether the flow is lost: it waits for a target that is surely
    /// silent, and its client may repeat the request elsewhere. A request that runs once at most keeps its
    /// flow, since a reset would only end it. Packets that left later were answered by others, or the fault
    /// would be this VM's own.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
        rule: &RouteRule,
        seen: Observation,
    ) -> bool {
        self.targets[index].busy += u32::from(seen.request);
        if let Some(sent_at) = seen.answered_packet {
            self.proved_at = self.proved_at.max(sent_at);
        }
        if seen.progress {
            self.on_progress(now, index);
        }
        if let Some(request) = seen.answered {
            let target = &mut self.targets[index];
            target.busy = target.busy.saturating_sub(1);
            self.note_answer(now, index, rule, request, false);
        }
        let finished = segment.kind == SegmentKind::Finish;
        if finished || segment.kind == SegmentKind::Abort {
            let request = self.end(&segment.flow).and_then(|flow| flow.request());
            if let Some(request) = request.filter(|_| finished) {
                self.note_answer(now, index, rule, request, true);
            }
        }
        let Some((sent_at, repetition)) = seen.repetition else { return false };
        self.on_repetition(now, index, sent_at, repetition);
        rule.repeatable == Repeatable::Always
            && self.targets[index].silence.is_certain()
            && sent_at <= self.proved_at
    }

    /// Observes a flow that this VM knows nothing of, or knows at another target.
    pub(super) fn observe_anew(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
    ) -> Observation {
        self.settle(&segment.flow, index);
        let token = self.targets[index].token;
        if let Some(flow) = self.flows.get_mut(&segment.flow).filter(|flow| flow.target == token) {
            return flow.on_segment(now, segment);
        }
        self.adopt(now, segment, index);
        Observation::default()
    }

    /// Moves a flow whose opening went to several targets to the one that the client opened it at.
    fn settle(&mut self, id: &FlowId, index: usize) {
        let token = self.targets[index].token;
        let unsettled =
            |flow: &&mut OpenFlow| flow.moved && !flow.established && flow.target != token;
        let Some(flow) = self.flows.get_mut(id).filter(unsettled) else { return };
        let mut settled = *flow;
        settled.target = token;
        self.end(id);
        self.targets[index].flows += 1;
        self.targets[index].busy += u32::from(settled.request_at.is_some());
        self.flows.insert(*id, settled);
    }

    /// Observes a flow that was opened through another VM.
    fn adopt(&mut self, now: Millis, segment: &ClientSegment, index: usize) {
        self.end(&segment.flow);
        if matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort)
            || self.flows.len() >= self.limits.max_flows
        {
            return;
        }
        let target = &mut self.targets[index];
        let flow = OpenFlow::adopted(now, target.token, segment);
        target.flows += 1;
        target.busy += u32::from(flow.request_at.is_some());
        self.flows.insert(segment.flow, flow);
    }

    /// Learns from a request of which the client acknowledged an answer.
    fn note_answer(
        &mut self,
        now: Millis,
        index: usize,
        rule: &RouteRule,
        request: Request,
        opened: bool,
    ) {
        let latency = now.since(request.began_at);
        let refused = self.means.is_refusal(&rule.name, &request);
        let target = &mut self.targets[index];
        if refused {
            // How fast a target refuses says nothing about how fast it works.
            target.refusals.add(now);
            self.counters.refusals += 1;
        } else {
            self.means.add(now, &rule.name, latency, &request, &mut target.slowness);
        }
        let (route, target) = (rule.name.clone(), target.name.clone());
        let bytes = request.answer_bytes;
        self.answered = Some(Answered { route, target, latency, opened, refused, bytes });
    }

    pub(super) fn end(&mut self, flow: &FlowId) -> Option<OpenFlow> {
        let flow = self.flows.remove(flow)?;
        self.forget(&flow);
        Some(flow)
    }

    pub(super) fn forget(&mut self, flow: &OpenFlow) {
        let Some(&index) = self.by_token.get(&flow.target) else { return };
        let target = &mut self.targets[index];
        target.flows = target.flows.saturating_sub(1);
        if flow.request_at.is_some() {
            target.busy = target.busy.saturating_sub(1);
        }
    }
}
