//! Reads and writes of the target row, and reads of the order row.
//!
//! At most one table call is in progress. A write first reads the rows and then commits on
//! condition of their versions. If the reply to a commit is lost, the rows are read again.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use control::ChangeMeta;
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
use crate::limits::RETRY_PAUSE_MS;
use crate::log_event::LogEvent;

/// Result of a completed table call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowEvent {
    /// Nothing to handle: the call was ignored, is still in progress, or will be retried.
    None,
    /// The order row was read. Holds the time at which the read began.
    Polled(Instant, Option<Order>),
    /// The rows were read for a write; [`TargetRow::commit`] must follow. Holds the current target
    /// row.
    WriteReady(Option<Box<Target>>),
    /// The update is committed. Holds the new target row, or `None` after a release.
    Written(Option<Box<Target>>),
    /// Registration was refused permanently.
    Refused(String),
    /// Another agent process has registered for the target.
    Superseded(Incarnation),
}

#[derive(Debug, Clone)]
enum Call {
    Poll(Instant),
    ReadForWrite,
    Commit(Box<Target>),
}

/// This agent's access to its target row and order row.
pub struct TargetRow {
    limits: Rc<Limits>,
    pending: Option<(OperationId, Call)>,
    rows: RowSet,
    next_operation: OperationId,
    retry_at: Option<Instant>,
    last_poll: Option<Instant>,
    /// A call has failed since the last successful poll.
    has_failed: bool,
    /// Poll interval of the order row.
    pub poll_ms: Duration,
    first_call_at: Option<Instant>,
    /// Target row as last written or read by this process; `None` until it is registered.
    pub registered: Option<Target>,
}

