//! The environment document as typed values.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::ini::Problem;
use crate::names::Name;
use crate::time::Millis;

/// The revision of a document, assigned by the platform's store. A higher revision is newer.
///
/// A store that was restored from a copy gives numbers out again, in a new epoch. The epoch takes the upper bits, so
/// that any revision of a later epoch is higher. `docs/design.md`, section 8, gives the rules.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The bits of the number within the epoch: at 700 changes a day, enough for four million years.
    const NUMBER_BITS: u32 = 40;

    /// Returns the revision with a number in an epoch of the store. Returns `None` if one of them is too large.
    pub fn in_epoch(epoch: u64, number: u64) -> Option<Revision> {
        let fits =
            epoch >> (u64::BITS - Self::NUMBER_BITS) == 0 && number >> Self::NUMBER_BITS == 0;
        fits.then_some(Revision(epoch << Self::NUMBER_BITS | number))
    }

    /// Returns how often the store had been restored when it gave out this revision.
    pub fn epoch(self) -> u64 {
        self.0 >> Self::NUMBER_BITS
    }

    /// Returns the number within the epoch.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch() {
            0 => write!(f, "{}", self.number()),
            epoch => write!(f, "{epoch}.{}", self.number()),
        }
    }
}

/// The SHA-256 digest of a document's bytes. Operators use it to compare environments.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the SHA-256 digest of a text.
    pub fn of(text: impl AsRef<[u8]>) -> Digest {
        Digest(Sha256::digest(text.as_ref()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The transport protocol of a service address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Protocol {
    /// TCP.
    Tcp,
    /// UDP.
    Udp,
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        })
    }
}

/// A layer-4 address at which clients reach a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceAddress {
    /// The destination IP address and port of the client's packets.
    pub socket: SocketAddr,
    /// The transport protocol.
    pub protocol: Protocol,
}

impl fmt::Display for ServiceAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.socket, self.protocol)
    }
}

/// A service that clients send flows or requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// The layer-4 addresses whose flows are forwarded to the service's targets.
    pub addresses: Vec<ServiceAddress>,
    /// The HTTP host names whose requests are routed to the service.
    pub hosts: Vec<Name>,
    /// The class of its requests, unless the path prefix of another class matches.
    pub class: Name,
    /// HTTP status codes with which its targets report that a request was not executed.
    pub shed_statuses: Vec<u16>,
    /// The longest time without progress on a request before the request counts as silent.
    pub progress_timeout: Millis,
    /// Whether its targets are reached over HTTP/2 with prior knowledge instead of HTTP/1.1.
    pub http2: bool,
}

/// Whether a target accepts new flows and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts new flows and requests.
    Active,
    /// The target finishes its open flows and requests and receives no new ones.
    Draining,
}

/// An endpoint that serves one or more services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the target.
    pub name: Name,
    /// The services that the target serves.
    pub services: Vec<Name>,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// The UDP port on which its kernel receives encapsulated packets.
    pub packet_port: u16,
    /// Its capacity relative to the other targets.
    pub weight: u32,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it accepts new flows and requests.
    pub state: TargetState,
}

impl Target {
    /// Returns the address to which encapsulated packets are sent.
    pub fn packet_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), self.packet_port)
    }

    /// Returns whether the target serves a service.
    pub fn serves(&self, service: &Name) -> bool {
        self.services.contains(service)
    }
}

/// A class of requests with its priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name of the class.
    pub name: Name,
    /// The priority; requests of a lower number are served first.
    pub priority: u8,
    /// The longest time in a queue before a request is refused as `not-run`.
    pub max_queue_time: Millis,
    /// The deadline of a request whose client sets none.
    pub default_deadline: Millis,
    /// Path prefixes that assign a request to this class, whatever its service.
    pub paths: Vec<String>,
}

/// The limits of a tenant, enforced by each entry VM separately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: Name,
    /// The number of new requests per second.
    pub rate: u32,
    /// The number of requests above the rate that are admitted in a burst.
    pub burst: u32,
    /// The largest number of concurrent requests.
    pub concurrency: u32,
}

