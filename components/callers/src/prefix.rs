//! Hashes of the prefixes of a prompt, one for each complete cache piece.

/// Tokens in a cache piece, the unit in which prefixes in an engine's KV cache are matched.
pub const PIECE_TOKENS: usize = 2000;
/// Bytes of prompt text that are estimated as one token, because the entry has no tokenizer.
/// English and Spanish text has about 4 bytes per token; for Japanese text the estimate is too
/// high.
pub const TOKEN_BYTES: usize = 4;

const PIECE_BYTES: usize = PIECE_TOKENS * TOKEN_BYTES;

/// Incremental hasher of a prompt.
#[derive(Debug, Default)]
pub struct PrefixHasher {
    hasher: blake3::Hasher,
    bytes: usize,
    prefixes: Vec<u64>,
}

impl PrefixHasher {
    /// Adds the next bytes of the prompt.
    pub fn update(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let space = PIECE_BYTES - self.bytes % PIECE_BYTES;
            let (current, rest) = bytes.split_at(space.min(bytes.len()));
            self.hasher.update(current);
            self.bytes += current.len();
            if self.bytes.is_multiple_of(PIECE_BYTES) {
                self.prefixes.push(self.prefix_hash());
            }
            bytes = rest;
        }
    }

    /// Estimated number of tokens, and the hash of the prefix up to the end of each complete piece.
    #[must_use]
    pub fn finish(self) -> (u32, Vec<u64>) {
        let tokens = self.bytes.div_ceil(TOKEN_BYTES);
        (u32::try_from(tokens).unwrap_or(u32::MAX), self.prefixes)
    }

    fn prefix_hash(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}
