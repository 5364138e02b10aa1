//! The generations of a service and the bucket tables that follow from them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::hash::hash;
use super::messages::{GenerationTarget, ServiceGenerations};
use super::table::{self, BUCKETS, NONE, Share, Table};
use crate::invariant;
use crate::names::Name;
use crate::time::Millis;
use crate::version::Revision;

/// The most generations kept for a service.
pub(super) const MAX_GENERATIONS: usize = 32;
const WORDS: usize = BUCKETS / 64;

/// The identity and address of a target of a service.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// The key that stands for the target in entries and headers. It covers the service, so that an entry
    /// never leads to a target of another service (I2).
    pub(super) key: u64,
    /// The target.
    pub(super) target: GenerationTarget,
}

#[derive(Clone, Debug)]
struct Generation {
    targets: Arc<[GenerationTarget]>,
    adopted_at: Millis,
    /// The keys by the index that `table` uses.
    keys: Vec<u64>,
    table: Table,
}

/// The routing state of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceTable {
    name: Name,
    generations: BTreeMap<Revision, Generation>,
    residue: Option<Box<[u64; WORDS]>>,
    slots: Vec<Slot>,
    by_key: HashMap<u64, u16>,
    base: Table,
    current: Table,
    settled: Box<[u64; WORDS]>,
    /// Buckets whose base changed with a revision that other VMs may not have yet.
    held: Box<[u64; WORDS]>,
    held_until: Revision,
    digest: u64,
}

impl ServiceTable {
    /// Creates the state of a service from its first generation.
    pub(super) fn new(
        name: Name,
        now: Millis,
        revision: Revision,
        targets: Vec<GenerationTarget>,
    ) -> ServiceTable {
        let empty: Table = vec![NONE; BUCKETS].into();
        let mut table = ServiceTable {
            name,
            generations: BTreeMap::new(),
            residue: None,
            slots: Vec::new(),
            by_key: HashMap::new(),
            base: empty.clone(),
            current: empty,
            settled: Box::new([0; WORDS]),
            held: Box::new([0; WORDS]),
            held_until: Revision(0),
            digest: 0,
        };
        table.insert(now, revision, targets.into());
        table.rebuild(revision);
        table
    }

