//! An environment of packet listeners, packet targets and feeds around a fabric, without the rest of the entry
//! daemon.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jasminecart_core::flow::{BucketRouter, FlowLimits};
use jasminecart_core::process::{Member, MemberState, Members, PeerAddress};
use jasminecart_core::version::{Document, Revision};
use jasminecart_core::{Incarnation, Millis, Name, Outgoing, PeerMessage, VmId};
use jasminecart_entry::clock::Clock;
use jasminecart_entry::packet_listener::{
    PacketCommand, PacketCounters, PacketListener, PacketListenerConfig,
};
use jasminecart_standin::fabric::{Fabric, FabricEntry, Impairments};
use jasminecart_standin::feeds::{FeedCheck, Feeds, FeedsConfig};
use jasminecart_standin::packet_target::{PacketTarget, PacketTargetConfig, PacketTargetCounts};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// The service address of the feeds.
pub(crate) const LEDGER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 99, 0, 1), 443);
const CLIENT: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 7);
/// A response on a feed usually arrives within a second through a lossy fabric. The timeout only ends runs in
/// which a feed broke.
const CHECK_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which the VMs receive the list of members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(200);

type Commands = Arc<Mutex<BTreeMap<VmId, mpsc::Sender<PacketCommand>>>>;

struct Vm {
    id: VmId,
    clock: Clock,
    /// A runtime with one thread, which is blocked during a pause.
    runtime: Option<Runtime>,
    listener: PacketListener,
    state: MemberState,
    revision: Revision,
    paused: Option<Pause>,
    _messages: AbortOnDropHandle<()>,
}

#[derive(Clone, Copy)]
struct Pause {
    from: Instant,
    until: Instant,
}

