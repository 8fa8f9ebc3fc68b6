//! Numbered log events of the state machine.

use types::AttemptId;
use types::Incarnation;
use types::OrderNumber;

/// Something that goes to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// CS2001: the target row is held by this run.
    Registered {
        /// Last executed order according to the row.
        applied: OrderNumber,
    },
    /// CS2002: a table call failed and will be repeated.
    TableFailed {
        /// What was wanted.
        step: &'static str,
        /// Why it failed.
        detail: String,
    },
    /// CS2003: another run holds the target.
    Superseded {
        /// The other run.
        by: Incarnation,
    },
    /// CS2004: the stop signal arrived.
    Leaving {
        /// Attempts still to finish.
        in_service: usize,
    },
    /// CS2005: the row is released.
    Released,
    /// CS2007: the target cannot be held.
    RegistrationRefused {
        /// Why.
        detail: String,
    },
    /// CS2101: an order was started.
    OrderStarted {
        /// Its number.
        number: OrderNumber,
        /// What it asks for.
        kind: String,
    },
    /// CS2102: an order was passed to the engine, for the first time or again.
    OrderPassed {
        /// Its number.
        number: OrderNumber,
        /// What was passed on.
        kind: String,
    },
    /// CS2103: passing an order failed.
    OrderFailed {
        /// Its number.
        number: OrderNumber,
        /// Why.
        detail: String,
    },
    /// CS2104: an order is executed and recorded.
    OrderDone {
        /// Its number.
        number: OrderNumber,
    },
    /// CS2105: a newer order took the place of one under way.
    OrderSuperseded {
        /// Number of the older one.
        number: OrderNumber,
        /// Number of the newer one.
        by: OrderNumber,
    },
    /// CS2106: the engine is not in the ordered state.
    StateDiffers {
        /// Number of the order in force.
        number: OrderNumber,
    },
    /// CS2201: the engine answers no longer, or again.
    EngineAway {
        /// Whether it is away now.
        away: bool,
        /// Why.
        detail: String,
    },
    /// CS2301: a run ended without a whole answer.
    RunFailed {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Whether a byte may have reached the target.
        sent: bool,
        /// Why.
        detail: String,
    },
    /// CS2305: the connection of a run was lost; the engine is asked for the rest of the answer.
    RunResumed {
        /// Attempt concerned.
        attempt: AttemptId,
        /// Bytes held.
        offset: u64,
        /// What became of the connection.
        detail: String,
    },
    /// CS2302: an answer is too long to be kept, or the space for kept answers is full.
    AnswerDropped {
        /// Attempt concerned.
        attempt: AttemptId,
    },
    /// CS2303: a connection was closed because of what its entry sent.
    ConnectionRefused {
        /// Why.
        detail: &'static str,
    },
}

impl Note {
    /// Number in the catalogue of log events.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Registered { .. } => "CS2001",
            Self::TableFailed { .. } => "CS2002",
            Self::Superseded { .. } => "CS2003",
            Self::Leaving { .. } => "CS2004",
            Self::Released => "CS2005",
            Self::RegistrationRefused { .. } => "CS2007",
            Self::OrderStarted { .. } => "CS2101",
            Self::OrderPassed { .. } => "CS2102",
            Self::OrderFailed { .. } => "CS2103",
            Self::OrderDone { .. } => "CS2104",
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
