//! Admission of a request.

use std::time::Instant;

use smallvec::smallvec;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::Submission;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Summary;
use crate::answer::Answer;
use crate::event::Terms;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;
use crate::refusal::not_run;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;
use crate::run::Run;
use crate::run::Waiter;
use crate::run::need_of;

impl Requests {
    pub(crate) fn submitted(
        &mut self,
        cx: &mut Context,
        request: RequestId,
        submission: Submission,
        terms: Terms,
    ) {
        if let Some(refusal) = self.unacceptable(&submission, &terms) {
            refuse_at_once(cx, request, &submission, refusal);
            return;
        }
        let idempotent = submission.work.method.is_idempotent() || terms.profile.idempotent;
        if !idempotent {
            let refusal = not_run(RefusalReason::StoreUnavailable, Some(RETRY_MS), "no claim");
            refuse_at_once(cx, request, &submission, refusal);
            return;
        }
        let run = new_run(cx.now, request, submission, terms, idempotent);
        self.admit(cx, run);
    }

    fn unacceptable(&self, submission: &Submission, terms: &Terms) -> Option<Refusal> {
        let profile = &terms.profile;
        let work = &submission.work;
        if self.leaving {
            let detail = "this entry is stopping; send the request again";
            return Some(not_run(RefusalReason::Leaving, Some(RETRY_MS), detail));
        }
        if work.body.len() as u64 > profile.body_limit_bytes {
            let detail = "the body is longer than the profile's body_limit_bytes";
            return Some(not_run(RefusalReason::BadRequest, None, detail));
        }
        if work.max_output_tokens > profile.output_limit_tokens {
            let detail = "max_tokens is above the profile's output_limit_tokens";
            return Some(not_run(RefusalReason::BadRequest, None, detail));
        }
        None
    }

    /// Takes a run into the books and into its queue.
    fn admit(&mut self, cx: &mut Context, run: Run) {
        let id = run.id;
        let service = run.need.service.clone();
        for waiter in &run.waiters {
            self.waiting.insert(waiter.request, id);
            self.timers
                .insert((waiter.deadline, Timer::Deadline(waiter.request)));
        }
        self.budgets
            .entry(service)
            .or_default()
            .count_request(cx.now);
        self.runs.insert(id, run);
        self.enqueue(cx, id);
    }

    /// Puts a run into the queue of its profile, or refuses it if it cannot be served from there.
    pub(crate) fn enqueue(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.phase = Phase::Queued;
        let key = (run.need.service.clone(), run.terms.profile.name.clone());
        let queue = self.queues.entry(key).or_default();
        let (priority, deadline) = (run.need.priority, run.need.deadline);
        let first_try = run.attempts == 0;
        let limit = run.terms.profile.queue_limit.max(1) as usize;
        let wait = queue.expected_wait(priority, deadline);
        if first_try && (queue.len() >= limit || cx.now + wait >= deadline) {
            let detail = "too many requests wait for this service";
            let retry = wait.max(RETRY_MS);
            let refusal = Ending::new(RefusalReason::Overloaded, Some(retry), detail);
            self.refuse(cx, id, &refusal);
            return;
        }
        queue.push(cx.now, id, priority, deadline, run.accepted);
        self.pump_due = true;
    }
}

fn new_run(
    now: Instant,
    request: RequestId,
    submission: Submission,
    terms: Terms,
    idempotent: bool,
) -> Run {
    let limit = terms.profile.deadline_ms;
    let deadline = now + submission.deadline_ms.map_or(limit, |ms| ms.min(limit));
    Run {
        id: request,
        need: need_of(&submission, &terms, deadline),
        submission,
        terms,
        idempotent,
        waiters: smallvec![new_waiter(now, request, deadline)],
        phase: Phase::Queued,
        attempts: 0,
        tried: smallvec![],
        attempt: None,
        answer: Answer::default(),
        accepted: now,
        touched: false,
    }
}

fn new_waiter(now: Instant, request: RequestId, deadline: Instant) -> Waiter {
    Waiter {
        request,
        accepted: now,
        deadline,
        head_sent: false,
        sent: 0,
        consumed: 0,
        first_byte_ms: None,
    }
}

/// Refuses a request that never got into the books.
pub(crate) fn refuse_at_once(
    cx: &mut Context,
    request: RequestId,
    submission: &Submission,
    refusal: Refusal,
) {
    let summary = Summary {
        service: submission.work.service.clone(),
        outcome: Outcome::Refused(refusal.reason),
        targets: Vec::new(),
        first_byte_ms: None,
        total_ms: std::time::Duration::ZERO,
        usage: types::Usage::default(),
    };
    let reply = Reply::Refused(refusal);
    cx.actions.push(Action::Reply { request, reply });
    cx.actions.push(Action::Settled { request, summary });
}
