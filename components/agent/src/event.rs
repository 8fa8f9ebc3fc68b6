//! What the state machine is told and what it asks for.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::AttemptId;
use types::CacheEvent;
use types::Headers;
use types::Incarnation;
use types::Loaded;
use types::Order;
use types::Revision;
use types::Role;
use types::Work;
use wire::Datagram;
use wire::Digest;
use wire::ToAgent;
use wire::ToEntry;

use crate::report::Note;

/// Connection from an entry; never reused within a run.
pub type ConnectionId = u64;
/// One run of an attempt at the target; never reused within a run of the agent.
pub type RunId = u64;
/// Table operation; never reused within a run.
pub type OperationId = u64;

/// State of the engine as it reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Model, version and adapters in force.
    pub loaded: Loaded,
    /// Role in force.
    pub role: Role,
    /// The engine is in the middle of a change.
    pub away: bool,
    /// Number of the last order that the engine obeyed; 0 after a restart of the engine, and for
    /// engines that do not report it.
    #[serde(default)]
    pub number: u64,
}

/// Load of the engine as it reports it, with its own lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Age of the figures when they were reported.
    pub age_ms: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens still expected.
    pub decode_backlog_tokens: u64,
    /// Share of the KV cache in use, in thousandths.
    pub cache_used_permille: u16,
}

/// Outcome of passing an order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it on; its state shows when it is done.
    Taken,
    /// The engine refused it; nothing changed.
    Refused(String),
    /// The engine refused it because of its fencing number, which can only get older.
    Fenced(String),
    /// No byte reached the engine.
    NotSent(String),
    /// The answer is lost; the order may take effect now or later.
    Unanswered(String),
}

/// Progress of one run at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetEvent {
    /// Head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Other fields that the caller gets.
        headers: Headers,
    },
    /// The engine continues the answer from the offset of an `Action::Resume`.
    Resumed {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Other fields that the caller gets.
        headers: Headers,
        /// Digest of the bytes before the offset, if the engine states a valid one.
        prefix: Option<Digest>,
    },
    /// The engine does not know the run that it was asked to continue.
    Forgotten {
        /// For the log.
        detail: String,
    },
    /// Next bytes of the answer; follows an `Action::Read`.
    Bytes(Vec<u8>),
    /// The answer is whole; follows an `Action::Read`.
    End,
    /// The run ended without a whole answer.
    Failed {
        /// At least one byte of the request may have reached the target.
        sent: bool,
        /// For the log.
        detail: String,
    },
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry probed the target; while it knows the head revision it announces orders.
    Watched {
        /// Run of the entry.
        entry: Incarnation,
        /// Grows with every probe.
        sequence: u64,
        /// Head revision, or 0 if the entry may have missed changes.
        head: Revision,
    },
    /// The settings allow another number of runs at the target at once.
    Concurrency(usize),
    /// An entry's message.
    Message {
        /// Connection that it came on.
        connection: ConnectionId,
        /// The message.
        message: ToAgent,
    },
    /// A connection ended, from either side.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A probe arrived by UDP.
    Probe {
        /// Where to answer.
        from: SocketAddr,
        /// Sequence to repeat.
        sequence: u64,
    },
    /// Progress of a run.
    Target {
        /// The run.
        run: RunId,
        /// What happened.
        event: TargetEvent,
    },
    /// Answer to `Action::ReadEngineState`; an error means that the engine does not answer.
    EngineState(Result<EngineState, String>),
    /// Answer to `Action::ReadEngineLoad`.
    EngineLoad(EngineLoad),
    /// Answer to `Action::ReadCacheEvents`, in order.
    CacheEvents(Vec<CacheEvent>),
    /// Answer to `Action::PassOrder`.
    OrderPassed(OrderOutcome),
    /// Answer to `Action::ReserveSlot`: `None` grants it, otherwise the time to wait.
    Slot(Result<Option<Duration>, StoreError>),
    /// Answer to `Action::Table`.
    TableDone {
        /// The operation.
        operation: OperationId,
        /// Its result.
        result: Result<TableReply, StoreError>,
    },
    /// The process was asked to stop.
    Leaving,
    /// Time has passed; sent at least every `TICK_MS`.
    Tick,
}

/// Output of the state machine, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to an entry.
    Send {
        /// Connection to use.
        connection: ConnectionId,
        /// The message.
        message: ToEntry,
    },
    /// Close a connection.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send a datagram.
    Datagram {
        /// Destination.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Start a run at the target. The head is delivered as soon as it is there.
    Start {
        /// The run.
        run: RunId,
        /// Attempt that it serves.
        attempt: AttemptId,
        /// 0 is served first.
        priority: u8,
        /// Work to do, with its whole body.
        work: Box<Work>,
    },
    /// Deliver the next bytes, or the end, of a run.
    Read {
        /// The run.
        run: RunId,
    },
    /// Ask the engine for the rest of an answer whose run was begun. Nothing is started by it.
    Resume {
        /// The run, under a new number.
        run: RunId,
        /// Attempt that it serves.
        attempt: AttemptId,
        /// Bytes held here.
        offset: u64,
    },
    /// Stop reading a run and let the engine go on.
    Release {
        /// The run.
        run: RunId,
    },
    /// Give up a run and tell the engine so.
    Abort {
        /// The run.
        run: RunId,
        /// Attempt that it served.
        attempt: AttemptId,
    },
    /// Read the engine's state.
    ReadEngineState,
    /// Read the engine's load.
    ReadEngineLoad,
    /// Read the engine's cache events after a sequence number.
    ReadCacheEvents {
        /// Last sequence number seen.
        after: u64,
    },
    /// Pass an order to the engine.
    PassOrder(Order),
    /// Ask the weight store for a slot.
    ReserveSlot {
        /// Model or adapter to load.
        model: String,
        /// Its version.
        version: String,
    },
    /// Call the table.
    Table {
        /// Comes back with the result.
        operation: OperationId,
        /// The call.
        request: TableRequest,
    },
    /// Write a log event.
    Log(Note),
    /// End the process.
    Exit(ExitReason),
}

/// Why the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Asked to stop; all work is finished and the row is released.
    Stopped,
    /// Another run of the agent holds the target; all work is finished.
    Superseded,
    /// The target was withdrawn; its name cannot be used again.
    Withdrawn,
}
