//! Answers and refusals that are returned to a caller.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::headers::Headers;

/// Whether a request that got no complete answer was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target ran any part of the request, and none will.
    NotRun,
    /// The request may have been run, partly or completely.
    Unknown,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is invalid.
    BadRequest,
    /// The service does not exist.
    UnknownService,
    /// The request is not idempotent and lacks the `Idempotency-Key` that the profile requires.
    KeyRequired,
    /// The `Idempotency-Key` was already used with a different body.
    KeyReused,
    /// The queue is full, or too long for the deadline to be met.
    Overloaded,
    /// No target can serve the request.
    NoTarget,
    /// The table in which the request must be claimed does not answer.
    StoreUnavailable,
    /// This process has no configuration yet.
    NotReady,
    /// This process is shutting down.
    Leaving,
    /// The deadline passed.
    DeadlineExceeded,
    /// Every attempt failed.
    TargetFailed,
    /// A non-idempotent request may have been run, and its answer is lost.
    OutcomeUnknown,
}

/// Final answer without a result.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request was run.
    pub run: RunState,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after_ms: Option<Duration>,
    /// Explanation for the developer of the caller, in one sentence.
    pub detail: String,
}

/// Token counts of an answer, as reported by the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens, cached ones included.
    pub prompt_tokens: u32,
    /// Prompt tokens that were read from the prefix cache.
    pub cached_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
}

impl Usage {
    /// Whether the target reported its usage. A target that reports none still used tokens, so zero
    /// counts mean that the usage is unknown.
    #[must_use]
    pub fn is_known(&self) -> bool {
        *self != Self::default()
    }
}

/// Part of an answer. An answer consists of one `Head`, any number of `Body` and one `End`, in this
/// order, or of one `Refused`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Status and header fields.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Other header fields that are forwarded to the caller.
        headers: Headers,
        /// Target that sent the answer.
        served_by: String,
    },
    /// Next bytes of the body.
    Body(Vec<u8>),
    /// The answer is complete.
    End,
    /// The request is refused. If a `Head` was already sent, the caller's connection is closed
    /// instead.
    Refused(Refusal),
}
