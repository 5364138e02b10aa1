//! The choice of a service of a route for a new flow.
//!
//! The weights of a route decide as long as each service can carry its share. What a service
//! cannot carry goes to another service of the route that is not overloaded. The module has no
//! state: [`super::service_load`] estimates what services can carry, and [`super::overload`]
//! reports which are overloaded. `docs/design/capacity.md` gives the design.

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Whether a service takes one more flow, by its own evidence of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not overloaded.
    Free,
    /// It is overloaded, but below its limit.
    WithinLimit,
    /// It is overloaded and at its limit.
    AtLimit,
}

/// One service of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCandidate {
    /// Its relative share of the route; 0 for a service without targets that accept flows.
    pub weight: u32,
    /// The share of its flows that it can carry by the estimate of its capacity, 0 to 1.
    pub carried: f64,
    /// How much more it can carry, in requests in progress through this VM.
    pub room: f64,
    /// Whether it takes one more flow.
    pub admission: Admission,
}

/// A service chosen for a new flow. Indices refer to the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceChoice {
    /// The service that the weights select.
    ByWeight(usize),
    /// Another service, because the one that the weights select cannot carry the flow.
    Passed {
        /// The chosen service.
        to: usize,
        /// The service that the weights select.
        from: usize,
    },
    /// The service that the weights select is at its limit, and no other one is free. It decides
    /// whether the flow is refused.
    Overloaded(usize),
}

/// Chooses a service for a new flow. Returns `None` if no service has targets.
pub fn choose_service(
    rng: &mut ChaCha8Rng,
    candidates: &[ServiceCandidate],
) -> Option<ServiceChoice> {
    let weight = |candidate: &ServiceCandidate| f64::from(candidate.weight);
    let from = draw_by_weight(rng, candidates)?;
    let selected = &candidates[from];
    // Without an estimate no random number is drawn, so that the sequence of choices stays as it
    // is where no service is near its limit.
    let exceeds = selected.carried < 1.0 && rng.random::<f64>() >= selected.carried;
    if selected.admission != Admission::AtLimit && !exceeds {
        return Some(ServiceChoice::ByWeight(from));
    }
    let free = |index: usize| {
        let candidate = &candidates[index];
        index != from && candidate.weight > 0 && candidate.admission == Admission::Free
    };
    let room = |candidate: &ServiceCandidate| candidate.room;
    let passed = draw(rng, candidates, free, room);
    if selected.admission != Admission::AtLimit {
        // The estimate alone neither refuses a flow nor loads a service without room.
        let choice = passed.map(|to| ServiceChoice::Passed { to, from });
        return Some(choice.unwrap_or(ServiceChoice::ByWeight(from)));
    }
    let passed = passed.or_else(|| draw(rng, candidates, free, weight));
    let choice = passed.map(|to| ServiceChoice::Passed { to, from });
    Some(choice.unwrap_or(ServiceChoice::Overloaded(from)))
}

fn draw_by_weight(rng: &mut ChaCha8Rng, candidates: &[ServiceCandidate]) -> Option<usize> {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.weight)).sum();
    if total == 0 {
        return None;
    }
    if let [_] = candidates {
        return Some(0);
    }
    let mut rest = rng.random_range(0..total);
    candidates.iter().position(|candidate| {
        let weight = u64::from(candidate.weight);
        let found = rest < weight;
        rest = rest.saturating_sub(weight);
        found
    })
}

/// Draws one of the candidates that are `allowed`, with a probability proportional to `share`.
fn draw(
    rng: &mut ChaCha8Rng,
    candidates: &[ServiceCandidate],
    allowed: impl Fn(usize) -> bool,
    share: impl Fn(&ServiceCandidate) -> f64,
) -> Option<usize> {
    let shares = || {
        let allowed = candidates.iter().enumerate().filter(|(index, _)| allowed(*index));
        // Comparison with `> 0.0` also excludes values that are not numbers.
        allowed.map(|(index, candidate)| (index, share(candidate))).filter(|(_, share)| {
            let share = *share;
            share > 0.0 && share.is_finite()
        })
    };
    let total: f64 = shares().map(|(_, share)| share).sum();
    let (last, _) = shares().last()?;
    let mut rest = rng.random::<f64>() * total;
    let found = shares().find(|(_, share)| {
        rest -= share;
        rest < 0.0
    });
    Some(found.map_or(last, |(index, _)| index))
}
