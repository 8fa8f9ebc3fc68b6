//! Approximate index of the prompt prefixes in the targets' prefix caches.
//!
//! It is built from this process's calls and from reports of peers, and is only a hint for
//! placement. Engines evict the least recently used prefixes, so an entry is ignored once the
//! target has since processed more tokens than a fixed fraction of its KV cache holds.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::protocol::PartId;
use crate::protocol::PromptPart;

/// Hash of a prompt part chained with all parts before it.
pub type PrefixHash = u64;
/// Id of one run of a target, local to this process; a restarted target gets a new one.
pub type InstanceId = u32;

/// Maximum number of instances stored for one prefix; the least recent one is dropped.
const INSTANCES_LIMIT: usize = 64;
/// Instances of a prefix that are stored without a heap allocation; enough for most prefixes.
const INLINE_INSTANCES: usize = 6;
/// Number of prefixes above which the index is cleared.
const PREFIXES_LIMIT: usize = 1 << 14;
/// Fraction of an engine's KV cache that is assumed to hold cached prefixes; running requests take
/// the rest.
const TRUSTED_FRACTION: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    instance: InstanceId,
    /// Tokens that the instance had processed when it last used the prefix.
    used_at_tokens: u64,
}

/// Prefixes with the instances that have processed them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<PrefixHash, SmallVec<[CacheEntry; INLINE_INSTANCES]>>,
    prefilled_tokens: HashMap<InstanceId, u64>,
}

/// Prefix hashes of all parts but the last one, which no other request shares.
#[must_use]
pub fn shared_hashes(parts: &[PromptPart]) -> SmallVec<[PrefixHash; 4]> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut hash = 0;
    let chained = shared.iter().map(|part| {
        hash = chain(hash, part.id);
        hash
    });
    chained.collect()
}

fn chain(before: PrefixHash, part: PartId) -> PrefixHash {
    let mixed = (before.rotate_left(23) ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}

impl PrefixIndex {
    /// Records the prefill of a prompt, of which `tokens` were not in the instance's cache.
    pub fn record_prefill(&mut self, instance: InstanceId, hashes: &[PrefixHash], tokens: u64) {
        let total_tokens = self.prefilled_tokens.entry(instance).or_default();
        *total_tokens += tokens;
        let used_at_tokens = *total_tokens;
        if self.entries.len() > PREFIXES_LIMIT {
            self.entries.clear();
        }
        for hash in hashes {
            let entries = self.entries.entry(*hash).or_default();
            entries.retain(|entry| entry.instance != instance);
            if entries.len() == INSTANCES_LIMIT {
                entries.remove(0);
            }
            entries.push(CacheEntry {
                instance,
                used_at_tokens,
            });
        }
    }

    /// Removes an instance and its prefixes.
    pub fn remove_instance(&mut self, instance: InstanceId) {
        self.prefilled_tokens.remove(&instance);
        self.entries.retain(|_, entries| {
            entries.retain(|entry| entry.instance != instance);
            !entries.is_empty()
        });
    }

    /// Number of leading prefixes that the instance probably still has in its cache.
    #[must_use]
    pub fn matching_prefixes(
        &self,
        instance: InstanceId,
        hashes: &[PrefixHash],
        capacity_tokens: u64,
    ) -> usize {
        #[allow(clippy::cast_precision_loss)] // capacities are far below 2^52 tokens
        let trusted_tokens = capacity_tokens as f64 * TRUSTED_FRACTION;
        let total_tokens = self
            .prefilled_tokens
            .get(&instance)
            .copied()
            .unwrap_or_default();
        let matching = hashes.iter().take_while(|hash| {
            let entries = self.entries.get(hash).map_or(&[][..], SmallVec::as_slice);
            entries.iter().any(|entry| {
                #[allow(clippy::cast_precision_loss)]
                let since = total_tokens.saturating_sub(entry.used_at_tokens) as f64;
                entry.instance == instance && since < trusted_tokens
            })
        });
        matching.count()
    }
}
