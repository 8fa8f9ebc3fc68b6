//! Retained answer bodies, with memory limits for the whole process.

use std::cell::Cell;
use std::rc::Rc;

use crate::claim::RETAINED_ANSWER_LIMIT_BYTES;
use crate::claim::ROW_ANSWER_LIMIT_BYTES;

/// Memory for large answers that are retained until they are stored: a quarter of an entry's
/// 128 MB. Without a limit, an outage of the object store would exhaust the memory. An answer that
/// does not fit is not retained.
pub const RETAINED_LIMIT_BYTES: usize = 32 << 20;
/// Memory for large answers that are being sent to resends: another quarter. Without a limit,
/// callers that resend often and read slowly would exhaust the memory.
pub const REPLAY_LIMIT_BYTES: usize = 32 << 20;

/// Minimum step by which the buffer of a large answer grows.
const GROWTH_STEP_BYTES: usize = 64 << 10;

/// Memory in use for one purpose, and its limit.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    used: Rc<Cell<usize>>,
    limit_bytes: usize,
}

impl MemoryBudget {
    /// Starts with no memory in use.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            used: Rc::default(),
            limit_bytes,
        }
    }

    /// Bytes that are reserved now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Starts a reservation of zero bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            bytes: 0,
            budget: self.clone(),
        }
    }
}

/// Part of a budget, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Reservation {
    /// Grows the reservation to `bytes`. Returns false if that exceeds the budget.
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

/// Body of one answer. A body that fits into a claim row is not counted against the budget.
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

    /// The body so far.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes. Returns false if that exceeds a limit.
    pub(crate) fn push(&mut self, more: &[u8]) -> bool {
        let length = self.bytes.len() + more.len();
        let is_large = length > ROW_ANSWER_LIMIT_BYTES;
        if is_large && (length > RETAINED_ANSWER_LIMIT_BYTES || !self.reservation.grow_to(length)) {
            return false;
        }
        if is_large && self.bytes.capacity() < length {
            // `Vec` would double its capacity, up to twice the memory that is reserved.
            self.bytes.reserve_exact(more.len().max(GROWTH_STEP_BYTES));
        }
        self.bytes.extend_from_slice(more);
        true
    }
}
