//! Reads and takes the claims of runs, and resolves claims that already exist.

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
use crate::claim::retention_epochs;
use crate::objects::answer_unavailable;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;

/// Time-out of a claim read or write, shorter than request deadlines: a caller can act on an early
/// refusal that says "not run", but not on one that arrives at its deadline.
pub(crate) const CLAIM_TIMEOUT_MS: Duration = Duration::from_secs(2);
/// Number of times that a run resolves its claim before it gives up on another entry's claim.
const CLAIM_RESOLUTION_LIMIT: u32 = 8;
/// Time that a read waits for others to share its call while another call is in flight.
const READ_BATCH_DELAY_MS: Duration = Duration::from_millis(5);
/// Maximum number of claims read in one call.
const READ_BATCH_LIMIT: usize = 64;
/// Time after its deadline at which a non-idempotent run without callers is ended.
pub(crate) const ORPHAN_TIMEOUT_MS: Duration = Duration::from_secs(30);

impl Requests {
    /// Reads the claim of a run that has an idempotency key.
    pub(crate) fn read_claim(&mut self, cx: &mut Context, id: RequestId) {
        let due = cx.now + CLAIM_TIMEOUT_MS;
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = Phase::Reading;
            run.store_deadline = Some(due);
        }
        self.pending_reads.push(id);
        // The first read is sent at once; reads that arrive while it is in flight share a call.
        let read_at = self
            .pending_reads_due
            .unwrap_or(if self.reads_in_flight.is_empty() {
                cx.now
            } else {
                cx.now + READ_BATCH_DELAY_MS
            });
        self.pending_reads_due = Some(read_at);
        self.set_timer(read_at, Timer::TableFlush);
        self.set_timer(due, Timer::StoreTimeout(id));
    }

    /// Sends the table reads and commits that are due.
    pub(crate) fn flush_table(&mut self, cx: &mut Context) {
        self.flush_reads(cx);
        while let Some(request) = self.batcher.flush(cx.now, self.last_operation + 1) {
            let operation = self.next_operation();
            cx.actions.push(Action::Table { operation, request });
        }
    }

    fn flush_reads(&mut self, cx: &mut Context) {
        let is_full = self.pending_reads.len() >= READ_BATCH_LIMIT;
        if !is_full && self.pending_reads_due.is_none_or(|at| at > cx.now) {
            return;
        }
        self.pending_reads_due = None;
        while !self.pending_reads.is_empty() {
            let rest = self.pending_reads.len().min(READ_BATCH_LIMIT);
            let rest = self.pending_reads.split_off(rest);
            let ids = std::mem::replace(&mut self.pending_reads, rest);
            let keys = ids.iter().filter_map(|id| {
                let claim = self.runs.get(id)?.claim.as_ref()?;
                Some(claim.key.clone())
            });
            let request = TableRequest::Read(keys.collect());
            let operation = self.next_operation();
            self.reads_in_flight.insert(operation, ids);
            cx.actions.push(Action::Table { operation, request });
        }
    }

    pub(crate) fn next_operation(&mut self) -> u64 {
        self.last_operation += 1;
        self.last_operation
    }

    pub(crate) fn table_done(
        &mut self,
        cx: &mut Context,
        operation: u64,
        result: Result<TableReply, StoreError>,
    ) {
        if let Some(ids) = self.reads_in_flight.remove(&operation) {
            self.claim_reads_done(cx, &ids, result);
            return;
        }
        let (ended, request) = self
            .batcher
            .complete(operation, result, self.last_operation + 1);
        if let Some(request) = request {
            let operation = self.next_operation();
            cx.actions.push(Action::Table { operation, request });
        }
        for (write, end) in ended {
            match write.purpose {
                Purpose::TakeClaim(id) => self.claim_write_done(cx, id, write, end),
                Purpose::RecordOutcome => self.outcome_write_done(cx, write, end),
            }
        }
    }

    fn claim_reads_done(
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
                self.refuse(cx, *id, &table_unavailable());
                continue;
            };
            let key = run.claim.as_ref().map(|claim| claim.key.as_str());
            let row = rows.iter().find(|row| Some(row.key.as_str()) == key);
            self.resolve_claim(cx, *id, row.cloned());
        }
    }

    /// Decides how a run proceeds, given its claim row or the absence of one.
    pub(crate) fn resolve_claim(&mut self, cx: &mut Context, id: RequestId, row: Option<Row>) {
        let Some(claim) = self.runs.get_mut(&id).and_then(|run| run.claim.as_mut()) else {
            return;
        };
        claim.current_row = None;
        claim.version = row.as_ref().map_or(0, |row| row.version);
        claim.resolutions += 1;
        let is_limit_reached = claim.resolutions > CLAIM_RESOLUTION_LIMIT;
        let Some(row) = row else {
            self.enqueue(cx, id);
            return;
        };
        let Ok(value) = serde_json::from_str::<ClaimRow>(&row.value) else {
            let detail = "the claim of this key was written by another version of the system";
            let cause = RefusalCause::new(RefusalReason::OutcomeUnknown, None, detail);
            self.refuse_unknown(cx, id, &cause);
            return;
        };
        if value.digest != claim.digest {
            self.refuse(cx, id, &key_reused());
            return;
        }
        match value.state {
            ClaimState::Done => self.answer_from_store(cx, id, &value),
            ClaimState::Unknown => self.refuse_unknown(cx, id, &outcome_unknown()),
            ClaimState::Taken if value.owner != self.entry => {
                if is_limit_reached {
                    self.refuse_unknown(cx, id, &outcome_unknown());
                } else {
                    self.query_agent(cx, id, value);
                }
            }
            // A claim of this entry that belongs to no run was not followed by a dispatch, because
            // the reply to its commit was lost.
            ClaimState::Released | ClaimState::Taken => self.enqueue(cx, id),
        }
    }

    /// Writes the claim for an attempt, which is dispatched once the commit is confirmed.
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
        let profile = &run.service_config.profile;
        let retention_ms = profile
            .retention_s
            .max(profile.deadline_ms + 2 * ORPHAN_TIMEOUT_MS);
        let write = Write {
            key: claim.key.clone(),
            version: claim.version,
            row: ClaimRow {
                digest: claim.digest.clone(),
                owner: self.entry,
                request: id,
                attempt: run.attempt_no,
                target: target.clone(),
                incarnation,
                state: ClaimState::Taken,
                answer: None,
                object: None,
                token,
                expires_epoch: 0,
                proves: None,
            },
            retention_epochs: retention_epochs(retention_ms),
            purpose: Purpose::TakeClaim(id),
        };
        let due = cx.now + CLAIM_TIMEOUT_MS;
        run.phase = Phase::Claiming(target, incarnation);
        run.store_deadline = Some(due);
        self.push_write(cx.now, write);
        self.set_timer(due, Timer::StoreTimeout(id));
    }

    pub(crate) fn push_write(&mut self, now: Instant, write: Write) {
        let at = self.batcher.push(now, write);
        self.set_timer(at, Timer::TableFlush);
    }

    fn claim_write_done(&mut self, cx: &mut Context, id: RequestId, write: Write, end: WriteEnd) {
        let taken = write.row.attempt;
        let is_current = self
            .runs
            .get(&id)
            .is_some_and(|run| matches!(run.phase, Phase::Claiming(..)) && run.attempt_no == taken);
        if !is_current {
            if let WriteEnd::Committed(version) = end {
                self.release_claim(cx.now, write, version);
            }
            return;
        }
        match end {
            WriteEnd::Committed(version) => self.claim_taken(cx, id, write.row, version),
            WriteEnd::Overwritten => self.read_claim(cx, id),
            WriteEnd::Changed(row) => self.resolve_claim(cx, id, row),
            WriteEnd::Unavailable | WriteEnd::Unanswered => {
                // The write may still take effect, but no dispatch follows it.
                if let Some(claim) = self.runs.get_mut(&id).and_then(|run| run.claim.as_mut()) {
                    claim.current_row = None;
                }
                self.refuse(cx, id, &table_unavailable());
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
            claim.current_row = Some(Box::new(row));
        }
        let Phase::Claiming(target, incarnation) = run.phase.clone() else {
            return;
        };
        self.dispatch(cx, id, attempt, target, incarnation);
    }

    /// Refuses a run whose call to the table or the object store has timed out.
    pub(crate) fn store_call_timed_out(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let is_overdue = run.store_deadline.is_some_and(|due| due <= cx.now);
        if is_overdue && matches!(run.phase, Phase::Fetching(_)) {
            self.refuse(cx, id, &answer_unavailable());
            return;
        }
        if is_overdue && matches!(run.phase, Phase::Reading | Phase::Claiming(..)) {
            if let Some(claim) = &mut run.claim {
                claim.current_row = None;
            }
            self.refuse(cx, id, &table_unavailable());
        }
    }
}

fn table_unavailable() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::StoreUnavailable,
        Some(RETRY_MS),
        "the table that keeps claims does not answer; this submission was not run, and an \
         earlier one with the same key is not affected",
    )
}

pub(crate) fn key_reused() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::KeyReused,
        None,
        "the Idempotency-Key was used before with another request; use a new key",
    )
}

pub(crate) fn outcome_unknown() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::OutcomeUnknown,
        None,
        "the request may have run and its outcome is lost; it will not be run again",
    )
}
