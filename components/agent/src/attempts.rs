//! The queue of attempts, their runs, and the finished answers kept for resumption.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use wire::Rejection;
use wire::ToEntry;

use crate::attempt::Attempt;
use crate::attempt::Phase;
use crate::attempt::ReadState;
use crate::attempt::Reader;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::RunId;
use crate::history::AttemptHistory;
use crate::history::Record;
use crate::limits::Limits;
use crate::load::LoadReporter;
use crate::log_event::LogEvent;
use crate::rate_limit::RateLimit;
use crate::usage::AnswerTail;

/// Maximum number of idempotent attempts in the history. At 2,000 requests per second this covers
/// the seconds in which an entry replaces a silent connection and resumes.
const IDEMPOTENT_HISTORY_LIMIT: usize = 16_384;
/// Queue delay per priority level. It is finite, so that waiting attempts of the lowest priority
/// are not starved.
const PRIORITY_STEP_MS: Duration = Duration::from_secs(2);

/// All attempts of the agent, and the history of past ones.
pub struct Attempts {
    pub(crate) limits: Rc<Limits>,
    /// Load reporter; the agent sets the target's fields.
    pub load: LoadReporter,
    pub(crate) by_id: BTreeMap<AttemptId, Attempt>,
    pub(crate) runs: BTreeMap<RunId, AttemptId>,
    queue: BTreeSet<(Instant, AttemptId)>,
    pub(crate) rate_limit: RateLimit,
    pub(crate) receiving: usize,
    pub(crate) waiting_bytes: u64,
    pub(crate) history: AttemptHistory,
    pub(crate) idempotent_history: AttemptHistory,
    pub(crate) next_run_id: RunId,
    /// Resume requests to send, by time, with the cause of each.
    pub(crate) pending_resumes: BTreeMap<(Instant, RunId), String>,
    /// Finished attempts from oldest to newest; the index is 1 for idempotent ones.
    pub(crate) finished: [VecDeque<(Instant, AttemptId)>; 2],
    pub(crate) kept_bytes: usize,
}

