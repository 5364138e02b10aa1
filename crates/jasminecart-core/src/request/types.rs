//! Inputs and outputs of request dispatch.

use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
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

/// The name of a target in peer messages: a hash of 28 bits, which the codec writes in 4 bytes, because
/// slots are asked for several times a request. Targets whose tags collide are used without a home; among
/// 570 targets, a data centre's share at target size, that happens with a chance of 0.06 %.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetTag(pub u32);

impl TargetTag {
    /// Returns the tag of a target.
    pub fn of(target: &Name) -> TargetTag {
        let mut hasher = SipHasher13::new_with_keys(0, 0);
        hasher.write(target.as_str().as_bytes());
        TargetTag(hasher.finish() as u32 & 0x0fff_ffff)
    }
}

/// A coarse time stamp of the asking VM, in units of 64 ms modulo 2^16 (70 minutes). The home returns
/// it with a grant, so that a VM that resumes after a pause recognises grants that lapsed meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AskStamp(pub u16);

impl AskStamp {
    /// Returns the stamp of an instant.
    pub fn at(now: Millis) -> AskStamp {
        AskStamp((now.get() / 64) as u16)
    }

    /// Returns how long ago the stamp was made, to 64 ms.
    pub fn age(self, now: Millis) -> Millis {
        Millis(u64::from(AskStamp::at(now).0.wrapping_sub(self.0)) * 64)
    }
}

/// How urgently a VM needs a slot: by the class priority and the age of its first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// The class priority; a lower number goes first.
    pub priority: u8,
    /// The waiting time in milliseconds.
    pub age_ms: u32,
}

/// What a VM tells the home of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskItem {
    /// The VM wants this many slots for requests of one class priority. Zero withdraws an earlier wish.
    /// Each priority has its own wish, because a VM with one waiting claim and many uploads would get
    /// slots for its uploads before older uploads of others.
    Want {
        /// The target.
        target: TargetTag,
        /// How many slots.
        slots: u8,
        /// How urgently.
        urgency: Urgency,
    },
    /// The VM no longer uses one slot.
    Release {
        /// The target.
        target: TargetTag,
    },
    /// The target refused a request in a granted slot, so fewer slots are free than the home assumes.
    Refused {
        /// The target.
        target: TargetTag,
    },
    /// The VM still uses this many slots: renews the lease, and informs a new home.
    Hold {
        /// The target.
        target: TargetTag,
        /// How many slots.
        slots: u8,
    },
}

/// What the home of a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantItem {
    /// One slot is granted as a lease.
    Slot {
        /// The target.
        target: TargetTag,
        /// The priority of the wish that the slot answers.
        priority: u8,
        /// The most urgent other VM that waits for a slot of the target.
        rival: Option<Urgency>,
    },
    /// No slot is free; the wish stays noted.
    Busy {
        /// The target.
        target: TargetTag,
        /// The most urgent other VM that waits for a slot of the target.
        rival: Option<Urgency>,
    },
    /// The asked VM is not the home of the target in its own view.
    NotHome {
        /// The target.
        target: TargetTag,
    },
}

/// What a successor needs to know of one used key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The request with this key was answered completely, with this status.
    Done(u16),
    /// The request with this key may have run.
    Unknown,
    /// The request with this key did not run, so the key may be used again.
    NotRun,
}

/// A part of the key records of one process, sent to the successor at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecords {
    /// The VM that issued the keys.
    pub issuer: VmId,
    /// The start of the process that issued them.
    pub incarnation: Incarnation,
    /// The secret that authenticates the keys.
    pub secret: [u64; 2],
    /// Keys up to this sequence number without a record are answered as unknown.
    pub watermark: u64,
    /// The index of this part.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The records by sequence number.
    pub records: Vec<(u64, KeyState)>,
}

/// A message of request dispatch.
///
/// The codec numbers the variants in their order, so new variants go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// From a VM to a home of targets.
    Ask {
        /// When the message was made.
        stamp: AskStamp,
        /// The contents.
        items: Vec<AskItem>,
    },
    /// From a home of targets to a VM.
    Grant {
        /// The stamp of the last [`RequestMessage::Ask`] from the receiver.
        echo: AskStamp,
        /// The contents.
        items: Vec<GrantItem>,
    },
    /// Hands key records over at a planned stop.
    Keys(KeyRecords),
    /// Confirms a part of handed-over key records, or that the sender decides about the keys now.
    KeysTaken {
        /// The VM that issued the keys.
        issuer: VmId,
        /// The start of the process that issued them.
        incarnation: Incarnation,
        /// The part, or nothing for the decision.
        part: Option<u32>,
        /// The start of the confirming process. A confirmation from before its restart is void.
        taker: Incarnation,
    },
    /// Announces which VM decides about the keys of a process that stopped.
    Successor {
        /// The VM that issued the keys.
        issuer: VmId,
        /// The start of the process that issued them.
        incarnation: Incarnation,
        /// The VM that decides now.
        successor: VmId,
        /// The start of its process, because a restarted successor has no records.
        successor_incarnation: Incarnation,
    },
}

/// What is known of the request that used a key before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// The request is in progress in this process.
    InProgress {
        /// The request.
        request: RequestId,
    },
    /// The request was answered completely.
    Done {
        /// The request, when it ran in this process. Its answer may still be stored.
        request: Option<RequestId>,
        /// The status of its answer.
        status: u16,
    },
    /// The request may have run.
    Unknown,
}

/// Bounds of dispatch that are not in the document.
#[derive(Clone, Debug)]
pub struct DispatchLimits {
    /// The most key records kept.
    pub max_keys: usize,
    /// The most requests known at a time, queued and in progress.
    pub max_requests: usize,
    /// How long a granted slot is valid without a renewal.
    pub lease: Millis,
    /// How long a home may leave an ask unanswered before its targets are used directly.
    pub home_silence: Millis,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        DispatchLimits {
            max_keys: 100_000,
            max_requests: 20_000,
            lease: Millis(3_000),
            home_silence: Millis(500),
        }
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
    /// Second attempts sent while the first was still in progress.
    pub hedges: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals as `not-run`.
    pub refused_not_run: u64,
    /// Refusals because of overload.
    pub refused_overload: u64,
    /// Refusals because of a limit of the tenant.
    pub refused_tenant: u64,
    /// Refusals because the deadline passed.
    pub refused_deadline: u64,
    /// Requests with an answer.
    pub answered: u64,
    /// Requests cancelled by their callers.
    pub cancelled: u64,
    /// Requests passed on to the VM that decides about their key.
    pub forwarded: u64,
    /// Outcomes of attempts that are not in progress.
    pub unmatched: u64,
    /// Outcomes of attempts that had been cancelled before.
    pub late: u64,
    /// Slots granted to this VM by homes.
    pub grants: u64,
    /// Slots returned unused.
    pub grants_returned: u64,
    /// Grants ignored because they lapsed while the process was paused.
    pub grants_lapsed: u64,
    /// Attempts sent without a grant because the home was unreachable.
    pub direct: u64,
    /// Slots used again for the next request without asking the home.
    pub reused: u64,
    /// Targets ejected.
    pub ejections: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
    /// Keys issued.
    pub keys_issued: u64,
    /// Requests whose key had been used.
    pub keys_repeated: u64,
    /// Key records dropped to stay within the bound.
    pub keys_evicted: u64,
    /// Messages that do not fit the state, such as grants for unknown targets.
    pub odd_messages: u64,
}
