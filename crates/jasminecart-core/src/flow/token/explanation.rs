//! The explanation of where the packets of a flow go, for operators and programs.
//!
//! [`super::TokenRouter::explain`] creates it. It serialises for programs, and displays as text for people.
//! `docs/design/explain.md` describes it.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Serialize;

use crate::names::Name;
use crate::time::Millis;

/// Where the packets of one flow go, and why, as one VM sees it at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The address and port of the client.
    pub client: SocketAddrV4,
    /// The service address and port.
    pub service: SocketAddrV4,
    /// The inputs of the decisions and their ages.
    pub inputs: Inputs,
    /// The route of the service address. Without one every packet is reset.
    pub route: Option<RouteExplanation>,
    /// Where packets of the open flow go, if this VM tracks the flow or a token was given.
    pub open_flow: Option<OpenFlowExplanation>,
    /// Where a new flow would go.
    pub new_flow: NewFlowExplanation,
}

/// The state of the router that every decision depends on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Inputs {
    /// Whether the router has routes and targets.
    pub loaded: bool,
    /// The operators' version of the routes.
    pub routes_version: Option<u64>,
    /// The revision of the store at which the routes were accepted.
    pub routes_revision: Option<String>,
    /// The time since the store confirmed routes and targets, directly or through a peer.
    pub confirmed_ms_ago: Millis,
    /// The time since the receive queue was last seen empty. A long time means that packets wait.
    pub queue_empty_ms_ago: Millis,
    /// The time since a packet was sent that some target has responded to.
    pub delivered_ms_ago: Millis,
    /// The number of known targets, including removed ones whose tombstones are retained.
    pub known_targets: usize,
    /// Whether a target that is missing counts as removed: live targets have had time to register.
    pub settled: bool,
    /// The data centres whose evacuation is in force.
    pub evacuated: Vec<Name>,
    /// The number of tracked flows.
    pub tracked_flows: usize,
    /// The maximum number of tracked flows.
    pub max_tracked_flows: usize,
}

/// The rule of a route.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteExplanation {
    /// Its name.
    pub name: Name,
    /// Whether the client may repeat its requests.
    pub repeatable: bool,
    /// The priority under overload; 0 is the highest.
    pub priority: u8,
    /// The latency objective.
    pub objective_ms: Millis,
    /// The time after which a request times out.
    pub timeout_ms: Millis,
    /// The mean number of bytes that clients send for a request, as far as this VM saw.
    pub mean_request_bytes: f64,
}

/// What happens to a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum Outcome {
    /// It is forwarded.
    Forward {
        /// The target.
        target: Name,
        /// The address of the target.
        address: SocketAddrV4,
        /// The token in the packet, in hexadecimal.
        token: String,
    },
    /// The client receives a reset.
    Reset {
        /// The cause, as in the log.
        cause: &'static str,
    },
    /// It is dropped.
    Drop {
        /// The cause, as in the log.
        cause: &'static str,
    },
}

/// Where packets of an open flow go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenFlowExplanation {
    /// Whether this VM tracks the flow. Its packets may pass through other VMs.
    pub tracked: bool,
    /// Whether the client has sent anything other than openings through this VM.
    pub established: bool,
    /// The token that decides, in hexadecimal.
    pub token: String,
    /// The time since the last packet of the flow passed through this VM.
    pub last_packet_ms_ago: Option<Millis>,
    /// The time since the request in progress began.
    pub request_in_progress_ms: Option<Millis>,
    /// How often the client retransmitted a part of the request in progress.
    pub retransmissions: u8,
    /// What happens to the next packet.
    pub outcome: Outcome,
    /// Whether the next retransmission of a request may reset the flow, because the silence of its target is confirmed
    /// and its requests may be repeated.
    pub reset_if_retransmitted: bool,
}

/// Where a new flow would go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NewFlowExplanation {
    /// Why every opening is refused, whichever service is selected.
    pub refused: Option<Outcome>,
    /// The services of the route.
    pub services: Vec<ServiceExplanation>,
}

