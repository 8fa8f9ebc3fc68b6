//! Handlers of the messages about attempts: dispatch, body, resume, credit, cancel and forbid.

use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Rejection;
use wire::ToEntry;

use crate::attempt::Attempt;
use crate::attempt::Phase;
use crate::attempt::Reader;
use crate::attempt::failed;
use crate::attempts::Attempts;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::history::Lookup;
use crate::history::Record;
use crate::log_event::LogEvent;

const DETAIL_LOST: &str = "the attempt was started, but its answer is no longer kept";
const DETAIL_EVICTED: &str = "the attempt is too old for this agent to know whether it ran";

impl Attempts {
    /// Accepts or rejects an attempt.
    pub fn dispatch(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        dispatch: Dispatch,
        out: &mut Vec<Action>,
    ) {
        self.load.received += 1;
        let id = dispatch.attempt;
        if dispatch.incarnation != self.limits.incarnation {
            self.reject(now, connection, id, Rejection::WrongIncarnation, out);
            return;
        }
        if dispatch.work.body.len() as u64 > dispatch.body_bytes {
            refuse_connection(connection, "request body exceeds its announced length", out);
            return;
        }
        if self
            .by_id
            .get(&id)
            .is_some_and(|attempt| attempt.phase == Phase::Receiving)
        {
            // The entry dispatches again on another connection; the attempt has not started.
            self.remove_waiting(id);
            self.admit(now, connection, dispatch, out);
            return;
        }
        if self.by_id.contains_key(&id) {
            self.attach_reader(now, connection, id, 0, dispatch.credit_bytes, out);
            return;
        }
        match self.lookup(id, dispatch.idempotent) {
            Lookup::New => self.admit(now, connection, dispatch, out),
            Lookup::Found(Record::Forbidden) | Lookup::Superseded => {
                self.reject(now, connection, id, Rejection::Forbidden, out);
            }
            Lookup::Found(Record::Started) => send_failed(connection, id, DETAIL_LOST, out),
            Lookup::Evicted => send_failed(connection, id, DETAIL_EVICTED, out),
        }
    }

    fn lookup(&self, id: AttemptId, idempotent: bool) -> Lookup {
        match self.history.lookup(id) {
            Lookup::New => {}
            Lookup::Evicted if idempotent => {}
            known => return known,
        }
        match self.idempotent_history.lookup(id) {
            // An evicted idempotent attempt may run again without harm.
            Lookup::Evicted => Lookup::New,
            known => known,
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        dispatch: Dispatch,
        out: &mut Vec<Action>,
    ) {
        let id = dispatch.attempt;
        if let Some(reason) = self.rejection_reason(now, &dispatch, out) {
            // A duplicate of the dispatch on another connection must not run after this rejection.
            if !dispatch.idempotent {
                self.history.record(id, Record::Forbidden);
            }
            self.reject(now, connection, id, reason, out);
            return;
        }
        let attempt = Attempt::new(now, connection, dispatch);
        let is_complete = attempt.body_bytes == body_length(&attempt);
        self.receiving += 1;
        self.waiting_bytes += attempt.body_bytes;
        self.load.queued_tokens += u64::from(attempt.prompt_tokens);
        self.by_id.insert(id, attempt);
        out.push(Action::Send {
            connection,
            message: ToEntry::Accepted { attempt: id },
        });
        if is_complete {
            self.enqueue(now, id);
            self.start_next(now, out);
        }
        self.update_counts();
    }

    fn rejection_reason(
        &mut self,
        now: Instant,
        dispatch: &Dispatch,
        out: &mut Vec<Action>,
    ) -> Option<Rejection> {
        if self.load.leaving {
            return Some(Rejection::Leaving);
        }
        if self.load.away {
            return Some(Rejection::Away);
        }
        if dispatch.deadline_ms.is_zero() {
            return Some(Rejection::DeadlineExceeded);
        }
        if !self.load.has_loaded(&dispatch.needs) {
            return Some(Rejection::WrongModel);
        }
        let bodies_bytes = self.waiting_bytes.saturating_add(dispatch.body_bytes);
        if dispatch.body_bytes > self.limits.body_limit_bytes
            || bodies_bytes > self.limits.bodies_limit_bytes
        {
            return Some(Rejection::Overloaded);
        }
        if self.has_too_long_wait(now, dispatch) {
            return Some(Rejection::Overloaded);
        }
        if !self.is_full() {
            return None;
        }
        // An attempt of higher priority replaces the last one in the queue.
        let (_, last) = self.last_queued()?;
        if self.by_id.get(&last)?.priority <= dispatch.priority {
            return Some(Rejection::Overloaded);
        }
        self.reject_waiting(now, last, Rejection::Overloaded, out);
        None
    }

    /// Whether the limit of the target leaves no room before the deadline of an attempt.
    fn has_too_long_wait(&self, now: Instant, dispatch: &Dispatch) -> bool {
        let waiting = usize::try_from(self.load.queued).unwrap_or(usize::MAX);
        self.rate_limit.wait(now, waiting) >= dispatch.deadline_ms
    }

    /// Appends bytes to the request body of an attempt.
    pub fn body(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        let is_sender = attempt
            .readers
            .iter()
            .any(|reader| reader.connection == connection);
        if attempt.phase != Phase::Receiving || !is_sender {
            return;
        }
        let length = body_length(attempt) + bytes.len() as u64;
        if length > attempt.body_bytes {
            refuse_connection(connection, "request body exceeds its announced length", out);
            return;
        }
        if let Some(work) = &mut attempt.work {
            work.body.extend_from_slice(bytes);
        }
        if length == attempt.body_bytes {
            self.enqueue(now, id);
            self.start_next(now, out);
        }
    }

    /// Attaches the entry as a reader, from an offset in the answer.
    pub fn resume(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        offset: u64,
        credit_bytes: u32,
        out: &mut Vec<Action>,
    ) {
        match self.by_id.get(&id).map(|attempt| &attempt.phase) {
            // Later body parts could come from this or the previous connection, so the body is
            // ambiguous.
            Some(Phase::Receiving) => {
                self.remove_waiting(id);
                self.reject(now, connection, id, Rejection::Forbidden, out);
            }
            Some(_) => self.attach_reader(now, connection, id, offset, credit_bytes, out),
            None => match self.lookup_any(id) {
                Lookup::Found(Record::Started) => send_failed(connection, id, DETAIL_LOST, out),
                Lookup::Evicted => send_failed(connection, id, DETAIL_EVICTED, out),
                Lookup::New | Lookup::Superseded | Lookup::Found(Record::Forbidden) => {
                    // The dispatch may still arrive late on the connection that this one replaced.
                    self.history.record(id, Record::Forbidden);
                    self.reject(now, connection, id, Rejection::Forbidden, out);
                }
            },
        }
    }

    fn attach_reader(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        offset: u64,
        credit_bytes: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        if offset < attempt.answer.start_offset() || offset > attempt.answer.length() {
            attempt.detach(connection);
            send_failed(connection, id, DETAIL_LOST, out);
            return;
        }
        attempt.attach(Reader::new(connection, offset, credit_bytes));
        out.push(Action::Send {
            connection,
            message: ToEntry::Accepted { attempt: id },
        });
        self.relay(now, id, out);
    }

    /// Looks up an attempt that may be idempotent or not.
    fn lookup_any(&self, id: AttemptId) -> Lookup {
        match self.history.lookup(id) {
            Lookup::New => self.idempotent_history.lookup(id),
            known => known,
        }
    }

    /// Applies an acknowledgement and additional credit.
    pub fn credit(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        received: u64,
        bytes: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        let reader = attempt
            .readers
            .iter_mut()
            .find(|reader| reader.connection == connection);
        if let Some(reader) = reader {
            reader.credit(received, bytes);
            self.relay(now, id, out);
        }
    }

    /// Detaches an entry that no longer wants the answer. A non-idempotent run continues.
    pub fn cancel(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            if self.lookup_any(id) == Lookup::New {
                self.history.record(id, Record::Forbidden);
            }
            return;
        };
        attempt.detach(connection);
        if !attempt.readers.is_empty() {
            return;
        }
        match (&attempt.phase, attempt.idempotent) {
            (Phase::Receiving | Phase::Queued, _) => {
                self.remove_waiting(id);
                self.reject(now, connection, id, Rejection::Forbidden, out);
                self.start_next(now, out);
            }
            (Phase::Running, true) => {
                self.abort(id, out);
                self.start_next(now, out);
            }
            (Phase::Running, false) => {
                attempt.orphaned_since = Some(now);
                self.relay(now, id, out);
            }
            (Phase::Done(_) | Phase::Failed(_), true) => self.evict_finished(id),
            (Phase::Done(_) | Phase::Failed(_), false) => {}
        }
    }

