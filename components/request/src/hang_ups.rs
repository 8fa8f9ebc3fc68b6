//! Estimates how long callers wait before they hang up, from observed hang-ups.
//!
//! Work for a caller that hangs up is wasted, and some callers then send the request again. A
//! request that would be answered later than callers usually wait is therefore refused at once.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the exponential decay of observations. A limit has to expire by itself: while
/// it is in force, no answer is late enough to show that callers wait longer now.
const DECAY_S: f64 = 60.0;
/// Weight of a new sample in the mean time to a hang-up.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum decayed number of hang-ups for an estimate.
const MIN_HANG_UPS: f64 = 8.0;

/// Shortest wait limit that is used to refuse requests. Callers that hang up earlier send small
/// requests, so refusing them saves little work and the estimates are too coarse: the share of such
/// requests that were answered fell from 0.74 to 0.50 when they were refused.
const MIN_WAIT_LIMIT_S: f64 = 10.0;

/// Fraction of the mean time to a hang-up that an answer may take, to allow for estimation errors.
/// With 1.0, less work finished in time at 120% load: 0.648 instead of 0.671 of the upper bound for
/// an ideal schedule.
const SAFETY_FACTOR: f64 = 0.8;

/// Hang-up statistics for the callers of one profile.
#[derive(Debug, Clone, Copy, Default)]
pub struct HangUpTracker {
    mean_s: f64,
    hang_ups: f64,
    late_answers: f64,
    updated: Option<Instant>,
}

impl HangUpTracker {
    /// Records a caller that hung up at the time `after` its request was accepted.
    pub fn record_hang_up(&mut self, now: Instant, after: Duration) {
        let after_s = after.as_secs_f64();
        if self.hang_ups == 0.0 {
            self.mean_s = after_s;
        }
        self.decay(now);
        self.mean_s += SAMPLE_WEIGHT * (after_s - self.mean_s);
        self.hang_ups += 1.0;
    }

    /// Records a caller that received its answer at the time `after` its request was accepted.
    pub fn record_answer(&mut self, now: Instant, after: Duration) {
        if self.hang_ups > 0.0 && after.as_secs_f64() > self.mean_s {
            self.decay(now);
            self.late_answers += 1.0;
        }
    }

    /// Time in which a request should be answered, somewhat before most callers hang up. `None` if
    /// there are too few hang-ups, if most callers wait longer, or if it is too short.
    #[must_use]
    pub fn wait_limit(&mut self, now: Instant) -> Option<Duration> {
        self.estimate(now)
            .filter(|_| self.mean_s >= MIN_WAIT_LIMIT_S)
    }

    /// The same for limits that are too short to refuse requests. The planning of target roles uses
    /// them.
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
