//! Errors of connections.

use std::fmt;

/// The peer closed the connection, or stopped reading, before the end of the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HungUp;

impl fmt::Display for HungUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer hung up")
    }
}

impl std::error::Error for HungUp {}

/// A request of a client that got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request was sent.
    NotSent {
        /// Cause, for logs.
        detail: String,
    },
    /// At least one byte of the request was sent; it may have been executed.
    Interrupted {
        /// Cause, for logs.
        detail: String,
    },
}

impl ClientError {
    pub(crate) fn not_sent(cause: impl fmt::Display) -> Self {
        Self::NotSent {
            detail: cause.to_string(),
        }
    }

    pub(crate) fn interrupted(cause: impl fmt::Display) -> Self {
        Self::Interrupted {
            detail: cause.to_string(),
        }
    }

    /// Whether a byte of the request was sent.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        matches!(self, Self::Interrupted { .. })
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { detail } => write!(f, "the request was not sent: {detail}"),
            Self::Interrupted { detail } => write!(f, "the answer was interrupted: {detail}"),
        }
    }
}

impl std::error::Error for ClientError {}
