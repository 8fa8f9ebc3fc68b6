//! What a caller gets back.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::headers::Headers;

/// What is known about the execution of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target ran any part of it, and none will.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request itself is wrong.
    BadRequest,
    /// No such service.
    UnknownService,
    /// A non-idempotent request without a key, where the profile demands one.
    KeyRequired,
    /// The key was used before with another body.
    KeyReused,
    /// The queue is full, or the deadline cannot be met behind it.
    Overloaded,
    /// No target can take the work.
    NoTarget,
    /// The table needed for a claim does not answer.
    StoreUnavailable,
    /// This process has no configuration yet.
    NotReady,
    /// This process is stopping.
    Leaving,
    /// The deadline passed.
    DeadlineExceeded,
    /// Every attempt failed.
    TargetFailed,
    /// A non-idempotent request may have run and its answer is lost.
    OutcomeUnknown,
}

/// A final answer that carries no result.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub run: RunState,
    /// When to come back; `None` means that a resend cannot help.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after_ms: Option<Duration>,
    /// One sentence for the caller's developer.
    pub detail: String,
}

/// Tokens used by an answer, as the target reported them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
}

impl Usage {
    /// Whether the target stated it. An answer without usage has used tokens nevertheless.
    #[must_use]
    pub fn is_known(&self) -> bool {
        *self != Self::default()
    }
}

/// Part of an answer, in order: one `Head`, any number of `Body`, one `End`; or one `Refused`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Other fields of the head that the caller gets.
        headers: Headers,
        /// Target that answers.
        served_by: String,
    },
    /// Next bytes of the body.
    Body(Vec<u8>),
    /// The answer is whole.
    End,
    /// The final answer is a refusal. After a `Head` the caller's connection is closed instead.
    Refused(Refusal),
}
