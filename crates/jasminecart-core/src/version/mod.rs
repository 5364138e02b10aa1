//! Versioned configuration: the environment document, the routes, the list of targets, the evacuations,
//! and how VMs receive new revisions of them from the platform and from peers.

mod adoption;
mod compare;
mod document;
mod evacuations;
mod parse;
mod routes;
mod sharing;
mod store_revision;
mod targets;

pub use self::adoption::{
    Adoption, AdoptionAlert, AdoptionCounters, AdoptionLimits, DocumentId, DocumentMessage, Part,
    Piece, PlatformReply, Step,
};
pub use self::compare::{Change, compare};
pub use self::document::{
    Class, Digest, Document, DocumentErrors, Limits, Protocol, Revision, Service, ServiceAddress,
    Target, TargetState, Tenant,
};
pub use self::evacuations::{
    Evacuation, EvacuationChange, EvacuationEffect, EvacuationState, Evacuations, MAX_EVACUATIONS,
};
pub use self::routes::{Repeatable, RouteRule, Routes, ServiceRule};
pub use self::sharing::{
    SharedChanges, SharedItem, Sharing, SharingCounters, SharingLimits, SharingMessage,
    SharingStep, Source, TransferFailure, View,
};
pub use self::store_revision::StoreRevision;
pub use self::targets::{
    Effect, ExpiredTargets, REMOVAL_GRACE, REREGISTRATION_GRACE, Registration, TOMBSTONE_RETENTION,
    TargetChange, TargetEntry, TargetList, TargetRecord,
};
