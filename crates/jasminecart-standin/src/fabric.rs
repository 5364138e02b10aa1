//! The network fabric: sprays client packets over the entry VMs and delivers packets of targets to clients.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jasminecart_core::Name;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::errors::Result;
use crate::tunnel::{self, MAX_DATAGRAM_BYTES};

/// The most packets that are delayed at a time. Further packets are delivered at once.
const MAX_DELAYED: usize = 10_000;

/// The faults that the fabric injects, as probabilities per packet from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Impairments {
    /// The probability that a packet is dropped.
    pub loss: f64,
    /// The probability that a packet is delivered twice.
    pub duplication: f64,
    /// The probability that a packet is delayed, so that later ones overtake it.
    pub reordering: f64,
    /// The longest delay of a packet.
    pub max_delay: Duration,
}

impl Impairments {
    /// A fabric that delivers every packet once and in order.
    pub const NONE: Impairments = Impairments {
        loss: 0.0,
        duplication: 0.0,
        reordering: 0.0,
        max_delay: Duration::from_millis(1),
    };

    /// A fabric that loses 2 %, duplicates 2 % and reorders 10 % of the packets.
    pub const LOSSY: Impairments = Impairments {
        loss: 0.02,
        duplication: 0.02,
        reordering: 0.10,
        max_delay: Duration::from_millis(8),
    };
}

/// An entry VM as the fabric sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FabricEntry {
    /// The data centre of the VM. Packets of a client go to the VMs of its data centre, or to any VM when its data
    /// centre has none.
    pub data_centre: Name,
    /// The address of the VM's socket for packets from the fabric.
    pub address: SocketAddr,
}

/// The packets that the fabric has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FabricCounts {
    /// Packets from clients.
    pub from_clients: u64,
    /// Packets from targets.
    pub from_targets: u64,
    /// Packets dropped as a fault.
    pub lost: u64,
    /// Packets delivered twice as a fault.
    pub duplicated: u64,
    /// Packets delayed as a fault.
    pub reordered: u64,
    /// Packets for an unknown client, or from a client while there is no VM.
    pub undeliverable: u64,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<FabricEntry>,
    clients: HashMap<IpAddr, Client>,
    counts: FabricCounts,
}

#[derive(Clone, Debug)]
struct Client {
    address: SocketAddr,
    data_centre: Name,
}

/// A running fabric. Dropping it aborts its task.
#[derive(Debug)]
pub struct Fabric {
    state: Arc<Mutex<State>>,
    client_side: SocketAddr,
    target_side: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

impl Fabric {
    /// Starts a fabric on two loopback sockets.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound.
    pub async fn start(impairments: Impairments, seed: u64) -> Result<Fabric> {
        let client_side = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let target_side = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addresses = (client_side.local_addr()?, target_side.local_addr()?);
        let state = Arc::new(Mutex::new(State::default()));
        let task = Task {
            state: state.clone(),
            client_side,
            target_side,
            impairments,
            rng: ChaCha8Rng::seed_from_u64(seed),
            delayed: BTreeMap::new(),
            sequence: 0,
        };
        let _task = AbortOnDropHandle::new(tokio::spawn(task.run()));
        Ok(Fabric { state, client_side: addresses.0, target_side: addresses.1, _task })
    }

    /// Returns the address for packets of clients.
    pub fn client_side(&self) -> SocketAddr {
        self.client_side
    }

    /// Returns the address for packets of targets to clients.
    pub fn target_side(&self) -> SocketAddr {
        self.target_side
    }

    /// Replaces the list of entry VMs. Real fabrics apply changes with a delay.
    pub fn set_entries(&self, entries: Vec<FabricEntry>) {
        lock(&self.state).entries = entries;
    }

    /// Connects a client with the address `ip`, whose packets are sent to its socket at `address`.
    pub fn attach_client(&self, ip: Ipv4Addr, address: SocketAddr, data_centre: Name) {
        lock(&self.state).clients.insert(IpAddr::V4(ip), Client { address, data_centre });
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> FabricCounts {
        lock(&self.state).counts
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Task {
    state: Arc<Mutex<State>>,
    client_side: UdpSocket,
    target_side: UdpSocket,
    impairments: Impairments,
    rng: ChaCha8Rng,
    /// Delayed packets, by the time of their delivery and a sequence number that makes the keys distinct.
    delayed: BTreeMap<(Instant, u64), (SocketAddr, Vec<u8>)>,
    sequence: u64,
}

impl Task {
    async fn run(mut self) {
        let mut from_client = [0; MAX_DATAGRAM_BYTES];
        let mut from_target = [0; MAX_DATAGRAM_BYTES];
        loop {
            let due = self.delayed.first_key_value().map(|((due, _), _)| *due);
            tokio::select! {
                received = self.client_side.recv(&mut from_client) => {
                    let bytes = received.unwrap_or(0);
                    self.spray(&from_client[..bytes]);
                }
                received = self.target_side.recv(&mut from_target) => {
                    let bytes = received.unwrap_or(0);
                    self.deliver(&from_target[..bytes]);
                }
                () = wait_until(due) => self.send_delayed(),
            }
        }
    }

    fn spray(&mut self, datagram: &[u8]) {
        let chosen = {
            let mut state = lock(&self.state);
            state.counts.from_clients += 1;
            tunnel::decapsulate(datagram)
                .and_then(|packet| choose(&state, packet.key.source.ip(), &mut self.rng))
        };
        self.transmit(chosen, datagram);
    }

    fn deliver(&mut self, datagram: &[u8]) {
        let client = {
            let mut state = lock(&self.state);
            state.counts.from_targets += 1;
            tunnel::decapsulate(datagram)
                .and_then(|packet| state.clients.get(&packet.key.destination.ip()).cloned())
        };
        self.transmit(client.map(|client| client.address), datagram);
    }

    fn transmit(&mut self, to: Option<SocketAddr>, datagram: &[u8]) {
        let Some(to) = to else {
            lock(&self.state).counts.undeliverable += 1;
            return;
        };
        if self.rng.random_bool(self.impairments.loss) {
            lock(&self.state).counts.lost += 1;
            return;
        }
        if self.rng.random_bool(self.impairments.duplication) {
            lock(&self.state).counts.duplicated += 1;
            self.send(to, datagram);
        }
        if self.rng.random_bool(self.impairments.reordering) && self.delayed.len() < MAX_DELAYED {
            lock(&self.state).counts.reordered += 1;
            self.sequence += 1;
            let micros = self.rng.random_range(0..=self.impairments.max_delay.as_micros() as u64);
            let due = Instant::now() + Duration::from_micros(micros);
            self.delayed.insert((due, self.sequence), (to, datagram.to_vec()));
        } else {
            self.send(to, datagram);
        }
    }

    fn send_delayed(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let (to, datagram) = entry.remove();
            self.send(to, &datagram);
        }
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        // When the send buffer of the socket is full, the packet is lost, as in any network.
        let _ = self.client_side.try_send_to(datagram, to);
    }
}

fn choose(state: &State, client: IpAddr, rng: &mut impl rand::Rng) -> Option<SocketAddr> {
    let home = &state.clients.get(&client)?.data_centre;
    let near = state.entries.iter().filter(|entry| entry.data_centre == *home).count();
    let candidates = if near > 0 { near } else { state.entries.len() };
    if candidates == 0 {
        return None;
    }
    let usable = state.entries.iter().filter(|entry| near == 0 || entry.data_centre == *home);
    let index = (rng.next_u64() % candidates as u64) as usize;
    usable.map(|entry| entry.address).nth(index)
}

async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
