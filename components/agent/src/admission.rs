//! Messages about attempts: dispatch, body, resume, credit, cancel and forbid.

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
use crate::memory::Fate;
use crate::memory::Recall;
use crate::report::Note;

const DETAIL_LOST: &str = "the attempt was started here and its answer is no longer held";
const DETAIL_FORGOTTEN: &str = "the attempt is too old for this agent to know whether it ran";

impl Attempts {
    /// Takes or rejects an attempt.
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
            refuse_connection(connection, "body longer than announced", out);
            return;
        }
        if self
            .live
            .get(&id)
            .is_some_and(|at| at.phase == Phase::Receiving)
        {
            // The entry starts over on another connection; nothing was started here.
            self.remove_waiting(id);
            self.admit(now, connection, dispatch, out);
            return;
        }
        if self.live.contains_key(&id) {
            self.read_from(now, connection, id, 0, dispatch.credit_bytes, out);
            return;
        }
        match self.recall(id, dispatch.idempotent) {
            Recall::New => self.admit(now, connection, dispatch, out),
            Recall::Known(Fate::Forbidden) | Recall::Superseded => {
                self.reject(now, connection, id, Rejection::Forbidden, out);
            }
            Recall::Known(Fate::Started) => send_failed(connection, id, DETAIL_LOST, out),
            Recall::Forgotten => send_failed(connection, id, DETAIL_FORGOTTEN, out),
        }
    }

    fn recall(&self, id: AttemptId, idempotent: bool) -> Recall {
        match self.memory.recall(id) {
            Recall::New => {}
            Recall::Forgotten if idempotent => {}
            known => return known,
        }
        match self.recent.recall(id) {
            // Running an idempotent attempt again does no harm.
            Recall::Forgotten => Recall::New,
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
        if let Some(reason) = self.refusal(now, &dispatch, out) {
            // A copy of the dispatch on another connection must not run after this answer.
            if !dispatch.idempotent {
                self.memory.set(id, Fate::Forbidden);
            }
            self.reject(now, connection, id, reason, out);
            return;
        }
        let attempt = Attempt::new(now, connection, dispatch);
        let whole = attempt.body_bytes == body_length(&attempt);
        self.receiving += 1;
        self.waiting_bytes += attempt.body_bytes;
        self.load.queued_tokens += u64::from(attempt.prompt_tokens);
        self.live.insert(id, attempt);
        out.push(Action::Send {
            connection,
            message: ToEntry::Accepted { attempt: id },
        });
        if whole {
            self.enqueue(now, id);
            self.start_next(now, out);
        }
        self.update_counts();
    }

    fn refusal(
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
        if !self.load.has(&dispatch.needs) {
            return Some(Rejection::WrongModel);
        }
        let bodies_bytes = self.waiting_bytes.saturating_add(dispatch.body_bytes);
        if dispatch.body_bytes > self.limits.body_limit_bytes
            || bodies_bytes > self.limits.bodies_limit_bytes
        {
            return Some(Rejection::Overloaded);
        }
        if !self.is_full() {
            return None;
        }
        // A more urgent attempt takes the place of the last one in the queue.
        let (_, last) = self.last_queued()?;
        if self.live.get(&last)?.priority <= dispatch.priority {
            return Some(Rejection::Overloaded);
        }
        self.reject_waiting(now, last, Rejection::Overloaded, out);
        None
    }

    /// Takes the next bytes of a dispatch's body.
    pub fn body(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.live.get_mut(&id) else {
            return;
        };
        let is_sender = attempt.readers.iter().any(|at| at.connection == connection);
        if attempt.phase != Phase::Receiving || !is_sender {
            return;
        }
        let length = body_length(attempt) + bytes.len() as u64;
        if length > attempt.body_bytes {
            refuse_connection(connection, "body longer than announced", out);
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

    /// Sends an answer again from an offset.
    pub fn resume(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        offset: u64,
        credit_bytes: u32,
        out: &mut Vec<Action>,
    ) {
        match self.live.get(&id).map(|attempt| &attempt.phase) {
            // The rest of the body can no longer be told apart from that of another connection.
            Some(Phase::Receiving) => {
                self.remove_waiting(id);
                self.reject(now, connection, id, Rejection::Forbidden, out);
            }
            Some(_) => self.read_from(now, connection, id, offset, credit_bytes, out),
            None => match self.known_fate(id) {
                Recall::Known(Fate::Started) => send_failed(connection, id, DETAIL_LOST, out),
                Recall::Forgotten => send_failed(connection, id, DETAIL_FORGOTTEN, out),
                Recall::New | Recall::Superseded | Recall::Known(Fate::Forbidden) => {
                    // The dispatch may still arrive on the connection that this one replaced.
                    self.memory.set(id, Fate::Forbidden);
                    self.reject(now, connection, id, Rejection::Forbidden, out);
                }
            },
        }
    }

    fn read_from(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        offset: u64,
        credit_bytes: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.live.get_mut(&id) else {
            return;
        };
        if offset < attempt.answer.base() || offset > attempt.answer.length() {
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

    /// What is known of an attempt whose kind is not.
    fn known_fate(&self, id: AttemptId) -> Recall {
        match self.memory.recall(id) {
            Recall::New => self.recent.recall(id),
            known => known,
        }
    }

    /// Takes an acknowledgement and more credit.
    pub fn credit(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        received: u64,
        bytes: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.live.get_mut(&id) else {
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

    /// The entry no longer wants the answer. A non-idempotent run goes on.
    pub fn cancel(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.live.get_mut(&id) else {
            if self.known_fate(id) == Recall::New {
                self.memory.set(id, Fate::Forbidden);
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
                attempt.orphaned = Some(now);
                self.relay(now, id, out);
            }
            (Phase::Done(_) | Phase::Failed(_), true) => self.drop_finished(id),
            (Phase::Done(_) | Phase::Failed(_), false) => {}
        }
    }

    /// Makes sure that an attempt never starts, unless it has.
    pub fn forbid(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: AttemptId,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let outcome = if incarnation == self.limits.incarnation {
            self.forbid_here(now, id, out)
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

    fn forbid_here(&mut self, now: Instant, id: AttemptId, out: &mut Vec<Action>) -> ForbidOutcome {
        match self.live.get(&id) {
            Some(attempt) if attempt.is_waiting() => {
                self.reject_waiting(now, id, Rejection::Forbidden, out);
                return ForbidOutcome::NeverRun;
            }
            Some(attempt) => {
                let is_whole = attempt.answer.base() == 0;
                return match attempt.phase {
                    Phase::Failed(_) => ForbidOutcome::Lost,
                    _ if is_whole => ForbidOutcome::Started,
                    _ => ForbidOutcome::Lost,
                };
            }
            None => {}
        }
        // Only non-idempotent attempts are forbidden, so the floors of the others do not count.
        match self.recall(id, false) {
            Recall::Known(Fate::Started) | Recall::Forgotten => ForbidOutcome::Lost,
            Recall::Known(Fate::Forbidden) | Recall::New | Recall::Superseded => {
                self.memory.set(id, Fate::Forbidden);
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

/// Closes a connection whose entry broke the protocol.
pub(crate) fn refuse_connection(
    connection: ConnectionId,
    detail: &'static str,
    out: &mut Vec<Action>,
) {
    out.push(Action::Log(Note::ConnectionRefused { detail }));
    out.push(Action::Close { connection });
}
