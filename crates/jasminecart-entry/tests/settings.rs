//! Tests of the settings parser: accepted settings, and the errors that an operator sees.

use jasminecart_core::Millis;
use jasminecart_entry::Settings;
use jasminecart_entry::settings::LogOutput;
use proptest::prelude::*;
use test_case::test_case;

const VALID: &str = "\
[vm]
name = vm-1
data_centre = ub-1
[listen]
requests = 10.0.0.1:8080
packets = 0.0.0.0:6080
peer_packets = 10.0.0.1:6081
peers = 10.0.0.1:7000
operators = 127.0.0.1:9000
[platform]
address = 10.0.9.9:80
";

// Guards against optional keys that become required, and against changed defaults.
#[test]
fn valid_settings_are_accepted_with_defaults() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.me.to_string(), "ub-1/vm-1");
    assert_eq!(settings.size, 1);
    assert_eq!(settings.limits.stop_within, Millis::from_secs(60));
    assert!(settings.seeds.is_empty());
}

// Guards against a key that is accepted and has no effect.
#[test]
fn every_key_is_read() {
    let extra = "[peers]\nseeds = ub-1/vm-2 10.0.0.2:7000 10.0.0.2:6081 10.0.0.2:8080\n\
        [limits]\nmax_connections = 5\nmax_requests = 6\nstop_within = 90s\nmax_exceptions = 7\n\
        max_keys = 8\nstored_answer_bytes = 1MiB\nconnect_within = 1s\nkeep_idle = 2s\nmax_idle = 3\n\
        [log]\nlevel = debug\noutput = stdout\n";
    let settings = Settings::parse(&format!("{VALID}{extra}")).unwrap();
    let limits = settings.limits;
    assert_eq!((limits.max_connections, limits.max_requests, limits.max_exceptions), (5, 6, 7));
    assert_eq!((limits.max_keys, limits.stored_answer_bytes, limits.max_idle), (8, 1 << 20, 3));
    assert_eq!(limits.connect_within, Millis::from_secs(1));
    assert_eq!(settings.seeds[0].vm.to_string(), "ub-1/vm-2");
    assert_eq!(settings.seeds[0].address.control, "10.0.0.2:7000".parse().unwrap());
    assert_eq!(settings.log.output, LogOutput::Stdout);
}

// Guards against errors that do not locate the problem, or do not suggest a correction for a typo.
#[test_case("[limits]\nmax_conections = 5\n", "unknown key; did you mean \"max_connections\"?"; "typo in a key")]
#[test_case("[limit]\n", "unknown section; did you mean \"limits\"?"; "typo in a section")]
#[test_case("[limits]\nstop_within = 60\n", "is not a span"; "span without a unit")]
#[test_case("[limits]\nstop_within = 0s\n", "is not a span"; "span below the minimum")]
#[test_case("[limits]\nmax_requests = 0\n", "is not a number from 1"; "count below the minimum")]
#[test_case("[limits]\nstored_answer_bytes = 2000MiB\n", "is not a size"; "size above the maximum")]
#[test_case("[log]\nlevel = loud\n", "is not \"off\""; "unknown level")]
#[test_case("[peers]\nseeds = vm-2 10.0.0.2:7000\n", "is not DATA_CENTRE/NAME"; "seed without its addresses")]
#[test_case("[vm]\n", "this section appears twice"; "section twice")]
#[test_case("[log extra]\n", "this section takes no name"; "section with a name")]
fn invalid_settings_name_the_problem(extra: &str, expected: &str) {
    let errors = Settings::parse(&format!("{VALID}{extra}")).unwrap_err();
    let found = errors.problems.iter().any(|problem| problem.to_string().contains(expected));
    assert!(found, "{expected:?} is not among {:?}", errors.problems);
    assert!(errors.problems.iter().all(|problem| problem.line >= 12));
}

// Guards against an operator having to fix errors one at a time.
#[test]
fn all_problems_are_reported_at_once() {
    let errors = Settings::parse("[vm]\nname = a b\nsiz = 3\n[log]\nlevel = loud\n").unwrap_err();
    let texts: Vec<String> = errors.problems.iter().map(ToString::to_string).collect();
    for expected in [
        "name: \"a b\" is not",
        "data_centre: missing",
        "siz: unknown",
        "level:",
        "requests: missing",
    ] {
        assert!(texts.iter().any(|text| text.contains(expected)), "{expected} not in {texts:?}");
    }
}

// Guards against a VM that announces an address at which peers cannot reach it.
#[test_case("requests = 10.0.0.1:8080", "requests = 0.0.0.0:8080"; "requests")]
#[test_case("peers = 10.0.0.1:7000", "peers = [::]:7000"; "peers")]
fn an_address_announced_to_peers_is_concrete(old: &str, new: &str) {
    let errors = Settings::parse(&VALID.replace(old, new)).unwrap_err();
    assert!(errors.problems[0].text.contains("concrete"), "{errors:?}");
}

proptest! {
    // Guards against a panic on a malformed settings file.
    #[test]
    fn parsing_arbitrary_text_does_not_panic(
        text in "(\\[|\\]|=|vm|listen|peers|seeds|limits|stop_within|[a-z0-9:/. ,]|\n|\\PC){0,200}"
    ) {
        let _ = Settings::parse(&text);
        let _ = Settings::parse(&format!("{VALID}{text}"));
    }
}
