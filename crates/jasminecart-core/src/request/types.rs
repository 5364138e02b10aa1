//! Inputs and outputs of request dispatch.

use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

use crate::message::Outgoing;
use crate::names::{Incarnation, Name, VmId};
use crate::second_copies::SecondCopyLimit;
use crate::time::Millis;

/// The identity of a request in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// The identity of one attempt at a request in one process. Outcomes are matched to attempts by
/// this id, never by order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// An idempotency key that a VM issued. `docs/design.md`, section 7, explains why keys are issued
/// rather than chosen by clients.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The VM that issued the key, and the only one that may run requests with it.
    pub vm: VmId,
    /// The incarnation of the process that issued it.
    pub incarnation: Incarnation,
    /// The number of the key among those issued by the process.
    pub sequence: u64,
    /// The authentication code, computed with the secret of the process.
    pub code: u64,
}

/// Why a text was rejected as an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text does not have the format of an issued key.
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

/// The metadata of a request that dispatch needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The identity, chosen by the caller of this module and never reused.
    pub id: RequestId,
    /// The service that the request is for.
    pub service: Name,
    /// The class, which sets priority and queueing time.
    pub class: Name,
    /// The tenant, or `default`.
    pub tenant: Name,
    /// When the client stops waiting for the response.
    pub deadline: Millis,
    /// Whether the method of the request is idempotent, so that running it twice does no harm.
    pub idempotent: bool,
    /// Whether the body can be sent again, because it is empty or was buffered completely.
    pub repeatable: bool,
    /// The idempotency key, if the client sent one.
    pub key: Option<IssuedKey>,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// The request is known not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// This VM has no document or is stopping.
    NotReady,
    /// The document has no such service.
    NoService,
    /// The service has no target that accepts requests.
    NoTarget,
    /// The queue is full, or the request would wait longer in it than allowed.
    Overload,
    /// The tenant exceeds its rate or concurrency limit.
    TenantLimit,
    /// The deadline passed.
    Deadline,
    /// Targets reported that they did not run the request, and no retry was left.
    Shed,
    /// An attempt failed after its first byte was sent.
    AttemptFailed,
    /// The VM that issued the key is unreachable or has restarted.
    KeyOwnerLost,
    /// A request with this key is in progress or has run.
    KeyUsed,
    /// The authentication code of the key is wrong.
    KeyInvalid,
}

/// A refusal, with whether the request may have run.
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
    /// The target rejected the stream in a way that HTTP/2 defines as not processed.
    StreamRefused,
    /// The target responded with a status that is declared to mean load shedding.
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
    /// The response was received completely.
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
    /// Respond to the client with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Cancel an attempt whose request was cancelled, refused or completed by another attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forward the request to the VM that owns its key, and report no outcome to the dispatcher.
    Forward {
        /// The request.
        request: RequestId,
        /// The owner of the key.
        vm: VmId,
        /// The address at which that VM accepts forwarded requests.
        address: SocketAddr,
    },
    /// Send a message to a peer.
    Message(Outgoing),
}

/// The name of a target in peer messages: a hash of 28 bits, which the codec encodes in 4 bytes,
/// because slot requests are sent several times per request. Targets whose tags collide are used
/// without a home. Among 570 targets, a data centre's share at the planned size, a collision has a
/// probability of 0.06 %.
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

/// A coarse time stamp of the requesting VM, in units of 64 ms modulo 2^16 (70 minutes). The home
/// returns it with a grant, so that a VM that resumes after a pause recognises grants that have
/// expired meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AskStamp(pub u16);

impl AskStamp {
    /// Returns the stamp of an instant.
    pub fn at(now: Millis) -> AskStamp {
        AskStamp((now.get() / 64) as u16)
    }

    /// Returns the age of the stamp, rounded to 64 ms.
    pub fn age(self, now: Millis) -> Millis {
        Millis(u64::from(AskStamp::at(now).0.wrapping_sub(self.0)) * 64)
    }
}

/// How urgently a VM needs a slot: by class priority, then by the age of its oldest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// The class priority; a lower number is served first.
    pub priority: u8,
    /// The waiting time in milliseconds.
    pub age_ms: u32,
}

/// What a VM sends to the home of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskItem {
    /// Requests this many slots for requests of one class priority. Zero withdraws an earlier slot
    /// request. Each priority has its own slot request. With a shared one, a VM with one waiting
    /// claim and many uploads would get slots for its uploads before older uploads of other VMs.
    Want {
        /// The target.
        target: TargetTag,
        /// How many slots.
        slots: u8,
        /// How urgently.
        urgency: Urgency,
    },
    /// Returns one slot.
    Release {
        /// The target.
        target: TargetTag,
    },
    /// The target refused a request in a granted slot, so it has fewer free slots than the home
    /// assumes.
    Refused {
        /// The target.
        target: TargetTag,
    },
    /// The VM still uses this many slots. Renews the lease, and informs a new home.
    Hold {
        /// The target.
        target: TargetTag,
        /// How many slots.
        slots: u8,
    },
}

