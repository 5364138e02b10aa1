//! Tests that the events of a flow or target are collected from the logs of several VMs.

use std::path::PathBuf;

use jasminecart::story::{StoryFilter, collect};

const FIRST: &str = r#"
collector: {"event":"start","time_ms":1000,"vm":"east/vm-1","level":"info"}
{"event":"flow-opened","time_ms":1500,"flow":"100.64.0.7:1026>198.18.0.1:443","target":"i-1","instead_of":"","busy":2}
{"event":"target-silence","time_ms":1700,"target":"i-1","change":"suspected"}
{"event":"flow-opened","time_ms":1700,"flow":"100.64.0.7:1026>198.18.0.1:443","target":"i-2","instead_of":"i-1"}
not a line of ours
{"event":"flow-opened","time_ms":1800,"flow":"100.64.0.7:1027>198.18.0.1:443","target":"i-3","instead_of":""}
"#;
const SECOND: &str = r#"
{"event":"start","time_ms":900,"vm":"east/vm-2","level":"info"}
{"event":"flow-reset","time_ms":1600,"flow":"100.64.0.7:1026>198.18.0.1:443","cause":"target-silent"}
"#;

fn logs(name: &str) -> Vec<PathBuf> {
    let write = |number: usize, text: &str| {
        let file = format!("story-{name}-{number}-{}.log", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("a log file");
        path
    };
    vec![write(1, FIRST), write(2, SECOND)]
}

fn story(name: &str, flow: Option<&str>, target: Option<&str>, context: bool) -> Vec<String> {
    let logs = logs(name);
    let filter =
        StoryFilter { flow: flow.map(str::to_owned), target: target.map(str::to_owned), context };
    let entries = collect(&filter, &logs).expect("readable logs");
    logs.iter().for_each(|log| std::fs::remove_file(log).expect("removed"));
    entries
        .into_iter()
        .map(|entry| format!("{} {} {}", entry.time_ms, entry.vm, entry.text))
        .collect()
}

// Guards against events that are out of order or attributed to another VM.
#[test]
fn events_of_a_flow_are_merged_across_vms() {
    let found = story("flow", Some("100.64.0.7:1026"), None, false);
    assert_eq!(
        found,
        [
            "1500 east/vm-1 flow-opened busy=2 flow=100.64.0.7:1026>198.18.0.1:443 target=i-1",
            "1600 east/vm-2 flow-reset cause=target-silent flow=100.64.0.7:1026>198.18.0.1:443",
            "1700 east/vm-1 flow-opened flow=100.64.0.7:1026>198.18.0.1:443 instead_of=i-1 target=i-2",
        ]
    );
}

// Guards against omitting the events in which another target replaced the target.
#[test]
fn events_of_a_target_include_its_replacement() {
    let found = story("target", None, Some("i-1"), false);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[1].contains("suspected") || found[2].contains("suspected"), "{found:?}");
}

// Guards against omitting the events that concern every flow.
#[test]
fn context_adds_changes_of_the_view() {
    let found = story("context", Some("100.64.0.7:1027"), None, true);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].starts_with("900 east/vm-2 start"), "{found:?}");
}

// Guards against a missing log that passes for one without events.
#[test]
fn a_missing_log_is_an_error() {
    let filter = StoryFilter { flow: None, target: None, context: true };
    assert!(collect(&filter, &[PathBuf::from("/nowhere/at/all.log")]).is_err());
}
