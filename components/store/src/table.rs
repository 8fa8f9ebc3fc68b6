//! The transactional table: rows with versions, and conditional transactions over a few rows.

use serde::Deserialize;
use serde::Serialize;

use crate::StoreFuture;

/// Version of a row; a write gives it the next one. 0 stands for an absent row.
pub type RowVersion = u64;

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, for example `profile/radio-desk`.
    pub key: String,
    /// Version at the time of the read.
    pub version: RowVersion,
    /// JSON text.
    pub value: String,
}

/// Condition of a transaction: the row still has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version it must have; 0 for an absent row.
    pub version: RowVersion,
}

/// Write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that take effect together, if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub puts: Vec<Put>,
    /// Key of a written row whose value is unique to this transaction and is not overwritten
    /// by others while the writer may still ask. A lost reply is resolved by reading it back.
    pub proof: String,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes took effect. Lists the new version of each row put, in order.
    Committed(Vec<RowVersion>),
    /// Nothing was written. Lists the current rows of the checks that failed.
    Conflict(Vec<Row>),
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Reads rows by key; absent rows are left out of the answer.
    Read(Vec<String>),
    /// Reads rows whose key starts with `prefix` and is greater than `after`, in key order.
    Scan {
        /// Common start of the keys.
        prefix: String,
        /// Last key already seen; empty for none.
        after: String,
        /// Most rows to return.
        limit: usize,
    },
    /// Commits a transaction.
    Commit(Transaction),
}

/// Answer to one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// Rows of a read or scan.
    Rows(Vec<Row>),
    /// End of a commit.
    Commit(CommitOutcome),
}

/// The table service.
pub trait Table {
    /// Makes one call.
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply>;
}
