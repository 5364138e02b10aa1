//! Updates the load, latency and silence of targets from the packets that the router routes.

use super::TokenRouter;
use crate::flow::token::open_flows::{Observation, OpenFlow, Request};
use crate::flow::token::routing_token::RoutingToken;
use crate::flow::token::segment::{ClientSegment, FlowId, SegmentKind};
use crate::flow::token::silence::Retransmission;
use crate::flow::token::verdict::{CompletedRequest, SuspicionChange};
use crate::time::Millis;
use crate::version::{Repeatable, RouteRule};

impl TokenRouter {
    /// Returns the target that got an earlier copy of the opening, and records that it did not respond.
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
        let (target, sent_at) = (earlier.target, earlier.last_segment_at);
        let index = self.tokens.index_of(target)?;
        self.on_retransmission(now, index, sent_at, Retransmission::Opening);
        Some(index)
    }

    pub(super) fn on_retransmission(
        &mut self,
        now: Millis,
        index: usize,
        sent_at: Millis,
        retransmission: Retransmission,
    ) {
        let queue_empty_at = self.queue_empty_at;
        let target = &mut self.targets[index];
        let (_, data_centre) = &mut self.data_centres[target.data_centre_index];
        data_centre.on_retransmission(now, sent_at, queue_empty_at, retransmission);
        if target.silence.on_retransmission(now, sent_at, queue_empty_at, retransmission) {
            self.counters.suspicions += 1;
            self.suspicion_changes
                .push(SuspicionChange { target: target.name.clone(), suspected: true });
        }
    }

    fn on_progress(&mut self, now: Millis, index: usize) {
        let target = &mut self.targets[index];
        if target.silence.on_progress(now) {
            self.suspicion_changes
                .push(SuspicionChange { target: target.name.clone(), suspected: false });
        }
        self.data_centres[target.data_centre_index].1.on_progress(now);
    }

    pub(super) fn track_opening(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
        token: RoutingToken,
        opening_moved: bool,
    ) {
        let earlier = self.remove_flow(&segment.flow);
        if self.flows.len() >= self.limits.max_flows {
            return;
        }
        let target = &mut self.targets[index];
        let mut flow = OpenFlow::opened(now, target.key.id(), token, segment);
        flow.opening_moved = opening_moved
            || earlier.is_some_and(|earlier| !earlier.established && earlier.opening_moved);
        target.flows += 1;
        target.active_requests += 1;
        self.flows.insert(segment.flow, flow);
    }

    /// Applies what a segment shows to the state of its target. Returns whether the flow has to be reset: it
    /// waits for a target whose silence is confirmed, and its client may retry the request elsewhere. A flow
    /// whose request must not run twice is not reset, since the client could not retry. Some target must have
    /// responded to a packet sent at the same time or later; otherwise the fault may be this VM's own.
    pub(super) fn apply_observation(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
        rule: &RouteRule,
        observation: Observation,
    ) -> bool {
        self.targets[index].active_requests += u32::from(observation.request_started);
        if let Some(sent_at) = observation.delivered_packet_at {
            self.last_delivered_at = self.last_delivered_at.max(sent_at);
        }
        if observation.progress {
            self.on_progress(now, index);
        }
        if let Some(handshake) = observation.handshake {
            self.second_openings.on_handshake(&rule.name, handshake);
        }
        if let Some(request) = observation.completed {
            let target = &mut self.targets[index];
            target.active_requests = target.active_requests.saturating_sub(1);
            self.record_completed_request(now, index, rule, request, false);
        }
        let finished = segment.kind == SegmentKind::Finish;
        if finished || segment.kind == SegmentKind::Abort {
            let request = self.remove_flow(&segment.flow).and_then(|flow| flow.request());
            if let Some(request) = request.filter(|_| finished) {
                self.record_completed_request(now, index, rule, request, true);
            }
        }
        let Some((sent_at, retransmission)) = observation.retransmission else { return false };
        self.on_retransmission(now, index, sent_at, retransmission);
        rule.repeatable == Repeatable::Always
            && self.targets[index].silence.is_confirmed()
            && sent_at <= self.last_delivered_at
    }

    /// Starts to track a flow that this VM does not track yet, or tracks at another target.
    pub(super) fn track_flow(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        index: usize,
        token: RoutingToken,
    ) -> Observation {
        self.resolve_target(&segment.flow, index, token);
        let target = self.targets[index].key.id();
        if let Some(flow) = self.flows.get_mut(&segment.flow).filter(|flow| flow.target == target) {
            return flow.on_segment(now, segment);
        }
        self.adopt(now, segment, index, token);
        Observation::default()
    }

    /// Assigns a flow whose opening went to several targets to the one whose token the client echoes.
    fn resolve_target(&mut self, id: &FlowId, index: usize, token: RoutingToken) {
        let target = self.targets[index].key.id();
        let unresolved =
            |flow: &&mut OpenFlow| flow.opening_moved && !flow.established && flow.target != target;
        let Some(flow) = self.flows.get_mut(id).filter(unresolved) else { return };
        let earlier = *flow;
        let mut resolved = earlier;
        (resolved.target, resolved.token, resolved.second) = (target, token, None);
        self.on_opening_resolved(*id, &earlier, index);
        self.remove_flow(id);
        self.targets[index].flows += 1;
        self.targets[index].active_requests += u32::from(resolved.request_started_at.is_some());
        self.flows.insert(*id, resolved);
    }

    /// Starts to track a flow that was opened through another VM.
    fn adopt(&mut self, now: Millis, segment: &ClientSegment, index: usize, token: RoutingToken) {
        self.remove_flow(&segment.flow);
        if matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort)
            || self.flows.len() >= self.limits.max_flows
        {
            return;
        }
        let target = &mut self.targets[index];
        let flow = OpenFlow::adopted(now, target.key.id(), token, segment);
        target.flows += 1;
        target.active_requests += u32::from(flow.request_started_at.is_some());
        self.flows.insert(segment.flow, flow);
    }

    /// Records a request whose response the client acknowledged.
    fn record_completed_request(
        &mut self,
        now: Millis,
        index: usize,
        rule: &RouteRule,
        request: Request,
        opened: bool,
    ) {
        let latency = now.since(request.started_at);
        let refused = self.route_means.is_refusal(&rule.name, &request);
        let target = &mut self.targets[index];
        if refused {
            // The latency of a refusal says nothing about the latency of served requests.
            target.refusals.add(now);
            self.counters.refusals += 1;
            self.loads.on_refused(now, &target.service);
            self.overload.on_refused(now, &target.service, rule);
        } else {
            self.route_means.add(now, &rule.name, latency, &request, &mut target.relative_latency);
            let service = &target.service;
            self.overload.on_served(now, service, rule);
            self.loads.on_served(rule, service, latency);
            if request.is_first {
                self.overload.on_first_latency(now, service, latency, rule.objective);
            }
        }
        let (route, target) = (rule.name.clone(), target.name.clone());
        let bytes = request.response_bytes;
        self.completed_request =
            Some(CompletedRequest { route, target, latency, opened, refused, bytes });
    }

    pub(super) fn remove_flow(&mut self, flow: &FlowId) -> Option<OpenFlow> {
        let flow = self.flows.remove(flow)?;
        self.subtract_load(&flow);
        Some(flow)
    }

    pub(super) fn subtract_load(&mut self, flow: &OpenFlow) {
        let Some(index) = self.tokens.index_of(flow.target) else { return };
        let target = &mut self.targets[index];
        target.flows = target.flows.saturating_sub(1);
        if flow.request_started_at.is_some() {
            target.active_requests = target.active_requests.saturating_sub(1);
        }
    }
}
