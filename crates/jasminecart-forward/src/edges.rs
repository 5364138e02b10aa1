//! The interfaces that a platform implements: the packet format, and the client of its store of routes and
//! targets, which is called the directory.

use std::future::Future;
use std::net::SocketAddrV4;

use jasminecart_core::flow::token::{ClientSegment, RoutingToken};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{
    EvacuationChange, Routes, StoreRevision, TargetChange, TargetRecord,
};
use thiserror::Error;

/// Why a datagram is not a valid client segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum SegmentError {
    /// It is shorter than the header, or than its length field says.
    #[error("the datagram is shorter than its header or its length field says")]
    Short,
    /// It is longer than its length field says.
    #[error("the datagram is longer than its length field says")]
    Long,
    /// Only a target sends such a segment.
    #[error("the segment is of a kind that only targets send")]
    FromTarget,
    /// Its flags contradict each other.
    #[error("the flags of the segment contradict each other")]
    Flags,
}

/// The format of packets between clients, this process and targets.
pub trait Encapsulation: 'static {
    /// Decodes a datagram from a client.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a valid client segment.
    fn decode(&self, datagram: &[u8]) -> Result<ClientSegment, SegmentError>;

    /// Encodes a client's datagram for the target with `label` and `token` into `out`.
    fn encode(&self, datagram: &[u8], label: u64, token: RoutingToken, out: &mut Vec<u8>);

    /// Encodes the datagram that resets the flow of `segment` into `out`, and returns its destination.
    fn reset(&self, segment: &ClientSegment, out: &mut Vec<u8>) -> SocketAddrV4;
}

/// The whole content of the store, as of `revision` or later.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The routes, if the store has valid ones.
    pub routes: Option<Routes>,
    /// The requested evacuations.
    pub evacuations: Vec<EvacuationChange>,
    /// The targets.
    pub targets: Vec<TargetRecord>,
    /// The revision from which a watch continues.
    pub revision: StoreRevision,
    /// How many entries were refused.
    pub refused: u64,
}

/// Changes of the store since an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The newest routes, if they changed.
    pub routes: Option<Routes>,
    /// Changes of evacuations, oldest first.
    pub evacuations: Vec<EvacuationChange>,
    /// Changes of targets, oldest first.
    pub targets: Vec<TargetChange>,
    /// The revision from which the next watch continues.
    pub revision: StoreRevision,
    /// How many entries were refused.
    pub refused: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum DirectoryError {
    /// The store no longer has the changes that a watch requested.
    #[error("the directory no longer has the changes after the requested revision")]
    HistoryLost,
    /// The store was restored from a copy, so that the requested changes are of a lost history.
    #[error("the directory was restored from a copy")]
    Restored,
    /// The store responds in an earlier epoch than it did before.
    #[error("the directory responds in an earlier epoch than before")]
    OldEpoch,
    /// The store limits the rate of calls.
    #[error("too many calls")]
    Busy,
    /// The store reports that it is unavailable and did not handle the call.
    #[error("the directory is unavailable")]
    Unavailable,
    /// No response was received in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The response can't be parsed.
    #[error("the answer can't be read: {0}")]
    Malformed(String),
}

/// A client that reads and watches the platform's store of routes and targets.
pub trait Directory: 'static {
    /// Reads the whole store.
    fn read(&self) -> impl Future<Output = Result<Snapshot, DirectoryError>>;

    /// Returns the changes after `after`, or none if `wait` passes without any.
    fn watch(
        &self,
        after: StoreRevision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, DirectoryError>>;
}