impl Vm {
    /// Returns the last time at which the other VMs were in contact with this one: now, or the start of its pause.
    fn last_contact(&self) -> Instant {
        self.paused.map_or_else(Instant::now, |pause| pause.from)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A data centre of packet listeners with their fabric, targets and feeds.
pub(crate) struct World {
    pub(crate) fabric: Fabric,
    pub(crate) feeds: Arc<Feeds>,
    /// The number of feeds opened since the start.
    pub(crate) opened: usize,
    vms: Vec<Vm>,
    /// Killed VMs as the other VMs list them, with the time of the last contact.
    killed: Vec<(Member, Instant)>,
    commands: Commands,
    targets: BTreeMap<Name, PacketTarget>,
    revision: u64,
    document: Option<Arc<Document>>,
    seed: u64,
}

impl World {
    pub(crate) async fn start(
        seed: u64,
        vms: usize,
        targets: usize,
        impairments: Impairments,
    ) -> World {
        let fabric = Fabric::start(impairments, seed).await.unwrap();
        let config =
            FeedsConfig { ip: CLIENT, service: LEDGER, fabric: fabric.client_side(), seed };
        let feeds = Arc::new(Feeds::start(config).await.unwrap());
        fabric.attach_client(CLIENT, feeds.address(), Name::new("dc"));
        let mut world = World {
            fabric,
            feeds,
            opened: 0,
            vms: Vec::new(),
            killed: Vec::new(),
            commands: Commands::default(),
            targets: BTreeMap::new(),
            revision: 0,
            document: None,
            seed,
        };
        for number in 0..targets {
            world.add_target(&format!("t{number}")).await;
        }
        for number in 0..vms {
            world.add_vm(&format!("vm{number}"), MemberState::Active).await;
        }
        world
    }

    pub(crate) async fn add_target(&mut self, name: &str) {
        let name = Name::new(name);
        let config = PacketTargetConfig {
            name: name.clone(),
            services: vec![LEDGER],
            fabric: self.fabric.target_side(),
            seed: self.seed + self.targets.len() as u64,
        };
        self.targets.insert(name, PacketTarget::start(config).await.unwrap());
    }

    pub(crate) async fn add_vm(&mut self, name: &str, state: MemberState) {
        let id = VmId::new("dc", name);
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let config = PacketListenerConfig { packets: local, peer_packets: local };
        let router = BucketRouter::new(id.clone(), self.seed, FlowLimits::default());
        let (tx, rx) = mpsc::channel(1_024);
        let clock = Clock::new();
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let listener = runtime.spawn(PacketListener::start(config, clock, router, tx));
        let listener = listener.await.unwrap().unwrap();
        self.commands.lock().unwrap().insert(id.clone(), listener.commands());
        let task = tokio::spawn(deliver(id.clone(), rx, self.commands.clone()));
        let _messages = AbortOnDropHandle::new(task);
        self.vms.push(Vm {
            id,
            clock,
            runtime: Some(runtime),
            listener,
            state,
            revision: Revision(0),
            paused: None,
            _messages,
        });
        self.send_document(self.vms.len() - 1).await;
        self.send_members().await;
        self.update_fabric();
    }

    pub(crate) async fn set_state(&mut self, index: usize, state: MemberState) {
        self.vms[index].state = state;
        self.send_members().await;
    }

    /// Kills a VM. The others list it in its last state until [`World::announce_deaths`].
    pub(crate) fn kill(&mut self, index: usize) {
        let vm = self.vms.remove(index);
        self.killed.push((self.member(&vm), vm.last_contact()));
        self.commands.lock().unwrap().remove(&vm.id);
        self.update_fabric();
    }

    /// Declares the killed VMs dead and sends that to the others.
    pub(crate) async fn announce_deaths(&mut self) {
        self.killed.iter_mut().for_each(|(member, _)| member.state = MemberState::Dead);
        self.send_members().await;
    }

    pub(crate) async fn open(&mut self, feeds: usize) {
        self.opened += feeds;
        self.feeds.open(feeds).await.unwrap();
    }

    /// Starts the planned stop of a VM. The returned channel receives a message once the VM has transferred all
    /// its entries.
    pub(crate) async fn leave(&mut self, index: usize) -> oneshot::Receiver<()> {
        let (drained, rx) = oneshot::channel();
        let commands = self.vms[index].listener.commands();
        self.set_state(index, MemberState::Leaving).await;
        commands.send(PacketCommand::Leave { drained }).await.unwrap();
        rx
    }

    pub(crate) fn update_fabric(&self) {
        let entry = |vm: &Vm| FabricEntry {
            data_centre: Name::new("dc"),
            address: vm.listener.addresses().0,
        };
        self.fabric.set_entries(self.vms.iter().map(entry).collect());
    }

    /// Sends the list of members to every VM that is not paused. The last contact of a running member is now, that
    /// of a paused one the start of its pause, and that of a killed one its kill or the pause before it.
    pub(crate) async fn send_members(&self) {
        for reader in self.vms.iter().filter(|vm| vm.paused.is_none()) {
            let with_last_contact = |member: Member, at: Instant| {
                let silence = Millis(at.elapsed().as_millis() as u64);
                Member { heard_at: reader.clock.now() - silence, ..member }
            };
            let vms =
                self.vms.iter().map(|vm| with_last_contact(self.member(vm), vm.last_contact()));
            let killed =
                self.killed.iter().map(|(member, at)| with_last_contact(member.clone(), *at));
            let mut list: Vec<Member> = vms.chain(killed).collect();
            list.sort_by(|a, b| a.vm.cmp(&b.vm));
            let members = Members::new(reader.id.clone(), list);
            reader.listener.commands().send(PacketCommand::Members(members)).await.unwrap();
        }
    }

    fn member(&self, vm: &Vm) -> Member {
        let (packets, peer_packets) = vm.listener.addresses();
        Member {
            vm: vm.id.clone(),
            incarnation: Incarnation(1),
            state: vm.state,
            size: 1,
            address: PeerAddress { control: packets, packets: peer_packets, requests: packets },
            revision: vm.revision,
            heard_at: Millis::ZERO,
        }
    }

    /// Sends the newest document to a VM, unless it is paused.
    async fn send_document(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if let Some(document) = self.document.clone().filter(|_| vm.paused.is_none()) {
            vm.revision = document.revision();
            vm.listener.commands().send(PacketCommand::Document(document)).await.unwrap();
        }
    }

    /// Pauses a VM by blocking its only thread.
    pub(crate) fn pause(&mut self, index: usize, duration: Duration) {
        let vm = &mut self.vms[index];
        let now = Instant::now();
        vm.paused = Some(Pause { from: now, until: now + duration });
        vm.runtime.as_ref().unwrap().spawn(async move { std::thread::sleep(duration) });
    }

    /// Resumes the VMs whose pause is over and sends them the newest document.
    async fn resume(&mut self) {
        for index in 0..self.vms.len() {
            let is_over = self.vms[index].paused.is_some_and(|pause| pause.until <= Instant::now());
            if is_over {
                self.vms[index].paused = None;
                self.send_document(index).await;
            }
        }
    }

    pub(crate) fn has_paused_vm(&self) -> bool {
        self.vms.iter().any(|vm| vm.paused.is_some())
    }

    pub(crate) fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Waits until a joining VM is ready, which is when it has the state that an owner needs, and makes it active.
    pub(crate) async fn join(&mut self, index: usize) {
        let ready = self.vms[index].listener.ready();
        while !*ready.borrow() {
            self.run_for(Duration::from_millis(50)).await;
        }
        self.set_state(index, MemberState::Active).await;
    }

    /// Publishes a document with the given targets to the VMs in turn. The targets in `draining` drain.
    pub(crate) async fn publish(&mut self, targets: &[&str], draining: &[&str], extra: &str) {
        self.publish_slowly(targets, draining, extra, Duration::ZERO).await;
    }

    /// Publishes a document as [`World::publish`] does, with a pause after each VM.
    pub(crate) async fn publish_slowly(
        &mut self,
        targets: &[&str],
        draining: &[&str],
        extra: &str,
        pause: Duration,
    ) {
        self.next_document(targets, draining, extra);
        for index in 0..self.vms.len() {
            self.send_document(index).await;
            self.run_for(pause).await;
        }
        self.send_members().await;
    }

    fn next_document(&mut self, targets: &[&str], draining: &[&str], extra: &str) {
        let mut text = format!("[service ledger]\naddress = {LEDGER}/tcp\n{extra}\n");
        for name in targets {
            let address = self.targets[*name].address();
            text += &format!("[target {name}]\nservice = ledger\ndata_centre = dc\n");
            text += &format!("address = {address}\npacket_port = {}\n", address.port());
            if draining.contains(name) {
                text += "state = draining\n";
            }
        }
        self.revision += 1;
        let document = Arc::new(Document::parse(Revision(self.revision), &text).unwrap());
        self.document = Some(document);
    }

    /// Waits for `duration` while the VMs receive the list of members at intervals, as they do in a data centre
    /// without faults.
    pub(crate) async fn run_for(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            tokio::time::sleep(MEMBERS_INTERVAL.min(until - Instant::now())).await;
            self.resume().await;
            self.send_members().await;
        }
    }

    /// Sends a request on every feed and returns the result, while the VMs receive the list of members.
    pub(crate) async fn check(&mut self) -> FeedCheck {
        let feeds = self.feeds.clone();
        let check = feeds.check(CHECK_TIMEOUT);
        tokio::pin!(check);
        loop {
            tokio::select! {
                check = &mut check => return check.unwrap(),
                () = tokio::time::sleep(MEMBERS_INTERVAL) => {}
            }
            self.resume().await;
            self.send_members().await;
        }
    }

    pub(crate) async fn counters(&self, index: usize) -> PacketCounters {
        let (reply, rx) = oneshot::channel();
        let commands = self.vms[index].listener.commands();
        commands.send(PacketCommand::Counters { reply }).await.unwrap();
        rx.await.unwrap()
    }

    pub(crate) fn target_counts(&self, name: &str) -> PacketTargetCounts {
        self.targets[name].counts()
    }
}

async fn deliver(from: VmId, mut messages: mpsc::Receiver<Outgoing>, commands: Commands) {
    while let Some(Outgoing { to, message }) = messages.recv().await {
        let PeerMessage::Flow(message) = message else { continue };
        let peer = commands.lock().unwrap().get(&to).cloned();
        if let Some(peer) = peer {
            // A paused VM handles no messages. Once its queue is full, messages to it are lost.
            let _ = peer.try_send(PacketCommand::Message { from: from.clone(), message });
        }
    }
}
