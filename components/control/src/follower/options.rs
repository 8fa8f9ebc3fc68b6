//! Intervals and time limits of a follower.

use std::time::Duration;

/// Intervals and time limits of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Longest time between polls. Each interval is random, between three quarters of this time and
    /// all of it.
    pub poll_ms: Duration,
    /// Shortest time between two reads of the log that are caused by hints, which are revisions
    /// announced by other processes. All entries receive the hint of a change at the same time, and
    /// the table serves about 2,000 reads/s to all of them together.
    pub hint_read_interval_ms: Duration,
    /// Time without a reply of the table after which changes are requested from peers.
    pub peer_delay_ms: Duration,
    /// Time without a reply after which a table request is repeated. Longer than the time limit of
    /// the retrying table.
    pub call_timeout_ms: Duration,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            poll_ms: Duration::from_secs(1),
            hint_read_interval_ms: Duration::from_millis(200),
            peer_delay_ms: Duration::from_millis(750),
            call_timeout_ms: Duration::from_secs(15),
        }
    }
}
