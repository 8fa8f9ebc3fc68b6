//! Ends: failed attempts, deadlines, hang-ups and final answers.

use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Usage;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Summary;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::router::Settlement;
use crate::run::Run;
use crate::run::Waiter;

impl Requests {
    /// The attempt was not run and will not be.
    pub(crate) fn attempt_rejected(&mut self, cx: &mut Context, id: RequestId) {
        self.end_attempt(cx, id, Settlement::Rejected);
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.attempts < run.terms.profile.attempt_limit {
            self.retry(cx, id);
            return;
        }
        let detail = "no target took the request";
        let refusal = Ending::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail);
        self.refuse(cx, id, &refusal);
    }

    /// The attempt failed and may have run.
    pub(crate) fn attempt_failed(&mut self, cx: &mut Context, id: RequestId, detail: &str) {
        self.end_attempt(cx, id, Settlement::Failed);
        self.after_failure(cx, id, detail);
    }

    pub(crate) fn after_failure(&mut self, cx: &mut Context, id: RequestId, detail: &str) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.attempts < run.terms.profile.attempt_limit {
            self.retry(cx, id);
            return;
        }
        let refusal = Ending::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail);
        self.refuse(cx, id, &refusal);
    }

    /// The attempt's answer is not the one that callers already have a part of.
    pub(crate) fn answer_contradicted(&mut self, cx: &mut Context, id: RequestId) {
        self.cancel_attempt(cx, id, Settlement::Failed);
        let detail = "the answer broke off and another attempt gave a different one";
        let refusal = Ending::new(RefusalReason::TargetFailed, Some(RETRY_MS), detail);
        self.refuse(cx, id, &refusal);
    }

    /// A caller's time is up.
    pub(crate) fn deadline_passed(&mut self, cx: &mut Context, request: RequestId) {
        let Some(&id) = self.waiting.get(&request) else {
            return;
        };
        let detail = "the deadline passed";
        let refusal = Ending::new(RefusalReason::DeadlineExceeded, Some(RETRY_MS), detail);
        self.refuse_one(cx, request, &refusal);
        self.drop_if_unwanted(cx, id);
    }

    pub(crate) fn caller_gone(&mut self, cx: &mut Context, request: RequestId) {
        let Some(&id) = self.waiting.get(&request) else {
            return;
        };
        if let Some(waiter) = self.take_waiter(id, request) {
            self.settle(cx, id, &waiter, Outcome::Abandoned, Usage::default());
        }
        self.drop_if_unwanted(cx, id);
    }

    /// Gives up a run that no caller waits for.
    fn drop_if_unwanted(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if !run.waiters.is_empty() {
            return;
        }
        self.cancel_attempt(cx, id, Settlement::Cancelled);
        self.forget(id);
    }

    /// The whole answer has been relayed.
    pub(crate) fn answered(&mut self, cx: &mut Context, id: RequestId, usage: Usage) {
        for request in self.waiters_of(id) {
            let Some(waiter) = self.take_waiter(id, request) else {
                continue;
            };
            let reply = Reply::End;
            cx.actions.push(Action::Reply { request, reply });
            self.settle(cx, id, &waiter, Outcome::Answered, usage);
        }
        self.forget(id);
    }

    /// Refuses all callers of a run and forgets it.
    pub(crate) fn refuse(&mut self, cx: &mut Context, id: RequestId, ending: &Ending) {
        for request in self.waiters_of(id) {
            self.refuse_one(cx, request, ending);
        }
        self.forget(id);
    }

    fn refuse_one(&mut self, cx: &mut Context, request: RequestId, ending: &Ending) {
        let Some(&id) = self.waiting.get(&request) else {
            return;
        };
        let state = self.run_state(id);
        let Some(waiter) = self.take_waiter(id, request) else {
            return;
        };
        let outcome = Outcome::Refused(ending.reason);
        let refusal = ending.refusal(state);
        let reply = Reply::Refused(refusal);
        cx.actions.push(Action::Reply { request, reply });
        self.settle(cx, id, &waiter, outcome, Usage::default());
    }

    /// What may be said of a run now. A run with several callers goes on without one of them.
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
        self.waiting.remove(&request);
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
            service: run.need.service.clone(),
            outcome,
            targets: run.tried.to_vec(),
            first_byte_ms: waiter.first_byte_ms,
            total_ms: cx.now.saturating_duration_since(waiter.accepted),
            usage,
        };
        cx.actions.push(Action::Settled { request, summary });
    }

    /// Removes a run and everything that is held for it.
    pub(crate) fn forget(&mut self, id: RequestId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        if let Some(attempt) = &run.attempt {
            self.attempts.remove(&attempt.id);
        }
        let key = (run.need.service.clone(), run.terms.profile.name.clone());
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.remove(id);
        }
        Some(run)
    }
}
