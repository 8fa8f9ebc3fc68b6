//! Hashes of the prefixes of a prompt, one for each whole cache piece.

/// Tokens in a piece of an engine's cache.
pub const PIECE_TOKENS: usize = 2000;
/// Bytes of prompt text that are counted as one token. The entry has no tokenizer; English and
/// Spanish text takes about 4 bytes a token, Japanese text fewer tokens than this counts.
pub const TOKEN_BYTES: usize = 4;

const PIECE_BYTES: usize = PIECE_TOKENS * TOKEN_BYTES;

/// Hashes a prompt as it is read.
#[derive(Debug, Default)]
pub struct PrefixHasher {
    hasher: blake3::Hasher,
    bytes: usize,
    prefixes: Vec<u64>,
}

impl PrefixHasher {
    /// Takes the next bytes of the prompt.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let space = PIECE_BYTES - self.bytes % PIECE_BYTES;
            let (now, later) = bytes.split_at(space.min(bytes.len()));
            self.hasher.update(now);
            self.bytes += now.len();
            if self.bytes.is_multiple_of(PIECE_BYTES) {
                self.prefixes.push(self.prefix());
            }
            bytes = later;
        }
    }

    /// Estimated tokens and the hash after each whole piece.
    #[must_use]
    pub fn finish(self) -> (u32, Vec<u64>) {
        let tokens = self.bytes.div_ceil(TOKEN_BYTES);
        (u32::try_from(tokens).unwrap_or(u32::MAX), self.prefixes)
    }

    fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}
