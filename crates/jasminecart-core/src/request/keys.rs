//! Issued idempotency keys and the records of their use.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use super::types::{IssuedKey, KeyRecords, KeyState, KeyUse, RequestId};
use crate::names::{Incarnation, VmId};

/// The most processes whose records this VM keeps as their successor.
const MAX_ADOPTED: usize = 64;
/// The most announcements of successors kept.
const MAX_SUCCESSORS: usize = 4_096;
/// The most records in one message, about 7 KB.
const RECORDS_PER_PART: usize = 1_000;

/// The most parts of one hand-over, enough for a million records.
const MAX_PARTS: u32 = 1_024;

/// The process that issued a key.
pub(super) type Issuer = (VmId, Incarnation);

#[derive(Clone, Copy, Debug)]
enum Use {
    InProgress(RequestId),
    Done { request: Option<RequestId>, status: u16 },
    Unknown,
    NotRun,
}

/// What a key says about the request that carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// The key was never used, or its request did not run.
    Free,
    /// The key was used.
    Used(KeyUse),
    /// No process whose secret is known here issued the key.
    Invalid,
    /// Another VM decides.
    Elsewhere,
}

#[derive(Debug)]
struct KeySet {
    secret: [u64; 2],
    issued: u64,
    watermark: u64,
    records: BTreeMap<u64, Use>,
}

impl KeySet {
    fn new(secret: [u64; 2]) -> KeySet {
        KeySet { secret, issued: 0, watermark: 0, records: BTreeMap::new() }
    }

    fn code(&self, issuer: &Issuer, sequence: u64) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.secret[0], self.secret[1]);
        // A slash cannot be part of a name. The bytes are stated here, because the successor of a process
        // may be of another build.
        hasher.write(format!("{}/{}/{sequence}", issuer.0, issuer.1).as_bytes());
        hasher.finish()
    }

    fn judge(&self, key: &IssuedKey) -> Judgement {
        let issuer = (key.vm.clone(), key.incarnation);
        if self.code(&issuer, key.sequence) != key.code {
            return Judgement::Invalid;
        }
        match self.records.get(&key.sequence) {
            None if key.sequence <= self.watermark => Judgement::Used(KeyUse::Unknown),
            None | Some(Use::NotRun) => Judgement::Free,
            Some(Use::InProgress(request)) => {
                Judgement::Used(KeyUse::InProgress { request: *request })
            }
            Some(Use::Done { request, status }) => {
                Judgement::Used(KeyUse::Done { request: *request, status: *status })
            }
            Some(Use::Unknown) => Judgement::Used(KeyUse::Unknown),
        }
    }

    /// Drops the oldest finished record. Keys without a record below the watermark count as unknown,
    /// because their first use cannot be told from a repeat any more.
    fn evict(&mut self) -> bool {
        let mut finished = self.records.iter().filter(|(_, r)| !matches!(r, Use::InProgress(_)));
        let Some(sequence) = finished.next().map(|(sequence, _)| *sequence) else { return false };
        self.records.remove(&sequence);
        self.watermark = self.watermark.max(sequence);
        true
    }

    fn has_progress(&self) -> bool {
        self.records.values().any(|record| matches!(record, Use::InProgress(_)))
    }

    fn to_parts(&self, issuer: &Issuer) -> Vec<KeyRecords> {
        let state = |record: &Use| match record {
            Use::Done { status, .. } => KeyState::Done(*status),
            Use::NotRun => KeyState::NotRun,
            Use::InProgress(_) | Use::Unknown => KeyState::Unknown,
        };
        let all: Vec<(u64, KeyState)> =
            self.records.iter().map(|(sequence, record)| (*sequence, state(record))).collect();
        let chunks: Vec<Vec<(u64, KeyState)>> = if all.is_empty() {
            vec![Vec::new()]
        } else {
            all.chunks(RECORDS_PER_PART).map(<[_]>::to_vec).collect()
        };
        let parts = chunks.len() as u32;
        let part = |(index, records): (usize, Vec<(u64, KeyState)>)| KeyRecords {
            issuer: issuer.0.clone(),
            incarnation: issuer.1,
            secret: self.secret,
            watermark: self.watermark,
            part: index as u32,
            parts,
            records,
        };
        chunks.into_iter().enumerate().map(part).collect()
    }
}

