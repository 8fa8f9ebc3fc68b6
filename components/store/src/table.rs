//! Table interface: versioned rows, and conditional transactions over several rows.

use serde::Deserialize;
use serde::Serialize;

use crate::StoreFuture;

/// Version of a row; changes with every write. 0 means that the row does not exist.
pub type RowVersion = u64;

/// Row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, for example `profile/radio-desk`.
    pub key: String,
    /// Version when the row was read.
    pub version: RowVersion,
    /// Value, as JSON text.
    pub value: String,
}

/// Condition of a transaction: the row has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Expected version; 0 if the row must not exist.
    pub version: RowVersion,
}

/// Write or deletion of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value, as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that are applied atomically if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, which must all hold.
    pub checks: Vec<Check>,
    /// Rows to write or delete.
    pub puts: Vec<Put>,
    /// Key of a row that proves the commit: its value is unique to this transaction, and no other
    /// writer overwrites it while the outcome may still be needed. If the reply is lost, reading
    /// this row shows the outcome. Empty if there is no such row.
    pub proof: String,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes were applied. Contains the new version of each written row, in order of `puts`.
    Committed(Vec<RowVersion>),
    /// Nothing was written. Contains the current rows whose check failed.
    Conflict(Vec<Row>),
}

/// Call to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Reads rows by key. The answer omits rows that do not exist.
    Read(Vec<String>),
    /// Reads rows whose key starts with `prefix` and is greater than `after`, in key order.
    Scan {
        /// Common prefix of the keys.
        prefix: String,
        /// Key after which the scan starts; empty to start at the first key.
        after: String,
        /// Maximum number of rows to return.
        limit: usize,
    },
    /// Commits a transaction.
    Commit(Transaction),
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// Result of a read or scan.
    Rows(Vec<Row>),
    /// Result of a commit.
    Commit(CommitOutcome),
}

/// Table service.
pub trait Table {
    /// Executes a call.
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply>;
}
