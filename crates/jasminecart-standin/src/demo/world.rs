//! The environment of the demo: platform, fabric, entry VMs, targets and clients.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jasminecart_core::Name;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::Progress;
use super::entries::{self, Vm};
use super::services::{self, Service, Target};
use crate::errors::{Error, Result};
use crate::fabric::{Fabric, Impairments};
use crate::feeds::{FeedCheck, FeedFault, Feeds, FeedsConfig};
use crate::platform::Platform;
use crate::requests::{RequestEntries, Requests, RequestsConfig};
use crate::run_log::RunLog;

/// The data centres, each with its number of entry VMs and of targets per service.
const LAYOUT: [(&str, usize, [usize; 2]); 2] = [("north", 2, [4, 2]), ("south", 1, [3, 2])];
/// The interval at which status pages are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The bound of invariant I6: from this long after publication, a draining target gets no new work.
const DRAIN_BOUND: Duration = Duration::from_secs(5);
const REQUEST_CLIENTS: usize = 8;
const MAX_CLIENT_PAUSE: Duration = Duration::from_millis(40);

/// A client that holds feeds of one service.
struct FeedClient {
    service: Service,
    feeds: Feeds,
}

/// Counts over the feeds of all clients.
#[derive(Clone, Debug, Default)]
pub(super) struct FeedTotals {
    pub(super) opened: u64,
    pub(super) alive: usize,
    /// Feeds that broke before a VM was killed, by fault.
    pub(super) broken_by_plan: BTreeMap<FeedFault, u64>,
    /// Feeds that broke after a VM was killed, by fault.
    pub(super) broken_by_kill: BTreeMap<FeedFault, u64>,
}

/// A target that drains, with the flows and requests that it had received when [`DRAIN_BOUND`] had passed.
struct Draining {
    name: Name,
    since: Instant,
    work_at_bound: Option<(u64, u64)>,
}

pub(super) struct World {
    pub(super) platform: Platform,
    pub(super) fabric: Fabric,
    pub(super) log: RunLog,
    pub(super) entries: RequestEntries,
    pub(super) vms: Vec<Vm>,
    pub(super) targets: Vec<Target>,
    pub(super) totals: FeedTotals,
    pub(super) is_killed: bool,
    seed: u64,
    clients: Vec<FeedClient>,
    requests: Option<Requests>,
    draining: Vec<Draining>,
    sampler: Sampler,
}

impl World {
    pub(super) async fn start(seed: u64, progress: &Progress) -> Result<World> {
        let mut world = World {
            platform: Platform::start().await?,
            fabric: Fabric::start(Impairments::LOSSY, seed).await?,
            log: RunLog::default(),
            entries: RequestEntries::default(),
            vms: Vec::new(),
            targets: Vec::new(),
            totals: FeedTotals::default(),
            is_killed: false,
            seed,
            clients: Vec::new(),
            requests: None,
            draining: Vec::new(),
            sampler: Sampler::start(),
        };
        for (data_centre, _, counts) in LAYOUT {
            for (service, count) in Service::ALL.into_iter().zip(counts) {
                for number in 0..count {
                    world.add_target(data_centre, service, number).await?;
                }
            }
        }
        world.publish();
        progress
            .print("platform, fabric and targets are up; starting 3 entry VMs in 2 data centres");
        for (data_centre, vms, _) in LAYOUT {
            for number in 1..=vms {
                world.start_vm(data_centre, &format!("{data_centre}-{number}")).await?;
            }
        }
        for vm in &world.vms {
            vm.wait_ready().await?;
        }
        world.start_clients().await?;
        Ok(world)
    }

    pub(super) async fn add_target(
        &mut self,
        data_centre: &'static str,
        service: Service,
        number: usize,
    ) -> Result<()> {
        let fabric = self.fabric.target_side();
        let seed = self.seed.wrapping_add(1_000 * self.targets.len() as u64);
        let target = Target::start(data_centre, service, number, seed, fabric, &self.log).await?;
        self.targets.push(target);
        Ok(())
    }

