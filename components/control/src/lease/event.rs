//! Events and actions of the lease state machine.

use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::FencingNumber;
use types::Incarnation;

/// A lease row as its holder last wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Name of the service, or `sweep`.
    pub scope: String,
    /// Incarnation of the entry that holds the lease.
    pub holder: Incarnation,
    /// Fencing number that orders under this lease carry.
    pub fencing: FencingNumber,
    /// Version of the lease row.
    pub version: RowVersion,
}

/// Input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The time of [`Lease::next_wake`](super::Lease::next_wake) has come.
    Tick,
    /// A table request succeeded or failed.
    TableDone {
        /// Number of the request, from [`LeaseAction::Table`].
        operation: u64,
        /// Reply or error.
        result: Result<TableReply, StoreError>,
    },
    /// The process stops: release the lease and do not acquire it again.
    Release,
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Make a table request and report its result as [`LeaseEvent::TableDone`].
    Table {
        /// Number of the request within this lease.
        operation: u64,
        /// Request to make.
        request: TableRequest,
    },
    /// The lease was acquired under a new fencing number.
    Acquired(HeldLease),
    /// The lease is no longer held: another entry took it over, or it was released.
    Lost,
}
