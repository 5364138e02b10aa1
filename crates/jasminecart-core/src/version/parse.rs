//! Parsing and validation of the environment document.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::document::{
    Class, Digest, Document, DocumentErrors, Limits, Protocol, Revision, Service, ServiceAddress,
    Target, TargetState, Tenant,
};
use crate::ini::{self, Problems, Section};
use crate::names::Name;
use crate::time::Millis;
use crate::units;

/// The largest number of services in one document. 1,600 service addresses are expected in two
/// years.
pub(crate) const MAX_SERVICES: usize = 4_096;
/// The largest number of targets in one document. 3,400 endpoints are expected in two years.
pub(crate) const MAX_TARGETS: usize = 16_384;
const MAX_WEIGHT: u32 = 1_000;
const MAX_SLOTS: u32 = 1_024;
const MAX_DURATION: Millis = Millis::from_secs(24 * 3600);
const KINDS: [&str; 5] = ["service", "target", "class", "tenant", "limits"];
const NAME: &str = "a name of 1 to 63 letters, digits, \"-\", \"_\" or \".\"";
const DURATION: &str = "a span of 1 ms to 24 h such as 250ms, 30s or 5m";

pub(super) fn parse(revision: Revision, text: &str) -> Result<Document, DocumentErrors> {
    let mut problems = Problems::default();
    let mut document = Document {
        revision,
        digest: Digest::of(text),
        text: Arc::from(text),
        services: BTreeMap::new(),
        targets: BTreeMap::new(),
        classes: BTreeMap::new(),
        tenants: BTreeMap::new(),
        limits: Limits::default(),
        by_address: BTreeMap::new(),
        by_host: BTreeMap::new(),
    };
    let sections = ini::sections(text, &mut problems);
    for section in &sections {
        read_section(&mut document, section.clone(), &mut problems);
    }
    add_default_class(&mut document);
    check_references(&document, &sections, &mut problems);
    index_services(&mut document, &sections, &mut problems);
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(DocumentErrors { problems: problems.into_sorted() })
    }
}

fn read_section(document: &mut Document, mut section: Section, problems: &mut Problems) {
    if section.kind == "limits" && section.name.is_empty() {
        document.limits = read_limits(&mut section, problems);
        return section.finish(problems);
    }
    if !KINDS.contains(&section.kind.as_str()) {
        let hint = ini::nearest(&section.kind, &KINDS);
        let hint = hint.map(|kind| format!("; did you mean {kind:?}?")).unwrap_or_default();
        return section.report(problems, "", format!("unknown section{hint}"));
    }
    let Some(name) = Name::parse(&section.name) else {
        return section.report(problems, "", format!("{:?} is not {NAME}", section.name));
    };
    match section.kind.as_str() {
        "service" => {
            let service = read_service(name.clone(), &mut section, problems);
            document.services.insert(name, service);
        }
        "target" => {
            if let Some(target) = read_target(name.clone(), &mut section, problems) {
                document.targets.insert(name, target);
            }
        }
        "class" => {
            let class = read_class(name.clone(), &mut section, problems);
            document.classes.insert(name, class);
        }
        _ => {
            let tenant = read_tenant(name.clone(), &mut section, problems);
            document.tenants.insert(name, tenant);
        }
    }
    section.finish(problems);
}

fn read_service(name: Name, section: &mut Section, problems: &mut Problems) -> Service {
    let address = "an address such as 10.0.0.1:443/tcp";
    Service {
        name,
        addresses: section.list(problems, "address", address, parse_address),
        hosts: section.list(problems, "host", NAME, |text| Name::parse(&text.to_lowercase())),
        class: section
            .optional(problems, "class", NAME, Name::parse)
            .unwrap_or_else(|| Name::new("default")),
        shed_statuses: section.list(problems, "shed_status", "a status from 400 to 599", |text| {
            text.parse().ok().filter(|status| (400..=599).contains(status))
        }),
        progress_timeout: section
            .optional(problems, "progress_timeout", DURATION, parse_duration)
            .unwrap_or(Millis::from_secs(30)),
        http2: section
            .optional(problems, "http", "\"1\" or \"2\"", |text| match text {
                "1" => Some(false),
                "2" => Some(true),
                _ => None,
            })
            .unwrap_or(false),
    }
}

fn read_target(name: Name, section: &mut Section, problems: &mut Problems) -> Option<Target> {
    let services = section.list(problems, "service", NAME, Name::parse);
    if services.is_empty() {
        section.report(problems, "service", "a target needs at least one service");
    }
    let address = "an IP address and port such as 10.0.0.5:8080";
    let data_centre = section.required(problems, "data_centre", NAME, Name::parse);
    let address = section.required(problems, "address", address, |text| text.parse().ok());
    let packet_port = section
        .optional(problems, "packet_port", "a port from 1 to 65535", |text| {
            text.parse().ok().filter(|port| *port > 0)
        })
        .unwrap_or(6080);
    let weight = read_count(section, problems, "weight", 1..=MAX_WEIGHT, 1);
    let slots = read_count(section, problems, "slots", 1..=MAX_SLOTS, 2);
    let state = section
        .optional(problems, "state", "\"active\" or \"draining\"", |text| match text {
            "active" => Some(TargetState::Active),
            "draining" => Some(TargetState::Draining),
            _ => None,
        })
        .unwrap_or(TargetState::Active);
    let (data_centre, address) = (data_centre?, address?);
    Some(Target { name, services, data_centre, address, packet_port, weight, slots, state })
}

