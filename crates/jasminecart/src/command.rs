//! The commands of the command line and their exit codes.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use jasminecart_core::ini::Problem;
use jasminecart_core::version::compare;
use jasminecart_entry::logging;
use jasminecart_entry::settings::Settings;
use jasminecart_standin::demo::{self, DemoOptions};
use serde_json::Value;

use crate::errors::{Error, Result};
use crate::story::{self, StoryEntry, StoryFilter};
use crate::{files, operators};

/// The exit codes that each command documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command completed with a negative result, such as an invalid document or a violated guarantee.
    Negative,
    /// The command failed to complete.
    Failure,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Negative => 1,
            Exit::Failure => 2,
        })
    }
}

/// A layer-4 load balancer that keeps flows whole.
///
/// Exit codes: 0 success, 1 negative result (invalid document, broken promise), 2 usage or I/O error.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run an entry VM until SIGTERM or SIGINT, then stop it without cutting off requests
    ///
    /// Exit code 1 if the settings are invalid or the stop cut something off.
    #[bpaf(command)]
    Entry {
        /// Only check the settings
        #[bpaf(long)]
        check: bool,
        /// The settings of the process
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// Run a whole environment in this process on loopback, with planned changes and failures
    ///
    /// Ends within 60 s with a table and a line of JSON. Exit code 1 if a promise was broken.
    #[bpaf(command)]
    Demo {
        /// Seed that varies the run
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Keep the environment up afterwards and print its addresses
        #[bpaf(long)]
        hold: bool,
    },
    /// Check a document and print all its problems, each with line, section and key (exit code 1 if any)
    #[bpaf(command)]
    Check {
        /// The environment document
        #[bpaf(positional("DOCUMENT"))]
        document: PathBuf,
    },
    /// Print the SHA-256 digest of a document, to compare trial with production (exit code 1 if invalid)
    #[bpaf(command)]
    Digest {
        /// The environment document
        #[bpaf(positional("DOCUMENT"))]
        document: PathBuf,
    },
    /// Print in words what changes from one document to another (exit code 1 if either is invalid)
    #[bpaf(command)]
    Compare {
        /// The document in force
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// The document to publish
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Print the status of a running entry daemon as JSON
    #[bpaf(command)]
    Status {
        /// The address of its operators' listener
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Print the story of a flow or target from the logs of several VMs (exit code 1 if they hold nothing)
    ///
    /// Without --flow and --target only changes of what the VMs believe are printed.
    #[bpaf(command)]
    Story {
        /// A flow as logged, such as 100.64.0.7:40001>198.18.0.1:443, or its client's end
        #[bpaf(long, argument("FLOW"))]
        flow: Option<String>,
        /// The name of a target
        #[bpaf(long, argument("NAME"))]
        target: Option<String>,
        /// Leave out changes of belief that concern no single flow
        #[bpaf(long)]
        brief: bool,
        /// The logs, one file for each VM
        #[bpaf(positional("LOG"), some("name the logs"))]
        logs: Vec<PathBuf>,
    },
    /// Explain where a flow or a request goes on a running daemon, and why
    ///
    /// Forwarding VM: --client and --service, IP:PORT each. Entry VM: --flow, or --service with a name. Exit code 1 if
    /// the service address has no route, 2 if the VM does not respond or is not ready.
    #[bpaf(command)]
    Explain {
        /// What to explain
        #[bpaf(external)]
        subject: Subject,
        /// Print JSON instead of text
        #[bpaf(long)]
        json: bool,
        /// The address of its operators' listener
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

/// What to explain.
#[derive(Clone, Debug, Bpaf)]
pub enum Subject {
    /// A flow through a forwarding VM
    Address {
        /// The address and port of the client, such as 100.64.0.7:40001
        #[bpaf(long, argument("IP:PORT"))]
        client: SocketAddrV4,
        /// The service address and port, such as 198.18.0.1:443
        #[bpaf(long, argument("IP:PORT"))]
        service: SocketAddrV4,
        /// The routing token of its packets in hexadecimal
        #[bpaf(long, argument("HEX"), optional)]
        token: Option<String>,
    },
    /// A flow
    Flow {
        /// Protocol, client and service, such as tcp,10.9.0.1:40000,10.0.0.1:443
        #[bpaf(long, argument("FLOW"))]
        flow: String,
    },
    /// A request
    Service {
        /// The name of the service
        #[bpaf(long, argument("NAME"))]
        service: String,
    },
}

/// Runs a command. Errors are printed to standard error.
pub async fn run(command: Command) -> Exit {
    let result = match command {
        Command::Entry { check: true, settings } => check_settings(&settings),
        Command::Entry { check: false, settings } => entry(&settings).await,
        Command::Demo { seed, hold } => demo(seed, hold).await,
        Command::Check { document } => check(&document),
        Command::Digest { document } => digest(&document),
        Command::Compare { old, new } => compare_files(&old, &new),
        Command::Status { address } => print_page(address, "/status").await,
        Command::Story { flow, target, brief, logs } => {
            print_story(&StoryFilter { flow, target, context: !brief }, &logs)
        }
        Command::Explain { subject, json, address } => explain(address, &subject, json).await,
    };
    result.unwrap_or_else(|error| {
        eprintln!("jasminecart: {error}");
        Exit::Failure
    })
}

fn read_settings(path: &Path) -> Result<Option<Settings>> {
    match Settings::parse(&files::read(path)?) {
        Ok(settings) => Ok(Some(settings)),
        Err(errors) => {
            print_problems(path, &errors.problems);
            Ok(None)
        }
    }
}

fn check_settings(path: &Path) -> Result<Exit> {
    let Some(settings) = read_settings(path)? else { return Ok(Exit::Negative) };
    println!("{}: valid settings of {}", path.display(), settings.me);
    Ok(Exit::Success)
}

async fn entry(path: &Path) -> Result<Exit> {
    let Some(settings) = read_settings(path)? else { return Ok(Exit::Negative) };
    logging::init(&settings.log);
    let report = jasminecart_entry::run(settings).await?;
    Ok(if report.drained && report.cut_off == 0 { Exit::Success } else { Exit::Negative })
}

async fn demo(seed: u64, hold: bool) -> Result<Exit> {
    let options = DemoOptions::new(seed).with_hold(hold).with_progress(|line| println!("{line}"));
    let report = demo::run(options).await?;
    if !hold {
        report.lines().iter().for_each(|line| println!("{line}"));
    }
    Ok(if report.invariants_held() { Exit::Success } else { Exit::Negative })
}

fn print_problems(path: &Path, problems: &[Problem]) {
    for problem in problems {
        println!("{}: {problem}", path.display());
    }
}

fn check(path: &Path) -> Result<Exit> {
    Ok(match files::read_document(path)? {
        Ok(document) => {
            let (services, targets) = (document.services().len(), document.targets().len());
            println!("{}: valid, {services} services, {targets} targets", path.display());
            Exit::Success
        }
        Err(errors) => {
            print_problems(path, &errors.problems);
            Exit::Negative
        }
    })
}

fn digest(path: &Path) -> Result<Exit> {
    match files::read_document(path)? {
        Ok(document) => {
            println!("{}", document.digest());
            Ok(Exit::Success)
        }
        Err(_) => check(path),
    }
}

fn compare_files(old: &Path, new: &Path) -> Result<Exit> {
    match (files::read_document(old)?, files::read_document(new)?) {
        (Ok(old), Ok(new)) => {
            let changes = compare(&old, &new);
            for change in &changes {
                println!("{change}");
            }
            if changes.is_empty() {
                println!("no change");
            }
            Ok(Exit::Success)
        }
        (Err(_), _) => check(old),
        (_, Err(_)) => check(new),
    }
}

fn print_story(filter: &StoryFilter, logs: &[PathBuf]) -> Result<Exit> {
    let entries = story::collect(filter, logs)?;
    for StoryEntry { time_ms, vm, text } in &entries {
        println!("{}.{:03} {vm} {text}", time_ms / 1_000, time_ms % 1_000);
    }
    Ok(if entries.is_empty() { Exit::Negative } else { Exit::Success })
}

async fn print_page(address: SocketAddr, path: &str) -> Result<Exit> {
    println!("{}", operators::get(address, path).await?);
    Ok(Exit::Success)
}

async fn explain(address: SocketAddr, subject: &Subject, json: bool) -> Result<Exit> {
    let path = explain_path(subject, json);
    if !matches!(subject, Subject::Address { .. }) {
        let page = operators::get(address, &path).await?;
        println!("{}", if json { page } else { json_as_text(&page) });
        return Ok(Exit::Success);
    }
    let page = operators::fetch_page(address, &path).await?;
    if page.content_type.is_none() {
        // Earlier builds respond with metrics, without a content type, on every path.
        return Err(Error::NoExplanation { address });
    }
    match page.status {
        200 | 404 => println!("{}", page.text),
        status => return Err(Error::UnexpectedStatus { address, status, text: page.text }),
    }
    Ok(if page.status == 200 { Exit::Success } else { Exit::Negative })
}

fn explain_path(subject: &Subject, json: bool) -> String {
    match subject {
        Subject::Address { client, service, token } => {
            let token = token.as_deref().map_or(String::new(), |token| {
                format!("&token={}", operators::percent_encode(token))
            });
            let format = if json { "json" } else { "text" };
            format!("/explain?client={client}&service={service}{token}&format={format}")
        }
        Subject::Flow { flow } => format!("/explain?flow={}", operators::percent_encode(flow)),
        Subject::Service { service } => {
            format!("/explain?service={}", operators::percent_encode(service))
        }
    }
}

/// Returns the members of a JSON object as lines of text, with nested ones as paths.
fn json_as_text(page: &str) -> String {
    let mut lines = Vec::new();
    match serde_json::from_str(page) {
        Ok(value) => add_lines(&mut lines, "", &value),
        Err(_) => lines.push(page.to_owned()),
    }
    lines.join("\n")
}

fn add_lines(lines: &mut Vec<String>, path: &str, value: &Value) {
    let dot = if path.is_empty() { "" } else { "." };
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                add_lines(lines, &format!("{path}{dot}{name}"), value);
            }
        }
        Value::Array(values)
            if values.iter().any(|value| value.is_object() || value.is_array()) =>
        {
            for (position, value) in values.iter().enumerate() {
                add_lines(lines, &format!("{path}{dot}{position}"), value);
            }
        }
        Value::String(text) => lines.push(format!("{path}: {text}")),
        value => lines.push(format!("{path}: {value}")),
    }
}
