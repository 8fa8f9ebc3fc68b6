//! Admission of requests: limits, idempotency keys, resends and queueing.

use std::time::Duration;
use std::time::Instant;

use smallvec::smallvec;
use types::KeylessPolicy;
use types::Refusal;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Submission;
use types::Usage;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Summary;
use crate::answer::Answer;
use crate::claim::KEYLESS_PREFIX;
use crate::claim::claim_key;
use crate::claim::work_digest;
use crate::claims::key_reused;
use crate::event::ServiceConfig;
use crate::outcomes::not_retained;
use crate::outcomes::refusal_in;
use crate::parts;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::refusal::not_run;
use crate::replay::replay_limit_reached;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Claim;
use crate::run::Phase;
use crate::run::Run;
use crate::run::Waiter;
use crate::run::requirements_for;

impl Requests {
    pub(crate) fn submitted(
        &mut self,
        cx: &mut Context,
        request: RequestId,
        submission: Submission,
        service_config: ServiceConfig,
    ) {
        if let Some(refusal) = self.admission_refusal(&submission, &service_config) {
            refuse_unregistered(cx, request, &submission, refusal);
            return;
        }
        let idempotent =
            submission.work.method.is_idempotent() || service_config.profile.idempotent;
        let mut run = new_run(cx.now, request, submission, service_config, idempotent);
        if !idempotent {
            match self.prepare_claim(cx, &run) {
                Some(claim) => {
                    // No resend can find a run that has a generated key.
                    if claim.has_key {
                        run.answer = Answer::retaining(&self.retained_budget);
                    }
                    run.claim = Some(claim);
                }
                None => return,
            }
        }
        self.admit(cx, run);
    }

    /// Claim of a new run; `None` if the request was answered at once or joined another run.
    fn prepare_claim(&mut self, cx: &mut Context, run: &Run) -> Option<Claim> {
        let submission = &run.submission;
        let digest = work_digest(submission);
        let Some(key) = &submission.key else {
            if run.service_config.profile.keyless == KeylessPolicy::Refuse {
                let detail = "the request is not idempotent; send an Idempotency-Key";
                let refusal = not_run(RefusalReason::KeyRequired, None, detail);
                refuse_unregistered(cx, run.id, submission, refusal);
                return None;
            }
            let key = format!("{KEYLESS_PREFIX}{:032x}", self.tokens.next());
            return Some(new_claim(key, digest, false));
        };
        let key = claim_key(submission, key);
        if let Some(&existing) = self.runs_by_key.get(&key) {
            self.join_run(cx, existing, run, &digest);
            return None;
        }
        if self.answer_from_memory(cx, run.id, submission, &key, &digest) {
            return None;
        }
        Some(new_claim(key, digest, true))
    }

