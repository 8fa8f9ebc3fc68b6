//! Batches claim writes into table transactions.
//!
//! Writes that arrive within a few milliseconds share a transaction, because the table accepts only
//! several hundred writes a second from all entries together. If a transaction conflicts, the
//! writes whose rows have changed are removed and the others are committed again. Every write
//! carries a unique token, so a row with that token proves that the write took effect even if its
//! reply was lost.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use store::Check;
use store::CommitOutcome;
use store::Put;
use store::Row;
use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use types::RequestId;

use crate::claim::ClaimRow;
use crate::claim::EPOCH_KEY;
use crate::claim::EpochRow;

/// Time that the first write of a batch waits for others.
const BATCH_DELAY_MS: Duration = Duration::from_millis(5);
/// Minimum time between two transactions that are not full. At 20 a second, half of the write
/// budget of a process is left for configuration changes, leases and retries.
const MIN_COMMIT_INTERVAL_MS: Duration = Duration::from_millis(50);
/// Maximum number of writes in one transaction.
const BATCH_LIMIT_WRITES: usize = 32;
/// Body bytes of stored answers that make a batch full. During an outage, a transaction with 32
/// large answers would fail as a whole on every retry.
const BATCH_LIMIT_BYTES: usize = 512 << 10;

/// Purpose of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Takes the claim for this run, which is dispatched after the commit.
    TakeClaim(RequestId),
    /// Records how a run ended.
    RecordOutcome,
}

/// Conditional write of a claim row.
#[derive(Debug, Clone)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must still have; 0 if it must not exist.
    pub version: RowVersion,
    /// New value. `expires_epoch` is filled in at the commit that takes the claim.
    pub row: ClaimRow,
    /// Number of epochs after which the row expires.
    pub retention_epochs: u64,
    /// What the write is part of.
    pub purpose: Purpose,
}

/// Result of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteEnd {
    /// Committed at this version.
    Committed(RowVersion),
    /// Committed, and changed by another writer since.
    Overwritten,
    /// Not committed because the row had changed; carries the current row.
    Changed(Option<Row>),
    /// Not committed because the table is unavailable.
    Unavailable,
    /// The table did not answer; the write may have taken effect or may still do so.
    Unanswered,
}

struct InFlight {
    writes: Vec<Write>,
    /// The call reads the rows, after a conflict that named none of them.
    is_read: bool,
}

/// Claim writes that are pending or in flight.
#[derive(Default)]
pub struct WriteBatcher {
    pending: Vec<Write>,
    pending_bytes: usize,
    next_flush_at: Option<Instant>,
    last_flush_at: Option<Instant>,
    in_flight: HashMap<u64, InFlight>,
    epoch: u64,
    epoch_version: RowVersion,
}