/// Where a new flow would go if a service were selected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceExplanation {
    /// The service.
    pub service: Name,
    /// Its share of the route, as configured.
    pub share: u32,
    /// The probability with which the weights select it for a new flow, in percent.
    pub selected_percent: f64,
    /// The part of these flows that it can carry by the estimate of its capacity, in percent. The rest goes to other
    /// services of the route that have room.
    pub carried_percent: f64,
    /// What happens to an opening if the service is selected.
    pub outcome: Outcome,
    /// Further targets with the same cost, one of which may be selected instead.
    pub tied: Vec<Name>,
    /// Whether no target is eligible, so that a suspected or avoided one is selected.
    pub all_suspect: bool,
    /// The limit on new flows under overload.
    pub admission: AdmissionExplanation,
    /// The targets, first those that may be selected by increasing cost, then excluded ones.
    pub candidates: Vec<Candidate>,
    /// The number of targets that were left out of `candidates`.
    pub omitted: usize,
}

/// The limit on new flows to a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AdmissionExplanation {
    /// Whether the service is overloaded now.
    pub overloaded: bool,
    /// Whether new flows are refused beyond the limit. They are not shortly after the start, or if it is switched off.
    pub enforced: bool,
    /// Whether the route is below its guaranteed minimum, so that the opening is admitted whatever the limit.
    pub guaranteed: bool,
    /// The limit on requests in progress through this VM for the route, if there is evidence about the service.
    pub limit: Option<f64>,
    /// The number of requests in progress through this VM.
    pub in_progress: u32,
    /// How many more requests may begin. Applies only while the limit is enforced.
    pub left: Option<f64>,
    /// The mean latency of first requests in percent of the objective.
    pub latency_percent_of_objective: Option<f64>,
    /// The age of the latest sample of the latency.
    pub sampled_ms_ago: Option<Millis>,
}

/// A target of a service as a candidate for a new flow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The target.
    pub target: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The address of the target.
    pub address: SocketAddrV4,
    /// The estimated cost of one more request, in requests waiting.
    pub cost: f64,
    /// What excludes it. Targets with only avoidable causes are used if no other target is left.
    pub excluded_by: Vec<Exclusion>,
    /// Requests in progress through this VM.
    pub active_requests: u32,
    /// Open flows tracked by this VM.
    pub flows: u32,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// The factor by which it is slower than the other targets of its routes.
    pub relative_latency: f64,
    /// The load that recent refusals suggest, in requests.
    pub refusal_load: f64,
    /// The remaining time of its warm-up.
    pub warm_up_left_ms: Millis,
    /// The remaining time in which the number of openings to it is limited.
    pub cold_left_ms: Option<Millis>,
    /// How many openings this VM may send to it now, while it is cold.
    pub cold_openings_left: Option<usize>,
    /// The age of its record.
    pub record_ms_ago: Option<Millis>,
    /// The time since a client acknowledged anything from it through this VM.
    pub last_contact_ms_ago: Option<Millis>,
}

impl Candidate {
    /// Returns whether no new flow goes to the target, even if no other is left.
    pub fn is_unusable(&self) -> bool {
        self.excluded_by.iter().any(|exclusion| !exclusion.is_avoidable())
    }
}

/// What excludes a target from new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "cause", rename_all = "kebab-case")]
pub enum Exclusion {
    /// It drains.
    Draining,
    /// Its record was removed.
    Removed,
    /// It is suspected of being silent.
    Silent {
        /// When it may get a probe flow.
        probe_in_ms: Millis,
    },
    /// All targets of its data centre are suspected of being silent.
    DataCentreSilent {
        /// When one of them may get a probe flow.
        probe_in_ms: Millis,
    },
    /// It may get a probe flow, but the requests of the route must not be repeated.
    ProbeNeedsRepeatable,
    /// It got an earlier copy of the opening and did not respond.
    EarlierCopy,
    /// Another target has the same token for the service address.
    Ambiguous,
    /// Its data centre is evacuated.
    Evacuated {
        /// The time since the evacuation came into force at this VM.
        began_ms_ago: Millis,
        /// Whether a restored store has lost the request, so that it may end soon.
        doubted: bool,
    },
    /// It is cold, and this VM is none of those that may send it new flows.
    ColdNotHolder,
    /// It is cold, and this VM has sent it its share of openings.
    ColdShareUsed {
        /// The share of this VM in any window.
        share: usize,
    },
}

