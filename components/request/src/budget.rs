//! Retry budget of a service, spent by second and later attempts.
//!
//! Without a budget, a service that fails most attempts would receive up to `attempt_limit` times
//! its normal load while it is least able to handle it.

use std::time::Duration;
use std::time::Instant;

use crate::window::Counts;
use crate::window::Window;

/// At most one retry is allowed per this many requests.
const REQUESTS_PER_RETRY: u64 = 10;
/// Retries allowed per window regardless of the number of requests. Callers that wait for an answer
/// send nothing new, so a fault of all targets lowers the request rate just when each request needs
/// a retry; with a minimum of 3, requests waited for the budget until their deadline.
const MIN_RETRIES: u64 = 20;
/// Length of the sliding window over which requests and retries are counted.
const WINDOW_MS: Duration = Duration::from_secs(10);

/// Retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: Window,
}

impl RetryBudget {
    /// Counts a request that was admitted.
    pub fn count_request(&mut self, now: Instant) {
        self.window.current_slot(now, WINDOW_MS).requests += 1;
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let Counts { requests, retries } = self.window.counts(now, WINDOW_MS);
        let allowed = (requests / REQUESTS_PER_RETRY).max(MIN_RETRIES);
        if retries >= allowed {
            return false;
        }
        self.window.current_slot(now, WINDOW_MS).retries += 1;
        true
    }
}
