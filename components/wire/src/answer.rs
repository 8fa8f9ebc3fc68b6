//! Digest of an answer, computed by both the agent and the entry.

/// BLAKE3 digest of an answer's body.
pub type Digest = [u8; 32];

/// Incremental length and digest of an answer's body.
#[derive(Clone, Default)]
pub struct AnswerDigest {
    /// Boxed and created on the first byte, because its state takes 1.9 KB, which would be copied
    /// with every move of the struct and reserved in every slot of a map that contains it.
    hasher: Option<Box<blake3::Hasher>>,
    length: u64,
}

impl AnswerDigest {
    /// Appends bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.hasher.get_or_insert_default().update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Number of bytes appended so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Digest of the bytes appended so far.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let digest = match &self.hasher {
            Some(hasher) => hasher.finalize(),
            None => blake3::hash(&[]),
        };
        *digest.as_bytes()
    }
}
