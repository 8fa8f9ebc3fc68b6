//! Lease of a scope: at most one entry plans for a service, or sweeps.
//!
//! Another entry takes a lease over only after it has seen the row unchanged for the whole
//! duration on its own clock; clocks of two hosts are never compared. A holder that does not
//! know that it lost the lease can do no harm, since every order is planned under the row's
//! version.
//!
//! With many entries only a few are candidates for a lease (see [`crate::rendezvous`]). The
//! others observe it: they look at the row rarely, and take it over when it did not change
//! between two looks, so that a lease is still taken when all candidates are gone.

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

/// Call under way.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Read,
    /// Take over, renew or release, with the row's value if the commit succeeds.
    Write(LeaseRow),
}

/// Row as last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    version: RowVersion,
    row: Option<LeaseRow>,
    /// When this version was first seen; an upper bound of when it was written.
    since: Instant,
    /// When it was last seen.
    last: Instant,
}

/// State machine of one lease in one entry.
#[derive(Debug)]
pub struct Lease {
    scope: String,
    me: Incarnation,
    duration_ms: Duration,
    /// Time between two looks without the lease.
    look_ms: Duration,
    random: StdRng,
    seen: Option<Seen>,
    /// The last write has an unknown outcome: the row is read before the next one.
    in_doubt: bool,
    held: Option<HeldLease>,
    /// When the last successful renewal was sent.
    renewed: Option<Instant>,
    releasing: bool,
    call: Option<(u64, Instant, Call)>,
    last_operation: u64,
    next_call: Instant,
}

impl Lease {
    /// Starts without the lease; `seed` feeds the jitter between calls.
    #[must_use]
    pub fn new(
        scope: &str,
        me: Incarnation,
        duration_ms: Duration,
        now: Instant,
        seed: u64,
    ) -> Self {
        Self {
            scope: scope.to_owned(),
            me,
            duration_ms,
            look_ms: duration_ms / 3,
            random: StdRng::seed_from_u64(seed),
            seen: None,
            in_doubt: false,
            held: None,
            renewed: None,
            releasing: false,
            call: None,
            last_operation: 0,
            next_call: now,
        }
    }

    /// Starts as an observer, which looks at the row every `look_ms` until it holds the lease.
    /// The first look comes at a random time within that, so that entries started together do
    /// not look together and candidates come first.
    #[must_use]
    pub fn observing(mut self, look_ms: Duration) -> Self {
        self.look_ms = look_ms.max(self.duration_ms / 3);
        self.next_call += self.look_ms.mul_f64(self.random.random_range(0.0..=1.0));
        self
    }

