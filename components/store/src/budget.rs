//! Rate budget for calls to the table, shared by everything in one process.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use crate::table::TableRequest;

/// Rates that a process may use. The table takes several hundred writes and about 2,000 reads
/// a second from all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetOptions {
    /// Reads and scans a second.
    pub reads_per_s: f64,
    /// Transactions a second.
    pub writes_per_s: f64,
    /// Seconds of the rate that may be used at once after a quiet time.
    pub burst_s: f64,
    /// Longest wait for the budget; a call that would wait longer is refused.
    pub max_wait_ms: Duration,
}

impl Default for BudgetOptions {
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
pub struct RateBudget {
    reads: Bucket,
    writes: Bucket,
    max_wait_ms: Duration,
}

impl RateBudget {
    /// Starts with full buckets.
    #[must_use]
    pub fn new(options: &BudgetOptions, now: Instant) -> Self {
        Self {
            reads: Bucket::new(options.reads_per_s, options.burst_s, now),
            writes: Bucket::new(options.writes_per_s, options.burst_s, now),
            max_wait_ms: options.max_wait_ms,
        }
    }

    /// Takes a token and returns how long to wait before the call, or `None` if that would be
    /// longer than the limit; nothing is taken then.
    pub fn take(&self, now: Instant, request: &TableRequest) -> Option<Duration> {
        let bucket = match request {
            TableRequest::Commit(_) => &self.writes,
            TableRequest::Read(_) | TableRequest::Scan { .. } => &self.reads,
        };
        bucket.take(now, self.max_wait_ms)
    }
}

/// One token bucket; a negative level is the debt of calls that are waiting.
#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    capacity: f64,
    level: Cell<f64>,
    filled_at: Cell<Instant>,
}

impl Bucket {
    fn new(rate_per_s: f64, burst_s: f64, now: Instant) -> Self {
        let rate_per_s = rate_per_s.max(0.001);
        let capacity = (rate_per_s * burst_s).max(1.0);
        Self {
            rate_per_s,
            capacity,
            level: Cell::new(capacity),
            filled_at: Cell::new(now),
        }
    }

    fn take(&self, now: Instant, max_wait_ms: Duration) -> Option<Duration> {
        let since_s = now
            .saturating_duration_since(self.filled_at.get())
            .as_secs_f64();
        let level = (self.level.get() + since_s * self.rate_per_s).min(self.capacity);
        self.level.set(level);
        self.filled_at.set(now);
        let wait = Duration::from_secs_f64(((1.0 - level) / self.rate_per_s).max(0.0));
        if wait > max_wait_ms {
            return None;
        }
        self.level.set(level - 1.0);
        Some(wait)
    }
}
