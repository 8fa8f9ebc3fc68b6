//! Large answers in memory, within limits for the whole process.

use std::cell::Cell;
use std::rc::Rc;

use crate::claim::KEPT_ANSWER_LIMIT_BYTES;
use crate::claim::ROW_ANSWER_LIMIT_BYTES;

/// Bytes of large answers that one entry holds until they are stored: a quarter of its 128 MB.
/// An outage of the object store would otherwise fill the memory. An answer beyond it is not
/// kept.
pub const RETAINED_LIMIT_BYTES: usize = 32 << 20;
/// Bytes of large answers for resends that callers have not taken yet: another quarter. Callers
/// that resend freely and read slowly would otherwise fill the memory.
pub const REPLAY_LIMIT_BYTES: usize = 32 << 20;

/// Memory that a growing large answer takes ahead.
const GROWTH_STEP_BYTES: usize = 64 << 10;

/// Bytes held for one purpose, with their limit.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    used: Rc<Cell<usize>>,
    limit_bytes: usize,
}

impl MemoryBudget {
    /// Nothing is held yet.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            used: Rc::default(),
            limit_bytes,
        }
    }

    /// Bytes held now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Starts to hold something that has no bytes yet.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

/// Part of the bytes held; given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Reservation {
    /// Returns false if the limit does not allow it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let used = self.budget.used() - self.bytes + bytes;
        if used > self.budget.limit_bytes {
            return false;
        }
        self.budget.used.set(used);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used() - self.bytes);
    }
}

/// The bytes of one answer. Those of an answer that fits into a row are not counted.
#[derive(Debug)]
pub struct RetainedBody {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl RetainedBody {
    pub(crate) fn new(budget: &MemoryBudget) -> Self {
        Self {
            bytes: Vec::new(),
            reservation: budget.reserve(),
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
        let is_large = length > ROW_ANSWER_LIMIT_BYTES;
        if is_large && (length > KEPT_ANSWER_LIMIT_BYTES || !self.reservation.grow_to(length)) {
            return false;
        }
        if is_large && self.bytes.capacity() < length {
            // Doubling would take up to twice the memory that is counted.
            self.bytes.reserve_exact(more.len().max(GROWTH_STEP_BYTES));
        }
        self.bytes.extend_from_slice(more);
        true
    }
}
