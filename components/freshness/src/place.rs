//! The position of a process among those that hear each other.

use std::time::Duration;

/// Age at which the first process checks its view. A change must be in force within a second.
const CHECK_AGE_MS: Duration = Duration::from_millis(400);
/// Additional age for each process that comes before, so that a notice of its check arrives first.
const CHECK_AGE_PER_PLACE_MS: Duration = Duration::from_millis(100);
/// Number of processes after which the additional age grows less, to stay within the second.
const SPACED_PLACES: u32 = 3;
/// Additional age for each further process, and its bound.
const LATER_PLACE_MS: Duration = Duration::from_millis(1);
const MAX_LATER_PLACES: u32 = 100;
/// Additional age for each process that is told of a check; bounds the checking process to about
/// 1,250 notices a second.
const NOTICE_MS: Duration = Duration::from_micros(800);
/// Time between two failed checks for each process, so that all processes together make 100 a
/// second.
const FAILED_CHECK_MS: Duration = Duration::from_millis(10);

/// Position of a process among those that hear each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of processes that come before this one.
    pub rank: u32,
    /// Number of processes, this one included.
    pub processes: u32,
}

impl Place {
    /// Age at which this process checks its view.
    pub(crate) fn check_age_ms(self) -> Duration {
        let spaced = CHECK_AGE_PER_PLACE_MS * self.rank.min(SPACED_PLACES);
        let later = self.rank.saturating_sub(SPACED_PLACES);
        let additional = spaced + LATER_PLACE_MS * later.min(MAX_LATER_PLACES);
        CHECK_AGE_MS.max(NOTICE_MS.saturating_mul(self.processes)) + additional
    }

    /// Time between two checks that fail.
    pub(crate) fn failed_check_interval_ms(self) -> Duration {
        CHECK_AGE_MS.max(FAILED_CHECK_MS.saturating_mul(self.processes))
    }
}
