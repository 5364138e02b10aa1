//! The bounded table of flows that are not on their base target, and of cached hints.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use crate::invariant;
use crate::time::Millis;

/// A SYN this soon after the first one of its flow is a retransmission. Clients give up after 63 s with
/// the usual six retransmissions.
const SYN_SPAN: Millis = Millis::from_secs(75);
/// A client that has answered sends no more SYN, but the network may still hold a duplicate.
const DUPLICATE_SPAN: Millis = Millis::from_secs(10);
/// How long an entry outlives the last packet of a flow that was closed.
const CLOSED_SPAN: Millis = Millis::from_secs(120);
/// How long a hint lives without use. It is shorter than [`CLOSED_SPAN`], so that an owner knows the flow
/// for longer than any hint for it lives.
const HINT_SPAN: Millis = Millis::from_secs(30);
/// How long an owner remembers that it gave hints. A hint confirmed last here may be used elsewhere for
/// 20 s before the next confirmation, and lives 30 s after that.
const HINTED_SPAN: Millis = Millis::from_secs(60);
/// How long an idle UDP flow stays known.
const DATAGRAM_SPAN: Millis = Millis::from_secs(300);

/// The resolution of the times of an entry. 32 bits of it last two years.
const STEP: Millis = Millis(16);
/// An owner that has just decided hears within this span that the other one decided before.
const DECISION_SPAN: Millis = Millis(48);

/// What is known of the state of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Only a SYN or a first datagram was seen.
    HalfOpen,
    /// A later packet was seen.
    Established,
    /// A FIN or RST was seen.
    Closing,
    /// The entry is a hint of an owner.
    Hint,
    /// A second datagram was seen.
    Datagram,
}

impl State {
    /// Returns how long an entry lives without use, or since the SYN while it is half-open.
    fn span(self) -> Option<Millis> {
        match self {
            State::HalfOpen => Some(SYN_SPAN),
            State::Established => None,
            State::Closing => Some(CLOSED_SPAN),
            State::Hint => Some(HINT_SPAN),
            State::Datagram => Some(DATAGRAM_SPAN),
        }
    }
}

/// An entry of the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    /// The key of the target.
    pub(super) target: u64,
    /// When the flow was opened, or when a hint was renewed, in steps of [`STEP`].
    opened: u32,
    /// When the last packet was seen, in steps of [`STEP`].
    last: u32,
    /// The state of the flow.
    pub(super) state: State,
    /// Whether a packet after the SYN was seen.
    pub(super) answered: bool,
    /// Whether the entry came from another owner.
    pub(super) transferred: bool,
    /// Whether other VMs may hold hints.
    pub(super) hinted: bool,
    /// Whether a hint was renewed, which holds unless the owner revokes it.
    pub(super) is_asking: bool,
    /// Forwarded packets since the last hint.
    pub(super) forwards: u8,
}

impl Entry {
    /// Tells when the flow was opened or the hint renewed.
    pub(super) fn opened(&self) -> Millis {
        instant(self.opened)
    }

    /// Tells whether a SYN seen now is a retransmission.
    pub(super) fn is_opening(&self, now: Millis) -> bool {
        let span = match self.state {
            State::HalfOpen if !self.answered => SYN_SPAN,
            State::HalfOpen | State::Established => DUPLICATE_SPAN,
            _ => return false,
        };
        now.since(self.opened()) < span
    }

    /// Tells whether the flow was opened by the packet that is on its way now.
    pub(super) fn is_new(&self, now: Millis) -> bool {
        now.since(self.opened()) <= DECISION_SPAN
    }

    fn last(&self) -> Millis {
        instant(self.last)
    }

    /// Tells whether the entry has outlived its use.
    fn is_due(&self, now: Millis) -> bool {
        let since = if self.state == State::HalfOpen { self.opened() } else { self.last() };
        if self.state == State::Hint && self.hinted {
            return now.since(since) > HINTED_SPAN;
        }
        self.state.span().is_some_and(|span| now.since(since) > span)
    }
}

/// The table has no room for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TableFull;

/// Passes on the flow hash, which is already uniform.
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

/// Flows with the step in which they were queued, oldest first.
type Queue = VecDeque<(u64, u32)>;

