//! What the core decides, and what the daemon reports back.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::Call;
use crate::protocol::Prefilled;

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Make a call.
    Call(Box<NextCall>),
    /// End the request.
    End(Ending),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq)]
pub struct NextCall {
    /// Call.
    pub call: Call,
    /// Where.
    pub address: SocketAddr,
    /// Longest wait for the head of the answer.
    pub patience_ms: Duration,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answer that the request has not run and will not.
    Refuse {
        /// When it may come back.
        retry_after_ms: Duration,
        /// For people.
        detail: &'static str,
    },
    /// Answer that no route matches.
    NoRoute,
    /// Answer that it failed; it may have run.
    Fail {
        /// Status, 502 or 504.
        status: u16,
        /// For people.
        detail: &'static str,
    },
    /// End the connection in the middle of the answer.
    Cut,
    /// Nothing is left to do.
    Done,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The prompt was read.
    Prefilled(Prefilled),
    /// The target states that it has not run the request.
    NotRun {
        /// Status of its answer.
        status: u16,
        /// Another process has the address.
        is_other_process: bool,
    },
    /// No byte was sent.
    NotSent {
        /// Cause.
        detail: String,
    },
    /// The call may have run and there is no answer from it to give.
    Lost {
        /// Cause.
        detail: String,
    },
    /// The target answered with a failure of its own, which may be given to the caller.
    Failed {
        /// Status.
        status: u16,
    },
    /// A stream ended in its middle.
    Broken {
        /// Id of the last whole event that the caller got.
        last_event: Option<String>,
        /// Bytes of the answer were sent to the caller.
        is_started: bool,
        /// Cause.
        detail: String,
    },
    /// No head of an answer came within the patience of the call.
    Silent,
    /// The time of the request is over.
    TimedOut {
        /// Bytes of the answer were sent to the caller.
        is_started: bool,
    },
    /// The answer was given to the caller.
    Answered {
        /// Status.
        status: u16,
    },
    /// The caller hung up.
    Abandoned,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefilled(_) => write!(f, "prompt read"),
            Self::NotRun {
                is_other_process: true,
                ..
            } => write!(f, "not run: another process has the address"),
            Self::NotRun { status, .. } => write!(f, "not run: status {status}"),
            Self::NotSent { detail } => write!(f, "not sent: {detail}"),
            Self::Lost { detail } => write!(f, "answer lost: {detail}"),
            Self::Failed { status } => write!(f, "failed: status {status}"),
            Self::Broken {
                last_event: Some(event),
                detail,
                ..
            } => write!(f, "stream broken after event {event}: {detail}"),
            Self::Broken { detail, .. } => write!(f, "stream broken before an event: {detail}"),
            Self::Silent => write!(f, "no answer in the time of the call"),
            Self::TimedOut { is_started: true } => write!(f, "out of time in the answer"),
            Self::TimedOut { .. } => write!(f, "out of time before the answer"),
            Self::Answered { status } => write!(f, "answered: status {status}"),
            Self::Abandoned => write!(f, "the caller hung up"),
        }
    }
}
