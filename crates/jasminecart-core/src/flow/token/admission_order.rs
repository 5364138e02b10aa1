//! The order in which an overloaded service admits new flows of its routes.
//!
//! Routes are ordered by priority, then at-most-once requests come before repeatable ones, since a
//! client can retry the latter after any failure. No route falls below half of its fair share of
//! what the service serves, however high the priority of the others. The fair share is max-min fair
//! by arrivals: a route that asks for less than an equal share gets all, and the others divide the
//! rest equally. `docs/design/capacity.md` gives the design.

use crate::names::Name;
use crate::time::Millis;
use crate::version::{Repeatable, RouteRule};

/// The factors on the limit of requests in progress for the first route in order and for the last
/// one. Routes between them are spaced evenly.
const FIRST_SHARE: f64 = 1.5;
const LAST_SHARE: f64 = 0.8;
/// How long a route that is not seen any more counts in the order.
const ROUTE_MEMORY: Millis = Millis::from_secs(10);
/// The time constant of the rates. Shorter means are too noisy on VMs with few requests a second.
const RATE_TIME: Millis = Millis::from_secs(4);
/// The time constant of the flows admitted because of the guarantee, about the time until their
/// first requests are served.
const PENDING_TIME: Millis = Millis(250);
/// The share of its fair share for which flows of a route are admitted in any case. It exceeds the
/// guaranteed half, because targets shed some of the requests that are admitted.
const GUARANTEED_SHARE: f64 = 0.55;

/// The place of a route in the order; the lowest goes first.
type Rank = (u8, bool);

/// How a service treats a new flow of a route under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Precedence {
    /// The route is below its guaranteed minimum, so that the flow is admitted.
    Guaranteed,
    /// The flow is admitted up to this factor on the limit of requests in progress.
    Share(f64),
}

/// Events in the recent past, with an exponential weight; about the number in a time constant.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    count: f64,
    at: Millis,
}

impl Recent {
    fn add(&mut self, now: Millis, time: Millis) {
        self.count = self.get(now, time) + 1.0;
        self.at = self.at.max(now);
    }

    fn get(&self, now: Millis, time: Millis) -> f64 {
        self.count * (-(now.since(self.at).get() as f64) / time.get() as f64).exp()
    }
}

#[derive(Clone, Debug)]
struct OrderedRoute {
    name: Name,
    rank: Rank,
    seen_at: Millis,
    /// Requests that targets served.
    served: Recent,
    /// Requests that targets or this VM refused.
    refused: Recent,
    /// Flows admitted because of the guarantee, which may not be served yet.
    pending: Recent,
}

/// The routes of one service in the order in which it admits their flows.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOrder {
    routes: Vec<OrderedRoute>,
}

impl AdmissionOrder {
    /// Records a request of a route that a target served.
    pub fn on_served(&mut self, now: Millis, rule: &RouteRule) {
        self.route(now, rule).served.add(now, RATE_TIME);
    }

    /// Records a request that a target or this VM refused.
    pub fn on_refused(&mut self, now: Millis, rule: &RouteRule) {
        self.route(now, rule).refused.add(now, RATE_TIME);
    }

    /// Records that flows of a route arrive.
    pub fn observe(&mut self, now: Millis, rule: &RouteRule) {
        self.route(now, rule);
    }

    /// Returns how a new flow of a route is treated if the service is overloaded.
    pub fn precedence(&mut self, now: Millis, rule: &RouteRule) -> Precedence {
        if self.takes_guaranteed(now, rule) {
            return Precedence::Guaranteed;
        }
        Precedence::Share(self.share(now, rule))
    }

    /// Returns the factor on the limit of requests in progress up to which a route is admitted by
    /// its place in the order.
    pub fn share(&mut self, now: Millis, rule: &RouteRule) -> f64 {
        let rank = rank(rule);
        self.route(now, rule);
        let mut ranks: Vec<Rank> = self.recent(now).map(|route| route.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let place = ranks.iter().position(|other| *other == rank).unwrap_or(0);
        let last = ranks.len().saturating_sub(1).max(1);
        let step = (FIRST_SHARE - LAST_SHARE) / last as f64;
        FIRST_SHARE - step * place as f64
    }

    /// Returns whether a route is below its minimum, and counts the flow that it therefore gets.
    /// Counting at once keeps the guarantee from admitting too many until the first are served.
    fn takes_guaranteed(&mut self, now: Millis, rule: &RouteRule) -> bool {
        let minimum = GUARANTEED_SHARE * self.fair_share(now, &rule.name);
        let route = self.route(now, rule);
        let gets = route.served.get(now, RATE_TIME) + route.pending.get(now, PENDING_TIME);
        // A route that was not refused anything needs no guarantee.
        // Half a request less makes the mean of the sawtooth that follows the minimum itself.
        let below = gets + 0.5 <= minimum && route.refused.get(now, RATE_TIME) > 0.0;
        if below {
            route.pending.add(now, PENDING_TIME);
        }
        below
    }

    /// Returns the fair share of a route, in recent requests.
    fn fair_share(&self, now: Millis, name: &Name) -> f64 {
        let served: f64 = self.recent(now).map(|route| route.served.get(now, RATE_TIME)).sum();
        let arrivals = |route: &OrderedRoute| {
            route.served.get(now, RATE_TIME) + route.refused.get(now, RATE_TIME)
        };
        let mut demands: Vec<f64> = self.recent(now).map(arrivals).collect();
        demands.sort_unstable_by(f64::total_cmp);
        let own = self.recent(now).find(|route| route.name == *name).map_or(0.0, arrivals);
        own.min(fair_level(&demands, served))
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &OrderedRoute> {
        self.routes.iter().filter(move |route| now.since(route.seen_at) <= ROUTE_MEMORY)
    }

    fn route(&mut self, now: Millis, rule: &RouteRule) -> &mut OrderedRoute {
        let index = match self.routes.iter().position(|route| route.name == rule.name) {
            Some(index) => index,
            None => {
                self.routes.retain(|route| now.since(route.seen_at) <= ROUTE_MEMORY);
                self.routes.push(OrderedRoute {
                    name: rule.name.clone(),
                    rank: rank(rule),
                    seen_at: now,
                    served: Recent::default(),
                    refused: Recent::default(),
                    pending: Recent::default(),
                });
                self.routes.len() - 1
            }
        };
        let route = &mut self.routes[index];
        (route.rank, route.seen_at) = (rank(rule), now);
        route
    }
}

fn rank(rule: &RouteRule) -> Rank {
    (rule.priority, rule.repeatable == Repeatable::Always)
}

/// Returns the greatest amount that a route gets when `total` is divided max-min fairly among
/// `demands`, which are sorted.
fn fair_level(demands: &[f64], total: f64) -> f64 {
    let mut rest = total;
    for (index, demand) in demands.iter().enumerate() {
        let level = rest / (demands.len() - index) as f64;
        if *demand >= level {
            return level;
        }
        rest -= demand;
    }
    f64::INFINITY
}
