//! The result of the demo.

use serde::Serialize;

/// The figures of the last line, derived from what targets and clients recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DemoFigures {
    /// Feeds opened.
    pub feeds: u64,
    /// Feeds that did not open, or that broke before an entry VM was killed.
    pub broken_by_plan: u64,
    /// Feeds that broke after an entry VM was killed.
    pub broken_by_kill: u64,
    /// Operations submitted.
    pub requests: u64,
    /// Operations without a response or a stated refusal although their VM was running, and operations with a
    /// response although no target ran them.
    pub lost: u64,
    /// Operations that are not idempotent and ran more than once.
    pub run_twice: u64,
    /// Operations that were refused as not run but ran.
    pub false_not_run: u64,
    /// Packets and requests at targets of another service, and responses to another feed or request.
    pub misrouted: u64,
    /// Observations of an older document after a newer one: on a status page, or by new work at a target that
    /// has been draining for longer than the 5 s of invariant I6.
    pub reverted: u64,
}

/// The result of the demo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoReport {
    /// The lines of the table.
    pub table: Vec<String>,
    /// The figures.
    pub figures: DemoFigures,
}

impl DemoReport {
    /// Returns whether every invariant held. Feeds broken by a killed VM are counted but violate no invariant,
    /// because both owners of a flow may fail.
    pub fn invariants_held(&self) -> bool {
        let DemoFigures { broken_by_plan, lost, run_twice, .. } = self.figures;
        let DemoFigures { false_not_run, misrouted, reverted, .. } = self.figures;
        [broken_by_plan, lost, run_twice, false_not_run, misrouted, reverted] == [0; 6]
    }

    /// Returns the figures as one JSON object.
    pub fn json(&self) -> String {
        // Serialising a struct of numbers never fails.
        serde_json::to_string(&self.figures).unwrap_or_default()
    }

    /// Returns the lines to print: the table, and the JSON object as the last line.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = self.table.clone();
        lines.push(self.json());
        lines
    }
}
