//! The services and targets of the demo, and the documents that describe them.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use jasminecart_core::Name;

use crate::errors::Result;
use crate::packet_target::{PacketTarget, PacketTargetConfig};
use crate::request_target::{RequestTarget, RequestTargetConfig};
use crate::run_log::RunLog;

/// The times that requests take at different targets, which differ by a factor of 4.
const WORK: [Duration; 3] =
    [Duration::from_millis(5), Duration::from_millis(10), Duration::from_millis(20)];
const SLOTS: usize = 2;
const WARM_UP: Duration = Duration::from_secs(1);

/// A service of the demo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Claims, and feeds of the ledger.
    Claims,
    /// Uploads, and feeds about them.
    Intake,
}

impl Service {
    pub(super) const ALL: [Service; 2] = [Service::Claims, Service::Intake];

    pub(super) fn name(self) -> &'static str {
        match self {
            Service::Claims => "claims",
            Service::Intake => "intake",
        }
    }

    pub(super) fn host(self) -> String {
        format!("{}.demo", self.name())
    }

    /// Returns the service address in packets of clients.
    pub(super) fn address(self) -> SocketAddrV4 {
        let last = match self {
            Service::Claims => 1,
            Service::Intake => 2,
        };
        SocketAddrV4::new(Ipv4Addr::new(10, 99, 0, last), 443)
    }
}

/// A target, which serves both packets and requests.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) name: Name,
    pub(super) data_centre: &'static str,
    pub(super) service: Service,
    pub(super) packets: PacketTarget,
    pub(super) requests: RequestTarget,
}

impl Target {
    pub(super) async fn start(
        data_centre: &'static str,
        service: Service,
        number: usize,
        seed: u64,
        fabric: std::net::SocketAddr,
        log: &RunLog,
    ) -> Result<Target> {
        let name = Name::new(format!("{data_centre}-{}-{number}", service.name()));
        let packets = PacketTarget::start(PacketTargetConfig {
            name: name.clone(),
            services: vec![service.address()],
            fabric,
            seed: seed.wrapping_add(number as u64),
        })
        .await?;
        let requests = RequestTargetConfig {
            name: name.clone(),
            hosts: vec![service.host()],
            slots: SLOTS,
            work: WORK[number % WORK.len()],
            warm_up: WARM_UP,
        };
        let requests = RequestTarget::start(requests, log.clone()).await?;
        Ok(Target { name, data_centre, service, packets, requests })
    }
}

/// Builds a document with these targets, of which the ones in `draining` drain.
pub(super) fn document(targets: &[Target], draining: &BTreeSet<Name>) -> String {
    let mut text = String::new();
    for service in Service::ALL {
        text += &format!("[service {}]\n", service.name());
        text += &format!("address = {}/tcp\n", service.address());
        text += &format!("host = {}\nclass = {}\n", service.host(), service.name());
        text += "shed_status = 503\nprogress_timeout = 5s\n\n";
        let priority = if service == Service::Claims { 1 } else { 5 };
        text += &format!("[class {}]\npriority = {priority}\n", service.name());
        text += "max_queue_time = 2s\ndefault_deadline = 10s\n\n";
    }
    for target in targets {
        text += &format!("[target {}]\nservice = {}\n", target.name, target.service.name());
        text += &format!("data_centre = {}\n", target.data_centre);
        text += &format!("address = {}\n", target.requests.address());
        text += &format!("packet_port = {}\nslots = {SLOTS}\n", target.packets.address().port());
        if draining.contains(&target.name) {
            text += "state = draining\n";
        }
        text += "\n";
    }
    text
}
