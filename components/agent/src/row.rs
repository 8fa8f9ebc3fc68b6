//! The agent's hold on its target row, and its view of the order row.
//!
//! One table call is under way at a time. A write reads the rows first and commits under their
//! versions; a lost reply is resolved by reading again.

use std::rc::Rc;
use std::time::Instant;

use platform::CommitOutcome;
use platform::PlatformError;
use platform::Row;
use platform::TableReply;
use platform::TableRequest;
use types::Incarnation;
use types::Order;
use types::Target;

use crate::event::Action;
use crate::event::OperationId;
use crate::limits::Limits;
use crate::limits::RETRY_MS;
use crate::registry::Entry;
use crate::registry::HEAD_KEY;
use crate::registry::order_key;
use crate::registry::parse;
use crate::registry::plan_target;
use crate::registry::target_key;
use crate::report::Note;

/// What a finished table call means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowEvent {
    /// Nothing yet.
    None,
    /// The order row was read; the read began at this time.
    Polled(Instant, Option<Order>),
    /// The rows were read for a write; the caller supplies the new target row.
    Plan(Option<Target>),
    /// The target row was written.
    Written(Box<Target>),
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
    rows: Vec<Row>,
    next_operation: OperationId,
    retry_at: Option<Instant>,
    poll_at: Option<Instant>,
    first_event: Option<Instant>,
    /// The row as this run last wrote or read it; `None` until it is held.
    pub held: Option<Target>,
}

impl TargetRow {
    /// Not held yet.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            limits,
            pending: None,
            rows: Vec::new(),
            next_operation: 1,
            retry_at: None,
            poll_at: None,
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
        self.poll_at.is_none_or(|at| now >= at)
    }

    /// The order row is read at the next chance.
    pub fn hint(&mut self) {
        self.poll_at = None;
    }

    /// Reads the target row and the order row.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.poll_at = Some(now + self.limits.order_poll_ms);
        let keys = vec![
            target_key(&self.limits.target),
            order_key(&self.limits.target),
        ];
        self.call(now, Step::Poll(now), TableRequest::Read(keys), out);
    }

    /// Begins a write; `RowEvent::Plan` follows.
    pub fn begin_write(&mut self, now: Instant, out: &mut Vec<Action>) {
        let keys = vec![HEAD_KEY.to_owned(), target_key(&self.limits.target)];
        self.call(now, Step::ReadForWrite, TableRequest::Read(keys), out);
    }

    /// Commits the new row after `RowEvent::Plan`; `RowEvent::Written` follows. Returns at once
    /// with `true` if the table already holds it.
    pub fn commit(
        &mut self,
        now: Instant,
        after: &Target,
        reason: &str,
        out: &mut Vec<Action>,
    ) -> bool {
        let current: Option<Target> =
            parse(&self.rows, &target_key(&after.name)).unwrap_or_default();
        if current.as_ref() == Some(after) {
            self.held = current;
            return true;
        }
        let first = *self.first_event.get_or_insert(now);
        let entry = Entry {
            by: &format!("agent/{}", self.limits.target),
            at_ms: self.limits.started_wall_ms + now.saturating_duration_since(first),
            reason,
            token: (u128::from(self.limits.incarnation) << 64) | u128::from(self.next_operation),
        };
        match plan_target(&self.rows, after, &entry) {
            Ok(transaction) => {
                let step = Step::Commit(Box::new(after.clone()));
                self.call(now, step, TableRequest::Commit(transaction), out);
            }
            Err(error) => self.failed(now, "plan", error.to_string(), out),
        }
        false
    }

    /// Takes the result of a table call.
    pub fn done(
        &mut self,
        now: Instant,
        operation: OperationId,
        result: Result<TableReply, PlatformError>,
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
                RowEvent::Written(after)
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
        let target = parse::<Target>(rows, &target_key(&self.limits.target));
        let order = parse::<Order>(rows, &order_key(&self.limits.target));
        match (target, order) {
            (Ok(target), Ok(order)) => match self.check_holder(target) {
                Some(other) => RowEvent::Superseded(other),
                None => RowEvent::Polled(began, order),
            },
            (Err(error), _) | (_, Err(error)) => {
                self.failed(now, "read", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    fn read(&mut self, now: Instant, rows: Vec<Row>, out: &mut Vec<Action>) -> RowEvent {
        let target = match parse::<Target>(&rows, &target_key(&self.limits.target)) {
            Ok(target) => target,
            Err(error) => {
                self.failed(now, "read", error.to_string(), out);
                return RowEvent::None;
            }
        };
        self.rows = rows;
        if self.held.is_some()
            && let Some(other) = self.check_holder(target.clone())
        {
            return RowEvent::Superseded(other);
        }
        RowEvent::Plan(target)
    }

    /// Other run that holds the row, if this run held it before.
    fn check_holder(&mut self, target: Option<Target>) -> Option<Incarnation> {
        self.held.as_ref()?;
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