    /// Takes the target set of a new revision, whose `added` fields are ignored. Returns whether it makes a
    /// generation.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        revision: Revision,
        mut targets: Vec<GenerationTarget>,
    ) -> bool {
        let Some((_, newest)) = self.generations.last_key_value() else { return false };
        inherit(&newest.targets, &mut targets, revision);
        if *newest.targets == *targets {
            return false;
        }
        self.insert(now, revision, targets.into());
        true
    }

    /// Merges generations of a peer up to `newest`. Returns whether anything changed.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        newest: Revision,
        theirs: &ServiceGenerations,
    ) -> bool {
        let before = self.digest;
        let mut sets: BTreeMap<Revision, Arc<[GenerationTarget]>> = BTreeMap::new();
        let known = theirs.generations.iter().filter(|(revision, _)| *revision <= newest);
        sets.extend(known.cloned());
        sets.extend(self.generations.iter().map(|(rev, own)| (*rev, own.targets.clone())));
        self.keep_earliest_additions(&mut sets, theirs);
        let adopted: BTreeMap<Revision, Millis> =
            self.generations.iter().map(|(rev, own)| (*rev, own.adopted_at)).collect();
        let mut previous: Option<Arc<[GenerationTarget]>> = None;
        let mut merged = BTreeMap::new();
        for (revision, set) in sets {
            let mut targets = set.to_vec();
            if let Some(previous) = &previous {
                inherit(previous, &mut targets, revision);
                if **previous == *targets {
                    continue;
                }
            }
            let targets: Arc<[GenerationTarget]> = targets.into();
            previous = Some(targets.clone());
            merged.insert(revision, (adopted.get(&revision).copied().unwrap_or(now), targets));
        }
        self.merge_residue(&theirs.residue);
        for (revision, (adopted_at, targets)) in &merged {
            let same = |own: &Generation| own.targets == *targets;
            if !self.generations.get(revision).is_some_and(same) {
                self.insert(*adopted_at, *revision, targets.clone());
            }
        }
        self.generations.retain(|revision, _| merged.contains_key(revision));
        self.digest = self.compute_digest();
        before != self.digest
    }

    /// Derives the tables from the generations. `active` is the newest revision that takes new flows.
    pub(super) fn rebuild(&mut self, active: Revision) {
        let former_keys: Vec<u64> = self.slots.iter().map(|slot| slot.key).collect();
        self.collect_slots();
        let live: Vec<Table> = self.generations.values().map(|own| self.live_table(own)).collect();
        let newest = self.generations.last_key_value().map_or(active, |(revision, _)| *revision);
        if active >= self.held_until {
            self.held.fill(0);
        }
        let chosen = self.generations.range(..=active).count().saturating_sub(1);
        let mut bases = vec![NONE; BUCKETS];
        let mut currents = vec![NONE; BUCKETS];
        for bucket in 0..BUCKETS {
            let choices = live.iter().map(|table| table[bucket]);
            let mut present = choices.clone().filter(|slot| *slot != NONE);
            let base = present.next().unwrap_or(NONE);
            let agree = present.all(|slot| slot == base);
            // A removed target takes no new flow even before the revision is active.
            let current = match live[chosen][bucket] {
                NONE => live.last().map_or(NONE, |table| table[bucket]),
                slot => slot,
            };
            let former = former_keys.get(self.base[bucket] as usize);
            let moved = former.is_some_and(|former| *former != self.key_of(base));
            if moved && newest > active {
                set_bit(&mut self.held, bucket, true);
                self.held_until = newest;
            }
            let held = bit(&self.held, bucket);
            let left_over = self.residue.as_ref().is_some_and(|bits| bit(bits, bucket));
            bases[bucket] = base;
            currents[bucket] = current;
            set_bit(&mut self.settled, bucket, agree && current == base && !left_over && !held);
        }
        self.base = self.shared(bases);
        self.current = self.shared(currents);
        self.discard();
        self.digest = self.compute_digest();
    }

    /// Returns the table of a generation if it is the same, so that a settled service keeps one table and not
    /// three. With 1,600 services, separate tables took 50 MB of the 32 MB for control.
    fn shared(&self, table: Vec<u16>) -> Table {
        let tables = self.generations.values().map(|own| &own.table);
        let same = tables.into_iter().find(|own| own[..] == table[..]);
        same.cloned().unwrap_or_else(|| table.into())
    }

    /// Returns the target by its key if it is in the document.
    pub(super) fn by_key(&self, key: u64) -> Option<&Slot> {
        self.by_key.get(&key).map(|slot| &self.slots[*slot as usize])
    }

    /// Returns the keys of the targets in the document.
    pub(super) fn keys(&self) -> impl Iterator<Item = u64> {
        self.slots.iter().map(|slot| slot.key)
    }

    /// Returns the target of unknown flows of a bucket.
    pub(super) fn base(&self, bucket: usize) -> Option<&Slot> {
        self.slots.get(self.base[bucket] as usize)
    }

    /// Returns the target of new flows of a bucket.
    pub(super) fn current(&self, bucket: usize) -> Option<&Slot> {
        self.slots.get(self.current[bucket] as usize)
    }

    /// Tells whether every flow of a bucket is on its base target.
    pub(super) fn is_settled(&self, bucket: usize) -> bool {
        bit(&self.settled, bucket)
    }

    /// Tells whether other VMs may have another base for a bucket.
    pub(super) fn is_held(&self, bucket: usize) -> bool {
        bit(&self.held, bucket)
    }

    /// Returns how many buckets are unsettled.
    pub(super) fn unsettled(&self) -> usize {
        BUCKETS - self.settled.iter().map(|word| word.count_ones() as usize).sum::<usize>()
    }

    /// Returns when this VM first saw a generation that disagrees with the base of a bucket.
    pub(super) fn unsettled_since(&self, bucket: usize) -> Option<Millis> {
        let base = self.base(bucket)?.key;
        let disagrees = |own: &&Generation| {
            let key = own.keys.get(own.table[bucket] as usize);
            key.is_some_and(|key| *key != base && self.by_key.contains_key(key))
        };
        self.generations.values().find(disagrees).map(|own| own.adopted_at)
    }

    /// Returns the digest of the generations.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the generations after a revision for a peer.
    pub(super) fn export(&self, since: Revision) -> ServiceGenerations {
        let later = self.generations.iter().filter(|(revision, _)| **revision > since);
        let sets = later.map(|(rev, own)| (*rev, own.targets.clone()));
        ServiceGenerations {
            service: self.name.clone(),
            generations: sets.collect(),
            residue: self.residue.as_ref().map(|bits| bits.to_vec()).unwrap_or_default(),
        }
    }

    /// Returns how many generations are kept.
    pub(super) fn len(&self) -> usize {
        self.generations.len()
    }

    fn insert(&mut self, now: Millis, revision: Revision, targets: Arc<[GenerationTarget]>) {
        let key = |target: &GenerationTarget| target_key(&self.name, target);
        let keys: Vec<u64> = targets.iter().map(key).collect();
        let weight = |target: &GenerationTarget| if target.draining { 0 } else { target.weight };
        // Shares are scored by name, so that a target that comes back takes its former buckets.
        let share = |target: &GenerationTarget| Share {
            key: hash((&self.name, &target.name)),
            weight: weight(target),
        };
        let shares: Vec<Share> = targets.iter().map(share).collect();
        let table = table::assign(&shares);
        let generation = Generation { targets, adopted_at: now, keys, table };
        self.generations.insert(revision, generation);
    }

    fn key_of(&self, slot: u16) -> u64 {
        self.slots.get(slot as usize).map_or(0, |slot| slot.key)
    }

    /// Collects the targets of the newest generation, which are those of the document.
    fn collect_slots(&mut self) {
        let Some((_, newest)) = self.generations.last_key_value() else { return };
        let pairs = newest.keys.iter().zip(newest.targets.iter());
        self.slots =
            pairs.map(|(key, target)| Slot { key: *key, target: target.clone() }).collect();
        let by_key = self.slots.iter().enumerate().map(|(index, slot)| (slot.key, index as u16));
        self.by_key = by_key.collect();
        invariant!(
            self.by_key.len() == self.slots.len(),
            "two targets of service {} have the same key",
            self.name
        );
    }

    /// Translates a generation's table to slots, without the targets that left the document.
    fn live_table(&self, generation: &Generation) -> Table {
        let slot = |key: &u64| self.by_key.get(key).copied().unwrap_or(NONE);
        let slots: Vec<u16> = generation.keys.iter().map(slot).collect();
        let translate = |target: &u16| slots.get(*target as usize).copied().unwrap_or(NONE);
        generation.table.iter().map(translate).collect()
    }

    /// Keeps the earliest revision that either side knows for a target of the oldest generation.
    fn keep_earliest_additions(
        &self,
        sets: &mut BTreeMap<Revision, Arc<[GenerationTarget]>>,
        theirs: &ServiceGenerations,
    ) {
        let Some((oldest, set)) = sets.pop_first() else { return };
        let mut targets = set.to_vec();
        let other = theirs.generations.iter().find(|(revision, _)| *revision == oldest);
        for target in &mut targets {
            let twin = other.and_then(|(_, set)| set.iter().find(|twin| is_same(twin, target)));
            target.added = twin.map_or(target.added, |twin| twin.added.min(target.added));
        }
        sets.insert(oldest, targets.into());
    }

    fn merge_residue(&mut self, theirs: &[u64]) {
        if theirs.len() != WORDS {
            return;
        }
        let bits = self.residue.get_or_insert_with(|| Box::new([0; WORDS]));
        bits.iter_mut().zip(theirs).for_each(|(own, other)| *own |= other);
    }

    /// Discards old generations beyond the bound. Buckets they unsettled stay unsettled, because flows
    /// that were opened under them may still be exceptions.
    fn discard(&mut self) {
        while self.generations.len() > MAX_GENERATIONS {
            let based = |own: &Generation| {
                let keys = own.table.iter().map(|target| own.keys.get(*target as usize));
                let mut pairs = keys.zip(self.base.iter());
                pairs.any(|(key, base)| {
                    let slot = self.slots.get(*base as usize);
                    key.is_some() && slot.map(|slot| &slot.key) == key
                })
            };
            let mut old = self.generations.iter().take(MAX_GENERATIONS - 1);
            let unused = old.find(|(_, own)| !based(own)).map(|(revision, _)| *revision);
            // Without an unused one, the second oldest goes: the oldest determines most bases.
            let second = self.generations.keys().nth(1).copied();
            let Some(revision) = unused.or(second) else { return };
            let Some(own) = self.generations.remove(&revision) else { return };
            let live = self.live_table(&own);
            let bits = self.residue.get_or_insert_with(|| Box::new([0; WORDS]));
            for bucket in 0..BUCKETS {
                if live[bucket] != NONE && live[bucket] != self.base[bucket] {
                    set_bit(bits, bucket, true);
                }
            }
        }
    }

    fn compute_digest(&self) -> u64 {
        let sets = self.generations.iter().map(|(revision, own)| hash((revision, &own.targets)));
        let sets: Vec<u64> = sets.collect();
        hash((&self.name, sets, self.residue.as_ref().map(|bits| &bits[..])))
    }
}

/// Returns the key of a target of a service. It is never 0, which means no target in a header.
fn target_key(service: &Name, target: &GenerationTarget) -> u64 {
    hash((service, &target.name, target.address, target.added)).max(1)
}

fn is_same(a: &GenerationTarget, b: &GenerationTarget) -> bool {
    a.name == b.name && a.address == b.address
}

/// Sets the revisions of addition of a target set that follows another.
fn inherit(previous: &[GenerationTarget], targets: &mut [GenerationTarget], revision: Revision) {
    for target in targets {
        // Target sets are in the order of their names.
        let found = previous.binary_search_by(|twin| twin.name.cmp(&target.name)).ok();
        let twin = found.map(|index| &previous[index]).filter(|twin| is_same(twin, target));
        target.added = twin.map_or(revision, |twin| twin.added);
    }
}

fn bit(bits: &[u64; WORDS], bucket: usize) -> bool {
    bits[bucket / 64] >> (bucket % 64) & 1 == 1
}

fn set_bit(bits: &mut [u64; WORDS], bucket: usize, value: bool) {
    let mask = 1 << (bucket % 64);
    if value {
        bits[bucket / 64] |= mask;
    } else {
        bits[bucket / 64] &= !mask;
    }
}
