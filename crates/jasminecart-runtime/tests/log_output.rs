//! Tests that the log output is bounded, does not block, and reports lost lines.

use std::io::{self, Write};

use jasminecart_runtime::log_output::LogOutput;

/// A pipe that accepts `capacity` bytes and then would block.
struct Pipe {
    written: Vec<u8>,
    capacity: usize,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.capacity == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(self.capacity);
        self.capacity -= count;
        self.written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against a truncated line: a reader that stalls has to receive the rest of the line later.
#[test]
fn a_partial_write_is_completed_by_the_next_flush() {
    let output = LogOutput::default();
    output.push("first line");
    output.push("second line");
    let mut pipe = Pipe { written: Vec::new(), capacity: 14 };
    output.flush_to(&mut pipe);
    pipe.capacity = 1_000;
    output.flush_to(&mut pipe);
    assert_eq!(pipe.written, b"first line\nsecond line\n");
    assert_eq!(output.total_lost(), 0);
}

// Guards against lost lines that are not reported, and against a buffer without a bound.
#[test]
fn lost_lines_are_counted_and_reported() {
    let output = LogOutput::default();
    let line = "x".repeat(999);
    for _ in 0..1_000 {
        output.push(&line);
    }
    let lost = output.total_lost();
    assert!(lost > 800, "{lost} lines lost of 1 MB");
    let mut pipe = Pipe { written: Vec::new(), capacity: usize::MAX };
    output.flush_to(&mut pipe);
    output.flush_to(&mut pipe);
    let text = String::from_utf8(pipe.written).expect("text");
    assert!(
        text.contains(&format!("\"lost\":{lost}")),
        "no log line reports the {lost} lost lines"
    );
    assert!(text.len() < 140_000, "{} bytes were buffered", text.len());
}
