//! Explains decisions without making them: nothing here changes the router.

use super::TokenRouter;
use crate::flow::token::cold_targets::{ColdExplanation, ColdState};
use crate::flow::token::explanation::{
    AdmissionExplanation, Candidate, Exclusion, Explanation, Inputs, NewFlowExplanation,
    OpenFlowExplanation, Outcome, RouteExplanation, ServiceExplanation,
};
use crate::flow::token::observed_target::ObservedTarget;
use crate::flow::token::open_flows::OpenFlow;
use crate::flow::token::routing_token::RoutingToken;
use crate::flow::token::segment::FlowId;
use crate::flow::token::silence::Eligibility;
use crate::flow::token::target_selector::SelectionCriteria;
use crate::flow::token::verdict::{DropCause, ResetCause};
use crate::names::Name;
use crate::time::Millis;
use crate::version::{EvacuationState, Registration, Repeatable, RouteRule, Routes, TargetState};

/// The maximum number of targets of a service that an explanation lists. It bounds the time and the size of a
/// response on small VMs.
const MAX_CANDIDATES: usize = 200;

impl TokenRouter {
    /// Explains where packets of a flow go, and where a new flow of the client would go. `token` is the one that
    /// the packets carry; without it, that of the tracked flow is used.
    ///
    /// It changes nothing and draws no random numbers, so that explaining never affects traffic.
    pub fn explain(&self, now: Millis, flow: &FlowId, token: Option<RoutingToken>) -> Explanation {
        let routes = self.routes.as_deref();
        let rule = routes.and_then(|routes| routes.rule(&flow.service));
        Explanation {
            client: flow.client,
            service: flow.service,
            inputs: self.explain_inputs(now, routes),
            route: rule.map(|rule| self.explain_route(rule)),
            open_flow: self.explain_open_flow(now, flow, token, rule.map(AsRef::as_ref)),
            new_flow: self.explain_new_flow(now, flow, rule.map(AsRef::as_ref)),
        }
    }

    fn explain_inputs(&self, now: Millis, routes: Option<&Routes>) -> Inputs {
        Inputs {
            loaded: self.is_ready(),
            routes_version: routes.map(|routes| routes.version),
            routes_revision: routes.map(|routes| routes.revision.to_string()),
            confirmed_ms_ago: now.since(self.list.confirmed_at()),
            queue_empty_ms_ago: now.since(self.queue_empty_at),
            delivered_ms_ago: now.since(self.last_delivered_at),
            known_targets: self.targets.len(),
            settled: self.list.is_settled(now),
            evacuated: self.explain_evacuations(),
            tracked_flows: self.flows.len(),
            max_tracked_flows: self.limits.max_flows,
        }
    }