impl Exclusion {
    /// Returns whether the target gets the flow if no other target is left.
    pub fn is_avoidable(&self) -> bool {
        match self {
            Exclusion::Silent { .. }
            | Exclusion::DataCentreSilent { .. }
            | Exclusion::ProbeNeedsRepeatable
            | Exclusion::EarlierCopy => true,
            Exclusion::Draining
            | Exclusion::Removed
            | Exclusion::Ambiguous
            | Exclusion::Evacuated { .. }
            | Exclusion::ColdNotHolder
            | Exclusion::ColdShareUsed { .. } => false,
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::Draining => f.write_str("draining"),
            Exclusion::Removed => f.write_str("record removed"),
            Exclusion::Silent { probe_in_ms } => {
                write!(f, "silent (probe in {} ms)", probe_in_ms.get())
            }
            Exclusion::DataCentreSilent { probe_in_ms } => {
                write!(f, "data centre silent (probe in {} ms)", probe_in_ms.get())
            }
            Exclusion::ProbeNeedsRepeatable => {
                f.write_str("silent until now, and the route may not probe")
            }
            Exclusion::EarlierCopy => f.write_str("did not respond to an earlier copy"),
            Exclusion::Ambiguous => f.write_str("same token as another target"),
            Exclusion::Evacuated { began_ms_ago, doubted } => {
                write!(f, "data centre evacuated (for {} ms", began_ms_ago.get())?;
                f.write_str(if *doubted { ", request lost by the store)" } else { ")" })
            }
            Exclusion::ColdNotHolder => f.write_str("cold, left to other VMs"),
            Exclusion::ColdShareUsed { share } => {
                write!(f, "cold, this VM's share of {share} openings is used")
            }
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Forward { target, address, token } => {
                write!(f, "forwarded to {target} at {address} with token {token}")
            }
            Outcome::Reset { cause } => write!(f, "reset ({cause})"),
            Outcome::Drop { cause } => write!(f, "dropped ({cause})"),
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "flow {}>{}", self.client, self.service)?;
        match &self.route {
            Some(route) => writeln!(f, "{route}")?,
            None => writeln!(f, "route: none for {}", self.service)?,
        }
        match &self.open_flow {
            Some(open_flow) => writeln!(f, "{open_flow}")?,
            None => writeln!(f, "open flow: not tracked by this VM, and no token given")?,
        }
        write!(f, "{}", self.new_flow)?;
        write!(f, "{}", self.inputs)
    }
}

impl fmt::Display for RouteExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "route {}: {}, priority {}, objective {} ms, timeout {} ms, {:.0} bytes per request",
            self.name,
            if self.repeatable { "repeatable" } else { "at most once" },
            self.priority,
            self.objective_ms.get(),
            self.timeout_ms.get(),
            self.mean_request_bytes,
        )
    }
}

impl fmt::Display for OpenFlowExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match (self.tracked, self.established) {
            (true, true) => "tracked",
            (true, false) => "opening",
            (false, _) => "by the given token",
        };
        write!(f, "open flow ({state}): packets with token {} are {}", self.token, self.outcome)?;
        if let Some(age) = self.last_packet_ms_ago {
            write!(f, "; last packet {} ms ago", age.get())?;
        }
        if let Some(age) = self.request_in_progress_ms {
            let retransmissions = self.retransmissions;
            write!(f, "; request for {} ms, retransmitted {retransmissions} times", age.get())?;
        }
        if self.reset_if_retransmitted {
            f.write_str("; a retransmission may reset it (target-silent)")?;
        }
        Ok(())
    }
}

impl fmt::Display for NewFlowExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(outcome) = &self.refused {
            writeln!(f, "new flow: {outcome}")?;
        }
        self.services.iter().try_for_each(|service| write!(f, "{service}"))
    }
}

