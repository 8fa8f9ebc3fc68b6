//! Answers kept in memory until they are stored, within a limit for the whole process.

use std::cell::Cell;
use std::rc::Rc;

use crate::claim::KEPT_ANSWER_LIMIT_BYTES;
use crate::claim::ROW_ANSWER_LIMIT_BYTES;

/// Bytes of large answers that one entry holds at once: a quarter of its 128 MB. An outage of
/// the object store would otherwise fill the memory. An answer beyond it is not kept.
pub const HELD_LIMIT_BYTES: usize = 32 << 20;

/// Bytes of large answers that the process holds now.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes(Rc<Cell<usize>>);

impl HeldBytes {
    /// Bytes held now.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// The bytes of one answer. Those of an answer that fits into a row are not counted.
#[derive(Debug)]
pub struct Kept {
    bytes: Vec<u8>,
    counted: usize,
    held: HeldBytes,
}

impl Kept {
    pub(crate) fn new(held: &HeldBytes) -> Self {
        Self {
            bytes: Vec::new(),
            counted: 0,
            held: held.clone(),
        }
    }

    /// The bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds bytes. Returns false if a limit does not allow it.
    pub(crate) fn push(&mut self, more: &[u8]) -> bool {
        let length = self.bytes.len() + more.len();
        if length > ROW_ANSWER_LIMIT_BYTES {
            let held = self.held.get() + length - self.counted;
            if length > KEPT_ANSWER_LIMIT_BYTES || held > HELD_LIMIT_BYTES {
                return false;
            }
            self.held.0.set(held);
            self.counted = length;
        }
        self.bytes.extend_from_slice(more);
        true
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.held.0.set(self.held.get() - self.counted);
    }
}
