//! Limits on the bytes that several connections buffer together.

use std::cell::Cell;
use std::rc::Rc;

/// Limit on buffered bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    used_bytes: Rc<Cell<usize>>,
    limit_bytes: usize,
}

impl ByteBudget {
    /// A budget of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            used_bytes: Rc::default(),
            limit_bytes,
        }
    }

    /// The same budget with another limit.
    #[must_use]
    pub fn with_limit(&self, limit_bytes: usize) -> Self {
        Self {
            used_bytes: self.used_bytes.clone(),
            limit_bytes,
        }
    }

    /// Bytes of all reservations.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// A reservation of no bytes.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Share of one connection in a budget; released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: ByteBudget,
    bytes: usize,
}

impl Reservation {
    /// Changes the share. Returns whether all together keep to the limit.
    pub fn set(&mut self, bytes: usize) -> bool {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes + bytes);
        self.bytes = bytes;
        used_bytes.get() <= self.budget.limit_bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
