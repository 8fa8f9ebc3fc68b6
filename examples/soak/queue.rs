//! Event queue of the simulation.

use std::collections::BinaryHeap;
use std::time::Instant;

use crate::simulation::SimEvent;

/// Events ordered by due time; events due at the same time keep their insertion order.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    pushed_count: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Instant, event: SimEvent) {
        self.pushed_count += 1;
        let order = self.pushed_count;
        self.heap.push(ScheduledEvent { at, order, event });
    }

    /// Due time of the next event.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|scheduled| scheduled.at)
    }

    pub fn pop(&mut self) -> Option<SimEvent> {
        self.heap.pop().map(|scheduled| scheduled.event)
    }
}

struct ScheduledEvent {
    at: Instant,
    order: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, so that the max-heap yields the earliest event first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
