//! Admission of one entry: one queue of the crate `request` for each class.

use std::time::Duration;
use std::time::Instant;

use request::queue::Queue;
use types::RequestId;

use crate::policy::Without;

/// Requests of one entry and class that may wait.
const QUEUE_LIMIT: usize = 256;
/// Longer than a run. Waiting that begins this late never raises a priority.
const NEVER: Duration = Duration::from_hours(10);

/// Requests that wait for a target.
#[derive(Debug, Default)]
pub struct Admission {
    queues: [Queue; 3],
    without_ageing: bool,
    without_hang_ups: bool,
}

impl Admission {
    pub fn new(without: &Without) -> Self {
        Self {
            without_ageing: without.has("ageing"),
            without_hang_ups: without.has("hang-ups"),
            ..Self::default()
        }
    }

    /// Adds a call; returns whether it can be expected to finish in time.
    pub fn push(
        &mut self,
        now: Instant,
        call: usize,
        class: usize,
        priority: u8,
        deadline: Instant,
    ) -> bool {
        let queue = &mut self.queues[class];
        if queue.len() >= QUEUE_LIMIT || queue.excess(now, priority, deadline).is_some() {
            return false;
        }
        let since = if self.without_ageing {
            now + NEVER
        } else {
            now
        };
        queue.push(now, call as RequestId, priority, deadline, since);
        true
    }

    /// The call to route next among the classes that are not blocked, with its class.
    pub fn next(&mut self, now: Instant, blocked: [bool; 3]) -> Option<(usize, usize)> {
        let classes = (0..3).filter(|class| !blocked[*class]);
        let first = classes.filter_map(|class| Some((self.queues[class].first(now)?, class)));
        let ((_, _, request), class) = first.collect::<Vec<_>>().into_iter().min()?;
        Some((call_of(request), class))
    }

    /// Calls of a class that can no longer be answered in time.
    pub fn overdue(&mut self, now: Instant, class: usize) -> Vec<usize> {
        let overdue = self.queues[class].overdue(now);
        overdue.iter().map(|late| call_of(late.request)).collect()
    }

    /// A call was sent to a target that is expected to answer after `finish`.
    pub fn depart(&mut self, now: Instant, call: usize, class: usize, finish: Duration) {
        self.queues[class].depart(now, call as RequestId, finish);
    }

    /// No target could finish a call; the fastest one would have taken this long.
    pub fn infeasible(&mut self, class: usize, finish: Duration) {
        self.queues[class].infeasible(finish);
    }

    pub fn hung_up(&mut self, now: Instant, class: usize, after: Duration) {
        self.queues[class].patience.hung_up(now, after);
    }

    pub fn answered(&mut self, now: Instant, class: usize, after: Duration) {
        self.queues[class].patience.answered(now, after);
    }

    /// Time by which an answer is wanted.
    pub fn wanted_by(
        &mut self,
        now: Instant,
        class: usize,
        accepted: Instant,
        deadline: Instant,
    ) -> Instant {
        if self.without_hang_ups {
            return deadline;
        }
        self.queues[class].wanted_by(now, accepted, deadline)
    }

    /// Time until which the caller of a class is expected to wait, if it is known to be short.
    pub fn waits_until(
        &mut self,
        now: Instant,
        class: usize,
        accepted: Instant,
    ) -> Option<Instant> {
        if self.without_hang_ups {
            return None;
        }
        self.queues[class].waits_until(now, accepted)
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
