//! Admission, routing, attempts, resends and outcomes of calls at the entries.

use std::time::Duration;

use planner::AttemptOutcome;
use planner::RequestWork;
use rand::RngExt;
use request::AttemptResult;
use request::Choice;
use request::Requirements;
use types::AttemptId;
use types::LoadedModel;
use types::ServiceKind;
use types::TargetName;

use super::SERVICE;
use super::Simulation;
use super::call_index;
use super::engine_index;
use super::event::AttemptUpdate;
use super::event::Event;
use crate::outcome::Outcome;
use crate::policy::RolePolicy;
use crate::policy::Routing;
use crate::scenario::PIECE_TOKENS;
use crate::scenario::SubScenario;

/// Interval at which an entry tries to route its waiting calls again.
const QUEUE_RETRY_MS: Duration = Duration::from_millis(20);
/// Limit on the attempts of one submission.
const ATTEMPT_LIMIT: u32 = 3;
/// Limit on how often a caller sends a call again, in [`SubScenario::Resends`].
const RESEND_LIMIT: u32 = 3;

impl Simulation<'_> {
    pub(super) fn call_arrived(&mut self, call: usize) {
        let deadline = self.calls[call].deadline;
        self.schedule(deadline.saturating_sub(self.now), Event::Deadline(call));
        self.call_states[call].submitted_at = self.now;
        self.schedule_resend(call);
        self.submit(call);
    }

    /// Admits and routes a call that has arrived, was sent again or whose attempt failed.
    pub(super) fn submit(&mut self, call: usize) {
        let (now, entry) = (self.instant(), self.calls[call].entry);
        let (class, priority) = (self.calls[call].class, self.class_of(call).priority);
        let deadline = self.effective_deadline(call);
        let admission = &mut self.entries[entry].admission;
        if !admission.push(now, call, class, priority, deadline) {
            self.refuse(call);
            return;
        }
        self.route_waiting(entry);
    }

    /// Routes a call; returns false if it has to wait because no target is free.
    pub(super) fn try_route(&mut self, call: usize) -> bool {
        let entry = self.calls[call].entry;
        let effective_deadline = self.effective_deadline(call);
        let requirements = Requirements {
            deadline: effective_deadline,
            expected_hang_up: self.expected_hang_up(call),
            ..self.requirements_of(call)
        };
        let now = self.instant();
        let failed = self.call_states[call].failed_targets.clone();
        let choice = self.entries[entry]
            .routing
            .router()
            .choose(now, &requirements, &failed);
        match choice {
            Choice::Target {
                target, finish_ms, ..
            } => {
                let class = self.calls[call].class;
                self.entries[entry]
                    .admission
                    .record_dispatch(now, call, class, finish_ms);
                self.dispatch(call, &target, &requirements);
                true
            }
            Choice::Wait { .. } => false,
            Choice::Infeasible { retry_ms } => {
                let finish_ms = effective_deadline
                    .saturating_duration_since(now)
                    .saturating_add(retry_ms);
                let class = self.calls[call].class;
                self.entries[entry]
                    .admission
                    .record_infeasible(class, finish_ms);
                self.leave_queue(call);
                self.refuse(call);
                true
            }
            Choice::Never => {
                self.leave_queue(call);
                self.refuse(call);
                true
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        call: usize,
        target: &TargetName,
        requirements: &Requirements,
    ) {
        let now = self.instant();
        let entry = self.calls[call].entry;
        let engine = engine_index(target);
        let call_state = &mut self.call_states[call];
        call_state.attempts += 1;
        let attempt = AttemptId {
            request: call as u128,
            number: call_state.attempts,
        };
        call_state.attempt = Some((attempt, engine));
        let routing = &mut self.entries[entry].routing;
        routing
            .router()
            .attempt_dispatched(now, target, attempt, requirements);
        if entry == 0 {
            let size = match routing {
                Routing::Fleet(fleet) => fleet.size_of(attempt).unwrap_or_default(),
                Routing::Baseline(_) => routing::Size::default(),
            };
            match &mut self.role_policy {
                RolePolicy::None => {}
                RolePolicy::Planner(planner) => {
                    let until = requirements
                        .expected_hang_up
                        .unwrap_or(requirements.deadline)
                        .min(requirements.deadline);
                    let work = RequestWork::new(size, until.saturating_duration_since(now));
                    planner.dispatched(now, attempt, &work);
                }
                RolePolicy::Threshold(threshold) => {
                    let (prefill, decode) = (size.prefill_tokens, size.decode_tokens);
                    let class = threshold.mix.class(prefill, decode);
                    threshold.mix.add(now, class, prefill, decode);
                }
            }
        }
        self.record.attempts += 1;
        self.schedule(
            self.one_way_latency(entry, engine),
            Event::AttemptArrived { attempt, engine },
        );
    }

    pub(super) fn apply_update(&mut self, entry: usize, engine: usize, update: AttemptUpdate) {
        let (attempt, result) = match update {
            AttemptUpdate::FirstToken(attempt) => {
                if self.is_current(attempt) {
                    let delay = self.now.saturating_sub(self.calls[call_index(attempt)].at);
                    let first = delay + 2 * self.scenario.distance_to_callers_ms;
                    self.record.record_first_token(call_index(attempt), first);
                }
                return;
            }
            AttemptUpdate::Completed(attempt, usage) => (attempt, AttemptResult::Answered(usage)),
            AttemptUpdate::Failed(attempt) => (attempt, AttemptResult::Failed),
            AttemptUpdate::Rejected(attempt) => (attempt, AttemptResult::Rejected),
        };
        if !self.is_current(attempt) {
            return;
        }
        self.settle(entry, engine, attempt, result);
        let call = call_index(attempt);
        if let AttemptResult::Answered(usage) = result {
            let shared = self.class_of(call).shared_pieces * PIECE_TOKENS;
            self.record.shared_tokens += u64::from(shared);
            self.record.cached_tokens += u64::from(usage.cached_tokens);
            let (now, class) = (self.instant(), self.calls[call].class);
            let after_ms = self.now.saturating_sub(self.call_states[call].submitted_at);
            self.entries[entry]
                .admission
                .record_answer(now, class, after_ms);
            self.end(call, Outcome::Answered);
        } else if self.call_states[call].attempts >= ATTEMPT_LIMIT {
            self.end(call, Outcome::Failed);
        } else {
            let name = self.hosts[engine].target.name.clone();
            self.call_states[call].failed_targets.push(name);
            self.submit(call);
        }
        self.route_waiting(entry);
    }

    pub(super) fn settle(
        &mut self,
        entry: usize,
        engine: usize,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let now = self.instant();
        let name = self.hosts[engine].target.name.clone();
        let router = self.entries[entry].routing.router();
        router.attempt_ended(now, &name, attempt, result);
        self.call_states[call_index(attempt)].attempt = None;
        if entry == 0
            && let RolePolicy::Planner(planner) = &mut self.role_policy
        {
            let outcome = match result {
                AttemptResult::Answered(usage) => AttemptOutcome::Answered(usage),
                AttemptResult::Rejected | AttemptResult::Failed => AttemptOutcome::Retried,
                AttemptResult::Cancelled => AttemptOutcome::Incomplete,
            };
            planner.settled(now, attempt, outcome);
        }
    }

    /// Tries to route the waiting calls in order.
    pub(super) fn route_waiting(&mut self, entry: usize) {
        // A class for which no target is free does not block the others.
        let mut blocked = [false; 3];
        let now = self.instant();
        while let Some((call, class)) = self.entries[entry].admission.next(now, blocked) {
            if self.try_route(call) {
                continue;
            }
            blocked[class] = true;
            for call in self.entries[entry].admission.overdue(now, class) {
                self.leave_queue(call);
                self.refuse(call);
            }
        }
        if !self.entries[entry].admission.is_empty() {
            self.schedule_queue_retry(entry);
        }
    }

    fn effective_deadline(&mut self, call: usize) -> std::time::Instant {
        let now = self.instant();
        let (entry, class) = (self.calls[call].entry, self.calls[call].class);
        let deadline = self.start + self.calls[call].deadline;
        let submitted_at = self.start + self.call_states[call].submitted_at;
        let admission = &mut self.entries[entry].admission;
        admission.effective_deadline(now, class, submitted_at, deadline)
    }

    fn expected_hang_up(&mut self, call: usize) -> Option<std::time::Instant> {
        let now = self.instant();
        let (entry, class) = (self.calls[call].entry, self.calls[call].class);
        let submitted_at = self.start + self.call_states[call].submitted_at;
        self.entries[entry]
            .admission
            .expected_hang_up(now, class, submitted_at)
    }

    fn leave_queue(&mut self, call: usize) {
        let (now, class) = (self.instant(), self.calls[call].class);
        let entry = self.calls[call].entry;
        self.entries[entry].admission.remove(now, call, class);
    }

    pub(super) fn refuse(&mut self, call: usize) {
        self.add_refused_demand(call);
        let waited_ms = self.now.saturating_sub(self.call_states[call].submitted_at);
        self.record.refusal_waits_ms.push(waited_ms);
        if self.sub_scenario == SubScenario::Resends
            && self.call_states[call].resends < RESEND_LIMIT
        {
            self.call_states[call].resends += 1;
            let resend = self.call_states[call].resends;
            let pause = Duration::from_millis(self.rng.random_range(50..500));
            self.schedule(pause, Event::Resend { call, resend });
            return;
        }
        self.end(call, Outcome::Refused);
    }

    /// Adds a refused call to the demand that role changes are based on.
    fn add_refused_demand(&mut self, call: usize) {
        let (now, requirements) = (self.instant(), self.requirements_of(call));
        let until = self.expected_hang_up(call).unwrap_or(requirements.deadline);
        let wait_limit_ms = until
            .min(requirements.deadline)
            .saturating_duration_since(now);
        let entry = self.calls[call].entry;
        let Routing::Fleet(fleet) = &self.entries[entry].routing else {
            return;
        };
        if entry != 0 {
            return;
        }
        let size = fleet.size_for(&requirements);
        let (prefill, decode) = (size.prefill_tokens, size.decode_tokens);
        match &mut self.role_policy {
            RolePolicy::None => {}
            RolePolicy::Planner(planner) => {
                planner.refused(now, &RequestWork::new(size, wait_limit_ms));
            }
            RolePolicy::Threshold(threshold) => {
                let class = threshold.mix.class(prefill, decode);
                threshold.mix.add(now, class, prefill, decode);
            }
        }
    }

    pub(super) fn schedule_resend(&mut self, call: usize) {
        if self.sub_scenario == SubScenario::Resends {
            let resend = self.call_states[call].resends + 1;
            let patience_ms = self.class_of(call).patience_ms;
            self.schedule(patience_ms, Event::Resend { call, resend });
        }
    }

    /// Handles a caller that hangs up, or was refused, and sends the same call again.
    pub(super) fn resend_call(&mut self, call: usize, resend: u32) {
        let call_state = &mut self.call_states[call];
        let is_after_refusal = call_state.resends == resend;
        let is_outdated = call_state.resends >= resend && !is_after_refusal;
        if call_state.has_ended || is_outdated || resend > RESEND_LIMIT {
            return;
        }
        call_state.resends = resend;
        call_state.attempts = 0;
        call_state.failed_targets.clear();
        let submitted_at = std::mem::replace(&mut call_state.submitted_at, self.now);
        if !is_after_refusal {
            let (now, class) = (self.instant(), self.calls[call].class);
            let after_ms = self.now.saturating_sub(submitted_at);
            let entry = self.calls[call].entry;
            self.entries[entry]
                .admission
                .record_hang_up(now, class, after_ms);
        }
        self.cancel_work(call);
        self.record.resends += 1;
        self.schedule_resend(call);
        self.submit(call);
    }

    pub(super) fn end(&mut self, call: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.call_states[call].has_ended, true) {
            return;
        }
        self.cancel_work(call);
        self.record.record_end(call, self.now, outcome);
    }

    /// Removes a call from the queue and cancels its attempt.
    pub(super) fn cancel_work(&mut self, call: usize) {
        self.leave_queue(call);
        let entry = self.calls[call].entry;
        if let Some((attempt, engine)) = self.call_states[call].attempt {
            self.settle(entry, engine, attempt, AttemptResult::Cancelled);
            let delay = self.one_way_latency(entry, engine);
            self.schedule(delay, Event::CancelArrived { attempt, engine });
        }
    }

    pub(super) fn requirements_of(&self, call: usize) -> Requirements {
        let class = self.class_of(call);
        let call = &self.calls[call];
        Requirements {
            service: SERVICE.into(),
            kind: ServiceKind::Model,
            needs: LoadedModel::default(),
            priority: class.priority,
            prompt_tokens: call.prompt_tokens,
            max_output_tokens: call.max_output_tokens,
            prefixes: call.prefixes.clone(),
            deadline: self.start + call.deadline,
            expected_hang_up: None,
            concurrency_limit: class.concurrency_limit,
            cache_affinity: 1.0,
        }
    }

    pub(super) fn class_of(&self, call: usize) -> &crate::scenario::Class {
        &self.scenario.classes[self.calls[call].class]
    }

    pub(super) fn is_current(&self, attempt: AttemptId) -> bool {
        let call_state = &self.call_states[call_index(attempt)];
        call_state
            .attempt
            .is_some_and(|(current, _)| current == attempt)
    }

    pub(super) fn schedule_queue_retry(&mut self, entry: usize) {
        if !std::mem::replace(&mut self.entries[entry].has_scheduled_retry, true) {
            self.schedule(QUEUE_RETRY_MS, Event::QueueRetry(entry));
        }
    }
}
