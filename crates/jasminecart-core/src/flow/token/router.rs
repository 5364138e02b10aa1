//! The facade of token routing.

mod learning;

use std::collections::HashSet;
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::open_flows::OpenFlows;
use super::routing_token::RoutingToken;
use super::segment::{ClientSegment, SegmentKind};
use super::silence::{Silence, Trust};
use super::slowness::RouteMeans;
use super::steering::{Choice, Steering, Wish};
use super::target_state::TargetState;
use super::verdict::{Answered, Belief, Decision, DropCause, ResetCause, TokenCounters, Verdict};
use crate::hashing::HashMap;
use crate::names::{Name, VmId};
use crate::time::Millis;
use crate::version::{
    Effect, Repeatable, Revision, RouteRule, Routes, TargetChange, TargetList, TargetRecord,
};

/// Bounds of a [`TokenRouter`].
#[derive(Clone, Copy, Debug)]
pub struct TokenRouterLimits {
    /// The most flows that are observed. Flows beyond are routed and not observed.
    pub max_flows: usize,
}

impl Default for TokenRouterLimits {
    fn default() -> Self {
        // About 100 bytes each; at the two-year size a VM carries 14,500 open flows.
        TokenRouterLimits { max_flows: 20_000 }
    }
}

/// Routes packets whose encapsulation carries a token. See `docs/platform.md`.
#[derive(Debug)]
pub struct TokenRouter {
    limits: TokenRouterLimits,
    routes: Option<Arc<Routes>>,
    list: TargetList,
    targets: Vec<TargetState>,
    by_token: HashMap<RoutingToken, usize>,
    by_service: HashMap<Name, Vec<usize>>,
    flows: OpenFlows,
    /// When no packet was waiting to be read.
    drained_at: Millis,
    /// The latest time at which a packet was forwarded that some target answered. It proves that packets
    /// left this VM then.
    proved_at: Millis,
    /// The silence of whole data centres, which a cut between them causes.
    data_centres: Vec<(Name, Silence)>,
    means: RouteMeans,
    steering: Steering,
    rng: ChaCha8Rng,
    decision: Option<Decision>,
    answered: Option<Answered>,
    beliefs: Vec<Belief>,
    counters: TokenCounters,
}

impl TokenRouter {
    /// Creates the router of one VM. It drops all packets until it knows routes and targets.
    pub fn new(me: &VmId, seed: u64, limits: TokenRouterLimits) -> TokenRouter {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let steering_rng = ChaCha8Rng::seed_from_u64(rng.random());
        TokenRouter {
            limits,
            routes: None,
            list: TargetList::default(),
            targets: Vec::new(),
            by_token: HashMap::default(),
            by_service: HashMap::default(),
            flows: OpenFlows::default(),
            drained_at: Millis::ZERO,
            proved_at: Millis::ZERO,
            data_centres: Vec::new(),
            means: RouteMeans::default(),
            steering: Steering::new(me.data_centre.clone(), steering_rng),
            rng,
            decision: None,
            answered: None,
            beliefs: Vec::new(),
            counters: TokenCounters::default(),
        }
    }

    /// Adopts routes unless newer ones are in force. Returns whether they were adopted.
    pub fn set_routes(&mut self, routes: Arc<Routes>) -> bool {
        let newer = |known: &Arc<Routes>| routes.revision > known.revision;
        let adopt = self.routes.as_ref().is_none_or(newer);
        if adopt {
            let names: HashSet<&Name> = routes.by_address.values().map(|rule| &rule.name).collect();
            self.means.retain(|name| names.contains(name));
            self.routes = Some(routes);
        }
        adopt
    }

    /// Notes that the store answers again after an outage.
    pub fn set_store_returned(&mut self, now: Millis) {
        self.list.set_store_returned(now);
    }

    /// Notes when the store last confirmed what this VM knows, directly or through a peer.
    pub fn set_confirmed(&mut self, at: Millis) {
        self.list.set_confirmed(at);
    }

    /// Takes a whole list of targets that was read at `revision`.
    pub fn set_targets(
        &mut self,
        now: Millis,
        records: Vec<TargetRecord>,
        revision: Revision,
    ) -> Vec<(Name, Effect)> {
        let effects = self.list.replace(now, records, revision);
        for (name, effect) in &effects {
            self.update(now, name, *effect);
        }
        effects
    }

    /// Applies one change of the list of targets.
    pub fn change_target(&mut self, now: Millis, change: TargetChange) -> Effect {
        let name = change.name().clone();
        let effect = self.list.apply(now, change);
        if effect != Effect::Ignored {
            self.update(now, &name, effect);
        }
        effect
    }

