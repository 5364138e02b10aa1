//! Tests of the request dispatcher: contracts, fault cases, and seeded randomised runs.

mod contract;
mod faults;
mod random;
mod support;
mod world;
