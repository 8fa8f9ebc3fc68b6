//! Errors of the platform's services.

use std::fmt;

/// A call that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call never reached the service, or the service refused it: nothing happened.
    Unavailable(String),
    /// The answer is lost: a write may or may not have taken effect.
    Unanswered(String),
    /// The shared rate budget is spent.
    RateLimited,
    /// The service answered something that this version does not understand.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(detail) => write!(f, "platform unavailable: {detail}"),
            Self::Unanswered(detail) => write!(f, "platform did not answer: {detail}"),
            Self::RateLimited => f.write_str("rate budget for the platform is spent"),
            Self::Malformed(detail) => write!(f, "platform answer not understood: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}
