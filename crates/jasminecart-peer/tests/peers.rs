//! Tests of the peer service over loopback connections.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes};
use jasminecart_core::flow::FlowMessage;
use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, VmId};
use jasminecart_peer::{
    Backoff, Delivered, Envelope, LinkLimits, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_MESSAGES, PROTOCOL,
    PeerLinks, PeerServer,
};
use proptest::prelude::*;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::{Code, Status};

/// The longest wait for a condition. Waits end early when the test passes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "condition not reached in time: {what}");
}

fn vm(name: &str) -> VmId {
    VmId::new("ub-1", name)
}

fn message(number: u64) -> PeerMessage {
    PeerMessage::Flow(FlowMessage::Hint { flow: number, target: 0 })
}

fn numbers(delivered: &Delivered) -> Vec<u64> {
    let number = |message: &PeerMessage| match message {
        PeerMessage::Flow(FlowMessage::Hint { flow, .. }) => *flow,
        other => panic!("unexpected {other:?}"),
    };
    delivered.messages.iter().map(number).collect()
}

fn limits() -> LinkLimits {
    LinkLimits {
        call_timeout: Duration::from_millis(200),
        initial_backoff: Duration::from_millis(10),
        max_backoff: Duration::from_millis(50),
        ..LinkLimits::default()
    }
}

fn links(limits: LinkLimits) -> PeerLinks {
    PeerLinks::new(vm("vm-1"), Incarnation(7), limits)
}

async fn server(address: &str) -> (PeerServer, mpsc::Receiver<Delivered>) {
    let listener = TcpListener::bind(address).await.unwrap();
    let (inbox, delivered) = mpsc::channel(16);
    (PeerServer::start(listener, inbox).unwrap(), delivered)
}

async fn receive(delivered: &mut mpsc::Receiver<Delivered>) -> Delivered {
    tokio::time::timeout(WAIT_TIMEOUT, delivered.recv()).await.unwrap().unwrap()
}

// Guards against messages that are lost, reordered or attributed to another VM.
#[tokio::test]
async fn messages_arrive_in_order_with_their_sender() {
    let (server, mut delivered) = server("127.0.0.1:0").await;
    let mut links = links(limits());
    (0..100).for_each(|n| links.send(&vm("vm-2"), server.address(), message(n)));
    let mut found = Vec::new();
    while found.len() < 100 {
        let next = receive(&mut delivered).await;
        assert_eq!((&next.from, next.incarnation), (&vm("vm-1"), Incarnation(7)));
        found.extend(numbers(&next));
    }
    assert_eq!(found, (0..100).collect::<Vec<u64>>());
    eventually("all messages are acknowledged", || links.is_idle()).await;
    assert_eq!(links.counters().sent_messages, 100);
    assert_eq!(server.counters().received_messages, 100);
}

// Guards against losing messages for a peer that has not started yet, and against an unbounded queue.
#[tokio::test]
async fn messages_are_queued_until_the_peer_starts_and_the_oldest_are_dropped() {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut links = links(LinkLimits { max_queued: 10, ..limits() });
    links.send(&vm("vm-2"), free, message(0));
    eventually("connecting fails", || links.counters().connect_failed > 1).await;
    (1..25).for_each(|n| links.send(&vm("vm-2"), free, message(n)));
    assert_eq!(links.counters().dropped_queue_full, 15);
    let (_server, mut delivered) = server(&free.to_string()).await;
    assert_eq!(numbers(&receive(&mut delivered).await), (15..25).collect::<Vec<u64>>());
}

// Guards against a queue limited only by the number of messages: a few large ones would exhaust the memory.
#[tokio::test]
async fn a_queue_is_bounded_in_bytes() {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let size = postcard::to_stdvec(&message(1)).unwrap().len();
    let mut links = links(LinkLimits { max_queued_bytes: 3 * size, ..limits() });
    (0..5).for_each(|_| links.send(&vm("vm-2"), free, message(1)));
    assert_eq!(links.counters().dropped_queue_full, 2);
}

