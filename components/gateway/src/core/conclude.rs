//! Updates a target's health and a request's state when a call ends.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use types::TargetName;

use crate::core::Core;
use crate::core::MIN_CALL_MS;
use crate::core::RequestNumber;
use crate::core::active::ActiveRequest;
use crate::core::active::CurrentCall;
use crate::core::decision::CallOutcome;
use crate::core::decision::Decision;
use crate::core::decision::Ending;
use crate::core::decision::RefusalCause;
use crate::core::millis;
use crate::core::plan;
use crate::deployment::RetryPolicy;
use crate::fleet::TargetKey;
use crate::log_event::LogEvent;
use crate::protocol::Transfer;
use crate::speed;

/// Minimum time without an answer that counts as a failure of the target. The data sheets give
/// plain requests about ten milliseconds of work.
const MIN_FAILURE_TIMEOUT_MS: Duration = Duration::from_millis(500);

/// Maximum time after which a lost answer counts as a reset by the target. Later it may be a timeout
/// of the connection, through the fault of this host; keepalive probes take 2.1 s.
const MAX_RESET_MS: Duration = Duration::from_secs(1);

impl Core {
    /// Records the end of a call and returns what to do next.
    pub fn call_ended(
        &mut self,
        now: Instant,
        number: RequestNumber,
        outcome: CallOutcome,
    ) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::End(Ending::Done);
        };
        let mut call = active.current.take();
        if let Some(call) = &mut call {
            if matches!(outcome, CallOutcome::Prefilled(_)) {
                call.prefill_finished(now, &mut self.fleet);
                self.record_live_process(now, call);
            }
            self.fleet
                .remove_load(now, &call.target, call.key, call.load);
            self.record_outcome(now, &active, call, &outcome);
            self.record_lost_run(now, &active, call, &outcome);
            if matches!(outcome, CallOutcome::Failed { .. }) {
                self.record_sound(now, &active, call);
            }
        }
        let ending = self.update_request(now, &mut active, call, &outcome);
        if let Some(ending) = ending {
            return self.finish(now, active, ending, &outcome);
        }
        self.requests.insert(number, active);
        self.next_decision(now, number)
    }

    /// Updates the health of the call's target and logs the outcome.
    fn record_outcome(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        call: &CurrentCall,
        outcome: &CallOutcome,
    ) {
        let took = now.saturating_duration_since(call.started);
        // What an earlier process did says nothing of the one that has its name now.
        if self.fleet.is_running(&call.target, call.key) {
            self.record_health(now, active, call, outcome, took);
        }
        if matches!(
            outcome,
            CallOutcome::Answered { .. } | CallOutcome::Abandoned
        ) {
            return;
        }
        self.log_events.push(LogEvent::CallEnded {
            request: active.request.id.clone(),
            target: call.target.clone(),
            step: call.step,
            kind: outcome.label(),
            outcome: outcome.text(call.has_begun),
            took_ms: millis(took),
        });
    }

    fn record_health(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        call: &CurrentCall,
        outcome: &CallOutcome,
        took: Duration,
    ) {
        let target = &call.target;
        if outcome.is_answered() {
            self.fleet.record_answer(target);
        }
        match outcome {
            CallOutcome::Prefilled(_) => self.fleet.record_success(target),
            CallOutcome::Answered { status } if *status < 500 => self.fleet.record_success(target),
            CallOutcome::NotRun {
                is_other_process: true,
                ..
            } => self.report_unreachable(now, call),
            // The fault may be on this host, so peers are not told.
            CallOutcome::NotSent { .. } => {
                self.set_unreachable(now, target);
            }
            // The route may give the request less time than its work takes.
            CallOutcome::TimedOut if call.has_begun || took < MIN_FAILURE_TIMEOUT_MS => {}
            CallOutcome::Answered { .. }
            | CallOutcome::Failed { .. }
            | CallOutcome::AnswerLost { .. }
            | CallOutcome::Broken { .. }
            | CallOutcome::HeadTimedOut
            | CallOutcome::TimedOut => {
                let change = self.fleet.record_failure(now, target);
                self.log_target_change(target.clone(), change);
                if self.has_stopped_serving(active, call, took, outcome) {
                    self.report_unreachable(now, call);
                }
            }
            CallOutcome::NotRun { .. } | CallOutcome::Cancelled | CallOutcome::Abandoned => {}
        }
    }

    /// Whether a call failed as it does at a target whose process is gone: on a new connection
    /// before an engine could have answered, or on several new connections in a row.
    fn has_stopped_serving(
        &mut self,
        active: &ActiveRequest,
        call: &CurrentCall,
        took: Duration,
        outcome: &CallOutcome,
    ) -> bool {
        let CallOutcome::AnswerLost {
            is_new_connection: true,
            ..
        } = outcome
        else {
            return false;
        };
        if took > MAX_RESET_MS {
            return false;
        }
        let is_one_of_several = self.fleet.record_lost_connection(&call.target);
        let is_before_any_answer =
            active.engine.is_some() && took.as_secs_f64() * 1e3 < speed::FIRST_EVENT_MS;
        is_one_of_several || is_before_any_answer
    }

    /// Takes a target out of use, and tells the peers unless it was out of use already.
    fn report_unreachable(&mut self, now: Instant, call: &CurrentCall) {
        if self.set_unreachable(now, &call.target) {
            self.unreachable_reports.push(call.key);
        }
    }

    /// Takes a target out of use. Returns whether it was in use.
    fn set_unreachable(&mut self, now: Instant, target: &TargetName) -> bool {
        let draw = self.random.random();
        let change = self.fleet.record_unreachable(now, target, draw);
        let was_in_use = change.is_some();
        self.log_target_change(target.clone(), change);
        was_in_use
    }

    /// Applies a peer's report that a target does not take calls.
    pub fn peer_reports_unreachable(&mut self, now: Instant, key: TargetKey) {
        let draw = self.random.random();
        if let Some((target, change)) = self.fleet.record_report(now, key, draw) {
            self.log_target_change(target, Some(change));
        }
    }

    /// Updates the request after a call; `Some` if the outcome ends it.
    fn update_request(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
        call: Option<CurrentCall>,
        outcome: &CallOutcome,
    ) -> Option<Ending> {
        let is_run = call.as_ref().is_some_and(|call| !call.is_prefill);
        self.count_arrival(now, active, outcome);
        let target = call.as_ref().map(|call| call.target.clone());
        let mut call = call;
        let transfer = call.as_mut().and_then(|call| call.transfer.take());
        if is_run
            && !matches!(
                outcome,
                CallOutcome::NotRun { .. } | CallOutcome::NotSent { .. }
            )
        {
            active.runs += 1;
        } else if matches!(outcome, CallOutcome::NotSent { .. }) {
            // The KV cache is where it was, and another engine may take it.
            active.transfer = transfer;
        } else if let Some(transfer) = transfer {
            // The engine may still hold the KV cache, but a second transfer would rarely succeed.
            self.unused_transfers.push(transfer);
        }
        match outcome {
            CallOutcome::Answered { .. } | CallOutcome::Abandoned => return Some(Ending::Done),
            CallOutcome::TimedOut => {
                return Some(Ending::Fail {
                    status: 504,
                    detail: "no answer before the request's deadline",
                });
            }
            CallOutcome::Prefilled(result) => {
                active.transfer = call.map(|call| Transfer {
                    source: call.target,
                    process: call.key,
                    address: call.address,
                    build: call.build,
                    handle: result.handle.clone(),
                });
                return None;
            }
            CallOutcome::Broken { last_event, .. } => {
                if last_event.is_some() {
                    active.last_event.clone_from(last_event);
                }
            }
            CallOutcome::NotRun { .. }
            | CallOutcome::NotSent { .. }
            | CallOutcome::AnswerLost { .. }
            | CallOutcome::Failed { .. }
            | CallOutcome::Cancelled
            | CallOutcome::HeadTimedOut => {}
        }
        active.tried_targets.extend(target);
        let can_resume =
            active.route.retry_policy == RetryPolicy::Resumable && active.last_event.is_some();
        let is_suspect = active.runs > 0 && !active.has_begun() && self.is_crash_suspect(active);
        let is_over = is_suspect
            || !active.may_run_again()
            || active.time_left(now) < MIN_CALL_MS
            || (active.has_begun() && !can_resume);
        if !is_over && self.is_within_budget(now, active, false) {
            return None;
        }
        Some(final_ending(active))
    }
}

/// How a request ends that gets no further call.
pub(super) fn final_ending(active: &ActiveRequest) -> Ending {
    if active.runs > 0 {
        return Ending::Fail {
            status: 502,
            detail: "the target's answer was lost; the request may have run",
        };
    }
    Ending::Refuse {
        retry_after_ms: plan::NO_TARGET_RETRY_AFTER_MS,
        cause: RefusalCause::Rejected,
    }
}
