//! What lives as long as a revision of the environment document.

mod adoption;
mod compare;
mod document;
mod parse;

pub use self::adoption::{
    Adoption, AdoptionAlert, AdoptionCounters, AdoptionLimits, DocumentMessage, Part, Piece,
    PlatformReply, Stamp, Step,
};
pub use self::compare::{Change, compare};
pub use self::document::{
    Class, Digest, Document, DocumentErrors, Limits, Protocol, Revision, Service, ServiceAddress,
    Target, TargetState, Tenant,
};
