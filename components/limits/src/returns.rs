//! When refused callers come back.

use std::time::Duration;
use std::time::Instant;

use crate::Rate;

/// Longest time ahead that is given to a caller.
const LONGEST_MS: Duration = Duration::from_secs(30);

/// Times given to callers that a limit left no room for: one after the other, as fast as the limit
/// allows, so that they find room and do not come back together.
#[derive(Debug, Default)]
pub struct Returns {
    last: Option<Instant>,
}

impl Returns {
    /// Time after which a refused caller finds room, if there may be calls from `open_at` on and
    /// `rate` of them a second. `draw` is a random number from 0 to 1. Callers that cannot wait as
    /// long as `longest` get a time near that.
    pub fn retry_after(
        &mut self,
        now: Instant,
        open_at: Instant,
        rate: Rate,
        longest: Duration,
        draw: f64,
    ) -> Duration {
        let longest = longest.min(LONGEST_MS);
        let interval_s = (1.0 / rate.requests_per_s()).min(LONGEST_MS.as_secs_f64());
        let interval = Duration::from_secs_f64(interval_s);
        let first = open_at.max(now);
        let next = self.last.map_or(first, |last| first.max(last + interval));
        let after = next.saturating_duration_since(now) + interval.mul_f64(draw);
        if after > longest {
            // The queue of returns stays as long as callers can wait.
            return longest.mul_f64(0.5 + 0.5 * draw);
        }
        self.last = Some(next);
        after
    }
}
