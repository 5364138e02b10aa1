//! The routes from service addresses to services. They are versioned separately from the targets.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StoreRevision;
use crate::hashing::HashMap;
use crate::names::Name;
use crate::time::Millis;

/// Whether a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Repeatable {
    /// The client may retry it after any failure.
    Always,
    /// It is executed at most once.
    Never,
}

/// The rule that maps a service address to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The name of the route, used in logs and metrics.
    pub name: Name,
    /// The services that new flows may be assigned to, with the relative share of each.
    pub services: Vec<(Name, u32)>,
    /// Whether the requests inside the flows may be retried.
    pub repeatable: Repeatable,
    /// The time after which a request of the route times out.
    pub timeout: Millis,
    /// The latency objective of requests of the route.
    pub objective: Millis,
    /// The priority under overload; 0 is the highest.
    pub priority: u8,
}

impl RouteRule {
    /// Returns whether flows of the route may be assigned to a service.
    pub fn allows(&self, service: &Name) -> bool {
        self.services.iter().any(|(name, _)| name == service)
    }
}

/// The longest time for which a target can be expected to stay cold. A longer one is reduced to it.
const MAX_WARM_UP: Millis = Millis::from_secs(3600);

/// What the configuration states about a service besides its routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// How long a target stays cold after its start.
    pub warm_up: Millis,
    /// The requests per second that a cold target can handle. Without it, cold targets are not limited.
    pub cold_rate: Option<f64>,
}

impl ServiceRule {
    /// Returns the rule with values that can be used: a rate that is negative or no number limits nothing, and
    /// an extremely long warm-up is shortened.
    pub fn sanitized(self) -> ServiceRule {
        let is_valid = |rate: &f64| rate.is_finite() && *rate >= 0.0;
        ServiceRule {
            warm_up: self.warm_up.min(MAX_WARM_UP),
            cold_rate: self.cold_rate.filter(is_valid),
        }
    }
}

/// The routes of one revision. They are adopted as a whole and never replaced by older ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// The revision at which the platform's store accepted them.
    pub revision: StoreRevision,
    /// The operators' own version number, by which routes are ordered. It increases, but in uneven steps.
    pub version: u64,
    /// The rule of each service address.
    pub by_address: HashMap<SocketAddrV4, Arc<RouteRule>>,
    /// The rules of the services that have one.
    pub services: HashMap<Name, ServiceRule>,
    /// How long a flow may be idle before its state may be evicted.
    pub idle_timeout: Millis,
}

impl Routes {
    /// Returns whether these routes replace `other`. A restored store may return an older version under a new
    /// revision, which therefore only decides between equal versions.
    pub fn supersede(&self, other: &Routes) -> bool {
        (self.version, self.revision) > (other.version, other.revision)
    }

    /// Returns the rule of a service address.
    pub fn rule(&self, address: &SocketAddrV4) -> Option<&Arc<RouteRule>> {
        self.by_address.get(address)
    }
}
