//! The life of the process: start, reload, planned stop.

use std::fs;
use std::hash::{BuildHasher as _, RandomState};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jasminecart_core::flow::token::{TokenRouter, TokenRouterLimits};
use jasminecart_runtime::clock::Clock;
use jasminecart_runtime::log_output::LogOutput;
use log::{info, warn};
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use crate::edges::{Directory, Encapsulation};
use crate::errors::{Error, Result};
use crate::feed::{self, FeedLimits};
use crate::forwarder::Forwarder;
use crate::http::{self, Page};
use crate::metrics::Metrics;
use crate::readiness::Readiness;
use crate::settings::Settings;

/// How many updates may wait for the forwarder, which handles them before packets.
const UPDATE_QUEUE: usize = 16;
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
    tokio::task::spawn_local(feed::follow(Rc::new(directory), FeedLimits::default(), metrics, tx));
    let socket = bind(settings.listen.packets).await?;
    let router = TokenRouter::new(&settings.me, seed, TokenRouterLimits::default());
    let forwarder = Forwarder::new(socket, encapsulation, router, shared.clone());
    tokio::task::spawn_local(forwarder.run(rx));
    http::listen(settings.listen.readiness, Page::Readiness, shared.clone()).await?;
    http::listen(settings.listen.operators, Page::Metrics, shared.clone()).await?;
    let mut signals = Signals::new()?;
    let mut settings = settings;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.reload.recv() => settings = reload(path, settings, &shared),
        }
    }
    shared.readiness.set_stopping();
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
            let restart = settings.listen != current.listen || settings.me != current.me;
            info!(event = "reload", needs_restart = restart; "the settings were read again");
            settings
        }
        Err(error) => {
            let cause = error.to_string();
            warn!(event = "reload-refused", cause = cause.as_str(); "the present settings stay in force");
            current
        }
    }
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let failed = |source| Error::Listen { listener: "packet", address: address.into(), source };
    UdpSocket::bind(address).await.map_err(failed)
}

async fn write_log(log: LogOutput, metrics: Rc<Metrics>) {
    let mut period = tokio::time::interval(LOG_PERIOD);
    loop {
        period.tick().await;
        log.flush();
        metrics.log_lines_lost.set(i64::try_from(log.lost()).unwrap_or(i64::MAX));
    }
}