fn read_class(name: Name, section: &mut Section, problems: &mut Problems) -> Class {
    let default = default_class(name);
    Class {
        priority: section
            .optional(problems, "priority", "a number from 0 to 9", |text| {
                text.parse().ok().filter(|priority| *priority <= 9)
            })
            .unwrap_or(default.priority),
        max_queue_time: section
            .optional(problems, "max_queue_time", DURATION, parse_duration)
            .unwrap_or(default.max_queue_time),
        default_deadline: section
            .optional(problems, "default_deadline", DURATION, parse_duration)
            .unwrap_or(default.default_deadline),
        paths: section.list(problems, "path", "a path that starts with \"/\"", |text| {
            text.starts_with('/').then(|| text.to_owned())
        }),
        name: default.name,
    }
}

fn default_class(name: Name) -> Class {
    Class {
        name,
        priority: 5,
        max_queue_time: Millis::from_secs(5),
        default_deadline: Millis::from_secs(30),
        paths: Vec::new(),
    }
}

fn add_default_class(document: &mut Document) {
    let name = Name::new("default");
    document.classes.entry(name.clone()).or_insert_with(|| default_class(name));
}

fn read_tenant(name: Name, section: &mut Section, problems: &mut Problems) -> Tenant {
    let rate = section
        .optional(problems, "rate", "a rate such as 50/s", units::parse_rate)
        .unwrap_or(1_000);
    Tenant {
        name,
        rate,
        burst: read_count(section, problems, "burst", 1..=1_000_000, rate.max(1)),
        concurrency: read_count(section, problems, "concurrency", 1..=1_000_000, 1_000),
    }
}

fn read_limits(section: &mut Section, problems: &mut Problems) -> Limits {
    let default = Limits::default();
    let body = "a size such as 64MiB";
    Limits {
        retry_percent: read_count(
            section,
            problems,
            "retry_percent",
            0..=10,
            default.retry_percent,
        ),
        max_attempts: read_count(section, problems, "max_attempts", 1..=5, default.max_attempts),
        max_queue: read_count(section, problems, "max_queue", 1..=100_000, default.max_queue),
        max_body: section
            .optional(problems, "max_body", body, units::parse_bytes)
            .unwrap_or(default.max_body),
        max_ejected_percent: read_count(
            section,
            problems,
            "max_ejected_percent",
            0..=50,
            default.max_ejected_percent,
        ),
        slow_start: section
            .optional(problems, "slow_start", DURATION, parse_duration)
            .unwrap_or(default.slow_start),
    }
}

fn read_count(
    section: &mut Section,
    problems: &mut Problems,
    key: &'static str,
    range: std::ops::RangeInclusive<u32>,
    default: u32,
) -> u32 {
    let expected = format!("a number from {} to {}", range.start(), range.end());
    let parse = |text: &str| text.parse().ok().filter(|count| range.contains(count));
    section.optional(problems, key, &expected, parse).unwrap_or(default)
}

fn parse_duration(text: &str) -> Option<Millis> {
    units::parse_duration(text).filter(|duration| (Millis(1)..=MAX_DURATION).contains(duration))
}

fn parse_address(text: &str) -> Option<ServiceAddress> {
    let (socket, protocol) = text.split_once('/')?;
    let socket: SocketAddr = socket.parse().ok()?;
    let protocol = match protocol {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    (socket.port() > 0).then_some(ServiceAddress { socket, protocol })
}

fn check_references(document: &Document, sections: &[Section], problems: &mut Problems) {
    // A set: scanning all targets for each service took a third of the time to parse a 1 MB
    // document.
    let served: BTreeSet<&Name> =
        document.targets.values().flat_map(|target| &target.services).collect();
    for section in sections {
        match section.kind.as_str() {
            "service" => check_service(document, &served, section, problems),
            "target" => check_target(document, section, problems),
            _ => {}
        }
    }
    // A truncated or empty value from the configuration service must not remove every service.
    if document.services.is_empty() {
        Section::empty("service").report(problems, "", "the document has no service");
    }
    let too_many = |count: usize, limit: usize, kind: &str, problems: &mut Problems| {
        if count > limit {
            let text = format!("{count} sections; at most {limit} are allowed");
            Section::empty(kind).report(problems, "", text);
        }
    };
    too_many(document.services.len(), MAX_SERVICES, "service", problems);
    too_many(document.targets.len(), MAX_TARGETS, "target", problems);
}

fn check_service(
    document: &Document,
    served: &BTreeSet<&Name>,
    section: &Section,
    problems: &mut Problems,
) {
    let Some(service) = document.services.get(section.name.as_str()) else { return };
    if !document.classes.contains_key(&service.class) {
        section.report(problems, "class", format!("there is no [class {}]", service.class));
    }
    if !served.contains(&service.name) {
        section.report(problems, "", "no target serves this service");
    }
}

fn check_target(document: &Document, section: &Section, problems: &mut Problems) {
    let Some(target) = document.targets.get(section.name.as_str()) else { return };
    for service in target.services.iter().filter(|name| !document.services.contains_key(*name)) {
        section.report(problems, "service", format!("there is no [service {service}]"));
    }
}

fn index_services(document: &mut Document, sections: &[Section], problems: &mut Problems) {
    for section in sections.iter().filter(|section| section.kind == "service") {
        let Some(service) = document.services.get(section.name.as_str()) else { continue };
        for address in &service.addresses {
            let previous = document.by_address.insert(*address, service.name.clone());
            if let Some(other) = previous.filter(|other| *other != service.name) {
                section.report(problems, "address", format!("{address} belongs to {other}"));
            }
        }
        for host in &service.hosts {
            let previous = document.by_host.insert(host.clone(), service.name.clone());
            if let Some(other) = previous.filter(|other| *other != service.name) {
                section.report(problems, "host", format!("{host} belongs to {other}"));
            }
        }
    }
}
