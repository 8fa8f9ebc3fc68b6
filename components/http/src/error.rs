//! Errors of server and client connections.

use std::fmt;

/// The peer closed the connection, or stopped reading, before the response was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HungUp;

impl fmt::Display for HungUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer closed the connection or stopped reading")
    }
}

impl std::error::Error for HungUp {}

/// A request without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request was sent.
    NotSent {
        /// Cause, as text for logs.
        detail: String,
    },
    /// At least one byte of the request was sent; the server may have executed it.
    Interrupted {
        /// Cause, as text for logs.
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

    /// Whether at least one byte of the request was sent.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        matches!(self, Self::Interrupted { .. })
    }
}

/// A forwarded request without the head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardError {
    /// Whether the request was sent, and why there is no response.
    pub cause: ClientError,
    /// The connection had carried an earlier request.
    pub is_reused_connection: bool,
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.cause.fmt(f)
    }
}

impl std::error::Error for ForwardError {}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { detail } => write!(f, "the request was not sent: {detail}"),
            Self::Interrupted { detail } => write!(f, "the response was interrupted: {detail}"),
        }
    }
}

impl std::error::Error for ClientError {}
