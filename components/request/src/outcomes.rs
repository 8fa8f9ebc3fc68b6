//! Outcomes of claimed runs: written in the background, and given to resends.

use std::time::Duration;
use std::time::Instant;

use platform::RowVersion;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Submission;
use types::Usage;

use crate::action::Action;
use crate::batch::Purpose;
use crate::batch::Write;
use crate::batch::WriteEnd;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::StoredAnswer;
use crate::claims::outcome_unknown;
use crate::refusal::Ending;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Run;

/// Time after which an outcome that could not be written is written again.
const OUTCOME_RETRY_MS: Duration = Duration::from_secs(1);

impl Requests {
    /// Notes how a claimed run ended, and writes it in the background.
    pub(crate) fn close_claim(&mut self, now: Instant, run: &Run, state: ClaimState) {
        let Some(claim) = &run.claim else {
            return;
        };
        // Nobody can ask for the outcome of a run under a random key.
        let Some(held) = claim.held.as_ref().filter(|_| claim.keyed) else {
            return;
        };
        let mut row = held.as_ref().clone();
        row.state = state;
        row.answer = (state == ClaimState::Done).then(|| stored(run)).flatten();
        let key = claim.key.clone();
        self.push_outcome(now, key, claim.version, row);
    }

    fn push_outcome(&mut self, now: Instant, key: String, version: RowVersion, mut row: ClaimRow) {
        row.token = self.tokens.next();
        self.outcomes.insert(key.clone(), row.clone());
        let write = Write {
            key,
            version,
            row,
            epochs_kept: 0,
            purpose: Purpose::Outcome,
        };
        self.push_write(now, write);
    }

    /// A claim was committed after its run had ended: it was not dispatched.
    pub(crate) fn release(&mut self, now: Instant, write: Write, version: RowVersion) {
        let mut row = write.row;
        row.state = ClaimState::Released;
        self.push_outcome(now, write.key, version, row);
    }

    pub(crate) fn outcome_ended(&mut self, cx: &mut Context, write: Write, end: WriteEnd) {
        match end {
            WriteEnd::Committed(_) | WriteEnd::Overwritten => self.outcome_written(&write),
            WriteEnd::Unavailable | WriteEnd::Unanswered => {
                self.outcomes_delayed.push(write);
                self.set_timer(cx.now + OUTCOME_RETRY_MS, Timer::Outcomes);
            }
            WriteEnd::Changed(row) => {
                let found = row.and_then(|row| {
                    let value = serde_json::from_str::<ClaimRow>(&row.value).ok()?;
                    Some((row.version, value))
                });
                match found {
                    // Another entry gave the outcome up as lost, or is still asking for it.
                    Some((version, value))
                        if write.row.state == ClaimState::Done
                            && value.state != ClaimState::Done
                            && value.attempt_id() == write.row.attempt_id() =>
                    {
                        self.push_write(cx.now, Write { version, ..write });
                    }
                    _ => self.outcome_written(&write),
                }
            }
        }
    }

    /// Writes again what could not be written.
    pub(crate) fn retry_outcomes(&mut self, now: Instant) {
        for write in std::mem::take(&mut self.outcomes_delayed) {
            self.push_write(now, write);
        }
    }

    fn outcome_written(&mut self, write: &Write) {
        let same = |row: &ClaimRow| row.token == write.row.token;
        if self.outcomes.get(&write.key).is_some_and(same) {
            self.outcomes.remove(&write.key);
        }
    }

    /// Answers a resend from an outcome that is not written yet. Returns whether it did.
    pub(crate) fn answer_from_memory(
        &mut self,
        cx: &mut Context,
        request: RequestId,
        submission: &Submission,
        key: &str,
        digest: &str,
    ) -> bool {
        let Some(row) = self.outcomes.get(key) else {
            return false;
        };
        if row.digest != digest {
            let refusal = crate::claims::key_reused().refusal(RunState::NotRun);
            crate::submit::refuse_at_once(cx, request, submission, refusal);
            return true;
        }
        match row.state {
            ClaimState::Done | ClaimState::Unknown => {
                let replies = replies_from(row);
                crate::submit::reply_at_once(cx, request, submission, replies);
                true
            }
            ClaimState::Taken | ClaimState::Released => false,
        }
    }

    /// Answers all callers of a run from a claim that is done.
    pub(crate) fn answer_from_store(&mut self, cx: &mut Context, id: RequestId, row: &ClaimRow) {
        let Some(stored) = &row.answer else {
            self.lose_outcome(cx, id, &too_large());
            return;
        };
        let requests: Vec<RequestId> = self.runs.get(&id).map_or_else(Vec::new, |run| {
            run.waiters.iter().map(|w| w.request).collect()
        });
        for request in requests {
            for reply in stored_replies(stored) {
                cx.actions.push(Action::Reply { request, reply });
            }
        }
        self.settle_answered(cx, id, Usage::default());
        self.forget(cx.now, id, ClaimState::Taken);
    }

    /// Ends a run whose request may have run, as far as its claim tells.
    pub(crate) fn lose_outcome(&mut self, cx: &mut Context, id: RequestId, ending: &Ending) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.touched = true;
        }
        self.refuse(cx, id, ending);
    }
}

fn stored(run: &Run) -> Option<StoredAnswer> {
    let head = run.answer.head()?;
    Some(StoredAnswer {
        status: head.status,
        content_type: head.content_type.clone(),
        headers: head.headers.clone(),
        served_by: run.tried.last().cloned().unwrap_or_default(),
        body: run.answer.kept()?.to_vec(),
    })
}

fn stored_replies(stored: &StoredAnswer) -> Vec<Reply> {
    let mut replies = vec![Reply::Head {
        status: stored.status,
        content_type: stored.content_type.clone(),
        headers: stored.headers.clone(),
        served_by: stored.served_by.clone(),
    }];
    if !stored.body.is_empty() {
        replies.push(Reply::Body(stored.body.clone()));
    }
    replies
}

fn replies_from(row: &ClaimRow) -> Vec<Reply> {
    if row.state == ClaimState::Unknown {
        return vec![Reply::Refused(outcome_unknown().refusal(RunState::Unknown))];
    }
    match &row.answer {
        Some(stored) => {
            let mut replies = stored_replies(stored);
            replies.push(Reply::End);
            replies
        }
        None => vec![Reply::Refused(too_large().refusal(RunState::Unknown))],
    }
}

pub(crate) fn too_large() -> Ending<'static> {
    Ending::new(
        RefusalReason::OutcomeUnknown,
        None,
        "the request ran and its answer is longer than what is kept for resends; it will not \
         be run again",
    )
}

/// Outcome of replies that were given at once.
pub(crate) fn refusal_in(replies: &[Reply]) -> Option<&Refusal> {
    replies.iter().find_map(|reply| match reply {
        Reply::Refused(refusal) => Some(refusal),
        _ => None,
    })
}
