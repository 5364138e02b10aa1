//! The bounded table of exceptions, which are flows that may not be on their base target, and of
//! cached hints.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use crate::invariant;
use crate::time::Millis;

/// A SYN within this time after the first one of its flow is a retransmission. With the usual six
/// retransmissions, clients give up after 63 s.
const SYN_RETRANSMISSION_TIME: Millis = Millis::from_secs(75);
/// Once a later packet of the flow was observed, the client sends no more SYNs. A SYN within this
/// time after the first one is then a duplicate that was still in flight.
const DUPLICATE_SYN_TIME: Millis = Millis::from_secs(10);
/// The lifetime of the entry of a closed flow after its last packet.
const CLOSED_TTL: Millis = Millis::from_secs(120);
/// The lifetime of a hint after its last use. It is shorter than [`CLOSED_TTL`], so that the
/// owner's entry outlives every hint for the flow.
const HINT_TTL: Millis = Millis::from_secs(30);
/// The lifetime of an owner's hint while other VMs may have hints for the flow, which the owner has
/// to be able to revoke. A hint that was last confirmed here may be used on another VM for 20 s
/// before the next confirmation, and expires 30 s after that.
const HINTED_TTL: Millis = Millis::from_secs(60);
/// The lifetime of the entry of an idle UDP flow.
const DATAGRAM_TTL: Millis = Millis::from_secs(300);

/// The resolution of the times in an entry. 32 bits of steps cover two years.
const TIME_STEP: Millis = Millis(16);
/// The time within which an owner that has just chosen a target receives an earlier choice of the
/// other owner.
const CONCURRENT_DECISION_TIME: Millis = Millis(48);

/// The state of a flow, as far as this VM has observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Only a SYN or a first datagram was observed.
    HalfOpen,
    /// A later packet was observed.
    Established,
    /// A FIN or RST was observed.
    Closing,
    /// The entry is a hint from another VM, not a decision recorded as an owner.
    Hint,
    /// A second datagram was observed.
    Datagram,
}

impl State {
    /// Returns the lifetime of an entry after its last packet, or after the SYN while it is
    /// half-open.
    fn ttl(self) -> Option<Millis> {
        match self {
            State::HalfOpen => Some(SYN_RETRANSMISSION_TIME),
            State::Established => None,
            State::Closing => Some(CLOSED_TTL),
            State::Hint => Some(HINT_TTL),
            State::Datagram => Some(DATAGRAM_TTL),
        }
    }
}

/// An entry of the flow table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    /// The key of the target.
    pub(super) target: u64,
    /// When the flow was opened or a hint was last renewed, in steps of [`TIME_STEP`].
    opened: u32,
    /// When the last packet was observed, in steps of [`TIME_STEP`].
    last_seen: u32,
    /// The state of the flow.
    pub(super) state: State,
    /// Whether a packet after the SYN was observed.
    pub(super) seen_after_syn: bool,
    /// Whether the entry came from another owner.
    pub(super) transferred: bool,
    /// Whether other VMs may have hints for the flow.
    pub(super) hinted: bool,
    /// Whether a packet was sent through the owner to renew a hint, which the owner may still
    /// revoke.
    pub(super) renewal_pending: bool,
    /// Packets that other VMs forwarded since the last hint was sent.
    pub(super) forwards_since_hint: u8,
}

impl Entry {
    /// Returns when the flow was opened or the hint last renewed.
    pub(super) fn opened(&self) -> Millis {
        from_steps(self.opened)
    }

    /// Returns whether a SYN received now is a retransmission or duplicate of the one that opened
    /// the flow.
    pub(super) fn in_syn_window(&self, now: Millis) -> bool {
        let window = match self.state {
            State::HalfOpen if !self.seen_after_syn => SYN_RETRANSMISSION_TIME,
            State::HalfOpen | State::Established => DUPLICATE_SYN_TIME,
            _ => return false,
        };
        now.since(self.opened()) < window
    }

