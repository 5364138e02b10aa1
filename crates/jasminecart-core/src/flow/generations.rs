//! The generations of a service, which are its target sets by revision, and the bucket tables
//! derived from them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::hash::hash;
use super::messages::{GenerationTarget, ServiceGenerations};
use super::table::{self, BUCKETS, NO_TARGET, Share, Table};
use crate::invariant;
use crate::names::Name;
use crate::time::Millis;
use crate::version::Revision;

/// The maximum number of generations stored for a service.
pub(super) const MAX_GENERATIONS: usize = 32;
const BITMAP_WORDS: usize = BUCKETS / 64;

/// A target of a service that is in the current document.
#[derive(Clone, Debug)]
pub(super) struct LiveTarget {
    /// The key that identifies the target in entries and headers. It includes the service, so that
    /// an entry never selects a target of another service (I2).
    pub(super) key: u64,
    /// The target.
    pub(super) target: GenerationTarget,
}

/// The target set of a service from one revision on.
#[derive(Clone, Debug)]
struct Generation {
    targets: Arc<[GenerationTarget]>,
    adopted_at: Millis,
    /// The keys of the targets, indexed by the values in `table`.
    keys: Vec<u64>,
    table: Table,
}

/// The routing state of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceTable {
    name: Name,
    generations: BTreeMap<Revision, Generation>,
    residue: Option<Box<[u64; BITMAP_WORDS]>>,
    live_targets: Vec<LiveTarget>,
    by_key: HashMap<u64, u16>,
    base: Table,
    current: Table,
    settled: Box<[u64; BITMAP_WORDS]>,
    /// A bitmap of the buckets whose base changed with a revision that other VMs may not have yet.
    base_unconfirmed: Box<[u64; BITMAP_WORDS]>,
    base_unconfirmed_until: Revision,
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
        let empty: Table = vec![NO_TARGET; BUCKETS].into();
        let mut table = ServiceTable {
            name,
            generations: BTreeMap::new(),
            residue: None,
            live_targets: Vec::new(),
            by_key: HashMap::new(),
            base: empty.clone(),
            current: empty,
            settled: Box::new([0; BITMAP_WORDS]),
            base_unconfirmed: Box::new([0; BITMAP_WORDS]),
            base_unconfirmed_until: Revision(0),
            digest: 0,
        };
        table.insert(now, revision, targets.into());
        table.rebuild(revision);
        table
    }

    /// Adds the target set of a new revision, whose `added` fields are ignored, if it differs from
    /// the newest generation. Returns whether it does.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        revision: Revision,
        mut targets: Vec<GenerationTarget>,
    ) -> bool {
        let Some((_, newest)) = self.generations.last_key_value() else { return false };
        inherit_added(&newest.targets, &mut targets, revision);
        if *newest.targets == *targets {
            return false;
        }
        self.insert(now, revision, targets.into());
        true
    }

    /// Merges the generations of a peer up to revision `newest`. Returns whether anything changed.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        newest: Revision,
        received: &ServiceGenerations,
    ) -> bool {
        let before = self.digest;
        let mut sets: BTreeMap<Revision, Arc<[GenerationTarget]>> = BTreeMap::new();
        let accepted = received.generations.iter().filter(|(revision, _)| *revision <= newest);
        sets.extend(accepted.cloned());
        sets.extend(
            self.generations.iter().map(|(rev, generation)| (*rev, generation.targets.clone())),
        );
        self.retain_earliest_additions(&mut sets, received);
        let adopted_at: BTreeMap<Revision, Millis> = self
            .generations
            .iter()
            .map(|(rev, generation)| (*rev, generation.adopted_at))
            .collect();
        let mut previous: Option<Arc<[GenerationTarget]>> = None;
        let mut merged = BTreeMap::new();
        for (revision, set) in sets {
            let mut targets = set.to_vec();
            if let Some(previous) = &previous {
                inherit_added(previous, &mut targets, revision);
                if **previous == *targets {
                    continue;
                }
            }
            let targets: Arc<[GenerationTarget]> = targets.into();
            previous = Some(targets.clone());
            merged.insert(revision, (adopted_at.get(&revision).copied().unwrap_or(now), targets));
        }
        self.merge_residue(&received.residue);
        for (revision, (adopted_at, targets)) in &merged {
            let is_same = |generation: &Generation| generation.targets == *targets;
            if !self.generations.get(revision).is_some_and(is_same) {
                self.insert(*adopted_at, *revision, targets.clone());
            }
        }
        self.generations.retain(|revision, _| merged.contains_key(revision));
        self.digest = self.compute_digest();
        before != self.digest
    }

    /// Derives the tables from the generations. `active` is the newest revision used for new flows.
    pub(super) fn rebuild(&mut self, active: Revision) {
        let former_keys: Vec<u64> = self.live_targets.iter().map(|target| target.key).collect();
        self.collect_live_targets();
        let live_tables: Vec<Table> =
            self.generations.values().map(|generation| self.live_table(generation)).collect();
        let newest = self.generations.last_key_value().map_or(active, |(revision, _)| *revision);
        if active >= self.base_unconfirmed_until {
            self.base_unconfirmed.fill(0);
        }
        let active_index = self.generations.range(..=active).count().saturating_sub(1);
        let mut bases = vec![NO_TARGET; BUCKETS];
        let mut currents = vec![NO_TARGET; BUCKETS];
        for bucket in 0..BUCKETS {
            let candidates = live_tables.iter().map(|table| table[bucket]);
            let mut live_candidates = candidates.clone().filter(|index| *index != NO_TARGET);
            let base = live_candidates.next().unwrap_or(NO_TARGET);
            let all_agree = live_candidates.all(|index| index == base);
            // A removed target gets no new flows, even before the revision that removes it is
            // active.
            let current = match live_tables[active_index][bucket] {
                NO_TARGET => live_tables.last().map_or(NO_TARGET, |table| table[bucket]),
                index => index,
            };
            let former = former_keys.get(self.base[bucket] as usize);
            let moved = former.is_some_and(|former| *former != self.key_of(base));
            if moved && newest > active {
                set_bit(&mut self.base_unconfirmed, bucket, true);
                self.base_unconfirmed_until = newest;
            }
            let base_unconfirmed = get_bit(&self.base_unconfirmed, bucket);
            let in_residue = self.residue.as_ref().is_some_and(|bits| get_bit(bits, bucket));
            bases[bucket] = base;
            currents[bucket] = current;
            set_bit(
                &mut self.settled,
                bucket,
                all_agree && current == base && !in_residue && !base_unconfirmed,
            );
        }
        self.base = self.reuse_table(bases);
        self.current = self.reuse_table(currents);
        self.discard_old_generations();
        self.digest = self.compute_digest();
    }

    /// Returns the table of a generation if it is equal, so that a settled service stores one table
    /// instead of three. With 1,600 services, separate tables took 50 MB, more than the 32 MB
    /// allowed for control.
    fn reuse_table(&self, table: Vec<u16>) -> Table {
        let tables = self.generations.values().map(|generation| &generation.table);
        let same = tables.into_iter().find(|existing| existing[..] == table[..]);
        same.cloned().unwrap_or_else(|| table.into())
    }

    /// Returns the target with a key if it is in the document.
    pub(super) fn by_key(&self, key: u64) -> Option<&LiveTarget> {
        self.by_key.get(&key).map(|index| &self.live_targets[*index as usize])
    }

    /// Returns the keys of the targets in the document.
    pub(super) fn keys(&self) -> impl Iterator<Item = u64> {
        self.live_targets.iter().map(|target| target.key)
    }

    /// Returns the target of flows of a bucket that have no entry.
    pub(super) fn base(&self, bucket: usize) -> Option<&LiveTarget> {
        self.live_targets.get(self.base[bucket] as usize)
    }

    /// Returns the target of new flows of a bucket.
    pub(super) fn current(&self, bucket: usize) -> Option<&LiveTarget> {
        self.live_targets.get(self.current[bucket] as usize)
    }

    /// Returns whether every flow of a bucket is on its base target.
    pub(super) fn is_settled(&self, bucket: usize) -> bool {
        get_bit(&self.settled, bucket)
    }

    /// Returns whether other VMs may have a different base target for a bucket.
    pub(super) fn is_base_unconfirmed(&self, bucket: usize) -> bool {
        get_bit(&self.base_unconfirmed, bucket)
    }

    /// Returns how many buckets are unsettled.
    pub(super) fn unsettled(&self) -> usize {
        BUCKETS - self.settled.iter().map(|word| word.count_ones() as usize).sum::<usize>()
    }

    /// Returns when this VM adopted the first generation whose target for a bucket differs from the
    /// base target.
    pub(super) fn unsettled_since(&self, bucket: usize) -> Option<Millis> {
        let base = self.base(bucket)?.key;
        let disagrees = |generation: &&Generation| {
            let key = generation.keys.get(generation.table[bucket] as usize);
            key.is_some_and(|key| *key != base && self.by_key.contains_key(key))
        };
        self.generations.values().find(disagrees).map(|generation| generation.adopted_at)
    }

    /// Returns the digest of the generations.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the generations after a revision, to be sent to a peer.
    pub(super) fn export(&self, since: Revision) -> ServiceGenerations {
        let later = self.generations.iter().filter(|(revision, _)| **revision > since);
        let sets = later.map(|(rev, generation)| (*rev, generation.targets.clone()));
        ServiceGenerations {
            service: self.name.clone(),
            generations: sets.collect(),
            residue: self.residue.as_ref().map(|bits| bits.to_vec()).unwrap_or_default(),
        }
    }

    /// Returns how many generations are stored.
    pub(super) fn len(&self) -> usize {
        self.generations.len()
    }

    fn insert(&mut self, now: Millis, revision: Revision, targets: Arc<[GenerationTarget]>) {
        let key = |target: &GenerationTarget| target_key(&self.name, target);
        let keys: Vec<u64> = targets.iter().map(key).collect();
        let weight = |target: &GenerationTarget| if target.draining { 0 } else { target.weight };
        // Scores depend on the name, so that a target that is added again gets its former buckets.
        let share = |target: &GenerationTarget| Share {
            key: hash((&self.name, &target.name)),
            weight: weight(target),
        };
        let shares: Vec<Share> = targets.iter().map(share).collect();
        let table = table::assign(&shares);
        let generation = Generation { targets, adopted_at: now, keys, table };
        self.generations.insert(revision, generation);
    }

    fn key_of(&self, index: u16) -> u64 {
        self.live_targets.get(index as usize).map_or(0, |target| target.key)
    }

    /// Collects the targets of the newest generation, which are those of the document.
    fn collect_live_targets(&mut self) {
        let Some((_, newest)) = self.generations.last_key_value() else { return };
        let pairs = newest.keys.iter().zip(newest.targets.iter());
        self.live_targets =
            pairs.map(|(key, target)| LiveTarget { key: *key, target: target.clone() }).collect();
        let by_key =
            self.live_targets.iter().enumerate().map(|(index, target)| (target.key, index as u16));
        self.by_key = by_key.collect();
        invariant!(
            self.by_key.len() == self.live_targets.len(),
            "targets of service {} do not have distinct keys",
            self.name
        );
    }

    /// Translates the table of a generation to indices of `live_targets`. Buckets of targets that
    /// are no longer in the document have [`NO_TARGET`].
    fn live_table(&self, generation: &Generation) -> Table {
        let index_of = |key: &u64| self.by_key.get(key).copied().unwrap_or(NO_TARGET);
        let indices: Vec<u16> = generation.keys.iter().map(index_of).collect();
        let translate = |target: &u16| indices.get(*target as usize).copied().unwrap_or(NO_TARGET);
        generation.table.iter().map(translate).collect()
    }

    /// Sets `added` of the targets in the oldest generation to the earlier of the local and the
    /// received revision.
    fn retain_earliest_additions(
        &self,
        sets: &mut BTreeMap<Revision, Arc<[GenerationTarget]>>,
        received: &ServiceGenerations,
    ) {
        let Some((oldest, set)) = sets.pop_first() else { return };
        let mut targets = set.to_vec();
        let other = received.generations.iter().find(|(revision, _)| *revision == oldest);
        for target in &mut targets {
            let same =
                other.and_then(|(_, set)| set.iter().find(|same| is_same_target(same, target)));
            target.added = same.map_or(target.added, |same| same.added.min(target.added));
        }
        sets.insert(oldest, targets.into());
    }

    fn merge_residue(&mut self, received: &[u64]) {
        if received.len() != BITMAP_WORDS {
            return;
        }
        let bits = self.residue.get_or_insert_with(|| Box::new([0; BITMAP_WORDS]));
        bits.iter_mut().zip(received).for_each(|(word, other)| *word |= other);
    }

    /// Discards old generations beyond [`MAX_GENERATIONS`]. Buckets that they left unsettled stay
    /// unsettled, because flows that were opened in these generations may still be exceptions.
    fn discard_old_generations(&mut self) {
        while self.generations.len() > MAX_GENERATIONS {
            let provides_base = |generation: &Generation| {
                let keys =
                    generation.table.iter().map(|target| generation.keys.get(*target as usize));
                let mut pairs = keys.zip(self.base.iter());
                pairs.any(|(key, base)| {
                    let target = self.live_targets.get(*base as usize);
                    key.is_some() && target.map(|target| &target.key) == key
                })
            };
            let mut oldest = self.generations.iter().take(MAX_GENERATIONS - 1);
            let unused = oldest
                .find(|(_, generation)| !provides_base(generation))
                .map(|(revision, _)| *revision);
            // If all provide a base target, discard the second oldest, since the oldest provides
            // the most.
            let second = self.generations.keys().nth(1).copied();
            let Some(revision) = unused.or(second) else { return };
            let Some(generation) = self.generations.remove(&revision) else { return };
            let live_table = self.live_table(&generation);
            let bits = self.residue.get_or_insert_with(|| Box::new([0; BITMAP_WORDS]));
            for bucket in 0..BUCKETS {
                if live_table[bucket] != NO_TARGET && live_table[bucket] != self.base[bucket] {
                    set_bit(bits, bucket, true);
                }
            }
        }
    }

    fn compute_digest(&self) -> u64 {
        let sets = self
            .generations
            .iter()
            .map(|(revision, generation)| hash((revision, &generation.targets)));
        let sets: Vec<u64> = sets.collect();
        hash((&self.name, sets, self.residue.as_ref().map(|bits| &bits[..])))
    }
}