/// Limits that apply to the whole environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest number of retries, in percent of the offered requests.
    pub retry_percent: u32,
    /// The largest number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// The largest number of queued requests on one entry VM.
    pub max_queue: u32,
    /// The largest request body in bytes.
    pub max_body: u64,
    /// The largest share of a service's targets that may be ejected, in percent.
    pub max_ejected_percent: u32,
    /// The time over which a new or returning target reaches its full share.
    pub slow_start: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            retry_percent: 10,
            max_attempts: 3,
            max_queue: 1_000,
            max_body: 64 << 20,
            max_ejected_percent: 50,
            slow_start: Millis::from_secs(10),
        }
    }
}

/// A validated document of one environment at one revision.
#[derive(Clone, Debug)]
pub struct Document {
    pub(super) revision: Revision,
    pub(super) digest: Digest,
    pub(super) text: Arc<str>,
    pub(super) services: BTreeMap<Name, Service>,
    pub(super) targets: BTreeMap<Name, Target>,
    pub(super) classes: BTreeMap<Name, Class>,
    pub(super) tenants: BTreeMap<Name, Tenant>,
    pub(super) limits: Limits,
    pub(super) by_address: BTreeMap<ServiceAddress, Name>,
    pub(super) by_host: BTreeMap<Name, Name>,
}

impl Document {
    /// Parses and validates a document. On failure the error lists all problems, not only the
    /// first.
    pub fn parse(revision: Revision, text: &str) -> Result<Document, DocumentErrors> {
        super::parse::parse(revision, text)
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the document's bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the text as published.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the services by name.
    pub fn services(&self) -> &BTreeMap<Name, Service> {
        &self.services
    }

    /// Returns the targets by name.
    pub fn targets(&self) -> &BTreeMap<Name, Target> {
        &self.targets
    }

    /// Returns the classes by name.
    pub fn classes(&self) -> &BTreeMap<Name, Class> {
        &self.classes
    }

    /// Returns the tenants by name.
    pub fn tenants(&self) -> &BTreeMap<Name, Tenant> {
        &self.tenants
    }

    /// Returns the limits of the environment.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the service that has a layer-4 address.
    pub fn service_at(&self, address: ServiceAddress) -> Option<&Service> {
        self.services.get(self.by_address.get(&address)?)
    }

    /// Returns the service that has a host name. Callers strip the port from the `Host` header
    /// first.
    pub fn service_for_host(&self, host: &str) -> Option<&Service> {
        self.services.get(self.by_host.get(host)?)
    }

    /// Returns the targets of a service, ordered by name.
    pub fn targets_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Target> + 'a {
        self.targets.values().filter(move |target| target.serves(service))
    }

    /// Returns the targets of a service that an entry VM in `data_centre` uses: those in the same
    /// data centre, or all of them if there are none.
    pub fn targets_near<'a>(&'a self, service: &'a Name, data_centre: &Name) -> Vec<&'a Target> {
        let is_local = |target: &&Target| target.data_centre == *data_centre;
        let local: Vec<&Target> = self.targets_of(service).filter(is_local).collect();
        if local.is_empty() { self.targets_of(service).collect() } else { local }
    }

    /// Returns the class of a request: the class with the longest matching path prefix, or the
    /// class of the service if no prefix matches.
    pub fn class_of(&self, service: &Service, path: &str) -> Option<&Class> {
        let longest_prefix = |class: &'_ Class| {
            let matching = class.paths.iter().filter(|prefix| path.starts_with(prefix.as_str()));
            matching.map(String::len).max()
        };
        let by_path =
            self.classes.values().filter_map(|class| Some((longest_prefix(class)?, class)));
        let longest = by_path.max_by_key(|(length, _)| *length).map(|(_, class)| class);
        longest.or_else(|| self.classes.get(&service.class))
    }
}

/// All problems of a document that failed validation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the document has {} problems, the first: {}", problems.len(), first_problem(problems))]
pub struct DocumentErrors {
    /// The problems, ordered by line.
    pub problems: Vec<Problem>,
}

fn first_problem(problems: &[Problem]) -> String {
    problems.first().map(Problem::to_string).unwrap_or_default()
}
