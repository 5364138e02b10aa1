//! The control actor, which owns `Adoption`, `Membership` and `Dispatcher`.
//!
//! One actor owns the three state machines, so that each sees documents, members and messages in one order.
//! The actor never waits for another task: it queues or drops, and counts what it dropped.

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
pub(crate) use self::status::{Counts, Left, Status};
use crate::tasks::Tasks;

/// The most messages that wait for the actor. Senders wait when it is full.
const MAILBOX: usize = 4_096;

/// Ticks go before other messages, because a busy mailbox does not serve its messages in order.
const TICK_PRIORITY: u32 = 1;

/// What a request has to do.
#[derive(Clone, Debug)]
pub(crate) enum Directive {
    /// Send the request to a target.
    Send {
        attempt: AttemptId,
        target: Name,
        address: SocketAddr,
        deadline: jasminecart_core::Millis,
    },
    /// Answer the client with a refusal.
    Refuse(Refusal),
    /// End an attempt.
    Cancel { attempt: AttemptId },
    /// Pass the request on to the VM that issued its key.
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
pub(crate) struct WhatIsLeft;

#[derive(Debug)]
pub(crate) struct GetStatus;

#[derive(Debug)]
pub(crate) struct GetCounts;

#[derive(Debug)]
pub(crate) struct ExplainService(pub(crate) Name);

/// The address of the control actor. Calls return `None` or `false` after the process was killed.
///
/// Every call waits until the actor has handled the message. The mailbox is a heap that does not keep the
/// order of waiting messages of equal priority, so a sender that does not wait can be overtaken by its own
/// next message: the end of a request was handled before its submission, and the request stayed for ever.
#[derive(Clone)]
pub(crate) struct Control(Address<ControlActor>);

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Control")
    }
}

impl Control {
    /// Creates the mailbox. The actor itself needs the address of its mailbox, so it is started later.
    pub(crate) fn new() -> (Control, Mailbox<ControlActor>) {
        let (address, mailbox) = Mailbox::bounded(MAILBOX);
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

    /// Waits until the tick was handled, so that ticks do not pile up behind a busy actor.
    pub(crate) async fn tick(&self) -> bool {
        self.0.send(Tick).priority(TICK_PRIORITY).await.is_ok()
    }

    pub(crate) async fn leave(&self) {
        let _ = self.0.send(Leave).await;
    }

    /// Tells what is left to do before the process may end.
    pub(crate) async fn what_is_left(&self) -> Option<Left> {
        self.0.send(WhatIsLeft).await.ok().flatten()
    }

    pub(crate) async fn status(&self) -> Option<Status> {
        self.0.send(GetStatus).await.ok()
    }

    pub(crate) async fn counts(&self) -> Option<Counts> {
        self.0.send(GetCounts).await.ok()
    }

    pub(crate) async fn explain_service(&self, service: Name) -> Option<RequestExplanation> {
        self.0.send(ExplainService(service)).await.ok()
    }
}

/// Where the control actor publishes the document in force.
pub(crate) type Documents = watch::Sender<Option<Arc<Document>>>;
