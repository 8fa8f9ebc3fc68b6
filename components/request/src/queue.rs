//! Bounded queue of one profile: priority, then earliest deadline; waiting raises the priority.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use types::RequestId;

use crate::hang_ups::HangUpTracker;
use crate::wait_estimate::WaitEstimator;

/// Waiting this long raises the priority by one, so that long reads are not starved. A request
/// of the lowest priority (9) reaches the highest one within the default deadline of 30 s.
const AGING_INTERVAL_MS: Duration = Duration::from_secs(3);
/// Shortest time between two looks at whether those that wait can still be answered in time.
/// The estimate hardly changes faster, and each look reads the whole queue.
const OVERDUE_CHECK_INTERVAL_MS: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Position {
    effective_priority: u8,
    deadline: Instant,
    promote_at: Instant,
}

/// Requests of one profile that wait for a target.
#[derive(Debug, Default)]
pub struct Queue {
    order: BTreeSet<(u8, Instant, RequestId)>,
    promotions: BTreeSet<(Instant, RequestId)>,
    positions: HashMap<RequestId, Position>,
    wait_estimator: WaitEstimator,
    /// How long the callers wait.
    pub patience: HangUpTracker,
    has_dispatched: bool,
    overdue_checked_at: Option<Instant>,
}

/// A request that waits and cannot be answered by its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdue {
    /// Which one.
    pub request: RequestId,
    /// Time by which its estimated finish is past its deadline.
    pub excess_ms: Duration,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether nothing is lost when the queue is dropped.
    #[must_use]
    pub fn is_droppable(&self) -> bool {
        self.is_empty() && !self.has_dispatched
    }

    /// Adds a request. `waiting_since` is earlier than `now` if it was queued before.
    pub fn push(
        &mut self,
        now: Instant,
        request: RequestId,
        priority: u8,
        deadline: Instant,
        waiting_since: Instant,
    ) {
        if self.is_empty() {
            self.wait_estimator.queue_filled(now);
        }
        let waited = now.saturating_duration_since(waiting_since);
        let steps = waited.as_millis() / AGING_INTERVAL_MS.as_millis();
        let raised = u8::try_from(steps).unwrap_or(u8::MAX);
        let position = Position {
            effective_priority: priority.saturating_sub(raised),
            deadline,
            promote_at: waiting_since + AGING_INTERVAL_MS * (u32::from(raised) + 1),
        };
        self.insert(request, position);
    }

    fn insert(&mut self, request: RequestId, position: Position) {
        self.order
            .insert((position.effective_priority, position.deadline, request));
        self.promotions.insert((position.promote_at, request));
        self.positions.insert(request, position);
    }

    /// Removes a request that goes to no target, wherever it stands.
    pub fn remove(&mut self, now: Instant, request: RequestId) -> bool {
        let was_queued = self.take(request);
        if was_queued && self.is_empty() {
            self.wait_estimator.queue_emptied(now);
        }
        was_queued
    }

    fn take(&mut self, request: RequestId) -> bool {
        let Some(position) = self.positions.remove(&request) else {
            return false;
        };
        self.order
            .remove(&(position.effective_priority, position.deadline, request));
        self.promotions.remove(&(position.promote_at, request));
        true
    }

    /// The request to serve next, with its level.
    pub fn first(&mut self, now: Instant) -> Option<(u8, Instant, RequestId)> {
        self.promote(now);
        self.order.first().copied()
    }

    /// A request left the queue for a target, which is expected to answer after `finish_ms`.
    pub fn depart(&mut self, now: Instant, request: RequestId, finish_ms: Duration) {
        if !self.take(request) {
            return;
        }
        self.has_dispatched = true;
        self.wait_estimator.departed(now, self.positions.is_empty());
        self.wait_estimator.record_service_time(finish_ms);
    }

    /// The router found that no target could finish a request that was first in the queue; the
    /// fastest one would have taken this long.
    pub fn infeasible(&mut self, finish_ms: Duration) {
        self.wait_estimator.record_service_time(finish_ms);
    }

    /// Time by which the answer is wanted: the deadline, or earlier if callers do not wait as long.
    #[must_use]
    pub fn wanted_by(&mut self, now: Instant, accepted: Instant, deadline: Instant) -> Instant {
        let limit = self.patience.wait_limit(now);
        limit.map_or(deadline, |limit| deadline.min(accepted + limit))
    }

    /// Time until which the caller is expected to wait, if it is known to be short.
    #[must_use]
    pub fn waits_until(&mut self, now: Instant, accepted: Instant) -> Option<Instant> {
        self.patience
            .short_wait_limit(now)
            .map(|limit| accepted + limit)
    }

    /// Time by which the estimated finish of a request that joins now is past its deadline.
    ///
    /// Nothing is estimated while the queue is empty, because the router knows more then.
    #[must_use]
    pub fn excess(&mut self, now: Instant, priority: u8, deadline: Instant) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        self.promote(now);
        let ahead = self
            .order
            .range(..(priority, deadline, RequestId::MAX))
            .count();
        lateness(
            now,
            self.wait_estimator.time_to_answer(now, ahead),
            deadline,
        )
    }

    /// Those that have become infeasible since they joined, in their order. Each is counted as
    /// gone in the estimate of those behind it, so the caller has to remove all of them.
    #[must_use]
    pub fn overdue(&mut self, now: Instant) -> Vec<Overdue> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OVERDUE_CHECK_INTERVAL_MS;
        if self.is_empty() || self.overdue_checked_at.is_some_and(is_recent) {
            return Vec::new();
        }
        self.overdue_checked_at = Some(now);
        self.promote(now);
        let mut feasible = 0;
        let mut overdue = Vec::new();
        for &(_, deadline, request) in &self.order {
            match lateness(
                now,
                self.wait_estimator.time_to_answer(now, feasible),
                deadline,
            ) {
                Some(excess_ms) => overdue.push(Overdue { request, excess_ms }),
                None => feasible += 1,
            }
        }
        overdue
    }

    fn promote(&mut self, now: Instant) {
        while let Some(&(at, request)) = self.promotions.first() {
            if at > now {
                return;
            }
            let Some(position) = self.positions.get(&request).copied() else {
                self.promotions.remove(&(at, request));
                continue;
            };
            self.take(request);
            self.insert(
                request,
                Position {
                    effective_priority: position.effective_priority.saturating_sub(1),
                    promote_at: at + AGING_INTERVAL_MS,
                    ..position
                },
            );
        }
    }
}

fn lateness(now: Instant, finish_ms: Duration, deadline: Instant) -> Option<Duration> {
    finish_ms
        .checked_sub(deadline.saturating_duration_since(now))
        .filter(|excess| !excess.is_zero())
}
