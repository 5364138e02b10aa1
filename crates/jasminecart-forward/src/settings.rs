//! The settings of a forwarding process, in INI format.

use std::net::{SocketAddr, SocketAddrV4};

use jasminecart_core::flow::token::WarmUpLimit;
pub use jasminecart_core::ini::SettingsErrors;
use jasminecart_core::ini::{self, Problems, Section};
use jasminecart_core::names::{Name, VmId};
use jasminecart_core::second_copies::SecondCopyLimit;
use jasminecart_core::time::Millis;
use jasminecart_core::units;
use log::LevelFilter;

use crate::keys::PeerKeys;

const SECTIONS: [&str; 8] =
    ["vm", "listen", "directory", "peers", "limits", "warm_up", "second_copies", "log"];
const NAME: &str = "a name of 1 to 63 letters, digits, \"-\", \"_\" or \".\"";
const SOCKET: &str = "an IPv4 address and port such as 10.0.0.5:8080";
const EXPECTED_DURATION: &str = "a span of 1 ms to 1 h such as 250ms, 30s or 5m";
const DEFAULT_LINK_MEGABITS: u32 = 1_000;
/// The load of one Mbit/s, about 100 packets a second, in thousandths of a core.
const SIZE_PER_MEGABIT: u32 = 5;
const MAX_WARM_UP_OVERAGE: f64 = 1_000.0;
const MAX_WARM_UP_SLACK: f64 = 1_000_000.0;
const MAX_DURATION: Millis = Millis::from_secs(3600);

/// The settings of one forwarding process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The identity of the VM.
    pub me: VmId,
    /// The capacity of the VM relative to the others, in thousandths of a core.
    pub size: u32,
    /// The capacity of the VM's link, in Mbit/s.
    pub link_megabits: u32,
    /// The addresses of the listeners.
    pub listen: ListenSettings,
    /// The address of the store of routes and targets.
    pub directory: SocketAddr,
    /// Addresses of VMs to contact at start in order to discover the others.
    pub seeds: Vec<SocketAddrV4>,
    /// The keys with which the VMs authenticate each other's datagrams.
    pub peer_keys: PeerKeys,
    /// Time limits of the process.
    pub limits: LimitSettings,
    /// The limit on new flows to targets that started recently, if there is one.
    pub warm_up: Option<WarmUpLimit>,
    /// The limit on second copies of openings.
    pub second_copies: SecondCopyLimit,
    /// The lowest severity that is logged.
    pub log_level: LevelFilter,
}

/// The addresses of the listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// The UDP address for packets from clients.
    pub packets: SocketAddrV4,
    /// The TCP address of the readiness probe.
    pub readiness: SocketAddrV4,
    /// The TCP address of the metrics, for operators.
    pub operators: SocketAddrV4,
    /// The UDP address for messages from other VMs.
    pub peers: SocketAddrV4,
}

/// Time limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// How long the process continues to forward after a planned stop ended its readiness, until the platform's
    /// routers send packets elsewhere.
    pub stop_after: Millis,
    /// The age of the last confirmation by the store at which the VM is no longer ready.
    pub fresh_within: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            // Two failed probes 500 ms apart take the VM out of rotation; the rest covers the probe in progress.
            stop_after: Millis(1_800),
            fresh_within: Millis::from_secs(8),
        }
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all problems at once.
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
}

