//! The result of a measurement.

use serde_json::Value;

/// What a measurement prints: a table for people and one JSON object for programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The lines of the table.
    pub table: Vec<String>,
    /// The figures.
    pub figures: Value,
    /// Whether a required property did not hold, which makes the program exit with 1.
    pub failed: bool,
}

impl Report {
    /// Creates the report of a run in which every required property held.
    pub fn new(table: Vec<String>, figures: Value) -> Report {
        Report { table, figures, failed: false }
    }

    /// Marks the run as failed when a required property did not hold.
    pub fn with_failed(mut self, failed: bool) -> Report {
        self.failed = failed;
        self
    }
}
