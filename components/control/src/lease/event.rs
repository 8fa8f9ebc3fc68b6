//! What a lease is told and what it wants done.

use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::FencingNumber;
use types::Incarnation;

/// A lease as its holder last wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Service, or `sweep`.
    pub scope: String,
    /// Run of the entry that holds it.
    pub holder: Incarnation,
    /// Number that orders under the lease carry.
    pub fencing: FencingNumber,
    /// Version of the row.
    pub version: RowVersion,
}

/// What a lease is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Tick,
    /// A table request ended.
    TableDone {
        /// From the action.
        operation: u64,
        /// Its end.
        result: Result<TableReply, StoreError>,
    },
    /// The process stops: give the lease back and take no other.
    Release,
}

/// What a lease wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Make a call and report its end.
    Table {
        /// Number of the call within this lease.
        operation: u64,
        /// The call.
        request: TableRequest,
    },
    /// The lease is held from now on, under a new fencing number.
    Acquired(HeldLease),
    /// The lease is no longer held: another entry took it, or it was given back.
    Lost,
}
