//! Starts, stops and kills one entry VM inside the calling process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jasminecart_core::flow::{BucketRouter, FlowLimits};
use jasminecart_core::names::{Incarnation, VmId};
use jasminecart_core::process::{MemberLimits, Membership, PeerAddress};
use jasminecart_core::request::{DispatchLimits, Dispatcher};
use jasminecart_core::version::{Adoption, AdoptionLimits, Document};
use jasminecart_peer::PeerServer;
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::control::{Control, ControlActor, ControlParts, longest_deadline};
use crate::errors::{Error, Result};
use crate::logging;
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::packet_listener::{PacketListener, PacketListenerConfig};
use crate::platform::Platform;
use crate::pool::{Pool, PoolLimits};
use crate::request::{RequestContext, RequestListener, ResponseStore};
use crate::settings::{LimitSettings, Settings};
use crate::tasks::Tasks;

/// The period of the control actor's ticks. Backoffs, slots and deadlines of the dispatcher need this
/// resolution.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// The capacity of the channels between the control actor, the packet task and the peer service.
const CHANNEL_CAPACITY: usize = 1_024;
/// How often idle connections to targets are checked for expiry.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// How often a planned stop checks whether the process is drained.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// The minimum duration of a planned stop. During this time peers and the fabric are notified of the stop,
/// and a client that is about to send a request on an open connection still gets a response.
const MIN_STOP_DURATION: Duration = Duration::from_millis(500);
/// The minimum time that open connections get to close, even after the time limit of the stop has passed.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The entry daemon.
#[derive(Debug)]
pub struct Entry;

/// The bound addresses of a running entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The TCP address for requests.
    pub requests: SocketAddr,
    /// The UDP address for packets from the fabric.
    pub packets: SocketAddr,
    /// The UDP address for packets from other VMs.
    pub peer_packets: SocketAddr,
    /// The TCP address of the peer service.
    pub peers: SocketAddr,
    /// The TCP address for operators.
    pub operators: SocketAddr,
}

impl Addresses {
    /// Returns the addresses announced to peers.
    pub fn peer_address(&self) -> PeerAddress {
        PeerAddress { control: self.peers, packets: self.peer_packets, requests: self.requests }
    }
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Whether all requests were finished and all state was handed over in time.
    pub drained: bool,
    /// The number of requests that were aborted.
    pub cut_off: u64,
}

/// A running entry VM. Dropping it kills the VM, as [`EntryHandle::kill`] does.
#[derive(Debug)]
pub struct EntryHandle {
    me: VmId,
    addresses: Addresses,
    tasks: Tasks,
    control: Control,
    requests: RequestListener,
    documents: watch::Receiver<Option<Arc<Document>>>,
    limits: LimitSettings,
    _peers: Arc<PeerServer>,
    _packets: PacketListener,
}

impl Entry {
    /// Starts one entry VM in the current tokio runtime. All listeners are bound when this returns. The VM
    /// becomes ready later, once it has adopted a document and joined.
    pub async fn start(settings: Settings) -> Result<EntryHandle> {
        logging::init(&settings.log);
        Builder::new(settings).start().await
    }
}

struct Builder {
    settings: Settings,
    seed: u64,
    incarnation: Incarnation,
    clock: Clock,
    tasks: Tasks,
    metrics: Arc<Metrics>,
}

impl Builder {
    fn new(settings: Settings) -> Builder {
        let seed = settings.seed.unwrap_or_else(random_seed);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Builder {
            settings,
            seed,
            incarnation: Incarnation(millis),
            clock: Clock::new(),
            tasks: Tasks::default(),
            metrics: Arc::new(Metrics::new()),
        }
    }

