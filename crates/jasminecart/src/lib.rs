//! The command line of jasminecart, and re-exports of the library crates.

pub mod command;
pub mod errors;
mod files;
mod operators;
pub mod story;

pub use jasminecart_core as core;
pub use jasminecart_entry as entry;
pub use jasminecart_standin as standin;

pub use crate::errors::{Error, Result};
