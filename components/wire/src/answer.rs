//! Digest of an answer, computed at both ends of the path.

/// BLAKE3 digest of all bytes of an answer's body.
pub type Digest = [u8; 32];

/// Running length and digest of an answer.
#[derive(Clone, Default)]
pub struct AnswerDigest {
    /// Boxed, and made for the first byte: its state takes 1.9 KB, which every move of the owner
    /// would copy and every slot of a map of owners would hold.
    hasher: Option<Box<blake3::Hasher>>,
    length: u64,
}

impl AnswerDigest {
    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.hasher.get_or_insert_default().update(bytes);
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
        let digest = match &self.hasher {
            Some(hasher) => hasher.finalize(),
            None => blake3::hash(&[]),
        };
        *digest.as_bytes()
    }
}
