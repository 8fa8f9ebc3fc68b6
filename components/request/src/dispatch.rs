//! Routing of queued runs, and dispatch, cancellation and retry of attempts.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use types::RefusalReason;
use types::RequestId;
use types::TargetName;
use types::Usage;
use wire::Dispatch;
use wire::ToAgent;

use crate::action::Action;
use crate::action::AttemptEnd;
use crate::finish::no_target_accepted;
use crate::queue::Overdue;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::QueueKey;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::router::AttemptResult;
use crate::router::Choice;
use crate::router::Requirements;
use crate::run::Attempt;
use crate::run::Phase;
use crate::run::Run;

/// Flow-control window: answer bytes in flight between an agent and a caller.
pub(crate) const WINDOW_BYTES: u64 = 64 << 10;
/// Maximum number of request body bytes in one frame. It is far below `wire::MAX_FRAME_BYTES` so
/// that a long body does not delay other frames on the connection.
const BODY_FRAME_BYTES: usize = 256 << 10;
/// Interval at which runs that wait for the retry budget check it again.
const BUDGET_POLL_MS: Duration = Duration::from_millis(200);
/// Minimum time until the router is asked again.
const MIN_ROUTER_RETRY_MS: Duration = Duration::from_millis(1);

impl Requests {
    /// Dispatches queued runs for which the router finds a target, and refuses infeasible ones.
    pub(crate) fn dispatch_queued(&mut self, cx: &mut Context) {
        let mut blocked: HashSet<QueueKey> = HashSet::new();
        let mut retry_ms: Option<Duration> = None;
        while let Some((key, id)) = self.next_queued(cx, &blocked) {
            if !self.may_dispatch_parts(cx, id) {
                self.dequeue(cx.now, &key, id);
                continue;
            }
            let Some((choice, left_ms)) = self.choose(cx, &key, id) else {
                self.dequeue(cx.now, &key, id);
                continue;
            };
            match choice {
                Choice::Target {
                    target,
                    incarnation,
                    finish_ms,
                } => {
                    if let Some(queue) = self.queues.get_mut(&key) {
                        queue.record_dispatch(cx.now, id, finish_ms);
                    }
                    self.start_attempt(cx, id, target, incarnation);
                }
                Choice::Wait { retry_ms: wait } => {
                    let wait = wait.max(MIN_ROUTER_RETRY_MS);
                    retry_ms = Some(retry_ms.map_or(wait, |known| known.min(wait)));
                    self.refuse_overdue(cx, &key);
                    blocked.insert(key);
                }
                Choice::Infeasible { retry_ms: wait } => {
                    if let Some(queue) = self.queues.get_mut(&key) {
                        queue.record_infeasible(left_ms.saturating_add(wait));
                    }
                    let detail = "no target is expected to finish the request in time";
                    let cause = RefusalCause::new(RefusalReason::Overloaded, Some(wait), detail);
                    self.refuse(cx, id, &cause);
                }
                Choice::Never => {
                    let detail = "the service has no target that can serve the request";
                    let cause = RefusalCause::new(RefusalReason::NoTarget, Some(RETRY_MS), detail);
                    self.refuse(cx, id, &cause);
                }
            }
        }
        self.queues.retain(|_, queue| !queue.is_droppable());
        if let Some(wait_ms) = retry_ms {
            self.schedule_dispatch(cx.now, wait_ms);
        }
    }

    /// Asks the router for a target. Returns its choice and the time left until the effective
    /// deadline, or `None` if the run no longer exists.
    fn choose(
        &mut self,
        cx: &mut Context,
        key: &QueueKey,
        id: RequestId,
    ) -> Option<(Choice, Duration)> {
        let run = self.runs.get(&id)?;
        let queue = self.queues.get_mut(key).filter(|_| run.idempotent);
        let (deadline, expected_hang_up) = match queue {
            Some(queue) => (
                queue.effective_deadline(cx.now, run.accepted, run.requirements.deadline),
                queue.waits_until(cx.now, run.accepted),
            ),
            None => (run.requirements.deadline, None),
        };
        let left_ms = deadline.saturating_duration_since(cx.now);
        // In most cases the deadline is not shortened, and the copy of `requirements` is avoided.
        if deadline == run.requirements.deadline && expected_hang_up.is_none() {
            let choice = cx
                .router
                .choose(cx.now, &run.requirements, &run.tried_targets);
            return Some((choice, left_ms));
        }
        let requirements = Requirements {
            deadline,
            expected_hang_up,
            ..run.requirements.clone()
        };
        Some((
            cx.router.choose(cx.now, &requirements, &run.tried_targets),
            left_ms,
        ))
    }

