//! The settings of an entry process, parsed from an INI file.

use std::net::SocketAddr;

pub use jasminecart_core::ini::SettingsErrors;
use jasminecart_core::ini::{self, Problems, Section};
use jasminecart_core::names::{Name, VmId};
use jasminecart_core::process::{PeerAddress, VmHint};
use jasminecart_core::second_copies::SecondCopyLimit;
use jasminecart_core::time::Millis;
use jasminecart_core::units;
use log::LevelFilter;

const SECTIONS: [&str; 7] = ["vm", "listen", "platform", "peers", "limits", "second_copies", "log"];
const EXPECTED_NAME: &str = "a name of 1 to 63 letters, digits, \"-\", \"_\" or \".\"";
const EXPECTED_SOCKET: &str = "an IP address and port such as 10.0.0.5:8080";
const EXPECTED_CONCRETE_SOCKET: &str =
    "a concrete IP address and port such as 10.0.0.5:8080, because it is announced to peers";
const EXPECTED_DURATION: &str = "a span of 1 ms to 24 h such as 250ms, 30s or 5m";
const EXPECTED_SEED: &str =
    "DATA_CENTRE/NAME CONTROL PACKETS REQUESTS, with three addresses such as 10.0.0.5:7000";
const MAX_DURATION: Millis = Millis::from_secs(24 * 3600);

/// The settings of one entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM's own id.
    pub me: VmId,
    /// The capacity of the VM relative to other VMs.
    pub size: u32,
    /// The addresses of the listeners.
    pub listen: ListenSettings,
    /// The address of the platform's configuration service.
    pub platform: SocketAddr,
    /// VMs to contact until the platform's list of VMs has been read.
    pub seeds: Vec<VmHint>,
    /// Limits of the process.
    pub limits: LimitSettings,
    /// The limit on second attempts of requests whose first attempt is still in progress.
    pub second_copies: SecondCopyLimit,
    /// The level and destination of the log.
    pub log: LogSettings,
    /// The seed of the state machines, from which the secret of issued keys is also derived. It is random if
    /// absent and has no key in the file, because a known seed lets clients forge keys.
    pub seed: Option<u64>,
}

/// The addresses of the listeners. Port 0 lets the operating system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// The TCP address for requests of clients and forwarded requests of other VMs.
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

/// Limits of one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum number of open client connections.
    pub max_connections: usize,
    /// The maximum number of requests in progress, including queued ones.
    pub max_requests: usize,
    /// The time limit of a planned stop.
    pub stop_within: Millis,
    /// The maximum number of exceptions in the flow table.
    pub max_exceptions: usize,
    /// The maximum number of idempotency key records.
    pub max_keys: usize,
    /// The maximum total size of stored responses to keyed requests, in bytes.
    pub stored_answer_bytes: u64,
    /// The timeout for opening a connection to a target.
    pub connect_within: Millis,
    /// How long an idle connection to a target is kept open.
    pub keep_idle: Millis,
    /// The maximum number of idle connections per target.
    pub max_idle: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            max_connections: 10_000,
            max_requests: 4_000,
            stop_within: Millis::from_secs(60),
            max_exceptions: 1_000_000,
            max_keys: 100_000,
            stored_answer_bytes: 64 << 20,
            connect_within: Millis::from_secs(2),
            // Common servers close idle connections after 5 s. Closing earlier on this side avoids sending
            // requests on a connection that the target is about to close.
            keep_idle: Millis::from_secs(4),
            max_idle: 16,
        }
    }
}

/// The level and destination of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// The destination of log lines.
    pub output: LogOutput,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: LevelFilter::Info, output: LogOutput::Stderr }
    }
}

/// The destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

impl Settings {
    /// Parses and validates settings. On failure, all problems are returned together.
    pub fn parse(text: &str) -> Result<Settings, SettingsErrors> {
        let mut problems = Problems::default();
        let mut sections = ini::sections(text, &mut problems);
        ini::report_unknown(&sections, &SECTIONS, &mut problems);
        let settings = read(&mut sections, &mut problems);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(SettingsErrors { problems: problems.into_sorted() }),
        }
    }

    /// Sets the seed of the state machines, for reproducible runs.
    pub fn with_seed(mut self, seed: u64) -> Settings {
        self.seed = Some(seed);
        self
    }
}

fn read(sections: &mut Vec<Section>, problems: &mut Problems) -> Option<Settings> {
    let vm = read_vm(ini::take(sections, "vm"), problems);
    let listen = read_listen(ini::take(sections, "listen"), problems);
    let platform = read_platform(ini::take(sections, "platform"), problems);
    let seeds = read_peers(ini::take(sections, "peers"), problems);
    let limits = read_limits(ini::take(sections, "limits"), problems);
    let second_copies = read_second_copies(ini::take(sections, "second_copies"), problems);
    let log = read_log(ini::take(sections, "log"), problems);
    let ((me, size), listen, platform) = (vm?, listen?, platform?);
    Some(Settings { me, size, listen, platform, seeds, limits, second_copies, log, seed: None })
}

fn read_vm(mut section: Section, problems: &mut Problems) -> Option<(VmId, u32)> {
    let name = section.required(problems, "name", EXPECTED_NAME, Name::parse);
    let data_centre = section.required(problems, "data_centre", EXPECTED_NAME, Name::parse);
    let size = read_count(&mut section, problems, "size", 1, 1_000, 1);
    section.finish(problems);
    let (name, data_centre) = (name?, data_centre?);
    Some((VmId { data_centre, name }, u32::try_from(size).unwrap_or(1)))
}