fn read(sections: &mut Vec<Section>, problems: &mut Problems) -> Option<Settings> {
    let mut vm = ini::take(sections, "vm");
    let name = vm.required(problems, "name", NAME, Name::parse);
    let data_centre = vm.required(problems, "data_centre", NAME, Name::parse);
    let share = "a share of a core from 0.001 to 1000, such as 0.25";
    let cores = vm.optional(problems, "cores", share, |text| {
        text.parse().ok().filter(|cores: &f64| (0.001..=1_000.0).contains(cores))
    });
    let link = vm.optional(problems, "link", "Mbit/s from 1 to 1000000, such as 200", |text| {
        text.parse().ok().filter(|link: &f64| (1.0..=1e6).contains(link))
    });
    let link_megabits = link.map_or(DEFAULT_LINK_MEGABITS, |link| link as u32);
    vm.finish(problems);
    let listen = read_listen(ini::take(sections, "listen"), problems);
    let mut directory = ini::take(sections, "directory");
    let address = directory.required(problems, "address", SOCKET, parse);
    directory.finish(problems);
    let mut peers = ini::take(sections, "peers");
    let seeds = peers.optional(problems, "seeds", "addresses with commas between them", |text| {
        text.split(',').map(str::trim).filter(|seed| !seed.is_empty()).map(parse).collect()
    });
    let keys = "keys such as 1:HEX with 64 digits each and commas between them";
    let peer_keys = peers.secret(problems, "keys", keys, parse).unwrap_or_default();
    peers.finish(problems);
    let limits = read_limits(ini::take(sections, "limits"), problems);
    let warm_up = read_warm_up(ini::take(sections, "warm_up"), problems);
    let second_copies = read_second_copies(ini::take(sections, "second_copies"), problems);
    let mut log = ini::take(sections, "log");
    let levels = "\"off\", \"error\", \"warn\", \"info\" or \"debug\"";
    let log_level = log.optional(problems, "level", levels, parse).unwrap_or(LevelFilter::Info);
    log.finish(problems);
    let me = VmId { data_centre: data_centre?, name: name? };
    let seeds = seeds.unwrap_or_default();
    // In thousandths of a core, because sizes are integers; limited to the load that the link can carry.
    let cores = (cores.unwrap_or(1.0) * 1_000.0).round() as u32;
    let size = cores.min(link_megabits.saturating_mul(SIZE_PER_MEGABIT)).max(1);
    Some(Settings {
        me,
        size,
        link_megabits,
        listen: listen?,
        directory: address?,
        seeds,
        peer_keys,
        limits,
        warm_up,
        second_copies,
        log_level,
    })
}

fn read_listen(mut section: Section, problems: &mut Problems) -> Option<ListenSettings> {
    let packets = section.required(problems, "packets", SOCKET, parse);
    let readiness = section.required(problems, "readiness", SOCKET, parse);
    let operators = section.required(problems, "operators", SOCKET, parse);
    let peers = section.required(problems, "peers", SOCKET, parse);
    section.finish(problems);
    Some(ListenSettings {
        packets: packets?,
        readiness: readiness?,
        operators: operators?,
        peers: peers?,
    })
}

fn read_limits(mut section: Section, problems: &mut Problems) -> LimitSettings {
    let default = LimitSettings::default();
    let f = &mut section;
    let limits = LimitSettings {
        stop_after: read_duration(f, problems, "stop_after", default.stop_after),
        fresh_within: read_duration(f, problems, "fresh_within", default.fresh_within),
    };
    section.finish(problems);
    limits
}

/// Reads the limit on new flows to cold targets. One of the two values without the other is no limit that an
/// operator can have meant.
fn read_warm_up(mut section: Section, problems: &mut Problems) -> Option<WarmUpLimit> {
    let number = |text: &str, max: f64| parse(text).filter(|value| (0.0..=max).contains(value));
    let factor = "a factor from 0 to 1000, such as 1.5";
    let overage =
        section.optional(problems, "overage", factor, |text| number(text, MAX_WARM_UP_OVERAGE));
    let openings = "openings a second from 0 to 1000000, such as 5";
    let slack =
        section.optional(problems, "slack", openings, |text| number(text, MAX_WARM_UP_SLACK));
    let missing = match (overage, slack) {
        (Some(_), None) => Some("slack"),
        (None, Some(_)) => Some("overage"),
        _ => None,
    };
    if let Some(key) = missing {
        section.report(problems, key, "overage and slack are only valid together");
    }
    section.finish(problems);
    Some(WarmUpLimit { overage: overage?, slack: slack? })
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
    let valid = |duration: &Millis| (Millis(1)..=MAX_DURATION).contains(duration);
    let parse = |text: &str| units::parse_duration(text).filter(valid);
    section.optional(problems, key, EXPECTED_DURATION, parse).unwrap_or(default)
}

fn parse<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
