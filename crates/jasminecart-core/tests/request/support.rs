//! Documents, members, requests and filters of actions that the tests share.

use std::net::SocketAddr;
use std::sync::Arc;

use jasminecart_core::names::{Incarnation, Name, VmId};
use jasminecart_core::process::{Member, MemberState, PeerAddress};
use jasminecart_core::request::{
    Action, AttemptId, DispatchLimits, Dispatcher, IssuedKey, Refusal, RequestId, RequestMeta,
};
use jasminecart_core::time::Millis;
use jasminecart_core::version::{Document, Revision};

pub(crate) const CLASSES: &str = "\
[class claims]
priority = 1
max_queue_time = 2s
[class uploads]
priority = 5
max_queue_time = 2s
[tenant flood]
rate = 10/s
burst = 5
concurrency = 3
[limits]
max_queue = 6
";

/// Returns a document with the service `ledger` on `targets` targets of two slots each.
pub(crate) fn document(revision: u64, targets: usize, extra: &str) -> Arc<Document> {
    let mut text =
        format!("{CLASSES}{extra}\n[service ledger]\nclass = claims\nshed_status = 503\n");
    for target in 0..targets {
        text += &format!(
            "[target t{target}]\nservice = ledger\ndata_centre = dc\naddress = 10.0.1.{target}:80\n"
        );
    }
    Arc::new(Document::parse(Revision(revision), &text).unwrap())
}

pub(crate) fn vm_id(index: usize) -> VmId {
    VmId::new("dc", format!("vm{index}"))
}

pub(crate) fn member(index: usize, state: MemberState, incarnation: u64) -> Member {
    let socket: SocketAddr = format!("10.0.0.{index}:1").parse().unwrap();
    let address = PeerAddress { control: socket, packets: socket, requests: socket };
    Member {
        vm: vm_id(index),
        incarnation: Incarnation(incarnation),
        state,
        size: 1 + index as u32 % 3,
        address,
        revision: Revision(1),
        heard_at: Millis::ZERO,
    }
}

/// Returns a dispatcher that knows no other VM and therefore sends to targets without slot
/// requests.
pub(crate) fn standalone(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(vm_id(0), Incarnation(1), 7, DispatchLimits::default());
    dispatcher.set_document(Millis(0), &document(1, targets, ""));
    dispatcher
}

pub(crate) fn meta(id: u64) -> RequestMeta {
    RequestMeta {
        id: RequestId(id),
        service: Name::new("ledger"),
        class: Name::new("claims"),
        tenant: Name::new("someone"),
        deadline: Millis(30_000),
        idempotent: false,
        repeatable: true,
        key: None,
    }
}

pub(crate) fn keyed(id: u64, key: &IssuedKey) -> RequestMeta {
    RequestMeta { key: Some(key.clone()), ..meta(id) }
}

/// Returns the attempts that the actions send to targets.
pub(crate) fn sends(actions: &[Action]) -> Vec<(RequestId, AttemptId, Name)> {
    let send = |action: &Action| match action {
        Action::Send { request, attempt, target, .. } => Some((*request, *attempt, target.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the attempt that the actions send, which must be exactly one.
pub(crate) fn sent(actions: &[Action]) -> AttemptId {
    let sends = sends(actions);
    assert_eq!(sends.len(), 1, "expected one attempt: {actions:?}");
    sends[0].1
}

pub(crate) fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}
