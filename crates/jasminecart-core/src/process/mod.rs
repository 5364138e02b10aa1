//! Membership of a data centre: SWIM-style failure detection, gossip and anti-entropy.
//!
//! The state of this module lives as long as the process.

mod anti_entropy;
mod contacts;
mod discovery;
mod failure_detector;
mod gossip;
mod limits;
mod local_member;
mod members;
mod membership;
mod publish;
pub(crate) mod rendezvous;
mod table;
mod wire;

pub use self::discovery::{Discovery, DiscoveryMessage, Introduction};
pub use self::limits::{MemberCounters, MemberLimits};
pub use self::members::{Member, MemberState, Members, PeerAddress, VmHint};
pub use self::membership::{Event, Membership};
pub use self::wire::{Claim, DeclaredState, Head, MemberMessage, TableHash, Update};
