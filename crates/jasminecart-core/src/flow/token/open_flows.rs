//! The flows that pass through this VM, tracked to select targets for new flows.
//!
//! No packet depends on the table for its route: a flow that is missing here is routed by its token all the
//! same.

use super::routing_token::{RoutingToken, TargetId};
use super::segment::{ClientSegment, FlowId};
use super::silence::Retransmission;
use crate::hashing::HashMap;
use crate::time::Millis;

/// How far the sequence numbers of two consecutive segments of a flow may be apart at a VM: a photo or a list of
/// results between them, of which a part took another way.
const MAX_SEQ_DISTANCE: u32 = 256 * 1_024;

/// The tracked state of one flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenFlow {
    pub(super) target: TargetId,
    /// The token of the target for the flow's service address. A segment that echoes it needs no other check.
    pub(super) token: RoutingToken,
    pub(super) last_segment_at: Millis,
    /// When the client sent the first packet of the request in progress. For the first request of a flow that
    /// is the opening.
    pub(super) request_started_at: Option<Millis>,
    /// When the client sent the first data that the target has not responded to on this flow.
    pub(super) waiting_since: Option<Millis>,
    /// The sequence number after the client's latest data.
    next_seq: u32,
    /// The highest acknowledgement of the client.
    acked: u32,
    /// Whether the client has sent anything other than openings.
    pub(super) established: bool,
    /// Whether copies of the opening went to more than one target. A late response of the other one makes the
    /// client echo a token that is not the flow's.
    pub(super) opening_moved: bool,
    /// The target that got a second copy of the opening, and when it was sent.
    pub(super) second: Option<(TargetId, Millis)>,
    /// How often the client retransmitted a part of the request in progress.
    pub(super) retransmissions: u8,
    /// The bytes that the client sent for the request in progress, without retransmissions.
    pub(super) bytes: u32,
    /// The client's acknowledgement when the request in progress began, where its response starts.
    response_start: u32,
    /// Whether the request in progress is the one for which the flow was opened.
    is_first_request: bool,
}

/// What a segment of an open flow shows about its target and request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Observation {
    /// The client has received something from the target since its last segment.
    pub(super) progress: bool,
    /// When the packet was forwarded that the target has now responded to.
    pub(super) delivered_packet_at: Option<Millis>,
    /// The time from the opening to this segment, if it follows the only opening that the client sent and the
    /// first target responded.
    pub(super) handshake: Option<Millis>,
    /// The client retransmitted data that it first sent at the given time.
    pub(super) retransmission: Option<(Millis, Retransmission)>,
    /// The client began a request.
    pub(super) request_started: bool,
    /// The client acknowledged the response to a request.
    pub(super) completed: Option<Request>,
}

/// A request and its response, as far as the client's segments show them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Request {
    /// When the client sent its first packet.
    pub(super) started_at: Millis,
    /// The bytes that the client sent, without retransmissions.
    pub(super) bytes: u32,
    /// The bytes of the response that the client has acknowledged. It acknowledges a long response in parts, so
    /// that this may be less than the whole.
    pub(super) response_bytes: u32,
    /// Whether it is the one for which its flow was opened, through this VM.
    pub(super) is_first: bool,
}

impl OpenFlow {
    /// Creates the state of a new flow. A client opens a flow for a request that it sends at once.
    pub(super) fn opened(
        now: Millis,
        target: TargetId,
        token: RoutingToken,
        segment: &ClientSegment,
    ) -> OpenFlow {
        OpenFlow {
            target,
            token,
            last_segment_at: now,
            request_started_at: Some(now),
            waiting_since: None,
            next_seq: segment.seq,
            acked: 0,
            established: false,
            opening_moved: false,
            second: None,
            retransmissions: 0,
            bytes: 0,
            response_start: 0,
            is_first_request: true,
        }
    }

    /// Creates the state of a flow that was opened through another VM.
    pub(super) fn adopted(
        now: Millis,
        target: TargetId,
        token: RoutingToken,
        segment: &ClientSegment,
    ) -> OpenFlow {
        let started_at = (segment.payload > 0).then_some(now);
        OpenFlow {
            target,
            token,
            last_segment_at: now,
            request_started_at: started_at,
            waiting_since: started_at,
            next_seq: end_seq(segment),
            acked: segment.ack,
            established: true,
            opening_moved: false,
            second: None,
            retransmissions: 0,
            bytes: u32::from(segment.payload),
            response_start: segment.ack,
            is_first_request: false,
        }
    }

