//! Takeover of another entry's claim, after asking the agent whether it started the attempt.
//!
//! The query is a `Forbid` message: an agent that has not started the attempt does not start it
//! afterwards.

use std::time::Duration;

use types::AttemptId;
use types::Incarnation;
use types::RefusalReason;
use types::RequestId;
use types::TargetName;
use wire::ForbidOutcome;
use wire::ToAgent;

use crate::action::Action;
use crate::answer::Answer;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claims::outcome_unknown;
use crate::dispatch::WINDOW_BYTES;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Attempt;
use crate::run::Phase;

/// Time-out of a query: 2 s after which a silent connection is replaced, and 1 s for the new
/// connection.
const QUERY_TIMEOUT_MS: Duration = Duration::from_secs(3);
/// Delay before a query, in which another entry that has just taken the claim can dispatch. Without
/// it, two entries that receive the same request at once forbid each other's attempts until both
/// give up.
const QUERY_DELAY_MS: Duration = Duration::from_millis(40);
/// The delay doubles each time that the claim is resolved again, up to 640 ms.
const MAX_DELAY_DOUBLINGS: u32 = 4;

impl Requests {
    /// Schedules a query to the agent that another entry's claim names.
    pub(crate) fn query_agent(&mut self, cx: &mut Context, id: RequestId, row: ClaimRow) {
        let attempt = row.attempt_id();
        self.agent_queries.insert(attempt, id);
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = Phase::QueryingAgent(Box::new(row));
        }
        let resolutions = self
            .runs
            .get(&id)
            .and_then(|run| run.claim.as_ref())
            .map_or(0, |claim| claim.resolutions);
        let doublings = resolutions.saturating_sub(1).min(MAX_DELAY_DOUBLINGS);
        let delay = QUERY_DELAY_MS * (1 << doublings);
        self.set_timer(cx.now + delay, Timer::SendQuery(attempt));
        self.set_timer(
            cx.now + delay + QUERY_TIMEOUT_MS,
            Timer::QueryTimeout(attempt),
        );
    }

    /// Sends a query once the other entry has had time to dispatch.
    pub(crate) fn send_query(&mut self, cx: &mut Context, attempt: AttemptId) {
        if let Some(&id) = self.agent_queries.get(&attempt) {
            self.send_forbid(cx, id);
        }
    }

    fn send_forbid(&self, cx: &mut Context, id: RequestId) {
        let Some(Phase::QueryingAgent(row)) = self.runs.get(&id).map(|run| &run.phase) else {
            return;
        };
        cx.actions.push(Action::Send {
            target: row.target.clone(),
            message: ToAgent::Forbid {
                attempt: row.attempt_id(),
                incarnation: row.incarnation,
            },
        });
    }

    /// Handles the agent's answer to a query.
    pub(crate) fn query_answered(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        incarnation: Incarnation,
        outcome: ForbidOutcome,
    ) {
        let Some(row) = self.end_query(id) else {
            return;
        };
        // Another incarnation of the agent has no record of the attempt.
        let outcome = if incarnation == row.incarnation {
            outcome
        } else {
            ForbidOutcome::Lost
        };
        match outcome {
            ForbidOutcome::NeverRun => self.enqueue(cx, id),
            ForbidOutcome::Started => self.follow_attempt(cx, id, row),
            ForbidOutcome::Lost => self.claim_lost(cx, id, row),
        }
    }

    /// Ends a query and returns the claim row that it was about.
    fn end_query(&mut self, id: RequestId) -> Option<Box<ClaimRow>> {
        let run = self.runs.get_mut(&id)?;
        let Phase::QueryingAgent(row) = std::mem::replace(&mut run.phase, Phase::Reading) else {
            return None;
        };
        self.agent_queries.remove(&row.attempt_id());
        Some(row)
    }

    /// Follows another entry's attempt, and relays its answer.
    fn follow_attempt(&mut self, cx: &mut Context, id: RequestId, row: Box<ClaimRow>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let attempt = row.attempt_id();
        run.phase = Phase::Running;
        run.answer = Answer::retaining(&self.retained_budget);
        run.attempt_started(cx.now, row.target.clone());
        run.attempt = Some(Attempt {
            id: attempt,
            target: row.target.clone(),
            incarnation: row.incarnation,
            granted_offset: WINDOW_BYTES,
            resume_offset: Some(0),
            is_own: false,
        });
        if let Some(claim) = &mut run.claim {
            claim.current_row = Some(row);
        }
        self.runs_by_attempt.insert(attempt, id);
        self.send_resume(cx, id);
    }

    fn claim_lost(&mut self, cx: &mut Context, id: RequestId, row: Box<ClaimRow>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some(claim) = &mut run.claim {
            claim.current_row = Some(row);
        }
        self.refuse_unknown(cx, id, &outcome_unknown());
    }

    /// Sends pending queries again on a new connection to their target.
    pub(crate) fn resend_queries(&mut self, cx: &mut Context, target: &TargetName) {
        for id in self.queries_to(target, None) {
            self.send_forbid(cx, id);
        }
    }

    /// Ends the queries to an incarnation whose process has ended.
    pub(crate) fn fail_queries(
        &mut self,
        cx: &mut Context,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        for id in self.queries_to(target, Some(incarnation)) {
            if let Some(row) = self.end_query(id) {
                self.claim_lost(cx, id, row);
            }
        }
    }

    fn queries_to(&self, target: &TargetName, incarnation: Option<Incarnation>) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self
            .agent_queries
            .values()
            .filter(|id| match self.runs.get(id).map(|run| &run.phase) {
                Some(Phase::QueryingAgent(row)) => {
                    row.target == *target
                        && incarnation.is_none_or(|known| known == row.incarnation)
                }
                _ => false,
            })
            .copied()
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Handles a query without an answer. The claim stays unchanged, and a resend queries again.
    pub(crate) fn query_timed_out(&mut self, cx: &mut Context, id: RequestId) {
        if self.end_query(id).is_none() {
            return;
        }
        let detail = "an earlier submission with this key may have run and its target cannot be \
                      reached; send the request again with the same key";
        let cause = RefusalCause::new(RefusalReason::OutcomeUnknown, Some(RETRY_MS), detail);
        self.refuse_unknown(cx, id, &cause);
    }

    /// State to record in the claim when its run is removed.
    pub(crate) fn final_claim_state(&self, id: RequestId) -> ClaimState {
        match self.runs.get(&id).map(crate::run::Run::state) {
            Some(types::RunState::Unknown) => ClaimState::Unknown,
            _ => ClaimState::Released,
        }
    }
}
