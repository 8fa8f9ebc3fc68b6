//! The agent's hold on its target row, and its view of the order row.
//!
//! One table call is under way at a time. A write reads the rows first and commits under their
//! versions; a lost reply is resolved by reading again.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use control::Meta;
use control::RowSet;
use control::TargetError;
use control::TargetUpdate;
use control::Versioned;
use control::keys;
use control::plan_intent;
use store::CommitOutcome;
use store::Row;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::ChangeBody;
use types::Incarnation;
use types::Order;
use types::Target;

use crate::event::Action;
use crate::event::OperationId;
use crate::limits::Limits;
use crate::limits::RETRY_MS;
use crate::report::Note;

/// What a finished table call means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowEvent {
    /// Nothing yet.
    None,
    /// The order row was read; the read began at this time.
    Polled(Instant, Option<Order>),
    /// The rows were read for a write; the caller supplies the update.
    Plan(Option<Box<Target>>),
    /// The update stands in the table. `None` after a release.
    Written(Option<Box<Target>>),
    /// The target cannot be held.
    Refused(String),
    /// Another run holds the target.
    Superseded(Incarnation),
}

#[derive(Debug, Clone)]
enum Step {
    Poll(Instant),
    ReadForWrite,
    Commit(Box<Target>),
}

/// Hold on the target row.
pub struct TargetRow {
    limits: Rc<Limits>,
    pending: Option<(OperationId, Step)>,
    rows: RowSet,
    next_operation: OperationId,
    retry_at: Option<Instant>,
    polled: Option<Instant>,
    /// A call has failed since the rows were last read.
    has_failed: bool,
    /// Time between two reads of the order row.
    pub poll_ms: Duration,
    first_event: Option<Instant>,
    /// The row as this run last wrote or read it; `None` until it is held.
    pub held: Option<Target>,
}