// Guards against links that never reconnect to a peer after its process was replaced.
#[tokio::test]
async fn links_reconnect_to_a_restarted_peer() {
    let (first, mut delivered) = server("127.0.0.1:0").await;
    let address = first.address();
    let mut links = links(limits());
    links.send(&vm("vm-2"), address, message(1));
    assert_eq!(numbers(&receive(&mut delivered).await), [1]);
    drop(first);
    let mut second = None;
    eventually("the address is free", || {
        second = std::net::TcpListener::bind(address).ok();
        second.is_some()
    })
    .await;
    let listener = second.unwrap();
    listener.set_nonblocking(true).unwrap();
    let (inbox, mut delivered) = mpsc::channel(16);
    let _second = PeerServer::start(TcpListener::from_std(listener).unwrap(), inbox).unwrap();
    let mut number = 2;
    loop {
        links.send(&vm("vm-2"), address, message(number));
        number += 1;
        if let Ok(next) = tokio::time::timeout(Duration::from_millis(100), delivered.recv()).await {
            assert!(numbers(&next.unwrap())[0] >= 2);
            return;
        }
        assert!(number < 200, "no message reached the restarted peer");
    }
}

// Guards against keeping an unresponsive connection open for ever, and against sending a message twice whose
// delivery is unconfirmed.
#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let unresponsive = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // An empty HTTP/2 SETTINGS frame, so that the client considers the connection established.
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"\0\0\0\x04\0\0\0\0\0").await.unwrap();
        let mut ignored = Vec::new();
        let _ = stream.read_to_end(&mut ignored).await;
        listener
    });
    let mut links = links(limits());
    links.send(&vm("vm-2"), address, message(1));
    eventually("the connection is replaced", || links.counters().replaced_silent == 1).await;
    let listener = tokio::time::timeout(WAIT_TIMEOUT, unresponsive).await.unwrap().unwrap();
    let (inbox, mut delivered) = mpsc::channel(16);
    let _server = PeerServer::start(listener, inbox).unwrap();
    links.send(&vm("vm-2"), address, message(2));
    assert_eq!(numbers(&receive(&mut delivered).await), [2]);
    assert_eq!(links.counters().dropped_in_doubt, 1);
}

// Guards against replacing the connection to a receiver that is only overloaded, and against an unbounded
// queue on the receiving side.
#[tokio::test]
async fn an_overloaded_receiver_refuses_envelopes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (inbox, _delivered) = mpsc::channel(1);
    let server = PeerServer::start(listener, inbox).unwrap();
    let mut links = links(limits());
    for n in 0..3 {
        links.send(&vm("vm-2"), server.address(), message(n));
        eventually("the message is sent", || links.is_idle()).await;
    }
    assert_eq!(server.counters().received_overload, 2);
    assert_eq!((links.counters().refused_by_peer, links.counters().connected), (2, 1));
}

// Guards against connections that outlive the server: a killed VM would keep receiving messages.
#[tokio::test]
async fn a_dropped_server_closes_its_connections() {
    let (server, mut delivered) = server("127.0.0.1:0").await;
    let address = server.address();
    let mut links = links(limits());
    links.send(&vm("vm-2"), address, message(1));
    receive(&mut delivered).await;
    drop(server);
    links.send(&vm("vm-2"), address, message(2));
    let counters = || links.counters();
    eventually("connecting fails", || counters().connect_failed + counters().replaced_failed > 0)
        .await;
    assert!(delivered.recv().await.is_none());
}

// Guards against keeping the queues of removed VMs.
#[tokio::test]
async fn the_link_to_a_removed_vm_is_closed() {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut links = links(limits());
    links.send(&vm("vm-2"), free, message(1));
    links.retain(&BTreeSet::from([vm("vm-2")]));
    assert_eq!(links.counters().dropped_no_peer, 0);
    links.retain(&BTreeSet::new());
    assert_eq!(links.counters().dropped_no_peer, 1);
    assert!(links.is_idle());
}

// Guards against retry storms and against unbounded delays.
#[test]
fn backoff_grows_to_its_maximum_and_resets() {
    let (first, longest) = (Duration::from_millis(100), Duration::from_secs(2));
    let mut backoff = Backoff::new(first, longest);
    let mut last = Duration::ZERO;
    for _ in 0..100 {
        last = backoff.next_delay();
        assert!(last >= first / 2 && last <= longest, "{last:?}");
    }
    assert!(last >= longest / 2);
    backoff.reset();
    assert!(backoff.next_delay() <= first);
}

/// Sends raw bytes as a message, bypassing the codec of the service.
#[derive(Default)]
struct RawCodec;

impl Codec for RawCodec {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = RawCodec;
    type Decoder = RawCodec;

    fn encoder(&mut self) -> RawCodec {
        RawCodec
    }

    fn decoder(&mut self) -> RawCodec {
        RawCodec
    }
}

impl Encoder for RawCodec {
    type Item = Bytes;
    type Error = Status;

    fn encode(&mut self, item: Bytes, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        dst.put(item);
        Ok(())
    }
}

