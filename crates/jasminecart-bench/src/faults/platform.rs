//! The simulated configuration service and the documents that operators publish.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::version::{PlatformReply, Revision, TargetState};
use jasminecart_core::{Millis, Name};

/// A target as the operators published it last.
#[derive(Clone, Debug)]
pub(super) struct PublishedTarget {
    pub(super) service: Name,
    pub(super) data_centre: Name,
    pub(super) address: SocketAddr,
    pub(super) weight: u32,
    pub(super) state: TargetState,
    /// When the state changed last.
    pub(super) since: Millis,
}

/// The configuration service: revisions of one document, outages and staleness.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) targets: BTreeMap<Name, PublishedTarget>,
    pub(super) revisions: Vec<Arc<str>>,
    pub(super) published_at: Millis,
    pub(super) down_until: Millis,
    /// Until this time, reads return a revision that is older by [`Platform::lag`].
    pub(super) stale_until: Millis,
    pub(super) lag: usize,
}

/// The services of the run.
pub(super) const SERVICES: [&str; 2] = ["ledger", "intake"];

/// Returns the address of a service at the packet listener.
pub(super) fn service_address(service: usize) -> SocketAddr {
    SocketAddr::from(([10, 20, 0, service as u8 + 1], 443))
}

impl Platform {
    /// Creates the configuration service and publishes a first revision.
    pub(super) fn new(targets: BTreeMap<Name, PublishedTarget>) -> Platform {
        let mut platform = Platform {
            targets,
            revisions: Vec::new(),
            published_at: Millis::ZERO,
            down_until: Millis::ZERO,
            stale_until: Millis::ZERO,
            lag: 0,
        };
        platform.publish(Millis::ZERO);
        platform
    }

    /// Publishes the current targets as a new revision.
    pub(super) fn publish(&mut self, now: Millis) {
        let mut text = String::new();
        for (index, service) in SERVICES.iter().enumerate() {
            let address = service_address(index);
            let _ =
                writeln!(text, "[service {service}]\naddress = {address}/tcp\nshed_status = 503");
        }
        for (name, target) in &self.targets {
            let state = match target.state {
                TargetState::Active => "active",
                TargetState::Draining => "draining",
            };
            let PublishedTarget { service, data_centre, address, weight, .. } = target;
            let _ = writeln!(
                text,
                "[target {name}]\nservice = {service}\ndata_centre = {data_centre}\n\
                 address = {address}\nweight = {weight}\nstate = {state}"
            );
        }
        self.revisions.push(Arc::from(text));
        self.published_at = now;
    }

    /// Returns the newest revision.
    pub(super) fn newest(&self) -> Revision {
        Revision(self.revisions.len() as u64)
    }

    /// Returns the reply to a read or a watch, or nothing while the watch waits for a newer
    /// revision.
    pub(super) fn reply(&self, now: Millis, after: Option<Revision>) -> Option<PlatformReply> {
        if now < self.down_until {
            return Some(PlatformReply::Unavailable);
        }
        let lag = if now < self.stale_until { self.lag } else { 0 };
        let visible = self.revisions.len().saturating_sub(lag).max(1);
        let revision = Revision(visible as u64);
        if after.is_some_and(|after| after >= revision) {
            return None;
        }
        Some(PlatformReply::Document { revision, text: self.revisions[visible - 1].clone() })
    }
}
