//! What lives as long as a request: dispatch to targets, limits, retries and idempotency keys.

mod dispatcher;
mod types;

pub use self::dispatcher::Dispatcher;
pub use self::types::{
    Action, AttemptId, DispatchCounters, DispatchLimits, FailureCause, IssuedKey, KeyError,
    NotRunCause, Outcome, Refusal, RefusalReason, RequestExplanation, RequestId, RequestMessage,
    RequestMeta, RunState, TargetUse,
};
