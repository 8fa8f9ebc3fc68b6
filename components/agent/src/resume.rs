//! Resumption of runs whose connection to the engine was lost or stalled.
//!
//! The engine continues such a run and returns the rest of its answer by request id. Requesting it
//! starts no run, so a run can be resumed whenever the engine may have begun it, even if the
//! attempt is not idempotent. The run fails as `unknown` if the engine does not know it, if the
//! resumed answer does not match the bytes received so far, or after `RESUME_LIMIT` requests
//! without a new byte.

use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::ServiceKind;
use wire::Digest;

use crate::attempt::Head;
use crate::attempt::ReadState;
use crate::attempts::Attempts;
use crate::event::Action;
use crate::log_event::LogEvent;

/// Resume requests without a new byte after which a run fails. Together with the client's timeouts,
/// the run fails about 12 s after the last byte if the engine does not answer, and after 20 s if it
/// answers without a new byte.
const RESUME_LIMIT: u32 = 3;
/// Pause before the second request, doubled for each further one. The first is sent at once.
const RESUME_PAUSE_MS: Duration = Duration::from_millis(100);
const DETAIL_DIFFERS: &str = "the resumed answer does not match the part received before";

impl Attempts {
    /// Schedules a resume request for a run; returns whether the limits allow one.
    pub(crate) fn schedule_resume(&mut self, now: Instant, id: AttemptId, detail: &str) -> bool {
        if self.limits.kind != ServiceKind::Model {
            return false;
        }
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return false;
        };
        if attempt.resume_count >= RESUME_LIMIT || now >= attempt.deadline {
            return false;
        }
        let pause = match attempt.resume_count {
            0 => Duration::ZERO,
            count => RESUME_PAUSE_MS * (1 << (count - 1)),
        };
        attempt.resume_count += 1;
        attempt.is_resumed = true;
        attempt.read_state = ReadState::AwaitingHead;
        // A new run id makes late events of the lost connection be ignored.
        self.runs.remove(&attempt.run);
        attempt.run = self.next_run_id;
        self.next_run_id += 1;
        self.runs.insert(attempt.run, id);
        self.pending_resumes
            .insert((now + pause, attempt.run), detail.to_owned());
        true
    }

    /// Sends the resume requests that are due.
    pub(crate) fn start_resumes(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(entry) = self.pending_resumes.first_entry()
            && entry.key().0 <= now
            && self.rate_limit.has_room(now)
        {
            let ((_, run), detail) = entry.remove_entry();
            // The run may have ended in the meantime.
            let Some(id) = self.runs.get(&run).copied() else {
                continue;
            };
            let Some(attempt) = self.by_id.get_mut(&id) else {
                continue;
            };
            attempt.called_at = now;
            self.rate_limit.record_call(now);
            let offset = attempt.answer.length();
            out.push(Action::Log(LogEvent::RunResumed {
                attempt: id,
                offset,
                detail,
            }));
            out.push(Action::Resume {
                run,
                attempt: id,
                offset,
            });
        }
    }

    /// Handles the head of a resumed answer; `prefix` is the engine's digest of the bytes before
    /// the requested offset.
    pub(crate) fn resumed(
        &mut self,
        now: Instant,
        id: AttemptId,
        head: Head,
        prefix: Option<Digest>,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        let is_same = attempt.head.as_ref().is_none_or(|known| {
            known.status == head.status && known.content_type == head.content_type
        });
        if !is_same || prefix != Some(attempt.answer.digest()) {
            out.push(Action::Release { run: attempt.run });
            self.fail(now, id, true, DETAIL_DIFFERS.to_owned(), out);
            return;
        }
        attempt.read_state = ReadState::Idle;
        attempt.head.get_or_insert(head);
        self.relay(now, id, out);
    }
}
