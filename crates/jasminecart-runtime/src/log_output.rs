//! Log output that never blocks the process.
//!
//! Lines wait in a bounded buffer until the process flushes it. Standard output is set to non-blocking, so
//! that a reader that stalls costs lines and never time. Lost lines are counted, and a line states the count.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};

use log::LevelFilter;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use crate::log_line::line;

/// The most bytes that wait for the next flush. At about 300 bytes a line this holds 400 lines.
const MAX_WAITING_BYTES: usize = 128 << 10;

/// The log output of a process. Clones share one buffer.
#[derive(Clone, Debug, Default)]
pub struct LogOutput(Arc<Mutex<Waiting>>);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    lost: u64,
    /// Lines lost since the start of the process.
    lost_in_total: u64,
}

impl LogOutput {
    /// Installs the output as the logger of the process, with lines on standard output.
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

    /// Adds a line without its end, or counts it as lost when the buffer is full.
    pub fn push(&self, line: &str) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() >= MAX_WAITING_BYTES {
            waiting.lost += 1;
            waiting.lost_in_total += 1;
        } else {
            waiting.bytes.extend_from_slice(line.as_bytes());
            waiting.bytes.push(b'\n');
        }
    }

    /// Writes what waits to standard output, as far as it takes it.
    pub fn flush(&self) {
        self.flush_to(Stdout);
    }

    /// Writes what waits to `out`, as far as it takes it without blocking.
    pub fn flush_to(&self, mut out: impl Write) {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.lost > 0 && waiting.bytes.len() < MAX_WAITING_BYTES {
            let lost = std::mem::take(&mut waiting.lost);
            let line = format!("{{\"event\":\"log-lines-lost\",\"lost\":{lost}}}\n");
            waiting.bytes.extend_from_slice(line.as_bytes());
        }
        let mut written = 0;
        while written < waiting.bytes.len() {
            match out.write(&waiting.bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // A full pipe keeps the rest for the next flush. Any other error can't be logged, since
                // the log itself failed; the buffer fills and lost lines are counted in the metrics.
                Err(_) => break,
            }
        }
        waiting.bytes.drain(..written);
    }

    /// Returns how many lines were lost since the start of the process.
    pub fn lost_in_total(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).lost_in_total
    }
}

/// Standard output without the line buffer of the standard library, which may lose part of a line when the
/// descriptor does not take all of it.
struct Stdout;

impl Write for Stdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
