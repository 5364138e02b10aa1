//! The edges of the process: the packet format and the directory of routes and targets.

use std::future::Future;
use std::net::SocketAddrV4;

use jasminecart_core::flow::token::{ClientSegment, RoutingToken};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Revision, Routes, TargetChange, TargetRecord};
use thiserror::Error;

/// Why a datagram is not a segment of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum SegmentError {
    /// It is shorter than the header, or than its own length says.
    #[error("the datagram is cut short")]
    Short,
    /// It is longer than its own length says.
    #[error("the datagram has bytes after its data")]
    Long,
    /// Only a target sends such a segment.
    #[error("the segment was sent by a target")]
    FromTarget,
    /// Its flags contradict each other.
    #[error("the flags of the segment contradict each other")]
    Flags,
}

/// The format of packets between clients, this process and targets.
pub trait Encapsulation: 'static {
    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Says why the datagram is no segment of a client.
    fn decode(&self, datagram: &[u8]) -> Result<ClientSegment, SegmentError>;

    /// Writes into `out` the datagram that takes a client's datagram to the target with `label`.
    fn encode(&self, datagram: &[u8], label: u64, token: RoutingToken, out: &mut Vec<u8>);

    /// Writes into `out` the datagram that resets the flow of `segment`, and returns its destination.
    fn reset(&self, segment: &ClientSegment, out: &mut Vec<u8>) -> SocketAddrV4;
}

/// All that a directory holds, as of `revision` or later.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The routes, if there are valid ones.
    pub routes: Option<Routes>,
    /// The targets.
    pub targets: Vec<TargetRecord>,
    /// The revision from which a watch continues.
    pub revision: Revision,
    /// How many entries were refused.
    pub refused: u64,
}

/// What changed in a directory.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The newest routes, if they changed.
    pub routes: Option<Routes>,
    /// Changes of targets, oldest first.
    pub targets: Vec<TargetChange>,
    /// The revision from which the next watch continues.
    pub revision: Revision,
    /// How many entries were refused.
    pub refused: u64,
}

/// Why a call to a directory failed.
#[derive(Debug, Error)]
pub enum DirectoryError {
    /// The directory no longer has the history that a watch asked for.
    #[error("the history is no longer available")]
    HistoryLost,
    /// The directory asks for fewer calls.
    #[error("too many calls")]
    Busy,
    /// The directory did nothing.
    #[error("the directory is unavailable")]
    Unavailable,
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(String),
    /// The answer can't be read.
    #[error("the answer can't be read: {0}")]
    Malformed(String),
}

/// A directory of routes and targets that can be read and watched.
pub trait Directory: 'static {
    /// Reads everything.
    fn read(&self) -> impl Future<Output = Result<Snapshot, DirectoryError>>;

    /// Waits for changes after `after`, for at most `wait`.
    fn watch(
        &self,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, DirectoryError>>;
}
