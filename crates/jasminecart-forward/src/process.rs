//! The life of the process: start, reload, planned stop.

use std::fs;
use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jasminecart_core::Incarnation;
use jasminecart_core::flow::token::{TokenRouter, TokenRouterLimits};
use jasminecart_core::version::{Revision, Sharing, SharingLimits, Source};
use jasminecart_runtime::clock::Clock;
use jasminecart_runtime::log_output::LogOutput;
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::daemon::{Command, Daemon};
use crate::edges::{Directory, Encapsulation};
use crate::errors::{Error, Result};
use crate::feed::{self, FeedLimits, Order, Patience};
use crate::forwarder::Forwarder;
use crate::http::{self, Page};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::settings::Settings;

/// How many updates may wait for the forwarder, which handles them before packets.
const UPDATE_QUEUE: usize = 16;
/// How many commands may wait for the main loop.
const COMMAND_QUEUE: usize = 4;
/// The period at which log lines are written out.
const LOG_PERIOD: Duration = Duration::from_millis(250);

/// What the tasks of the process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) readiness: Readiness,
}

/// Runs a forwarding process until it is told to stop.
///
/// `encapsulation` and `connect` make the packet format and the directory's client from the settings.
///
/// # Errors
///
/// Fails when the settings are invalid, or a listener can't be opened.
pub fn run<E: Encapsulation, D: Directory>(
    path: &Path,
    encapsulation: impl FnOnce(&Settings) -> E,
    connect: impl FnOnce(&Settings) -> D,
) -> Result<()> {
    let settings = read_settings(path)?;
    let log = LogOutput::install(settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = tokio::task::LocalSet::new();
    let (encapsulation, directory) = (encapsulation(&settings), connect(&settings));
    // Choices differ between VMs; the hasher of the standard library is seeded by the system.
    let seed = RandomState::new().hash_one(settings.me.to_string());
    let served = serve(path, settings, seed, encapsulation, directory, log.clone());
    let ended = tasks.block_on(&runtime, served);
    log.flush();
    ended
}

async fn serve<E: Encapsulation, D: Directory>(
    path: &Path,
    settings: Settings,
    seed: u64,
    encapsulation: E,
    directory: D,
    log: LogOutput,
) -> Result<()> {
    let metrics = Rc::new(Metrics::new());
    let readiness = Readiness::new(settings.limits.fresh_within);
    let shared = Rc::new(Shared { clock: Clock::new(), metrics: metrics.clone(), readiness });
    let vm = settings.me.to_string();
    info!(event = "start", vm = vm.as_str(), seed = seed; "the process starts");
    tokio::task::spawn_local(write_log(log, metrics.clone()));
    let (tx, rx) = mpsc::channel(UPDATE_QUEUE);
    let first = Order::Follow { known: Revision(0), patience: Patience::Probing };
    let (orders, order_rx) = watch::channel(first);
    let limits = FeedLimits::default();
    let followed = feed::follow(Rc::new(directory), limits, metrics.clone(), order_rx, tx);
    tokio::task::spawn_local(followed);
    let socket = bind("packet", settings.listen.packets).await?;
    let router = TokenRouter::new(&settings.me, seed, TokenRouterLimits::default());
    let peer_socket = bind("peer", settings.listen.peers).await?;
    let peers = Peers::new(&settings, peer_socket, incarnation(), seed, metrics);
    let sharing_limits = SharingLimits::default().with_link(settings.link_megabits);
    let daemon = Daemon {
        forwarder: Forwarder::new(socket, encapsulation, router, shared.clone()),
        peers,
        sharing: Sharing::new(settings.me.clone(), sharing_limits),
        shared: shared.clone(),
        orders,
        source: Source::Fallback,
        joined: false,
    };
    let (command_tx, command_rx) = mpsc::channel(COMMAND_QUEUE);
    tokio::task::spawn_local(daemon.run(rx, command_rx));
    http::listen(settings.listen.readiness, Page::Readiness, shared.clone()).await?;
    http::listen(settings.listen.operators, Page::Metrics, shared.clone()).await?;
    let mut signals = Signals::new()?;
    let mut settings = settings;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.reload.recv() => {
                settings = reload(path, settings, &shared);
                tell(&command_tx, Command::Reload(Box::new(settings.clone()))).await;
            }
        }
    }
    shared.readiness.set_stopping();
    tell(&command_tx, Command::Leave).await;
    info!(event = "stopping", vm = vm.as_str(); "the process leaves the rotation");
    tokio::time::sleep(settings.limits.stop_after.into()).await;
    info!(event = "stop", vm = vm.as_str(); "the process ends");
    Ok(())
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

fn read_settings(path: &Path) -> Result<Settings> {
    let text = fs::read_to_string(path)
        .map_err(|source| Error::SettingsFile { path: path.display().to_string(), source })?;
    Ok(Settings::parse(&text)?)
}

/// Reads the settings again. Listeners and identities need a restart; invalid settings change nothing.
fn reload(path: &Path, current: Settings, shared: &Shared) -> Settings {
    match read_settings(path) {
        Ok(settings) => {
            shared.readiness.set_fresh_within(settings.limits.fresh_within);
            log::set_max_level(settings.log_level);
            shared.metrics.reloads.inc();
            let restart = settings.listen != current.listen || settings.me != current.me;
            info!(event = "reload", needs_restart = restart; "the settings were read again");
            settings
        }
        Err(error) => {
            shared.metrics.reloads_refused.inc();
            let cause = error.to_string();
            warn!(event = "reload-refused", cause = cause.as_str(); "the present settings stay in force");
            current
        }
    }
}

/// Passes a command to the main loop, which ends only with the process.
async fn tell(commands: &mpsc::Sender<Command>, command: Command) {
    if commands.send(command).await.is_err() {
        warn!(event = "main-loop-ended"; "the main loop ended before the process");
    }
}

/// Returns the start of this process by the time of day, which a later start exceeds.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

async fn bind(listener: &'static str, address: SocketAddrV4) -> Result<UdpSocket> {
    let failed = |source| Error::Listen { listener, address: address.into(), source };
    UdpSocket::bind(address).await.map_err(failed)
}

async fn write_log(log: LogOutput, metrics: Rc<Metrics>) {
    let mut period = tokio::time::interval(LOG_PERIOD);
    loop {
        period.tick().await;
        log.flush();
        metrics.log_lines_lost.set(i64::try_from(log.lost_in_total()).unwrap_or(i64::MAX));
    }
}
