//! Spacing of one process's calls of a target.

use std::time::Duration;
use std::time::Instant;

use crate::Rate;

/// Span of which each one keeps to the limit.
pub const SPAN_MS: Duration = Duration::from_secs(4);
/// Part of a span by which a call may arrive later than the one before it.
const DELAY_MS: Duration = Duration::from_millis(250);
/// Longest time between two calls.
const LONGEST_INTERVAL_MS: Duration = Duration::from_hours(1);

/// Part of a call that a process may make, which grows at a rate that may change.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// From 0 to 1; one call needs 1.
    credit: f64,
    rate: Option<Rate>,
    updated: Instant,
}

impl Pace {
    /// Begins without credit.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            credit: 0.0,
            rate: None,
            updated: now,
        }
    }

    /// Sets the rate from now on; `None` if the process may make no calls.
    pub fn set_rate(&mut self, now: Instant, rate: Option<Rate>) {
        // The change may have been at any time since the last one.
        let slower = self.rate.zip(rate).map(|(a, b)| if a < b { a } else { b });
        let elapsed = now.saturating_duration_since(self.updated);
        self.credit = slower.map_or(0.0, |rate| {
            (self.credit + elapsed.div_duration_f64(interval(rate))).min(1.0)
        });
        self.rate = rate;
        self.updated = now;
    }

    /// Records a call.
    pub fn record_call(&mut self, now: Instant) {
        self.set_rate(now, self.rate);
        self.credit = 0.0;
    }

    /// Time from which the next call keeps to the rate that was set, and to `usable`.
    #[must_use]
    pub fn next_call_at(&self, usable: Rate) -> Option<Instant> {
        let rate = self
            .rate
            .map(|rate| if rate < usable { rate } else { usable })?;
        Some(self.updated + interval(rate).mul_f64(1.0 - self.credit))
    }
}

/// Time between two calls that a rate allows: as many whole calls in a span as there may be, or one
/// call in more than a span.
fn interval(rate: Rate) -> Duration {
    let calls = (rate.requests_per_s() * SPAN_MS.as_secs_f64()).floor();
    let interval = if calls >= 1.0 {
        (SPAN_MS + DELAY_MS).div_f64(calls)
    } else {
        let interval_s = (1.0 / rate.requests_per_s()).min(LONGEST_INTERVAL_MS.as_secs_f64());
        Duration::from_secs_f64(interval_s) + DELAY_MS
    };
    interval.min(LONGEST_INTERVAL_MS)
}