    /// Prevents an attempt from starting, and reports whether it has started already.
    pub fn forbid(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let outcome = if incarnation == self.limits.incarnation {
            self.resolve_forbid(now, id, out)
        } else {
            ForbidOutcome::Lost
        };
        out.push(Action::Send {
            connection,
            message: ToEntry::Forbidden {
                attempt: id,
                outcome,
            },
        });
        self.start_next(now, out);
    }

    fn resolve_forbid(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<Action>,
    ) -> ForbidOutcome {
        match self.by_id.get(&id) {
            Some(attempt) if attempt.is_waiting() => {
                self.reject_waiting(now, id, Rejection::Forbidden, out);
                return ForbidOutcome::NeverRun;
            }
            Some(attempt) => {
                let has_all_bytes = attempt.answer.start_offset() == 0;
                return match attempt.phase {
                    Phase::Failed(_) => ForbidOutcome::Lost,
                    _ if has_all_bytes => ForbidOutcome::Started,
                    _ => ForbidOutcome::Lost,
                };
            }
            None => {}
        }
        // Entries send `Forbid` only for non-idempotent attempts, so the watermarks of the
        // idempotent history do not apply.
        match self.lookup(id, false) {
            Lookup::Found(Record::Started) | Lookup::Evicted => ForbidOutcome::Lost,
            Lookup::Found(Record::Forbidden) | Lookup::New | Lookup::Superseded => {
                self.history.record(id, Record::Forbidden);
                ForbidOutcome::NeverRun
            }
        }
    }
}

fn body_length(attempt: &Attempt) -> u64 {
    attempt
        .work
        .as_ref()
        .map_or(0, |work| work.body.len() as u64)
}

fn send_failed(
    connection: ConnectionId,
    id: AttemptId,
    detail: &'static str,
    out: &mut Vec<Action>,
) {
    out.push(Action::Send {
        connection,
        message: failed(id, detail.to_owned()),
    });
}

/// Closes a connection whose entry violated the protocol.
pub(crate) fn refuse_connection(
    connection: ConnectionId,
    detail: &'static str,
    out: &mut Vec<Action>,
) {
    out.push(Action::Log(LogEvent::ConnectionRefused { detail }));
    out.push(Action::Close { connection });
}
