//! Outcomes of claimed runs: written in the background, and given to resends.

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
use crate::kept::Kept;
use crate::objects::Storing;
use crate::refusal::Ending;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Run;
use crate::sending::no_room;

/// Time after which an outcome that could not be written is written again.
const OUTCOME_RETRY_MS: Duration = Duration::from_secs(1);

/// Outcome that the table may not have yet.
pub(crate) struct Unwritten {
    row: ClaimRow,
    /// Body of an answer that goes to the object store.
    body: Option<Rc<Kept>>,
}

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
        let key = claim.key.clone();
        if state == ClaimState::Done {
            row.answer = stored(run);
            if let Some((object, body)) = to_be_stored(run, row.object_key(&key)) {
                row.object = Some(object);
                let until = now + run.terms.profile.retention_s;
                self.store_answer(key, claim.version, row, body, until);
                return;
            }
        }
        self.push_outcome(now, key, claim.version, row);
    }

    /// Stores an answer in the object store. The row names it only after that.
    fn store_answer(
        &mut self,
        key: String,
        version: RowVersion,
        row: ClaimRow,
        body: Rc<Kept>,
        until: Instant,
    ) {
        let write = self.outcome(key, version, row, Some(body.clone()));
        self.objects.store(Storing { write, body, until });
    }

    fn push_outcome(&mut self, now: Instant, key: String, version: RowVersion, row: ClaimRow) {
        let write = self.outcome(key, version, row, None);
        self.push_write(now, write);
    }

    fn outcome(
        &mut self,
        key: String,
        version: RowVersion,
        mut row: ClaimRow,
        body: Option<Rc<Kept>>,
    ) -> Write {
        row.token = self.tokens.next();
        let unwritten = Unwritten {
            row: row.clone(),
            body,
        };
        self.outcomes.insert(key.clone(), unwritten);
        Write {
            key,
            version,
            row,
            epochs_kept: 0,
            purpose: Purpose::Outcome,
        }
    }

    /// The answer cannot be stored; the row says only that the request ran.
    pub(crate) fn give_up_answer(&mut self, now: Instant, write: Write) {
        let mut row = write.row;
        row.object = None;
        self.push_outcome(now, write.key, write.version, row);
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
            WriteEnd::Changed(None) => {
                // The claim has expired and was deleted, so no deletion finds the object.
                self.delete_object_of(&write);
                self.outcome_written(&write);
            }
            WriteEnd::Changed(Some(row)) => self.outcome_contested(cx, write, &row),
        }
    }

    fn outcome_contested(&mut self, cx: &mut Context, write: Write, row: &Row) {
        if let Ok(found) = serde_json::from_str::<ClaimRow>(&row.value) {
            let same = found.attempt_id() == write.row.attempt_id();
            // Another entry gave the outcome up as lost, is still asking for it, or had no room
            // for the answer.
            let is_better =
                found.state != ClaimState::Done || (write.row.has_answer() && !found.has_answer());
            if write.row.state == ClaimState::Done && same && is_better {
                let version = row.version;
                self.push_write(cx.now, Write { version, ..write });
                return;
            }
            if !same {
                self.delete_object_of(&write);
            }
        }
        self.outcome_written(&write);
    }

    fn delete_object_of(&mut self, write: &Write) {
        if let Some(object) = &write.row.object {
            self.objects.delete(object.key.clone());
        }
    }

    /// Writes again what could not be written.
    pub(crate) fn retry_outcomes(&mut self, now: Instant) {
        for write in std::mem::take(&mut self.outcomes_delayed) {
            self.push_write(now, write);
        }
    }

    fn outcome_written(&mut self, write: &Write) {
        let same = |unwritten: &Unwritten| unwritten.row.token == write.row.token;
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
        let Some(unwritten) = self.outcomes.get(key) else {
            return false;
        };
        let row = &unwritten.row;
        if row.digest != digest {
            let refusal = crate::claims::key_reused().refusal(RunState::NotRun);
            crate::submit::refuse_at_once(cx, request, submission, refusal);
            return true;
        }
        match row.state {
            ClaimState::Done | ClaimState::Unknown => {
                let length = unwritten.body.as_ref().map_or(0, |body| body.bytes().len());
                let replies = if self.sending.begin(request, length) {
                    replies_from(unwritten)
                } else {
                    vec![Reply::Refused(no_room().refusal(RunState::Unknown))]
                };
                crate::submit::reply_at_once(cx, request, submission, replies);
                true
            }
            ClaimState::Taken | ClaimState::Released => false,
        }
    }

    /// Answers all callers of a run from a claim that is done.
    pub(crate) fn answer_from_store(&mut self, cx: &mut Context, id: RequestId, row: &ClaimRow) {
        match (&row.answer, &row.object) {
            (Some(stored), _) => self.answer_as_stored(cx, id, stored),
            (None, Some(object)) => self.fetch_answer(cx, id, object),
            (None, None) => self.lose_outcome(cx, id, &not_kept()),
        }
    }

    /// Gives all callers of a run an answer that was stored whole.
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
        if !requests.iter().all(|id| self.sending.begin(*id, length)) {
            for request in requests {
                self.sending.end(request);
            }
            self.refuse(cx, id, &no_room());
            return;
        }
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

/// Answer that fits into the row.
fn stored(run: &Run) -> Option<StoredAnswer> {
    let head = run.answer.head()?;
    let body = run.answer.kept()?;
    (body.len() <= ROW_ANSWER_LIMIT_BYTES).then(|| StoredAnswer {
        status: head.status,
        content_type: head.content_type.clone(),
        headers: head.headers.clone(),
        served_by: run.tried.last().cloned().unwrap_or_default(),
        body: body.to_vec(),
    })
}

/// Answer that is too large for the row.
fn to_be_stored(run: &Run, key: String) -> Option<(StoredObject, Rc<Kept>)> {
    let head = run.answer.head()?;
    let kept = run.answer.share_kept()?;
    if kept.bytes().len() <= ROW_ANSWER_LIMIT_BYTES {
        return None;
    }
    let object = StoredObject {
        status: head.status,
        content_type: head.content_type.clone(),
        headers: head.headers.clone(),
        served_by: run.tried.last().cloned().unwrap_or_default(),
        key,
        length_bytes: kept.bytes().len() as u64,
        digest: body_digest(kept.bytes()),
    };
    Some((object, kept))
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

fn replies_from(unwritten: &Unwritten) -> Vec<Reply> {
    let row = &unwritten.row;
    if row.state == ClaimState::Unknown {
        return vec![Reply::Refused(outcome_unknown().refusal(RunState::Unknown))];
    }
    let mut replies = match (&row.answer, &row.object, &unwritten.body) {
        (Some(stored), _, _) => stored_replies(stored),
        (None, Some(object), Some(body)) => {
            stored_replies(&object.to_answer(body.bytes().to_vec()))
        }
        _ => return vec![Reply::Refused(not_kept().refusal(RunState::Unknown))],
    };
    replies.push(Reply::End);
    replies
}

pub(crate) fn not_kept() -> Ending<'static> {
    Ending::new(
        RefusalReason::OutcomeUnknown,
        None,
        "the request ran and its answer is not kept for resends, because it was too large or \
         could not be stored; it will not be run again",
    )
}

/// Outcome of replies that were given at once.
pub(crate) fn refusal_in(replies: &[Reply]) -> Option<&Refusal> {
    replies.iter().find_map(|reply| match reply {
        Reply::Refused(refusal) => Some(refusal),
        _ => None,
    })
}
