//! The token in the packets of a flow that identifies its target.

use std::num::NonZeroU32;

use crate::flow::hash::hash;
use crate::names::Name;

/// A value that every packet of an open flow carries and that identifies the flow's target.
///
/// The token is derived from the target's name alone, so that every VM that knows the target can route the
/// packet without having seen the flow. Zero means "no token" in the encapsulation and is never used. See
/// `docs/platform.md`, "Routing tokens".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoutingToken(NonZeroU32);

impl RoutingToken {
    /// Returns the token of a target.
    pub fn of(target: &Name) -> RoutingToken {
        let hashed = hash(target.as_str());
        let folded = (hashed >> 32) as u32 ^ hashed as u32;
        RoutingToken(NonZeroU32::new(folded).unwrap_or(NonZeroU32::MIN))
    }

    /// Decodes the token field of a packet. Returns `None` for zero, which means "no token".
    pub fn from_wire(value: u32) -> Option<RoutingToken> {
        NonZeroU32::new(value).map(RoutingToken)
    }

    /// Returns the value of the token field in packets.
    pub fn get(self) -> u32 {
        self.0.get()
    }
}