    fn schedule_dispatch(&mut self, now: Instant, wait_ms: Duration) {
        if let Some(at) = self.dispatch_retry_at.replace(now + wait_ms) {
            self.timers.remove(&(at, Timer::DispatchQueued));
        }
        self.set_timer(now + wait_ms, Timer::DispatchQueued);
    }

    /// Refuses queued runs that can no longer meet their deadline, because requests of higher
    /// priority arrived or the targets became slower.
    fn refuse_overdue(&mut self, cx: &mut Context, key: &QueueKey) {
        let queue = self.queues.get_mut(key);
        let overdue = queue.map_or_else(Vec::new, |queue| queue.overdue(cx.now));
        for Overdue {
            request,
            lateness_ms,
        } in overdue
        {
            // A resend that joined the run may have a later deadline than its queue entry.
            let joined = |run: &Run| run.waiters.len() > 1;
            if self.runs.get(&request).is_some_and(joined) {
                continue;
            }
            let detail = "requests ahead in the queue leave too little time before the deadline";
            let retry = lateness_ms.max(RETRY_MS);
            let cause = RefusalCause::new(RefusalReason::Overloaded, Some(retry), detail);
            self.refuse(cx, request, &cause);
        }
    }

    fn next_queued(
        &mut self,
        cx: &Context,
        blocked: &HashSet<QueueKey>,
    ) -> Option<(QueueKey, RequestId)> {
        self.queues
            .iter_mut()
            .filter(|(key, _)| !blocked.contains(key))
            .filter_map(|(key, queue)| queue.first(cx.now).map(|first| (first, key)))
            .min_by_key(|(first, _)| *first)
            .map(|((_, _, id), key)| (key.clone(), id))
    }

