//! Outlier ejection: targets that fail repeatedly get no new work for a limited time.

use std::time::Duration;
use std::time::Instant;

/// Consecutive failures after which a target is ejected.
pub const CONSECUTIVE_FAILURES: u32 = 5;
/// Number of latest outcomes that are kept.
pub const OUTCOME_WINDOW: u32 = 20;
/// Failures among the latest outcomes after which a target is ejected.
pub const OUTCOME_WINDOW_FAILURES: u32 = OUTCOME_WINDOW / 2;
/// Duration of the first ejection; doubles with each further one.
pub const BASE_EJECTION_MS: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
pub const MAX_EJECTION_MS: Duration = Duration::from_mins(1);

/// Latest outcomes of a target and its current ejection.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    /// One bit for each of the latest outcomes; set for a failure.
    failure_bits: u32,
    consecutive_failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Records a success. If the latest outcomes then contain no failure, the next ejection has the
    /// base duration again. An ejection clears the outcomes, so one success directly after it is
    /// enough.
    pub fn record_success(&mut self) {
        self.failure_bits = (self.failure_bits << 1) & ((1 << OUTCOME_WINDOW) - 1);
        self.consecutive_failures = 0;
        if self.failure_bits == 0 {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the target should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failure_bits = ((self.failure_bits << 1) | 1) & ((1 << OUTCOME_WINDOW) - 1);
        self.consecutive_failures += 1;
        self.consecutive_failures >= CONSECUTIVE_FAILURES
            || self.failure_bits.count_ones() >= OUTCOME_WINDOW_FAILURES
    }

    /// Ejects the target with the default durations.
    pub fn eject(&mut self, now: Instant) {
        self.eject_within(now, BASE_EJECTION_MS, MAX_EJECTION_MS);
    }

    /// Ejects the target for `base`, doubled for each earlier ejection, up to `max`.
    pub fn eject_within(&mut self, now: Instant, base: Duration, max: Duration) {
        let duration = base.saturating_mul(1 << self.ejections.min(8));
        self.until = Some(now + duration.min(max));
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.failure_bits = 0;
    }

    /// End of the current ejection; `None` if the target is not ejected.
    #[must_use]
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}
