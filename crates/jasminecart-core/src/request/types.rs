//! Inputs and outputs of request dispatch.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::message::Outgoing;
use crate::names::{Incarnation, Name, VmId};
use crate::time::Millis;

/// The identity of a request in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// The identity of one attempt at a request in one process. Answers are matched by it, never by order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// An idempotency key that a VM issued. `docs/design.md`, section 7, says why keys are issued.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The VM that issued the key and that alone may run requests with it.
    pub vm: VmId,
    /// The start of the process that issued it.
    pub incarnation: Incarnation,
    /// The number of the key.
    pub sequence: u64,
    /// The authentication code, by the secret of the process.
    pub code: u64,
}

/// Why a key was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text has not the form of an issued key.
    #[error(
        "the idempotency key was not issued by jasminecart; get one from /.well-known/jasminecart/keys"
    )]
    Malformed,
}

impl IssuedKey {
    /// Parses the text of a key, `DATA_CENTRE/VM/INCARNATION/SEQUENCE/CODE`.
    pub fn parse(text: &str) -> Result<IssuedKey, KeyError> {
        IssuedKey::from_parts(text).ok_or(KeyError::Malformed)
    }

    fn from_parts(text: &str) -> Option<IssuedKey> {
        let mut parts = text.split('/');
        let data_centre = Name::parse(parts.next()?)?;
        let name = Name::parse(parts.next()?)?;
        let incarnation = Incarnation(parts.next()?.parse().ok()?);
        let sequence = parts.next()?.parse().ok()?;
        let code = u64::from_str_radix(parts.next()?, 16).ok()?;
        let vm = VmId { data_centre, name };
        parts.next().is_none().then_some(IssuedKey { vm, incarnation, sequence, code })
    }
}

impl std::fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}/{:016x}", self.vm, self.incarnation, self.sequence, self.code)
    }
}

/// What dispatch needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The identity, chosen by the caller of the module and never used again.
    pub id: RequestId,
    /// The service.
    pub service: Name,
    /// The class.
    pub class: Name,
    /// The tenant, or `default`.
    pub tenant: Name,
    /// When the caller gives up.
    pub deadline: Millis,
    /// Whether a second run does no harm, by the method of the request.
    pub idempotent: bool,
    /// Whether the body can be sent again, because it is empty or was kept whole.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<IssuedKey>,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// The request truly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// This VM has no document or is about to stop.
    NotReady,
    /// No such service.
    NoService,
    /// The service has no target that takes work.
    NoTarget,
    /// The queue is full, or the request would not leave it in time.
    Overload,
    /// The tenant is above its rate or concurrency.
    TenantLimit,
    /// The deadline passed.
    Deadline,
    /// The targets declared that they did not run it, and no retry was left.
    Shed,
    /// An attempt failed after its first byte was sent.
    AttemptFailed,
    /// The VM that issued the key can't be reached or has restarted.
    KeyOwnerLost,
    /// A request with this key is in progress or has run.
    KeyUsed,
    /// The key was not issued by this process.
    KeyInvalid,
}

/// A refusal with what is known of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request ran.
    pub state: RunState,
    /// Why it was refused.
    pub reason: RefusalReason,
}

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunCause {
    /// The connection failed before a byte of the request was sent.
    NotSent,
    /// The target refused the stream by a rule of HTTP/2.
    StreamRefused,
    /// The target answered with a declared shed status.
    Shed,
}

/// Why an attempt failed after its first byte was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCause {
    /// The connection broke.
    Broken,
    /// The connection made no progress in time.
    Silent,
    /// The deadline passed.
    Deadline,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was received.
    Done {
        /// The status code.
        status: u16,
    },
    /// The request did not run.
    NotRun(NotRunCause),
    /// The request may have run.
    Failed(FailureCause),
}

/// What the caller of [`super::Dispatcher`] has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a target.
    Send {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        target: Name,
        /// The address of the target.
        address: SocketAddr,
        /// When the attempt has to end.
        deadline: Millis,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// End an attempt, because its request was cancelled or answered by another attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass the request on to the VM that issued its key, and report nothing back.
    Forward {
        /// The request.
        request: RequestId,
        /// The VM.
        vm: VmId,
        /// The address for forwarded requests.
        address: SocketAddr,
    },
    /// Send a message.
    Message(Outgoing),
}

/// A message of request dispatch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// Returns the slots of a target to its home VM.
    Release {
        /// The target.
        target: Name,
        /// How many slots.
        slots: u32,
    },
}

/// Bounds of dispatch that are not in the document.
#[derive(Clone, Debug)]
pub struct DispatchLimits {
    /// The most key records kept.
    pub max_keys: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        DispatchLimits { max_keys: 100_000 }
    }
}

/// The use of a target by this VM, for the status page.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetUse {
    /// The target.
    pub target: Name,
    /// Attempts in progress from this VM.
    pub outstanding: u32,
    /// The moving average of the answer time in milliseconds.
    pub answer_ms: f64,
    /// Whether the target is ejected after failures.
    pub ejected: bool,
}

/// Why a request would go where it goes, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestExplanation {
    /// The target that would be chosen now.
    pub target: Option<Name>,
    /// The reason in words.
    pub reason: String,
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DispatchCounters {
    /// Requests submitted.
    pub submitted: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Refusals.
    pub refused: u64,
    /// Outcomes of attempts that are not in progress.
    pub unmatched: u64,
}
