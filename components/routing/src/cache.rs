//! Approximate index of the prefix pieces in the caches of targets.
//!
//! A piece is a block of `piece_tokens` prompt tokens, identified by the hash of the prompt up to
//! its end. Cache events arrive late and with gaps, so the index is also updated on dispatch, and
//! the token usage in answers corrects for its errors. Memory is bounded by two generations of
//! fixed size: when the young one is full it replaces the old one, whose pairs are dropped unless
//! they were stored again in the meantime.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

use smallvec::SmallVec;

/// Maximum number of holders listed for a prefix. A prefix with more holders is likely to be held
/// by a randomly sampled target.
const HOLDERS_LIMIT: usize = 8;

/// Run of a target whose prefix cache holds pieces; a restart gives a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Holder(u64);

impl Holder {
    /// Identifies a run of the target at a position in [`crate::Fleet`].
    #[must_use]
    pub fn new(position: usize, run: u32) -> Self {
        Self(((position as u64) << 32) | u64::from(run))
    }

    /// Position of the target in [`crate::Fleet`].
    #[must_use]
    pub fn position(self) -> usize {
        usize::try_from(self.0 >> 32).unwrap_or(usize::MAX)
    }
}

/// Hasher for keys that are hashes already; it only mixes in the holder.
#[derive(Debug, Default, Clone)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        let mixed = (self.0.rotate_left(29) ^ value).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.0 = mixed ^ (mixed >> 32);
    }
}

type Map<K, V> = HashMap<K, V, BuildHasherDefault<KeyHasher>>;
type Set<K> = HashSet<K, BuildHasherDefault<KeyHasher>>;
type Holders = SmallVec<[Holder; HOLDERS_LIMIT]>;

#[derive(Debug, Default)]
struct Generation {
    pairs: Set<(u64, Holder)>,
    holders: Map<u64, Holders>,
}

/// Pairs of prefix piece and holder, with the newest pairs in `young`.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    young: Generation,
    old: Generation,
}

impl PrefixIndex {
    /// Creates an index of at most `limit` pairs of prefix and holder.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(2),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Number of pairs of prefix and holder.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.pairs.len() + self.old.pairs.len()
    }

    /// Whether the index has no pairs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the holder is expected to have the piece in its cache.
    #[must_use]
    pub fn holds(&self, prefix: u64, holder: Holder) -> bool {
        self.young.pairs.contains(&(prefix, holder)) || self.old.pairs.contains(&(prefix, holder))
    }

    /// Records that the holder has the piece in its cache.
    pub fn stored(&mut self, prefix: u64, holder: Holder) {
        if self.young.pairs.contains(&(prefix, holder)) {
            return;
        }
        if self.young.pairs.len() >= self.limit / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.pairs.remove(&(prefix, holder));
        self.young.pairs.insert((prefix, holder));
        let holders = self.young.holders.entry(prefix).or_default();
        if holders.len() == HOLDERS_LIMIT {
            holders.remove(0);
        }
        holders.push(holder);
    }

    /// Records that the holder has evicted the piece.
    pub fn evicted(&mut self, prefix: u64, holder: Holder) {
        for generation in [&mut self.young, &mut self.old] {
            if !generation.pairs.remove(&(prefix, holder)) {
                continue;
            }
            if let Some(holders) = generation.holders.get_mut(&prefix) {
                holders.retain(|held| *held != holder);
                if holders.is_empty() {
                    generation.holders.remove(&prefix);
                }
            }
        }
    }

    /// Number of leading pieces that the holder is expected to have.
    ///
    /// Engines evict the last pieces of a prefix first, so a binary search finds the count.
    #[must_use]
    pub fn matched_pieces(&self, prefixes: &[u64], holder: Holder) -> usize {
        prefixes.partition_point(|prefix| self.holds(*prefix, holder))
    }

    /// Up to `2 * HOLDERS_LIMIT` holders of the longest matching prefix.
    #[must_use]
    pub fn best_holders(&self, prefixes: &[u64]) -> SmallVec<[Holder; 2 * HOLDERS_LIMIT]> {
        let length = prefixes.partition_point(|prefix| {
            self.young.holders.contains_key(prefix) || self.old.holders.contains_key(prefix)
        });
        let mut found = SmallVec::new();
        let Some(last) = length.checked_sub(1).map(|position| prefixes[position]) else {
            return found;
        };
        for generation in [&self.young, &self.old] {
            if let Some(holders) = generation.holders.get(&last) {
                found.extend(holders.iter().copied());
            }
        }
        found
    }
}
