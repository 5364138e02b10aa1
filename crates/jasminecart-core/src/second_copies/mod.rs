//! Second copies of openings and requests that may be repeated: how many may be sent, and when.
//!
//! Both the token router ([`crate::flow::token`]) and the dispatcher ([`crate::request`]) send second
//! copies to reduce tail latency. Operators limit the extra work on targets. `docs/design/tail-latency.md`
//! gives the alternatives and the figures.

mod budget;
mod latencies;

pub use self::budget::{SecondCopyBudget, SecondCopyLimit};
pub use self::latencies::RecentLatencies;
