//! What processes tell each other, and what is stored.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::PartId;
use crate::ProcessKey;

/// Maximum numbers of items in one notice, so that it fits into a datagram with its envelope. An
/// id takes up to 10 bytes.
pub(crate) const TRIALS_LIMIT: usize = 8;
/// Parts of a crash report that may be in a notice with other items; a longer one has its own.
pub(crate) const SHORT_REPORT_PARTS_LIMIT: usize = 8;
pub(crate) const CRASHES_LIMIT: usize = 4;
pub(crate) const RECORDS_LIMIT: usize = 4;
pub(crate) const SOUND_LIMIT: usize = 8;
pub(crate) const LIVE_LIMIT: usize = 6;

/// Knowledge of one process. All times are relative to when the notice is sent, so that clocks of
/// processes need not agree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Suspect parts of which the sender has sent a request.
    pub trials: Vec<PartId>,
    /// Requests that were lost in crashes.
    pub crashes: Vec<CrashNotice>,
    /// Quarantined parts.
    pub quarantined: Vec<Record>,
    /// Parts that are no cause of the crashes before.
    pub sound: Vec<SoundNotice>,
    /// Processes that have not crashed although calls to them were lost.
    pub live: Vec<ProcessKey>,
}

/// A crash report.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Process that crashed.
    pub process: ProcessKey,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_ms: Duration,
    /// The head of the answer had arrived.
    pub is_likely: bool,
    /// Parts of the prompt.
    pub parts: Vec<PartId>,
    /// Id of the whole request.
    pub request: Option<PartId>,
}

/// A crash that is attributed to a part.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Process that crashed.
    pub process: ProcessKey,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_ms: Duration,
    /// The head of the answer to the request with the part had arrived.
    pub is_likely: bool,
}

/// A quarantined part.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the part.
    pub part: PartId,
    /// Crashes that are attributed to it.
    pub crashes: Vec<Crash>,
    /// Time for which requests with the part are refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining_ms: Duration,
}

/// A part on which an answer has begun.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundNotice {
    /// Id of the part.
    pub part: PartId,
    /// Time since the first event of the answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_ms: Duration,
}
