//! Sends second copies of openings, by the same selection as the first ones.

use super::TokenRouter;
use crate::flow::token::open_flows::OpenFlow;
use crate::flow::token::routing_token::RoutingToken;
use crate::flow::token::second_openings::{
    Overtaken, Pending, SecondCopy, SecondCopyEvent, SecondCopyRefusal, SecondCopyTiming, is_late,
};
use crate::flow::token::segment::{ClientSegment, FlowId};
use crate::flow::token::silence::{Eligibility, Retransmission};
use crate::flow::token::target_selector::{Choice, SelectionCriteria};
use crate::flow::token::verdict::Destination;
use crate::names::Name;
use crate::second_copies::SecondCopyLimit;
use crate::time::Millis;
use crate::version::{Repeatable, RouteRule};

/// Evidence about a target that was overtaken is discarded after this time, if it can't be told whether this VM
/// was able to receive packets meanwhile.
const MAX_EVIDENCE_AGE: Millis = Millis(1_000);
/// The client's repeated opening counts as evidence after 200 ms. An opening that was overtaken is judged
/// about as late, so that a target with a slow response is not suspected earlier.
const EVIDENCE_AGE: Millis = Millis(200);

impl TokenRouter {
    /// Sets the limit on second copies of openings. The default limit switches them off.
    pub fn set_second_copy_limit(&mut self, limit: SecondCopyLimit) {
        self.second_openings.set_limit(limit);
    }

    /// Sets when second copies are sent, to compare the alternatives.
    pub fn set_second_copy_timing(&mut self, timing: SecondCopyTiming) {
        self.second_openings.timing = timing;
    }

    /// Returns whether the opening that was forwarded at `now` may get a second copy later, for which the
    /// caller has to keep the packet until [`TokenRouter::due_second_copies`] names it.
    pub fn awaits_second_copy(&self, now: Millis, flow: &FlowId) -> bool {
        self.second_openings.is_scheduled(now, flow)
    }

    /// Returns where the last packet has to be sent in addition.
    pub fn take_immediate_second_copy(&mut self) -> Option<Destination> {
        self.second_openings.immediate.take()
    }

    /// Returns when [`TokenRouter::due_second_copies`] has to be called next.
    pub fn next_second_copy_at(&self) -> Option<Millis> {
        self.second_openings.next_at()
    }

    /// Returns the openings whose wait for a second copy ended, and where the copies go.
    pub fn due_second_copies(&mut self, now: Millis) -> Vec<SecondCopy> {
        let mut due = Vec::new();
        while let Some(pending) = self.second_openings.pop_due(now) {
            let (_, flow, sent_at) = pending;
            let destination = self.on_second_copy_due(now, pending);
            due.push(SecondCopy { flow, sent_at, destination });
        }
        due
    }

    /// Returns and clears what happened to second copies since the last call.
    pub fn take_second_copy_events(&mut self) -> Vec<SecondCopyEvent> {
        std::mem::take(&mut self.second_openings.events)
    }

    /// Considers a second copy of an opening that was routed to the target at `first`. `earlier` is the target
    /// that did not respond to an earlier copy.
    pub(super) fn consider_second_copy(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        copy: u32,
        rule: &RouteRule,
        first: usize,
        earlier: Option<usize>,
    ) {
        if !self.second_openings.budget.is_enabled() {
            return;
        }
        if copy == 0 {
            self.second_openings.budget.record_first();
        }
        if rule.repeatable != Repeatable::Always || self.flows.get_mut(&segment.flow).is_none() {
            return;
        }
        if copy == 0 {
            self.second_openings.schedule(now, segment.flow, &rule.name);
        } else if self.second_openings.timing == SecondCopyTiming::OnRepeat {
            let avoid = [Some(first), earlier];
            self.second_openings.immediate =
                self.send_second_copy(now, segment.flow, rule, first, avoid, now);
        }
    }

    fn on_second_copy_due(&mut self, now: Millis, pending: Pending) -> Option<Destination> {
        let (_, flow, sent_at) = pending;
        let waits = |open: &&mut OpenFlow| !open.established && open.last_segment_at == sent_at;
        let waiting = self.flows.get_mut(&flow).filter(waits).map(|open| open.target);
        self.second_openings.on_due(waiting.is_none());
        let target = waiting?;
        let first = self.tokens.index_of(target)?;
        let routes = self.routes.clone()?;
        let rule = routes.rule(&flow.service)?;
        let allowed = rule.repeatable == Repeatable::Always
            && rule.allows(&self.targets[first].service)
            && self.second_openings.budget.is_enabled();
        if !allowed {
            return None;
        }
        if is_late(now, pending, self.queue_empty_at) {
            self.withhold(flow, rule, SecondCopyRefusal::Late);
            return None;
        }
        if self.second_openings.is_withheld() {
            self.withhold(flow, rule, SecondCopyRefusal::Unanswered);
            return None;
        }
        self.send_second_copy(now, flow, rule, first, [Some(first), None], sent_at)
    }

