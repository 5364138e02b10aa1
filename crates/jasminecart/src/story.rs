//! The story of one flow or target from the logs of several VMs.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::errors::Result;
use crate::files;

/// Events that concern every flow, because they change what a VM believes as a whole.
const CONTEXT: [&str; 8] = [
    "start",
    "stopping",
    "stop",
    "routes-adopted",
    "directory-lost",
    "directory-regained",
    "source-changed",
    "member-changed",
];
/// Fields that every line has, or that the first column shows.
const COMMON: [&str; 5] = ["time_ms", "level", "module", "text", "event"];

/// What the story is about.
#[derive(Clone, Debug)]
pub struct Plot {
    /// A flow as logged (`CLIENT>SERVICE`), or the client's end alone.
    pub flow: Option<String>,
    /// The name of a target.
    pub target: Option<String>,
    /// Whether changes of belief that concern no single flow belong to it.
    pub context: bool,
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scene {
    /// Milliseconds since the Unix epoch, by the clock of the VM.
    pub time_ms: u64,
    /// The VM that wrote the line, or the name of its file when the log does not say.
    pub vm: String,
    /// The event with its fields.
    pub text: String,
}

/// Reads logs and returns the lines that belong to the story, in the order of their times.
///
/// # Errors
///
/// Fails when a file can't be read. Lines that are no JSON are passed over, because other programs may write
/// to the same output.
pub fn tell(plot: &Plot, logs: &[PathBuf]) -> Result<Vec<Scene>> {
    let mut scenes = Vec::new();
    for log in logs {
        scenes.extend(read(plot, log, &files::read(log)?));
    }
    scenes.sort();
    Ok(scenes)
}

fn read(plot: &Plot, path: &Path, text: &str) -> Vec<Scene> {
    let mut vm = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut scenes = Vec::new();
    // A prefix such as that of a log collector is allowed before the object.
    let objects = text.lines().filter_map(|line| line.find('{').map(|start| &line[start..]));
    for line in objects.filter_map(|object| serde_json::from_str::<Map<String, Value>>(object).ok())
    {
        if line.get("event").is_some_and(|event| event == "start")
            && let Some(Value::String(name)) = line.get("vm")
        {
            vm.clone_from(name);
        }
        if belongs(plot, &line) {
            let time_ms = line.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
            scenes.push(Scene { time_ms, vm: vm.clone(), text: describe(&line) });
        }
    }
    scenes
}

fn belongs(plot: &Plot, line: &Map<String, Value>) -> bool {
    let text = |field: &str| line.get(field).and_then(Value::as_str).unwrap_or_default();
    let of_flow = plot.flow.as_ref().is_some_and(|flow| {
        let logged = text("flow");
        logged == flow || logged.split('>').next() == Some(flow.as_str())
    });
    let of_target = plot
        .target
        .as_ref()
        .is_some_and(|target| [text("target"), text("instead_of")].contains(&target.as_str()));
    of_flow || of_target || (plot.context && CONTEXT.contains(&text("event")))
}

fn describe(line: &Map<String, Value>) -> String {
    let event = line.get("event").and_then(Value::as_str).unwrap_or("line");
    let fields = line.iter().filter(|(name, value)| {
        !COMMON.contains(&name.as_str()) && value.as_str().is_none_or(|text| !text.is_empty())
    });
    let fields = fields.map(|(name, value)| match value.as_str() {
        Some(text) => format!(" {name}={text}"),
        None => format!(" {name}={value}"),
    });
    format!("{event}{}", fields.collect::<String>())
}
