//! Messages that entries and agents, and entries among each other, exchange over TCP.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use types::AttemptId;
use types::CacheEvent;
use types::Headers;
use types::Incarnation;
use types::LoadReport;
use types::LoadedModel;
use types::OrderNumber;
use types::Revision;
use types::RunState;
use types::TargetName;
use types::Usage;
use types::Work;

use crate::answer::Digest;

/// First message from the end that opened the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Incarnation of the process that opened the connection.
    pub process: Incarnation,
    /// Name of the target or entry that it intends to reach. A process with another name closes
    /// the connection.
    pub to: String,
}

/// Attempt that is dispatched to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is addressed to; other incarnations reject it.
    pub incarnation: Incarnation,
    /// Configuration revision that the request is bound to.
    pub revision: Revision,
    /// Model, version and adapter that the request requires; empty fields require nothing.
    pub needs: LoadedModel,
    /// Time until the deadline when the message was sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline_ms: Duration,
    /// Priority from the profile; 0 is served first.
    pub priority: u8,
    /// Whether the request may be retried after this attempt.
    pub idempotent: bool,
    /// Initial flow control credit: bytes of the answer that the agent may send before it receives
    /// more credit.
    pub credit_bytes: u32,
    /// Request to run. A body that does not fit into the frame follows in `Body` messages.
    pub work: Work,
    /// Total length of the request body.
    pub body_bytes: u64,
}

/// Reason why an agent rejected an attempt. A rejected attempt was not run and will not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The target is drained, replaced or withdrawn.
    Leaving,
    /// The engine is unavailable because of a model or role change or a crash.
    Away,
    /// The agent has reached its limit of concurrent attempts.
    Overloaded,
    /// The attempt is addressed to an earlier incarnation of the agent.
    WrongIncarnation,
    /// The engine has not loaded the model, version or adapter that the request requires.
    WrongModel,
    /// The attempt was forbidden, or superseded by a later attempt.
    Forbidden,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The connection to the engine or plain service failed before any byte was sent.
    Unreachable,
}

/// State of an attempt that an agent was asked to forbid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForbidOutcome {
    /// The attempt was not started, and this incarnation of the agent will not start it.
    NeverRun,
    /// The attempt was started; its answer can be requested with `Resume`.
    Started,
    /// The attempt was started, and its outcome is no longer known.
    Lost,
}

/// Message from an entry to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Identifies the process that opened the connection.
    Hello(Hello),
    /// Starts an attempt.
    Dispatch(Box<Dispatch>),
    /// Next part of a request body.
    Body {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Next bytes of the body.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// Asks for the answer to be sent on this connection, starting at an offset.
    Resume {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Number of bytes that the entry has received.
        offset: u64,
        /// Flow control credit, counted from `offset`.
        credit_bytes: u32,
    },
    /// Acknowledges received bytes and grants flow control credit.
    Credit {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Number of bytes that the entry has received.
        received: u64,
        /// Additional bytes that the agent may send.
        bytes: u32,
    },
    /// Cancels an attempt whose answer is no longer needed.
    Cancel {
        /// Attempt that the message refers to.
        attempt: AttemptId,
    },
    /// Prevents an attempt from being started, and asks whether it already was.
    Forbid {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Incarnation of the agent that the attempt was addressed to.
        incarnation: Incarnation,
    },
    /// Announces a new order in the table.
    OrderHint {
        /// Number of the order.
        number: OrderNumber,
    },
    /// Heartbeat request.
    Ping {
        /// Returned in `Pong`.
        nonce: u64,
    },
}

/// Message from an agent to an entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answers `Hello`.
    Welcome {
        /// Target that the agent manages.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Current load.
        load: LoadReport,
    },
    /// The agent has accepted the attempt.
    Accepted {
        /// Attempt that the message refers to.
        attempt: AttemptId,
    },
    /// The agent has rejected the attempt; it was not run and will not be.
    Rejected {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Reason for the rejection.
        reason: Rejection,
        /// Current load.
        load: LoadReport,
    },
    /// Status and header fields of the answer.
    Head {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Media type of the answer.
        content_type: String,
        /// Other header fields that are forwarded to the caller.
        headers: Headers,
    },
    /// Next part of the answer's body.
    Chunk {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Position of the first byte in the answer's body.
        offset: u64,
        /// Content of this part.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is complete.
    End {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Length of the answer's body.
        length: u64,
        /// Digest of the answer's body.
        digest: Digest,
        /// Token counts, as reported by the engine.
        usage: Usage,
        /// Current load.
        load: LoadReport,
    },
    /// The attempt ended without a complete answer.
    Failed {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// Whether any part of the attempt was run.
        run: RunState,
        /// Cause, for the log.
        detail: String,
    },
    /// Answers `Forbid`.
    Forbidden {
        /// Attempt that the message refers to.
        attempt: AttemptId,
        /// State of the attempt.
        outcome: ForbidOutcome,
    },
    /// Current load, sent when no other message carried it.
    Load(LoadReport),
    /// Changes in the engine's prefix cache.
    Cache(Vec<CacheEvent>),
    /// Answers `Ping`.
    Pong {
        /// Nonce of the ping.
        nonce: u64,
        /// Current load.
        load: LoadReport,
    },
}

/// Message between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPeer {
    /// Identifies the process that opened the connection.
    Hello(Hello),
    /// Requests all changes after a revision, or a snapshot if the revision is 0. The answer may be
    /// a snapshot in either case.
    ChangesAfter(Revision),
    /// Consecutive records of the change log.
    Changes {
        /// Latest revision of the sender.
        head: Revision,
        /// One `Change` per item, as JSON.
        records: Vec<String>,
    },
    /// Part of a snapshot; a snapshot may exceed the size limit of a frame.
    Snapshot {
        /// Revision of the snapshot.
        head: Revision,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// One `Change` per item, as JSON, ordered by revision.
        records: Vec<String>,
    },
}
