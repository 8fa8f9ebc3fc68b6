//! Background task of the holder of the `sweep` lease: advances the epoch and deletes expired
//! claims.
//!
//! Two concurrent holders do no harm. The epoch is advanced only by a transaction on a version that
//! this process has seen unchanged for the length of an epoch on its own clock, and a claim is
//! deleted only at the version that was read.
//!
//! The object of a claim is deleted before its row, so that the row still leads to the object if
//! the holder stops in between. The object key follows from the row in any state: an entry that
//! stored an object and stopped before the row referred to it leaves a row that is `taken` or
//! `unknown`, and the object is deleted with that row. A row whose object cannot be deleted stays
//! until the next pass.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use store::Check;
use store::CommitOutcome;
use store::ObjectReply;
use store::ObjectRequest;
use store::Put;
use store::Row;
use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use store::Transaction;

use crate::claim::CLAIM_PREFIX;
use crate::claim::ClaimRow;
use crate::claim::EPOCH_KEY;
use crate::claim::EPOCH_MS;
use crate::claim::EpochRow;
use crate::tokens::Tokens;

/// Key of the row that every deletion writes as its proof. A commit whose reply was lost can only
/// be proved by a row that exists.
pub const CURSOR_KEY: &str = "sweep-cursor";
/// Minimum time between two calls, which limits the load on the table to 4 reads and 4 writes a
/// second.
const CALL_INTERVAL_MS: Duration = Duration::from_millis(250);
/// Minimum time between two deletions of objects, which limits them to 50 of the several hundred
/// writes a second that the store accepts.
const OBJECT_DELETE_INTERVAL_MS: Duration = Duration::from_millis(20);
/// Number of rows read in one call; 64 stored answers are at most 6 MB of JSON.
const PAGE_ROWS: usize = 64;
/// Time after which a call without a result is abandoned.
const CALL_TIMEOUT_MS: Duration = Duration::from_secs(30);

/// Event reported to the sweep.
#[derive(Debug)]
pub enum SweepEvent {
    /// The process acquired or lost the lease.
    Lease {
        /// The process holds the lease now.
        held: bool,
    },
    /// A call to the table returned or failed.
    TableDone {
        /// Number from `SweepAction`.
        operation: u64,
        /// Reply of the store, or why there is none.
        result: Result<TableReply, StoreError>,
    },
    /// A call to the object store returned or failed.
    ObjectDone {
        /// Number from `SweepAction`.
        operation: u64,
        /// Reply of the store, or why there is none.
        result: Result<ObjectReply, StoreError>,
    },
    /// The time of `Sweep::next_tick` has come.
    Tick,
}

/// Call to make.
#[derive(Debug)]
pub enum SweepCall {
    /// Call to the table.
    Table(TableRequest),
    /// Call to the object store.
    Object(ObjectRequest),
}

/// Call to make, whose result is reported with the same number.
#[derive(Debug)]
pub struct SweepAction {
    /// Number that identifies the call in the event.
    pub operation: u64,
    /// Store to call, and the request.
    pub call: SweepCall,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    ReadEpoch,
    AdvanceEpoch,
    ReadPage,
    DeleteObject,
    DeleteRows,
}

#[derive(Serialize)]
struct CursorRow {
    after: String,
    token: String,
}

/// State of the sweep at one process.
pub struct Sweep {
    has_lease: bool,
    step: Step,
    call: Option<(u64, Instant)>,
    next_at: Option<Instant>,
    last_operation: u64,
    epoch: u64,
    epoch_version: RowVersion,
    epoch_unchanged_since: Option<Instant>,
    scan_after: String,
    expired: Vec<Row>,
    /// Objects of expired claims, with the keys of their rows.
    objects: Vec<(String, String)>,
    deleted: u64,
    tokens: Tokens,
}

