//! The life cycle of the process: start, reload, planned stop.

use std::fs;
use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jasminecart_core::Incarnation;
use jasminecart_core::flow::token::{TokenRouter, TokenRouterLimits};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Sharing, SharingLimits, Source};
use jasminecart_runtime::clock::Clock;
use jasminecart_runtime::log_output::LogOutput;
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::daemon::{Command, Daemon};
use crate::edges::{Directory, Encapsulation};
use crate::errors::{Error, Result};
use crate::feed::{self, FeedLimits, FeedMode};
use crate::forwarder::Forwarder;
use crate::http::{self, Page};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::settings::Settings;
use crate::streams;

/// The maximum number of updates that wait for the main loop, which handles them before packets.
const UPDATE_QUEUE: usize = 16;
/// The maximum number of commands that wait for the main loop.
const COMMAND_QUEUE: usize = 4;
/// The maximum number of events of streams that wait for the main loop.
const STREAM_QUEUE: usize = 16;
/// The period at which buffered log lines are written.
const LOG_FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// State that the tasks of the process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) readiness: Readiness,
}

/// Runs a forwarding process until SIGTERM or SIGINT.
///
/// `encapsulation` and `connect` create the packet format and the client of the store from the settings.
///
/// # Errors
///
/// Fails if the settings are invalid, or a listener can't be opened.
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
    // Every VM needs its own random choices; the standard library's hasher has a random seed.
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
    tokio::task::spawn_local(flush_log(log, metrics.clone()));
    let (tx, rx) = mpsc::channel(UPDATE_QUEUE);
    let (feed_mode, mode_rx) = watch::channel(FeedMode::Idle);
    let limits = FeedLimits::default();
    let followed = feed::follow(Rc::new(directory), limits, metrics.clone(), mode_rx, tx);
    tokio::task::spawn_local(followed);
    let socket = bind("packet", settings.listen.packets).await?;
    let router_limits =
        TokenRouterLimits { warm_up: settings.warm_up, ..TokenRouterLimits::default() };
    let mut router = TokenRouter::new(&settings.me, seed, router_limits);
    router.set_second_copy_limit(settings.second_copies);
    let peer_socket = bind("peer", settings.listen.peers).await?;
    let peers = Peers::new(&settings, peer_socket, incarnation(), seed, metrics);
    let (stream_tx, stream_rx) = mpsc::channel(STREAM_QUEUE);
    streams::listen(settings.listen.peers, settings.link_megabits, stream_tx.clone()).await?;
    let jitter = seed as f64 / u64::MAX as f64;
    let mut sharing_limits =
        SharingLimits::default().with_size(settings.size).with_link(settings.link_megabits, jitter);
    if settings.seeds.is_empty() {
        // There is no way to find a peer that could send routes and targets.
        sharing_limits.store_delay = Millis::ZERO;
    }
    let daemon = Daemon {
        forwarder: Forwarder::new(socket, encapsulation, router, shared.clone()),
        peers,
        sharing: Sharing::new(settings.me.clone(), sharing_limits),
        shared: shared.clone(),
        feed_mode,
        stream_events: stream_tx,
        source: Source::Starting,
        joined: false,
    };
    let (command_tx, command_rx) = mpsc::channel(COMMAND_QUEUE);
    tokio::task::spawn_local(daemon.run(rx, command_rx, stream_rx));
    for (address, page) in
        [(settings.listen.readiness, Page::Readiness), (settings.listen.operators, Page::Operators)]
    {
        http::listen(address, page, shared.clone(), command_tx.clone()).await?;
    }
    let mut signals = Signals::new()?;
    let mut settings = settings;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.reload.recv() => {
                settings = reload(path, settings, &shared);
                send_command(&command_tx, Command::Reload(Box::new(settings.clone()))).await;
            }
        }
    }
    shared.readiness.set_stopping();
    send_command(&command_tx, Command::Leave).await;
    info!(
        event = "stopping", vm = vm.as_str();
        "planned stop: the VM is no longer ready, and continues to forward for stop_after"
    );
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

/// Reloads the settings. Changes of listeners, identity and `[warm_up]` need a restart; invalid settings change nothing.
fn reload(path: &Path, current: Settings, shared: &Shared) -> Settings {
    match read_settings(path) {
        Ok(settings) => {
            shared.readiness.set_fresh_within(settings.limits.fresh_within);
            log::set_max_level(settings.log_level);
            shared.metrics.reloads.inc();
            let restart = settings.listen != current.listen
                || settings.me != current.me
                || settings.warm_up != current.warm_up;
            info!(event = "reload", needs_restart = restart; "settings reloaded");
            settings
        }
        Err(error) => {
            shared.metrics.reloads_refused.inc();
            let cause = error.to_string();
            warn!(
                event = "reload-refused", cause = cause.as_str();
                "the settings could not be reloaded; the current ones remain in effect"
            );
            current
        }
    }
}

/// Sends a command to the main loop, which ends only with the process.
async fn send_command(commands: &mpsc::Sender<Command>, command: Command) {
    if commands.send(command).await.is_err() {
        warn!(
            event = "main-loop-ended";
            "a command was not delivered because the main loop has ended"
        );
    }
}

/// Returns an incarnation from the wall clock, so that a later start has a higher one.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

async fn bind(listener: &'static str, address: SocketAddrV4) -> Result<UdpSocket> {
    let failed = |source| Error::Listen { listener, address: address.into(), source };
    UdpSocket::bind(address).await.map_err(failed)
}

async fn flush_log(log: LogOutput, metrics: Rc<Metrics>) {
    let mut period = tokio::time::interval(LOG_FLUSH_PERIOD);
    loop {
        period.tick().await;
        log.flush();
        metrics.log_lines_lost.set(i64::try_from(log.total_lost()).unwrap_or(i64::MAX));
    }
}
