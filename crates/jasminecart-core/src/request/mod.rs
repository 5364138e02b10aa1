//! Request dispatch: choice of targets, limits, retries, hedges and idempotency keys.
//!
//! | module | job |
//! |---|---|
//! | `dispatcher` | the public interface: state, inputs and outputs |
//! | `admit` | admission of a new request: key, readiness, tenant, queue |
//! | `assign` | assigns queued requests to slots of targets |
//! | `finish` | ends attempts and requests, retries and hedges |
//! | `messages` | handles messages from peers: slot requests, grants and key records |
//! | `handover` | hands key records over to a successor at a planned stop |
//! | `queue`, `tenants`, `retry_budget`, `score`, `concurrency_limit`, `keys` | one rule each, independent of the others |
//! | `target_index` | targets by service, and the home of each |
//! | `leases` | slots that this VM grants as a home |
//! | `slot_requests` | slots that this VM has requested from other homes |
//! | `outbox` | merges the outgoing messages to each VM |

mod admit;
mod assign;
mod concurrency_limit;
mod dispatcher;
mod finish;
mod handover;
mod hedging;
mod keys;
mod leases;
mod messages;
mod outbox;
mod queue;
mod retry_budget;
mod score;
mod slot_requests;
mod target_index;
mod tenants;
mod types;

pub use self::dispatcher::Dispatcher;
pub use self::types::{
    Action, AskItem, AskStamp, AttemptId, DispatchCounters, DispatchLimits, FailureCause,
    GrantItem, IssuedKey, KeyError, KeyRecords, KeyState, KeyUse, NotRunCause, Outcome, Refusal,
    RefusalReason, RequestExplanation, RequestId, RequestMessage, RequestMeta, RunState, TargetTag,
    TargetUse, Urgency,
};
