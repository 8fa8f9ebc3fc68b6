//! What is going to happen, in order of time.

use std::collections::BinaryHeap;
use std::time::Instant;

use crate::world::Happening;

/// Queue of what is going to happen. What is due at the same time happens in the order in which
/// it was added.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Queued>,
    added: u64,
}

impl Queue {
    pub fn push(&mut self, at: Instant, what: Happening) {
        self.added += 1;
        let order = self.added;
        self.heap.push(Queued { at, order, what });
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|queued| queued.at)
    }

    pub fn pop(&mut self) -> Option<Happening> {
        self.heap.pop().map(|queued| queued.what)
    }
}

struct Queued {
    at: Instant,
    order: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    /// The earliest is the greatest, for the heap.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
