//! What lives as long as a process: the members of the data centre.

mod members;
mod membership;

pub use self::members::{Member, MemberState, Members, PeerAddress, VmHint};
pub use self::membership::{Event, MemberCounters, MemberLimits, MemberMessage, Membership};
