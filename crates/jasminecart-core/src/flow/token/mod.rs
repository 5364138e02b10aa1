//! Routing by a token that travels in the packets of a flow.
//!
//! Where the encapsulation offers 32 bits that both ends hand back, every VM can route every packet of an
//! open flow from the list of targets alone, without entries, owners or transfers. Only an opening needs a
//! decision. [`TokenRouter`] is the facade and `verdict` what it
//! returns; `steering` chooses the target of a new flow, `open_flows`
//! observes the flows that pass through this VM, `slowness` learns how fast targets answer, and `silence` collects evidence against targets that do
//! not answer. `docs/platform.md` gives the design; [`super::BucketRouter`] serves encapsulations without a token.

mod open_flows;
mod refusal;
mod router;
mod routing_token;
mod segment;
mod silence;
mod slowness;
mod steering;
mod target_state;
mod verdict;

pub use self::router::{TokenRouter, TokenRouterLimits};
pub use self::routing_token::RoutingToken;
pub use self::segment::{ClientSegment, FlowId, SegmentKind};
pub use self::steering::{Choice, Load};
pub use self::verdict::{
    Answered, Belief, Decision, Destination, DropCause, ResetCause, TokenCounters, Verdict,
};
