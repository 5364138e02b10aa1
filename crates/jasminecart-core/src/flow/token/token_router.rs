//! The router of packets whose encapsulation carries a routing token.

mod cold;
mod evacuation;
mod explain;
mod learning;
mod second_copies;
mod services;

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use self::services::SelectedService;
use super::cold_targets::{ColdTargets, WarmUpLimit};
use super::observed_target::ObservedTarget;
use super::open_flows::{OpenFlow, OpenFlows};
use super::overload::{OverloadChange, OverloadControl};
use super::relative_latency::RouteMeans;
use super::routing_token::RoutingToken;
use super::second_openings::SecondOpenings;
use super::segment::{ClientSegment, SegmentKind};
use super::service_load::ServiceLoads;
use super::silence::{Eligibility, SilenceDetector};
use super::target_selector::{Choice, SelectionCriteria, TargetSelector};
use super::target_tokens::TargetTokens;
use super::verdict::{
    CompletedRequest, Decision, DropCause, ResetCause, SuspicionChange, TokenCounters, Verdict,
};
use crate::hashing::HashMap;
use crate::names::{Name, VmId};
use crate::time::Millis;
use crate::version::{
    Effect, Evacuations, Repeatable, RouteRule, Routes, StoreRevision, TargetChange, TargetList,
    TargetRecord,
};

/// Bounds of a [`TokenRouter`].
#[derive(Clone, Copy, Debug)]
pub struct TokenRouterLimits {
    /// The maximum number of tracked flows. Flows beyond it are routed, but not tracked.
    pub max_flows: usize,
    /// Whether new flows to overloaded services are refused.
    pub refuses_under_overload: bool,
    /// The limit on new flows to targets that started recently, if there is one.
    pub warm_up: Option<WarmUpLimit>,
    /// Whether services that cannot carry their share of a route pass it to other services, and
    /// routes are guaranteed a minimum under overload.
    pub shares_capacity: bool,
}

impl Default for TokenRouterLimits {
    fn default() -> Self {
        // About 100 bytes each. A VM is planned to carry 14,500 open flows in two years.
        TokenRouterLimits {
            max_flows: 20_000,
            refuses_under_overload: true,
            warm_up: None,
            shares_capacity: true,
        }
    }
}

/// Routes packets whose encapsulation carries a token, from the list of targets alone. See
/// `docs/platform.md`.
#[derive(Debug)]
pub struct TokenRouter {
    limits: TokenRouterLimits,
    routes: Option<Arc<Routes>>,
    list: TargetList,
    evacuations: Evacuations,
    targets: Vec<ObservedTarget>,
    tokens: TargetTokens,
    by_service: HashMap<Name, Vec<usize>>,
    flows: OpenFlows,
    /// When the receive queue was last seen empty.
    queue_empty_at: Millis,
    /// When the latest packet was forwarded that some target has responded to. It proves that this VM was
    /// able to send packets then.
    last_delivered_at: Millis,
    /// The silence of whole data centres, which a partition between them causes.
    data_centres: Vec<(Name, SilenceDetector)>,
    route_means: RouteMeans,
    overload: OverloadControl,
    cold_targets: ColdTargets,
    loads: ServiceLoads,
    selector: TargetSelector,
    second_openings: SecondOpenings,
    rng: ChaCha8Rng,
    decision: Option<Decision>,
    completed_request: Option<CompletedRequest>,
    suspicion_changes: Vec<SuspicionChange>,
    lapsed_evacuations: Vec<Name>,
    counters: TokenCounters,
}

