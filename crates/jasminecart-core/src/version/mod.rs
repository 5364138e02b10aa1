//! What lives as long as a revision of the environment document.

mod adoption;
mod compare;
mod document;
mod parse;
mod routes;
mod sharing;
mod targets;

pub use self::adoption::{
    Adoption, AdoptionAlert, AdoptionCounters, AdoptionLimits, DocumentMessage, Part, Piece,
    PlatformReply, Stamp, Step,
};
pub use self::compare::{Change, compare};
pub use self::document::{
    Class, Digest, Document, DocumentErrors, Limits, Protocol, Revision, Service, ServiceAddress,
    Target, TargetState, Tenant,
};
pub use self::routes::{Repeatable, RouteRule, Routes};
pub use self::sharing::{
    Knowledge, SharedChanges, SharedItem, Sharing, SharingCounters, SharingLimits, SharingMessage,
    SharingStep, Source,
};
pub use self::targets::{
    Effect, Expired, FORGOTTEN_AFTER, GONE_AFTER, LAPSE_GRACE, ListedTarget, Presence,
    TargetChange, TargetList, TargetRecord,
};