    /// Returns whether the flow was opened so recently that both owners may have chosen a target at
    /// once.
    pub(super) fn was_just_opened(&self, now: Millis) -> bool {
        now.since(self.opened()) <= CONCURRENT_DECISION_TIME
    }

    fn last_seen(&self) -> Millis {
        from_steps(self.last_seen)
    }

    /// Returns whether the lifetime of the entry is over.
    fn is_expired(&self, now: Millis) -> bool {
        let since = if self.state == State::HalfOpen { self.opened() } else { self.last_seen() };
        if self.state == State::Hint && self.hinted {
            return now.since(since) > HINTED_TTL;
        }
        self.state.ttl().is_some_and(|ttl| now.since(since) > ttl)
    }
}

/// The table has no room for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TableFull;

/// Uses the flow hash as it is, since it is already uniform.
#[derive(Clone, Debug, Default)]
struct FlowHasher(u64);

impl Hasher for FlowHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// Flows with the time step at which they were queued, oldest first.
type Queue = VecDeque<(u64, u32)>;

/// The flow table. Every entry that can expire or be evicted is in the queue of its state.
#[derive(Debug, Default)]
pub(super) struct Exceptions {
    entries: HashMap<u64, Entry, BuildHasherDefault<FlowHasher>>,
    half_open: Queue,
    hints: Queue,
    closing: Queue,
    datagrams: Queue,
    max: usize,
    evicted: u64,
}

impl Exceptions {
    /// Creates a table of at most `max` entries.
    pub(super) fn new(max: usize) -> Exceptions {
        Exceptions { max, ..Exceptions::default() }
    }

    /// Returns the entry of a flow unless it has expired.
    pub(super) fn get(&self, now: Millis, flow: u64) -> Option<&Entry> {
        self.entries.get(&flow).filter(|entry| !entry.is_expired(now))
    }