    /// Does what time alone requires. It has to be called about every 100 ms.
    pub fn tick(&mut self, now: Millis) {
        let expired = self.list.expire(now);
        for name in &expired.removed {
            self.update(now, name, Effect::Changed);
        }
        if !expired.purged.is_empty() {
            self.rebuild(now);
        }
        let idle = self.routes.as_ref().map_or(Millis::MAX, |routes| routes.idle_timeout);
        for flow in self.flows.expire(now, idle) {
            self.forget(&flow);
        }
    }

    /// Notes that no packet was waiting to be read at `now`, so that later ones arrived afterwards.
    pub fn set_drained(&mut self, now: Millis) {
        self.drained_at = now;
    }

    /// Decides about one packet. [`TokenRouter::take_decision`] explains the choice for a new flow.
    pub fn on_segment(&mut self, now: Millis, segment: &ClientSegment) -> Verdict {
        let verdict = self.route(now, segment);
        match verdict {
            Verdict::Forward(_) => {}
            Verdict::Reset(_) => self.counters.resets += 1,
            Verdict::Drop(_) => self.counters.dropped += 1,
        }
        verdict
    }

    /// Returns the decision about the last packet, if it opened a flow.
    pub fn take_decision(&mut self) -> Option<Decision> {
        self.decision.take()
    }

    /// Returns a request, if the last packet acknowledged its answer.
    pub fn take_answered(&mut self) -> Option<Answered> {
        self.answered.take()
    }

    /// Returns the changes of belief since the last call.
    pub fn take_beliefs(&mut self) -> Vec<Belief> {
        std::mem::take(&mut self.beliefs)
    }

    /// Returns how many targets are suspected of not answering.
    pub fn suspects(&self) -> usize {
        self.targets.iter().filter(|target| target.silence.is_suspected()).count()
    }

    /// Tells whether the router knows routes and targets.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.targets.is_empty()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Returns the list of targets.
    pub fn targets(&self) -> &TargetList {
        &self.list
    }

    /// Returns how many flows are observed.
    pub fn observed_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the counts.
    pub fn counters(&self) -> TokenCounters {
        self.counters
    }

    fn route(&mut self, now: Millis, segment: &ClientSegment) -> Verdict {
        // Taken out for the moment, because counting a reference costs as much as a look-up.
        let Some(routes) = self.routes.take() else { return Verdict::Drop(DropCause::NotReady) };
        let verdict = self.route_by(now, segment, &routes);
        self.routes = Some(routes);
        verdict
    }

    fn route_by(&mut self, now: Millis, segment: &ClientSegment, routes: &Routes) -> Verdict {
        let Some(rule) = routes.rule(&segment.flow.service) else {
            return Verdict::Reset(ResetCause::NoRoute);
        };
        match segment.kind {
            SegmentKind::Open { copy } => self.open(now, segment, copy, rule, routes.version),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Abort => {
                self.pass_on(now, segment, rule)
            }
        }
    }