impl Sweep {
    /// Starts without the lease. `seed` determines tokens, and must be different for each start of
    /// a process.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            has_lease: false,
            step: Step::ReadEpoch,
            call: None,
            next_at: None,
            last_operation: 0,
            epoch: 0,
            epoch_version: 0,
            epoch_unchanged_since: None,
            scan_after: String::new(),
            expired: Vec::new(),
            objects: Vec::new(),
            deleted: 0,
            tokens: Tokens::new(0, seed),
        }
    }

    /// Handles one event and returns the next call, if one is due.
    pub fn handle(&mut self, now: Instant, event: SweepEvent) -> Option<SweepAction> {
        match event {
            SweepEvent::Lease { held } => self.set_lease(now, held),
            SweepEvent::TableDone { operation, result } => self.table_done(now, operation, result),
            SweepEvent::ObjectDone { operation, result } => {
                self.object_done(operation, &result);
            }
            SweepEvent::Tick => {}
        }
        self.next_call(now)
    }

    /// Time at which `SweepEvent::Tick` is needed next; `None` without the lease.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        match self.call {
            Some((_, since)) => Some(since + CALL_TIMEOUT_MS),
            None => self.next_at,
        }
    }

    /// Number of claims deleted by this process.
    #[must_use]
    pub fn deleted(&self) -> u64 {
        self.deleted
    }

    fn set_lease(&mut self, now: Instant, held: bool) {
        if held == self.has_lease {
            return;
        }
        self.has_lease = held;
        self.step = Step::ReadEpoch;
        self.call = None;
        self.scan_after.clear();
        self.expired.clear();
        self.objects.clear();
        self.next_at = held.then_some(now);
    }

    fn next_call(&mut self, now: Instant) -> Option<SweepAction> {
        if let Some((_, since)) = self.call {
            if now < since + CALL_TIMEOUT_MS {
                return None;
            }
            self.call = None;
            self.step = Step::ReadEpoch;
        }
        if !self.has_lease || self.next_at.is_none_or(|at| at > now) {
            return None;
        }
        let mut interval_ms = CALL_INTERVAL_MS;
        let call = match self.step {
            Step::ReadEpoch => SweepCall::Table(TableRequest::Read(vec![EPOCH_KEY.to_owned()])),
            Step::AdvanceEpoch => SweepCall::Table(self.advance_epoch()),
            Step::ReadPage => SweepCall::Table(TableRequest::Scan {
                prefix: CLAIM_PREFIX.to_owned(),
                after: self.scan_after.clone(),
                limit: PAGE_ROWS,
            }),
            Step::DeleteObject => {
                interval_ms = OBJECT_DELETE_INTERVAL_MS;
                let key = self.objects.last().map(|(_, key)| key.clone());
                let key = key.unwrap_or_default();
                SweepCall::Object(ObjectRequest::Delete { key })
            }
            Step::DeleteRows => SweepCall::Table(self.delete_rows()),
        };
        self.last_operation += 1;
        self.call = Some((self.last_operation, now));
        self.next_at = Some(now + interval_ms);
        Some(SweepAction {
            operation: self.last_operation,
            call,
        })
    }

    fn table_done(&mut self, now: Instant, operation: u64, result: Result<TableReply, StoreError>) {
        if self.call.is_none_or(|(number, _)| number != operation) {
            return;
        }
        self.call = None;
        let step = self.step;
        self.step = Step::ReadEpoch;
        match (step, result) {
            (Step::ReadEpoch, Ok(TableReply::Rows(rows))) => self.epoch_read(now, rows.first()),
            (Step::ReadPage, Ok(TableReply::Rows(rows))) => self.page_read(rows),
            (Step::DeleteRows, Ok(TableReply::Commit(outcome))) => self.page_deleted(&outcome),
            _ => self.expired.clear(),
        }
    }

    fn object_done(&mut self, operation: u64, result: &Result<ObjectReply, StoreError>) {
        let is_current = self.call.is_some_and(|(number, _)| number == operation);
        if !is_current || self.step != Step::DeleteObject {
            return;
        }
        self.call = None;
        if result.is_ok() {
            self.objects.pop();
        } else {
            let undeleted = std::mem::take(&mut self.objects);
            self.expired
                .retain(|row| undeleted.iter().all(|(claim, _)| *claim != row.key));
        }
        self.step = if !self.objects.is_empty() {
            Step::DeleteObject
        } else if self.expired.is_empty() {
            Step::ReadEpoch
        } else {
            Step::DeleteRows
        };
    }

    fn epoch_read(&mut self, now: Instant, row: Option<&Row>) {
        let version = row.map_or(0, |row| row.version);
        let value = row.and_then(|row| serde_json::from_str::<EpochRow>(&row.value).ok());
        self.epoch = value.map_or(0, |value| value.epoch);
        if version != self.epoch_version || self.epoch_unchanged_since.is_none() {
            self.epoch_version = version;
            self.epoch_unchanged_since = Some(now);
        }
        let since = self
            .epoch_unchanged_since
            .map(|seen| now.duration_since(seen));
        self.step = if since.is_some_and(|since| since >= EPOCH_MS) {
            Step::AdvanceEpoch
        } else {
            Step::ReadPage
        };
    }

    fn advance_epoch(&mut self) -> TableRequest {
        let value = EpochRow {
            epoch: self.epoch + 1,
            token: self.tokens.next(),
        };
        TableRequest::Commit(Transaction {
            checks: vec![Check {
                key: EPOCH_KEY.to_owned(),
                version: self.epoch_version,
            }],
            puts: vec![Put {
                key: EPOCH_KEY.to_owned(),
                value: serde_json::to_string(&value).ok(),
            }],
            proof: EPOCH_KEY.to_owned(),
        })
    }

    fn page_read(&mut self, rows: Vec<Row>) {
        let is_full = rows.len() >= PAGE_ROWS;
        let last = rows.last().map(|row| row.key.clone());
        self.scan_after = last.filter(|_| is_full).unwrap_or_default();
        let epoch = self.epoch;
        self.expired.clear();
        self.objects.clear();
        for row in rows {
            let Some(claim) = expired_claim(&row, epoch) else {
                continue;
            };
            if claim.may_have_object(&row.key) {
                let object = claim.object_key(&row.key);
                self.objects.push((row.key.clone(), object));
            }
            self.expired.push(row);
        }
        if !self.objects.is_empty() {
            self.step = Step::DeleteObject;
        } else if !self.expired.is_empty() {
            self.step = Step::DeleteRows;
        }
    }

    fn delete_rows(&mut self) -> TableRequest {
        let cursor = CursorRow {
            after: self.scan_after.clone(),
            token: format!("{:032x}", self.tokens.next()),
        };
        let checks = self.expired.iter().map(|row| Check {
            key: row.key.clone(),
            version: row.version,
        });
        let puts = self.expired.iter().map(|row| Put {
            key: row.key.clone(),
            value: None,
        });
        let cursor = Put {
            key: CURSOR_KEY.to_owned(),
            value: serde_json::to_string(&cursor).ok(),
        };
        TableRequest::Commit(Transaction {
            checks: checks.collect(),
            puts: puts.chain([cursor]).collect(),
            proof: CURSOR_KEY.to_owned(),
        })
    }

    fn page_deleted(&mut self, outcome: &CommitOutcome) {
        match outcome {
            CommitOutcome::Committed(_) => {
                self.deleted += self.expired.len() as u64;
                self.expired.clear();
            }
            CommitOutcome::Conflict(rows) => {
                let before = self.expired.len();
                self.expired
                    .retain(|row| rows.iter().all(|changed| changed.key != row.key));
                // If the conflict names no row of the page, its rows are left to the next pass.
                if self.expired.len() < before && !self.expired.is_empty() {
                    self.step = Step::DeleteRows;
                } else {
                    self.expired.clear();
                }
            }
        }
    }
}

fn expired_claim(row: &Row, epoch: u64) -> Option<ClaimRow> {
    let claim = serde_json::from_str::<ClaimRow>(&row.value).ok()?;
    (claim.expires_epoch < epoch).then_some(claim)
}
