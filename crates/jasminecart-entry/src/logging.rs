//! Logging as JSON lines.
//!
//! Every line has `time_ms` (since the Unix epoch), `level`, `module`, `text` and the fields of its event.
//! Lines about a decision also have `event`, a stable name that operators can filter by.

pub use jasminecart_runtime::log_line::line;

use crate::settings::{LogOutput, LogSettings};

/// Installs the logger of the process. Does nothing if a logger is already installed, because several entry
/// VMs may run in one operating system process.
pub fn init(settings: &LogSettings) {
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .format(|out, _, record| out.finish(format_args!("{}", line(record))));
    let dispatch = match settings.output {
        LogOutput::Stderr => dispatch.chain(std::io::stderr()),
        LogOutput::Stdout => dispatch.chain(std::io::stdout()),
    };
    let _ = dispatch.apply();
}
