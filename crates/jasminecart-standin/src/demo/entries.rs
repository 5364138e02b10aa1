//! Starts and stops entry VMs. No other module of the demo uses the entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use jasminecart_core::Name;
use jasminecart_entry::{Entry, EntryHandle, Settings};

use crate::errors::{Error, Result};
use crate::fabric::FabricEntry;
use crate::http_io;
use crate::platform::PlatformVm;
use crate::requests::RequestEntry;

/// The interval at which the readiness of a VM is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A VM serves after 3 s at the latest, and the other members need some time to discover it.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A running entry VM.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: Name,
    pub(super) data_centre: &'static str,
    handle: EntryHandle,
    /// Whether the platform has announced that it will stop the VM.
    pub(super) is_leaving: bool,
}

/// The result of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopResult {
    pub(super) is_drained: bool,
    /// Requests that were still running when the stop ended.
    pub(super) cut_off: u64,
}

impl Vm {
    /// Starts a VM with the address of the platform and the given seed members.
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

    /// Waits until the VM reports that it is ready.
    pub(super) async fn wait_ready(&self) -> Result<()> {
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let timed_out =
            |_| Error::Entry(format!("{} was not ready within {READY_TIMEOUT:?}", self.name));
        tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(timed_out)
    }

    async fn is_ready(&self) -> bool {
        let response = http_io::get(self.operators(), "/readyz").await;
        response.is_ok_and(|response| response.parts.status.is_success())
    }

    pub(super) fn operators(&self) -> SocketAddr {
        self.handle.addresses().operators
    }

    /// Returns the entry of the VM in the fabric's list.
    pub(super) fn fabric_entry(&self) -> FabricEntry {
        let address = self.handle.addresses().packets;
        FabricEntry { data_centre: Name::new(self.data_centre), address }
    }

    /// Returns the entry of the VM in the list of the request clients.
    pub(super) fn request_entry(&self) -> RequestEntry {
        RequestEntry::new(self.name.clone(), self.handle.addresses().requests)
    }

    /// Returns the entry of the VM in the platform's list.
    pub(super) fn platform_vm(&self) -> PlatformVm {
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

    pub(super) async fn stop(self) -> StopResult {
        let report = self.handle.stop().await;
        StopResult { is_drained: report.drained, cut_off: report.cut_off }
    }

    pub(super) async fn kill(self) {
        self.handle.kill().await;
    }
}

/// Reads the current revision from the status page of a VM.
pub(super) async fn revision(operators: SocketAddr) -> Option<u64> {
    let response = http_io::get(operators, "/status").await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
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
