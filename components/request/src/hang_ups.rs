//! How long callers wait before they hang up, learned from those that did.
//!
//! Work for a caller that hangs up is lost, and a careless caller sends it again. So a request that
//! would be answered later than its callers usually wait is better refused at once.

use std::time::Duration;
use std::time::Instant;

/// Time after which what was learned has faded to a third, so that a change in how callers behave
/// is noticed although nothing is answered late enough to contradict the limit.
const DECAY_S: f64 = 60.0;
/// Weight of a new sample in the mean time until a caller hangs up.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Hang-ups that have to be remembered before they count.
const MIN_HANG_UPS: f64 = 8.0;

/// Shortest limit that is acted on. Callers with less patience ask short questions, whose work is
/// small: refusing them saves little, and estimates are too coarse for it. In `resends` at El
/// Bolsón it lowered the share of desk questions answered from 0.74 to 0.50 (seeds 1 and 2).
const MIN_WAIT_LIMIT_S: f64 = 10.0;

/// Part of the mean that an answer may take. Estimates err; with the whole of it `resends` at 120%
/// load did less work in time (0.648 against 0.671 of the bound at El Bolsón).
const SAFETY_FACTOR: f64 = 0.8;

/// Hang-ups of the callers of one profile.
#[derive(Debug, Clone, Copy, Default)]
pub struct HangUpTracker {
    mean_s: f64,
    hang_ups: f64,
    late_answers: f64,
    updated: Option<Instant>,
}

impl HangUpTracker {
    /// A caller hung up this long after its request was accepted.
    pub fn hung_up(&mut self, now: Instant, after: Duration) {
        let after_s = after.as_secs_f64();
        if self.hang_ups == 0.0 {
            self.mean_s = after_s;
        }
        self.decay(now);
        self.mean_s += SAMPLE_WEIGHT * (after_s - self.mean_s);
        self.hang_ups += 1.0;
    }

    /// A caller got its answer this long after its request was accepted.
    pub fn answered(&mut self, now: Instant, after: Duration) {
        if self.hang_ups > 0.0 && after.as_secs_f64() > self.mean_s {
            self.decay(now);
            self.late_answers += 1.0;
        }
    }

    /// Time by which answers are wanted, somewhat before most callers hang up; `None` if that is not known or most wait on.
    #[must_use]
    pub fn wait_limit(&mut self, now: Instant) -> Option<Duration> {
        self.estimate(now)
            .filter(|_| self.mean_s >= MIN_WAIT_LIMIT_S)
    }

    /// The same for limits that are too short to refuse by. Roles are planned with them.
    #[must_use]
    pub fn short_wait_limit(&mut self, now: Instant) -> Option<Duration> {
        self.estimate(now)
            .filter(|_| self.mean_s < MIN_WAIT_LIMIT_S)
    }

    fn estimate(&mut self, now: Instant) -> Option<Duration> {
        self.decay(now);
        let is_significant = self.hang_ups >= MIN_HANG_UPS && self.hang_ups > self.late_answers;
        is_significant.then(|| Duration::from_secs_f64(self.mean_s * SAFETY_FACTOR))
    }

    fn decay(&mut self, now: Instant) {
        let updated = self.updated.replace(now).unwrap_or(now);
        let decay_factor = (-now.saturating_duration_since(updated).as_secs_f64() / DECAY_S).exp();
        self.hang_ups *= decay_factor;
        self.late_answers *= decay_factor;
    }
}
