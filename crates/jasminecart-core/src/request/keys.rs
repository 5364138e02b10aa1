//! Issued idempotency keys and the records of their use.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use super::types::{IssuedKey, KeyRecords, KeyState, KeyUse, RequestId};
use crate::names::{Incarnation, VmId};

/// The maximum number of processes whose key records this VM holds as their successor.
const MAX_ADOPTED_SETS: usize = 64;
/// The maximum number of known successors of other processes.
const MAX_SUCCESSORS: usize = 4_096;
/// The maximum number of records in one message, about 7 KB.
const RECORDS_PER_PART: usize = 1_000;

/// The maximum number of parts in one handover, enough for a million records.
const MAX_PARTS: u32 = 1_024;

/// The process that issued a key.
pub(super) type Issuer = (VmId, Incarnation);

#[derive(Clone, Copy, Debug)]
enum RecordState {
    InProgress(RequestId),
    Done { request: Option<RequestId>, status: u16 },
    Unknown,
    NotRun,
}

/// The status of a key, which decides whether its request may run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyStatus {
    /// The key was never used, or its request did not run.
    Unused,
    /// The key was used.
    Used(KeyUse),
    /// The authentication code does not match the secret of the issuer.
    Invalid,
    /// The keys of the issuer are owned by another process.
    OwnedElsewhere,
}

#[derive(Debug)]
struct KeySet {
    secret: [u64; 2],
    issued: u64,
    watermark: u64,
    records: BTreeMap<u64, RecordState>,
}

impl KeySet {
    fn new(secret: [u64; 2]) -> KeySet {
        KeySet { secret, issued: 0, watermark: 0, records: BTreeMap::new() }
    }

