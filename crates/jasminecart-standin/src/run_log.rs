//! The record of what targets ran and which outcomes clients received, from which violations are derived.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jasminecart_core::Name;

/// The header with the id of an operation. Repeated submissions of the operation carry the same id.
pub const OPERATION_HEADER: &str = "standin-operation";
/// The header with the id of one submission. A retry inside jasminecart carries the same id.
pub const SUBMISSION_HEADER: &str = "standin-submission";

/// The outcome of one submission, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// A complete response of a target to this operation.
    Response,
    /// A refusal that states that the request did not run.
    NotRun,
    /// A refusal that states that the outcome is unknown.
    Unknown,
    /// The connection failed, and the entry VM was killed.
    BrokenByKill,
    /// The connection failed or no response arrived, although the entry VM was running.
    NoResponse,
    /// A response to another operation.
    Crossed,
}

#[derive(Debug, Default)]
struct Operation {
    is_idempotent: bool,
    /// The submission of each run at a target.
    runs: Vec<u64>,
    /// The outcomes by submission.
    outcomes: BTreeMap<u64, Outcome>,
}

#[derive(Debug, Default)]
struct State {
    operations: BTreeMap<u64, Operation>,
    misrouted: u64,
    keys_refused: u64,
    /// The number of runs by target.
    runs_by_target: BTreeMap<Name, u64>,
}

/// The record of operations, their runs and their outcomes. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<State>>);

/// The results of checking all operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Operations submitted.
    pub operations: u64,
    /// The number of submissions by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Operations without a response or a stated refusal, or with a response although no target ran them.
    pub lost: BTreeSet<u64>,
    /// Operations that are not idempotent and ran more than once.
    pub run_twice: BTreeSet<u64>,
    /// Operations with a submission that was refused as not run but ran.
    pub false_not_run: BTreeSet<u64>,
    /// Operations whose client received the response to another operation.
    pub crossed: BTreeSet<u64>,
    /// Requests that reached a target of another service.
    pub misrouted: u64,
    /// Claims that were not submitted because the client got no idempotency key.
    pub keys_refused: u64,
}

impl RunLog {
    /// Records that a client is about to submit an operation.
    pub fn record_operation(&self, operation: u64, is_idempotent: bool) {
        self.lock().operations.entry(operation).or_default().is_idempotent = is_idempotent;
    }

    /// Records the outcome of a submission.
    pub fn record_outcome(&self, operation: u64, submission: u64, outcome: Outcome) {
        let mut state = self.lock();
        state.operations.entry(operation).or_default().outcomes.insert(submission, outcome);
    }

    /// Records that a target runs an operation.
    pub fn record_run(&self, operation: u64, submission: u64, target: &Name) {
        let mut state = self.lock();
        state.operations.entry(operation).or_default().runs.push(submission);
        *state.runs_by_target.entry(target.clone()).or_default() += 1;
    }

    /// Records that a request reached a target of another service.
    pub fn record_misrouted(&self) {
        self.lock().misrouted += 1;
    }

    /// Records that a client got no idempotency key, so that it submitted no claim.
    pub fn record_refused_key(&self) {
        self.lock().keys_refused += 1;
    }

    /// Returns the number of requests that a target ran.
    pub fn runs_at(&self, target: &Name) -> u64 {
        self.lock().runs_by_target.get(target).copied().unwrap_or(0)
    }

    /// Checks all operations. Call it when no submission is in progress.
    pub fn verdicts(&self) -> Verdicts {
        let state = self.lock();
        let mut verdicts = Verdicts {
            operations: state.operations.len() as u64,
            misrouted: state.misrouted,
            keys_refused: state.keys_refused,
            ..Verdicts::default()
        };
        for (id, operation) in &state.operations {
            verdicts.add(*id, operation);
        }
        verdicts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Verdicts {
    fn add(&mut self, id: u64, operation: &Operation) {
        if operation.runs.len() > 1 && !operation.is_idempotent {
            self.run_twice.insert(id);
        }
        if operation.outcomes.is_empty() {
            self.lost.insert(id);
        }
        for (submission, outcome) in &operation.outcomes {
            *self.outcomes.entry(*outcome).or_default() += 1;
            let ran = operation.runs.contains(submission);
            match outcome {
                // The response to a repeated submission may be that of the first one.
                Outcome::Response if operation.runs.is_empty() => self.lost.insert(id),
                Outcome::NoResponse => self.lost.insert(id),
                Outcome::NotRun if ran => self.false_not_run.insert(id),
                Outcome::Crossed => self.crossed.insert(id),
                _ => false,
            };
        }
    }
}