    /// Publishes a document with the present targets and returns its revision.
    pub(super) fn publish(&self) -> u64 {
        let draining: BTreeSet<Name> = self.draining.iter().map(|d| d.name.clone()).collect();
        self.platform.publish(services::document(&self.targets, &draining))
    }

    /// Publishes that a target drains and returns the revision.
    pub(super) fn drain(&mut self, name: &Name) -> u64 {
        let draining = Draining { name: name.clone(), since: Instant::now(), work_at_bound: None };
        self.draining.push(draining);
        self.publish()
    }

    /// Records the work of draining targets whose bound has passed. Any work after that violates invariant I6.
    pub(super) fn record_work_at_bound(&mut self) {
        let (targets, log) = (&self.targets, &self.log);
        for draining in &mut self.draining {
            if draining.work_at_bound.is_none() && draining.since.elapsed() >= DRAIN_BOUND {
                draining.work_at_bound = Some(work(targets, log, &draining.name));
            }
        }
    }

    /// Returns the number of flows and requests that draining targets received after the bound.
    pub(super) fn work_after_drain(&self) -> u64 {
        let late = self.draining.iter().filter_map(|draining| {
            let (flows, runs) = draining.work_at_bound?;
            let (flows_now, runs_now) = work(&self.targets, &self.log, &draining.name);
            Some((flows_now - flows) + (runs_now - runs))
        });
        late.sum()
    }

    pub(super) async fn start_vm(&mut self, data_centre: &'static str, name: &str) -> Result<()> {
        let known: Vec<_> = self.vms.iter().map(Vm::platform_vm).collect();
        let seed = self.seed.wrapping_add(self.vms.len() as u64 + 1);
        let vm = Vm::start(data_centre, name, self.platform.address(), &known, seed).await?;
        self.vms.push(vm);
        self.announce_vms();
        Ok(())
    }

    /// Passes the present VMs to the platform, the fabric, the request clients and the sampler.
    pub(super) fn announce_vms(&self) {
        self.platform.set_vms(self.vms.iter().map(Vm::platform_vm).collect());
        let serving = self.vms.iter().filter(|vm| !vm.is_leaving);
        self.fabric.set_entries(serving.map(Vm::fabric_entry).collect());
        for vm in self.vms.iter().filter(|vm| self.entries.get(&vm.name).is_none()) {
            self.entries.add(vm.request_entry());
        }
        let pages = self.vms.iter().map(|vm| (vm.name.clone(), vm.operators()));
        self.sampler.watch(pages.collect());
    }

    pub(super) fn take_vm(&mut self, name: &str) -> Result<Vm> {
        let index = self.vms.iter().position(|vm| vm.name.as_str() == name);
        Ok(self.vms.remove(index.ok_or(Error::Stopped)?))
    }

    async fn start_clients(&mut self) -> Result<()> {
        for (index, (data_centre, ..)) in LAYOUT.into_iter().enumerate() {
            for service in Service::ALL {
                let ip = Ipv4Addr::new(192, 0, 2, 1 + self.clients.len() as u8);
                let feeds = Feeds::start(FeedsConfig {
                    ip,
                    service: service.address(),
                    fabric: self.fabric.client_side(),
                    seed: self.seed.wrapping_add(index as u64),
                })
                .await?;
                self.fabric.attach_client(ip, feeds.address(), Name::new(data_centre));
                self.clients.push(FeedClient { service, feeds });
            }
        }
        self.requests = Some(Requests::start(
            &RequestsConfig {
                entries: self.entries.clone(),
                claims_host: Service::Claims.host(),
                uploads_host: Service::Intake.host(),
                clients: REQUEST_CLIENTS,
                pause: MAX_CLIENT_PAUSE,
                seed: self.seed,
            },
            &self.log,
        ));
        Ok(())
    }

    /// Opens this many feeds at every client, depending on its service.
    pub(super) async fn open_feeds(&mut self, claims: usize, intake: usize) -> Result<()> {
        for client in &self.clients {
            let count = if client.service == Service::Claims { claims } else { intake };
            client.feeds.open(count).await?;
            self.totals.opened += count as u64;
        }
        Ok(())
    }

