//! How far a follower is behind.

use std::time::Duration;

use types::Revision;

/// Lag behind the latest known revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerLag {
    /// Applied revision; 0 without a snapshot.
    pub applied: Revision,
    /// Latest revision that the table or another process has reported.
    pub known: Revision,
    /// Time since the lag began.
    pub for_ms: Duration,
}