impl TokenRouter {
    /// Creates the router of one VM. It drops all packets until routes and targets are set.
    pub fn new(me: &VmId, seed: u64, limits: TokenRouterLimits) -> TokenRouter {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let selector_rng = ChaCha8Rng::seed_from_u64(rng.random());
        TokenRouter {
            limits,
            routes: None,
            list: TargetList::default(),
            evacuations: Evacuations::default(),
            targets: Vec::new(),
            tokens: TargetTokens::default(),
            by_service: HashMap::default(),
            flows: OpenFlows::default(),
            queue_empty_at: Millis::ZERO,
            last_delivered_at: Millis::ZERO,
            data_centres: Vec::new(),
            route_means: RouteMeans::default(),
            overload: OverloadControl::new(limits.shares_capacity),
            cold_targets: ColdTargets::new(me.clone(), limits.warm_up),
            loads: ServiceLoads::default(),
            selector: TargetSelector::new(me.data_centre.clone(), selector_rng),
            second_openings: SecondOpenings::default(),
            rng,
            decision: None,
            completed_request: None,
            suspicion_changes: Vec::new(),
            lapsed_evacuations: Vec::new(),
            counters: TokenCounters::default(),
        }
    }

    /// Replaces the routes if `routes` supersede them. Returns whether they were replaced.
    pub fn set_routes(&mut self, routes: Arc<Routes>) -> bool {
        let adopt = self.routes.as_ref().is_none_or(|current| routes.supersede(current));
        if adopt {
            let names: HashSet<&Name> = routes.by_address.values().map(|rule| &rule.name).collect();
            self.route_means.retain(|name| names.contains(name));
            self.retain_second_copies(|name| names.contains(name));
            let services = routes.by_address.values().flat_map(|rule| &rule.services);
            let services: HashSet<&Name> = services.map(|(service, _)| service).collect();
            self.overload.retain(|service| services.contains(service));
            self.cold_targets.set_services(&routes.services);
            self.routes = Some(routes);
            self.estimate_loads();
        }
        adopt
    }

    /// Records that the store responds again after an outage.
    pub fn set_store_recovered(&mut self, now: Millis) {
        self.list.set_store_recovered(now);
    }