    /// Returns the request in progress.
    pub(super) fn request(&self) -> Option<Request> {
        let response_bytes = self.acked.wrapping_sub(self.response_start);
        self.request_started_at.map(|started_at| Request {
            started_at,
            bytes: self.bytes,
            response_bytes,
            is_first: self.is_first_request,
        })
    }

    /// Returns whether a segment belongs to the same connection by its sequence numbers. A later flow of the same
    /// address and port has other initial ones at both ends.
    pub(super) fn is_continued_by(&self, segment: &ClientSegment) -> bool {
        let is_near = |seq: u32, other: u32| {
            (seq.wrapping_sub(other) as i32).unsigned_abs() <= MAX_SEQ_DISTANCE
        };
        is_near(segment.seq, self.next_seq) && is_near(segment.ack, self.acked)
    }

    /// Starts the next request, if one is in progress.
    fn start_next_request(&mut self, now: Millis, response_start: u32) {
        if let Some(started_at) = &mut self.request_started_at {
            *started_at = now;
            (self.bytes, self.response_start) = (0, response_start);
            self.is_first_request = false;
        }
    }

    /// Handles a segment that follows the opening.
    pub(super) fn on_segment(&mut self, now: Millis, segment: &ClientSegment) -> Observation {
        let first = !self.established;
        let mut observation = Observation {
            progress: first || is_after(segment.ack, self.acked),
            ..Observation::default()
        };
        if observation.progress {
            self.retransmissions = 0;
            let waited = self.waiting_since.take();
            observation.delivered_packet_at =
                if first { Some(self.last_segment_at) } else { waited };
        }
        if first && (!self.opening_moved || self.second.is_some()) {
            observation.handshake = Some(now.since(self.last_segment_at));
        }
        self.last_segment_at = now;
        self.established = true;
        // A reordered packet may acknowledge less than an earlier one did.
        if observation.progress {
            self.acked = segment.ack;
        }
        if first {
            self.response_start = segment.ack;
        }
        let end = end_seq(segment);
        if segment.payload == 0 {
            if observation.progress && !first {
                observation.completed = self.request();
                (self.request_started_at, self.bytes) = (None, 0);
                self.is_first_request = false;
            }
        } else if first || is_after(end, self.next_seq) {
            self.next_seq = end;
            if observation.progress && !first {
                // The client has received a response and sends the next request. It does not
                // acknowledge a response of one packet on its own, so that the latency is unknown.
                self.start_next_request(now, segment.ack);
            }
            self.bytes = self.bytes.saturating_add(u32::from(segment.payload));
            self.waiting_since.get_or_insert(now);
            if self.request_started_at.is_none() {
                observation.request_started = true;
                (self.request_started_at, self.response_start) = (Some(now), segment.ack);
            }
        } else {
            self.retransmissions = self.retransmissions.saturating_add(1);
            let retransmission = Retransmission::Request(self.retransmissions);
            observation.retransmission = self.waiting_since.map(|at| (at, retransmission));
        }
        observation
    }
}

fn end_seq(segment: &ClientSegment) -> u32 {
    segment.seq.wrapping_add(u32::from(segment.payload))
}

/// Returns whether a sequence number comes after another, with wrap-around.
fn is_after(seq: u32, other: u32) -> bool {
    (seq.wrapping_sub(other) as i32) > 0
}

/// The table of tracked flows.
#[derive(Debug, Default)]
pub(super) struct OpenFlows {
    flows: HashMap<FlowId, OpenFlow>,
}

impl OpenFlows {
    pub(super) fn get(&self, flow: &FlowId) -> Option<&OpenFlow> {
        self.flows.get(flow)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowId) -> Option<&mut OpenFlow> {
        self.flows.get_mut(flow)
    }

    pub(super) fn insert(&mut self, flow: FlowId, state: OpenFlow) -> Option<OpenFlow> {
        self.flows.insert(flow, state)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<OpenFlow> {
        self.flows.remove(flow)
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Removes and returns the flows that were idle for at least `idle`.
    pub(super) fn expire(&mut self, now: Millis, idle: Millis) -> Vec<OpenFlow> {
        self.flows
            .extract_if(|_, flow| now.since(flow.last_segment_at) >= idle)
            .map(|(_, f)| f)
            .collect()
    }
}
