//! Routing of TCP and UDP flows: every packet of a flow goes to the target that was chosen when it
//! opened.
//!
//! There are two routers. [`BucketRouter`] hashes a flow to a bucket and looks up the bucket's base
//! target in a table that every VM of the data centre computes alike. Flows that are not on their
//! base target are exceptions: two owner VMs, chosen by rendezvous hashing, hold an exact entry for
//! each, and other VMs forward packets to an owner or use a hint (a cached entry) from one.
//! [`token::TokenRouter`] needs no such entries. Where the encapsulation has room for a routing
//! token, each packet of an open flow carries the token of its target, so any VM can route the
//! packet from the list of targets alone, and only the opening packet needs a decision.
//! `jasminecart-entry` uses the bucket router, and `jasminecart-forward` the token router.
//!
//! Section 6 of `docs/design.md` gives the design of the bucket router. `bucket_router` has its
//! state and inputs, `rules` the decision for each packet, and `exchange` the messages between VMs.
//! `table` assigns buckets to targets, `generations` derives base and current targets, `exceptions`
//! holds the entries, `owners` ranks the members for a flow, `freshness` decides whether the view
//! of this VM is up to date, `revocations` withdraws hints, `transfers` sends entries to other
//! owners, and `fragments` maps fragmented packets to flows.

mod bucket_router;
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
mod rules;
mod table;
pub mod token;
mod transfers;
mod types;

pub use self::bucket_router::BucketRouter;
pub use self::hash::{flow_hash, vm_hash};
pub use self::messages::{
    FlowMessage, GenerationTarget, ServiceGenerations, TransferEntry, TransferGroup,
};
pub use self::packet::{FlowKey, FlowPacket, ForwardHeader, FragmentKey, PacketKind};
pub use self::table::{BUCKETS, bucket_of};
pub use self::types::{DropReason, FlowCounters, FlowExplanation, FlowLimits, Route};
