//! Admission of one entry, which keeps one `request::queue::Queue` for each class.

use std::time::Duration;
use std::time::Instant;

use request::queue::Queue;
use types::RequestId;

use crate::policy::DisabledMechanisms;

/// Limit on the waiting calls of one class at an entry.
const QUEUE_LIMIT: usize = 256;
/// Longer than a run. A call whose waiting time starts this late is never raised in priority.
const NO_AGEING_DELAY_MS: Duration = Duration::from_hours(10);

/// Calls that wait for a target at one entry.
#[derive(Debug, Default)]
pub struct Admission {
    queues: [Queue; 3],
    is_ageing_disabled: bool,
    is_hang_up_tracking_disabled: bool,
}

impl Admission {
    pub fn new(disabled: &DisabledMechanisms) -> Self {
        Self {
            is_ageing_disabled: disabled.has("ageing"),
            is_hang_up_tracking_disabled: disabled.has("hang-ups"),
            ..Self::default()
        }
    }

    /// Queues a call; returns false if the queue is full or the deadline cannot be met.
    pub fn push(
        &mut self,
        now: Instant,
        call: usize,
        class: usize,
        priority: u8,
        deadline: Instant,
    ) -> bool {
        let queue = &mut self.queues[class];
        if queue.len() >= QUEUE_LIMIT || queue.expected_lateness(now, priority, deadline).is_some()
        {
            return false;
        }
        let waiting_since = if self.is_ageing_disabled {
            now + NO_AGEING_DELAY_MS
        } else {
            now
        };
        queue.push(now, call as RequestId, priority, deadline, waiting_since);
        true
    }

    /// Next call to route, with its class, among the classes that are not blocked.
    pub fn next(&mut self, now: Instant, blocked: [bool; 3]) -> Option<(usize, usize)> {
        let classes = (0..3).filter(|class| !blocked[*class]);
        let first = classes.filter_map(|class| Some((self.queues[class].first(now)?, class)));
        let ((_, _, request), class) = first.collect::<Vec<_>>().into_iter().min()?;
        Some((call_of(request), class))
    }

    /// Waiting calls of a class that can no longer be answered by their deadline.
    pub fn overdue(&mut self, now: Instant, class: usize) -> Vec<usize> {
        let overdue = self.queues[class].overdue(now);
        overdue.iter().map(|late| call_of(late.request)).collect()
    }

    /// Removes a call that was sent to a target, which is expected to answer after `finish_ms`.
    pub fn record_dispatch(
        &mut self,
        now: Instant,
        call: usize,
        class: usize,
        finish_ms: Duration,
    ) {
        self.queues[class].record_dispatch(now, call as RequestId, finish_ms);
    }

    /// Records that no target could meet a deadline; the fastest one would take `finish_ms`.
    pub fn record_infeasible(&mut self, class: usize, finish_ms: Duration) {
        self.queues[class].record_infeasible(finish_ms);
    }

    pub fn record_hang_up(&mut self, now: Instant, class: usize, after_ms: Duration) {
        self.queues[class].hang_ups.record_hang_up(now, after_ms);
    }

    pub fn record_answer(&mut self, now: Instant, class: usize, after_ms: Duration) {
        self.queues[class].hang_ups.record_answer(now, after_ms);
    }

    /// Effective deadline, earlier than `deadline` if callers of the class usually hang up before.
    pub fn effective_deadline(
        &mut self,
        now: Instant,
        class: usize,
        submitted_at: Instant,
        deadline: Instant,
    ) -> Instant {
        if self.is_hang_up_tracking_disabled {
            return deadline;
        }
        self.queues[class].effective_deadline(now, submitted_at, deadline)
    }

    /// Time at which the caller is expected to hang up, if that is known to be soon.
    pub fn expected_hang_up(
        &mut self,
        now: Instant,
        class: usize,
        submitted_at: Instant,
    ) -> Option<Instant> {
        if self.is_hang_up_tracking_disabled {
            return None;
        }
        self.queues[class].waits_until(now, submitted_at)
    }

    pub fn remove(&mut self, now: Instant, call: usize, class: usize) {
        self.queues[class].remove(now, call as RequestId);
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(Queue::is_empty)
    }
}

fn call_of(request: RequestId) -> usize {
    usize::try_from(request).unwrap_or(usize::MAX)
}