    /// Records when the store last confirmed this VM's view, directly or through a peer.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.list.set_confirmed(at);
        self.evacuations.set_confirmed(at);
    }

    /// Replaces the whole list of targets with one that was read at `revision`. Returns what changed, and which
    /// records were outdated.
    pub fn set_targets(
        &mut self,
        now: Millis,
        records: Vec<TargetRecord>,
        revision: StoreRevision,
    ) -> Vec<(Name, Effect)> {
        let effects = self.list.replace(now, records, revision);
        for (name, effect) in effects.iter().filter(|(_, effect)| effect.is_change()) {
            self.update_target(now, name, *effect);
        }
        effects
    }

    /// Applies one change to the list of targets.
    pub fn change_target(&mut self, now: Millis, change: TargetChange) -> Effect {
        let name = change.name().clone();
        let effect = self.list.apply(now, change);
        if effect.is_change() {
            self.update_target(now, &name, effect);
        }
        effect
    }

    /// Expires targets and idle flows. Call it about every 100 ms.
    pub fn tick(&mut self, now: Millis) {
        if self.is_ready() {
            self.overload.tick(now);
            self.tick_loads(now);
        }
        self.expire_evacuations(now);
        self.judge_overtaken(now);
        let expired = self.list.expire(now);
        for name in &expired.removed {
            self.update_target(now, name, Effect::Changed);
        }
        if !expired.purged.is_empty() {
            self.rebuild_tables(now);
        }
        self.tick_cold_targets(now);
        let idle = self.routes.as_ref().map_or(Millis::MAX, |routes| routes.idle_timeout);
        for flow in self.flows.expire(now, idle) {
            self.subtract_load(&flow);
        }
    }

    /// Records that the receive queue was empty at `now`, so that packets read later also arrived later.
    pub fn set_receive_queue_empty(&mut self, now: Millis) {
        self.queue_empty_at = now;
    }

    /// Routes one packet. For a new flow, [`TokenRouter::take_decision`] returns the choice and its inputs.
    pub fn on_segment(&mut self, now: Millis, segment: &ClientSegment) -> Verdict {
        let verdict = self.route(now, segment);
        match verdict {
            Verdict::Forward(_) => {}
            Verdict::Reset(_) => self.counters.resets += 1,
            Verdict::Drop(_) => self.counters.dropped += 1,
        }
        verdict
    }

    /// Returns and clears the decision about the last packet that opened a flow.
    pub fn take_decision(&mut self) -> Option<Decision> {
        self.decision.take()
    }

    /// Returns and clears the last request whose response the client acknowledged.
    pub fn take_completed_request(&mut self) -> Option<CompletedRequest> {
        self.completed_request.take()
    }

    /// Returns which targets became suspected or cleared since the last call.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        std::mem::take(&mut self.suspicion_changes)
    }

    /// Returns which services became overloaded, or recovered, since the last call.
    pub fn take_overload_changes(&mut self) -> Vec<OverloadChange> {
        self.overload.take_changes()
    }

    /// Returns how many services are overloaded.
    pub fn overloaded_services(&self) -> usize {
        self.overload.overloaded_count()
    }

    /// Returns how many targets are suspected of being silent.
    pub fn suspects(&self) -> usize {
        self.targets.iter().filter(|target| target.silence.is_suspected()).count()
    }

    /// Returns whether the router has routes and targets.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.targets.is_empty()
    }

    /// Returns the current routes.
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Returns the list of targets.
    pub fn targets(&self) -> &TargetList {
        &self.list
    }

    /// Returns the number of tracked flows.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> TokenCounters {
        self.counters
    }

    fn route(&mut self, now: Millis, segment: &ClientSegment) -> Verdict {
        // Taken out for the duration of the call, because cloning the `Arc` costs as much as a look-up.
        let Some(routes) = self.routes.take() else { return Verdict::Drop(DropCause::NotReady) };
        let verdict = self.route_with(now, segment, &routes);
        self.routes = Some(routes);
        verdict
    }

    fn route_with(&mut self, now: Millis, segment: &ClientSegment, routes: &Routes) -> Verdict {
        let Some(rule) = routes.rule(&segment.flow.service) else {
            return Verdict::Reset(ResetCause::NoRoute);
        };
        match segment.kind {
            SegmentKind::Open { copy } => {
                self.route_opening(now, segment, copy, rule, routes.version)
            }
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Abort => {
                self.route_open_flow(now, segment, rule)
            }
        }
    }

    fn route_opening(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        copy: u32,
        rule: &RouteRule,
        version: u64,
    ) -> Verdict {
        if self.targets.is_empty() {
            return Verdict::Drop(DropCause::NotReady);
        }
        let earlier = self.earlier_target(now, &segment.flow, copy);
        let earlier_second = self.earlier_second_target(now, &segment.flow, copy);
        let Some(SelectedService { name: service, instead_of: passed_by }) =
            self.select_service(now, rule)
        else {
            // The client retransmits after 200 ms and 600 ms, when a target may be registered again.
            return if self.list.is_settled(now) {
                Verdict::Reset(ResetCause::NoTarget)
            } else {
                Verdict::Drop(DropCause::NoTargetYet)
            };
        };
        if !self.admits(now, &service, rule) {
            return Verdict::Reset(ResetCause::Overloaded);
        }
        let may_probe = rule.repeatable == Repeatable::Always;
        self.update_eligibility(now, &service);
        let withheld = self.update_cold_targets(now, &service);
        self.counters.withheld_openings += u64::from(withheld);
        let criteria = SelectionCriteria {
            ambiguous: &[],
            avoid: [earlier, earlier_second],
            avoid_data_centre: None,
            may_probe,
            bytes: self.route_means.bytes(&rule.name),
        };
        let address = segment.flow.service;
        let Some((choice, token)) = self.choose_target(now, &service, address, criteria) else {
            let cause = if withheld { ResetCause::TargetsCold } else { ResetCause::NoTarget };
            return Verdict::Reset(cause);
        };
        self.count_cold_opening(now, choice.index);
        let target = &mut self.targets[choice.index];
        if target.eligibility == Eligibility::ProbeOnly {
            target.silence.on_probe(now);
            self.data_centres[target.data_centre_index].1.on_probe(now);
        }
        let destination = target.destination(token);
        let instead_of = earlier.filter(|index| *index != choice.index);
        self.counters.openings += 1;
        self.counters.repeated_openings += u64::from(copy > 0);
        self.counters.moved_openings += u64::from(instead_of.is_some());
        self.record_decision(rule, choice, instead_of, version);
        if let Some(decision) = &mut self.decision {
            decision.passed_by = passed_by;
        }
        self.track_opening(now, segment, choice.index, token, instead_of.is_some());
        self.consider_second_copy(now, segment, copy, rule, choice.index, earlier);
        Verdict::Forward(destination)
    }

    /// Selects a target of a service whose token for the service address no other target has. A VM that does not
    /// know the flow could not tell which of two targets with one token has it.
    fn choose_target(
        &mut self,
        now: Millis,
        service: &Name,
        address: SocketAddrV4,
        criteria: SelectionCriteria<'_>,
    ) -> Option<(Choice, RoutingToken)> {
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut ambiguous = Vec::new();
        loop {
            let criteria = SelectionCriteria { ambiguous: &ambiguous, ..criteria };
            let choice = self.selector.choose(now, &self.targets, indices, criteria)?;
            let token = self.targets[choice.index].key.token(address);
            if !self.tokens.is_shared(choice.index, token, address) {
                return Some((choice, token));
            }
            self.counters.ambiguous += 1;
            ambiguous.push(choice.index);
        }
    }

    /// Returns whether a new flow to a service is opened, or refused because of overload. The
    /// client may retry it: a flow that was never opened has not run anything.
    fn admits(&mut self, now: Millis, service: &Name, rule: &RouteRule) -> bool {
        if !self.limits.refuses_under_overload {
            return true;
        }
        let indices = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let targets = &self.targets;
        let in_progress = || indices.iter().map(|index| targets[*index].active_requests).sum();
        self.overload.admits(now, service, rule, in_progress)
    }

    fn record_decision(
        &mut self,
        rule: &RouteRule,
        choice: Choice,
        instead_of: Option<usize>,
        version: u64,
    ) {
        let name = |index: usize| self.targets[index].name.clone();
        let decision = Decision {
            route: rule.name.clone(),
            target: name(choice.index),
            choice,
            instead_of: instead_of.map(name),
            passed_by: None,
            version,
        };
        self.decision = Some(decision);
    }

    /// Updates which targets of a service may get new flows.
    fn update_eligibility(&mut self, now: Millis, service: &Name) {
        let Some(indices) = self.by_service.get(service) else { return };
        for &index in indices {
            let target = &mut self.targets[index];
            let (_, silence) = &self.data_centres[target.data_centre_index];
            let eligibility = if silence.is_partitioned() {
                silence.eligibility(now)
            } else {
                Eligibility::Eligible
            };
            target.eligibility = target.silence.eligibility(now).max(eligibility);
        }
    }

    fn route_open_flow(
        &mut self,
        now: Millis,
        segment: &ClientSegment,
        rule: &RouteRule,
    ) -> Verdict {
        let Some(echoed) = segment.token else { return Verdict::Drop(DropCause::NoToken) };
        let second_copies = self.second_openings.budget.is_enabled();
        let mut tracked = self.flows.get_mut(&segment.flow);
        // If two targets responded to the opening, the client may echo the token of the other one.
        let is_known = |flow: &&OpenFlow| {
            let opened_twice =
                flow.opening_moved || (second_copies && flow.is_continued_by(segment));
            flow.token == echoed || (flow.established && opened_twice)
        };
        let (token, found) = match tracked.as_deref().filter(is_known) {
            Some(flow) => {
                (flow.token, self.tokens.index_of(flow.target).ok_or(DropCause::UnknownToken))
            }
            None => (echoed, self.tokens.find(echoed, segment.flow.service)),
        };
        let index = match found {
            Ok(index) => index,
            Err(cause) => return Verdict::Drop(cause),
        };
        let target = &self.targets[index];
        if now >= target.delivery_ends_at {
            self.remove_flow(&segment.flow);
            return Verdict::Reset(ResetCause::TargetGone);
        }
        let destination = target.destination(token);
        let id = target.key.id();
        let observation = match tracked.take_if(|flow| flow.target == id) {
            Some(flow) => flow.on_segment(now, segment),
            None => self.track_flow(now, segment, index, token),
        };
        if self.apply_observation(now, segment, index, rule, observation) {
            self.remove_flow(&segment.flow);
            return Verdict::Reset(ResetCause::TargetSilent);
        }
        self.counters.forwarded += 1;
        Verdict::Forward(destination)
    }

    /// Updates the tables after one target changed. A target that did not restart keeps its observations.
    /// Adding a target takes constant time, because thousands of them register when a deployment starts.
    /// Changing one is linear in the number of its service's targets.
    fn update_target(&mut self, now: Millis, name: &Name, effect: Effect) {
        let Some(listed) = self.list.get(name).cloned() else { return };
        let data_centre_index = self.data_centre_index(&listed.record.data_centre);
        let target = ObservedTarget::new(now, &listed, data_centre_index);
        let Some(index) = self.index_of(&target) else { return self.add_target(target) };
        let earlier = &self.targets[index];
        let target = match effect {
            Effect::Restarted => target,
            _ => target.with_observations(earlier),
        };
        if let Some(indices) = self.by_service.get_mut(&earlier.service) {
            indices.retain(|other| *other != index);
        }
        self.targets[index] = target;
        self.add_candidate(index);
    }

    /// Returns the index at which a target is already in the tables.
    fn index_of(&self, target: &ObservedTarget) -> Option<usize> {
        let index = self.tokens.index_of(target.key.id())?;
        if self.targets[index].name == target.name {
            return Some(index);
        }
        // Another target's name has the same hash.
        self.targets.iter().position(|other| other.name == target.name)
    }

    /// Adds a target that is not in the tables yet.
    fn add_target(&mut self, target: ObservedTarget) {
        let index = self.targets.len();
        self.tokens.push(target.key);
        self.targets.push(target);
        self.add_candidate(index);
    }

    /// Adds a target to the candidates for new flows of its service, if it accepts any and its data
    /// centre is not evacuated.
    fn add_candidate(&mut self, index: usize) {
        let target = &self.targets[index];
        if target.accepts_flows && !self.evacuations.is_evacuated(&target.data_centre) {
            self.by_service.entry(target.service.clone()).or_default().push(index);
        }
    }

    /// Rebuilds the tables from the list, after targets were removed from it.
    fn rebuild_tables(&mut self, now: Millis) {
        let earlier: HashMap<Name, ObservedTarget> =
            self.targets.drain(..).map(|target| (target.name.clone(), target)).collect();
        self.tokens.clear();
        self.by_service.clear();
        let list = std::mem::take(&mut self.list);
        for listed in list.iter() {
            let data_centre_index = self.data_centre_index(&listed.record.data_centre);
            let target = ObservedTarget::new(now, listed, data_centre_index);
            self.add_target(match earlier.get(&target.name) {
                Some(earlier) => target.with_observations(earlier),
                None => target,
            });
        }
        self.list = list;
    }

    /// Returns the index of a data centre in `data_centres`, and adds it if it is new.
    fn data_centre_index(&mut self, data_centre: &Name) -> usize {
        let index = self.data_centres.iter().position(|(name, _)| name == data_centre);
        index.unwrap_or_else(|| {
            self.data_centres.push((data_centre.clone(), SilenceDetector::default()));
            self.data_centres.len() - 1
        })
    }
}
