//! Counts of what clients and targets observed, and the violated invariants.

use std::collections::{BTreeMap, VecDeque};

use jasminecart_core::Millis;

/// The bound on printed violations. The first ones show the cause.
const MAX_PRINTED: usize = 20;
/// The number of recent events that the text of a violation includes.
const MAX_EVENTS: usize = 16;

/// The counts and violations of a run.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    pub(super) flows: u64,
    pub(super) packets: u64,
    pub(super) broken_by_plan: u64,
    pub(super) broken_by_vm_loss: u64,
    pub(super) broken_by_cut: u64,
    pub(super) broken_by_target: u64,
    pub(super) requests: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) run_twice: u64,
    pub(super) false_not_run: u64,
    pub(super) misrouted: u64,
    pub(super) reverted: u64,
    pub(super) late_new_work: u64,
    pub(super) cut_off_by_stop: u64,
    pub(super) slow_adoption: u64,
    pub(super) faults: BTreeMap<&'static str, u64>,
    pub(super) violations: Vec<String>,
    events: VecDeque<String>,
}

impl Verdict {
    /// Records a violated invariant by its identifier in `docs/design.md`, section 2.
    pub(super) fn record_violation(&mut self, now: Millis, invariant: &str, text: impl AsRef<str>) {
        self.violations.push(format!("{now}: {invariant}: {}", text.as_ref()));
    }

    /// Counts an injected fault and records it as an event.
    pub(super) fn count_fault(&mut self, now: Millis, name: &'static str) {
        *self.faults.entry(name).or_default() += 1;
        self.record_event(now, name);
    }

    /// Records an event that helps to find the cause of a later violation.
    pub(super) fn record_event(&mut self, now: Millis, text: impl AsRef<str>) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(format!("{} {}", now.get(), text.as_ref()));
    }

    /// Returns the last events as one line.
    pub(super) fn recent_events(&self) -> String {
        self.events.iter().cloned().collect::<Vec<_>>().join(", ")
    }

    /// Returns the readable part of the report: counts, faults and violations.
    pub(super) fn table(&self) -> Vec<String> {
        let row = |name: &str, count: u64| format!("{name:<28}{count:>10}");
        let mut lines = vec![
            row("flows", self.flows),
            row("packets", self.packets),
            row("broken by planned change", self.broken_by_plan),
            row("broken by loss of two VMs", self.broken_by_vm_loss),
            row("broken by a cut", self.broken_by_cut),
            row("broken by the target", self.broken_by_target),
            row("requests", self.requests),
            row("answered", self.answered),
            row("refused as not-run", self.not_run),
            row("unknown", self.unknown),
            row("run twice", self.run_twice),
            row("false not-run", self.false_not_run),
            row("misrouted", self.misrouted),
            row("reverted documents", self.reverted),
            row("late new work at draining", self.late_new_work),
            row("cut off by planned stop", self.cut_off_by_stop),
            row("slow adoption", self.slow_adoption),
        ];
        lines
            .extend(self.faults.iter().map(|(name, count)| row(&format!("fault: {name}"), *count)));
        lines.extend(self.violations.iter().take(MAX_PRINTED).cloned());
        if self.violations.len() > MAX_PRINTED {
            lines.push(format!("and {} more violations", self.violations.len() - MAX_PRINTED));
        }
        lines
    }
}