    fn dequeue(&mut self, now: Instant, key: &QueueKey, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.remove(now, id);
        }
    }

    /// Starts an attempt at the chosen target, after taking the claim if the run needs one.
    fn start_attempt(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        target: TargetName,
        incarnation: Incarnation,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.counted_attempts >= run.service_config.profile.attempt_limit {
            self.refuse(cx, id, &no_target_accepted());
            return;
        }
        run.attempt_no += 1;
        if run.claim.is_some() {
            self.take_claim(cx, id, target, incarnation);
            return;
        }
        let attempt = AttemptId {
            request: id,
            number: run.attempt_no,
        };
        self.dispatch(cx, id, attempt, target, incarnation);
    }

    pub(crate) fn dispatch(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        attempt: AttemptId,
        target: TargetName,
        incarnation: Incarnation,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.phase = Phase::Running;
        run.counted_attempts += 1;
        run.answer.restart();
        run.attempt_started(cx.now, target.clone());
        // A retry sends its answer from offset 0, with credit up to the offset that callers allow.
        let granted_offset = run.consumed() + WINDOW_BYTES;
        for message in dispatch_messages(cx, run, attempt, incarnation, granted_offset) {
            let target = target.clone();
            cx.actions.push(Action::Send { target, message });
        }
        cx.router
            .attempt_dispatched(cx.now, &target, attempt, &run.requirements);
        run.attempt = Some(Attempt {
            id: attempt,
            target,
            incarnation,
            granted_offset,
            resume_offset: None,
            is_own: true,
        });
        self.runs_by_attempt.insert(attempt, id);
        self.start_reconnect_timer(cx, id);
    }

    /// Ends the current attempt; its late messages are ignored from now on.
    pub(crate) fn end_attempt(&mut self, cx: &mut Context, id: RequestId, end: AttemptEnd) {
        self.end_attempt_with_usage(cx, id, end, Usage::default());
    }

    /// Ends the current attempt, and reports its result and token usage to the router.
    pub(crate) fn end_attempt_with_usage(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        end: AttemptEnd,
        usage: Usage,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(attempt) = run.attempt.take() else {
            return;
        };
        run.may_have_executed |= !matches!(end, AttemptEnd::Rejected(_));
        run.attempt_ended(cx.now, end);
        self.runs_by_attempt.remove(&attempt.id);
        if attempt.is_own {
            let result = match end {
                AttemptEnd::Answered => AttemptResult::Answered(usage),
                AttemptEnd::Rejected(_) => AttemptResult::Rejected,
                AttemptEnd::Failed => AttemptResult::Failed,
                AttemptEnd::Cancelled => AttemptResult::Cancelled,
            };
            let target = &attempt.target;
            cx.router.attempt_ended(cx.now, target, attempt.id, result);
        }
        self.is_dispatch_due = true;
    }

    /// Ends the current attempt, and tells the agent to cancel it if it is idempotent.
    pub(crate) fn cancel_attempt(&mut self, cx: &mut Context, id: RequestId, end: AttemptEnd) {
        // Non-idempotent work is never cancelled, because its answer is retained for resends.
        if let Some(run) = self.runs.get(&id).filter(|run| run.idempotent)
            && let Some(attempt) = &run.attempt
        {
            cx.actions.push(Action::Send {
                target: attempt.target.clone(),
                message: ToAgent::Cancel {
                    attempt: attempt.id,
                },
            });
        }
        self.end_attempt(cx, id, end);
    }

    /// Queues a run again whose dispatch was lost with its connection. No target has worked on it,
    /// so it does not spend the retry budget.
    pub(crate) fn redispatch(&mut self, cx: &mut Context, id: RequestId) {
        if !self.remove_if_orphaned(cx, id) {
            self.enqueue(cx, id);
        }
    }

    /// Queues a run again if the retry budget allows it. The run is idempotent or known not to have
    /// been executed.
    pub(crate) fn retry(&mut self, cx: &mut Context, id: RequestId) {
        if self.remove_if_orphaned(cx, id) {
            return;
        }
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let budget = self
            .retry_budgets
            .entry(run.requirements.service.clone())
            .or_default();
        if budget.try_take(cx.now) {
            self.enqueue(cx, id);
            return;
        }
        run.phase = Phase::Delayed;
        self.set_timer(cx.now + BUDGET_POLL_MS, Timer::RetryBudget);
    }

    /// Removes a run that has no callers left. Returns whether it did.
    fn remove_if_orphaned(&mut self, cx: &Context, id: RequestId) -> bool {
        let is_orphaned = self.runs.get(&id).is_some_and(|run| run.waiters.is_empty());
        if is_orphaned {
            let state = self.final_claim_state(id);
            self.remove_run(cx.now, id, state);
        }
        is_orphaned
    }
}

fn dispatch_messages(
    cx: &Context,
    run: &Run,
    attempt: AttemptId,
    incarnation: Incarnation,
    granted_offset: u64,
) -> Vec<ToAgent> {
    let mut work = run.submission.work.clone();
    let body_bytes = work.body.len() as u64;
    let rest = if work.body.len() > BODY_FRAME_BYTES {
        work.body.split_off(BODY_FRAME_BYTES)
    } else {
        Vec::new()
    };
    let dispatch = Dispatch {
        attempt,
        incarnation,
        revision: run.service_config.revision,
        needs: run.requirements.needs.clone(),
        deadline_ms: run.deadline().saturating_duration_since(cx.now),
        priority: run.requirements.priority,
        idempotent: run.idempotent,
        credit_bytes: u32::try_from(granted_offset).unwrap_or(u32::MAX),
        work,
        body_bytes,
    };
    let mut messages = vec![ToAgent::Dispatch(Box::new(dispatch))];
    messages.extend(rest.chunks(BODY_FRAME_BYTES).map(|bytes| ToAgent::Body {
        attempt,
        bytes: bytes.to_vec(),
    }));
    messages
}
