//! Routing by a token and what it is fed with. Each module names the loads and failures that it guards against.

mod refusing_targets;
mod routing;
mod sharing;
mod silent_targets;
mod slow_targets;
mod support;
