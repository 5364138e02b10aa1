//! What lives as long as a request: dispatch to targets, limits, retries and idempotency keys.
//!
//! | module | job |
//! |---|---|
//! | `dispatcher` | the facade: state, inputs and outputs |
//! | `admit` | judges a new request: key, readiness, tenant, queue |
//! | `assign` | moves queued requests to slots of targets |
//! | `finish` | ends attempts and requests, retries and hedges |
//! | `peers` | messages of slots and of handed-over keys |
//! | `queue`, `tenants`, `budget`, `score`, `ceiling`, `keys` | one rule each, without knowledge of the others |
//! | `directory`, `homes`, `asks`, `outbox` | targets and their homes, slots granted, slots asked for, messages merged |

mod admit;
mod asks;
mod assign;
mod budget;
mod ceiling;
mod directory;
mod dispatcher;
mod finish;
mod handover;
mod homes;
mod keys;
mod outbox;
mod peers;
mod queue;
mod score;
mod tenants;
mod types;

pub use self::dispatcher::Dispatcher;
pub use self::types::{
    Action, AskItem, AskStamp, AttemptId, DispatchCounters, DispatchLimits, FailureCause,
    GrantItem, IssuedKey, KeyError, KeyRecords, KeyState, KeyUse, NotRunCause, Outcome, Refusal,
    RefusalReason, RequestExplanation, RequestId, RequestMessage, RequestMeta, RunState, TargetTag,
    TargetUse, Urgency,
};