    fn explain_evacuations(&self) -> Vec<Name> {
        let in_force = self.evacuations.iter().filter(|(_, evacuation)| evacuation.is_in_force());
        in_force.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    fn explain_route(&self, rule: &RouteRule) -> RouteExplanation {
        RouteExplanation {
            name: rule.name.clone(),
            repeatable: rule.repeatable == Repeatable::Always,
            priority: rule.priority,
            objective_ms: rule.objective,
            timeout_ms: rule.timeout,
            mean_request_bytes: self.route_means.bytes(&rule.name),
        }
    }

    fn explain_open_flow(
        &self,
        now: Millis,
        flow: &FlowId,
        token: Option<RoutingToken>,
        rule: Option<&RouteRule>,
    ) -> Option<OpenFlowExplanation> {
        let tracked = self.flows.get(flow);
        let echoed = token.or(tracked.map(|flow| flow.token))?;
        let known =
            tracked.filter(|flow| flow.token == echoed || (flow.established && flow.opening_moved));
        let (token, found) = match known {
            Some(flow) => {
                (flow.token, self.tokens.index_of(flow.target).ok_or(DropCause::UnknownToken))
            }
            None => (echoed, self.tokens.find(echoed, flow.service)),
        };
        let outcome = match (rule, found) {
            _ if self.routes.is_none() => dropped(DropCause::NotReady),
            (None, _) => reset(ResetCause::NoRoute),
            (Some(_), Err(cause)) => dropped(cause),
            (Some(_), Ok(index)) if now >= self.targets[index].delivery_ends_at => {
                reset(ResetCause::TargetGone)
            }
            (Some(_), Ok(index)) => forward(&self.targets[index], token),
        };
        let confirmed = found.is_ok_and(|index| self.targets[index].silence.is_confirmed());
        let started_at = tracked.and_then(|flow| flow.request_started_at);
        Some(OpenFlowExplanation {
            tracked: tracked.is_some(),
            established: tracked.is_some_and(|flow| flow.established),
            token: hexadecimal(token),
            last_packet_ms_ago: tracked.map(|flow| now.since(flow.last_segment_at)),
            request_in_progress_ms: started_at.map(|at| now.since(at)),
            retransmissions: tracked.map_or(0, |flow| flow.retransmissions),
            reset_if_retransmitted: confirmed
                && rule.is_some_and(|rule| rule.repeatable == Repeatable::Always),
            outcome,
        })
    }

    fn explain_new_flow(
        &self,
        now: Millis,
        flow: &FlowId,
        rule: Option<&RouteRule>,
    ) -> NewFlowExplanation {
        let refuse = |outcome| NewFlowExplanation { refused: Some(outcome), services: Vec::new() };
        if self.routes.is_none() {
            return refuse(dropped(DropCause::NotReady));
        }
        let Some(rule) = rule else { return refuse(reset(ResetCause::NoRoute)) };
        if self.targets.is_empty() {
            return refuse(dropped(DropCause::NotReady));
        }
        let weight = |(service, share): &(Name, u32)| {
            let has_targets =
                self.by_service.get(service).is_some_and(|indices| !indices.is_empty());
            if has_targets { u64::from(*share) } else { 0 }
        };
        let total: u64 = rule.services.iter().map(weight).sum();
        let refused = (total == 0).then(|| self.without_target(now));
        let services = rule.services.iter().map(|service| {
            let percent = 100.0 * weight(service) as f64 / total.max(1) as f64;
            self.explain_service(now, flow, rule, service, percent)
        });
        NewFlowExplanation { refused, services: services.collect() }
    }

    fn without_target(&self, now: Millis) -> Outcome {
        if self.list.is_settled(now) {
            reset(ResetCause::NoTarget)
        } else {
            dropped(DropCause::NoTargetYet)
        }
    }

    fn explain_service(
        &self,
        now: Millis,
        flow: &FlowId,
        rule: &RouteRule,
        (service, share): &(Name, u32),
        selected_percent: f64,
    ) -> ServiceExplanation {
        let admission = self.explain_admission(now, rule, service);
        let of_service = self.targets.iter().enumerate();
        let of_service = of_service.filter(|(_, target)| target.service == *service);
        let mut candidates: Vec<(usize, Candidate)> = of_service
            .map(|(index, _)| (index, self.explain_candidate(now, flow, rule, index)))
            .collect();
        let order =
            |candidate: &Candidate| (candidate.is_unusable(), !candidate.excluded_by.is_empty());
        candidates.sort_by(|(_, a), (_, b)| {
            order(a).cmp(&order(b)).then(a.cost.total_cmp(&b.cost)).then(a.target.cmp(&b.target))
        });
        // The order puts the target that is selected first.
        let best = candidates.first().filter(|(_, candidate)| !candidate.is_unusable());
        let has_targets = self.by_service.get(service).is_some_and(|indices| !indices.is_empty());
        let outcome = match best {
            _ if !has_targets => self.without_target(now),
            _ if admission.enforced
                && !admission.guaranteed
                && admission.left.is_some_and(|left| left <= 0.0) =>
            {
                reset(ResetCause::Overloaded)
            }
            Some((index, _)) => {
                let target = &self.targets[*index];
                forward(target, target.key.token(flow.service))
            }
            None if self.withholds_cold_target(now, service) => reset(ResetCause::TargetsCold),
            None => reset(ResetCause::NoTarget),
        };
        let tied = best.map_or(Vec::new(), |(_, best)| {
            let equal = |candidate: &&Candidate| {
                order(candidate) == order(best) && candidate.cost == best.cost
            };
            let others = candidates.iter().skip(1).map(|(_, candidate)| candidate);
            others.take_while(equal).map(|candidate| candidate.target.clone()).collect()
        });
        let all_suspect = best.is_some_and(|(_, best)| !best.excluded_by.is_empty());
        let omitted = candidates.len().saturating_sub(MAX_CANDIDATES);
        candidates.truncate(MAX_CANDIDATES);
        ServiceExplanation {
            service: service.clone(),
            share: *share,
            selected_percent,
            carried_percent: self.explain_carried(rule, service),
            outcome,
            tied,
            all_suspect,
            admission,
            candidates: candidates.into_iter().map(|(_, candidate)| candidate).collect(),
            omitted,
        }
    }

    fn explain_carried(&self, rule: &RouteRule, service: &Name) -> f64 {
        let index = rule.services.iter().position(|(name, _)| name == service);
        let alone = rule.services.len() == 1 || !self.limits.shares_capacity;
        let index = index.filter(|_| !alone);
        100.0 * index.map_or(1.0, |index| self.loads.carried(&rule.name, index).share)
    }

    fn withholds_cold_target(&self, now: Millis, service: &Name) -> bool {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut of_service = indices.iter().map(|index| &self.targets[*index]);
        of_service
            .any(|target| self.explain_cold(now, target).is_some_and(|cold| cold.state.withheld))
    }

    fn explain_admission(
        &self,
        now: Millis,
        rule: &RouteRule,
        service: &Name,
    ) -> AdmissionExplanation {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let in_progress = indices.iter().map(|index| self.targets[*index].active_requests).sum();
        let admission = self.overload.explain(now, service, rule, in_progress);
        let enforced = admission.enforced && self.limits.refuses_under_overload;
        AdmissionExplanation { enforced, ..admission }
    }

    fn explain_candidate(
        &self,
        now: Millis,
        flow: &FlowId,
        rule: &RouteRule,
        index: usize,
    ) -> Candidate {
        let target = &self.targets[index];
        let bytes = self.route_means.bytes(&rule.name);
        let criteria = SelectionCriteria { bytes, ..SelectionCriteria::default() };
        let cold = self.explain_cold(now, target);
        // The state that the target caches is updated with each opening only.
        let current = cold.map_or_else(ColdState::default, |cold| cold.state);
        let load =
            self.selector.load(now, &ObservedTarget { cold: current, ..target.clone() }, criteria);
        let cold = cold.filter(|cold| cold.state.is_cold);
        Candidate {
            target: target.name.clone(),
            data_centre: target.data_centre.clone(),
            address: target.address,
            cost: load.cost,
            excluded_by: self.exclusions(now, flow, rule, index),
            active_requests: load.active_requests,
            flows: load.flows,
            slots: target.slots,
            relative_latency: target.relative_latency.factor(now),
            refusal_load: target.refusals.load(now),
            warm_up_left_ms: target.warm_up_until - now,
            cold_left_ms: cold.map(|cold| cold.until - now),
            cold_openings_left: cold.map(|cold| cold.left),
            record_ms_ago: self.list.get(&target.name).map(|entry| now.since(entry.received_at)),
            last_contact_ms_ago: target.silence.last_contact_at().map(|at| now.since(at)),
        }
    }

    fn explain_cold(&self, now: Millis, target: &ObservedTarget) -> Option<ColdExplanation> {
        let rule = self.cold_targets.rule(&target.service)?;
        let (name, data_centre) = (&target.name, &target.data_centre);
        Some(self.cold_targets.explain(now, rule, name, data_centre, target.warm_up_until))
    }

    /// Returns what excludes a target from a new flow. The first copy of an opening excludes nothing else; for a flow
    /// that this VM saw only openings of, the next copy is explained.
    fn exclusions(
        &self,
        now: Millis,
        flow: &FlowId,
        rule: &RouteRule,
        index: usize,
    ) -> Vec<Exclusion> {
        let target = &self.targets[index];
        let (_, data_centre) = &self.data_centres[target.data_centre_index];
        let entry = self.list.get(&target.name);
        let mut exclusions = Vec::new();
        if !target.accepts_flows {
            let drains = entry.is_some_and(|entry| {
                entry.record.state == TargetState::Draining
                    && !matches!(entry.registration, Registration::Removed { .. })
            });
            exclusions.push(if drains { Exclusion::Draining } else { Exclusion::Removed });
        }
        let token = target.key.token(flow.service);
        if self.tokens.is_shared(index, token, flow.service) {
            exclusions.push(Exclusion::Ambiguous);
        }
        if let Some(evacuation) = self.evacuations.get(&target.data_centre)
            && evacuation.is_in_force()
        {
            exclusions.push(Exclusion::Evacuated {
                began_ms_ago: now.since(evacuation.began_at),
                doubted: matches!(evacuation.state, EvacuationState::Lost { .. }),
            });
        }
        match self.explain_cold(now, target) {
            Some(cold) if cold.state.withheld && cold.state.is_held => {
                exclusions.push(Exclusion::ColdShareUsed { share: cold.share });
            }
            Some(cold) if cold.state.withheld => exclusions.push(Exclusion::ColdNotHolder),
            Some(_) | None => {}
        }
        let own = target.silence.eligibility(now);
        let shared = match data_centre.is_partitioned() {
            true => data_centre.eligibility(now),
            false => Eligibility::Eligible,
        };
        if own == Eligibility::Suspected {
            exclusions.push(Exclusion::Silent { probe_in_ms: target.silence.probe_in(now) });
        }
        if shared == Eligibility::Suspected {
            exclusions.push(Exclusion::DataCentreSilent { probe_in_ms: data_centre.probe_in(now) });
        }
        let may_probe = rule.repeatable == Repeatable::Always;
        if own.max(shared) == Eligibility::ProbeOnly && !may_probe {
            exclusions.push(Exclusion::ProbeNeedsRepeatable);
        }
        let opening = self.flows.get(flow).filter(|flow| !flow.established);
        let got_copy = |flow: &OpenFlow| {
            let sent = [Some(flow.target), flow.second.map(|(second, _)| second)];
            sent.into_iter().flatten().any(|id| self.tokens.index_of(id) == Some(index))
        };
        if opening.is_some_and(got_copy) {
            exclusions.push(Exclusion::EarlierCopy);
        }
        exclusions
    }
}

fn forward(target: &ObservedTarget, token: RoutingToken) -> Outcome {
    Outcome::Forward {
        target: target.name.clone(),
        address: target.address,
        token: hexadecimal(token),
    }
}

fn reset(cause: ResetCause) -> Outcome {
    Outcome::Reset { cause: cause.label() }
}

fn dropped(cause: DropCause) -> Outcome {
    Outcome::Drop { cause: cause.label() }
}

fn hexadecimal(token: RoutingToken) -> String {
    format!("{:08x}", token.get())
}
