//! How far a follower is behind.

use std::time::Duration;

use types::Revision;

/// Distance between a follower and the latest change that it has heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Behind {
    /// Revision in force here; 0 without a snapshot.
    pub applied: Revision,
    /// Latest revision that this process has heard of.
    pub known: Revision,
    /// For how long.
    pub for_ms: Duration,
}