impl TargetRow {
    /// Starts unregistered.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            poll_ms: limits.order_poll_ms,
            limits,
            pending: None,
            rows: RowSet::default(),
            next_operation: 1,
            retry_at: None,
            last_poll: None,
            has_failed: false,
            first_call_at: None,
            registered: None,
        }
    }

    /// Whether a table call may start: none is in progress and the retry pause is over.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        self.pending.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }

    #[must_use]
    pub fn is_poll_due(&self, now: Instant) -> bool {
        // Retries a failed poll after the short interval, because a hint may have triggered it.
        let interval_ms = if self.has_failed {
            self.poll_ms.min(self.limits.order_poll_ms)
        } else {
            self.poll_ms
        };
        self.last_poll.is_none_or(|at| now >= at + interval_ms)
    }

    /// Makes a poll due at once.
    pub fn poll_soon(&mut self) {
        self.last_poll = None;
    }

    /// Reads the target row and the order row.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.last_poll = Some(now);
        let keys = vec![
            keys::target(&self.limits.target),
            keys::order(&self.limits.target),
        ];
        self.call(now, Call::Poll(now), TableRequest::Read(keys), out);
    }

    /// Reads the rows for a write; [`RowEvent::WriteReady`] follows.
    pub fn begin_write(&mut self, now: Instant, out: &mut Vec<Action>) {
        let keys = self.write_keys();
        self.call(now, Call::ReadForWrite, TableRequest::Read(keys), out);
    }

    fn write_keys(&self) -> Vec<String> {
        vec![
            keys::HEAD.to_owned(),
            keys::target(&self.limits.target),
            keys::order(&self.limits.target),
        ]
    }

    /// Commits an update after [`RowEvent::WriteReady`]. Returns [`RowEvent::None`] while the
    /// commit is in progress.
    pub fn commit(
        &mut self,
        now: Instant,
        update: &TargetUpdate,
        reason: &str,
        out: &mut Vec<Action>,
    ) -> RowEvent {
        let first = *self.first_call_at.get_or_insert(now);
        let meta = ChangeMeta {
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
                let call = Call::Commit(Box::new(after));
                self.call(now, call, TableRequest::Commit(planned.transaction), out);
                RowEvent::None
            }
            // The rows already contain the update: an earlier commit succeeded but its reply was
            // lost.
            Ok(None) => RowEvent::Written(self.registered.clone().map(Box::new)),
            Err(TargetError::Superseded { incarnation, .. }) => RowEvent::Superseded(incarnation),
            Err(error @ TargetError::Withdrawn { .. }) => RowEvent::Refused(error.to_string()),
            Err(error) => {
                self.record_failure(now, "plan", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    /// Handles the result of a table call.
    pub fn complete(
        &mut self,
        now: Instant,
        operation: OperationId,
        result: Result<TableReply, StoreError>,
        out: &mut Vec<Action>,
    ) -> RowEvent {
        let Some((_, call)) = self.pending.take_if(|(id, _)| *id == operation) else {
            return RowEvent::None;
        };
        match (call, result) {
            (Call::Poll(began), Ok(TableReply::Rows(rows))) => self.on_poll(now, began, &rows, out),
            (Call::ReadForWrite, Ok(TableReply::Rows(rows))) => self.on_read(now, rows, out),
            (Call::Commit(after), Ok(TableReply::Commit(CommitOutcome::Committed(_)))) => {
                self.registered = Some((*after).clone());
                RowEvent::Written(Some(after))
            }
            // Every change in the deployment moves the head revision, so conflicts are common; the
            // write is retried at once.
            (Call::Commit(_), Ok(TableReply::Commit(CommitOutcome::Conflict(_)))) => RowEvent::None,
            (_, Ok(_)) => {
                self.record_failure(now, "call", "unexpected type of reply".to_owned(), out);
                RowEvent::None
            }
            (_, Err(error)) => {
                self.record_failure(now, "call", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    fn on_poll(
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
                match self.check_owner(target) {
                    Some(other) => RowEvent::Superseded(other),
                    None => RowEvent::Polled(began, order),
                }
            }
            (Err(error), _) | (_, Err(error)) => {
                self.record_failure(now, "read", error.to_string(), out);
                RowEvent::None
            }
        }
    }

    fn target_of(&self, rows: &RowSet) -> Result<Option<Target>, control::RowError> {
        let stored: Option<Versioned<Target>> = rows.get(&keys::target(&self.limits.target))?;
        Ok(stored.map(|stored| stored.value))
    }

    fn on_read(&mut self, now: Instant, rows: Vec<Row>, out: &mut Vec<Action>) -> RowEvent {
        let mut read = RowSet::default();
        read.add_read(&self.write_keys(), rows);
        let target = match self.target_of(&read) {
            Ok(target) => target,
            Err(error) => {
                self.record_failure(now, "read", error.to_string(), out);
                return RowEvent::None;
            }
        };
        self.rows = read;
        // The row may be registered by this process although the reply to the commit was lost.
        let is_ours = target
            .as_ref()
            .is_some_and(|target| target.incarnation == self.limits.incarnation);
        if (self.registered.is_some() || is_ours)
            && let Some(other) = self.check_owner(target.clone())
        {
            return RowEvent::Superseded(other);
        }
        RowEvent::WriteReady(target.map(Box::new))
    }

    /// Returns the incarnation of another process that owns the row; otherwise stores the row.
    fn check_owner(&mut self, target: Option<Target>) -> Option<Incarnation> {
        match target {
            Some(target) if target.incarnation == self.limits.incarnation => {
                // Operators change the target's state in this row.
                self.registered = Some(target);
                None
            }
            Some(target) => Some(target.incarnation),
            None => Some(0),
        }
    }

    fn record_failure(
        &mut self,
        now: Instant,
        step: &'static str,
        detail: String,
        out: &mut Vec<Action>,
    ) {
        self.retry_at = Some(now + RETRY_PAUSE_MS);
        self.has_failed = true;
        out.push(Action::Log(LogEvent::TableFailed { step, detail }));
    }

    fn call(&mut self, now: Instant, call: Call, request: TableRequest, out: &mut Vec<Action>) {
        self.first_call_at.get_or_insert(now);
        self.retry_at = None;
        let operation = self.next_operation;
        self.next_operation += 1;
        self.pending = Some((operation, call));
        out.push(Action::Table { operation, request });
    }

    /// Whether a write is in progress.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        matches!(
            self.pending,
            Some((_, Call::ReadForWrite | Call::Commit(_)))
        )
    }
}
