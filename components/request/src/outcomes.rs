//! Outcomes of claimed runs: recording them in the background, and answering resends with them.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use store::Row;
use store::RowVersion;
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
use crate::claim::ROW_ANSWER_LIMIT_BYTES;
use crate::claim::StoredAnswer;
use crate::claim::StoredObject;
use crate::claim::body_digest;
use crate::claims::outcome_unknown;
use crate::objects::PendingPut;
use crate::refusal::RefusalCause;
use crate::replay::replay_limit_reached;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::retained::RetainedBody;
use crate::run::Run;

/// Delay before an outcome that could not be written is retried.
const OUTCOME_RETRY_MS: Duration = Duration::from_secs(1);

/// Outcome that may not be in the table yet.
pub(crate) struct UnwrittenOutcome {
    row: ClaimRow,
    /// Body of an answer that is stored in the object store.
    body: Option<Rc<RetainedBody>>,
}

impl Requests {
    /// Records how a claimed run ended; the write completes in the background.
    pub(crate) fn record_outcome(&mut self, now: Instant, run: &Run, state: ClaimState) {
        let Some(claim) = &run.claim else {
            return;
        };
        // No resend can find a run that has a generated key.
        let Some(current_row) = claim.current_row.as_ref().filter(|_| claim.has_key) else {
            return;
        };
        let mut row = current_row.as_ref().clone();
        row.state = state;
        let key = claim.key.clone();
        if state == ClaimState::Done {
            row.answer = row_answer(run);
            if let Some((object, body)) = object_answer(run, row.object_key(&key)) {
                row.object = Some(object);
                let retry_until = now + run.service_config.profile.retention_s;
                self.store_large_answer(key, claim.version, row, body, retry_until);
                return;
            }
        }
        self.queue_outcome_write(now, key, claim.version, row);
    }

    /// Queues an answer for the object store. Its row is written after the object.
    fn store_large_answer(
        &mut self,
        key: String,
        version: RowVersion,
        row: ClaimRow,
        body: Rc<RetainedBody>,
        retry_until: Instant,
    ) {
        let write = self.outcome_write(key, version, row, Some(body.clone()));
        self.objects.queue_put(PendingPut {
            write,
            body,
            retry_until,
        });
    }

    fn queue_outcome_write(
        &mut self,
        now: Instant,
        key: String,
        version: RowVersion,
        row: ClaimRow,
    ) {
        let write = self.outcome_write(key, version, row, None);
        self.push_write(now, write);
    }

    fn outcome_write(
        &mut self,
        key: String,
        version: RowVersion,
        mut row: ClaimRow,
        body: Option<Rc<RetainedBody>>,
    ) -> Write {
        row.token = self.tokens.next();
        let unwritten = UnwrittenOutcome {
            row: row.clone(),
            body,
        };
        self.unwritten_outcomes.insert(key.clone(), unwritten);
        Write {
            key,
            version,
            row,
            retention_epochs: 0,
            purpose: Purpose::RecordOutcome,
        }
    }

    /// Records an outcome without its answer, which could not be stored.
    pub(crate) fn drop_answer(&mut self, now: Instant, write: Write) {
        let mut row = write.row;
        row.object = None;
        self.queue_outcome_write(now, write.key, write.version, row);
    }

    /// Releases a claim that was committed after its run had ended without a dispatch.
    pub(crate) fn release_claim(&mut self, now: Instant, write: Write, version: RowVersion) {
        let mut row = write.row;
        row.state = ClaimState::Released;
        self.queue_outcome_write(now, write.key, version, row);
    }

    pub(crate) fn outcome_write_done(&mut self, cx: &mut Context, write: Write, end: WriteEnd) {
        match end {
            WriteEnd::Committed(_) | WriteEnd::Overwritten => self.outcome_written(&write),
            WriteEnd::Unavailable | WriteEnd::Unanswered => {
                self.outcomes_to_retry.push(write);
                self.set_timer(cx.now + OUTCOME_RETRY_MS, Timer::OutcomeRetry);
            }
            WriteEnd::Changed(None) => {
                // The claim has expired and was deleted, so the sweep will not find its object.
                self.delete_object_of(&write);
                self.outcome_written(&write);
            }
            WriteEnd::Changed(Some(row)) => self.resolve_outcome_conflict(cx, write, &row),
        }
    }

    fn resolve_outcome_conflict(&mut self, cx: &mut Context, write: Write, row: &Row) {
        if let Ok(found) = serde_json::from_str::<ClaimRow>(&row.value) {
            let is_same = found.attempt_id() == write.row.attempt_id();
            // Another entry recorded the outcome as unknown, is still querying the agent, or
            // could not retain the answer.
            let supersedes =
                found.state != ClaimState::Done || (write.row.has_answer() && !found.has_answer());
            if write.row.state == ClaimState::Done && is_same && supersedes {
                let version = row.version;
                self.push_write(cx.now, Write { version, ..write });
                return;
            }
            if !is_same {
                self.delete_object_of(&write);
            }
        }
        self.outcome_written(&write);
    }

    fn delete_object_of(&mut self, write: &Write) {
        if let Some(object) = &write.row.object {
            self.objects.queue_delete(object.key.clone());
        }
    }

    /// Retries the outcome writes that failed.
    pub(crate) fn retry_outcomes(&mut self, now: Instant) {
        for write in std::mem::take(&mut self.outcomes_to_retry) {
            self.push_write(now, write);
        }
    }