impl WriteBatcher {
    /// Whether no write is pending or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_empty()
    }

    /// Adds a write and returns the time at which to call `flush`.
    pub fn push(&mut self, now: Instant, write: Write) -> Instant {
        self.pending_bytes += write.row.answer.as_ref().map_or(0, |a| a.body.len());
        self.pending.push(write);
        let is_full =
            self.pending.len() >= BATCH_LIMIT_WRITES || self.pending_bytes >= BATCH_LIMIT_BYTES;
        let earliest = self
            .last_flush_at
            .map_or(now, |at| at + MIN_COMMIT_INTERVAL_MS);
        let at = self
            .next_flush_at
            .unwrap_or(earliest.max(now + BATCH_DELAY_MS));
        let at = if is_full { now } else { at };
        self.next_flush_at = Some(at);
        at
    }

    /// Returns the next transaction if it is due.
    pub fn flush(&mut self, now: Instant, operation: u64) -> Option<TableRequest> {
        if self.next_flush_at.is_none_or(|at| at > now) {
            return None;
        }
        self.last_flush_at = Some(now);
        let writes = self.next_batch();
        self.pending_bytes = 0;
        self.next_flush_at = (!self.pending.is_empty()).then_some(now);
        self.commit(operation, writes)
    }

    /// Takes the first pending write of each row. In one transaction, two writes of a row under the
    /// same version would both succeed, and the run of the first would treat the claim of the
    /// second as its own. In separate transactions, the second one conflicts.
    fn next_batch(&mut self) -> Vec<Write> {
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for write in std::mem::take(&mut self.pending) {
            if batch.len() < BATCH_LIMIT_WRITES && keys.insert(write.key.clone()) {
                batch.push(write);
            } else {
                rest.push(write);
            }
        }
        self.pending = rest;
        batch
    }

    /// Whether the operation is a call of this batcher.
    #[must_use]
    pub fn owns(&self, operation: u64) -> bool {
        self.in_flight.contains_key(&operation)
    }

    /// Processes the result of an operation. Returns the writes that have ended, and a request for
    /// the others that is to be sent as operation `next`.
    pub fn complete(
        &mut self,
        operation: u64,
        result: Result<TableReply, StoreError>,
        next: u64,
    ) -> (Vec<(Write, WriteEnd)>, Option<TableRequest>) {
        let Some(InFlight { writes, is_read }) = self.in_flight.remove(&operation) else {
            return (Vec::new(), None);
        };
        match result {
            Ok(TableReply::Commit(CommitOutcome::Committed(versions))) if !is_read => {
                (committed(writes, &versions), None)
            }
            Ok(TableReply::Commit(CommitOutcome::Conflict(rows))) if !is_read => {
                if rows.is_empty() {
                    return (Vec::new(), Some(self.read(next, writes)));
                }
                let (ended, rest) = self.split_by_conflict(writes, rows, false);
                (ended, self.commit(next, rest))
            }
            Ok(TableReply::Rows(rows)) if is_read => {
                let (ended, rest) = self.split_by_conflict(writes, rows, true);
                (ended, self.commit(next, rest))
            }
            Err(StoreError::Unavailable(_) | StoreError::RateLimited) => {
                (with_outcome(writes, &WriteEnd::Unavailable), None)
            }
            // The read follows a commit that conflicted, so nothing was written.
            Err(_) | Ok(_) if is_read => (with_outcome(writes, &WriteEnd::Unavailable), None),
            Err(_) | Ok(_) => (with_outcome(writes, &WriteEnd::Unanswered), None),
        }
    }

    fn commit(&mut self, operation: u64, mut writes: Vec<Write>) -> Option<TableRequest> {
        if writes.is_empty() {
            return None;
        }
        let mut transaction = Transaction {
            proof: writes[0].key.clone(),
            ..Transaction::default()
        };
        for (index, write) in writes.iter_mut().enumerate() {
            // Without the number of the transaction, a row written by an earlier one would be
            // accepted as proof of this one, and the other writes reported as committed.
            write.row.proves = (index == 0).then_some(operation);
            if matches!(write.purpose, Purpose::TakeClaim(_)) {
                write.row.expires_epoch = self.epoch + write.retention_epochs;
            }
            transaction.checks.push(Check {
                key: write.key.clone(),
                version: write.version,
            });
            transaction.puts.push(Put {
                key: write.key.clone(),
                value: Some(write.row.to_json()),
            });
        }
        transaction.checks.push(Check {
            key: EPOCH_KEY.to_owned(),
            version: self.epoch_version,
        });
        let is_read = false;
        self.in_flight
            .insert(operation, InFlight { writes, is_read });
        Some(TableRequest::Commit(transaction))
    }

    fn read(&mut self, operation: u64, writes: Vec<Write>) -> TableRequest {
        let keys = writes.iter().map(|write| write.key.clone());
        let keys = keys.chain([EPOCH_KEY.to_owned()]).collect();
        let is_read = true;
        self.in_flight
            .insert(operation, InFlight { writes, is_read });
        TableRequest::Read(keys)
    }

    /// Separates the writes whose row has changed from those to commit again. If `complete` is set,
    /// a row that is not in `rows` does not exist; otherwise it is unchanged.
    fn split_by_conflict(
        &mut self,
        writes: Vec<Write>,
        rows: Vec<Row>,
        complete: bool,
    ) -> (Vec<(Write, WriteEnd)>, Vec<Write>) {
        let mut rows: HashMap<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        if let Some(row) = rows.remove(EPOCH_KEY) {
            self.epoch_version = row.version;
            let value = serde_json::from_str::<EpochRow>(&row.value);
            self.epoch = value.map_or(self.epoch, |value| value.epoch);
        }
        let mut ended = Vec::new();
        let mut rest = Vec::new();
        for write in writes {
            let version = rows.get(&write.key).map(|row| row.version);
            let unchanged = match version {
                Some(version) => version == write.version,
                None => !complete || write.version == 0,
            };
            if unchanged {
                rest.push(write);
                continue;
            }
            let row = rows.remove(&write.key).filter(|row| row.version != 0);
            let end = match row {
                Some(row) if has_token(&row, write.row.token) => WriteEnd::Committed(row.version),
                row => WriteEnd::Changed(row),
            };
            ended.push((write, end));
        }
        (ended, rest)
    }
}

fn has_token(row: &Row, token: u128) -> bool {
    serde_json::from_str::<ClaimRow>(&row.value).is_ok_and(|value| value.token == token)
}

fn committed(writes: Vec<Write>, versions: &[RowVersion]) -> Vec<(Write, WriteEnd)> {
    if versions.len() != writes.len() {
        return with_outcome(writes, &WriteEnd::Unanswered);
    }
    writes
        .into_iter()
        .zip(versions.iter().copied())
        .map(|(write, version)| match version {
            // The reply was lost and the commit was proved by its proof row; this row has changed
            // since.
            0 => (write, WriteEnd::Overwritten),
            version => (write, WriteEnd::Committed(version)),
        })
        .collect()
}

fn with_outcome(writes: Vec<Write>, end: &WriteEnd) -> Vec<(Write, WriteEnd)> {
    writes
        .into_iter()
        .map(|write| (write, end.clone()))
        .collect()
}
