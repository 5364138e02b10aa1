//! Collects the events of one flow or target from the logs of several VMs, in the order of their times.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::errors::Result;
use crate::files;

/// Events that concern every flow, because they change a VM's view as a whole.
const CONTEXT_EVENTS: [&str; 9] = [
    "start",
    "stopping",
    "stop",
    "routes-adopted",
    "evacuation-changed",
    "directory-lost",
    "directory-regained",
    "source-changed",
    "member-changed",
];
/// Fields that are omitted from the text of an entry, because every line has them or they are printed
/// elsewhere.
const OMITTED_FIELDS: [&str; 5] = ["time_ms", "level", "module", "text", "event"];

/// Selects the log lines of a story.
#[derive(Clone, Debug)]
pub struct StoryFilter {
    /// A flow as logged (`CLIENT>SERVICE`), or only its client address and port.
    pub flow: Option<String>,
    /// The name of a target.
    pub target: Option<String>,
    /// Whether to include events that change a VM's view and concern no single flow.
    pub context: bool,
}

/// One event of a story.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoryEntry {
    /// Milliseconds since the Unix epoch, from the clock of the VM.
    pub time_ms: u64,
    /// The VM that logged the event, or the name of the log file if the log does not name the VM.
    pub vm: String,
    /// The name of the event, followed by its fields.
    pub text: String,
}

/// Reads logs and returns the events that match the filter, in the order of their times.
///
/// # Errors
///
/// Returns an error if a file cannot be read. Lines that are not JSON are skipped, because other programs may
/// write to the same output.
pub fn collect(filter: &StoryFilter, logs: &[PathBuf]) -> Result<Vec<StoryEntry>> {
    let mut entries = Vec::new();
    for log in logs {
        entries.extend(read(filter, log, &files::read(log)?));
    }
    entries.sort();
    Ok(entries)
}

fn read(filter: &StoryFilter, path: &Path, text: &str) -> Vec<StoryEntry> {
    let mut vm = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut entries = Vec::new();
    // A log collector may have added a prefix before the JSON object.
    let objects = text.lines().filter_map(|line| line.find('{').map(|start| &line[start..]));
    for line in objects.filter_map(|object| serde_json::from_str::<Map<String, Value>>(object).ok())
    {
        if line.get("event").is_some_and(|event| event == "start")
            && let Some(Value::String(name)) = line.get("vm")
        {
            vm.clone_from(name);
        }
        if matches(filter, &line) {
            let time_ms = line.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
            entries.push(StoryEntry { time_ms, vm: vm.clone(), text: format_event(&line) });
        }
    }
    entries
}

fn matches(filter: &StoryFilter, line: &Map<String, Value>) -> bool {
    let text = |field: &str| line.get(field).and_then(Value::as_str).unwrap_or_default();
    let matches_flow = filter.flow.as_ref().is_some_and(|flow| {
        let logged = text("flow");
        logged == flow || logged.split('>').next() == Some(flow.as_str())
    });
    let matches_target = filter
        .target
        .as_ref()
        .is_some_and(|target| [text("target"), text("instead_of")].contains(&target.as_str()));
    matches_flow || matches_target || (filter.context && CONTEXT_EVENTS.contains(&text("event")))
}

fn format_event(line: &Map<String, Value>) -> String {
    let event = line.get("event").and_then(Value::as_str).unwrap_or("line");
    let fields = line.iter().filter(|(name, value)| {
        !OMITTED_FIELDS.contains(&name.as_str())
            && value.as_str().is_none_or(|text| !text.is_empty())
    });
    let fields = fields.map(|(name, value)| match value.as_str() {
        Some(text) => format!(" {name}={text}"),
        None => format!(" {name}={value}"),
    });
    format!("{event}{}", fields.collect::<String>())
}
