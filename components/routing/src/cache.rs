//! Index of the prefix pieces that targets hold: a hint, never relied on.
//!
//! Cache events come late and with gaps, so the index is also fed by what was dispatched and
//! corrected by the usage that answers report. Memory is bounded by two generations of fixed size:
//! when the young one is full it becomes the old one, and what was old is forgotten unless it
//! was used again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

use smallvec::SmallVec;

/// Most holders that are listed for one prefix; more holders than this need no list, since
/// random samples find them.
const HOLDERS_LIMIT: usize = 8;

/// Holder of pieces: one run of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Holder(u64);

impl Holder {
    /// The run of the target at a position in the fleet.
    #[must_use]
    pub fn new(position: usize, run: u32) -> Self {
        Self(((position as u64) << 32) | u64::from(run))
    }

    /// Position in the fleet.
    #[must_use]
    pub fn position(self) -> usize {
        usize::try_from(self.0 >> 32).unwrap_or(usize::MAX)
    }
}

/// Keys are hashes already; only the holder has to be mixed in.
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

/// Which target holds which prefix pieces, as far as is known.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    young: Generation,
    old: Generation,
}

impl PrefixIndex {
    /// Holds at most `limit` pairs of prefix and holder.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(2),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Pairs held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.pairs.len() + self.old.pairs.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the holder is thought to have the piece.
    #[must_use]
    pub fn holds(&self, prefix: u64, holder: Holder) -> bool {
        self.young.pairs.contains(&(prefix, holder)) || self.old.pairs.contains(&(prefix, holder))
    }

    /// Notes that the holder has the piece.
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

    /// Notes that the holder no longer has the piece.
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

    /// Number of leading pieces that the holder is thought to have.
    ///
    /// Engines evict the ends of prefixes first, so the count is found by bisection.
    #[must_use]
    pub fn matched(&self, prefixes: &[u64], holder: Holder) -> usize {
        prefixes.partition_point(|prefix| self.holds(*prefix, holder))
    }

    /// Holders of the longest match, a bounded number of them.
    #[must_use]
    pub fn best_holders(&self, prefixes: &[u64]) -> SmallVec<[Holder; 2 * HOLDERS_LIMIT]> {
        let length = prefixes.partition_point(|prefix| {
            self.young.holders.contains_key(prefix) || self.old.holders.contains_key(prefix)
        });
        let mut found = SmallVec::new();
        let Some(last) = length.checked_sub(1).map(|at| prefixes[at]) else {
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
