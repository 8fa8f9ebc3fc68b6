//! Retry budget per service.
//!
//! Without a bound, retries would multiply the load of a service that refuses or fails many calls,
//! which is when it can handle the least. Processes may be cut off from each other, so each one
//! uses only its own share of the budget.

use std::time::Duration;
use std::time::Instant;

use request::window;
use request::window::Counts;
use request::window::Window;

/// Fraction of the allowance that is used; the rest covers calls that the target counts in another
/// window than this process.
const USED_FRACTION: f64 = 0.8;

/// Retries that a service allows, over all gateway processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed however few requests there are.
    pub slack: f64,
    /// Length of the sliding window in which both are counted.
    pub window_ms: Duration,
}

impl RetryAllowance {
    /// Window of a process: one slot longer, as the oldest slot may begin before the window.
    fn counted_ms(&self) -> Duration {
        self.window_ms + window::SLOT_MS
    }
}

/// Part of the slack that this process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlackShare {
    /// Start of this process.
    pub started: Instant,
    /// Processes that the slack is divided by.
    pub processes: usize,
}

impl SlackShare {
    /// Retries for this process. There are none in its first window, because an earlier process on
    /// this host may have used them.
    fn retries(&self, now: Instant, allowance: &RetryAllowance) -> f64 {
        if now.saturating_duration_since(self.started) < allowance.counted_ms() {
            return 0.0;
        }
        let processes = u32::try_from(self.processes.max(1)).unwrap_or(u32::MAX);
        allowance.slack / f64::from(processes)
    }
}

/// Requests and retries of one service that this process has counted.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: Window,
    reserved: u32,
}

impl RetryBudget {
    /// Counts a request, which adds to the budget.
    pub fn count_request(&mut self, now: Instant, allowance: &RetryAllowance) {
        self.window
            .current_slot(now, allowance.counted_ms())
            .requests += 1;
    }

    /// Reserves retries for calls that are to be made.
    pub fn reserve(&mut self, retries: u32) {
        self.reserved += retries;
    }

    /// Returns reserved retries that no call has used.
    pub fn release(&mut self, retries: u32) {
        self.reserved = self.reserved.saturating_sub(retries);
    }

    /// Counts a call that has used a reserved retry.
    pub fn use_reserved(&mut self, now: Instant, allowance: &RetryAllowance) {
        self.release(1);
        self.window
            .current_slot(now, allowance.counted_ms())
            .retries += 1;
    }

    /// Retries left to this process.
    #[must_use]
    pub fn left(&mut self, now: Instant, allowance: &RetryAllowance, share: SlackShare) -> u32 {
        let Counts { requests, retries } = self.window.counts(now, allowance.counted_ms());
        let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let own_slack = share.retries(now, allowance);
        let allowed = USED_FRACTION * (allowance.ratio * f64::from(count(requests)) + own_slack);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
        let allowed = allowed.floor() as u32;
        allowed.saturating_sub(count(retries) + self.reserved)
    }
}
