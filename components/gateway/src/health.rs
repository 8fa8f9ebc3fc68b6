//! Health of a target, from the outcomes of this process's calls and the reports of its peers.
//!
//! A crashed target stays listed for some seconds and may still accept connections, which it resets
//! as soon as a request arrives. A process that sees this takes the target out of use and tells its
//! peers. Each process tries the target again after a random time; the first call that fails
//! renews the report, so that a target that stays down gets few calls from all processes together.

use std::time::Duration;
use std::time::Instant;

use routing::Ejection;

/// Shortest time for which an unreachable target gets no work. The longest is twice as long.
const UNREACHABLE_BACKOFF_MS: Duration = Duration::from_secs(1);
/// Answers lost in a row on new connections after which a target is unreachable.
const LOST_CONNECTIONS: u32 = 2;
/// Durations of the first and of the longest ejection. Crashed engines restart within about five
/// seconds.
const EJECTION_MS: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(6));
/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Health of one target.
#[derive(Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    lost_connections: u32,
    unreachable_until: Option<Instant>,
    ejection: Ejection,
}

impl TargetHealth {
    /// Whether the target is neither ejected nor unreachable.
    #[must_use]
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.ejection.until(now).is_none() && !self.is_unreachable(now)
    }

    /// Moving average of the failure rate, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the target has answered no call since it was unreachable. Its idle connections may
    /// lead to a process that is gone.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.unreachable_until.is_some()
    }

    /// Records that the target answered a call, with whatever status.
    pub(crate) fn record_answer(&mut self) {
        self.lost_connections = 0;
        self.unreachable_until = None;
    }

    /// Records a successful call.
    pub(crate) fn record_success(&mut self) {
        self.ejection.record_success();
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a call that failed through the target's fault. Returns whether the target is ejected.
    pub(crate) fn record_failure(&mut self, now: Instant) -> bool {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        let is_ejected = self.ejection.record_failure();
        if is_ejected {
            let (first, longest) = EJECTION_MS;
            self.ejection.eject_within(now, first, longest);
        }
        is_ejected
    }

    /// Records an answer that was lost on a connection opened for the call. Returns whether the
    /// target has stopped serving, because several were lost in a row.
    pub(crate) fn record_lost_connection(&mut self) -> bool {
        self.lost_connections += 1;
        self.lost_connections >= LOST_CONNECTIONS
    }

    /// Takes the target out of use; `draw` is a random number from 0 to 1. Returns whether it was
    /// in use.
    pub(crate) fn set_unreachable(&mut self, now: Instant, draw: f64) -> bool {
        let was_unreachable = self.is_unreachable(now);
        self.unreachable_until = Some(now + UNREACHABLE_BACKOFF_MS.mul_f64(1.0 + draw));
        !was_unreachable
    }

    fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| until > now)
    }
}
