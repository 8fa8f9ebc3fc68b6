//! Ends of attempts and requests: failures, deadlines, disconnected callers and complete answers.

use std::time::Instant;

use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Usage;
use wire::Rejection;

use crate::action::Action;
use crate::action::AttemptEnd;
use crate::action::Outcome;
use crate::action::Summary;
use crate::claim::ClaimState;
use crate::claims::ORPHAN_TIMEOUT_MS;
use crate::claims::outcome_unknown;
use crate::queue::Queue;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;
use crate::run::Waiter;

impl Requests {
    /// Handles an attempt that was not executed and will not be.
    pub(crate) fn attempt_rejected(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        reason: Option<Rejection>,
    ) {
        self.end_attempt(cx, id, AttemptEnd::Rejected(reason));
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        // Another entry may have taken over the claim; the run then follows that entry's attempt.
        if run.claim.as_ref().is_some_and(|claim| claim.has_key)
            && reason == Some(Rejection::Forbidden)
            && !run.waiters.is_empty()
        {
            self.read_claim(cx, id);
            return;
        }
        if !counts_as_attempt(reason)
            && let Some(run) = self.runs.get_mut(&id)
        {
            run.counted_attempts -= 1;
        }
        if reason == Some(Rejection::Forbidden) {
            self.redispatch(cx, id);
            return;
        }
        self.retry_or_refuse(cx, id, &no_target_accepted());
    }

    /// Retries a run if it has an attempt left, and refuses it otherwise.
    fn retry_or_refuse(&mut self, cx: &mut Context, id: RequestId, cause: &RefusalCause) {
        let run = self.runs.get(&id);
        if run.is_some_and(|run| run.counted_attempts < run.service_config.profile.attempt_limit) {
            self.retry(cx, id);
            return;
        }
        self.refuse(cx, id, cause);
    }

    /// Handles an attempt that failed and may have been executed.
    pub(crate) fn attempt_failed(&mut self, cx: &mut Context, id: RequestId, detail: &str) {
        self.end_attempt(cx, id, AttemptEnd::Failed);
        self.after_failure(cx, id, detail);
    }

