//! Times of a follower.

use std::time::Duration;

/// Times that a follower keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Time between polls; each one is drawn between three quarters of it and the whole.
    pub poll_ms: Duration,
    /// Least time between two reads of the log that hints cause. Every entry hears of every
    /// change at once, and the table takes about 2,000 reads a second from all of them.
    pub hint_gap_ms: Duration,
    /// Time without an answer of the table after which peers are asked.
    pub peers_after_ms: Duration,
    /// Time without an answer after which a call is forgotten and made again. Longer than the
    /// guarded table's give-up time.
    pub call_timeout_ms: Duration,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            poll_ms: Duration::from_secs(1),
            hint_gap_ms: Duration::from_millis(200),
            peers_after_ms: Duration::from_millis(750),
            call_timeout_ms: Duration::from_secs(15),
        }
    }
}