    /// Selects the target of a second copy and records that it is sent.
    fn send_second_copy(
        &mut self,
        now: Millis,
        flow: FlowId,
        rule: &RouteRule,
        first: usize,
        avoid: [Option<usize>; 2],
        sent_at: Millis,
    ) -> Option<Destination> {
        let (index, token) = match self.select_second(now, flow, rule, first, avoid) {
            Ok(selected) => selected,
            Err(refusal) => {
                self.withhold(flow, rule, refusal);
                return None;
            }
        };
        self.count_cold_opening(now, index);
        let target = &self.targets[index];
        let open = self.flows.get_mut(&flow)?;
        open.opening_moved = true;
        open.second = Some((target.key.id(), now));
        self.counters.second_copies += 1;
        self.second_openings.events.push(SecondCopyEvent::Sent {
            flow,
            route: rule.name.clone(),
            first: self.targets[first].name.clone(),
            second: target.name.clone(),
            after: now.since(sent_at),
            budget: self.second_openings.budget.available(),
        });
        Some(target.destination(token))
    }

    /// Selects the target of a second copy, and takes the copy from the budget. It is preferably in another data
    /// centre than the target that did not respond, since a fault may affect its neighbours too.
    fn select_second(
        &mut self,
        now: Millis,
        flow: FlowId,
        rule: &RouteRule,
        first: usize,
        avoid: [Option<usize>; 2],
    ) -> Result<(usize, RoutingToken), SecondCopyRefusal> {
        let service = self.targets[first].service.clone();
        if self.overload.is_overloaded(now, &service) {
            return Err(SecondCopyRefusal::Overload);
        }
        if !self.second_openings.budget.allows() {
            return Err(SecondCopyRefusal::Budget);
        }
        self.update_eligibility(now, &service);
        self.update_cold_targets(now, &service);
        let silent = avoid[1].unwrap_or(first);
        let criteria = SelectionCriteria {
            ambiguous: &[],
            avoid,
            avoid_data_centre: Some(self.targets[silent].data_centre_index),
            may_probe: false,
            bytes: self.route_means.bytes(&rule.name),
        };
        let selected = self.choose_target(now, &service, flow.service, criteria);
        let eligible = |choice: &Choice| {
            let eligibility = self.targets[choice.index].eligibility;
            !choice.all_suspect && eligibility == Eligibility::Eligible
        };
        let (choice, token) =
            selected.filter(|(choice, _)| eligible(choice)).ok_or(SecondCopyRefusal::NoTarget)?;
        self.second_openings.budget.spend();
        Ok((choice.index, token))
    }

    fn withhold(&mut self, flow: FlowId, rule: &RouteRule, refusal: SecondCopyRefusal) {
        self.counters.second_copies_withheld += 1;
        let route = rule.name.clone();
        self.second_openings.events.push(SecondCopyEvent::Withheld { flow, route, refusal });
    }

    /// Returns the target that got a second copy of an opening, and records that it did not respond to it
    /// before the client repeated the opening.
    pub(super) fn earlier_second_target(
        &mut self,
        now: Millis,
        flow: &FlowId,
        copy: u32,
    ) -> Option<usize> {
        if copy == 0 {
            return None;
        }
        let (target, sent_at) = self.flows.get_mut(flow)?.second?;
        let index = self.tokens.index_of(target)?;
        self.on_retransmission(now, index, sent_at, Retransmission::Opening);
        Some(index)
    }

    /// Records that the client echoed `index`, if it is the target of the second copy. The first target was
    /// silent until then: without this evidence, second copies would hide a dead target from the VM.
    pub(super) fn on_opening_resolved(&mut self, flow: FlowId, open: &OpenFlow, index: usize) {
        let target = &self.targets[index];
        if open.second.is_none_or(|(second, _)| second != target.key.id()) {
            return;
        }
        self.counters.second_copies_won += 1;
        let second = target.name.clone();
        self.second_openings.events.push(SecondCopyEvent::Won { flow, second });
        // Copies that were sent together say nothing about each other's targets.
        if open.second.is_some_and(|(_, at)| at == open.last_segment_at) {
            return;
        }
        let overtaken = Overtaken { target: open.target, sent_at: open.last_segment_at };
        self.second_openings.overtaken.push(overtaken);
    }

    /// Judges the targets that were overtaken: one that no client received anything from since is as silent as
    /// one whose client repeats its opening.
    pub(super) fn judge_overtaken(&mut self, now: Millis) {
        let queue_empty_at = self.queue_empty_at;
        let mut judged = Vec::new();
        self.second_openings.overtaken.retain(|overtaken| {
            let known = queue_empty_at.since(overtaken.sent_at) >= EVIDENCE_AGE;
            judged.extend(known.then_some(*overtaken));
            !known && now.since(overtaken.sent_at) < MAX_EVIDENCE_AGE
        });
        for Overtaken { target, sent_at } in judged {
            if let Some(index) = self.tokens.index_of(target) {
                self.on_retransmission(now, index, sent_at, Retransmission::Request(1));
            }
        }
    }

    /// Removes what belongs to routes that no longer exist.
    pub(super) fn retain_second_copies(&mut self, exists: impl Fn(&Name) -> bool) {
        self.second_openings.retain_routes(exists);
    }
}
