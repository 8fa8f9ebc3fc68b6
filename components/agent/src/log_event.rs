//! Numbered log events of the state machine.

use types::AttemptId;
use types::Incarnation;
use types::OrderNumber;

/// Log event with its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEvent {
    /// CS2001: the table has accepted the registration.
    Registered {
        /// Number of the last executed order in the target row.
        applied: OrderNumber,
    },
    /// CS2002: a table call failed and will be retried.
    TableFailed {
        /// Step that failed: `plan`, `call` or `read`.
        step: &'static str,
        /// Cause, as text.
        detail: String,
    },
    /// CS2003: another agent process has registered for the target.
    Superseded {
        /// Incarnation of the other process; 0 if the row was released or removed.
        by: Incarnation,
    },
    /// CS2004: a stop signal was received.
    Leaving {
        /// Accepted attempts that are not finished.
        in_flight: usize,
    },
    /// CS2005: the target row was released.
    Released,
    /// CS2007: registration was refused permanently.
    RegistrationRefused {
        /// Cause, as text.
        detail: String,
    },
    /// CS2008: the target named a limit on its requests, changed it or ended it.
    LimitChanged {
        /// Requests a second; `None` if the limit has ended.
        requests_per_s: Option<String>,
    },
    /// CS2101: execution of an order has begun.
    OrderStarted {
        /// Number of the order that was started.
        number: OrderNumber,
        /// Kind of the order, as debug text.
        kind: String,
    },
    /// CS2102: an order is being sent to the engine, for the first time or again.
    OrderSent {
        /// Number of the order that is sent.
        number: OrderNumber,
        /// Kind of the step sent, as debug text.
        kind: String,
    },
    /// CS2103: the engine did not accept an order, or its reply was lost.
    OrderFailed {
        /// Number of the order that failed.
        number: OrderNumber,
        /// Cause, as text.
        detail: String,
    },
    /// CS2104: an order has been executed and recorded in the target row.
    OrderExecuted {
        /// Number of the order that was recorded.
        number: OrderNumber,
    },
    /// CS2105: an order in progress was replaced by a newer one.
    OrderSuperseded {
        /// Number of the older one.
        number: OrderNumber,
        /// Number of the newer one.
        by: OrderNumber,
    },
    /// CS2106: the engine's state differs from the ordered state.
    StateDiffers {
        /// Number of the order in force.
        number: OrderNumber,
    },
    /// CS2201: the engine stopped or started to answer state requests.
    EngineAway {
        /// The engine does not answer.
        away: bool,
        /// Cause, as text; empty if it answers.
        detail: String,
    },
    /// CS2301: a run ended without a complete answer.
    RunFailed {
        /// Attempt that failed.
        attempt: AttemptId,
        /// Whether any byte of the request may have reached the target.
        sent: bool,
        /// Cause, as text.
        detail: String,
    },
    /// CS2305: the connection of a run was lost, and the rest of the answer is requested.
    RunResumed {
        /// Attempt that is resumed.
        attempt: AttemptId,
        /// Bytes of the answer received so far.
        offset: u64,
        /// Why the connection was lost.
        detail: String,
    },
    /// CS2302: an answer exceeds the size limit for resumption from its first byte.
    AnswerDropped {
        /// Attempt whose answer is no longer kept whole.
        attempt: AttemptId,
    },
    /// CS2303: a connection was closed because its entry violated the protocol.
    ConnectionRefused {
        /// Violation.
        detail: &'static str,
    },
}

impl LogEvent {
    /// Event number in the log.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Registered { .. } => "CS2001",
            Self::TableFailed { .. } => "CS2002",
            Self::Superseded { .. } => "CS2003",
            Self::Leaving { .. } => "CS2004",
            Self::Released => "CS2005",
            Self::RegistrationRefused { .. } => "CS2007",
            Self::LimitChanged { .. } => "CS2008",
            Self::OrderStarted { .. } => "CS2101",
            Self::OrderSent { .. } => "CS2102",
            Self::OrderFailed { .. } => "CS2103",
            Self::OrderExecuted { .. } => "CS2104",
            Self::OrderSuperseded { .. } => "CS2105",
            Self::StateDiffers { .. } => "CS2106",
            Self::EngineAway { .. } => "CS2201",
            Self::RunFailed { .. } => "CS2301",
            Self::RunResumed { .. } => "CS2305",
            Self::AnswerDropped { .. } => "CS2302",
            Self::ConnectionRefused { .. } => "CS2303",
        }
    }
}