impl TargetRow {
    /// Not held yet.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            poll_ms: limits.order_poll_ms,
            limits,
            pending: None,
            rows: RowSet::default(),
            next_operation: 1,
            retry_at: None,
            polled: None,
            has_failed: false,
            first_event: None,
            held: None,
        }
    }

    /// Whether a table call may be started now.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        self.pending.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Whether the order row is due to be read.
    #[must_use]
    pub fn is_poll_due(&self, now: Instant) -> bool {
        // A hint whose read has failed must not wait for the long interval.
        let interval_ms = if self.has_failed {
            self.poll_ms.min(self.limits.order_poll_ms)
        } else {
            self.poll_ms
        };
        self.polled.is_none_or(|at| now >= at + interval_ms)
    }

    /// The order row is read at the next chance.
    pub fn hint(&mut self) {
        self.polled = None;
    }

    /// Reads the target row and the order row.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.polled = Some(now);
        let keys = vec![
            keys::target(&self.limits.target),
            keys::order(&self.limits.target),
        ];
        self.call(now, Step::Poll(now), TableRequest::Read(keys), out);
    }

    /// Begins a write; `RowEvent::Plan` follows.
    pub fn begin_write(&mut self, now: Instant, out: &mut Vec<Action>) {
        let keys = self.write_keys();
        self.call(now, Step::ReadForWrite, TableRequest::Read(keys), out);
    }

    fn write_keys(&self) -> Vec<String> {
        vec![
            keys::HEAD.to_owned(),
            keys::target(&self.limits.target),
            keys::order(&self.limits.target),
        ]
    }

    /// Commits an update after `RowEvent::Plan`. The event that it returns is `None` while the
    /// commit is under way.
    pub fn commit(
        &mut self,
        now: Instant,
        update: &TargetUpdate,
        reason: &str,
        out: &mut Vec<Action>,
    ) -> RowEvent {
        let first = *self.first_event.get_or_insert(now);
        let meta = Meta {
            by: format!("agent/{}", self.limits.target),
            at_ms: self.limits.started_wall_ms + now.saturating_duration_since(first),
            reason: reason.to_owned(),
            token: (u128::from(self.limits.incarnation) << 64) | u128::from(self.next_operation),
        };
        match plan_intent(update, &self.rows, &meta) {
            Ok(Some(planned)) => {
                let ChangeBody::Target { after, .. } = planned.change.body else {
                    return RowEvent::None;
                };
                let step = Step::Commit(Box::new(after));
                self.call(now, step, TableRequest::Commit(planned.transaction), out);
                RowEvent::None
            }
            // An earlier try took effect although its reply was lost.
            Ok(None) => RowEvent::Written(self.held.clone().map(Box::new)),
            Err(TargetError::Superseded { incarnation, .. }) => RowEvent::Superseded(incarnation),
            Err(error @ TargetError::Withdrawn { .. }) => RowEvent::Refused(error.to_string()),
            Err(error) => {
                self.failed(now, "plan", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    /// Takes the result of a table call.
    pub fn done(
        &mut self,
        now: Instant,
        operation: OperationId,
        result: Result<TableReply, StoreError>,
        out: &mut Vec<Action>,
    ) -> RowEvent {
        let Some((_, step)) = self.pending.take_if(|(at, _)| *at == operation) else {
            return RowEvent::None;
        };
        match (step, result) {
            (Step::Poll(began), Ok(TableReply::Rows(rows))) => self.polled(now, began, &rows, out),
            (Step::ReadForWrite, Ok(TableReply::Rows(rows))) => self.read(now, rows, out),
            (Step::Commit(after), Ok(TableReply::Commit(CommitOutcome::Committed(_)))) => {
                self.held = Some((*after).clone());
                RowEvent::Written(Some(after))
            }
            // The head moves with every change of anyone, so a lost race is tried again at once.
            (Step::Commit(_), Ok(TableReply::Commit(CommitOutcome::Conflict(_)))) => RowEvent::None,
            (_, Ok(_)) => {
                self.failed(now, "call", "answer of another kind".to_owned(), out);
                RowEvent::None
            }
            (_, Err(error)) => {
                self.failed(now, "call", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    fn polled(
        &mut self,
        now: Instant,
        began: Instant,
        rows: &[Row],
        out: &mut Vec<Action>,
    ) -> RowEvent {
        let mut read = RowSet::default();
        read.add_read(&self.write_keys()[1..], rows.to_vec());
        let order = read.get::<Order>(&keys::order(&self.limits.target));
        match (self.target_of(&read), order) {
            (Ok(target), Ok(order)) => {
                self.has_failed = false;
                match self.check_holder(target) {
                    Some(other) => RowEvent::Superseded(other),
                    None => RowEvent::Polled(began, order),
                }
            }
            (Err(error), _) | (_, Err(error)) => {
                self.failed(now, "read", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    fn target_of(&self, rows: &RowSet) -> Result<Option<Target>, control::RowError> {
        let stored: Option<Versioned<Target>> = rows.get(&keys::target(&self.limits.target))?;
        Ok(stored.map(|stored| stored.value))
    }

    fn read(&mut self, now: Instant, rows: Vec<Row>, out: &mut Vec<Action>) -> RowEvent {
        let mut read = RowSet::default();
        read.add_read(&self.write_keys(), rows);
        let target = match self.target_of(&read) {
            Ok(target) => target,
            Err(error) => {
                self.failed(now, "read", error.to_string(), out);
                return RowEvent::None;
            }
        };
        self.rows = read;
        // A registration whose reply was lost is seen here.
        let is_ours = target
            .as_ref()
            .is_some_and(|target| target.incarnation == self.limits.incarnation);
        if (self.held.is_some() || is_ours)
            && let Some(other) = self.check_holder(target.clone())
        {
            return RowEvent::Superseded(other);
        }
        RowEvent::Plan(target.map(Box::new))
    }

    /// Other run that holds the row, if this run held it before.
    fn check_holder(&mut self, target: Option<Target>) -> Option<Incarnation> {
        match target {
            Some(target) if target.incarnation == self.limits.incarnation => {
                // Operators change the state in the row.
                self.held = Some(target);
                None
            }
            Some(target) => Some(target.incarnation),
            None => Some(0),
        }
    }

    fn failed(&mut self, now: Instant, step: &'static str, detail: String, out: &mut Vec<Action>) {
        self.retry_at = Some(now + RETRY_MS);
        self.has_failed = true;
        out.push(Action::Log(Note::TableFailed { step, detail }));
    }

    fn call(&mut self, now: Instant, step: Step, request: TableRequest, out: &mut Vec<Action>) {
        self.first_event.get_or_insert(now);
        self.retry_at = None;
        let operation = self.next_operation;
        self.next_operation += 1;
        self.pending = Some((operation, step));
        out.push(Action::Table { operation, request });
    }

    /// Whether a write was begun and is not over.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        matches!(
            self.pending,
            Some((_, Step::ReadForWrite | Step::Commit(_)))
        )
    }
}