/// What the home of a target sends in response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantItem {
    /// One slot is granted as a lease.
    Slot {
        /// The target.
        target: TargetTag,
        /// The priority of the slot request that is granted.
        priority: u8,
        /// The most urgent request of any other VM that waits for a slot of the target.
        rival: Option<Urgency>,
    },
    /// No slot is free. The slot request remains pending.
    Busy {
        /// The target.
        target: TargetTag,
        /// The most urgent request of any other VM that waits for a slot of the target.
        rival: Option<Urgency>,
    },
    /// The VM that received the slot request is not the home of the target in its own view.
    NotHome {
        /// The target.
        target: TargetTag,
    },
}

/// What a successor needs to know about one used key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The request with this key completed, with this status.
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
    /// The incarnation of the process that issued them.
    pub incarnation: Incarnation,
    /// The secret that authenticates the keys.
    pub secret: [u64; 2],
    /// Keys up to this sequence number that have no record have the state unknown.
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
/// The codec numbers the variants in declaration order, so new variants go at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// From a VM to the home of targets: slot requests, and reports on the use of granted slots.
    Ask {
        /// When the message was created.
        stamp: AskStamp,
        /// The items, about one target each.
        items: Vec<AskItem>,
    },
    /// From the home of targets to a VM: responses to slot requests.
    Grant {
        /// The stamp of the last [`RequestMessage::Ask`] from the receiver.
        echo: AskStamp,
        /// The items, about one target each.
        items: Vec<GrantItem>,
    },
    /// Hands key records over at a planned stop.
    Keys(KeyRecords),
    /// Confirms a part of the key records, or that the sender now owns the keys.
    KeysTaken {
        /// The VM that issued the keys.
        issuer: VmId,
        /// The incarnation of the process that issued them.
        incarnation: Incarnation,
        /// The confirmed part, or `None` to confirm the ownership.
        part: Option<u32>,
        /// The incarnation of the confirming process. A confirmation from an earlier incarnation is
        /// ignored, because a restart loses the records.
        taker: Incarnation,
    },
    /// Announces the new owner of the keys of a process that stopped.
    Successor {
        /// The VM that issued the keys.
        issuer: VmId,
        /// The incarnation of the process that issued them.
        incarnation: Incarnation,
        /// The VM that now owns the keys.
        successor: VmId,
        /// The incarnation of its process, because a restarted successor has no records.
        successor_incarnation: Incarnation,
    },
}

/// What is known about the earlier request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// The request is in progress in this process.
    InProgress {
        /// The request.
        request: RequestId,
    },
    /// The request completed.
    Done {
        /// The request, if it ran in this process. Its response may still be stored.
        request: Option<RequestId>,
        /// The status of its response.
        status: u16,
    },
    /// The request may have run.
    Unknown,
}

/// Limits of dispatch that are not set in the document.
#[derive(Clone, Debug)]
pub struct DispatchLimits {
    /// The maximum number of key records.
    pub max_keys: usize,
    /// The maximum number of requests queued and in progress.
    pub max_requests: usize,
    /// How long the lease of a granted slot is valid without a renewal.
    pub lease: Millis,
    /// The limit on second attempts while the first is in progress. The default limit leaves them to the retry
    /// budget of the service alone.
    pub second_copies: SecondCopyLimit,
    /// How long a home may leave a slot request without a response before its targets are used
    /// directly.
    pub home_timeout: Millis,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        DispatchLimits {
            max_keys: 100_000,
            max_requests: 20_000,
            lease: Millis(3_000),
            second_copies: SecondCopyLimit::default(),
            home_timeout: Millis(500),
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
    /// The moving average of the response time in milliseconds.
    pub answer_ms: f64,
    /// Whether the target is ejected because of repeated failures.
    pub ejected: bool,
}

/// Which target a request would be sent to and why, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestExplanation {
    /// The target that would be chosen now.
    pub target: Option<Name>,
    /// The reason in words.
    pub reason: String,
}

/// Counters that are exported as metrics.
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
    /// Requests that got no second attempt although one was due, because the budget of second copies or of
    /// retries was exhausted or slots were scarce. Counted if second copies are enabled.
    pub hedges_withheld: u64,
    /// Requests whose response came from the second of two attempts in progress.
    pub hedges_won: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused as `not-run`.
    pub refused_not_run: u64,
    /// Requests refused because of overload.
    pub refused_overload: u64,
    /// Requests refused because of a limit of the tenant.
    pub refused_tenant: u64,
    /// Requests refused because the deadline passed.
    pub refused_deadline: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests cancelled by their clients.
    pub cancelled: u64,
    /// Requests forwarded to the owner of their key.
    pub forwarded: u64,
    /// Outcomes of attempts that are not in progress.
    pub unmatched: u64,
    /// Outcomes of attempts that had been cancelled before.
    pub late: u64,
    /// Slots granted to this VM by homes.
    pub grants: u64,
    /// Slots returned unused.
    pub grants_returned: u64,
    /// Grants ignored because they expired while the process was paused.
    pub grants_lapsed: u64,
    /// Attempts sent without a grant because the home was unreachable.
    pub direct: u64,
    /// Freed slots used for the next request without a new slot request to the home.
    pub reused: u64,
    /// Targets ejected.
    pub ejections: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Keys issued.
    pub keys_issued: u64,
    /// Requests whose key had already been used.
    pub keys_repeated: u64,
    /// Key records evicted to stay within the limit.
    pub keys_evicted: u64,
    /// Messages that contradict the state of this VM, such as grants for unknown targets.
    pub odd_messages: u64,
}
