//! In-memory contents of a table: the semantics that clients rely on, without I/O or faults.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::Deserialize;
use serde::Serialize;

use crate::table::CommitOutcome;
use crate::table::Row;
use crate::table::RowVersion;
use crate::table::TableReply;
use crate::table::TableRequest;
use crate::table::Transaction;

/// Numbers of calls that a table has executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounters {
    /// Reads and scans.
    pub reads: u64,
    /// Transactions, committed or not.
    pub writes: u64,
    /// Committed transactions.
    pub commits: u64,
}

/// Rows of a table.
///
/// All rows take their versions from one counter, so that a row that is deleted and written again
/// never gets the same version twice.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    by_key: BTreeMap<String, (RowVersion, String)>,
    last_version: RowVersion,
    counters: TableCounters,
}

impl Rows {
    /// Executes a call.
    pub fn apply(&mut self, request: &TableRequest) -> TableReply {
        match request {
            TableRequest::Read(keys) => {
                self.counters.reads += 1;
                TableReply::Rows(keys.iter().filter_map(|key| self.get(key)).collect())
            }
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => {
                self.counters.reads += 1;
                TableReply::Rows(self.scan(prefix, after, *limit))
            }
            TableRequest::Commit(transaction) => TableReply::Commit(self.commit(transaction)),
        }
    }

    /// Reads one row.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Row> {
        self.by_key.get(key).map(|(version, value)| Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Numbers of calls executed so far.
    #[must_use]
    pub fn counters(&self) -> TableCounters {
        self.counters
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after >= prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        self.by_key
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .filter_map(|(key, _)| self.get(key))
            .collect()
    }

    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.counters.writes += 1;
        let conflicts: Vec<Row> = transaction
            .checks
            .iter()
            .map(|check| (check, self.get_or_absent(&check.key)))
            .filter(|(check, row)| check.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return CommitOutcome::Conflict(conflicts);
        }
        self.counters.commits += 1;
        self.last_version += 1;
        let version = self.last_version;
        let versions = transaction
            .puts
            .iter()
            .map(|put| {
                if let Some(value) = &put.value {
                    self.by_key
                        .insert(put.key.clone(), (version, value.clone()));
                    return version;
                }
                self.by_key.remove(&put.key);
                0
            })
            .collect();
        CommitOutcome::Committed(versions)
    }

    fn get_or_absent(&self, key: &str) -> Row {
        self.get(key).unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: 0,
            value: String::new(),
        })
    }
}
