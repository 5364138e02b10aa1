//! What lives as long as a connection: the routing of flows.
//!
//! Section 6 of `docs/design.md` gives the design. [`Router`] is the facade; each other module has one part:
//! `table` assigns buckets to targets, `generations` derives base and current targets, `exceptions` holds
//! the entries, `owners` ranks the members for a flow, `freshness` tells whether this VM may trust its own
//! tables, `transfers` moves entries between owners, and `fragments` remembers first fragments.

mod exceptions;
mod exchange;
mod fragments;
mod freshness;
mod generations;
mod hash;
mod messages;
mod owners;
mod packet;
mod revocations;
mod router;
mod rules;
mod table;
pub mod token;
mod transfers;
mod types;

pub use self::hash::{flow_hash, vm_hash};
pub use self::messages::{
    FlowMessage, GenerationTarget, ServiceGenerations, TransferEntry, TransferGroup,
};
pub use self::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey, PacketKind};
pub use self::router::Router;
pub use self::table::{BUCKETS, bucket_of};
pub use self::types::{DropReason, FlowCounters, FlowExplanation, FlowLimits, Route};
