//! Log output that never blocks the process.
//!
//! Lines are held in a bounded buffer until the process flushes it. Standard output is set to
//! non-blocking, so that a reader that stalls causes lost lines but no delay. Lost lines are
//! counted and reported in a log line.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};

use log::LevelFilter;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use crate::log_line::line;

/// The size limit of the buffer. At about 300 bytes a line it holds 400 lines.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// The log output of a process. Clones share one buffer.
#[derive(Clone, Debug, Default)]
pub struct LogOutput(Arc<Mutex<Buffer>>);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines lost and not yet reported in a log line.
    lost: u64,
    /// Lines lost since the start of the process.
    total_lost: u64,
}

impl LogOutput {
    /// Installs this output as the logger of the process. It writes to standard output.
    ///
    /// # Errors
    ///
    /// Fails when standard output can't be set to non-blocking, or another logger is installed.
    pub fn install(level: LevelFilter) -> io::Result<LogOutput> {
        let output = LogOutput::default();
        let flags = fcntl_getfl(rustix::stdio::stdout())?;
        fcntl_setfl(rustix::stdio::stdout(), flags | OFlags::NONBLOCK)?;
        let lines = output.clone();
        fern::Dispatch::new()
            .level(level)
            .chain(fern::Output::call(move |record| lines.push(&line(record))))
            .apply()
            .map_err(io::Error::other)?;
        Ok(output)
    }

    /// Adds a line, given without its line break, or counts it as lost if the buffer is full.
    pub fn push(&self, line: &str) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            buffer.lost += 1;
            buffer.total_lost += 1;
        } else {
            buffer.bytes.extend_from_slice(line.as_bytes());
            buffer.bytes.push(b'\n');
        }
    }

    /// Writes the buffer to standard output, as far as it accepts bytes without blocking.
    pub fn flush(&self) {
        self.flush_to(Stdout);
    }

    /// Writes the buffer to `out`, as far as it accepts bytes without blocking.
    pub fn flush_to(&self, mut out: impl Write) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lost > 0 && buffer.bytes.len() < MAX_BUFFERED_BYTES {
            let lost = std::mem::take(&mut buffer.lost);
            let line = format!("{{\"event\":\"log-lines-lost\",\"lost\":{lost}}}\n");
            buffer.bytes.extend_from_slice(line.as_bytes());
        }
        let mut written = 0;
        while written < buffer.bytes.len() {
            match out.write(&buffer.bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // If the pipe is full, the rest stays buffered for the next flush. Any other error
                // can't be logged, since the log itself failed: the buffer fills, and metrics count
                // the lost lines.
                Err(_) => break,
            }
        }
        buffer.bytes.drain(..written);
    }

    /// Returns the number of lines lost since the start of the process.
    pub fn total_lost(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).total_lost
    }
}

/// Standard output without the line buffer of the standard library, which may lose part of a line
/// if the descriptor does not accept all of it.
struct Stdout;

impl Write for Stdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
