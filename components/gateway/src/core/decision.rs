//! Decisions of the core, and the call outcomes that the daemon reports back.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::Call;
use crate::protocol::PrefillResult;

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Make a call.
    Call(Box<NextCall>),
    /// End the request.
    End(Ending),
}

/// A call to a target, with its address and timeout.
#[derive(Debug, Clone, PartialEq)]
pub struct NextCall {
    /// What the target is asked to do.
    pub call: Call,
    /// Where the target listens.
    pub address: SocketAddr,
    /// Longest wait for the head of the answer; less than `call.time_left_ms` for prefills and if a
    /// retry can follow.
    pub head_timeout_ms: Duration,
    /// Idle connections to the target may lead to a process that is gone.
    pub needs_new_connection: bool,
}

/// How a request is completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answer 503: the request has not run and will not.
    Refuse {
        /// Value of the `Retry-After` field.
        retry_after_ms: Duration,
        /// Why; sent to the caller and logged.
        cause: RefusalCause,
    },
    /// Answer 404: no route matches.
    NoRoute,
    /// Answer that the request failed; it may have run.
    Fail {
        /// Status, 502 or 504.
        status: u16,
        /// Human-readable cause, sent to the caller and logged.
        detail: &'static str,
    },
    /// Close the connection without completing the answer that has begun.
    Cut,
    /// No action is left: the answer was sent, or the caller disconnected.
    Done,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The configuration or the targets are not known yet.
    NotReady,
    /// No target of the service takes work.
    NoTarget,
    /// Every target that was called refused.
    Rejected,
    /// The expected wait is too long.
    Busy,
    /// The limits that the targets name leave no room.
    Limited,
    /// The request or a part of its prompt crashes engines.
    Quarantined,
    /// The request or a part of its prompt may crash engines.
    Suspect,
    /// It is not known which build began the stream that the request resumes.
    UnknownBuild,
    /// No target has the build that began the stream.
    NoBuild,
}

impl RefusalCause {
    /// Name for the metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::NoTarget => "no-target",
            Self::Rejected => "rejected",
            Self::Busy => "busy",
            Self::Limited => "limited",
            Self::Quarantined => "quarantined",
            Self::Suspect => "suspect",
            Self::UnknownBuild => "unknown-build",
            Self::NoBuild => "no-build",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotReady => "no configuration has been read from the store yet",
            Self::NoTarget => "no target of the service takes work",
            Self::Rejected => "every target that was called refused the request",
            Self::Busy => "all engines are too busy to answer in time",
            Self::Limited => "the limits that the targets name leave no room now",
            Self::Quarantined => {
                "the request or a part of its prompt is quarantined, because engines crashed on it"
            }
            Self::Suspect => {
                "the request or a part of its prompt may crash engines, and another call tests it"
            }
            Self::UnknownBuild => "it is not known which build of the engines began the stream",
            Self::NoBuild => "no engine that takes work has the build that began the stream",
        })
    }
}

/// Outcome of one call to a target.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A prefill engine has processed the prompt.
    Prefilled(PrefillResult),
    /// The target states that it has not run the request.
    NotRun {
        /// Status of its answer.
        status: u16,
        /// Another process listens at the target's address.
        is_other_process: bool,
    },
    /// The call failed before any byte of it was sent.
    NotSent {
        /// Cause.
        detail: String,
    },
    /// The call may have run, but there is no usable answer.
    AnswerLost {
        /// Cause.
        detail: String,
        /// A connection that was opened for this call failed before the head of an answer.
        is_new_connection: bool,
        /// The target closed or reset the connection.
        is_closed_by_target: bool,
    },
    /// The target answered with a 5xx status, which is withheld in favour of a retry.
    Failed {
        /// Status that the target answered with.
        status: u16,
    },
    /// An event stream ended before it was complete.
    Broken {
        /// Id of the last complete event that was sent to the caller.
        last_event: Option<String>,
        /// Cause.
        detail: String,
        /// The target closed or reset the connection.
        is_closed_by_target: bool,
    },
    /// The call was given up, because the request or a part of its prompt crashes engines.
    Cancelled,
    /// No head of an answer arrived within the call's head timeout.
    HeadTimedOut,
    /// The request's deadline has passed.
    TimedOut,
    /// The answer was sent to the caller.
    Answered {
        /// Status that the caller got.
        status: u16,
    },
    /// The caller disconnected.
    Abandoned,
}

impl CallOutcome {
    /// An answer that was lost for another reason than a failed connection.
    #[must_use]
    pub fn unusable(detail: impl Into<String>) -> Self {
        Self::AnswerLost {
            detail: detail.into(),
            is_new_connection: false,
            is_closed_by_target: false,
        }
    }

    /// Whether the called target gave an answer, with whatever status.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        match self {
            Self::Prefilled(_) | Self::Failed { .. } | Self::Answered { .. } => true,
            Self::NotRun {
                is_other_process, ..
            } => !is_other_process,
            _ => false,
        }
    }

    /// Text for the log; `has_begun` tells whether the caller has got a part of the answer.
    #[must_use]
    pub fn text(&self, has_begun: bool) -> String {
        match self {
            Self::TimedOut if has_begun => "out of time in the answer".to_owned(),
            _ => self.to_string(),
        }
    }

    /// Kind of outcome, for the metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Prefilled(_) => "prefilled",
            Self::NotRun { .. } => "not-run",
            Self::NotSent { .. } => "not-sent",
            Self::AnswerLost { .. } => "answer-lost",
            Self::Failed { .. } => "failed",
            Self::Broken { .. } => "broken",
            Self::HeadTimedOut | Self::TimedOut => "timed-out",
            Self::Answered { .. } => "answered",
            Self::Cancelled => "cancelled",
            Self::Abandoned => "abandoned",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefilled(_) => write!(f, "prefill finished"),
            Self::NotRun {
                is_other_process: true,
                ..
            } => write!(
                f,
                "not run: another process listens at the target's address"
            ),
            Self::NotRun { status, .. } => write!(f, "not run: status {status}"),
            Self::NotSent { detail } => write!(f, "not sent: {detail}"),
            Self::AnswerLost { detail, .. } => write!(f, "answer lost: {detail}"),
            Self::Failed { status } => write!(f, "failed: status {status}"),
            Self::Broken {
                last_event: Some(event),
                detail,
                ..
            } => write!(f, "stream broken after event {event}: {detail}"),
            Self::Broken { detail, .. } => write!(f, "stream broken before any event: {detail}"),
            Self::HeadTimedOut => write!(f, "no response head before the call's timeout"),
            Self::TimedOut => write!(f, "deadline passed before the answer"),
            Self::Answered { status } => write!(f, "answered: status {status}"),
            Self::Cancelled => write!(
                f,
                "cancelled: the request or a part of its prompt crashes engines"
            ),
            Self::Abandoned => write!(f, "the caller disconnected"),
        }
    }
}
