//! Budget for calls beyond the first of each request, per service.
//!
//! Answers the load pattern of a service that rejects or fails much of what it gets: without a
//! bound, repeats would multiply its load just when it can bear the least. Processes may not hear
//! each other, so each one spends only its own share.

use std::time::Duration;
use std::time::Instant;

use request::window;
use request::window::Counts;
use request::window::Window;

/// Part of the allowance that is used; the rest covers calls that are counted at other moments
/// at the target than here.
const USED_PART: f64 = 0.8;

/// What a service allows, over all processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed however few requests there are.
    pub slack: f64,
    /// Time over which both are counted.
    pub window_ms: Duration,
}

impl RepeatAllowance {
    /// Time over which a process counts: a counter begins up to its width before the window.
    fn counted_ms(&self) -> Duration {
        self.window_ms + window::SLOT_MS
    }
}

/// Repeats of one service as this process has counted them.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    window: Window,
}

impl RepeatBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant, allowance: &RepeatAllowance) {
        self.window.current(now, allowance.counted_ms()).requests += 1;
    }

    /// Counts a call that was a repeat.
    pub fn count_repeat(&mut self, now: Instant, allowance: &RepeatAllowance) {
        self.window.current(now, allowance.counted_ms()).repeats += 1;
    }

    /// Repeats that are left to this process, one of `processes`.
    #[must_use]
    pub fn left(&mut self, now: Instant, allowance: &RepeatAllowance, processes: usize) -> u32 {
        let Counts { requests, repeats } = self.window.counts(now, allowance.counted_ms());
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let processes = u32::try_from(processes.max(1)).unwrap_or(u32::MAX);
        let own_slack = allowance.slack / f64::from(processes);
        let allowed = USED_PART * (allowance.ratio * f64::from(count(requests)) + own_slack);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
        let allowed = allowed.floor() as u32;
        allowed.saturating_sub(count(repeats))
    }
}