    /// Sends another request on every feed. Returns the number of feeds opened since the last check, by target.
    pub(super) async fn check_feeds(&mut self, timeout: Duration) -> Result<BTreeMap<Name, usize>> {
        let mut checks = tokio::task::JoinSet::new();
        let clients = std::mem::take(&mut self.clients);
        for client in clients {
            checks.spawn(async move {
                let check = client.feeds.check(timeout).await;
                (client, check)
            });
        }
        let mut new_targets = BTreeMap::new();
        self.totals.alive = 0;
        while let Some(joined) = checks.join_next().await {
            let (client, check) = joined.map_err(|_| Error::Stopped)?;
            self.clients.push(client);
            self.add_check(check?, &mut new_targets);
        }
        self.record_work_at_bound();
        Ok(new_targets)
    }

    fn add_check(&mut self, check: FeedCheck, new_targets: &mut BTreeMap<Name, usize>) {
        self.totals.alive += check.alive;
        let broken = match self.is_killed {
            true => &mut self.totals.broken_by_kill,
            false => &mut self.totals.broken_by_plan,
        };
        for fault in check.broken.into_values() {
            *broken.entry(fault).or_default() += 1;
        }
        for (target, count) in check.new_targets {
            *new_targets.entry(target).or_default() += count;
        }
    }

    /// Stops the request clients once their operations have finished.
    pub(super) async fn finish_requests(&mut self) {
        if let Some(requests) = self.requests.take() {
            requests.finish().await;
        }
    }

    /// Waits until a revision is current at every VM. Returns how long that took, or `None` after `timeout`.
    pub(super) async fn wait_revision(&self, revision: u64, timeout: Duration) -> Option<Duration> {
        let started = Instant::now();
        loop {
            let mut reached = true;
            for vm in &self.vms {
                reached &= entries::revision(vm.operators()).await >= Some(revision);
            }
            if reached {
                return Some(started.elapsed());
            }
            if started.elapsed() >= timeout {
                return None;
            }
            tokio::time::sleep(SAMPLE_INTERVAL / 4).await;
        }
    }

    /// Returns how often a status page showed an older revision than it did before.
    pub(super) fn reversions(&self) -> u64 {
        self.sampler.lock().reversions
    }

    /// Prints the addresses of the platform and the entry VMs.
    pub(super) fn print_addresses(&self, progress: &Progress) {
        progress.print(&format!("platform: http://{}", self.platform.address()));
        for vm in &self.vms {
            let entry = vm.request_entry();
            progress.print(&format!(
                "{}: requests http://{}, operators http://{}",
                vm.name,
                entry.address(),
                vm.operators(),
            ));
        }
    }
}

/// Returns the number of flows opened and of requests run at a target.
fn work(targets: &[Target], log: &RunLog, name: &Name) -> (u64, u64) {
    let target = targets.iter().find(|target| target.name == *name);
    (target.map_or(0, |target| target.packets.counts().opened), log.runs_at(name))
}

/// Reads the status pages of all VMs at regular intervals and counts revisions that are older than before.
struct Sampler {
    state: Arc<Mutex<Samples>>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Default)]
struct Samples {
    pages: Vec<(Name, SocketAddr)>,
    highest: BTreeMap<Name, u64>,
    reversions: u64,
}

impl Sampler {
    fn start() -> Sampler {
        let state = Arc::new(Mutex::new(Samples::default()));
        let _task = AbortOnDropHandle::new(tokio::spawn(sample(state.clone())));
        Sampler { state, _task }
    }

    fn watch(&self, pages: Vec<(Name, SocketAddr)>) {
        self.lock().pages = pages;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Samples> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn sample(state: Arc<Mutex<Samples>>) {
    loop {
        let pages = state.lock().unwrap_or_else(PoisonError::into_inner).pages.clone();
        for (name, page) in pages {
            let Some(revision) = entries::revision(page).await else { continue };
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let highest = state.highest.entry(name).or_default();
            let is_older = revision < *highest;
            *highest = revision.max(*highest);
            state.reversions += u64::from(is_older);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