fn read_listen(mut section: Section, problems: &mut Problems) -> Option<ListenSettings> {
    let concrete = |text: &str| parse_socket(text).filter(|address| !address.ip().is_unspecified());
    let requests = section.required(problems, "requests", EXPECTED_CONCRETE_SOCKET, concrete);
    let packets = section.required(problems, "packets", EXPECTED_SOCKET, parse_socket);
    let peer_packets =
        section.required(problems, "peer_packets", EXPECTED_CONCRETE_SOCKET, concrete);
    let peers = section.required(problems, "peers", EXPECTED_CONCRETE_SOCKET, concrete);
    let operators = section.required(problems, "operators", EXPECTED_SOCKET, parse_socket);
    section.finish(problems);
    Some(ListenSettings {
        requests: requests?,
        packets: packets?,
        peer_packets: peer_packets?,
        peers: peers?,
        operators: operators?,
    })
}

fn read_platform(mut section: Section, problems: &mut Problems) -> Option<SocketAddr> {
    let address = section.required(problems, "address", EXPECTED_SOCKET, parse_socket);
    section.finish(problems);
    address
}

fn read_peers(mut section: Section, problems: &mut Problems) -> Vec<VmHint> {
    let seeds = section.list(problems, "seeds", EXPECTED_SEED, parse_seed);
    section.finish(problems);
    seeds
}

fn read_limits(mut section: Section, problems: &mut Problems) -> LimitSettings {
    let default = LimitSettings::default();
    let f = &mut section;
    let limits = LimitSettings {
        max_connections: read_count(
            f,
            problems,
            "max_connections",
            1,
            1_000_000,
            default.max_connections,
        ),
        max_requests: read_count(f, problems, "max_requests", 1, 1_000_000, default.max_requests),
        stop_within: read_duration(f, problems, "stop_within", default.stop_within),
        max_exceptions: read_count(
            f,
            problems,
            "max_exceptions",
            1,
            100_000_000,
            default.max_exceptions,
        ),
        max_keys: read_count(f, problems, "max_keys", 1, 10_000_000, default.max_keys),
        stored_answer_bytes: f
            .optional(
                problems,
                "stored_answer_bytes",
                "a size up to 1024MiB such as 64MiB",
                |text| units::parse_bytes(text).filter(|size| *size <= 1 << 30),
            )
            .unwrap_or(default.stored_answer_bytes),
        connect_within: read_duration(f, problems, "connect_within", default.connect_within),
        keep_idle: read_duration(f, problems, "keep_idle", default.keep_idle),
        max_idle: read_count(f, problems, "max_idle", 0, 10_000, default.max_idle),
    };
    section.finish(problems);
    limits
}

fn read_log(mut section: Section, problems: &mut Problems) -> LogSettings {
    let default = LogSettings::default();
    let levels = "\"off\", \"error\", \"warn\", \"info\" or \"debug\"";
    let level = section.optional(problems, "level", levels, |text| match text {
        "off" => Some(LevelFilter::Off),
        "error" => Some(LevelFilter::Error),
        "warn" => Some(LevelFilter::Warn),
        "info" => Some(LevelFilter::Info),
        "debug" => Some(LevelFilter::Debug),
        _ => None,
    });
    let output =
        section.optional(problems, "output", "\"stderr\" or \"stdout\"", |text| match text {
            "stderr" => Some(LogOutput::Stderr),
            "stdout" => Some(LogOutput::Stdout),
            _ => None,
        });
    section.finish(problems);
    LogSettings { level: level.unwrap_or(default.level), output: output.unwrap_or(default.output) }
}

fn read_count(
    section: &mut Section,
    problems: &mut Problems,
    key: &'static str,
    min: usize,
    max: usize,
    default: usize,
) -> usize {
    let expected = format!("a number from {min} to {max}");
    let parse = |text: &str| text.parse().ok().filter(|count| (min..=max).contains(count));
    section.optional(problems, key, &expected, parse).unwrap_or(default)
}

fn read_second_copies(mut section: Section, problems: &mut Problems) -> SecondCopyLimit {
    let expected = "a percentage from 0 to 20, such as 2.5";
    let share = section.optional(problems, "share", expected, SecondCopyLimit::parse_share);
    let expected = "a number from 1 to 1000";
    let burst = section.optional(problems, "burst", expected, SecondCopyLimit::parse_burst);
    section.finish(problems);
    let burst = burst.unwrap_or(SecondCopyLimit::DEFAULT_BURST);
    SecondCopyLimit::new(share.unwrap_or(0.0), burst).unwrap_or_default()
}

fn read_duration(
    section: &mut Section,
    problems: &mut Problems,
    key: &'static str,
    default: Millis,
) -> Millis {
    let parse = |text: &str| {
        units::parse_duration(text).filter(|duration| (Millis(1)..=MAX_DURATION).contains(duration))
    };
    section.optional(problems, key, EXPECTED_DURATION, parse).unwrap_or(default)
}

fn parse_socket(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_seed(text: &str) -> Option<VmHint> {
    let mut words = text.split_whitespace();
    let (data_centre, name) = words.next()?.split_once('/')?;
    let vm = VmId { data_centre: Name::parse(data_centre)?, name: Name::parse(name)? };
    let mut socket = || words.next().and_then(parse_socket);
    let (control, packets, requests) = (socket()?, socket()?, socket()?);
    let address = PeerAddress { control, packets, requests };
    words.next().is_none().then_some(VmHint { vm, address, leaving: false })
}
