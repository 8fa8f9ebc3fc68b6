//! Admission queue of one profile, ordered by priority and then deadline, with priority aging.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use types::RequestId;

use crate::hang_ups::HangUpTracker;
use crate::wait_estimate::WaitEstimator;

/// Waiting time that raises the priority of a request by one level, so that requests of low
/// priority, such as those with long prompts, are not starved. A request of the lowest
/// priority (9) reaches the highest (0) within the default deadline of 30 s.
const AGING_INTERVAL_MS: Duration = Duration::from_secs(3);
/// Minimum time between two searches for overdue requests. The estimate hardly changes faster, and
/// each search reads the whole queue.
const OVERDUE_CHECK_INTERVAL_MS: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Position {
    effective_priority: u8,
    deadline: Instant,
    promote_at: Instant,
}

/// Requests of one profile that are waiting for a target.
#[derive(Debug, Default)]
pub struct Queue {
    order: BTreeSet<(u8, Instant, RequestId)>,
    promotions: BTreeSet<(Instant, RequestId)>,
    positions: HashMap<RequestId, Position>,
    wait_estimator: WaitEstimator,
    /// How long callers of the profile wait before they hang up.
    pub hang_ups: HangUpTracker,
    has_dispatched: bool,
    overdue_checked_at: Option<Instant>,
}

/// Queued request that is not expected to be answered by its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdue {
    /// Id of the request.
    pub request: RequestId,
    /// Time from its deadline to its estimated finish.
    pub lateness_ms: Duration,
}

impl Queue {
    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether the queue holds neither requests nor statistics of earlier ones.
    #[must_use]
    pub fn is_droppable(&self) -> bool {
        self.is_empty() && !self.has_dispatched
    }

    /// Adds a request. `waiting_since` is earlier than `now` if the request was queued before.
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

    /// Removes a request without a dispatch. Returns whether it was queued.
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

    /// The request to serve next, with its effective priority and its deadline.
    pub fn first(&mut self, now: Instant) -> Option<(u8, Instant, RequestId)> {
        self.promote(now);
        self.order.first().copied()
    }

    /// Removes a request that is dispatched and expected to be answered after `finish_ms`.
    pub fn record_dispatch(&mut self, now: Instant, request: RequestId, finish_ms: Duration) {
        if !self.take(request) {
            return;
        }
        self.has_dispatched = true;
        self.wait_estimator.departed(now, self.positions.is_empty());
        self.wait_estimator.record_service_time(finish_ms);
    }

    /// Records that no target could finish the first request in time; the fastest one would have
    /// taken `finish_ms`.
    pub fn record_infeasible(&mut self, finish_ms: Duration) {
        self.wait_estimator.record_service_time(finish_ms);
    }

    /// Effective deadline, which is earlier than `deadline` if callers usually do not wait as long.
    #[must_use]
    pub fn effective_deadline(
        &mut self,
        now: Instant,
        accepted: Instant,
        deadline: Instant,
    ) -> Instant {
        let limit = self.hang_ups.wait_limit(now);
        limit.map_or(deadline, |limit| deadline.min(accepted + limit))
    }

    /// Time until which the caller is expected to wait, if that wait is too short to be used as a
    /// limit for refusals.
    #[must_use]
    pub fn waits_until(&mut self, now: Instant, accepted: Instant) -> Option<Instant> {
        self.hang_ups
            .short_wait_limit(now)
            .map(|limit| accepted + limit)
    }

    /// Time by which a request that is added now is expected to miss its deadline.
    ///
    /// `None` while the queue is empty, because the router has a better estimate then.
    #[must_use]
    pub fn expected_lateness(
        &mut self,
        now: Instant,
        priority: u8,
        deadline: Instant,
    ) -> Option<Duration> {
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

    /// Requests that are expected to miss their deadline, in queue order. The estimate for each
    /// request leaves out the overdue ones ahead of it, so the caller has to remove all of them.
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
                Some(lateness_ms) => overdue.push(Overdue {
                    request,
                    lateness_ms,
                }),
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
        .filter(|lateness| !lateness.is_zero())
}