    /// Returns the entry of a flow unless it has expired, and records a packet of the flow.
    pub(super) fn touch(&mut self, now: Millis, flow: u64) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&flow).filter(|entry| !entry.is_expired(now))?;
        entry.last_seen = to_steps(now);
        Some(entry)
    }

    /// Inserts or replaces the entry of a flow. If the table is full, evicts the oldest half-open
    /// entry, or else the oldest hint.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        flow: u64,
        target: u64,
        state: State,
    ) -> Result<(), TableFull> {
        let known = self.entries.contains_key(&flow);
        // A hint may only evict other hints.
        let may_evict_half_open = state != State::Hint;
        if !known && self.entries.len() >= self.max && !self.evict(may_evict_half_open) {
            return Err(TableFull);
        }
        let stamp = to_steps(now);
        let entry = Entry {
            target,
            opened: stamp,
            last_seen: stamp,
            state,
            seen_after_syn: false,
            transferred: false,
            hinted: false,
            renewal_pending: false,
            forwards_since_hint: 0,
        };
        self.entries.insert(flow, entry);
        self.enqueue(now, flow, state);
        invariant!(
            self.entries.len() <= self.max,
            "flow table has {} entries, more than the limit of {}",
            self.entries.len(),
            self.max
        );
        Ok(())
    }

    /// Changes the state of a flow.
    pub(super) fn set_state(&mut self, now: Millis, flow: u64, state: State) {
        let Some(entry) = self.entries.get_mut(&flow) else { return };
        if entry.state != state {
            entry.state = state;
            self.enqueue(now, flow, state);
        }
    }

    /// Records that an entry was transferred from another owner, and when its flow was opened.
    pub(super) fn set_transferred(&mut self, flow: u64, opened: Millis) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.transferred = true;
            entry.opened = to_steps(opened);
        }
    }

    /// Records that another VM has a hint for a flow.
    pub(super) fn set_hinted(&mut self, flow: u64) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.hinted = true;
        }
    }

    /// Records that a packet was sent through the owner to renew a hint.
    pub(super) fn renew(&mut self, now: Millis, flow: u64) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.opened = to_steps(now);
            entry.renewal_pending = true;
        }
    }

    /// Removes the entry of a flow.
    pub(super) fn remove(&mut self, flow: u64) {
        self.entries.remove(&flow);
    }

    /// Retains only the entries for which `predicate` holds.
    pub(super) fn retain(&mut self, mut predicate: impl FnMut(u64, &mut Entry) -> bool) {
        self.entries.retain(|flow, entry| predicate(*flow, entry));
    }

    /// Returns all entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: Millis) {
        for state in [State::HalfOpen, State::Hint, State::Closing, State::Datagram] {
            self.expire_queue(now, state);
        }
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether a new entry requires an eviction.
    pub(super) fn is_full(&self) -> bool {
        self.entries.len() >= self.max
    }

    /// Returns how many entries were evicted.
    pub(super) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the memory of the table in bytes. A slot of the hash map has the pair and one
    /// control byte.
    pub(super) fn bytes(&self) -> usize {
        let slots = self.entries.capacity() * 8 / 7;
        let queues = [&self.half_open, &self.hints, &self.closing, &self.datagrams];
        let queued: usize = queues.iter().map(|queue| queue.capacity()).sum();
        slots * (size_of::<(u64, Entry)>() + 1) + queued * size_of::<(u64, u32)>()
    }

    fn evict(&mut self, may_evict_half_open: bool) -> bool {
        let states = [State::HalfOpen, State::Hint];
        let allowed = if may_evict_half_open { &states[..] } else { &states[1..] };
        for state in allowed {
            while let Some((flow, _)) = self.queue(*state).and_then(VecDeque::pop_front) {
                if self.entries.get(&flow).is_some_and(|entry| entry.state == *state) {
                    self.entries.remove(&flow);
                    self.evicted += 1;
                    return true;
                }
            }
        }
        false
    }

    fn expire_queue(&mut self, now: Millis, state: State) {
        let Some(ttl) = state.ttl() else { return };
        let is_old = |queued: u32| now.since(from_steps(queued)) > ttl;
        while let Some((flow, _)) = self.queue(state).and_then(|queue| pop_front_if(queue, is_old))
        {
            let entry = self.entries.get(&flow).filter(|entry| entry.state == state);
            match entry.map(|entry| entry.is_expired(now)) {
                Some(true) => self.remove(flow),
                Some(false) => self.enqueue(now, flow, state),
                None => {}
            }
        }
    }

    fn enqueue(&mut self, now: Millis, flow: u64, state: State) {
        // Replaced and removed entries leave stale items in the queues. At this length they are
        // removed.
        let max_len = self.max.saturating_mul(2).max(64);
        if self.queue(state).is_some_and(|queue| queue.len() >= max_len) {
            self.compact(state);
        }
        if let Some(queue) = self.queue(state) {
            queue.push_back((flow, to_steps(now)));
        }
    }

    fn compact(&mut self, state: State) {
        let flows = self.entries.iter().filter(|(_, entry)| entry.state == state);
        let mut flows: Vec<(u64, u32)> =
            flows.map(|(flow, entry)| (*flow, entry.last_seen)).collect();
        flows.sort_unstable_by_key(|(_, last_seen)| *last_seen);
        if let Some(queue) = self.queue(state) {
            *queue = flows.into();
        }
    }

    fn queue(&mut self, state: State) -> Option<&mut Queue> {
        match state {
            State::HalfOpen => Some(&mut self.half_open),
            State::Hint => Some(&mut self.hints),
            State::Closing => Some(&mut self.closing),
            State::Datagram => Some(&mut self.datagrams),
            State::Established => None,
        }
    }
}

fn to_steps(now: Millis) -> u32 {
    u32::try_from(now.get() / TIME_STEP.get()).unwrap_or(u32::MAX)
}

fn from_steps(steps: u32) -> Millis {
    Millis(u64::from(steps) * TIME_STEP.get())
}

fn pop_front_if(queue: &mut Queue, is_old: impl Fn(u32) -> bool) -> Option<(u64, u32)> {
    queue.front().is_some_and(|(_, queued)| is_old(*queued)).then(|| queue.pop_front()).flatten()
}
