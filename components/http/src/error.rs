//! Errors of server and client connections.

use std::fmt;
use std::io;

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
        /// The server closed or reset the connection.
        is_closed_by_peer: bool,
    },
}

impl ClientError {
    pub(crate) fn not_sent(cause: impl fmt::Display) -> Self {
        Self::NotSent {
            detail: cause.to_string(),
        }
    }

    /// An answer that was lost for another reason than the end of its connection.
    #[must_use]
    pub fn interrupted(cause: impl fmt::Display) -> Self {
        Self::Interrupted {
            detail: cause.to_string(),
            is_closed_by_peer: false,
        }
    }

    pub(crate) fn closed(cause: impl fmt::Display) -> Self {
        Self::Interrupted {
            detail: cause.to_string(),
            is_closed_by_peer: true,
        }
    }

    /// Error of reading from or writing to a connection on which a request was sent.
    pub(crate) fn connection_failed(error: &io::Error) -> Self {
        let is_closed_by_peer = matches!(
            error.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof
        );
        Self::Interrupted {
            detail: error.to_string(),
            is_closed_by_peer,
        }
    }

    /// Whether the server closed or reset the connection on which the request was sent.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        matches!(
            self,
            Self::Interrupted {
                is_closed_by_peer: true,
                ..
            }
        )
    }

    /// Cause, as text for logs.
    pub(crate) fn detail(&self) -> &str {
        match self {
            Self::NotSent { detail } | Self::Interrupted { detail, .. } => detail,
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
            Self::Interrupted { detail, .. } => write!(f, "the response was interrupted: {detail}"),
        }
    }
}

impl std::error::Error for ClientError {}