#[derive(Debug)]
struct Incoming {
    set: KeySet,
    missing: Vec<u32>,
}

/// The keys of this process and of processes whose successor it is.
#[derive(Debug)]
pub(super) struct Keys {
    me: Issuer,
    sets: BTreeMap<Issuer, KeySet>,
    incoming: BTreeMap<Issuer, Incoming>,
    successors: BTreeMap<Issuer, Issuer>,
    max_records: usize,
    evicted: u64,
}

impl Keys {
    pub(super) fn new(me: Issuer, secret: [u64; 2], max_records: usize) -> Keys {
        let sets = BTreeMap::from([(me.clone(), KeySet::new(secret))]);
        let (incoming, successors) = (BTreeMap::new(), BTreeMap::new());
        Keys { me, sets, incoming, successors, max_records, evicted: 0 }
    }

    /// Issues a key. A key takes no memory until a request uses it.
    pub(super) fn issue(&mut self) -> IssuedKey {
        let me = self.me.clone();
        let set = self.sets.entry(me.clone()).or_insert_with(|| KeySet::new([0; 2]));
        set.issued += 1;
        let (sequence, code) = (set.issued, set.code(&me, set.issued));
        IssuedKey { vm: me.0, incarnation: me.1, sequence, code }
    }

    pub(super) fn judge(&self, key: &IssuedKey) -> Judgement {
        let issuer = issuer_of(key);
        if self.successors.contains_key(&issuer) {
            return Judgement::Elsewhere;
        }
        self.sets.get(&issuer).map_or(Judgement::Elsewhere, |set| set.judge(key))
    }

    /// Binds a free key to a request, or returns `false` when every record belongs to a request in
    /// progress.
    pub(super) fn bind(&mut self, key: &IssuedKey, request: RequestId) -> bool {
        while self.count() >= self.max_records {
            if !self.sets.values_mut().any(KeySet::evict) {
                return false;
            }
            self.evicted += 1;
        }
        let Some(set) = self.sets.get_mut(&issuer_of(key)) else { return false };
        let previous = set.records.insert(key.sequence, Use::InProgress(request));
        crate::invariant!(matches!(previous, None | Some(Use::NotRun)), "{key} was bound twice");
        true
    }

    /// Records how the request with a key ended.
    pub(super) fn finish(&mut self, key: &IssuedKey, request: RequestId, state: KeyState) {
        let Some(set) = self.sets.get_mut(&issuer_of(key)) else { return };
        let bound = set.records.get(&key.sequence);
        let mine = matches!(bound, Some(Use::InProgress(bound)) if *bound == request);
        crate::invariant!(mine, "{key} is not bound to request {}", request.0);
        if !mine {
            return;
        }
        match state {
            KeyState::Done(status) => {
                let record = Use::Done { request: Some(request), status };
                set.records.insert(key.sequence, record);
            }
            KeyState::Unknown => {
                set.records.insert(key.sequence, Use::Unknown);
            }
            KeyState::NotRun if key.sequence > set.watermark => {
                set.records.remove(&key.sequence);
            }
            KeyState::NotRun => {
                set.records.insert(key.sequence, Use::NotRun);
            }
        }
    }

    /// Returns how many records are kept.
    pub(super) fn count(&self) -> usize {
        self.sets.values().map(|set| set.records.len()).sum()
    }

    pub(super) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Tells whether a request with a key is in progress.
    pub(super) fn has_progress(&self) -> bool {
        self.sets.values().any(KeySet::has_progress)
    }

