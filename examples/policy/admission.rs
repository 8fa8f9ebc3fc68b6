//! Queue of one entry, by the admission rules of `docs/design.md`, section 4.

use std::time::Duration;

/// Requests of one entry that may wait.
pub const QUEUE_LIMIT: usize = 256;
/// Waiting this long raises a request by one priority.
const AGEING: Duration = Duration::from_secs(4);

/// One waiting request.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub call: usize,
    pub priority: u8,
    pub since: Duration,
    pub deadline: Duration,
}

/// Requests that wait for a target.
#[derive(Debug, Default)]
pub struct Queue {
    pub waiting: Vec<Waiting>,
    pub without_ageing: bool,
}

impl Queue {
    /// Adds a request; returns whether there was room.
    pub fn push(&mut self, waiting: Waiting) -> bool {
        if self.waiting.len() >= QUEUE_LIMIT {
            return false;
        }
        self.waiting.push(waiting);
        true
    }

    /// Requests in the order in which they are tried: priority, raised by waiting, then deadline.
    pub fn in_order(&mut self, now: Duration) -> Vec<Waiting> {
        let without_ageing = self.without_ageing;
        self.waiting.sort_by_key(|waiting| {
            let raised = if without_ageing {
                0
            } else {
                now.saturating_sub(waiting.since).as_secs() / AGEING.as_secs()
            };
            let priority = u64::from(waiting.priority).saturating_sub(raised);
            (priority, waiting.deadline, waiting.call)
        });
        self.waiting.clone()
    }

    pub fn remove(&mut self, call: usize) {
        self.waiting.retain(|waiting| waiting.call != call);
    }
}
