//! Routing by a token that travels in the packets of a flow.
//!
//! Where the encapsulation has a 32-bit field that both ends echo, every VM can route every packet of an
//! open flow from the list of targets alone, without entries, owners or transfers. Only an opening needs a
//! decision. [`TokenRouter`] routes packets and returns a [`Verdict`] for each. The modules around it:
//!
//! - `service_selector` divides the flows of a route among its services, by weight and by what `service_load`
//!   estimates that they can carry;
//! - `overload` limits new flows to overloaded services, in the order of `admission_order`;
//! - `target_selector` selects the target of a new flow, and `second_openings` that of a second copy;
//! - `cold_targets` limits new flows to targets that started recently, by the VMs that `cold_holders` selects;
//! - `target_tokens` finds the target of a token;
//! - `open_flows` tracks the flows that pass through this VM, `relative_latency` compares the latency of targets,
//!   `refusal` detects targets that refuse requests, and `silence` those that do not respond;
//! - `explanation` says for operators where a flow goes and why.
//!
//! `docs/platform.md` gives the design; [`super::BucketRouter`] serves encapsulations without a token.

mod admission_order;
mod cold_holders;
mod cold_targets;
mod explanation;
mod observed_target;
mod open_flows;
mod overload;
mod refusal;
mod relative_latency;
mod routing_token;
mod second_openings;
mod segment;
mod service_load;
mod service_selector;
mod silence;
mod target_selector;
mod target_tokens;
mod token_router;
mod verdict;

pub use self::admission_order::{AdmissionOrder, Precedence};
pub use self::cold_targets::{ColdSummary, WarmUpLimit};
pub use self::explanation::{
    AdmissionExplanation, Candidate, Exclusion, Explanation, Inputs, NewFlowExplanation,
    OpenFlowExplanation, Outcome, RouteExplanation, ServiceExplanation,
};
pub use self::overload::OverloadChange;
pub use self::routing_token::RoutingToken;
pub use self::second_openings::{SecondCopy, SecondCopyEvent, SecondCopyRefusal, SecondCopyTiming};
pub use self::segment::{ClientSegment, FlowId, SegmentKind};
pub use self::service_selector::{Admission, ServiceCandidate, ServiceChoice, choose_service};
pub use self::target_selector::{Choice, Load};
pub use self::token_router::{TokenRouter, TokenRouterLimits};
pub use self::verdict::{
    CompletedRequest, Decision, Destination, DropCause, ResetCause, SuspicionChange, TokenCounters,
    Verdict,
};
