//! Actions that the request state machine asks the entry to carry out.

use std::time::Duration;

use quarantine::PartChange;
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
    /// The complete answer was relayed.
    Answered,
    /// Refused for this reason.
    Refused(RefusalReason),
    /// The caller disconnected before the end of its answer.
    Abandoned,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer was received.
    Answered,
    /// Not executed; carries the agent's reason if it gave one.
    Rejected(Option<Rejection>),
    /// Failed at the target, or the target became unreachable.
    Failed,
    /// Cancelled because no caller waits for its answer any more.
    Cancelled,
}

/// One attempt, as reported when its request ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptSummary {
    /// Target that the attempt was sent to.
    pub target: TargetName,
    /// Time from acceptance of the request to the dispatch of the attempt.
    pub start_ms: Duration,
    /// Time from acceptance of the request to the end of the attempt, and how it ended; `None`
    /// while it runs.
    pub end: Option<(Duration, AttemptEnd)>,
}

/// Report on a request that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Service that the request addressed.
    pub service: ServiceName,
    /// How the request ended.
    pub outcome: Outcome,
    /// Attempts that were dispatched, in order.
    pub attempts: Vec<AttemptSummary>,
    /// Time from acceptance to the first byte of the answer; `None` if there was none.
    pub first_byte_ms: Option<Duration>,
    /// Time from acceptance to the end.
    pub total_ms: Duration,
    /// Tokens that the target reported; zero for refusals and stored answers.
    pub usage: Usage,
}

/// An action for the entry to carry out.
#[derive(Debug)]
pub enum Action {
    /// Pass the next part of the answer to the caller.
    Reply {
        /// Request that the part answers.
        request: RequestId,
        /// Head, piece of the body, end or refusal.
        reply: Reply,
    },
    /// Send a message to the agent of a target.
    Send {
        /// Target whose agent receives the message.
        target: TargetName,
        /// Message to send.
        message: ToAgent,
    },
    /// Call the table and report the result in `Event::TableDone`.
    Table {
        /// Number that identifies the call in the event.
        operation: u64,
        /// Read or write to make.
        request: TableRequest,
    },
    /// Call the object store and report the result in `Event::ObjectDone`.
    Object {
        /// Number that identifies the call in the event.
        operation: u64,
        /// Read, write or deletion to make.
        request: ObjectRequest,
    },
    /// A part of prompts became suspect, quarantined or free again.
    PartChange(PartChange),
    /// The request has ended; no more replies follow.
    Settled {
        /// Request that has ended.
        request: RequestId,
        /// Report for logs and metrics.
        summary: Summary,
    },
}
