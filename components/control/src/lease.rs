//! Lease of a scope, so that at most one entry plans for a service or runs the sweep.
//!
//! An entry takes over a lease only after the row has been unchanged for the lease duration on the
//! entry's own clock; clocks of two hosts are never compared. A holder that has lost the lease
//! without knowing cannot write orders, because each order is committed with a check on the version
//! of the lease row.
//!
//! With many entries only a few are candidates for a lease (see [`crate::rendezvous`]). The others
//! are observers: they poll the row rarely, and take the lease over if the row has not changed
//! between two polls, so that the lease is taken even when all candidates have failed.

mod event;

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::Check;
use store::CommitOutcome;
use store::Row;
use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use types::Incarnation;

use crate::keys;
use crate::plan::put;
use crate::rows::LeaseRow;
use crate::rows::decode;

pub use event::HeldLease;
pub use event::LeaseAction;
pub use event::LeaseEvent;

/// Table request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Read,
    /// Acquires, renews or releases the lease; holds the value of the row to write.
    Write(LeaseRow),
}

/// Row as last read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedRow {
    version: RowVersion,
    row: Option<LeaseRow>,
    /// When this version was first read; it was written before this time.
    since: Instant,
    /// When this version was last read.
    last_read: Instant,
}

/// State machine for one lease in one entry.
#[derive(Debug)]
pub struct Lease {
    scope: String,
    own_incarnation: Incarnation,
    duration_ms: Duration,
    /// Time between two reads of the row while the lease is not held.
    poll_ms: Duration,
    random: StdRng,
    observed: Option<ObservedRow>,
    /// The outcome of the last write is unknown, so the row is read before the next write.
    in_doubt: bool,
    held: Option<HeldLease>,
    /// When the last successful write of the lease was sent.
    renewal_sent: Option<Instant>,
    is_releasing: bool,
    call: Option<(u64, Instant, Call)>,
    last_operation: u64,
    next_call: Instant,
}

impl Lease {
    /// Creates a candidate that does not hold the lease. `seed` is used for the jitter between
    /// requests.
    #[must_use]
    pub fn new(
        scope: &str,
        own_incarnation: Incarnation,
        duration_ms: Duration,
        now: Instant,
        seed: u64,
    ) -> Self {
        Self {
            scope: scope.to_owned(),
            own_incarnation,
            duration_ms,
            poll_ms: duration_ms / 3,
            random: StdRng::seed_from_u64(seed),
            observed: None,
            in_doubt: false,
            held: None,
            renewal_sent: None,
            is_releasing: false,
            call: None,
            last_operation: 0,
            next_call: now,
        }
    }

    /// Makes the entry an observer, which reads the row every `poll_ms` until it holds the lease.
    /// The first read is after a random part of `poll_ms`, so that entries started together do not
    /// read at the same time, and candidates acquire the lease first.
    #[must_use]
    pub fn into_observer(mut self, poll_ms: Duration) -> Self {
        self.poll_ms = poll_ms.max(self.duration_ms / 3);
        self.next_call += self.poll_ms.mul_f64(self.random.random_range(0.0..=1.0));
        self
    }