    fn outcome_written(&mut self, write: &Write) {
        let is_same = |unwritten: &UnwrittenOutcome| unwritten.row.token == write.row.token;
        if self.unwritten_outcomes.get(&write.key).is_some_and(is_same) {
            self.unwritten_outcomes.remove(&write.key);
        }
    }

    /// Answers a resend from an outcome that may not be in the table yet. Returns whether it did.
    pub(crate) fn answer_from_memory(
        &mut self,
        cx: &mut Context,
        request: RequestId,
        submission: &Submission,
        key: &str,
        digest: &str,
    ) -> bool {
        let Some(unwritten) = self.unwritten_outcomes.get(key) else {
            return false;
        };
        let row = &unwritten.row;
        if row.digest != digest {
            let refusal = crate::claims::key_reused().refusal(RunState::NotRun);
            crate::submit::refuse_unregistered(cx, request, submission, refusal);
            return true;
        }
        match row.state {
            ClaimState::Done | ClaimState::Unknown => {
                let length = unwritten.body.as_ref().map_or(0, |body| body.bytes().len());
                let replies = if self.replays.reserve(request, length) {
                    replies_from(unwritten)
                } else {
                    vec![Reply::Refused(
                        replay_limit_reached().refusal(RunState::Unknown),
                    )]
                };
                crate::submit::reply_unregistered(cx, request, submission, replies);
                true
            }
            ClaimState::Taken | ClaimState::Released => false,
        }
    }

    /// Answers all callers of a run from a claim row in state `Done`.
    pub(crate) fn answer_from_store(&mut self, cx: &mut Context, id: RequestId, row: &ClaimRow) {
        match (&row.answer, &row.object) {
            (Some(stored), _) => self.answer_as_stored(cx, id, stored),
            (None, Some(object)) => self.fetch_answer(cx, id, object),
            (None, None) => self.refuse_unknown(cx, id, &not_retained()),
        }
    }

    /// Sends a stored answer to all callers of a run.
    pub(crate) fn answer_as_stored(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        stored: &StoredAnswer,
    ) {
        let requests: Vec<RequestId> = self.runs.get(&id).map_or_else(Vec::new, |run| {
            run.waiters.iter().map(|w| w.request).collect()
        });
        let length = stored.body.len();
        if !requests.iter().all(|id| self.replays.reserve(*id, length)) {
            for request in requests {
                self.replays.release(request);
            }
            self.refuse(cx, id, &replay_limit_reached());
            return;
        }
        for request in requests {
            for reply in stored_replies(stored) {
                cx.actions.push(Action::Reply { request, reply });
            }
        }
        self.settle_answered(cx, id, Usage::default());
        self.remove_run(cx.now, id, ClaimState::Taken);
    }

    /// Refuses a run that, according to its claim, may have been executed.
    pub(crate) fn refuse_unknown(&mut self, cx: &mut Context, id: RequestId, cause: &RefusalCause) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.may_have_executed = true;
        }
        self.refuse(cx, id, cause);
    }
}

/// Answer to store in the row, if it is small enough.
fn row_answer(run: &Run) -> Option<StoredAnswer> {
    let head = run.answer.head()?;
    let body = run.answer.retained()?;
    (body.len() <= ROW_ANSWER_LIMIT_BYTES).then(|| StoredAnswer {
        status: head.status,
        content_type: head.content_type.clone(),
        headers: head.headers.clone(),
        served_by: run.tried_targets.last().cloned().unwrap_or_default(),
        body: body.to_vec(),
    })
}

/// Answer to store in the object store, if it is too large for the row.
fn object_answer(run: &Run, key: String) -> Option<(StoredObject, Rc<RetainedBody>)> {
    let head = run.answer.head()?;
    let retained = run.answer.share_retained()?;
    if retained.bytes().len() <= ROW_ANSWER_LIMIT_BYTES {
        return None;
    }
    let object = StoredObject {
        status: head.status,
        content_type: head.content_type.clone(),
        headers: head.headers.clone(),
        served_by: run.tried_targets.last().cloned().unwrap_or_default(),
        key,
        length_bytes: retained.bytes().len() as u64,
        digest: body_digest(retained.bytes()),
    };
    Some((object, retained))
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

fn replies_from(unwritten: &UnwrittenOutcome) -> Vec<Reply> {
    let row = &unwritten.row;
    if row.state == ClaimState::Unknown {
        return vec![Reply::Refused(outcome_unknown().refusal(RunState::Unknown))];
    }
    let mut replies = match (&row.answer, &row.object, &unwritten.body) {
        (Some(stored), _, _) => stored_replies(stored),
        (None, Some(object), Some(body)) => {
            stored_replies(&object.to_answer(body.bytes().to_vec()))
        }
        _ => return vec![Reply::Refused(not_retained().refusal(RunState::Unknown))],
    };
    replies.push(Reply::End);
    replies
}

pub(crate) fn not_retained() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::OutcomeUnknown,
        None,
        "the request ran and its answer is not kept for resends, because it was too large or \
         could not be stored; it will not be run again",
    )
}

/// The refusal among `replies`, if there is one.
pub(crate) fn refusal_in(replies: &[Reply]) -> Option<&Refusal> {
    replies.iter().find_map(|reply| match reply {
        Reply::Refused(refusal) => Some(refusal),
        _ => None,
    })
}
