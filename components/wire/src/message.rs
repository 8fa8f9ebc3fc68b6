//! Messages between entries and agents, and between entries.

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
use types::Loaded;
use types::OrderNumber;
use types::Revision;
use types::RunState;
use types::TargetName;
use types::Usage;
use types::Work;

use crate::answer::Digest;

/// First frame from the end that opened a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Run of the process that opened the connection.
    pub process: Incarnation,
    /// Target or entry that it means to reach; a mismatch closes the connection.
    pub to: String,
}

/// One attempt, as sent to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Run of the agent that it is meant for; another run rejects it.
    pub incarnation: Incarnation,
    /// Revision of the profile that the request is bound to.
    pub revision: Revision,
    /// Model, version and adapter that the request needs; empty fields ask for nothing.
    pub needs: Loaded,
    /// Time left when it was sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline_ms: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// Another attempt may follow this one.
    pub idempotent: bool,
    /// Bytes of the answer that the agent may send before it gets more credit.
    pub credit_bytes: u32,
    /// Work to do. Its body follows in `Body` frames when it is longer than one frame allows.
    pub work: Work,
    /// Length of the whole body.
    pub body_bytes: u64,
}

/// Why an agent did not take an attempt. It was not run, and will not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// Drained, replaced or withdrawn.
    Leaving,
    /// The engine is away for a change or after a crash.
    Away,
    /// Too many attempts already.
    Overloaded,
    /// Meant for an earlier run of the agent.
    WrongIncarnation,
    /// The engine does not have what the request needs.
    WrongModel,
    /// The attempt was forbidden, or superseded by a later one.
    Forbidden,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The plain service or engine refused the connection before any byte was sent.
    Unreachable,
}

/// What an agent knows of an attempt that it was asked to forbid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForbidOutcome {
    /// It was never started and never will be in this run of the agent.
    NeverRun,
    /// It was started; its answer can be had with `Resume`.
    Started,
    /// It was started and the outcome is lost.
    Lost,
}

/// From an entry to an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Opens the connection.
    Hello(Hello),
    /// Run this.
    Dispatch(Box<Dispatch>),
    /// Next bytes of a dispatch's body.
    Body {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Next bytes.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// Send the answer again from an offset, on this connection.
    Resume {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Bytes that the entry has.
        offset: u64,
        /// New credit.
        credit_bytes: u32,
    },
    /// All bytes up to the offset have arrived; more may be sent.
    Credit {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Bytes that the entry has.
        received: u64,
        /// More bytes that may be sent.
        bytes: u32,
    },
    /// The answer is no longer wanted.
    Cancel {
        /// Attempt concerned.
        attempt: AttemptId,
    },
    /// Never start the attempt; tell whether it was started.
    Forbid {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Run of the agent that the attempt was meant for.
        incarnation: Incarnation,
    },
    /// A new order stands in the table.
    OrderHint {
        /// Number of the order.
        number: OrderNumber,
    },
    /// Sign of life.
    Ping {
        /// Comes back in `Pong`.
        nonce: u64,
    },
}

/// From an agent to an entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Answers `Hello`.
    Welcome {
        /// Target that the agent serves.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
        /// Load now.
        load: LoadReport,
    },
    /// The attempt is in the agent's hands.
    Accepted {
        /// Attempt concerned.
        attempt: AttemptId,
    },
    /// The attempt was not run and will not be.
    Rejected {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Why.
        reason: Rejection,
        /// Load now.
        load: LoadReport,
    },
    /// Head of the answer.
    Head {
        /// Attempt concerned.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Other fields that the caller gets.
        headers: Headers,
    },
    /// Next bytes of the answer.
    Chunk {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Position of the first byte.
        offset: u64,
        /// Bytes.
        #[serde_as(as = "Bytes")]
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Length of the whole answer.
        length: u64,
        /// Digest of the whole answer.
        digest: Digest,
        /// Tokens used.
        usage: Usage,
        /// Load now.
        load: LoadReport,
    },
    /// The attempt ended without a whole answer.
    Failed {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Whether any part of it ran.
        run: RunState,
        /// For the log.
        detail: String,
    },
    /// Answers `Forbid`.
    Forbidden {
        /// Attempt concerned.
        attempt: AttemptId,
        /// What is known.
        outcome: ForbidOutcome,
    },
    /// Load now, when nothing else carried it.
    Load(LoadReport),
    /// Changes in the prefix cache.
    Cache(Vec<CacheEvent>),
    /// Answers `Ping`.
    Pong {
        /// From the ping.
        nonce: u64,
        /// Load now.
        load: LoadReport,
    },
}

/// Between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPeer {
    /// Opens the connection.
    Hello(Hello),
    /// Asks for all changes after a revision; 0 asks for a snapshot. The answer may be a
    /// snapshot in both cases.
    ChangesAfter(Revision),
    /// Changes in order, as JSON records of the change log.
    Changes {
        /// Head revision of the sender.
        head: Revision,
        /// JSON of each `Change`.
        records: Vec<String>,
    },
    /// One part of a snapshot; a snapshot may be longer than one frame allows.
    Snapshot {
        /// Revision of the snapshot.
        head: Revision,
        /// Position of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// JSON of one `Change` for each item, in order of revision.
        records: Vec<String>,
    },
}