    async fn start(self) -> Result<EntryHandle> {
        let listen = self.settings.listen;
        let requests = bind("request", listen.requests).await?;
        let operators = bind("operators'", listen.operators).await?;
        let peers = bind("peer", listen.peers).await?;
        let (inbox, delivered) = mpsc::channel(CHANNEL_CAPACITY);
        let peers = Arc::new(PeerServer::start(peers, inbox)?);
        let (outgoing, outbox) = mpsc::channel(CHANNEL_CAPACITY);
        let packets = self.start_packets(outgoing).await?;
        let (documents, current_document) = watch::channel(None);
        let (control, mailbox) = Control::new();

        let cx = self.request_context(control.clone(), current_document.clone());
        self.tasks.spawn(sweep(cx.pool.clone()));
        let requests = RequestListener::start(requests, cx)
            .map_err(|source| listen_error("request", listen.requests, source))?;
        let operators = Operators {
            control: control.clone(),
            packets: packets.commands(),
            metrics: self.metrics.clone(),
            peers: peers.clone(),
            tasks: self.tasks.clone(),
        }
        .start(operators)
        .map_err(|source| listen_error("operators'", listen.operators, source))?;
        let (packet_address, peer_packets) = packets.addresses();
        let addresses = Addresses {
            requests: requests.address(),
            packets: packet_address,
            peer_packets,
            peers: peers.address(),
            operators,
        };

        let parts = self.control_parts(&control, &packets, documents, addresses.peer_address());
        parts.platform.poll_list();
        Control::run(&self.tasks, mailbox, ControlActor::new(parts));
        control.start().await;
        self.tasks.spawn(tick(control.clone()));
        self.tasks.spawn(receive(control.clone(), delivered));
        self.tasks.spawn(send(control.clone(), outbox));
        let (vm, address) = (self.settings.me.to_string(), addresses.requests.to_string());
        log::info!(event = "entry_started", vm = vm.as_str(), incarnation = self.incarnation.0, requests = address.as_str(); "the entry VM started");
        Ok(EntryHandle {
            me: self.settings.me,
            addresses,
            tasks: self.tasks,
            control,
            requests,
            documents: current_document,
            limits: self.settings.limits,
            _peers: peers,
            _packets: packets,
        })
    }

    async fn start_packets(
        &self,
        outgoing: mpsc::Sender<jasminecart_core::message::Outgoing>,
    ) -> Result<PacketListener> {
        let listen = self.settings.listen;
        let cfg =
            PacketListenerConfig { packets: listen.packets, peer_packets: listen.peer_packets };
        #[allow(clippy::needless_update)] // New limits of jasminecart-core need no change here.
        let limits = FlowLimits {
            max_exceptions: self.settings.limits.max_exceptions,
            ..FlowLimits::default()
        };
        let router = BucketRouter::new(self.settings.me.clone(), self.seed, limits);
        PacketListener::start(cfg, self.clock, router, outgoing)
            .await
            .map_err(|source| listen_error("packet", listen.packets, source))
    }

    fn request_context(
        &self,
        control: Control,
        documents: watch::Receiver<Option<Arc<Document>>>,
    ) -> Arc<RequestContext> {
        let limits = &self.settings.limits;
        let pool = PoolLimits {
            connect_within: limits.connect_within.into(),
            keep_idle: limits.keep_idle.into(),
            max_idle: limits.max_idle,
        };
        Arc::new(RequestContext {
            vm: self.settings.me.to_string(),
            clock: self.clock,
            control,
            pool: Pool::new(pool, self.tasks.clone(), self.metrics.clone()),
            metrics: self.metrics.clone(),
            documents,
            stored_responses: ResponseStore::new(limits.stored_answer_bytes),
            tasks: self.tasks.clone(),
            request_permits: Arc::new(Semaphore::new(limits.max_requests)),
            connection_permits: Arc::new(Semaphore::new(limits.max_connections)),
            draining: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
        })
    }

    fn control_parts(
        &self,
        control: &Control,
        packets: &PacketListener,
        documents: watch::Sender<Option<Arc<Document>>>,
        address: PeerAddress,
    ) -> ControlParts {
        let Builder { settings, seed, incarnation, .. } = self;
        let me = settings.me.clone();
        #[allow(clippy::needless_update)] // New limits of jasminecart-core need no change here.
        let dispatch = DispatchLimits {
            max_keys: settings.limits.max_keys,
            second_copies: settings.second_copies,
            ..DispatchLimits::default()
        };
        let membership =
            Membership::new(me.clone(), *incarnation, address, *seed, MemberLimits::default());
        ControlParts {
            me: me.clone(),
            incarnation: *incarnation,
            clock: self.clock,
            adoption: Adoption::new(me.clone(), *seed, AdoptionLimits::default()),
            membership: membership.with_size(settings.size).with_seeds(settings.seeds.clone()),
            dispatcher: Dispatcher::new(me.clone(), *incarnation, *seed, dispatch),
            seeds: settings.seeds.clone(),
            platform: Platform::new(
                me.to_string(),
                settings.platform,
                control.clone(),
                self.tasks.clone(),
                self.metrics.clone(),
            ),
            packets: packets.commands(),
            packets_ready: packets.ready(),
            documents,
            metrics: self.metrics.clone(),
            stop_within: settings.limits.stop_within,
        }
    }
}

