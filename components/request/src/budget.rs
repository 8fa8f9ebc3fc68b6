//! Budget for second and later attempts, per service.
//!
//! Without it, a service that fails most attempts would get up to `attempt_limit` times its
//! load just when it can bear the least.

use std::time::Duration;
use std::time::Instant;

use crate::window::Counts;
use crate::window::Window;

/// Retries are a tenth of the requests at most.
const REQUESTS_PER_RETRY: u64 = 10;
/// Retries allowed however few requests there are. Callers that wait for an answer send nothing
/// new, so a fault that stops all targets lowers the number of requests just when each of them
/// needs a retry: with 3, `chaos --seed 104` kept up to 8 requests waiting until their deadline.
const MIN_RETRIES: u64 = 20;
/// Time over which requests and retries are counted.
const WINDOW_MS: Duration = Duration::from_secs(10);

/// Retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: Window,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.window.current(now, WINDOW_MS).requests += 1;
    }

    /// Takes one retry, if the budget has one left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let Counts { requests, repeats } = self.window.counts(now, WINDOW_MS);
        let allowed = (requests / REQUESTS_PER_RETRY).max(MIN_RETRIES);
        if repeats >= allowed {
            return false;
        }
        self.window.current(now, WINDOW_MS).repeats += 1;
        true
    }
}
