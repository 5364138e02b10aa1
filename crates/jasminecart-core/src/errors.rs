//! Errors of the core.

use thiserror::Error;

use crate::version::DocumentErrors;

/// The result of a fallible operation of the core.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the core. Each module has its own error type, which converts into this type.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The document is invalid.
    #[error(transparent)]
    Document(#[from] DocumentErrors),
}
