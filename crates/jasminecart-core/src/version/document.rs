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

/// The revision of a document, assigned by the platform's store. Greater is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The SHA-256 digest of the bytes of a document, which operators compare between environments.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a text.
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

/// An address that clients use for a service at the packet door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceAddress {
    /// The IP address and port in the client's packets.
    pub socket: SocketAddr,
    /// The transport protocol.
    pub protocol: Protocol,
}

impl fmt::Display for ServiceAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.socket, self.protocol)
    }
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// Its addresses at the packet door.
    pub addresses: Vec<ServiceAddress>,
    /// The host names by which the request door selects it.
    pub hosts: Vec<Name>,
    /// The class of its requests, unless a path of another class matches.
    pub class: Name,
    /// Status codes by which its targets declare that a request did not run.
    pub shed_statuses: Vec<u16>,
    /// The longest span without progress on a request before it counts as silent.
    pub progress_timeout: Millis,
    /// Whether its targets speak HTTP/2 with prior knowledge instead of HTTP/1.1.
    pub http2: bool,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetState {
    /// The target takes new work.
    Active,
    /// The target keeps its open flows and requests and gets no new ones.
    Draining,
}

/// An endpoint that serves one or more services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the target.
    pub name: Name,
    /// The services it serves.
    pub services: Vec<Name>,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// The address for requests.
    pub address: SocketAddr,
    /// The UDP port on which its kernel takes encapsulated packets.
    pub packet_port: u16,
    /// Its capacity relative to the other targets.
    pub weight: u32,
    /// How many requests it serves at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
}

impl Target {
    /// Returns the address for encapsulated packets.
    pub fn packet_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), self.packet_port)
    }

    /// Tells whether the target serves a service.
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
    /// The deadline of a request whose caller states none.
    pub default_deadline: Millis,
    /// Path prefixes that put a request into this class whatever its service.
    pub paths: Vec<String>,
}

/// The limits of a tenant, by each entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: Name,
    /// New requests a second.
    pub rate: u32,
    /// Requests above the rate that are let through at once.
    pub burst: u32,
    /// Requests in progress.
    pub concurrency: u32,
}

/// Bounds that hold for the whole environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Retries as a share of offered requests, in percent.
    pub retry_percent: u32,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Queued requests on one entry VM.
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
    /// Parses and validates a whole document. All problems are returned at once.
    pub fn parse(revision: Revision, text: &str) -> Result<Document, DocumentErrors> {
        super::parse::parse(revision, text)
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the bytes.
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

    /// Returns the bounds of the environment.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the service behind an address of the packet door.
    pub fn service_at(&self, address: ServiceAddress) -> Option<&Service> {
        self.services.get(self.by_address.get(&address)?)
    }

    /// Returns the service of a host name. The port of the host is ignored by callers of this function.
    pub fn service_for_host(&self, host: &str) -> Option<&Service> {
        self.services.get(self.by_host.get(host)?)
    }

    /// Returns the targets of a service, in the order of their names.
    pub fn targets_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Target> + 'a {
        self.targets.values().filter(move |target| target.serves(service))
    }

    /// Returns the targets of a service that an entry VM of a data centre uses: those of its own data
    /// centre, or all when it has none.
    pub fn targets_near<'a>(&'a self, service: &'a Name, data_centre: &Name) -> Vec<&'a Target> {
        let near = |target: &&Target| target.data_centre == *data_centre;
        let own: Vec<&Target> = self.targets_of(service).filter(near).collect();
        if own.is_empty() { self.targets_of(service).collect() } else { own }
    }

    /// Returns the class of a request: the longest matching path prefix, else the class of the service.
    pub fn class_of(&self, service: &Service, path: &str) -> Option<&Class> {
        let prefixes = |class: &'_ Class| {
            let matching = class.paths.iter().filter(|prefix| path.starts_with(prefix.as_str()));
            matching.map(String::len).max()
        };
        let by_path = self.classes.values().filter_map(|class| Some((prefixes(class)?, class)));
        let longest = by_path.max_by_key(|(length, _)| *length).map(|(_, class)| class);
        longest.or_else(|| self.classes.get(&service.class))
    }
}

/// All problems of a document that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the document has {} problems, the first: {}", problems.len(), first(problems))]
pub struct DocumentErrors {
    /// The problems in the order of their lines.
    pub problems: Vec<Problem>,
}

fn first(problems: &[Problem]) -> String {
    problems.first().map(Problem::to_string).unwrap_or_default()
}