    fn open(
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
        let Some(service) = self.pick_service(rule) else {
            // The client's copies follow after 200 ms and 600 ms, when its target may be listed again.
            return if self.list.is_settled(now) {
                Verdict::Reset(ResetCause::NoTarget)
            } else {
                Verdict::Drop(DropCause::NoTargetYet)
            };
        };
        let may_try = rule.repeatable == Repeatable::Always;
        self.update_trust(now, &service);
        let members = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);
        let wish = Wish { avoid: earlier, may_try, bytes: self.means.bytes(&rule.name) };
        let choice = self.steering.choose(now, &self.targets, members, wish);
        let Some(choice) = choice else { return Verdict::Reset(ResetCause::NoTarget) };
        let target = &mut self.targets[choice.index];
        if target.trust == Trust::Trial {
            target.silence.on_trial(now);
            self.data_centres[target.place].1.on_trial(now);
        }
        let destination = target.destination();
        let instead_of = earlier.filter(|index| *index != choice.index);
        self.counters.openings += 1;
        self.counters.repeated_openings += u64::from(copy > 0);
        self.counters.moved_openings += u64::from(instead_of.is_some());
        self.note_decision(rule, choice, instead_of, version);
        self.observe_opening(now, segment, choice.index, instead_of.is_some());
        Verdict::Forward(destination)
    }

    fn note_decision(
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
            version,
        };
        self.decision = Some(decision);
    }

    /// Works out which targets of a service may get new flows.
    fn update_trust(&mut self, now: Millis, service: &Name) {
        let Some(members) = self.by_service.get(service) else { return };
        for &index in members {
            let target = &mut self.targets[index];
            let (_, silence) = &self.data_centres[target.place];
            let trust = if silence.is_cut() { silence.trust(now) } else { Trust::Trusted };
            target.trust = target.silence.trust(now).max(trust);
        }
    }

    /// Picks a service of the route by the shares of those that have targets.
    fn pick_service(&mut self, rule: &RouteRule) -> Option<Name> {
        let mut open = rule.services.iter().filter(|(name, share)| {
            *share > 0 && self.by_service.get(name).is_some_and(|members| !members.is_empty())
        });
        if rule.services.len() == 1 {
            return open.next().map(|(name, _)| name.clone());
        }
        let total: u64 = open.clone().map(|(_, share)| u64::from(*share)).sum();
        if total == 0 {
            return None;
        }
        let mut rest = self.rng.random_range(0..total);
        for (name, share) in open {
            let share = u64::from(*share);
            if rest < share {
                return Some(name.clone());
            }
            rest -= share;
        }
        None
    }

    fn pass_on(&mut self, now: Millis, segment: &ClientSegment, rule: &RouteRule) -> Verdict {
        let Some(echoed) = segment.token else { return Verdict::Drop(DropCause::NoToken) };
        let mut observed = self.flows.get_mut(&segment.flow);
        // The client of a flow whose opening was answered twice may echo the token of the other target.
        let opened = observed.as_deref().filter(|flow| flow.established && flow.moved);
        let token = opened.map_or(echoed, |flow| flow.target);
        let Some(&index) = self.by_token.get(&token) else {
            return Verdict::Drop(DropCause::UnknownToken);
        };
        let target = &self.targets[index];
        if !rule.allows(&target.service) {
            return Verdict::Drop(DropCause::ForeignToken);
        }
        if now >= target.gone_at {
            self.end(&segment.flow);
            return Verdict::Reset(ResetCause::TargetGone);
        }
        let destination = target.destination();
        let seen = match observed.take_if(|flow| flow.target == token) {
            Some(flow) => flow.on_segment(now, segment),
            None => self.observe_anew(now, segment, index),
        };
        if self.learn(now, segment, index, rule, seen) {
            self.end(&segment.flow);
            return Verdict::Reset(ResetCause::TargetSilent);
        }
        self.counters.forwarded += 1;
        Verdict::Forward(destination)
    }

    /// Brings the tables in line with one changed target. Observations stay with a target that did not
    /// restart. Adding one costs the same however many there are: thousands of them register when a
    /// deployment starts. Changing one costs a pass over the places of its service's targets.
    fn update(&mut self, now: Millis, name: &Name, effect: Effect) {
        let Some(listed) = self.list.get(name).cloned() else { return };
        let place = self.place_of(&listed.record.data_centre);
        let target = TargetState::new(now, &listed, place);
        let Some(index) = self.index_of(&target) else { return self.insert(target) };
        let earlier = &self.targets[index];
        let target = match effect {
            Effect::Restarted => target.with_ambiguity(earlier),
            _ => target.with_ambiguity(earlier).with_observations(earlier),
        };
        if let Some(members) = self.by_service.get_mut(&earlier.service) {
            members.retain(|member| *member != index);
        }
        self.targets[index] = target;
        self.offer(index);
    }

    /// Returns the place of an earlier state of a target.
    fn index_of(&self, target: &TargetState) -> Option<usize> {
        let &index = self.by_token.get(&target.token)?;
        if self.targets[index].name == target.name {
            return Some(index);
        }
        // Another target has the same token.
        self.targets.iter().position(|known| known.name == target.name)
    }

    /// Adds a target that is not in the tables.
    fn insert(&mut self, mut target: TargetState) {
        let index = self.targets.len();
        if let Some(&other) = self.by_token.get(&target.token) {
            target.ambiguous = true;
            self.counters.ambiguous_targets += 1;
            self.targets[other].ambiguous = true;
        } else {
            self.by_token.insert(target.token, index);
        }
        self.targets.push(target);
        self.offer(index);
    }

    /// Makes a target a candidate for the new flows of its service, if it takes any.
    fn offer(&mut self, index: usize) {
        let target = &self.targets[index];
        if target.takes_flows {
            self.by_service.entry(target.service.clone()).or_default().push(index);
        }
    }

    /// Derives the tables from the list, after targets were forgotten.
    fn rebuild(&mut self, now: Millis) {
        let earlier: HashMap<Name, TargetState> =
            self.targets.drain(..).map(|target| (target.name.clone(), target)).collect();
        self.by_token.clear();
        self.by_service.clear();
        self.counters.ambiguous_targets = 0;
        let list = std::mem::take(&mut self.list);
        for listed in list.iter() {
            let place = self.place_of(&listed.record.data_centre);
            let target = TargetState::new(now, listed, place);
            self.insert(match earlier.get(&target.name) {
                Some(earlier) => target.with_observations(earlier),
                None => target,
            });
        }
        self.list = list;
    }

    /// Returns the place of a data centre in the table of their silence.
    fn place_of(&mut self, data_centre: &Name) -> usize {
        let known = self.data_centres.iter().position(|(name, _)| name == data_centre);
        known.unwrap_or_else(|| {
            self.data_centres.push((data_centre.clone(), Silence::default()));
            self.data_centres.len() - 1
        })
    }
}
