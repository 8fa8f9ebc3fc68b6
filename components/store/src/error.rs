//! Errors of calls to the external services.

use std::fmt;

/// Reason why a call got no valid answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the service, or the service refused it; it had no effect.
    Unavailable(String),
    /// The service did not answer; a write may have taken effect or not.
    Unanswered(String),
    /// The wait for the process's rate limit would be too long; the call was not sent.
    RateLimited,
    /// The answer cannot be decoded or is not valid for the call.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(detail) => write!(f, "platform service unavailable: {detail}"),
            Self::Unanswered(detail) => write!(f, "platform service did not answer: {detail}"),
            Self::RateLimited => f.write_str("rate limit for the platform table exceeded"),
            Self::Malformed(detail) => write!(f, "invalid platform answer: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}
