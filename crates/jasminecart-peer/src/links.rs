//! The sending side of the peer service: one connection and one bounded queue for each peer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jasminecart_core::message::PeerMessage;
use jasminecart_core::names::{Incarnation, VmId};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};

use crate::counters::{Counters, PeerCounters, add};
use crate::envelope::{Envelope, MAX_ENVELOPE_BYTES, MAX_ENVELOPE_MESSAGES, PROTOCOL};
use crate::peer_service::peer_client::PeerClient;
use jasminecart_runtime::backoff::Backoff;

/// Reserved for the fields of an envelope other than its messages: two names, numbers and lengths.
const ENVELOPE_OVERHEAD_BYTES: usize = 512;
/// The maximum size of an encoded `Ack`, which holds one number.
const MAX_ACK_BYTES: usize = 64;

/// Limits and timeouts of the links to peers.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// The maximum number of messages in a peer's queue.
    pub max_queued: usize,
    /// The maximum total size of the messages in a peer's queue, in bytes.
    pub max_queued_bytes: usize,
    /// The maximum size of a message in bytes.
    pub max_message_bytes: usize,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The timeout of a call. The connection is replaced when it expires.
    pub call_timeout: Duration,
    /// The delay before the second attempt to connect.
    pub initial_backoff: Duration,
    /// The maximum delay between attempts to connect.
    pub max_backoff: Duration,
}