    pub(crate) fn after_failure(&mut self, cx: &mut Context, id: RequestId, detail: &str) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if !run.idempotent {
            self.refuse_unknown(cx, id, &outcome_unknown());
            return;
        }
        let cause = RefusalCause::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail);
        self.retry_or_refuse(cx, id, &cause);
    }

    /// Handles an attempt whose answer differs from the part that callers already have.
    pub(crate) fn answer_mismatched(&mut self, cx: &mut Context, id: RequestId) {
        self.cancel_attempt(cx, id, AttemptEnd::Failed);
        if self.runs.get(&id).is_some_and(|run| !run.idempotent) {
            self.refuse_unknown(cx, id, &outcome_unknown());
            return;
        }
        let detail = "the answer was interrupted and a later attempt returned a different one";
        let cause = RefusalCause::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail);
        self.refuse(cx, id, &cause);
    }

    /// Refuses a caller whose deadline has passed.
    pub(crate) fn deadline_passed(&mut self, cx: &mut Context, request: RequestId) {
        let Some(&id) = self.runs_by_caller.get(&request) else {
            return;
        };
        let detail = "the deadline passed";
        let cause = RefusalCause::new(RefusalReason::DeadlineExceeded, Some(RETRY_MS), detail);
        let state = self.run_state_without_caller(id);
        self.refuse_caller(cx, request, &cause, state);
        self.end_if_orphaned(cx, id);
    }

    pub(crate) fn caller_disconnected(&mut self, cx: &mut Context, request: RequestId) {
        let Some(&id) = self.runs_by_caller.get(&request) else {
            return;
        };
        if let Some(waiter) = self.take_waiter(id, request) {
            let after = cx.now.saturating_duration_since(waiter.accepted);
            if let Some(queue) = self.queue_of(id) {
                queue.hang_ups.record_hang_up(cx.now, after);
            }
            self.settle(cx, id, &waiter, Outcome::Abandoned, Usage::default());
        }
        self.end_if_orphaned(cx, id);
    }

    fn queue_of(&mut self, id: RequestId) -> Option<&mut Queue> {
        let run = self.runs.get(&id)?;
        let key = (
            run.requirements.service.clone(),
            run.service_config.profile.name.clone(),
        );
        self.queues.get_mut(&key)
    }

    /// Ends a run that no caller waits for. A non-idempotent run with an attempt in progress
    /// continues, because its answer is retained for a resend.
    fn end_if_orphaned(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if !run.waiters.is_empty() {
            return;
        }
        if !run.idempotent && run.attempt.is_some() {
            let at = cx.now.max(run.deadline()) + ORPHAN_TIMEOUT_MS;
            self.set_timer(at, Timer::OrphanTimeout(id));
            self.grant_credit(cx, id);
            return;
        }
        self.cancel_attempt(cx, id, AttemptEnd::Cancelled);
        let state = self.final_claim_state(id);
        self.remove_run(cx.now, id, state);
    }

    /// Ends a run that still has no callers when its orphan time-out expires.
    pub(crate) fn orphan_timed_out(&mut self, cx: &mut Context, id: RequestId) {
        if self.runs.get(&id).is_some_and(|run| run.waiters.is_empty()) {
            self.end_attempt(cx, id, AttemptEnd::Failed);
            self.remove_run(cx.now, id, ClaimState::Unknown);
        }
    }

    /// Ends a run whose complete answer has been relayed.
    pub(crate) fn answered(&mut self, cx: &mut Context, id: RequestId, usage: Usage) {
        self.settle_answered(cx, id, usage);
        self.remove_run(cx.now, id, ClaimState::Done);
    }

    /// Sends the end of the answer to every caller of a run.
    pub(crate) fn settle_answered(&mut self, cx: &mut Context, id: RequestId, usage: Usage) {
        for request in self.waiters_of(id) {
            let Some(waiter) = self.take_waiter(id, request) else {
                continue;
            };
            let after = cx.now.saturating_duration_since(waiter.accepted);
            if let Some(queue) = self.queue_of(id) {
                queue.hang_ups.record_answer(cx.now, after);
            }
            let reply = Reply::End;
            cx.actions.push(Action::Reply { request, reply });
            self.settle(cx, id, &waiter, Outcome::Answered, usage);
        }
    }

    /// Refuses all callers of a run and removes it.
    pub(crate) fn refuse(&mut self, cx: &mut Context, id: RequestId, cause: &RefusalCause) {
        let state = self.run_state(id);
        for request in self.waiters_of(id) {
            self.refuse_caller(cx, request, cause, state);
        }
        let claim = self.final_claim_state(id);
        self.remove_run(cx.now, id, claim);
    }

    fn refuse_caller(
        &mut self,
        cx: &mut Context,
        request: RequestId,
        cause: &RefusalCause,
        state: RunState,
    ) {
        let Some(&id) = self.runs_by_caller.get(&request) else {
            return;
        };
        let Some(waiter) = self.take_waiter(id, request) else {
            return;
        };
        let outcome = Outcome::Refused(cause.reason);
        let refusal = cause.refusal(state);
        let reply = Reply::Refused(refusal);
        cx.actions.push(Action::Reply { request, reply });
        self.settle(cx, id, &waiter, outcome, Usage::default());
    }

    /// Run state to report to a caller that leaves while the run may continue for others.
    fn run_state_without_caller(&self, id: RequestId) -> RunState {
        match self.runs.get(&id) {
            Some(run) if run.waiters.len() > 1 => RunState::Unknown,
            _ => self.run_state(id),
        }
    }

    /// Run state to report if the run ended now.
    fn run_state(&self, id: RequestId) -> RunState {
        self.runs
            .get(&id)
            .map_or(RunState::NotRun, crate::run::Run::state)
    }

    fn waiters_of(&self, id: RequestId) -> Vec<RequestId> {
        let run = self.runs.get(&id);
        run.map_or_else(Vec::new, |run| {
            run.waiters.iter().map(|waiter| waiter.request).collect()
        })
    }

    fn take_waiter(&mut self, id: RequestId, request: RequestId) -> Option<Waiter> {
        self.runs_by_caller.remove(&request);
        let run = self.runs.get_mut(&id)?;
        let index = run.waiters.iter().position(|w| w.request == request)?;
        let waiter = run.waiters.remove(index);
        self.timers
            .remove(&(waiter.deadline, Timer::Deadline(request)));
        Some(waiter)
    }

    fn settle(
        &self,
        cx: &mut Context,
        id: RequestId,
        waiter: &Waiter,
        outcome: Outcome,
        usage: Usage,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let request = waiter.request;
        let summary = Summary {
            service: run.requirements.service.clone(),
            outcome,
            attempts: run.history.to_vec(),
            first_byte_ms: waiter.first_byte_ms,
            total_ms: cx.now.saturating_duration_since(waiter.accepted),
            usage,
        };
        cx.actions.push(Action::Settled { request, summary });
    }

    /// Removes a run and everything that refers to it, and records `claim` as the state of its
    /// claim. `Taken` leaves the claim unchanged.
    pub(crate) fn remove_run(&mut self, now: Instant, id: RequestId, claim: ClaimState) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.end_trial(now, &run);
        if let Some(attempt) = &run.attempt {
            self.runs_by_attempt.remove(&attempt.id);
        }
        let key = (
            run.requirements.service.clone(),
            run.service_config.profile.name.clone(),
        );
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.remove(now, id);
        }
        if let Phase::QueryingAgent(row) = &run.phase {
            self.agent_queries.remove(&row.attempt_id());
        }
        if let Some(claim) = &run.claim {
            self.runs_by_key.remove(&claim.key);
        }
        if claim != ClaimState::Taken {
            self.record_outcome(now, &run, claim);
        }
    }
}

/// Refusal of a request whose attempts were all rejected.
pub(crate) fn no_target_accepted() -> RefusalCause<'static> {
    let detail = "every target that was tried rejected the request";
    RefusalCause::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail)
}

/// Whether a rejected attempt counts against the attempt limit of its request.
///
/// A target that is leaving, away, overloaded or without the model says so in the load report that
/// comes with the rejection, so the router does not choose it again and the request can wait for
/// another target. `Forbidden` means that the dispatch was lost with its connection. The other
/// reasons give the router no information, and without a limit the same target would be tried until
/// the deadline.
fn counts_as_attempt(reason: Option<Rejection>) -> bool {
    !matches!(
        reason,
        Some(
            Rejection::Leaving
                | Rejection::Away
                | Rejection::Overloaded
                | Rejection::WrongModel
                | Rejection::Forbidden
        )
    )
}