impl Decoder for RawCodec {
    type Item = Bytes;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<Bytes>, Status> {
        Ok(Some(src.copy_to_bytes(src.remaining())))
    }
}

async fn call(address: SocketAddr, path: &'static str, bytes: Vec<u8>) -> Result<(), Code> {
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{address}"));
    let channel = channel.unwrap().connect().await.unwrap();
    let mut grpc = tonic::client::Grpc::new(channel);
    grpc.ready().await.unwrap();
    let req = tonic::Request::new(Bytes::from(bytes));
    let path = http::uri::PathAndQuery::from_static(path);
    grpc.unary(req, path, RawCodec).await.map(|_| ()).map_err(|status| status.code())
}

const DELIVER: &str = "/jasminecart.peer.v1.Peer/Deliver";

fn envelope() -> Envelope {
    let (protocol, from, incarnation) = (PROTOCOL, vm("vm-9"), Incarnation(1));
    Envelope { protocol, from, incarnation, messages: vec![message(1)] }
}

fn encoded(envelope: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(envelope).unwrap()
}

fn truncated() -> Vec<u8> {
    let mut bytes = encoded(&envelope());
    bytes.truncate(bytes.len() - 1);
    bytes
}

fn trailing_byte() -> Vec<u8> {
    let mut bytes = encoded(&envelope());
    bytes.push(0);
    bytes
}

fn other_protocol() -> Vec<u8> {
    encoded(&Envelope { protocol: PROTOCOL + 1, ..envelope() })
}

fn invalid_name() -> Vec<u8> {
    encoded(&Envelope { from: VmId::new("ub-1", "a b\n"), ..envelope() })
}

fn too_many_messages() -> Vec<u8> {
    let messages = vec![message(1); MAX_ENVELOPE_MESSAGES + 1];
    encoded(&Envelope { messages, ..envelope() })
}

fn count_without_messages() -> Vec<u8> {
    let mut bytes = encoded(&Envelope { messages: Vec::new(), ..envelope() });
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    bytes
}

// Guards against malformed input that is accepted, not counted, or makes the receiver allocate memory.
#[test_case(truncated(), DELIVER, Code::InvalidArgument, "malformed"; "truncated")]
#[test_case(trailing_byte(), DELIVER, Code::InvalidArgument, "malformed"; "bytes after the end")]
#[test_case(invalid_name(), DELIVER, Code::InvalidArgument, "malformed"; "invalid name")]
#[test_case(too_many_messages(), DELIVER, Code::InvalidArgument, "malformed"; "too many messages")]
#[test_case(count_without_messages(), DELIVER, Code::InvalidArgument, "malformed"; "count without messages")]
#[test_case(other_protocol(), DELIVER, Code::FailedPrecondition, "protocol"; "another protocol")]
#[test_case(vec![0; MAX_ENVELOPE_BYTES + 1], DELIVER, Code::OutOfRange, "call"; "too large")]
#[test_case(Vec::new(), "/jasminecart.peer.v1.Peer/Other", Code::Unimplemented, "call"; "unknown method")]
#[tokio::test]
async fn malformed_input_is_refused_and_counted(
    bytes: Vec<u8>,
    path: &'static str,
    code: Code,
    counter: &str,
) {
    let (server, mut delivered) = server("127.0.0.1:0").await;
    assert_eq!(call(server.address(), path, bytes).await, Err(code));
    let counters = server.counters();
    let counts = [
        ("malformed", counters.received_malformed),
        ("protocol", counters.received_other_protocol),
        ("call", counters.received_bad_calls),
    ];
    for (name, count) in counts {
        assert_eq!(count, u64::from(name == counter), "{name}: {counters:?}");
    }
    assert!(delivered.try_recv().is_err());
    assert_eq!(call(server.address(), DELIVER, encoded(&envelope())).await, Ok(()));
}

// Guards against a message above the size limit that blocks the messages queued behind it.
#[tokio::test]
async fn a_message_above_the_size_limit_is_dropped_and_counted() {
    let (server, mut delivered) = server("127.0.0.1:0").await;
    let mut links = links(LinkLimits { max_message_bytes: 8, ..limits() });
    links.send(&vm("vm-2"), server.address(), message(u64::MAX));
    links.send(&vm("vm-2"), server.address(), message(5));
    assert_eq!(numbers(&receive(&mut delivered).await), [5]);
    assert_eq!(links.counters().dropped_too_large, 1);
}

proptest! {
    // Guards against a panic that a peer could trigger with malformed input.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<Envelope>(&bytes);
    }
}