    /// Adds a resend to the run of an earlier submission.
    fn join_run(&mut self, cx: &mut Context, id: RequestId, resend: &Run, digest: &str) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let submission = &resend.submission;
        if run
            .claim
            .as_ref()
            .is_some_and(|claim| claim.digest != digest)
        {
            let refusal = key_reused().refusal(RunState::NotRun);
            refuse_unregistered(cx, resend.id, submission, refusal);
            return;
        }
        if run.answer.retained().is_none() {
            let refusal = not_retained().refusal(RunState::Unknown);
            refuse_unregistered(cx, resend.id, submission, refusal);
            return;
        }
        let length = run.answer.retained().map_or(0, <[u8]>::len);
        if !self.replays.reserve(resend.id, length) {
            let refusal = replay_limit_reached().refusal(RunState::Unknown);
            refuse_unregistered(cx, resend.id, submission, refusal);
            return;
        }
        let deadline = resend.requirements.deadline;
        run.requirements.deadline = run.requirements.deadline.max(deadline);
        run.waiters.push(new_waiter(cx.now, resend.id, deadline));
        self.runs_by_caller.insert(resend.id, id);
        self.set_timer(deadline, Timer::Deadline(resend.id));
        self.replay_to(cx, id, resend.id);
    }

    fn admission_refusal(
        &self,
        submission: &Submission,
        service_config: &ServiceConfig,
    ) -> Option<Refusal> {
        let profile = &service_config.profile;
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

    /// Registers a run, and reads its claim or queues it.
    fn admit(&mut self, cx: &mut Context, run: Run) {
        let id = run.id;
        let service = run.requirements.service.clone();
        for waiter in &run.waiters {
            self.runs_by_caller.insert(waiter.request, id);
            self.timers
                .insert((waiter.deadline, Timer::Deadline(waiter.request)));
        }
        self.retry_budgets
            .entry(service)
            .or_default()
            .count_request(cx.now);
        let claim = run.claim.as_ref();
        let key = claim.filter(|claim| claim.has_key).map(|c| c.key.clone());
        self.runs.insert(id, run);
        match key {
            Some(key) => {
                self.runs_by_key.insert(key, id);
                self.read_claim(cx, id);
            }
            None => self.enqueue(cx, id),
        }
    }

    /// Adds a run to the queue of its profile. A new run is refused if the queue is full or the
    /// expected wait exceeds its deadline.
    pub(crate) fn enqueue(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.phase = Phase::Queued;
        let key = (
            run.requirements.service.clone(),
            run.service_config.profile.name.clone(),
        );
        let queue = self.queues.entry(key).or_default();
        let (priority, mut deadline) = (run.requirements.priority, run.requirements.deadline);
        if run.idempotent {
            deadline = queue.effective_deadline(cx.now, run.accepted, deadline);
        }
        let first_try = run.attempt_no == 0;
        let limit = run.service_config.profile.queue_limit.max(1) as usize;
        let lateness = queue.expected_lateness(cx.now, priority, deadline);
        if first_try && (queue.len() >= limit || lateness.is_some()) {
            let detail = "too many requests are queued for this service";
            let retry = lateness.unwrap_or_default().max(RETRY_MS);
            let cause = RefusalCause::new(RefusalReason::Overloaded, Some(retry), detail);
            self.refuse(cx, id, &cause);
            return;
        }
        queue.push(cx.now, id, priority, deadline, run.accepted);
        self.is_dispatch_due = true;
    }
}

fn new_run(
    now: Instant,
    request: RequestId,
    submission: Submission,
    service_config: ServiceConfig,
    idempotent: bool,
) -> Run {
    let limit = service_config.profile.deadline_ms;
    let deadline = now + submission.deadline_ms.map_or(limit, |ms| ms.min(limit));
    Run {
        id: request,
        requirements: requirements_for(&submission, &service_config, deadline),
        possible_causes: parts::possible_causes(&submission),
        submission,
        service_config,
        idempotent,
        waiters: smallvec![new_waiter(now, request, deadline)],
        phase: Phase::Queued,
        attempt_no: 0,
        counted_attempts: 0,
        tried_targets: smallvec![],
        history: smallvec![],
        attempt: None,
        answer: Answer::default(),
        claim: None,
        accepted: now,
        store_deadline: None,
        may_have_executed: false,
        trial_parts: smallvec![],
    }
}

fn new_claim(key: String, digest: String, has_key: bool) -> Claim {
    Claim {
        key,
        digest,
        version: 0,
        current_row: None,
        has_key,
        resolutions: 0,
    }
}

fn new_waiter(now: Instant, request: RequestId, deadline: Instant) -> Waiter {
    Waiter {
        request,
        accepted: now,
        deadline,
        is_head_sent: false,
        sent: 0,
        consumed: 0,
        first_byte_ms: None,
    }
}

/// Refuses a request that was not registered as a run.
pub(crate) fn refuse_unregistered(
    cx: &mut Context,
    request: RequestId,
    submission: &Submission,
    refusal: Refusal,
) {
    reply_unregistered(cx, request, submission, vec![Reply::Refused(refusal)]);
}

/// Answers a request that was not registered as a run.
pub(crate) fn reply_unregistered(
    cx: &mut Context,
    request: RequestId,
    submission: &Submission,
    replies: Vec<Reply>,
) {
    let outcome = match refusal_in(&replies) {
        Some(refusal) => Outcome::Refused(refusal.reason),
        None => Outcome::Answered,
    };
    let summary = Summary {
        service: submission.work.service.clone(),
        outcome,
        attempts: Vec::new(),
        first_byte_ms: None,
        total_ms: Duration::ZERO,
        usage: Usage::default(),
    };
    for reply in replies {
        cx.actions.push(Action::Reply { request, reply });
    }
    cx.actions.push(Action::Settled { request, summary });
}