impl EntryHandle {
    /// Returns the identity of the VM.
    pub fn me(&self) -> &VmId {
        &self.me
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Performs a planned stop: announces it, accepts no new requests, finishes those in progress and hands
    /// over the flows and keys that this VM owns. Packets are routed until the end.
    pub async fn stop(self) -> StopReport {
        let vm = self.me.to_string();
        log::info!(event = "stop_started", vm = vm.as_str(); "the planned stop started");
        let started = tokio::time::Instant::now();
        self.requests.start_drain();
        self.control.leave().await;
        let limit = self.stop_time_limit();
        let drained = tokio::time::timeout(limit, self.drain(started)).await.is_ok();
        let cut_off = u64::try_from(self.requests.in_progress()).unwrap_or(0);
        if !drained {
            let remaining = format!("{:?}", self.control.remaining_work().await);
            log::warn!(event = "stop_not_drained", vm = vm.as_str(), left = remaining.as_str(), cut_off = cut_off; "the time limit of the planned stop expired before all work was finished; requests in progress may be aborted");
        }
        self.requests.shut_down();
        // A slow client may still be receiving the end of a response that is complete on this side.
        let close_timeout = limit.saturating_sub(started.elapsed()).max(MIN_CLOSE_TIMEOUT);
        let _ = tokio::time::timeout(close_timeout, self.close_connections()).await;
        log::info!(event = "stop_ended", vm = vm.as_str(), drained = drained, cut_off = cut_off; "the planned stop ended");
        self.kill().await;
        StopReport { drained, cut_off }
    }

    /// Kills the VM: cancels all tasks and closes all connections. Its addresses are free when this returns.
    pub async fn kill(self) {
        let tasks = self.tasks.clone();
        drop(self);
        tasks.wait().await;
    }

    /// Returns the time limit of a planned stop: `stop_within`, or the longest deadline of the document if
    /// that is longer, so that the limit itself aborts no request.
    fn stop_time_limit(&self) -> Duration {
        let document = self.documents.borrow().clone();
        let longest = document.map(|document| longest_deadline(&document)).unwrap_or_default();
        self.limits.stop_within.max(longest).into()
    }

    async fn drain(&self, started: tokio::time::Instant) {
        loop {
            tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
            let idle =
                self.requests.in_progress() == 0 && self.control.remaining_work().await.is_none();
            if idle && started.elapsed() >= MIN_STOP_DURATION {
                return;
            }
        }
    }

    async fn close_connections(&self) {
        while self.requests.open_connections() > 0 {
            tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        }
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.tasks.kill();
    }
}

/// Runs one entry VM until SIGTERM or SIGINT, then performs a planned stop.
pub async fn run(settings: Settings) -> Result<StopReport> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let entry = Entry::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(entry.stop().await)
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| listen_error(listener, address, source))
}

fn listen_error(listener: &'static str, address: SocketAddr, source: std::io::Error) -> Error {
    Error::Listen { listener, address, source }
}

/// Returns a seed from the random source of the operating system, because the secret of issued keys is
/// derived from it.
fn random_seed() -> u64 {
    SysRng
        .try_next_u64()
        .unwrap_or_else(|_| std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0u8))
}

async fn tick(control: Control) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !control.tick().await {
            return;
        }
    }
}

async fn receive(control: Control, mut delivered: mpsc::Receiver<jasminecart_peer::Delivered>) {
    while let Some(delivered) = delivered.recv().await {
        if !control.deliver(delivered).await {
            return;
        }
    }
}

async fn send(control: Control, mut outbox: mpsc::Receiver<jasminecart_core::message::Outgoing>) {
    while let Some(outgoing) = outbox.recv().await {
        if !control.to_peer(outgoing).await {
            return;
        }
    }
}

async fn sweep(pool: Arc<Pool>) {
    let mut interval = tokio::time::interval(SWEEP_PERIOD);
    loop {
        interval.tick().await;
        pool.evict_idle();
    }
}