impl fmt::Display for ServiceExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "new flow, service {} (share {}, selected for {:.1} %): {}",
            self.service, self.share, self.selected_percent, self.outcome
        )?;
        if self.carried_percent < 100.0 {
            writeln!(
                f,
                "  can carry {:.0} % of these, the rest goes to other services of the route",
                self.carried_percent
            )?;
        }
        if !self.tied.is_empty() {
            let tied: Vec<&str> = self.tied.iter().map(Name::as_str).collect();
            writeln!(f, "  or at the same cost, at random: {}", tied.join(", "))?;
        }
        if self.all_suspect {
            writeln!(f, "  no target is eligible; an avoided one is used")?;
        }
        writeln!(f, "  {}", self.admission)?;
        for candidate in &self.candidates {
            writeln!(f, "  {candidate}")?;
        }
        if self.omitted > 0 {
            writeln!(f, "  and {} more targets", self.omitted)?;
        }
        Ok(())
    }
}

impl fmt::Display for AdmissionExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match (self.overloaded, self.enforced) {
            (true, true) => "overloaded, limited",
            (true, false) => "overloaded, not limited",
            (false, _) => "not overloaded",
        };
        write!(f, "admission: {state}, {} requests in progress", self.in_progress)?;
        if let (Some(limit), Some(left)) = (self.limit, self.left) {
            write!(f, ", limit {limit:.1} (left {left:.1})")?;
        }
        if self.guaranteed {
            write!(f, ", the route is below its guaranteed minimum")?;
        }
        if let (Some(percent), Some(age)) = (self.latency_percent_of_objective, self.sampled_ms_ago)
        {
            write!(f, ", latency {percent:.0} % of the objective ({} ms ago)", age.get())?;
        }
        Ok(())
    }
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} in {}: cost {:.2} ({} busy, {} flows, {} slots, latency x{:.2}",
            self.target,
            self.data_centre,
            self.cost,
            self.active_requests,
            self.flows,
            self.slots,
            self.relative_latency
        )?;
        if self.refusal_load > 0.0 {
            write!(f, ", refusals +{:.1}", self.refusal_load)?;
        }
        if self.warm_up_left_ms > Millis::ZERO {
            write!(f, ", warming up for {} ms", self.warm_up_left_ms.get())?;
        }
        if let (Some(time), Some(openings)) = (self.cold_left_ms, self.cold_openings_left) {
            write!(f, ", cold for {} ms with {openings} openings left", time.get())?;
        }
        write_age(f, ", record", self.record_ms_ago)?;
        write_age(f, ", contact", self.last_contact_ms_ago)?;
        f.write_str(")")?;
        for (position, exclusion) in self.excluded_by.iter().enumerate() {
            write!(f, "{} {exclusion}", if position == 0 { " excluded:" } else { "," })?;
        }
        Ok(())
    }
}

fn write_age(f: &mut fmt::Formatter<'_>, what: &str, age: Option<Millis>) -> fmt::Result {
    age.map_or(Ok(()), |age| write!(f, "{what} {} ms ago", age.get()))
}

impl fmt::Display for Inputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.routes_version, &self.routes_revision) {
            (Some(version), Some(revision)) => {
                writeln!(f, "routes: version {version}, accepted at store revision {revision}")?;
            }
            _ => writeln!(f, "routes: none yet")?,
        }
        writeln!(
            f,
            "targets: {} known, {}",
            self.known_targets,
            if self.settled { "settled" } else { "live ones may still have to register" },
        )?;
        writeln!(
            f,
            "ages: store confirmed {} ms ago, receive queue empty {} ms ago, packet delivered {} ms ago",
            self.confirmed_ms_ago.get(),
            self.queue_empty_ms_ago.get(),
            self.delivered_ms_ago.get(),
        )?;
        let evacuated: Vec<&str> = self.evacuated.iter().map(Name::as_str).collect();
        let evacuated = if evacuated.is_empty() { "none".into() } else { evacuated.join(", ") };
        writeln!(f, "evacuated data centres: {evacuated}")?;
        write!(f, "tracked flows: {} of {}", self.tracked_flows, self.max_tracked_flows)
    }
}
