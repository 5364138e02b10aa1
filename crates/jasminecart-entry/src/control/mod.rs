//! The control actor, which owns `Adoption`, `Membership` and `Dispatcher`.
//!
//! One actor owns the three state machines, so that they all see documents, members and messages in the same
//! order. The actor never waits for another task: if a channel is full it retries later or drops the message,
//! and counts drops.

mod actor;
mod peers;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::message::Outgoing;
use jasminecart_core::names::{Name, VmId};
use jasminecart_core::process::VmHint;
use jasminecart_core::request::{
    AttemptId, IssuedKey, Outcome, Refusal, RequestExplanation, RequestId, RequestMeta,
};
use jasminecart_core::version::{Document, PlatformReply};
use jasminecart_peer::Delivered;
use tokio::sync::{mpsc, watch};
use xtra::{Address, Mailbox};

pub(crate) use self::actor::{ControlActor, ControlParts, longest_deadline};
pub(crate) use self::status::{ControlCounters, RemainingWork, Status};
use crate::tasks::Tasks;

/// The capacity of the actor's mailbox. Senders wait while it is full.
const MAILBOX_CAPACITY: usize = 4_096;

/// Ticks take priority over other messages, because a busy mailbox does not deliver messages in order.
const TICK_PRIORITY: u32 = 1;

/// An instruction of the control actor to the task of a request.
#[derive(Clone, Debug)]
pub(crate) enum Directive {
    /// Send the request to a target.
    Send {
        attempt: AttemptId,
        target: Name,
        address: SocketAddr,
        deadline: jasminecart_core::Millis,
    },
    /// Refuse the request with an error response.
    Refuse(Refusal),
    /// Cancel an attempt.
    Cancel { attempt: AttemptId },
    /// Forward the request to the VM that issued its key.
    Forward { vm: VmId, address: SocketAddr },
}

#[derive(Debug)]
pub(crate) struct Submit {
    pub(crate) meta: RequestMeta,
    pub(crate) forwarded: bool,
    pub(crate) directives: mpsc::UnboundedSender<Directive>,
}

#[derive(Debug)]
pub(crate) struct AttemptEnded {
    pub(crate) attempt: AttemptId,
    pub(crate) outcome: Outcome,
}

#[derive(Debug)]
pub(crate) struct CancelRequest(pub(crate) RequestId);

#[derive(Debug)]
pub(crate) struct RequestEnded(pub(crate) RequestId);

#[derive(Debug)]
pub(crate) struct IssueKey;

#[derive(Debug)]
pub(crate) struct FromPeer(pub(crate) Delivered);

#[derive(Debug)]
pub(crate) struct ToPeer(pub(crate) Outgoing);

#[derive(Debug)]
pub(crate) struct FromPlatform(pub(crate) PlatformReply);

#[derive(Debug)]
pub(crate) struct VmList(pub(crate) Vec<VmHint>);

#[derive(Debug)]
pub(crate) struct Start;

#[derive(Debug)]
pub(crate) struct Tick;

#[derive(Debug)]
pub(crate) struct Leave;

#[derive(Debug)]
pub(crate) struct GetRemainingWork;

#[derive(Debug)]
pub(crate) struct GetStatus;

#[derive(Debug)]
pub(crate) struct GetCounters;

#[derive(Debug)]
pub(crate) struct ExplainService(pub(crate) Name);

/// A handle of the control actor. Calls return `None` or `false` after the VM was killed.
///
/// Every call waits until the actor has handled the message. The mailbox is a heap that does not preserve the
/// order of messages of equal priority, so a sender that does not wait can be overtaken by its own next
/// message: when the end of a request was handled before its submission, the request was never removed.
#[derive(Clone)]
pub(crate) struct Control(Address<ControlActor>);

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Control")
    }
}

impl Control {
    /// Creates the mailbox. The actor is started later, because some of its parts need this handle.
    pub(crate) fn new() -> (Control, Mailbox<ControlActor>) {
        let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
        (Control(address), mailbox)
    }

    pub(crate) fn run(tasks: &Tasks, mailbox: Mailbox<ControlActor>, actor: ControlActor) {
        tasks.spawn(xtra::run(mailbox, actor));
    }

    pub(crate) async fn submit(
        &self,
        meta: RequestMeta,
        forwarded: bool,
        directives: mpsc::UnboundedSender<Directive>,
    ) -> bool {
        self.0.send(Submit { meta, forwarded, directives }).await.is_ok()
    }

    pub(crate) async fn attempt_ended(&self, attempt: AttemptId, outcome: Outcome) {
        let _ = self.0.send(AttemptEnded { attempt, outcome }).await;
    }

    pub(crate) async fn cancel(&self, request: RequestId) {
        let _ = self.0.send(CancelRequest(request)).await;
    }

    pub(crate) async fn request_ended(&self, request: RequestId) {
        let _ = self.0.send(RequestEnded(request)).await;
    }

    pub(crate) async fn issue_key(&self) -> Option<IssuedKey> {
        self.0.send(IssueKey).await.ok().flatten()
    }

    pub(crate) async fn deliver(&self, delivered: Delivered) -> bool {
        self.0.send(FromPeer(delivered)).await.is_ok()
    }

    pub(crate) async fn to_peer(&self, outgoing: Outgoing) -> bool {
        self.0.send(ToPeer(outgoing)).await.is_ok()
    }

    pub(crate) async fn platform_reply(&self, reply: PlatformReply) {
        let _ = self.0.send(FromPlatform(reply)).await;
    }

    pub(crate) async fn vm_list(&self, list: Vec<VmHint>) {
        let _ = self.0.send(VmList(list)).await;
    }

    pub(crate) async fn start(&self) {
        let _ = self.0.send(Start).await;
    }

    /// Waits until the tick was handled, so that ticks do not accumulate in the mailbox of a busy actor.
    pub(crate) async fn tick(&self) -> bool {
        self.0.send(Tick).priority(TICK_PRIORITY).await.is_ok()
    }

    pub(crate) async fn leave(&self) {
        let _ = self.0.send(Leave).await;
    }

    /// Returns what a planned stop still has to wait for, or `None` if the process may end.
    pub(crate) async fn remaining_work(&self) -> Option<RemainingWork> {
        self.0.send(GetRemainingWork).await.ok().flatten()
    }

    pub(crate) async fn status(&self) -> Option<Status> {
        self.0.send(GetStatus).await.ok()
    }

    pub(crate) async fn counters(&self) -> Option<ControlCounters> {
        self.0.send(GetCounters).await.ok()
    }

    pub(crate) async fn explain_service(&self, service: Name) -> Option<RequestExplanation> {
        self.0.send(ExplainService(service)).await.ok()
    }
}

/// Publishes the current document.
pub(crate) type DocumentSender = watch::Sender<Option<Arc<Document>>>;
