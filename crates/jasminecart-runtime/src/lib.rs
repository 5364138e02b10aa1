//! What every process of jasminecart needs and no decision depends on: its clock, delays after failures,
//! and the form and output of log lines.

pub mod backoff;
pub mod clock;
pub mod log_line;
pub mod log_output;
