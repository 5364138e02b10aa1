//! The only place that starts and stops the entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use jasminecart_core::Name;
use jasminecart_entry::{Entry, EntryHandle, Settings};

use crate::errors::{Error, Result};
use crate::fabric::FabricEntry;
use crate::http_io;
use crate::platform::PlatformVm;
use crate::requests::RequestEntry;

/// How often a VM is asked whether it is ready.
const READY_PERIOD: Duration = Duration::from_millis(50);
/// A VM serves after 3 s at the latest, and members need some time to learn of it.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// A running entry VM.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: Name,
    pub(super) data_centre: &'static str,
    handle: EntryHandle,
    /// Whether the platform announced that the VM goes away.
    pub(super) is_leaving: bool,
}

/// What became of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopped {
    pub(super) is_drained: bool,
    pub(super) cut_off: u64,
}

impl Vm {
    /// Starts a VM that knows the platform and the given VMs.
    pub(super) async fn start(
        data_centre: &'static str,
        name: &str,
        platform: SocketAddr,
        seeds: &[PlatformVm],
        seed: u64,
    ) -> Result<Vm> {
        let settings = Settings::parse(&settings(data_centre, name, platform, seeds))
            .map_err(|errors| Error::Entry(errors.to_string()))?
            .with_seed(seed);
        let handle =
            Entry::start(settings).await.map_err(|error| Error::Entry(error.to_string()))?;
        Ok(Vm { name: Name::new(name), data_centre, handle, is_leaving: false })
    }

    /// Waits until the VM says that it is ready.
    pub(super) async fn wait_ready(&self) -> Result<()> {
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(READY_PERIOD).await;
            }
        };
        let late = |_| Error::Entry(format!("{} is not ready in time", self.name));
        tokio::time::timeout(READY_WITHIN, ready).await.map_err(late)
    }

    async fn is_ready(&self) -> bool {
        let answer = http_io::get(self.operators(), "/readyz").await;
        answer.is_ok_and(|answer| answer.parts.status.is_success())
    }

    pub(super) fn operators(&self) -> SocketAddr {
        self.handle.addresses().operators
    }

    pub(super) fn on_fabric(&self) -> FabricEntry {
        let address = self.handle.addresses().packets;
        FabricEntry { data_centre: Name::new(self.data_centre), address }
    }

    pub(super) fn for_clients(&self) -> RequestEntry {
        RequestEntry::new(self.name.clone(), self.handle.addresses().requests)
    }

    pub(super) fn on_platform(&self) -> PlatformVm {
        let addresses = self.handle.addresses();
        PlatformVm {
            data_centre: self.data_centre.to_owned(),
            name: self.name.to_string(),
            control: addresses.peers,
            packets: addresses.peer_packets,
            requests: addresses.requests,
            leaving: self.is_leaving,
        }
    }

    pub(super) async fn stop(self) -> Stopped {
        let report = self.handle.stop().await;
        Stopped { is_drained: report.drained, cut_off: report.cut_off }
    }

    pub(super) async fn kill(self) {
        self.handle.kill().await;
    }
}

/// Asks a VM for the revision in force.
pub(super) async fn revision(operators: SocketAddr) -> Option<u64> {
    let answer = http_io::get(operators, "/status").await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    status["document"]["revision"].as_u64()
}

fn settings(data_centre: &str, name: &str, platform: SocketAddr, seeds: &[PlatformVm]) -> String {
    let local = "127.0.0.1:0";
    let seeds: Vec<String> = seeds
        .iter()
        .map(|vm| {
            let PlatformVm { data_centre, name, control, packets, requests, .. } = vm;
            format!("{data_centre}/{name} {control} {packets} {requests}")
        })
        .collect();
    let seeds =
        if seeds.is_empty() { String::new() } else { format!("seeds = {}\n", seeds.join(", ")) };
    format!(
        "[vm]\nname = {name}\ndata_centre = {data_centre}\n\
         [listen]\nrequests = {local}\npackets = {local}\npeer_packets = {local}\n\
         peers = {local}\noperators = {local}\n\
         [platform]\naddress = {platform}\n[peers]\n{seeds}[log]\nlevel = error\n"
    )
}
