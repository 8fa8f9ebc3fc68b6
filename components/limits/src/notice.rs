//! What processes tell each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::MemberId;
use crate::ProcessKey;
use crate::Rate;
use crate::Revision;

/// Most targets in one notice, so that it fits into a datagram with its envelope. One target takes
/// up to 56 bytes.
pub(crate) const TARGETS_LIMIT: usize = 20;

/// Limits that one process knows, and its loans.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Time since the sender's start, by its own clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub sent_ms: Duration,
    /// Targets that name a limit, or have stopped.
    pub targets: Vec<TargetNotice>,
}

/// Limit of one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetNotice {
    /// Run of the target's process.
    pub target: ProcessKey,
    /// Limit; `None` if it has ended.
    pub rate: Option<Rate>,
    /// Revision of the limit.
    pub revision: Revision,
    /// The sender has requests for the target.
    pub is_wanted: bool,
    /// To whom the sender lends its share.
    pub loan: Option<LoanNotice>,
}

/// Loan of the sender's share of a limit.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanNotice {
    /// Process that may use the share.
    pub borrower: MemberId,
    /// `sent_ms` of the borrower's last notice that has arrived; the loan is counted from it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub from_ms: Duration,
}
