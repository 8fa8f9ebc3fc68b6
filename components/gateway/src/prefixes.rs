//! Which target has read which parts of prompts: a hint, never relied on.
//!
//! Fed by this process's own calls and by what peers report. Engines evict the least recently
//! used parts, so an entry is trusted only while the target has not since read more tokens than
//! its memory holds.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::protocol::PartId;
use crate::protocol::PromptPart;

/// Hash of a part and of all parts before it.
pub type PrefixHash = u64;
/// Position of a target's run; a restart takes a new one.
pub type Holder = u32;

/// Most holders that are remembered for one prefix.
const HOLDERS_LIMIT: usize = 64;
/// Holders of most prefixes.
const FEW_HOLDERS: usize = 6;
/// Most prefixes that are remembered.
const PREFIXES_LIMIT: usize = 1 << 14;
/// Part of an engine's memory that cached parts are trusted to have; running requests take the
/// rest.
const TRUSTED_PART: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct Use {
    holder: Holder,
    /// Tokens that the holder had read when it last used the prefix.
    at_tokens: u64,
}

/// Index of prefixes.
#[derive(Debug, Default)]
pub struct PrefixHints {
    uses: HashMap<PrefixHash, SmallVec<[Use; FEW_HOLDERS]>>,
    read_tokens: HashMap<Holder, u64>,
}

/// Hashes of the parts that may be shared: all but the last one, which is the request's own.
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

impl PrefixHints {
    /// Notes that a holder reads a prompt, of which `tokens` are not in its memory yet.
    pub fn reads(&mut self, holder: Holder, hashes: &[PrefixHash], tokens: u64) {
        let read = self.read_tokens.entry(holder).or_default();
        *read += tokens;
        let at_tokens = *read;
        if self.uses.len() > PREFIXES_LIMIT {
            self.uses.clear();
        }
        for hash in hashes {
            let uses = self.uses.entry(*hash).or_default();
            uses.retain(|known| known.holder != holder);
            if uses.len() == HOLDERS_LIMIT {
                uses.remove(0);
            }
            uses.push(Use { holder, at_tokens });
        }
    }

    /// Forgets a holder.
    pub fn forget(&mut self, holder: Holder) {
        self.read_tokens.remove(&holder);
        self.uses.retain(|_, uses| {
            uses.retain(|known| known.holder != holder);
            !uses.is_empty()
        });
    }

    /// Number of leading prefixes that a holder is thought to have.
    #[must_use]
    pub fn matched(&self, holder: Holder, hashes: &[PrefixHash], memory_tokens: u64) -> usize {
        #[allow(clippy::cast_precision_loss)] // memories are far below 2^52 tokens
        let trusted_tokens = memory_tokens as f64 * TRUSTED_PART;
        let read = self.read_tokens.get(&holder).copied().unwrap_or_default();
        let held = hashes.iter().take_while(|hash| {
            let uses = self.uses.get(hash).map_or(&[][..], SmallVec::as_slice);
            uses.iter().any(|known| {
                #[allow(clippy::cast_precision_loss)]
                let since = read.saturating_sub(known.at_tokens) as f64;
                known.holder == holder && since < trusted_tokens
            })
        });
        held.count()
    }
}
