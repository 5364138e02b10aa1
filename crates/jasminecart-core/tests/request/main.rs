//! Tests of the request dispatcher: contract tests, fault cases and seeded randomised runs.

mod contract;
mod faults;
mod hedging;
mod random;
mod support;
mod world;