impl Default for LinkLimits {
    fn default() -> Self {
        LinkLimits {
            max_queued: 1_024,
            max_queued_bytes: 4 << 20,
            max_message_bytes: MAX_ENVELOPE_BYTES - ENVELOPE_OVERHEAD_BYTES,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// The links to all peers. Dropping it closes the connections and discards queued messages.
#[derive(Debug)]
pub struct PeerLinks {
    me: VmId,
    incarnation: Incarnation,
    limits: LinkLimits,
    counters: Arc<Counters>,
    links: BTreeMap<VmId, Link>,
}

impl PeerLinks {
    /// Creates an empty set of links. `me` and `incarnation` identify this process as the sender.
    pub fn new(me: VmId, incarnation: Incarnation, limits: LinkLimits) -> PeerLinks {
        let counters = Arc::new(Counters::default());
        PeerLinks { me, incarnation, limits, counters, links: BTreeMap::new() }
    }

    /// Queues a message for a peer. If `address` differs from the previous one, the link is replaced. When
    /// the queue is full, the oldest messages are dropped, because newer ones supersede them.
    pub fn send(&mut self, to: &VmId, address: SocketAddr, message: PeerMessage) {
        let size = postcard::experimental::serialized_size(&message).unwrap_or(usize::MAX);
        if size > self.limits.max_message_bytes.min(MAX_ENVELOPE_BYTES - ENVELOPE_OVERHEAD_BYTES) {
            return add(&self.counters.dropped_too_large, 1);
        }
        if self.links.get(to).is_some_and(|link| link.address != address) {
            self.links.remove(to);
        }
        if !self.links.contains_key(to) {
            let link = self.open(address);
            self.links.insert(to.clone(), link);
        }
        if let Some(link) = self.links.get(to) {
            link.queue.push(message, size, &self.limits, &self.counters);
        }
    }

    /// Counts a message that is dropped because the address of its receiver is not known.
    pub fn drop_unroutable(&self) {
        add(&self.counters.dropped_no_peer, 1);
    }

    /// Closes the links to all peers that are not in `peers`.
    pub fn retain(&mut self, peers: &BTreeSet<VmId>) {
        self.links.retain(|vm, _| peers.contains(vm));
    }

    /// Returns whether no message is queued or waits for its acknowledgement.
    pub fn is_idle(&self) -> bool {
        self.links.values().all(|link| link.queue.is_idle())
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> PeerCounters {
        self.counters.snapshot()
    }

    fn open(&self, address: SocketAddr) -> Link {
        let queue = Arc::new(Queue::default());
        let sender = Sender {
            me: self.me.clone(),
            incarnation: self.incarnation,
            address,
            limits: self.limits,
            queue: queue.clone(),
            counters: self.counters.clone(),
        };
        let task = tokio::spawn(sender.run());
        Link { address, queue, counters: self.counters.clone(), task }
    }
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: Arc<Queue>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        add(&self.counters.dropped_no_peer, self.queue.clear());
    }
}

#[derive(Debug, Default)]
struct Queue {
    state: Mutex<QueueState>,
    filled: Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<(usize, PeerMessage)>,
    bytes: usize,
    sending: bool,
}

impl QueueState {
    fn pop(&mut self) -> Option<(usize, PeerMessage)> {
        let (size, message) = self.messages.pop_front()?;
        self.bytes -= size;
        Some((size, message))
    }
}

impl Queue {
    fn with<T>(&self, f: impl FnOnce(&mut QueueState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, message: PeerMessage, size: usize, limits: &LinkLimits, counters: &Counters) {
        self.with(|state| {
            state.bytes += size;
            state.messages.push_back((size, message));
            while state.messages.len() > limits.max_queued || state.bytes > limits.max_queued_bytes
            {
                state.pop();
                add(&counters.dropped_queue_full, 1);
            }
        });
        self.filled.notify_one();
    }

    fn clear(&self) -> usize {
        self.with(|state| std::mem::take(&mut state.messages).len())
    }

    fn is_idle(&self) -> bool {
        self.with(|state| state.messages.is_empty() && !state.sending)
    }

    fn is_empty(&self) -> bool {
        self.with(|state| state.messages.is_empty())
    }

    /// Removes the messages of the next envelope and returns them with their total size in bytes.
    fn take_batch(&self) -> (usize, Vec<PeerMessage>) {
        self.with(|state| {
            let (mut bytes, mut messages) = (0, Vec::new());
            while let Some((size, _)) = state.messages.front() {
                let full = bytes + size > MAX_ENVELOPE_BYTES - ENVELOPE_OVERHEAD_BYTES;
                if full || messages.len() == MAX_ENVELOPE_MESSAGES {
                    break;
                }
                let Some((size, message)) = state.pop() else { break };
                bytes += size;
                messages.push(message);
            }
            state.sending = !messages.is_empty();
            (bytes, messages)
        })
    }
}

#[derive(Debug)]
struct Sender {
    me: VmId,
    incarnation: Incarnation,
    address: SocketAddr,
    limits: LinkLimits,
    queue: Arc<Queue>,
    counters: Arc<Counters>,
}

impl Sender {
    async fn run(self) {
        loop {
            while self.queue.is_empty() {
                self.queue.filled.notified().await;
            }
            let client = self.connect().await;
            self.deliver_all(client).await;
        }
    }

    /// Connects with backoff. Messages stay queued meanwhile, up to the limits of the queue.
    async fn connect(&self) -> PeerClient<Channel> {
        let mut backoff = Backoff::new(self.limits.initial_backoff, self.limits.max_backoff);
        loop {
            match self.try_connect().await {
                Ok(channel) => {
                    add(&self.counters.connected, 1);
                    return PeerClient::new(channel)
                        .max_encoding_message_size(MAX_ENVELOPE_BYTES)
                        .max_decoding_message_size(MAX_ACK_BYTES);
                }
                Err(e) => {
                    add(&self.counters.connect_failed, 1);
                    let (address, reason) = (self.address.to_string(), e.to_string());
                    log::debug!(event = "peer_connect_failed", address = address.as_str(), reason = reason.as_str(); "cannot connect to peer; retrying after a backoff");
                }
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn try_connect(&self) -> Result<Channel, tonic::transport::Error> {
        Endpoint::from_shared(format!("http://{}", self.address))?
            .connect_timeout(self.limits.connect_timeout)
            .tcp_nodelay(true)
            .connect()
            .await
    }

    /// Delivers messages until the connection must be replaced. A channel reconnects on its own, but would
    /// keep a connection that is open and unresponsive, so it is dropped after every failed call.
    async fn deliver_all(&self, mut client: PeerClient<Channel>) {
        loop {
            let (bytes, messages) = self.queue.take_batch();
            if messages.is_empty() {
                self.queue.filled.notified().await;
                continue;
            }
            let reusable = self.deliver(&mut client, bytes, messages).await;
            self.queue.with(|state| state.sending = false);
            if !reusable {
                return;
            }
        }
    }

    async fn deliver(
        &self,
        client: &mut PeerClient<Channel>,
        bytes: usize,
        messages: Vec<PeerMessage>,
    ) -> bool {
        let count = messages.len();
        let (from, incarnation) = (self.me.clone(), self.incarnation);
        let envelope = Envelope { protocol: PROTOCOL, from, incarnation, messages };
        let call = client.deliver(envelope);
        let Ok(result) = tokio::time::timeout(self.limits.call_timeout, call).await else {
            add(&self.counters.replaced_silent, 1);
            add(&self.counters.dropped_in_doubt, count);
            return false;
        };
        match result.map(|response| response.into_inner()) {
            Ok(Ok(_)) => {
                add(&self.counters.sent_envelopes, 1);
                add(&self.counters.sent_messages, count);
                add(&self.counters.sent_bytes, bytes);
                true
            }
            Err(status) if is_refusal(status.code()) => {
                add(&self.counters.refused_by_peer, 1);
                true
            }
            Ok(Err(_)) | Err(_) => {
                add(&self.counters.replaced_failed, 1);
                add(&self.counters.dropped_in_doubt, count);
                false
            }
        }
    }
}

/// Returns whether the peer refused the envelope without processing it.
fn is_refusal(code: Code) -> bool {
    matches!(code, Code::ResourceExhausted | Code::FailedPrecondition | Code::InvalidArgument)
}
