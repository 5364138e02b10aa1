//! Utilities shared by all processes of jasminecart: the clock, retry delays, and the format and
//! output of log lines. The decision logic does not depend on them.

pub mod backoff;
pub mod clock;
pub mod log_line;
pub mod log_output;