    /// The lease, if it is held and its last renewal was sent less than two thirds of the duration
    /// ago.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<&HeldLease> {
        let renewal_sent = self.renewal_sent?;
        let is_fresh = now.saturating_duration_since(renewal_sent) < self.duration_ms * 2 / 3;
        self.held
            .as_ref()
            .filter(|_| is_fresh && !self.is_releasing)
    }

    /// When the next [`LeaseEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        match &self.call {
            Some((_, sent, _)) => *sent + self.duration_ms,
            None => self.next_call,
        }
    }

    /// Whether a release was requested and the lease is no longer held.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_releasing && self.held.is_none()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Release => {
                self.is_releasing = true;
                self.next_call = now;
            }
            LeaseEvent::TableDone { operation, result } => {
                self.table_done(now, operation, result, &mut actions);
            }
        }
        self.next_request(now, &mut actions);
        actions
    }

    fn next_request(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        if let Some((_, sent, _)) = &self.call
            && now.saturating_duration_since(*sent) >= self.duration_ms
        {
            // The request timed out. If it still takes effect, the next read shows it.
            self.abandon_call();
        }
        if self.call.is_some() || now < self.next_call || self.is_released() {
            return;
        }
        self.last_operation += 1;
        let operation = self.last_operation;
        let write = self.next_write(now);
        self.schedule(now, write.is_some() || self.in_doubt);
        let request = match (&write, &self.observed) {
            (Some(row), Some(observed)) => self.commit(*row, observed.version),
            _ => TableRequest::Read(vec![keys::lease(&self.scope)]),
        };
        let call = write.map_or(Call::Read, Call::Write);
        self.call = Some((operation, now, call));
        actions.push(LeaseAction::Table { operation, request });
    }

    /// Row value to write now; `None` if the row must be read first, is held by another entry, or
    /// needs no write.
    fn next_write(&self, now: Instant) -> Option<LeaseRow> {
        let observed = self.observed.filter(|_| !self.in_doubt)?;
        let Some(row) = observed.row else {
            let is_free = !self.is_observer() || self.is_unchanged(now, observed);
            return (is_free && !self.is_releasing).then_some(LeaseRow {
                holder: self.own_incarnation,
                fencing: 1,
                renewal: 1,
            });
        };
        let renewal = row.renewal + 1;
        if self.is_releasing {
            return (row.holder == self.own_incarnation).then_some(LeaseRow {
                holder: 0,
                renewal,
                ..row
            });
        }
        if row.holder == self.own_incarnation {
            return Some(LeaseRow { renewal, ..row });
        }
        let is_free = row.holder == 0 && !self.is_observer();
        (is_free || self.is_unchanged(now, observed)).then_some(LeaseRow {
            holder: self.own_incarnation,
            fencing: row.fencing + 1,
            renewal,
        })
    }

    /// Whether the row was unchanged for the lease duration. An observer must also have read it
    /// recently, because a write that checks an old version fails.
    fn is_unchanged(&self, now: Instant, observed: ObservedRow) -> bool {
        let is_recent = now.saturating_duration_since(observed.last_read) < self.duration_ms / 3;
        let is_old = now.saturating_duration_since(observed.since) >= self.duration_ms;
        is_old && (is_recent || !self.is_observer())
    }

    /// Whether this entry is an observer, which leaves a free lease to the candidates for one lease
    /// duration.
    fn is_observer(&self) -> bool {
        self.poll_ms > self.duration_ms / 3
    }

    fn commit(&self, row: LeaseRow, version: RowVersion) -> TableRequest {
        let key = keys::lease(&self.scope);
        TableRequest::Commit(Transaction {
            checks: vec![Check {
                key: key.clone(),
                version,
            }],
            puts: vec![put(key.clone(), &row)],
            proof: key,
        })
    }

    fn table_done(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<TableReply, StoreError>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((_, sent, call)) = self.call.take_if(|call| call.0 == operation) else {
            return;
        };
        match (call, result) {
            (Call::Read, Ok(TableReply::Rows(rows))) => {
                self.row_read(now, rows.first(), actions);
            }
            (Call::Write(row), Ok(TableReply::Commit(CommitOutcome::Committed(versions)))) => {
                self.row_written(now, sent, row, versions.first().copied(), actions);
            }
            (Call::Write(_), Ok(TableReply::Commit(CommitOutcome::Conflict(rows)))) => {
                self.row_read(now, rows.first().filter(|row| row.version != 0), actions);
            }
            (Call::Write(_), _) => self.in_doubt = true,
            (Call::Read, _) => {}
        }
    }

    /// Updates the state from the row as read.
    fn row_read(&mut self, now: Instant, row: Option<&Row>, actions: &mut Vec<LeaseAction>) {
        let version = row.map_or(0, |row| row.version);
        self.in_doubt = false;
        // A row that this version cannot decode is left unchanged.
        let Ok(value) = row.map(decode::<LeaseRow>).transpose() else {
            return;
        };
        let since = self
            .observed
            .filter(|observed| observed.version == version)
            .map_or(now, |observed| observed.since);
        let observed = ObservedRow {
            version,
            row: value,
            since,
            last_read: now,
        };
        self.observed = Some(observed);
        let is_own = value.is_some_and(|row| {
            row.holder == self.own_incarnation
                && self
                    .held
                    .as_ref()
                    .is_none_or(|held| held.fencing == row.fencing)
        });
        if is_own {
            // An earlier write took effect although its reply was lost. Renews at once to get the
            // version.
            self.next_call = now;
        } else if self.held.take().is_some() {
            self.renewal_sent = None;
            actions.push(LeaseAction::Lost);
        }
        if self.is_releasing && !is_own {
            self.held = None;
        }
        let is_free = value.is_none_or(|row| row.holder == 0);
        if self.is_observer() && !self.is_releasing {
            if self.is_unchanged(now, observed) {
                self.next_call = now;
            } else if is_free {
                self.next_call = since + self.duration_ms;
            }
        } else if is_free {
            self.next_call = now;
        }
    }

    /// Updates the state after a successful write.
    fn row_written(
        &mut self,
        now: Instant,
        sent: Instant,
        row: LeaseRow,
        version: Option<RowVersion>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let version = version.unwrap_or(0);
        self.observed = (version != 0).then_some(ObservedRow {
            version,
            row: Some(row),
            since: now,
            last_read: now,
        });
        if row.holder == 0 {
            if self.held.take().is_some() {
                actions.push(LeaseAction::Lost);
            }
            return;
        }
        let is_known = self
            .held
            .as_ref()
            .is_some_and(|held| held.fencing == row.fencing);
        let held = HeldLease {
            scope: self.scope.clone(),
            holder: self.own_incarnation,
            fencing: row.fencing,
            version,
        };
        self.renewal_sent = Some(sent);
        self.held = Some(held.clone());
        if !is_known {
            actions.push(LeaseAction::Acquired(held));
        }
    }

    /// Gives up on the request in flight; the outcome of a write is then unknown.
    fn abandon_call(&mut self) {
        if let Some((_, _, Call::Write(_))) = self.call.take() {
            self.in_doubt = true;
        }
    }

    /// Sets the time of the next request. Writes, and reads after a write with an unknown outcome,
    /// are a third of the duration apart. Jitter keeps entries that wait for the same lease from
    /// making their requests at the same time.
    fn schedule(&mut self, now: Instant, is_writing: bool) {
        let share = self.random.random_range(0.8..=1.0);
        let interval = if is_writing {
            self.duration_ms / 3
        } else {
            self.poll_ms
        };
        self.next_call = now + interval.mul_f64(share);
    }
}
