//! Ejection of targets that fail.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row after which a target is ejected.
pub const CONSECUTIVE_FAILURES: u32 = 5;
/// Outcomes that are remembered.
pub const WINDOW: u32 = 20;
/// Failures among the remembered outcomes after which a target is ejected.
pub const WINDOW_FAILURES: u32 = WINDOW / 2;
/// Duration of the first ejection; each further one lasts twice as long.
pub const FIRST_MS: Duration = Duration::from_secs(5);
/// Longest ejection.
pub const LONGEST_MS: Duration = Duration::from_mins(1);

/// Outcomes of one target and the ejection that follows from them.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    outcomes: u32,
    consecutive: u32,
    times: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.outcomes = (self.outcomes << 1) & ((1 << WINDOW) - 1);
        self.consecutive = 0;
        if self.outcomes == 0 {
            self.times = 0;
        }
    }

    /// Notes a failure; returns whether the target should be ejected.
    pub fn failed(&mut self) -> bool {
        self.outcomes = ((self.outcomes << 1) | 1) & ((1 << WINDOW) - 1);
        self.consecutive += 1;
        self.consecutive >= CONSECUTIVE_FAILURES || self.outcomes.count_ones() >= WINDOW_FAILURES
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: Instant) {
        self.eject_within(now, FIRST_MS, LONGEST_MS);
    }

    /// Ejects the target; the duration doubles from `first` with each time, up to `longest`.
    pub fn eject_within(&mut self, now: Instant, first: Duration, longest: Duration) {
        let duration = first.saturating_mul(1 << self.times.min(8));
        self.until = Some(now + duration.min(longest));
        self.times += 1;
        self.consecutive = 0;
        self.outcomes = 0;
    }

    /// End of the ejection in force.
    #[must_use]
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}
