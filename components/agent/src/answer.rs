//! Buffer for the bytes of one answer that may have to be sent again.
//!
//! Entries read an answer at their own pace and may reconnect, so bytes are kept until every reader
//! has acknowledged them. The answer of a non-idempotent attempt is kept from its first byte,
//! because another entry may request it from the start.

use std::collections::VecDeque;

use wire::AnswerDigest;
use wire::Digest;

/// Kept bytes of an answer, and the digest of all its bytes.
#[derive(Default)]
pub struct Answer {
    start_offset: u64,
    bytes: VecDeque<u8>,
    digest: AnswerDigest,
    /// Length and digest of the complete answer.
    sealed: Option<(u64, Digest)>,
}

impl Answer {
    /// Appends bytes from the target.
    pub fn push(&mut self, bytes: &[u8]) {
        debug_assert!(self.sealed.is_none(), "bytes after the end of an answer");
        self.digest.push(bytes);
        self.bytes.extend(bytes);
    }

    /// Marks the answer as complete. Frees the 1.9 KB of digest state, because thousands of
    /// finished answers are kept.
    pub fn seal(&mut self) {
        if self.sealed.is_none() {
            self.sealed = Some((self.digest.length(), self.digest.digest()));
            self.digest = AnswerDigest::default();
        }
    }

    /// Offset of the first kept byte.
    #[must_use]
    pub fn start_offset(&self) -> u64 {
        self.start_offset
    }

    /// Bytes received from the target so far, including discarded ones.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.sealed
            .map_or_else(|| self.digest.length(), |(length, _)| length)
    }

    /// Number of kept bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Digest of all bytes received so far.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.sealed
            .map_or_else(|| self.digest.digest(), |(_, digest)| digest)
    }

    /// Copies at most `limit_bytes` from `offset`, which must not be less than `start_offset`.
    #[must_use]
    pub fn copy(&self, offset: u64, limit_bytes: u64) -> Vec<u8> {
        let start = to_index(offset.saturating_sub(self.start_offset)).min(self.bytes.len());
        let end = start
            .saturating_add(to_index(limit_bytes))
            .min(self.bytes.len());
        let (front, back) = self.bytes.as_slices();
        let mut out = Vec::with_capacity(end - start);
        if start < front.len() {
            out.extend_from_slice(&front[start..end.min(front.len())]);
        }
        if end > front.len() {
            out.extend_from_slice(&back[start.saturating_sub(front.len())..end - front.len()]);
        }
        out
    }

    /// Discards bytes before `offset`.
    pub fn discard(&mut self, offset: u64) {
        let count = to_index(offset.saturating_sub(self.start_offset)).min(self.bytes.len());
        self.bytes.drain(..count);
        self.start_offset += count as u64;
        if self.bytes.is_empty() {
            // Frees the allocation, which would otherwise keep its peak size.
            self.bytes = VecDeque::new();
        }
    }
}

fn to_index(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
