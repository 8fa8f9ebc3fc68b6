//! Runs whose connection to the engine was lost or went silent.
//!
//! The engine goes on with a run and gives the rest of its answer again, by the id of the request.
//! Asking for it starts nothing, so this is open to every run that the engine may have begun, also
//! to one that must not run twice. The run fails as unknown when the engine does not know it any
//! more, when what it sends does not continue the bytes held here, or after `RESUME_LIMIT` tries
//! without a new byte.

use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::ServiceKind;
use wire::Digest;

use crate::attempt::Head;
use crate::attempt::Reading;
use crate::attempts::Attempts;
use crate::event::Action;
use crate::report::Note;

/// Tries without a new byte after which a run is given up. Together with the time limits of the
/// client, an engine that does not answer is given up about 12 s after its last byte, and one that
/// answers without a new byte after 20 s.
const RESUME_LIMIT: u32 = 3;
/// Pause before the second try, doubled for each further one. The first try follows at once.
const RESUME_PAUSE_MS: Duration = Duration::from_millis(100);
const DETAIL_DIFFERS: &str = "the engine resumed with another answer";

impl Attempts {
    /// Plans to ask the engine for the rest of a lost run; returns whether there is a try left.
    pub(crate) fn plan_resume(&mut self, now: Instant, id: AttemptId, detail: &str) -> bool {
        if self.limits.kind != ServiceKind::Model {
            return false;
        }
        let Some(attempt) = self.live.get_mut(&id) else {
            return false;
        };
        if attempt.resumes >= RESUME_LIMIT || now >= attempt.deadline {
            return false;
        }
        let pause = match attempt.resumes {
            0 => Duration::ZERO,
            tries => RESUME_PAUSE_MS * (1 << (tries - 1)),
        };
        attempt.resumes += 1;
        attempt.is_resumed = true;
        attempt.reading = Reading::Unopened;
        // Events of the lost connection may still be under way.
        self.runs.remove(&attempt.run);
        attempt.run = self.next_run;
        self.next_run += 1;
        self.runs.insert(attempt.run, id);
        self.resumes
            .insert((now + pause, attempt.run), detail.to_owned());
        true
    }

    /// Carries out what is due.
    pub(crate) fn start_resumes(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(entry) = self.resumes.first_entry()
            && entry.key().0 <= now
        {
            let ((_, run), detail) = entry.remove_entry();
            // The run may have been given up meanwhile.
            let Some(id) = self.runs.get(&run).copied() else {
                continue;
            };
            let Some(attempt) = self.live.get(&id) else {
                continue;
            };
            let offset = attempt.answer.length();
            out.push(Action::Log(Note::RunResumed {
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

    /// The engine sends the rest; `prefix` is its digest of the bytes before.
    pub(crate) fn resumed(
        &mut self,
        now: Instant,
        id: AttemptId,
        head: Head,
        prefix: Option<Digest>,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.live.get_mut(&id) else {
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
        attempt.reading = Reading::Idle;
        attempt.head.get_or_insert(head);
        self.relay(now, id, out);
    }
}
