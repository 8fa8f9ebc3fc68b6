//! Rate limit for the calls of one process to the table.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use crate::table::TableRequest;

/// Limits for one process. The table handles several hundred writes and about 2,000 reads per
/// second from all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimits {
    /// Reads and scans per second.
    pub reads_per_s: f64,
    /// Transactions per second.
    pub writes_per_s: f64,
    /// Burst size, in seconds of the rate.
    pub burst_s: f64,
    /// Maximum wait for a token; a call that would wait longer is refused.
    pub max_wait_ms: Duration,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            reads_per_s: 100.0,
            writes_per_s: 40.0,
            burst_s: 1.0,
            max_wait_ms: Duration::from_secs(1),
        }
    }
}

/// Token buckets for reads and writes.
#[derive(Debug)]
pub struct RateLimiter {
    reads: TokenBucket,
    writes: TokenBucket,
    max_wait_ms: Duration,
}

impl RateLimiter {
    /// Creates a rate limit with full buckets.
    #[must_use]
    pub fn new(options: &RateLimits, now: Instant) -> Self {
        Self {
            reads: TokenBucket::new(options.reads_per_s, options.burst_s, now),
            writes: TokenBucket::new(options.writes_per_s, options.burst_s, now),
            max_wait_ms: options.max_wait_ms,
        }
    }

    /// Takes a token and returns how long to wait before the call. Returns `None` and takes no
    /// token if the wait would exceed the limit.
    pub fn take(&self, now: Instant, request: &TableRequest) -> Option<Duration> {
        let bucket = match request {
            TableRequest::Commit(_) => &self.writes,
            TableRequest::Read(_) | TableRequest::Scan { .. } => &self.reads,
        };
        bucket.take(now, self.max_wait_ms)
    }
}

/// Token bucket. The number of tokens is negative while calls wait for tokens that they have
/// already taken.
#[derive(Debug)]
struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl TokenBucket {
    fn new(rate_per_s: f64, burst_s: f64, now: Instant) -> Self {
        let rate_per_s = rate_per_s.max(0.001);
        let capacity = (rate_per_s * burst_s).max(1.0);
        Self {
            rate_per_s,
            capacity,
            tokens: Cell::new(capacity),
            refilled_at: Cell::new(now),
        }
    }

    fn take(&self, now: Instant, max_wait_ms: Duration) -> Option<Duration> {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at.get())
            .as_secs_f64();
        let tokens = (self.tokens.get() + elapsed_s * self.rate_per_s).min(self.capacity);
        self.tokens.set(tokens);
        self.refilled_at.set(now);
        let wait = Duration::from_secs_f64(((1.0 - tokens) / self.rate_per_s).max(0.0));
        if wait > max_wait_ms {
            return None;
        }
        self.tokens.set(tokens - 1.0);
        Some(wait)
    }
}
