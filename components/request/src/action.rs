//! What the state machine of requests asks for.

use std::time::Duration;

use store::ObjectRequest;
use store::TableRequest;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::ServiceName;
use types::TargetName;
use types::Usage;
use wire::Rejection;
use wire::ToAgent;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer relayed.
    Answered,
    /// Refused.
    Refused(RefusalReason),
    /// The caller hung up.
    Abandoned,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Whole answer received.
    Answered,
    /// Not run; with the agent's reason, if it gave one.
    Rejected(Option<Rejection>),
    /// Failed at the target, or the target was lost.
    Failed,
    /// Cancelled because nobody waits for it any more.
    Cancelled,
}

/// One attempt of a request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptSummary {
    /// Target that it was sent to.
    pub target: TargetName,
    /// Time from acceptance of the request to the dispatch.
    pub start_ms: Duration,
    /// Time from acceptance to the end, and how it ended; `None` while it runs.
    pub end: Option<(Duration, AttemptEnd)>,
}

/// Figures of a request that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Service addressed.
    pub service: ServiceName,
    /// How it ended.
    pub outcome: Outcome,
    /// Attempts that were sent, in order.
    pub attempts: Vec<AttemptSummary>,
    /// Time from acceptance to the first byte.
    pub first_byte_ms: Option<Duration>,
    /// Time from acceptance to the end.
    pub total_ms: Duration,
    /// Tokens used.
    pub usage: Usage,
}

/// One action.
#[derive(Debug)]
pub enum Action {
    /// Hand a part of the answer to the caller.
    Reply {
        /// Request concerned.
        request: RequestId,
        /// Next part.
        reply: Reply,
    },
    /// Send a message to the agent of a target.
    Send {
        /// Target concerned.
        target: TargetName,
        /// The message.
        message: ToAgent,
    },
    /// Call the table and report its end with the same number.
    Table {
        /// Number of the call.
        operation: u64,
        /// The call.
        request: TableRequest,
    },
    /// Call the object store and report its end with the same number.
    Object {
        /// Number of the call.
        operation: u64,
        /// The call.
        request: ObjectRequest,
    },
    /// The request has ended; nothing is kept of it.
    Settled {
        /// Request concerned.
        request: RequestId,
        /// Its figures.
        summary: Summary,
    },
}