    /// The lease, if it is held and its last renewal is younger than two thirds of the
    /// duration.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<&HeldLease> {
        let renewed = self.renewed?;
        let fresh = now.saturating_duration_since(renewed) < self.duration_ms * 2 / 3;
        self.held.as_ref().filter(|_| fresh && !self.releasing)
    }

    /// When the next tick is due.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        match &self.call {
            Some((_, sent, _)) => *sent + self.duration_ms,
            None => self.next_call,
        }
    }

    /// Nothing is left to do after a release.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.releasing && self.held.is_none()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Release => {
                self.releasing = true;
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
            // The call is forgotten; if it still takes effect, the next read shows it.
            self.forget_call();
        }
        if self.call.is_some() || now < self.next_call || self.is_released() {
            return;
        }
        self.last_operation += 1;
        let operation = self.last_operation;
        let write = self.next_write(now);
        self.schedule(now, write.is_some() || self.in_doubt);
        let request = match (&write, &self.seen) {
            (Some(row), Some(seen)) => self.commit(*row, seen.version),
            _ => TableRequest::Read(vec![keys::lease(&self.scope)]),
        };
        let call = write.map_or(Call::Read, Call::Write);
        self.call = Some((operation, now, call));
        actions.push(LeaseAction::Table { operation, request });
    }

    /// Value to write now; `None` if the row must be read first or belongs to another entry.
    fn next_write(&self, now: Instant) -> Option<LeaseRow> {
        let seen = self.seen.filter(|_| !self.in_doubt)?;
        let Some(row) = seen.row else {
            let is_free = !self.is_observer() || self.is_unchanged(now, seen);
            return (is_free && !self.releasing).then_some(LeaseRow {
                holder: self.me,
                fencing: 1,
                renewal: 1,
            });
        };
        let renewal = row.renewal + 1;
        if self.releasing {
            return (row.holder == self.me).then_some(LeaseRow {
                holder: 0,
                renewal,
                ..row
            });
        }
        if row.holder == self.me {
            return Some(LeaseRow { renewal, ..row });
        }
        let is_free = row.holder == 0 && !self.is_observer();
        (is_free || self.is_unchanged(now, seen)).then_some(LeaseRow {
            holder: self.me,
            fencing: row.fencing + 1,
            renewal,
        })
    }

    /// Whether the row may be taken over. An observer tries that only after a recent look,
    /// because a try on an old version is a write that fails.
    fn is_unchanged(&self, now: Instant, seen: Seen) -> bool {
        let is_recent = now.saturating_duration_since(seen.last) < self.duration_ms / 3;
        let is_old = now.saturating_duration_since(seen.since) >= self.duration_ms;
        is_old && (is_recent || !self.is_observer())
    }

    /// Leaves a free lease to the candidates for one duration.
    fn is_observer(&self) -> bool {
        self.look_ms > self.duration_ms / 3
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
                self.saw(now, rows.first(), actions);
            }
            (Call::Write(row), Ok(TableReply::Commit(CommitOutcome::Committed(versions)))) => {
                self.wrote(now, sent, row, versions.first().copied(), actions);
            }
            (Call::Write(_), Ok(TableReply::Commit(CommitOutcome::Conflict(rows)))) => {
                self.saw(now, rows.first().filter(|row| row.version != 0), actions);
            }
            (Call::Write(_), _) => self.in_doubt = true,
            (Call::Read, _) => {}
        }
    }

    /// Takes note of the row as it is in the table.
    fn saw(&mut self, now: Instant, row: Option<&Row>, actions: &mut Vec<LeaseAction>) {
        let version = row.map_or(0, |row| row.version);
        self.in_doubt = false;
        // A row that is not understood is left alone.
        let Ok(value) = row.map(decode::<LeaseRow>).transpose() else {
            return;
        };
        let since = self
            .seen
            .filter(|seen| seen.version == version)
            .map_or(now, |seen| seen.since);
        let seen = Seen {
            version,
            row: value,
            since,
            last: now,
        };
        self.seen = Some(seen);
        let mine = value.is_some_and(|row| {
            row.holder == self.me
                && self
                    .held
                    .as_ref()
                    .is_none_or(|held| held.fencing == row.fencing)
        });
        if mine {
            // Written by an earlier call whose reply was lost: renew at once to be sure.
            self.next_call = now;
        } else if self.held.take().is_some() {
            self.renewed = None;
            actions.push(LeaseAction::Lost);
        }
        if self.releasing && !mine {
            self.held = None;
        }
        let is_free = value.is_none_or(|row| row.holder == 0);
        if self.is_observer() && !self.releasing {
            if self.is_unchanged(now, seen) {
                self.next_call = now;
            } else if is_free {
                self.next_call = since + self.duration_ms;
            }
        } else if is_free {
            self.next_call = now;
        }
    }

    /// Takes note of an own write.
    fn wrote(
        &mut self,
        now: Instant,
        sent: Instant,
        row: LeaseRow,
        version: Option<RowVersion>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let version = version.unwrap_or(0);
        self.seen = (version != 0).then_some(Seen {
            version,
            row: Some(row),
            since: now,
            last: now,
        });
        if row.holder == 0 {
            if self.held.take().is_some() {
                actions.push(LeaseAction::Lost);
            }
            return;
        }
        let known = self
            .held
            .as_ref()
            .is_some_and(|held| held.fencing == row.fencing);
        let held = HeldLease {
            scope: self.scope.clone(),
            holder: self.me,
            fencing: row.fencing,
            version,
        };
        self.renewed = Some(sent);
        self.held = Some(held.clone());
        if !known {
            actions.push(LeaseAction::Acquired(held));
        }
    }

    fn forget_call(&mut self) {
        if let Some((_, _, Call::Write(_))) = self.call.take() {
            self.in_doubt = true;
        }
    }

    /// Writes are made every third of the duration, with jitter so that entries that wait for
    /// the same lease do not call in step. A write in doubt is settled as soon.
    fn schedule(&mut self, now: Instant, is_writing: bool) {
        let share = self.random.random_range(0.8..=1.0);
        let interval = if is_writing {
            self.duration_ms / 3
        } else {
            self.look_ms
        };
        self.next_call = now + interval.mul_f64(share);
    }
}
