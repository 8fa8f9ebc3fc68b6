//! All attempts in the agent's hands: their queue, their runs, and the answers kept for
//! resumption.

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
use crate::attempt::Reader;
use crate::attempt::Reading;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::RunId;
use crate::limits::Limits;
use crate::load::LoadBook;
use crate::memory::Fate;
use crate::memory::Memory;
use crate::report::Note;
use crate::usage::Tail;

/// Idempotent attempts remembered after their start; at 2,000 requests a second this covers the
/// seconds in which an entry replaces a silent connection and resumes.
const RECENT_LIMIT: usize = 16_384;
/// Head start of one step of priority over the next. Waiting makes up for it, so that the lowest
/// priority is not starved.
const PRIORITY_STEP_MS: Duration = Duration::from_secs(2);

/// Attempts, and what is remembered of them.
pub struct Attempts {
    pub(crate) limits: Rc<Limits>,
    /// Load report under construction; the agent sets the target's part of it.
    pub load: LoadBook,
    pub(crate) live: BTreeMap<AttemptId, Attempt>,
    pub(crate) runs: BTreeMap<RunId, AttemptId>,
    queue: BTreeSet<(Instant, AttemptId)>,
    pub(crate) receiving: usize,
    pub(crate) waiting_bytes: u64,
    pub(crate) memory: Memory,
    pub(crate) recent: Memory,
    pub(crate) next_run: RunId,
    /// Runs whose answer is to be asked for again, and why, in order of time.
    pub(crate) resumes: BTreeMap<(Instant, RunId), String>,
    pub(crate) finished: [VecDeque<(Instant, AttemptId)>; 2],
    pub(crate) kept_bytes: usize,
}

impl Attempts {
    /// Starts without any.
    #[must_use]
    pub fn new(limits: Rc<Limits>) -> Self {
        Self {
            load: LoadBook::new(limits.incarnation),
            memory: Memory::new(limits.memory_limit),
            recent: Memory::new(RECENT_LIMIT),
            limits,
            live: BTreeMap::new(),
            runs: BTreeMap::new(),
            queue: BTreeSet::new(),
            receiving: 0,
            waiting_bytes: 0,
            next_run: 1,
            resumes: BTreeMap::new(),
            finished: [VecDeque::new(), VecDeque::new()],
            kept_bytes: 0,
        }
    }

