//! Events of runs at the target, closed connections, and time limits.

use std::time::Duration;
use std::time::Instant;

use limits::NamedRate;
use types::AttemptId;
use types::RunState;
use types::ServiceKind;
use wire::Rejection;
use wire::ToEntry;

use crate::attempt::Head;
use crate::attempt::Phase;
use crate::attempt::ReadState;
use crate::attempts::Attempts;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::EngineLoad;
use crate::event::RunId;
use crate::event::TargetEvent;
use crate::history::Record;
use crate::limits::ORPHAN_LIMIT_MS;
use crate::limits::OVERRUN_LIMIT_MS;
use crate::log_event::LogEvent;

/// Maximum number of kept answers of idempotent attempts.
const KEPT_IDEMPOTENT_LIMIT: usize = 4096;
const DETAIL_ORPHANED: &str = "no entry resumed the attempt in time";
const DETAIL_OVERRUN: &str = "the target did not finish its answer in time";

impl Attempts {
    /// Handles an event of a run. Late events of a run that has ended are ignored.
    pub fn target_event(
        &mut self,
        now: Instant,
        run: RunId,
        event: TargetEvent,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.runs.get(&run).copied() else {
            return;
        };
        match event {
            TargetEvent::Head {
                status,
                content_type,
                headers,
            } => {
                let head = Head {
                    status,
                    content_type,
                    headers,
                };
                self.head_received(now, id, head, out);
            }
            TargetEvent::PauseAsked(pause) => self.rate_limit.record_pause(now, pause),
            TargetEvent::RateNamed(named) => self.record_named_rate(now, id, named, out),
            TargetEvent::Bytes(bytes) => {
                if let Some(attempt) = self.by_id.get_mut(&id) {
                    attempt.read_state = ReadState::Idle;
                    attempt.resume_count = 0;
                    attempt.answer.push(&bytes);
                    attempt.tail.push(&bytes);
                }
                self.relay(now, id, out);
            }
            TargetEvent::Resumed {
                status,
                content_type,
                headers,
                prefix,
            } => {
                let head = Head {
                    status,
                    content_type,
                    headers,
                };
                self.resumed(now, id, head, prefix, out);
            }
            TargetEvent::RunUnknown { detail } => self.fail(now, id, true, detail, out),
            TargetEvent::End => {
                let usage = self.by_id.get(&id).map(|attempt| attempt.tail.usage());
                self.finish(now, id, Phase::Done(usage.unwrap_or_default()));
                self.relay(now, id, out);
                self.start_next(now, out);
                self.evict_kept(now);
            }
            TargetEvent::Failed { sent, detail } => self.run_failed(now, id, sent, detail, out),
        }
    }

