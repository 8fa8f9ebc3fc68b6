//! Events and actions of the state machine.

use std::net::SocketAddr;
use std::time::Duration;

use limits::NamedRate;
use limits::Rate;
use serde::Deserialize;
use serde::Serialize;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::AttemptId;
use types::CacheEvent;
use types::Headers;
use types::Incarnation;
use types::LoadedModel;
use types::Order;
use types::Revision;
use types::Role;
use types::Work;
use wire::Datagram;
use wire::Digest;
use wire::ToAgent;
use wire::ToEntry;

use crate::log_event::LogEvent;

/// Id of a connection from an entry; never reused by an agent process.
pub type ConnectionId = u64;
/// Id of a run of an attempt at the target; never reused by an agent process.
pub type RunId = u64;
/// Id of a table operation; never reused by an agent process.
pub type OperationId = u64;

/// State as the engine reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded model, version and adapters.
    pub loaded: LoadedModel,
    /// Current role.
    pub role: Role,
    /// A change is in progress and the engine accepts no work.
    pub away: bool,
    /// Number of the last order that the engine executed; 0 after a restart of the engine, and for
    /// engines that do not report it.
    #[serde(default)]
    pub number: u64,
}

/// Load as the engine reports it, possibly delayed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Age of the values when the engine reported them.
    pub age_ms: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Estimated output tokens still to be generated.
    pub decode_backlog_tokens: u64,
    /// Used part of the KV cache, in thousandths.
    pub cache_used_permille: u16,
    /// Limit on requests that the engine names, also while none is answered.
    #[serde(default)]
    pub requests_per_s: Option<Rate>,
}

/// Outcome of sending an order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order; its state shows when the order is complete.
    Accepted,
    /// The engine refused the order without any effect.
    Refused(String),
    /// The engine refused the order because its fencing number is outdated. Retries cannot succeed.
    Fenced(String),
    /// No byte of the order reached the engine.
    NotSent(String),
    /// The reply was lost; the order may take effect now or later.
    Unanswered(String),
}