    /// Attempts accepted and not yet through at the target.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.receiving + self.queue.len() + self.runs.len()
    }

    /// Whether an attached entry still waits for the end of an answer.
    #[must_use]
    pub fn is_delivering(&self) -> bool {
        self.live.values().any(Attempt::is_undelivered)
    }

    /// Whether every attached entry has acknowledged its whole answer.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.live.values().all(|attempt| {
            let length = attempt.answer.length();
            attempt.readers.iter().all(|reader| reader.has_all(length))
        })
    }

    pub(crate) fn update_counts(&mut self) {
        self.load.running = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        self.load.queued = u32::try_from(self.receiving + self.queue.len()).unwrap_or(u32::MAX);
    }

    pub(crate) fn enqueue(&mut self, now: Instant, id: AttemptId) {
        if let Some(attempt) = self.live.get_mut(&id) {
            attempt.phase = Phase::Queued;
            attempt.rank = now + PRIORITY_STEP_MS * u32::from(attempt.priority);
            self.queue.insert((attempt.rank, id));
            self.receiving -= 1;
        }
    }

    /// Whether an answer is still to be sent on a connection.
    pub(crate) fn has_reader(&self, connection: ConnectionId) -> bool {
        let reads = |reader: &Reader| reader.connection == connection && !reader.end_sent;
        self.live
            .values()
            .any(|attempt| attempt.readers.iter().any(reads))
    }

    /// Waiting attempt that would be started last.
    pub(crate) fn last_queued(&self) -> Option<(Instant, AttemptId)> {
        self.queue.last().copied()
    }

    /// Whether as many attempts wait as the queue and the free places at the target can hold.
    pub(crate) fn is_full(&self) -> bool {
        let free = self.limits.concurrency.saturating_sub(self.runs.len());
        self.receiving + self.queue.len() >= self.limits.queue + free
    }

    /// Changes how many runs are at the target at once. What runs or waits already is kept.
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

    /// Hands queued attempts to the target while it has places.
    pub(crate) fn start_next(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.runs.len() < self.limits.concurrency {
            let Some((_, id)) = self.queue.first().copied() else {
                break;
            };
            let Some(attempt) = self.live.get(&id) else {
                self.queue.pop_first();
                continue;
            };
            if now >= attempt.deadline {
                self.reject_waiting(now, id, Rejection::DeadlineExceeded, out);
            } else if !self.load.has(&attempt.needs) {
                self.reject_waiting(now, id, Rejection::WrongModel, out);
            } else {
                self.start(id, out);
            }
        }
        self.update_counts();
    }

    fn start(&mut self, id: AttemptId, out: &mut Vec<Action>) {
        let run = self.next_run;
        let Some(attempt) = self.live.get_mut(&id) else {
            return;
        };
        let Some(work) = attempt.work.take() else {
            return;
        };
        self.next_run += 1;
        self.queue.remove(&(attempt.rank, id));
        self.waiting_bytes -= attempt.body_bytes;
        self.load.queued_tokens -= u64::from(attempt.prompt_tokens);
        attempt.phase = Phase::Running;
        attempt.run = run;
        self.runs.insert(run, id);
        let priority = attempt.priority;
        let idempotent = attempt.idempotent;
        self.remember(id, idempotent, Fate::Started);
        out.push(Action::Start {
            run,
            attempt: id,
            priority,
            work,
        });
    }

    pub(crate) fn remember(&mut self, id: AttemptId, idempotent: bool, fate: Fate) {
        if idempotent {
            self.recent.set(id, fate);
        } else {
            self.memory.set(id, fate);
        }
    }

    /// Takes a waiting attempt out; it was not run and never will be.
    pub(crate) fn remove_waiting(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.live.get(&id)?;
        match attempt.phase {
            Phase::Receiving => self.receiving -= 1,
            Phase::Queued => {
                self.queue.remove(&(attempt.rank, id));
            }
            _ => return None,
        }
        let attempt = self.live.remove(&id)?;
        self.waiting_bytes -= attempt.body_bytes;
        self.load.queued_tokens -= u64::from(attempt.prompt_tokens);
        self.remember(id, attempt.idempotent, Fate::Forbidden);
        self.update_counts();
        Some(attempt)
    }

    /// Takes a waiting attempt out and tells its entries why.
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

    /// Sends what may be sent of an answer and asks the target for more.
    pub(crate) fn relay(&mut self, now: Instant, id: AttemptId, out: &mut Vec<Action>) {
        let Some(attempt) = self.live.get_mut(&id) else {
            return;
        };
        attempt.relay(now, &mut self.load, out);
        if attempt.keeps_all && attempt.answer.held_bytes() > self.limits.kept_answer_limit_bytes {
            attempt.keeps_all = false;
            out.push(Action::Log(Note::AnswerDropped { attempt: id }));
        }
        attempt.release();
        if attempt.phase == Phase::Running
            && attempt.reading == Reading::Idle
            && attempt.has_room(self.limits.buffer_limit_bytes)
        {
            attempt.reading = Reading::Outstanding;
            out.push(Action::Read { run: attempt.run });
        }
    }

    /// Ends the run of an attempt, whose answer is kept from now on.
    pub(crate) fn finish(&mut self, now: Instant, id: AttemptId, phase: Phase) {
        let Some(attempt) = self.live.get_mut(&id) else {
            return;
        };
        self.runs.remove(&attempt.run);
        attempt.phase = phase;
        attempt.answer.seal();
        attempt.tail = Tail::default();
        attempt.counted_bytes = attempt.answer.held_bytes();
        self.kept_bytes += attempt.counted_bytes;
        self.finished[usize::from(attempt.idempotent)].push_back((now, id));
        self.update_counts();
    }

    /// Forgets the answer of an attempt that is over.
    pub(crate) fn drop_finished(&mut self, id: AttemptId) {
        // An id that was cancelled and sent again may be running.
        if !self.live.get(&id).is_some_and(Attempt::is_over) {
            return;
        }
        if let Some(attempt) = self.live.remove(&id) {
            self.kept_bytes -= attempt.counted_bytes;
        }
    }

    /// Gives up an idempotent run.
    pub(crate) fn abort(&mut self, id: AttemptId, out: &mut Vec<Action>) -> Option<Attempt> {
        let attempt = self.live.remove(&id)?;
        self.runs.remove(&attempt.run);
        self.update_counts();
        out.push(Action::Abort {
            run: attempt.run,
            attempt: id,
        });
        Some(attempt)
    }
}