/// The table. Every entry that can expire or be evicted is in the queue of its state.
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

    /// Returns the entry of a flow unless it has outlived its use.
    pub(super) fn get(&self, now: Millis, flow: u64) -> Option<&Entry> {
        self.entries.get(&flow).filter(|entry| !entry.is_due(now))
    }

    /// Returns the entry of a flow for a packet seen now.
    pub(super) fn touch(&mut self, now: Millis, flow: u64) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&flow).filter(|entry| !entry.is_due(now))?;
        entry.last = steps(now);
        Some(entry)
    }

    /// Inserts or replaces the entry of a flow. Evicts half-open entries, then hints, to make room.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        flow: u64,
        target: u64,
        state: State,
    ) -> Result<(), TableFull> {
        let known = self.entries.contains_key(&flow);
        // A hint never displaces anything but other hints.
        let half_open = state != State::Hint;
        if !known && self.entries.len() >= self.max && !self.evict(half_open) {
            return Err(TableFull);
        }
        let stamp = steps(now);
        let entry = Entry {
            target,
            opened: stamp,
            last: stamp,
            state,
            answered: false,
            transferred: false,
            hinted: false,
            is_asking: false,
            forwards: 0,
        };
        self.entries.insert(flow, entry);
        self.enqueue(now, flow, state);
        invariant!(
            self.entries.len() <= self.max,
            "the flow table has {} entries, {} are allowed",
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

    /// Notes that an entry came from another owner, and when its flow was opened.
    pub(super) fn set_transferred(&mut self, flow: u64, opened: Millis) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.transferred = true;
            entry.opened = steps(opened);
        }
    }

    /// Notes that another VM holds a hint for a flow.
    pub(super) fn set_hinted(&mut self, flow: u64) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.hinted = true;
        }
    }

    /// Notes that a packet was sent through the owner to confirm a hint.
    pub(super) fn renew(&mut self, now: Millis, flow: u64) {
        if let Some(entry) = self.entries.get_mut(&flow) {
            entry.opened = steps(now);
            entry.is_asking = true;
        }
    }

    /// Removes the entry of a flow.
    pub(super) fn remove(&mut self, flow: u64) {
        self.entries.remove(&flow);
    }

    /// Keeps the entries for which `keep` holds.
    pub(super) fn retain(&mut self, mut keep: impl FnMut(u64, &mut Entry) -> bool) {
        self.entries.retain(|flow, entry| keep(*flow, entry));
    }

    /// Returns all entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// Frees entries that have outlived their use.
    pub(super) fn expire(&mut self, now: Millis) {
        for state in [State::HalfOpen, State::Hint, State::Closing, State::Datagram] {
            self.expire_queue(now, state);
        }
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether a new entry displaces another.
    pub(super) fn is_full(&self) -> bool {
        self.entries.len() >= self.max
    }

    /// Returns how many entries were evicted.
    pub(super) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the memory of the table in bytes: a slot of the map has the pair and one control byte.
    pub(super) fn bytes(&self) -> usize {
        let slots = self.entries.capacity() * 8 / 7;
        let queues = [&self.half_open, &self.hints, &self.closing, &self.datagrams];
        let queued: usize = queues.iter().map(|queue| queue.capacity()).sum();
        slots * (size_of::<(u64, Entry)>() + 1) + queued * size_of::<(u64, u32)>()
    }

    fn evict(&mut self, half_open: bool) -> bool {
        let states = [State::HalfOpen, State::Hint];
        let allowed = if half_open { &states[..] } else { &states[1..] };
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
        let Some(span) = state.span() else { return };
        let is_past = |queued: u32| now.since(instant(queued)) > span;
        while let Some((flow, _)) = self.queue(state).and_then(|queue| pop_if(queue, is_past)) {
            let entry = self.entries.get(&flow).filter(|entry| entry.state == state);
            match entry.map(|entry| entry.is_due(now)) {
                Some(true) => self.remove(flow),
                Some(false) => self.enqueue(now, flow, state),
                None => {}
            }
        }
    }

    fn enqueue(&mut self, now: Millis, flow: u64, state: State) {
        // Replaced entries leave stale places in the queues; past this length they are dropped.
        let most = self.max.saturating_mul(2).max(64);
        if self.queue(state).is_some_and(|queue| queue.len() >= most) {
            self.compact(state);
        }
        if let Some(queue) = self.queue(state) {
            queue.push_back((flow, steps(now)));
        }
    }

    fn compact(&mut self, state: State) {
        let flows = self.entries.iter().filter(|(_, entry)| entry.state == state);
        let mut flows: Vec<(u64, u32)> = flows.map(|(flow, entry)| (*flow, entry.last)).collect();
        flows.sort_unstable_by_key(|(_, last)| *last);
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

fn steps(now: Millis) -> u32 {
    u32::try_from(now.get() / STEP.get()).unwrap_or(u32::MAX)
}

fn instant(steps: u32) -> Millis {
    Millis(u64::from(steps) * STEP.get())
}

fn pop_if(queue: &mut Queue, is_past: impl Fn(u32) -> bool) -> Option<(u64, u32)> {
    queue.front().is_some_and(|(_, queued)| is_past(*queued)).then(|| queue.pop_front()).flatten()
}
