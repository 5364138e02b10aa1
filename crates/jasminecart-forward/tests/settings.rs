//! Settings of a forwarding process: all problems are reported at once, with section, key and line.

use std::net::{Ipv4Addr, SocketAddrV4};

use jasminecart_core::{Millis, VmId};
use jasminecart_forward::Settings;
use log::LevelFilter;
use proptest::prelude::*;
use test_case::test_case;

const TEXT: &str = "\
[vm]
name = vm-1
data_centre = east
cores = 0.25
link = 200

[listen]
packets = 10.1.0.10:8172
readiness = 10.1.0.10:8167
operators = 10.1.0.10:9100
peers = 10.1.0.10:7720

[directory]
address = 10.200.1.7:8169

[peers]
seeds = 10.1.0.10:8166,10.2.0.40:8166, 10.3.0.7:8166

[limits]
stop_after = 2s

[log]
level = debug
";

#[test]
fn all_keys_are_read() {
    let settings = Settings::parse(TEXT).expect("valid settings");
    assert_eq!(settings.me, VmId::new("east", "vm-1"));
    assert_eq!((settings.size, settings.link_megabits), (250, 200));
    assert_eq!(settings.listen.peers, SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 10), 7720));
    assert_eq!(settings.seeds.len(), 3);
    assert_eq!(settings.limits.stop_after, Millis(2_000));
    assert_eq!(settings.log_level, LevelFilter::Debug);
}

#[test_case("0.25", "10", 50; "the link bounds the size")]
#[test_case("0.028", "200", 28; "the core bounds the size")]
#[test_case("0.001", "1", 1; "the smallest")]
fn the_size_follows_core_and_link(cores: &str, link: &str, size: u32) {
    let text = TEXT.replace("cores = 0.25", &format!("cores = {cores}"));
    let text = text.replace("link = 200", &format!("link = {link}"));
    assert_eq!(Settings::parse(&text).expect("valid settings").size, size);
}

/// Guards against settings without seeds that are refused: the platform leaves a key empty if it has no value.
#[test]
fn no_seeds_are_allowed() {
    let text = TEXT.replace("seeds = 10.1.0.10:8166,10.2.0.40:8166, 10.3.0.7:8166", "seeds =");
    assert!(Settings::parse(&text).expect("valid settings").seeds.is_empty());
}

#[test_case("name = vm-1", "name = vm 1", "[vm] name"; "a name with a space")]
#[test_case("name = vm-1\n", "", "[vm] name"; "no name")]
#[test_case("cores = 0.25", "cores = 0", "[vm] cores"; "no processor")]
#[test_case("packets = 10.1.0.10:8172", "packets = somewhere", "[listen] packets"; "no address")]
#[test_case("address = 10.200.1.7:8169\n", "", "[directory] address"; "no directory")]
#[test_case("10.3.0.7:8166", "10.3.0.7", "[peers] seeds"; "a seed without a port")]
#[test_case("stop_after = 2s", "stop_after = 0ms", "[limits] stop_after"; "no time to stop")]
#[test_case("stop_after = 2s", "stop_afer = 2s", "stop_after"; "a misspelt key")]
#[test_case("[limits]", "[limit]", "limits"; "a misspelt section")]
#[test_case("level = debug", "level = loud", "[log] level"; "an unknown level")]
fn a_problem_is_reported_with_section_and_key(from: &str, to: &str, expected: &str) {
    let errors = Settings::parse(&TEXT.replace(from, to)).expect_err("invalid settings");
    let reported: Vec<String> = errors.problems.iter().map(ToString::to_string).collect();
    assert!(reported.iter().any(|problem| problem.contains(expected)), "{reported:?}");
}

/// Guards against a limit on cold targets of which one half is missing or out of bounds.
#[test_case("", Some(None); "no limit")]
#[test_case("overage = 1.5\nslack = 5\n", Some(Some((1.5, 5.0))); "a limit")]
#[test_case("overage = 0\nslack = 0\n", Some(Some((0.0, 0.0))); "no openings")]
#[test_case("overage = 1.5\n", None; "no slack")]
#[test_case("slack = 5\n", None; "no overage")]
#[test_case("overage =\nslack = 5\n", None; "an empty overage")]
#[test_case("overage = NaN\nslack = 5\n", None; "not a number")]
#[test_case("overage = 1.5\nslack = -1\n", None; "negative")]
#[test_case("overage = 1.5\nslack = 1e9\n", None; "enormous")]
fn the_limit_on_cold_targets_is_read(body: &str, expected: Option<Option<(f64, f64)>>) {
    let settings = Settings::parse(&format!("{TEXT}\n[warm_up]\n{body}"));
    let limit = |settings: Settings| settings.warm_up.map(|limit| (limit.overage, limit.slack));
    assert_eq!(settings.ok().map(limit), expected);
}

/// Guards against secrets in logs, to which problems and settings may be written.
#[test]
fn keys_are_read_and_never_printed() {
    let secret = "5c".repeat(32);
    let with = |keys: &str| TEXT.replace("[limits]", &format!("keys = {keys}\n[limits]"));
    let settings = Settings::parse(&with(&format!("7:{secret}"))).expect("valid settings");
    assert_eq!(settings.peer_keys.verify(&settings.peer_keys.sign(b"hello")), Ok(&b"hello"[..]));
    let errors = Settings::parse(&with(&format!("7:{secret},7:{secret}"))).expect_err("invalid");
    for printed in [format!("{settings:?}"), format!("{errors:?}"), errors.to_string()] {
        assert!(!printed.contains(&secret), "{printed}");
    }
    let reported: Vec<String> = errors.problems.iter().map(ToString::to_string).collect();
    assert!(reported.iter().any(|problem| problem.contains("[peers] keys")), "{reported:?}");
}

proptest! {
    /// Guards against a panic on arbitrary text.
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "\\PC{0,400}") {
        let _ = Settings::parse(&text);
    }
}