impl Attempts {
    /// Starts without attempts.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            load: LoadReporter::new(limits.incarnation),
            rate_limit: RateLimit::new(limits.incarnation),
            history: AttemptHistory::new(limits.history_limit),
            idempotent_history: AttemptHistory::new(IDEMPOTENT_HISTORY_LIMIT),
            limits,
            by_id: BTreeMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeSet::new(),
            receiving: 0,
            waiting_bytes: 0,
            next_run_id: 1,
            pending_resumes: BTreeMap::new(),
            finished: [VecDeque::new(), VecDeque::new()],
            kept_bytes: 0,
        }
    }

    /// Accepted attempts whose run at the target has not finished.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.receiving + self.queue.len() + self.runs.len()
    }

    /// Whether an attached entry has not been sent the end of its answer.
    #[must_use]
    pub fn is_delivering(&self) -> bool {
        self.by_id.values().any(Attempt::is_undelivered)
    }

    /// Whether all attached entries have acknowledged their complete answers.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.by_id.values().all(|attempt| {
            let length = attempt.answer.length();
            attempt.readers.iter().all(|reader| reader.has_all(length))
        })
    }

    pub(crate) fn update_counts(&mut self) {
        self.load.running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        let waiting = self.receiving + self.queue.len();
        self.load.queued = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.load.limit = self.rate_limit.opens_at().zip(self.rate_limit.rate());
    }

    pub(crate) fn enqueue(&mut self, now: Instant, id: AttemptId) {
        if let Some(attempt) = self.by_id.get_mut(&id) {
            attempt.phase = Phase::Queued;
            attempt.rank = now + PRIORITY_STEP_MS * u32::from(attempt.priority);
            self.queue.insert((attempt.rank, id));
            self.receiving -= 1;
        }
    }

    /// Whether a connection has a reader that has not been sent the end of its answer.
    pub(crate) fn has_reader(&self, connection: ConnectionId) -> bool {
        let reads = |reader: &Reader| reader.connection == connection && !reader.is_end_sent;
        self.by_id
            .values()
            .any(|attempt| attempt.readers.iter().any(reads))
    }

    /// Attempt that a dispatch of higher priority would replace.
    pub(crate) fn last_queued(&self) -> Option<(Instant, AttemptId)> {
        self.queue.last().copied()
    }

    /// Whether the waiting attempts fill the queue and the free slots at the target.
    pub(crate) fn is_full(&self) -> bool {
        let free = self.limits.concurrency.saturating_sub(self.runs.len());
        self.receiving + self.queue.len() >= self.limits.queue + free
    }

    /// Changes the limits for concurrent runs and queued attempts. Attempts that run or wait
    /// already are not affected.
    pub(crate) fn set_concurrency(
        &mut self,
        now: Instant,
        concurrency: usize,
        out: &mut Vec<Action>,
    ) {
        let limits = Rc::make_mut(&mut self.limits);
        limits.concurrency = concurrency;
        limits.queue = concurrency;
        self.start_next(now, out);
    }

    /// Starts queued attempts while the target has free slots and its limit has room.
    pub(crate) fn start_next(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.runs.len() < self.limits.concurrency {
            let Some((_, id)) = self.queue.first().copied() else {
                break;
            };
            let Some(attempt) = self.by_id.get(&id) else {
                self.queue.pop_first();
                continue;
            };
            if now >= attempt.deadline {
                self.reject_waiting(now, id, Rejection::DeadlineExceeded, out);
            } else if !self.load.has_loaded(&attempt.needs) {
                self.reject_waiting(now, id, Rejection::WrongModel, out);
            } else if !self.rate_limit.has_room(now) {
                break;
            } else {
                self.start(now, id, out);
            }
        }
        self.update_counts();
    }

    fn start(&mut self, now: Instant, id: AttemptId, out: &mut Vec<Action>) {
        let run = self.next_run_id;
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        let Some(work) = attempt.work.take() else {
            return;
        };
        self.next_run_id += 1;
        self.queue.remove(&(attempt.rank, id));
        self.waiting_bytes -= attempt.body_bytes;
        self.load.queued_tokens -= u64::from(attempt.prompt_tokens);
        attempt.phase = Phase::Running;
        attempt.run = run;
        attempt.called_at = now;
        self.rate_limit.record_call(now);
        self.runs.insert(run, id);
        let priority = attempt.priority;
        let idempotent = attempt.idempotent;
        self.update_history(id, idempotent, Record::Started);
        out.push(Action::Start {
            run,
            attempt: id,
            priority,
            work,
        });
    }

    pub(crate) fn update_history(&mut self, id: AttemptId, idempotent: bool, record: Record) {
        if idempotent {
            self.idempotent_history.record(id, record);
        } else {
            self.history.record(id, record);
        }
    }

    /// Removes a waiting attempt and records that it must never start.
    pub(crate) fn remove_waiting(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.by_id.get(&id)?;
        match attempt.phase {
            Phase::Receiving => self.receiving -= 1,
            Phase::Queued => {
                self.queue.remove(&(attempt.rank, id));
            }
            _ => return None,
        }
        let attempt = self.by_id.remove(&id)?;
        self.waiting_bytes -= attempt.body_bytes;
        self.load.queued_tokens -= u64::from(attempt.prompt_tokens);
        self.update_history(id, attempt.idempotent, Record::Forbidden);
        self.update_counts();
        Some(attempt)
    }

    /// Removes a waiting attempt and sends the rejection to its entries.
    pub(crate) fn reject_waiting(
        &mut self,
        now: Instant,
        id: AttemptId,
        reason: Rejection,
        out: &mut Vec<Action>,
    ) {
        if let Some(attempt) = self.remove_waiting(id) {
            self.reject_readers(now, &attempt, reason, out);
        }
    }

    pub(crate) fn reject_readers(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        reason: Rejection,
        out: &mut Vec<Action>,
    ) {
        for reader in &attempt.readers {
            self.reject(now, reader.connection, attempt.id, reason, out);
        }
    }

    pub(crate) fn reject(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        attempt: AttemptId,
        reason: Rejection,
        out: &mut Vec<Action>,
    ) {
        let load = self.load.report(now);
        out.push(Action::Send {
            connection,
            message: ToEntry::Rejected {
                attempt,
                reason,
                load,
            },
        });
    }

    /// Sends readers the bytes that their credit allows, and reads more from the target.
    pub(crate) fn relay(&mut self, now: Instant, id: AttemptId, out: &mut Vec<Action>) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        attempt.relay(now, &mut self.load, out);
        if attempt.is_kept_whole
            && attempt.answer.kept_bytes() > self.limits.kept_answer_limit_bytes
        {
            attempt.is_kept_whole = false;
            out.push(Action::Log(LogEvent::AnswerDropped { attempt: id }));
        }
        attempt.discard_unneeded();
        if attempt.phase == Phase::Running
            && attempt.read_state == ReadState::Idle
            && attempt.has_buffer_space(self.limits.buffer_limit_bytes)
        {
            attempt.read_state = ReadState::Outstanding;
            out.push(Action::Read { run: attempt.run });
        }
    }

    /// Ends the run of an attempt; its answer is kept until evicted.
    pub(crate) fn finish(&mut self, now: Instant, id: AttemptId, phase: Phase) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        self.runs.remove(&attempt.run);
        attempt.phase = phase;
        attempt.answer.seal();
        attempt.tail = AnswerTail::default();
        attempt.kept_bytes = attempt.answer.kept_bytes();
        self.kept_bytes += attempt.kept_bytes;
        self.finished[usize::from(attempt.idempotent)].push_back((now, id));
        self.update_counts();
    }

    /// Removes a finished attempt with its answer.
    pub(crate) fn evict_finished(&mut self, id: AttemptId) {
        // An attempt that was cancelled and dispatched again may be running.
        if !self.by_id.get(&id).is_some_and(Attempt::is_finished) {
            return;
        }
        if let Some(attempt) = self.by_id.remove(&id) {
            self.kept_bytes -= attempt.kept_bytes;
        }
    }

    /// Aborts an idempotent run and removes its attempt.
    pub(crate) fn abort(&mut self, id: AttemptId, out: &mut Vec<Action>) -> Option<Attempt> {
        let attempt = self.by_id.remove(&id)?;
        self.runs.remove(&attempt.run);
        self.update_counts();
        out.push(Action::Abort {
            run: attempt.run,
            attempt: id,
        });
        Some(attempt)
    }
}
