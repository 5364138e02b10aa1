//! Comparison of two documents in words.

use std::collections::BTreeMap;
use std::fmt;

use super::document::{Document, Service, Target, TargetState};
use crate::names::Name;

/// A difference between two documents, as an operator reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change(String);

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Lists what changes from `old` to `new`.
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    diff(&mut changes, "service", old.services(), new.services(), service_changes);
    diff(&mut changes, "target", old.targets(), new.targets(), target_changes);
    diff(&mut changes, "class", old.classes(), new.classes(), |old, new, changes| {
        push(changes, old != new, format!("class {} changes its settings", new.name));
    });
    diff(&mut changes, "tenant", old.tenants(), new.tenants(), |old, new, changes| {
        push(changes, old != new, format!("tenant {} changes its limits", new.name));
    });
    push(&mut changes, old.limits() != new.limits(), "the limits change".to_owned());
    changes
}

fn push(changes: &mut Vec<Change>, differs: bool, text: String) {
    if differs {
        changes.push(Change(text));
    }
}

fn diff<T: PartialEq>(
    changes: &mut Vec<Change>,
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    changed: impl Fn(&T, &T, &mut Vec<Change>),
) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(Change(format!("{kind} {name} is removed")));
    }
    for (name, value) in new {
        match old.get(name) {
            None => changes.push(Change(format!("{kind} {name} is added"))),
            Some(previous) => changed(previous, value, changes),
        }
    }
}

fn service_changes(old: &Service, new: &Service, changes: &mut Vec<Change>) {
    let name = &new.name;
    for address in old.addresses.iter().filter(|address| !new.addresses.contains(address)) {
        changes.push(Change(format!("service {name} leaves address {address}")));
    }
    for address in new.addresses.iter().filter(|address| !old.addresses.contains(address)) {
        changes.push(Change(format!("service {name} takes address {address}")));
    }
    push(changes, old.hosts != new.hosts, format!("service {name} changes its host names"));
    let class = format!("service {name} changes from class {} to {}", old.class, new.class);
    push(changes, old.class != new.class, class);
    let shed = format!("service {name} changes its shed statuses");
    push(changes, old.shed_statuses != new.shed_statuses, shed);
    let timeout = format!("service {name} changes its progress timeout");
    push(changes, old.progress_timeout != new.progress_timeout, timeout);
    let http = format!("service {name} changes the version of HTTP of its targets");
    push(changes, old.http2 != new.http2, http);
}

fn target_changes(old: &Target, new: &Target, changes: &mut Vec<Change>) {
    let name = &new.name;
    for service in old.services.iter().filter(|service| !new.serves(service)) {
        changes.push(Change(format!("target {name} leaves service {service}")));
    }
    for service in new.services.iter().filter(|service| !old.serves(service)) {
        changes.push(Change(format!("target {name} joins service {service}")));
    }
    if old.state != new.state {
        changes.push(Change(match new.state {
            TargetState::Active => format!("target {name} takes new work again"),
            TargetState::Draining => format!("target {name} drains"),
        }));
    }
    let weight = format!("target {name} changes its weight from {} to {}", old.weight, new.weight);
    push(changes, old.weight != new.weight, weight);
    let slots = format!("target {name} changes its slots from {} to {}", old.slots, new.slots);
    push(changes, old.slots != new.slots, slots);
    let moved = old.address != new.address || old.packet_port != new.packet_port;
    push(changes, moved, format!("target {name} moves from {} to {}", old.address, new.address));
    let data_centre = format!("target {name} changes its data centre to {}", new.data_centre);
    push(changes, old.data_centre != new.data_centre, data_centre);
}
