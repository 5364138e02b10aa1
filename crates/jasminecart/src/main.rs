//! The `jasminecart` executable.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use jasminecart::command::{Exit, command, run};

/// The width of help texts in columns.
const HELP_WIDTH: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    match command().run_inner(Args::current_args()) {
        Ok(command) => run(command).await.into(),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let help = !matches!(failure, ParseFailure::Stderr(_));
            if help { Exit::Success.into() } else { Exit::Failure.into() }
        }
    }
}