/// Returns the key of a target of a service. It is never 0, which stands for no target in a header.
fn target_key(service: &Name, target: &GenerationTarget) -> u64 {
    hash((service, &target.name, target.address, target.added)).max(1)
}

fn is_same_target(a: &GenerationTarget, b: &GenerationTarget) -> bool {
    a.name == b.name && a.address == b.address
}

/// Copies `added` from the previous target set for targets that are in both, and sets it to
/// `revision` for others.
fn inherit_added(
    previous: &[GenerationTarget],
    targets: &mut [GenerationTarget],
    revision: Revision,
) {
    for target in targets {
        // Target sets are sorted by name.
        let found = previous.binary_search_by(|before| before.name.cmp(&target.name)).ok();
        let before =
            found.map(|index| &previous[index]).filter(|before| is_same_target(before, target));
        target.added = before.map_or(revision, |before| before.added);
    }
}

fn get_bit(bits: &[u64; BITMAP_WORDS], bucket: usize) -> bool {
    bits[bucket / 64] >> (bucket % 64) & 1 == 1
}

fn set_bit(bits: &mut [u64; BITMAP_WORDS], bucket: usize, value: bool) {
    let mask = 1 << (bucket % 64);
    if value {
        bits[bucket / 64] |= mask;
    } else {
        bits[bucket / 64] &= !mask;
    }
}
