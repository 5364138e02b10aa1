//! The commands and their exit codes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use jasminecart_core::version::compare;

use crate::errors::Result;
use crate::{files, operators};

/// The exit codes that each command documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command ran and its result is negative: an invalid document or a broken promise.
    Negative,
    /// The command could not be carried out.
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
    /// Explain where a flow or a request goes on a running entry daemon, and why
    #[bpaf(command)]
    Explain {
        /// What to explain
        #[bpaf(external)]
        subject: Subject,
        /// The address of its operators' listener
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

/// What to explain.
#[derive(Clone, Debug, Bpaf)]
pub enum Subject {
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

/// Carries out a command.
pub async fn run(command: Command) -> Exit {
    let result = match command {
        Command::Check { document } => check(&document),
        Command::Digest { document } => digest(&document),
        Command::Compare { old, new } => compare_files(&old, &new),
        Command::Status { address } => show(address, "/status").await,
        Command::Explain { subject, address } => show(address, &explain_path(&subject)).await,
    };
    result.unwrap_or_else(|error| {
        eprintln!("jasminecart: {error}");
        Exit::Failure
    })
}

fn check(path: &Path) -> Result<Exit> {
    Ok(match files::read_document(path)? {
        Ok(document) => {
            let (services, targets) = (document.services().len(), document.targets().len());
            println!("{}: valid, {services} services, {targets} targets", path.display());
            Exit::Success
        }
        Err(errors) => {
            for problem in &errors.problems {
                println!("{}: {problem}", path.display());
            }
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

async fn show(address: SocketAddr, path: &str) -> Result<Exit> {
    println!("{}", operators::get(address, path).await?);
    Ok(Exit::Success)
}

fn explain_path(subject: &Subject) -> String {
    match subject {
        Subject::Flow { flow } => format!("/explain?flow={}", operators::escape(flow)),
        Subject::Service { service } => format!("/explain?service={}", operators::escape(service)),
    }
}