    fn code(&self, issuer: &Issuer, sequence: u64) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.secret[0], self.secret[1]);
        // A slash cannot be part of a name, so the fields are unambiguous. The byte format is
        // explicit, because the successor of a process may run another build.
        hasher.write(format!("{}/{}/{sequence}", issuer.0, issuer.1).as_bytes());
        hasher.finish()
    }

    fn key_status(&self, key: &IssuedKey) -> KeyStatus {
        let issuer = (key.vm.clone(), key.incarnation);
        if self.code(&issuer, key.sequence) != key.code {
            return KeyStatus::Invalid;
        }
        match self.records.get(&key.sequence) {
            None if key.sequence <= self.watermark => KeyStatus::Used(KeyUse::Unknown),
            None | Some(RecordState::NotRun) => KeyStatus::Unused,
            Some(RecordState::InProgress(request)) => {
                KeyStatus::Used(KeyUse::InProgress { request: *request })
            }
            Some(RecordState::Done { request, status }) => {
                KeyStatus::Used(KeyUse::Done { request: *request, status: *status })
            }
            Some(RecordState::Unknown) => KeyStatus::Used(KeyUse::Unknown),
        }
    }

    /// Evicts the oldest finished record. Keys at or below the watermark without a record count as
    /// unknown, because their first use can no longer be distinguished from a repeat.
    fn evict(&mut self) -> bool {
        let mut finished =
            self.records.iter().filter(|(_, r)| !matches!(r, RecordState::InProgress(_)));
        let Some(sequence) = finished.next().map(|(sequence, _)| *sequence) else { return false };
        self.records.remove(&sequence);
        self.watermark = self.watermark.max(sequence);
        true
    }

    fn has_in_progress(&self) -> bool {
        self.records.values().any(|record| matches!(record, RecordState::InProgress(_)))
    }

    fn to_parts(&self, issuer: &Issuer) -> Vec<KeyRecords> {
        let state = |record: &RecordState| match record {
            RecordState::Done { status, .. } => KeyState::Done(*status),
            RecordState::NotRun => KeyState::NotRun,
            RecordState::InProgress(_) | RecordState::Unknown => KeyState::Unknown,
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
struct IncomingRecords {
    set: KeySet,
    missing: Vec<u32>,
}

/// The keys of this process and of processes whose successor it is.
#[derive(Debug)]
pub(super) struct KeyRegistry {
    me: Issuer,
    sets: BTreeMap<Issuer, KeySet>,
    incoming: BTreeMap<Issuer, IncomingRecords>,
    successors: BTreeMap<Issuer, Issuer>,
    max_records: usize,
    evicted: u64,
}

impl KeyRegistry {
    pub(super) fn new(me: Issuer, secret: [u64; 2], max_records: usize) -> KeyRegistry {
        let sets = BTreeMap::from([(me.clone(), KeySet::new(secret))]);
        let (incoming, successors) = (BTreeMap::new(), BTreeMap::new());
        KeyRegistry { me, sets, incoming, successors, max_records, evicted: 0 }
    }

    /// Issues a key. A key takes no memory until a request uses it.
    pub(super) fn issue(&mut self) -> IssuedKey {
        let me = self.me.clone();
        let set = self.sets.entry(me.clone()).or_insert_with(|| KeySet::new([0; 2]));
        set.issued += 1;
        let (sequence, code) = (set.issued, set.code(&me, set.issued));
        IssuedKey { vm: me.0, incarnation: me.1, sequence, code }
    }

    pub(super) fn key_status(&self, key: &IssuedKey) -> KeyStatus {
        let issuer = issuer_of(key);
        if self.successors.contains_key(&issuer) {
            return KeyStatus::OwnedElsewhere;
        }
        self.sets.get(&issuer).map_or(KeyStatus::OwnedElsewhere, |set| set.key_status(key))
    }

    /// Reserves an unused key for a request, or returns `false` if the table is full of requests in
    /// progress.
    pub(super) fn reserve(&mut self, key: &IssuedKey, request: RequestId) -> bool {
        while self.count() >= self.max_records {
            if !self.sets.values_mut().any(KeySet::evict) {
                return false;
            }
            self.evicted += 1;
        }
        let Some(set) = self.sets.get_mut(&issuer_of(key)) else { return false };
        let previous = set.records.insert(key.sequence, RecordState::InProgress(request));
        crate::invariant!(
            matches!(previous, None | Some(RecordState::NotRun)),
            "idempotency key {key} was reserved twice"
        );
        true
    }

    /// Records how the request with a key ended.
    pub(super) fn finish(&mut self, key: &IssuedKey, request: RequestId, state: KeyState) {
        let Some(set) = self.sets.get_mut(&issuer_of(key)) else { return };
        let current = set.records.get(&key.sequence);
        let is_reserved =
            matches!(current, Some(RecordState::InProgress(current)) if *current == request);
        crate::invariant!(
            is_reserved,
            "idempotency key {key} is not reserved for request {}",
            request.0
        );
        if !is_reserved {
            return;
        }
        match state {
            KeyState::Done(status) => {
                let record = RecordState::Done { request: Some(request), status };
                set.records.insert(key.sequence, record);
            }
            KeyState::Unknown => {
                set.records.insert(key.sequence, RecordState::Unknown);
            }
            KeyState::NotRun if key.sequence > set.watermark => {
                set.records.remove(&key.sequence);
            }
            KeyState::NotRun => {
                set.records.insert(key.sequence, RecordState::NotRun);
            }
        }
    }

    /// Returns the number of records.
    pub(super) fn count(&self) -> usize {
        self.sets.values().map(|set| set.records.len()).sum()
    }

    pub(super) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns whether a request with a key is in progress.
    pub(super) fn has_in_progress(&self) -> bool {
        self.sets.values().any(KeySet::has_in_progress)
    }

    /// Returns the parts that hand over all key records.
    pub(super) fn to_parts(&self) -> Vec<KeyRecords> {
        let owned_issuers = self.owned_issuers();
        let sets = owned_issuers.iter().filter_map(|issuer| Some((issuer, self.sets.get(issuer)?)));
        sets.flat_map(|(issuer, set)| set.to_parts(issuer)).collect()
    }

    /// Returns the processes whose keys this process owns, including itself only if it issued any.
    pub(super) fn owned_issuers(&self) -> Vec<Issuer> {
        let used = self.sets.iter().filter(|(issuer, set)| **issuer != self.me || set.issued > 0);
        used.map(|(issuer, _)| issuer.clone()).collect()
    }

    /// Applies a part of the records of a stopping process.
    pub(super) fn apply_part(&mut self, part: KeyRecords) {
        let issuer = (part.issuer, part.incarnation);
        if part.part >= part.parts.min(MAX_PARTS) || self.sets.contains_key(&issuer) {
            return;
        }
        if self.incoming.len() >= MAX_ADOPTED_SETS && !self.incoming.contains_key(&issuer) {
            self.incoming.pop_first();
        }
        let incoming = self.incoming.entry(issuer).or_insert_with(|| IncomingRecords {
            set: KeySet::new(part.secret),
            missing: (0..part.parts).collect(),
        });
        incoming.set.watermark = incoming.set.watermark.max(part.watermark);
        incoming.missing.retain(|index| *index != part.part);
        let record = |(sequence, state)| match state {
            KeyState::Done(status) => (sequence, RecordState::Done { request: None, status }),
            KeyState::Unknown => (sequence, RecordState::Unknown),
            KeyState::NotRun => (sequence, RecordState::NotRun),
        };
        incoming.set.records.extend(part.records.into_iter().map(record));
    }

    /// Becomes the owner of the keys of a stopping process, and returns `true` if all its records
    /// have been received. Until then that process may still choose another successor, which would
    /// give its keys two owners.
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
        while self.sets.len() > MAX_ADOPTED_SETS + 1 {
            let others = self.sets.keys().filter(|issuer| **issuer != self.me);
            let Some(oldest) = others.min_by_key(|issuer| issuer.1).cloned() else { return };
            self.sets.remove(&oldest);
        }
        while self.count() > self.max_records && self.sets.values_mut().any(KeySet::evict) {
            self.evicted += 1;
        }
    }

    /// Records that another process owns the keys of `issuer`.
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

    /// Returns the other processes whose keys this process owns.
    pub(super) fn adopted(&self) -> Vec<Issuer> {
        self.sets.keys().filter(|issuer| **issuer != self.me).cloned().collect()
    }
}

pub(super) fn issuer_of(key: &IssuedKey) -> Issuer {
    (key.vm.clone(), key.incarnation)
}
