//! Digest of an answer, computed at both ends of the path.

/// BLAKE3 digest of all bytes of an answer's body.
pub type Digest = [u8; 32];

/// Running length and digest of an answer.
#[derive(Clone, Default)]
pub struct AnswerDigest {
    hasher: blake3::Hasher,
    length: u64,
}

impl AnswerDigest {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Bytes taken so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Digest of the bytes taken so far.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.hasher.finalize().as_bytes()
    }
}
