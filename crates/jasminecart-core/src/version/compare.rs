//! Describes the difference between two documents for operators.

use std::collections::BTreeMap;
use std::fmt;

use super::document::{Document, Service, Target, TargetState};
use crate::names::Name;

/// The description of one difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change(String);

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the changes from `old` to `new`.
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_maps(&mut changes, "service", old.services(), new.services(), service_changes);
    compare_maps(&mut changes, "target", old.targets(), new.targets(), target_changes);
    compare_maps(&mut changes, "class", old.classes(), new.classes(), |old, new, changes| {
        push_if(changes, old != new, format!("class {} changes its settings", new.name));
    });
    compare_maps(&mut changes, "tenant", old.tenants(), new.tenants(), |old, new, changes| {
        push_if(changes, old != new, format!("tenant {} changes its limits", new.name));
    });
    push_if(&mut changes, old.limits() != new.limits(), "the limits change".to_owned());
    changes
}

fn push_if(changes: &mut Vec<Change>, differs: bool, text: String) {
    if differs {
        changes.push(Change(text));
    }
}

fn compare_maps<T: PartialEq>(
    changes: &mut Vec<Change>,
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    describe: impl Fn(&T, &T, &mut Vec<Change>),
) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(Change(format!("{kind} {name} is removed")));
    }
    for (name, value) in new {
        match old.get(name) {
            None => changes.push(Change(format!("{kind} {name} is added"))),
            Some(previous) => describe(previous, value, changes),
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
    push_if(changes, old.hosts != new.hosts, format!("service {name} changes its host names"));
    let class = format!("service {name} changes from class {} to {}", old.class, new.class);
    push_if(changes, old.class != new.class, class);
    let shed = format!("service {name} changes its shed statuses");
    push_if(changes, old.shed_statuses != new.shed_statuses, shed);
    let timeout = format!("service {name} changes its progress timeout");
    push_if(changes, old.progress_timeout != new.progress_timeout, timeout);
    let http = format!("service {name} changes the version of HTTP of its targets");
    push_if(changes, old.http2 != new.http2, http);
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
    push_if(changes, old.weight != new.weight, weight);
    let slots = format!("target {name} changes its slots from {} to {}", old.slots, new.slots);
    push_if(changes, old.slots != new.slots, slots);
    let moved = old.address != new.address || old.packet_port != new.packet_port;
    push_if(changes, moved, format!("target {name} moves from {} to {}", old.address, new.address));
    let data_centre = format!("target {name} changes its data centre to {}", new.data_centre);
    push_if(changes, old.data_centre != new.data_centre, data_centre);
}