    /// Returns the messages that hand every key set over.
    pub(super) fn to_parts(&self) -> Vec<KeyRecords> {
        let decided = self.decided();
        let sets = decided.iter().filter_map(|issuer| Some((issuer, self.sets.get(issuer)?)));
        sets.flat_map(|(issuer, set)| set.to_parts(issuer)).collect()
    }

    /// Returns the processes whose keys this process decides about, itself only if it issued any.
    pub(super) fn decided(&self) -> Vec<Issuer> {
        let used = self.sets.iter().filter(|(issuer, set)| **issuer != self.me || set.issued > 0);
        used.map(|(issuer, _)| issuer.clone()).collect()
    }

    /// Takes a part of the records of a process that stops.
    pub(super) fn take_part(&mut self, part: KeyRecords) {
        let issuer = (part.issuer, part.incarnation);
        if part.part >= part.parts.min(MAX_PARTS) || self.sets.contains_key(&issuer) {
            return;
        }
        if self.incoming.len() >= MAX_ADOPTED && !self.incoming.contains_key(&issuer) {
            self.incoming.pop_first();
        }
        let incoming = self.incoming.entry(issuer).or_insert_with(|| Incoming {
            set: KeySet::new(part.secret),
            missing: (0..part.parts).collect(),
        });
        incoming.set.watermark = incoming.set.watermark.max(part.watermark);
        incoming.missing.retain(|index| *index != part.part);
        let record = |(sequence, state)| match state {
            KeyState::Done(status) => (sequence, Use::Done { request: None, status }),
            KeyState::Unknown => (sequence, Use::Unknown),
            KeyState::NotRun => (sequence, Use::NotRun),
        };
        incoming.set.records.extend(part.records.into_iter().map(record));
    }

    /// Begins to decide about the keys of a process that stops, and tells whether all its records are
    /// here. Before, that process may still choose another successor, and two would decide.
    pub(super) fn adopt(&mut self, issuer: &Issuer) -> bool {
        if self.sets.contains_key(issuer) {
            return true;
        }
        let complete = self.incoming.get(issuer).is_some_and(|set| set.missing.is_empty());
        let Some(complete) = self.incoming.remove(issuer).filter(|_| complete) else {
            return false;
        };
        self.successors.remove(issuer);
        self.sets.insert(issuer.clone(), complete.set);
        self.drop_oldest_adopted();
        true
    }

    fn drop_oldest_adopted(&mut self) {
        while self.sets.len() > MAX_ADOPTED + 1 {
            let others = self.sets.keys().filter(|issuer| **issuer != self.me);
            let Some(oldest) = others.min_by_key(|issuer| issuer.1).cloned() else { return };
            self.sets.remove(&oldest);
        }
        while self.count() > self.max_records && self.sets.values_mut().any(KeySet::evict) {
            self.evicted += 1;
        }
    }

    /// Notes that another process decides about the keys of `issuer`.
    pub(super) fn set_successor(&mut self, issuer: Issuer, successor: Issuer) {
        if successor == self.me {
            return;
        }
        self.sets.remove(&issuer);
        self.successors.insert(issuer, successor);
        if self.successors.len() > MAX_SUCCESSORS {
            let oldest = self.successors.keys().min_by_key(|issuer| issuer.1).cloned();
            oldest.map(|oldest| self.successors.remove(&oldest));
        }
    }

    pub(super) fn successor(&self, issuer: &Issuer) -> Option<&Issuer> {
        self.successors.get(issuer)
    }

    /// Returns the other processes whose keys this process decides about.
    pub(super) fn adopted(&self) -> Vec<Issuer> {
        self.sets.keys().filter(|issuer| **issuer != self.me).cloned().collect()
    }
}

pub(super) fn issuer_of(key: &IssuedKey) -> Issuer {
    (key.vm.clone(), key.incarnation)
}
