//! Claims of runs: reading, taking, and what a claim met in the table means.

use std::time::Duration;
use std::time::Instant;

use store::Row;
use store::RowVersion;
use store::StoreError;
use store::TableReply;
use store::TableRequest;
use types::Incarnation;
use types::RefusalReason;
use types::RequestId;
use types::TargetName;

use crate::action::Action;
use crate::batch::Purpose;
use crate::batch::Write;
use crate::batch::WriteEnd;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claim::epochs_kept;
use crate::objects::unreadable;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;

/// Time for the table to answer about a claim. A caller is better off with an answer that says
/// "not run" than with one that arrives at its deadline.
pub(crate) const CLAIM_TIMEOUT_MS: Duration = Duration::from_secs(2);
/// Claims of other entries that one run may meet, one after another.
const CONTEST_LIMIT: u32 = 8;
/// Time that a read waits for others while one is under way.
const READ_BATCH_MS: Duration = Duration::from_millis(5);
/// Claims read in one call.
const READ_LIMIT: usize = 64;
/// A run that no caller waits for is given up this long after its deadline.
pub(crate) const LINGER_MS: Duration = Duration::from_secs(30);

impl Requests {
    /// Reads the claim of a run with a key.
    pub(crate) fn read_claim(&mut self, cx: &mut Context, id: RequestId) {
        let due = cx.now + CLAIM_TIMEOUT_MS;
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = Phase::Reading;
            run.table_due = Some(due);
        }
        self.reads_pending.push(id);
        // The first read goes at once; those that come while it is under way share a call.
        let read_at = self.reads_due.unwrap_or(if self.reads.is_empty() {
            cx.now
        } else {
            cx.now + READ_BATCH_MS
        });
        self.reads_due = Some(read_at);
        self.set_timer(read_at, Timer::Flush);
        self.set_timer(due, Timer::Claim(id));
    }

    /// Makes the reads and commits that are due.
    pub(crate) fn flush_table(&mut self, cx: &mut Context) {
        self.flush_reads(cx);
        while let Some(request) = self.batches.flush(cx.now, self.operations + 1) {
            let operation = self.next_operation();
            cx.actions.push(Action::Table { operation, request });
        }
    }

    fn flush_reads(&mut self, cx: &mut Context) {
        let full = self.reads_pending.len() >= READ_LIMIT;
        if !full && self.reads_due.is_none_or(|at| at > cx.now) {
            return;
        }
        self.reads_due = None;
        while !self.reads_pending.is_empty() {
            let rest = self.reads_pending.len().min(READ_LIMIT);
            let rest = self.reads_pending.split_off(rest);
            let ids = std::mem::replace(&mut self.reads_pending, rest);
            let keys = ids.iter().filter_map(|id| {
                let claim = self.runs.get(id)?.claim.as_ref()?;
                Some(claim.key.clone())
            });
            let request = TableRequest::Read(keys.collect());
            let operation = self.next_operation();
            self.reads.insert(operation, ids);
            cx.actions.push(Action::Table { operation, request });
        }
    }

    pub(crate) fn next_operation(&mut self) -> u64 {
        self.operations += 1;
        self.operations
    }

    pub(crate) fn table_done(
        &mut self,
        cx: &mut Context,
        operation: u64,
        result: Result<TableReply, StoreError>,
    ) {
        if let Some(ids) = self.reads.remove(&operation) {
            self.claims_read(cx, &ids, result);
            return;
        }
        let (ended, request) = self.batches.done(operation, result, self.operations + 1);
        if let Some(request) = request {
            let operation = self.next_operation();
            cx.actions.push(Action::Table { operation, request });
        }
        for (write, end) in ended {
            match write.purpose {
                Purpose::Take(id) => self.take_ended(cx, id, write, end),
                Purpose::Outcome => self.outcome_ended(cx, write, end),
            }
        }
    }

    fn claims_read(
        &mut self,
        cx: &mut Context,
        ids: &[RequestId],
        result: Result<TableReply, StoreError>,
    ) {
        let rows = match result {
            Ok(TableReply::Rows(rows)) => Some(rows),
            _ => None,
        };
        for id in ids {
            let Some(run) = self.runs.get(id).filter(|run| run.phase == Phase::Reading) else {
                continue;
            };
            let Some(rows) = &rows else {
                self.refuse(cx, *id, &no_store());
                continue;
            };
            let key = run.claim.as_ref().map(|claim| claim.key.as_str());
            let row = rows.iter().find(|row| Some(row.key.as_str()) == key);
            self.resolve(cx, *id, row.cloned());
        }
    }

    /// Decides what a claim row, or its absence, means for a run that wants to be dispatched.
    pub(crate) fn resolve(&mut self, cx: &mut Context, id: RequestId, row: Option<Row>) {
        let Some(claim) = self.runs.get_mut(&id).and_then(|run| run.claim.as_mut()) else {
            return;
        };
        claim.held = None;
        claim.version = row.as_ref().map_or(0, |row| row.version);
        claim.contests += 1;
        let contested = claim.contests > CONTEST_LIMIT;
        let Some(row) = row else {
            self.enqueue(cx, id);
            return;
        };
        let Ok(value) = serde_json::from_str::<ClaimRow>(&row.value) else {
            let detail = "the claim of this key was written by another version of the system";
            let ending = Ending::new(RefusalReason::OutcomeUnknown, None, detail);
            self.lose_outcome(cx, id, &ending);
            return;
        };
        if value.digest != claim.digest {
            self.refuse(cx, id, &key_reused());
            return;
        }
        match value.state {
            ClaimState::Done => self.answer_from_store(cx, id, &value),
            ClaimState::Unknown => self.lose_outcome(cx, id, &outcome_unknown()),
            ClaimState::Taken if value.owner != self.entry => {
                if contested {
                    self.lose_outcome(cx, id, &outcome_unknown());
                } else {
                    self.enquire(cx, id, value);
                }
            }
            // A claim of this entry without a run was never followed by a dispatch: the reply
            // to its commit was lost.
            ClaimState::Released | ClaimState::Taken => self.enqueue(cx, id),
        }
    }

    /// Takes the claim for an attempt; the dispatch follows when the commit is known.
    pub(crate) fn take_claim(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        target: TargetName,
        incarnation: Incarnation,
    ) {
        let token = self.tokens.next();
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(claim) = &run.claim else {
            return;
        };
        let profile = &run.terms.profile;
        let kept = profile.retention_s.max(profile.deadline_ms + 2 * LINGER_MS);
        let write = Write {
            key: claim.key.clone(),
            version: claim.version,
            row: ClaimRow {
                digest: claim.digest.clone(),
                owner: self.entry,
                request: id,
                attempt: run.attempts,
                target: target.clone(),
                incarnation,
                state: ClaimState::Taken,
                answer: None,
                object: None,
                token,
                expires_epoch: 0,
                proves: None,
            },
            epochs_kept: epochs_kept(kept),
            purpose: Purpose::Take(id),
        };
        let due = cx.now + CLAIM_TIMEOUT_MS;
        run.phase = Phase::Claiming(target, incarnation);
        run.table_due = Some(due);
        self.push_write(cx.now, write);
        self.set_timer(due, Timer::Claim(id));
    }

    pub(crate) fn push_write(&mut self, now: Instant, write: Write) {
        let at = self.batches.push(now, write);
        self.set_timer(at, Timer::Flush);
    }

    fn take_ended(&mut self, cx: &mut Context, id: RequestId, write: Write, end: WriteEnd) {
        let number = write.row.attempt;
        let wanted = self
            .runs
            .get(&id)
            .is_some_and(|run| matches!(run.phase, Phase::Claiming(..)) && run.attempts == number);
        if !wanted {
            if let WriteEnd::Committed(version) = end {
                self.release(cx.now, write, version);
            }
            return;
        }
        match end {
            WriteEnd::Committed(version) => self.claim_taken(cx, id, write.row, version),
            WriteEnd::Overwritten => self.read_claim(cx, id),
            WriteEnd::Changed(row) => self.resolve(cx, id, row),
            WriteEnd::Unavailable | WriteEnd::Unanswered => {
                // Whether or not the write takes effect, no dispatch follows it.
                if let Some(claim) = self.runs.get_mut(&id).and_then(|run| run.claim.as_mut()) {
                    claim.held = None;
                }
                self.refuse(cx, id, &no_store());
            }
        }
    }

    fn claim_taken(&mut self, cx: &mut Context, id: RequestId, row: ClaimRow, version: RowVersion) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let attempt = row.attempt_id();
        if let Some(claim) = &mut run.claim {
            claim.version = version;
            claim.held = Some(Box::new(row));
        }
        let Phase::Claiming(target, incarnation) = run.phase.clone() else {
            return;
        };
        self.dispatch(cx, id, attempt, target, incarnation);
    }

    /// The table has not answered in time.
    pub(crate) fn claim_overdue(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let overdue = run.table_due.is_some_and(|due| due <= cx.now);
        if overdue && matches!(run.phase, Phase::Fetching(_)) {
            self.refuse(cx, id, &unreadable());
            return;
        }
        if overdue && matches!(run.phase, Phase::Reading | Phase::Claiming(..)) {
            if let Some(claim) = &mut run.claim {
                claim.held = None;
            }
            self.refuse(cx, id, &no_store());
        }
    }
}

fn no_store() -> Ending<'static> {
    Ending::new(
        RefusalReason::StoreUnavailable,
        Some(RETRY_MS),
        "the table that keeps claims does not answer; this submission was not run, and an \
         earlier one with the same key is not affected",
    )
}

pub(crate) fn key_reused() -> Ending<'static> {
    Ending::new(
        RefusalReason::KeyReused,
        None,
        "the Idempotency-Key was used before with another request; use a new key",
    )
}

pub(crate) fn outcome_unknown() -> Ending<'static> {
    Ending::new(
        RefusalReason::OutcomeUnknown,
        None,
        "the request may have run and its outcome is lost; it will not be run again",
    )
}
