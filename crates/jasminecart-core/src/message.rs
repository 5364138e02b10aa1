//! Messages between entry VMs.

use serde::{Deserialize, Serialize};

use crate::flow::FlowMessage;
use crate::names::VmId;
use crate::process::MemberMessage;
use crate::request::RequestMessage;
use crate::version::DocumentMessage;

/// A message from a module to the same module on another VM.
///
/// Variants are encoded by their position, so new ones have to be added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Flow routing.
    Flow(FlowMessage),
    /// Request dispatch.
    Request(RequestMessage),
    /// Document adoption.
    Document(DocumentMessage),
    /// Membership.
    Member(MemberMessage),
}

/// A message with its destination. The caller of a module sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The VM that receives the message.
    pub to: VmId,
    /// The message.
    pub message: PeerMessage,
}

impl Outgoing {
    /// Creates an outgoing message.
    pub fn new(to: VmId, message: impl Into<PeerMessage>) -> Outgoing {
        Outgoing { to, message: message.into() }
    }
}

impl From<FlowMessage> for PeerMessage {
    fn from(message: FlowMessage) -> Self {
        PeerMessage::Flow(message)
    }
}

impl From<RequestMessage> for PeerMessage {
    fn from(message: RequestMessage) -> Self {
        PeerMessage::Request(message)
    }
}

impl From<DocumentMessage> for PeerMessage {
    fn from(message: DocumentMessage) -> Self {
        PeerMessage::Document(message)
    }
}

impl From<MemberMessage> for PeerMessage {
    fn from(message: MemberMessage) -> Self {
        PeerMessage::Member(message)
    }
}
