//! What lives as long as a process: the members of the data centre.

mod contacts;
mod detect;
mod discovery;
mod exchange;
mod gossip;
mod limits;
mod members;
mod membership;
mod own;
mod publish;
pub(crate) mod rendezvous;
mod table;
mod wire;

pub use self::discovery::{Discovery, DiscoveryMessage};
pub use self::limits::{MemberCounters, MemberLimits};
pub use self::members::{Member, MemberState, Members, PeerAddress, VmHint};
pub use self::membership::{Event, Membership};
pub use self::wire::{Claim, Head, MemberMessage, Stated, TableHash, Update};
