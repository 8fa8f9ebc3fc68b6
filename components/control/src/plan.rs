//! Plans of configuration changes as conditional transactions.
//!
//! Every change is one transaction with checks on `head` and on each row that the plan relied
//! on; it writes the next `head`, the rows, and a log record that is also the proof row.

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

/// Who makes a change, when and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Meta {
    /// Operator, planner or agent.
    pub by: String,
    /// Why, for people.
    pub reason: String,
    /// Wall-clock time since the Unix epoch.
    pub at_ms: Duration,
    /// Unique to the write.
    pub token: u128,
}

/// A change that somebody wants to make.
pub trait Intent {
    /// Why the change may be impossible.
    type Error: From<CommandError>;

    /// Row whose change by somebody else in the meantime is a conflict, and the value wanted
    /// for it. Without one, the plan is made again until it can be committed.
    fn contested(&self) -> Option<(String, serde_json::Value)>;

    /// Rows that the draft needs, given those that were read; asked again until it names no
    /// new ones.
    fn rows_needed(&self, rows: &RowSet) -> RowsNeeded;

    /// What to write; `None` if nothing is left to do.
    ///
    /// # Errors
    ///
    /// Says why the change is impossible in the present state.
    fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Option<Draft>, Self::Error>;
}

/// Part of a change that depends on its kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// What the log says.
    pub body: ChangeBody,
    /// Conditions beside the one on `head`: one for each row read by its key that the draft
    /// relies on.
    pub checks: Vec<Check>,
    /// Writes beside `head` and the log record.
    pub puts: Vec<Put>,
}

/// A change ready to be committed.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Record that the log gets.
    pub change: Change,
    /// Transaction to commit.
    pub transaction: Transaction,
}

/// Plans a change from the rows that it needs; `None` if nothing is left to do.
///
/// # Errors
///
/// Those of the intent; `Refused` for a row that is not understood.
pub fn plan_intent<I: Intent>(
    intent: &I,
    rows: &RowSet,
    meta: &Meta,
) -> Result<Option<Planned>, I::Error> {
    let head: Head = rows
        .get(keys::HEAD)
        .map_err(CommandError::from)?
        .unwrap_or_default();
    let revision = head.revision + 1;
    let Some(draft) = intent.draft(rows, revision)? else {
        return Ok(None);
    };
    Ok(Some(seal(draft, rows, revision, meta)))
}

/// Adds `head` and the log record to a draft.
fn seal(draft: Draft, rows: &RowSet, revision: Revision, meta: &Meta) -> Planned {
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

/// Write of a row's value.
pub(crate) fn put<T: Serialize>(key: String, value: &T) -> Put {
    Put {
        key,
        value: Some(encode(value)),
    }
}

impl From<RowError> for CommandError {
    fn from(error: RowError) -> Self {
        Self::Refused {
            fix: format!("{error}; update the entries or repair the row"),
            item: error.key,
        }
    }
}
