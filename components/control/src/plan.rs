//! Plans configuration changes as conditional transactions.
//!
//! Each change is one transaction. It checks the versions of `head` and of each row that the plan
//! depends on, and writes the next `head`, the rows, and a log record that is also the proof row.

use std::time::Duration;

use serde::Serialize;
use store::Check;
use store::Put;
use store::Transaction;
use types::Change;
use types::ChangeBody;
use types::Revision;

use crate::command::CommandError;
use crate::keys;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::RowSet;
use crate::rows::RowsNeeded;
use crate::rows::encode;

/// Author, reason, time and token of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeMeta {
    /// Name of the operator, planner or agent.
    pub by: String,
    /// Reason, recorded in the audit trail.
    pub reason: String,
    /// Wall-clock time since the Unix epoch.
    pub at_ms: Duration,
    /// Unique number by which the author finds the change in the log.
    pub token: u128,
}

/// A change to be planned, whatever its author.
pub trait Intent {
    /// Error if the change is not possible.
    type Error: From<CommandError>;

    /// Key of the row whose concurrent change is a conflict, and the value that the author wants.
    /// If `None`, the change is planned again until it can be committed.
    fn conflict_item(&self) -> Option<(String, serde_json::Value)>;

    /// Rows that [`Intent::draft`] needs, given those already read. Called again until all of them
    /// are read.
    fn rows_needed(&self, rows: &RowSet) -> RowsNeeded;

    /// Rows to check and write; `None` if the table already has the change.
    ///
    /// # Errors
    ///
    /// The reason why the change is not possible in the state that the rows show.
    fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Option<Draft>, Self::Error>;
}

/// Part of a transaction that depends on the kind of change.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// Content of the log record.
    pub body: ChangeBody,
    /// Checks in addition to the one on `head`: one for each row read by key that the draft depends
    /// on.
    pub checks: Vec<Check>,
    /// Writes in addition to `head` and the log record.
    pub puts: Vec<Put>,
}

/// A change with the transaction that commits it.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Log record that the transaction writes.
    pub change: Change,
    /// Transaction to commit.
    pub transaction: Transaction,
}

/// Plans a change from the rows that it needs; `None` if the table already has it.
///
/// # Errors
///
/// Those of the intent; `Refused` for a row that cannot be decoded.
pub fn plan_intent<I: Intent>(
    intent: &I,
    rows: &RowSet,
    meta: &ChangeMeta,
) -> Result<Option<Planned>, I::Error> {
    let head: Head = rows
        .get(keys::HEAD)
        .map_err(CommandError::from)?
        .unwrap_or_default();
    let revision = head.revision + 1;
    let Some(draft) = intent.draft(rows, revision)? else {
        return Ok(None);
    };
    Ok(Some(complete(draft, rows, revision, meta)))
}

/// Adds `head` and the log record to a draft.
fn complete(draft: Draft, rows: &RowSet, revision: Revision, meta: &ChangeMeta) -> Planned {
    let change = Change {
        revision,
        at_ms: meta.at_ms,
        by: meta.by.clone(),
        reason: meta.reason.clone(),
        token: meta.token,
        body: draft.body,
    };
    let proof = keys::log(revision);
    let mut checks = vec![rows.check(keys::HEAD)];
    checks.extend(draft.checks);
    let mut puts = vec![
        put(keys::HEAD.to_owned(), &Head { revision }),
        put(proof.clone(), &change),
    ];
    puts.extend(draft.puts);
    Planned {
        change,
        transaction: Transaction {
            checks,
            puts,
            proof,
        },
    }
}

/// Write of a value as JSON.
pub(crate) fn put<T: Serialize>(key: String, value: &T) -> Put {
    Put {
        key,
        value: Some(encode(value)),
    }
}

impl From<RowError> for CommandError {
    fn from(error: RowError) -> Self {
        Self::Refused {
            fix: format!("{error}; upgrade the entries or correct the row"),
            item: error.key,
        }
    }
}
