//! The common record of what targets ran and clients were told, from which the verdicts come.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jasminecart_core::Name;

/// The header with the identity of an operation. A repeat of the operation carries the same.
pub const OPERATION_HEADER: &str = "standin-operation";
/// The header with the identity of one submission. A retry inside jasminecart carries the same.
pub const SUBMISSION_HEADER: &str = "standin-submission";

/// What a client learned of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Told {
    /// A whole answer of a target to this operation.
    Answer,
    /// A refusal that states that the request did not run.
    NotRun,
    /// A refusal that states that the outcome is unknown.
    Unknown,
    /// The connection broke, and the entry VM was killed.
    BrokenByKill,
    /// The connection broke or stayed silent although the entry VM lived.
    Nothing,
    /// An answer to another operation.
    Crossed,
}

#[derive(Debug, Default)]
struct Operation {
    is_idempotent: bool,
    /// The submission of each run at a target.
    runs: Vec<u64>,
    /// What the client was told, by submission.
    told: BTreeMap<u64, Told>,
}

#[derive(Debug, Default)]
struct State {
    operations: BTreeMap<u64, Operation>,
    misrouted: u64,
    keys_refused: u64,
    /// Runs by target.
    runs_by_target: BTreeMap<Name, u64>,
}

/// The record. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<State>>);

/// The verdicts over all operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Operations submitted.
    pub operations: u64,
    /// Submissions by what the client was told.
    pub told: BTreeMap<Told, u64>,
    /// Operations without an answer or a stated refusal, and answers without a run.
    pub lost: BTreeSet<u64>,
    /// Operations that are not idempotent and ran more than once.
    pub run_twice: BTreeSet<u64>,
    /// Operations of which a submission was refused as not run but ran.
    pub false_not_run: BTreeSet<u64>,
    /// Operations whose client received the answer to another operation.
    pub crossed: BTreeSet<u64>,
    /// Requests that reached a target of another service.
    pub misrouted: u64,
    /// Claims that were not submitted because the client got no idempotency key.
    pub keys_refused: u64,
}

impl RunLog {
    /// Records that a client is about to submit an operation.
    pub fn submit(&self, operation: u64, is_idempotent: bool) {
        self.lock().operations.entry(operation).or_default().is_idempotent = is_idempotent;
    }

    /// Records what a client was told of a submission.
    pub fn tell(&self, operation: u64, submission: u64, told: Told) {
        let mut state = self.lock();
        state.operations.entry(operation).or_default().told.insert(submission, told);
    }

    /// Records that a target runs an operation.
    pub fn run(&self, operation: u64, submission: u64, target: &Name) {
        let mut state = self.lock();
        state.operations.entry(operation).or_default().runs.push(submission);
        *state.runs_by_target.entry(target.clone()).or_default() += 1;
    }

    /// Records that a request reached a target of another service.
    pub fn misroute(&self) {
        self.lock().misrouted += 1;
    }

    /// Records that a client got no idempotency key, so that it submitted no claim.
    pub fn refuse_key(&self) {
        self.lock().keys_refused += 1;
    }

    /// Returns how many requests a target ran.
    pub fn runs_at(&self, target: &Name) -> u64 {
        self.lock().runs_by_target.get(target).copied().unwrap_or(0)
    }

    /// Judges all operations. Call it when no submission is in progress.
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
        if operation.told.is_empty() {
            self.lost.insert(id);
        }
        for (submission, told) in &operation.told {
            *self.told.entry(*told).or_default() += 1;
            let ran = operation.runs.contains(submission);
            match told {
                // The answer to a repeat may be that of the first submission.
                Told::Answer if operation.runs.is_empty() => self.lost.insert(id),
                Told::Nothing => self.lost.insert(id),
                Told::NotRun if ran => self.false_not_run.insert(id),
                Told::Crossed => self.crossed.insert(id),
                _ => false,
            };
        }
    }
}