/// Progress of a run at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetEvent {
    /// The head of the answer has arrived.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` field; empty if absent.
        content_type: String,
        /// Other fields to relay to the caller.
        headers: Headers,
    },
    /// What the head of an answer, which follows, says about the limit of the target.
    RateNamed(NamedRate),
    /// The target refused a request and asked for a pause.
    PauseAsked(Duration),
    /// The engine continues the answer from the offset of an `Action::Resume`.
    Resumed {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` field; empty if absent.
        content_type: String,
        /// Other fields to relay to the caller.
        headers: Headers,
        /// Digest of the bytes before the offset; `None` if absent or malformed.
        prefix: Option<Digest>,
    },
    /// The engine does not know the run that it was asked to resume, or cannot resume it.
    RunUnknown {
        /// Cause, for the log.
        detail: String,
    },
    /// Next bytes of the answer, in reply to an `Action::Read`.
    Bytes(Vec<u8>),
    /// End of the answer, in reply to an `Action::Read`.
    End,
    /// The run ended without a complete answer.
    Failed {
        /// Whether any byte of the request may have reached the target.
        sent: bool,
        /// Cause, for the log.
        detail: String,
    },
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry sent a probe. The entry sends hints about new orders while `head` is not 0.
    EntryProbed {
        /// Incarnation of the probing entry.
        entry: Incarnation,
        /// Increases with every probe of the entry.
        sequence: u64,
        /// Latest revision of the change log that the entry has applied; 0 if it may have missed
        /// changes.
        head: Revision,
    },
    /// The reloaded settings have a new limit for concurrent runs at the target.
    ConcurrencyChanged(usize),
    /// An entry sent a message.
    Message {
        /// Connection that received it.
        connection: ConnectionId,
        /// Message after decoding and authentication.
        message: ToAgent,
    },
    /// Either side closed a connection.
    Disconnected {
        /// The closed connection.
        connection: ConnectionId,
    },
    /// A probe arrived by UDP.
    Probe {
        /// Address for the reply.
        from: SocketAddr,
        /// Sequence number to return in the reply.
        sequence: u64,
    },
    /// Progress of a run.
    Target {
        /// Run that the event belongs to; ignored if it has ended.
        run: RunId,
        /// What happened.
        event: TargetEvent,
    },
    /// Reply to `Action::ReadEngineState`; an error means that the engine does not answer.
    EngineState(Result<EngineState, String>),
    /// Reply to `Action::ReadEngineLoad`.
    EngineLoad(EngineLoad),
    /// Reply to `Action::ReadCacheEvents`, in ascending order of sequence numbers.
    CacheEvents(Vec<CacheEvent>),
    /// Reply to `Action::SendOrder`.
    OrderAnswered(OrderOutcome),
    /// Reply to `Action::ReserveSlot`: `None` if the slot is granted, otherwise the time until the
    /// next request.
    SlotReply(Result<Option<Duration>, StoreError>),
    /// Reply to `Action::Table`.
    TableDone {
        /// Operation of the request.
        operation: OperationId,
        /// Result of the call.
        result: Result<TableReply, StoreError>,
    },
    /// The process was asked to stop.
    StopRequested,
    /// Time has passed; sent at least once every `TICK_MS`.
    Tick,
}

/// Output of the state machine; actions must be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message to an entry.
    Send {
        /// Connection to send on.
        connection: ConnectionId,
        /// Message to queue; dropped if the connection is closed.
        message: ToEntry,
    },
    /// Closes a connection.
    Close {
        /// Connection to close; ignored if it is closed already.
        connection: ConnectionId,
    },
    /// Sends a datagram.
    Datagram {
        /// Destination.
        to: SocketAddr,
        /// Datagram to encode; not retried if it is lost.
        datagram: Datagram,
    },
    /// Starts a run at the target. The head of the answer must be delivered without a `Read`.
    Start {
        /// New run id, for later events and actions.
        run: RunId,
        /// Attempt that the run belongs to.
        attempt: AttemptId,
        /// 0 is the highest priority.
        priority: u8,
        /// Request with its complete body.
        work: Box<Work>,
    },
    /// Requests the next bytes of the answer, or its end.
    Read {
        /// Run with a delivered head and no other `Read` outstanding.
        run: RunId,
    },
    /// Requests the rest of an answer from the engine. Never starts a run.
    Resume {
        /// New run id; events of the previous one are ignored.
        run: RunId,
        /// Attempt that the run belongs to.
        attempt: AttemptId,
        /// Bytes received so far; the answer must continue from here.
        offset: u64,
    },
    /// Stops reading the answer, without telling the engine to stop the run.
    Release {
        /// Run to stop reading.
        run: RunId,
    },
    /// Ends a run and tells the engine to stop it.
    Abort {
        /// Run to end.
        run: RunId,
        /// Attempt that the run belongs to.
        attempt: AttemptId,
    },
    /// Requests the engine's state.
    ReadEngineState,
    /// Requests the engine's load.
    ReadEngineLoad,
    /// Requests the engine's cache events after a sequence number.
    ReadCacheEvents {
        /// Sequence number of the last event received; 0 for all events.
        after: u64,
    },
    /// Sends an order to the engine.
    SendOrder(Order),
    /// Requests a slot for a transfer from the weight store.
    ReserveSlot {
        /// Model or adapter to load.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// Calls the table.
    Table {
        /// Id to return with the result.
        operation: OperationId,
        /// Request to pass to the table client.
        request: TableRequest,
    },
    /// Writes a log event.
    Log(LogEvent),
    /// Ends the process.
    Exit(ExitReason),
}

/// Reason for which the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// A stop was requested; all work is finished and the row is released.
    Stopped,
    /// Another agent process has registered for the target; all work is finished.
    Superseded,
    /// The target was withdrawn; its name cannot be used again.
    Withdrawn,
}