    fn head_received(&mut self, now: Instant, id: AttemptId, head: Head, out: &mut Vec<Action>) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        // An engine returns these statuses before it runs anything, so the attempt can be retried
        // elsewhere. From a plain service they prove nothing, and a non-idempotent attempt must not
        // be retried, so those answers are relayed.
        let rejection_reason = match head.status {
            429 => Some(Rejection::Overloaded),
            503 => Some(Rejection::Away),
            _ => None,
        };
        if let Some(reason) = rejection_reason
            && attempt.idempotent
            && self.limits.kind == ServiceKind::Model
        {
            if let Some(attempt) = self.abort(id, out) {
                self.idempotent_history.record(id, Record::Forbidden);
                self.reject_readers(now, &attempt, reason, out);
            }
            self.start_next(now, out);
            return;
        }
        attempt.read_state = ReadState::Idle;
        attempt.head = Some(head);
        self.relay(now, id, out);
    }

    /// Applies the limit that the target names, or does not name any more.
    fn record_named_rate(
        &mut self,
        now: Instant,
        id: AttemptId,
        named: NamedRate,
        out: &mut Vec<Action>,
    ) {
        if let Some(called_at) = self.by_id.get(&id).map(|attempt| attempt.called_at) {
            self.apply_named_rate(now, called_at, named, out);
        }
    }

    /// Applies what the engine reports of its load. A limit in it is known before the first answer
    /// of an agent that has just started; only answers end one.
    pub fn engine_load(&mut self, now: Instant, load: EngineLoad, out: &mut Vec<Action>) {
        if let Some(rate) = load.requests_per_s {
            self.apply_named_rate(now, now, NamedRate::Limit(rate), out);
        }
        self.load.set_engine_load(now, load);
    }

    fn apply_named_rate(
        &mut self,
        now: Instant,
        called_at: Instant,
        named: NamedRate,
        out: &mut Vec<Action>,
    ) {
        if self.rate_limit.record_answer(now, called_at, named) {
            let requests_per_s = self.rate_limit.rate().map(|rate| rate.to_string());
            out.push(Action::Log(LogEvent::LimitChanged { requests_per_s }));
            self.start_next(now, out);
        }
    }

    fn run_failed(
        &mut self,
        now: Instant,
        id: AttemptId,
        sent: bool,
        detail: String,
        out: &mut Vec<Action>,
    ) {
        // After a resume request the engine may have begun the run, whatever became of the request.
        let sent = sent
            || self
                .by_id
                .get(&id)
                .is_some_and(|attempt| attempt.is_resumed);
        if sent && self.schedule_resume(now, id, &detail) {
            self.start_resumes(now, out);
        } else {
            self.fail(now, id, sent, detail, out);
        }
    }

    /// Ends a run without a complete answer.
    pub(crate) fn fail(
        &mut self,
        now: Instant,
        id: AttemptId,
        sent: bool,
        detail: String,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Log(LogEvent::RunFailed {
            attempt: id,
            sent,
            detail: detail.clone(),
        }));
        if sent {
            self.finish(now, id, Phase::Failed(detail));
            self.relay(now, id, out);
        } else if let Some(attempt) = self.by_id.remove(&id) {
            self.runs.remove(&attempt.run);
            self.update_history(id, attempt.idempotent, Record::Forbidden);
            self.update_counts();
            self.reject_readers(now, &attempt, Rejection::Unreachable, out);
        }
        self.start_next(now, out);
    }

    /// Detaches the readers of a closed connection; its entry may resume on another one.
    pub fn disconnected(&mut self, now: Instant, connection: ConnectionId, out: &mut Vec<Action>) {
        let mut affected: Vec<AttemptId> = Vec::new();
        for attempt in self.by_id.values_mut() {
            if attempt.detach(connection) {
                if attempt.readers.is_empty() {
                    attempt.orphaned_since = Some(now);
                }
                affected.push(attempt.id);
            }
        }
        affected.sort_unstable();
        for id in affected {
            let is_receiving = self
                .by_id
                .get(&id)
                .is_some_and(|attempt| attempt.phase == Phase::Receiving);
            if is_receiving {
                self.remove_waiting(id);
            } else {
                self.relay(now, id, out);
            }
        }
    }

    /// Applies time limits and starts waiting attempts.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.expire_waiting(now, out);
        self.expire_running(now, out);
        self.start_resumes(now, out);
        self.evict_kept(now);
        self.start_next(now, out);
    }

    fn expire_waiting(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.load.queued == 0 {
            return;
        }
        let mut expired: Vec<AttemptId> = self
            .by_id
            .values()
            .filter(|attempt| attempt.is_waiting() && now >= attempt.deadline)
            .map(|attempt| attempt.id)
            .collect();
        expired.sort_unstable();
        for id in expired {
            self.reject_waiting(now, id, Rejection::DeadlineExceeded, out);
        }
    }

    fn expire_running(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut expired: Vec<(AttemptId, &'static str)> = Vec::new();
        for id in self.runs.values() {
            let Some(attempt) = self.by_id.get(id) else {
                continue;
            };
            let is_orphan = attempt.idempotent
                && attempt
                    .orphaned_since
                    .is_some_and(|since| now >= since + ORPHAN_LIMIT_MS);
            if is_orphan {
                expired.push((*id, DETAIL_ORPHANED));
            } else if now >= attempt.deadline + OVERRUN_LIMIT_MS {
                expired.push((*id, DETAIL_OVERRUN));
            }
        }
        expired.sort_unstable();
        for (id, detail) in expired {
            out.push(Action::Log(LogEvent::RunFailed {
                attempt: id,
                sent: true,
                detail: detail.to_owned(),
            }));
            let Some(attempt) = self.abort(id, out) else {
                continue;
            };
            for reader in &attempt.readers {
                out.push(Action::Send {
                    connection: reader.connection,
                    message: ToEntry::Failed {
                        attempt: id,
                        run: RunState::Unknown,
                        detail: detail.to_owned(),
                    },
                });
            }
        }
    }

    /// Evicts finished answers that exceed the age, count or size limits, oldest first. Answers
    /// that an attached entry is still reading are kept.
    fn evict_kept(&mut self, now: Instant) {
        // Idempotent attempts are evicted first, because they can run again.
        let idempotent_ms = self.limits.kept_idempotent_ms;
        self.evict_queue(now, 1, idempotent_ms, KEPT_IDEMPOTENT_LIMIT);
        self.evict_queue(now, 0, self.limits.kept_ms, self.limits.kept_count_limit);
    }

    fn evict_queue(&mut self, now: Instant, index: usize, kept_ms: Duration, count_limit: usize) {
        let mut still_read = Vec::new();
        while let Some((since, id)) = self.finished[index].front().copied() {
            let is_due = now >= since + kept_ms
                || self.finished[index].len() > count_limit
                || self.kept_bytes > self.limits.kept_total_limit_bytes;
            if !is_due {
                break;
            }
            self.finished[index].pop_front();
            match self.by_id.get(&id) {
                Some(attempt) if attempt.is_undelivered() => still_read.push((since, id)),
                _ => self.evict_finished(id),
            }
        }
        for entry in still_read.into_iter().rev() {
            self.finished[index].push_front(entry);
        }
    }
}
