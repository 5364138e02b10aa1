//! The result of a measurement.

use serde_json::Value;

/// The output of a measurement: a human-readable table and a JSON object.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The lines of the human-readable table.
    pub table: Vec<String>,
    /// The measured values, printed as the last line.
    pub figures: Value,
    /// Whether a requirement was not met, which makes the program exit with 1.
    pub failed: bool,
}

impl Report {
    /// Creates the report of a run that met every requirement.
    pub fn new(table: Vec<String>, figures: Value) -> Report {
        Report { table, figures, failed: false }
    }

    /// Sets whether a requirement was not met.
    pub fn with_failed(mut self, failed: bool) -> Report {
        self.failed = failed;
        self
    }
}
