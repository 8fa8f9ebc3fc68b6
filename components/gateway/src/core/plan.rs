//! Chooses the target, the step and the timeout of a request's next call.

use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use rand::Rng;
use rand::RngExt;
use types::Role;
use types::TargetName;

use crate::admission;
use crate::admission::LatencyEstimate;
use crate::core::Core;
use crate::core::PrefillReport;
use crate::core::RequestNumber;
use crate::core::active::ActiveRequest;
use crate::core::active::CurrentCall;
use crate::core::conclude::final_ending;
use crate::core::decision::CallOutcome;
use crate::core::decision::Decision;
use crate::core::decision::Ending;
use crate::core::decision::NextCall;
use crate::core::decision::RefusalCause;
use crate::deployment::EngineSpec;
use crate::deployment::RetryPolicy;
use crate::fleet::Load;
use crate::log_event::LogEvent;
use crate::placement;
use crate::placement::Placement;
use crate::placement::PlacementRequest;
use crate::protocol::Call;
use crate::protocol::Step;
use crate::protocol::Transfer;

/// Factor on the expected duration of a prefill that gives its timeout.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to that timeout, so that a target that stalls briefly does not time out.
const PREFILL_TIMEOUT_MARGIN_MS: f64 = 400.0;
/// Fraction of the time left after which an idempotent call times out if a retry can follow.
const IDEMPOTENT_TIMEOUT_FRACTION: f64 = 0.4;
/// `Retry-After` of requests for which no target was available.
pub(super) const NO_TARGET_RETRY_AFTER_MS: Duration = Duration::from_millis(500);

/// A call that was chosen but not yet started.
struct PlannedCall {
    target: TargetName,
    step: Step,
    head_timeout_ms: Duration,
    load: Load,
    expected_ms: f64,
    new_tokens: u64,
}

impl PlannedCall {
    /// A run without a prefill at its target.
    fn run(target: TargetName, transfer: Option<Transfer>, head_timeout_ms: Duration) -> Self {
        Self {
            target,
            step: Step::Run(transfer),
            head_timeout_ms,
            load: Load {
                prefill_ms: 0.0,
                runs: 1.0,
            },
            expected_ms: 0.0,
            new_tokens: 0,
        }
    }
}

impl Core {
    /// Starts the next call of a request, or ends the request if none is possible.
    pub(super) fn next_decision(&mut self, now: Instant, number: RequestNumber) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::End(Ending::Done);
        };
        let planned = match (self.check_parts(now, &mut active), active.engine) {
            (Err(ending), _) => Err(ending),
            (Ok(()), Some(spec)) => self.plan_model(now, &mut active, &spec),
            (Ok(()), None) => self.plan_plain(now, &active),
        };
        match planned.and_then(|planned| self.start_call(now, &mut active, planned)) {
            Ok(next) => {
                self.requests.insert(number, active);
                Decision::Call(Box::new(next))
            }
            Err(ending) => {
                let ending = if active.runs > 0 {
                    final_ending(&active)
                } else {
                    ending
                };
                self.finish(now, active, ending, &CallOutcome::Abandoned)
            }
        }
    }

    fn plan_plain(&mut self, now: Instant, active: &ActiveRequest) -> Result<PlannedCall, Ending> {
        self.record_demand(now, &active.service);
        let mut targets = self.fleet.usable(&active.service, active.builds(), now);
        if !active.trial.is_empty() {
            let has_crashed = |key| self.quarantine.has_crashed(key);
            placement::retain_trial_target(&mut targets, &active.tried_targets, has_crashed);
        }
        let draw = self.random.next_u64();
        let target = placement::choose_plain_target(
            &targets,
            &self.settings.data_centre,
            &active.tried_targets,
            draw,
        );
        let Some(target) = target else {
            return Err(self.no_target(now, active));
        };
        let has_retry_left = active.route.retry_policy == RetryPolicy::Idempotent
            && active.runs + 1 < active.route.attempt_limit
            && targets.len() > 1;
        let left = active.time_left(now);
        let head_timeout_ms = if has_retry_left {
            left.mul_f64(IDEMPOTENT_TIMEOUT_FRACTION)
        } else {
            left
        };
        Ok(PlannedCall::run(target, None, head_timeout_ms))
    }

    fn plan_model(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
        spec: &EngineSpec,
    ) -> Result<PlannedCall, Ending> {
        let request = active.request.clone();
        let Some(work) = &request.work else {
            return Err(self.no_target(now, active));
        };
        self.record_demand(now, &active.service);
        let may_transfer = self.is_within_budget(now, active, true);
        let mut targets = self.fleet.usable(&active.service, active.builds(), now);
        let placement_request = PlacementRequest {
            work,
            hashes: &active.hashes,
            tried_targets: &active.tried_targets,
            may_transfer,
        };
        if let Some(transfer) = active.transfer.take() {
            targets.extend(self.fleet.reserved(
                &active.service,
                active.builds(),
                active.reserved_call,
                now,
            ));
            // What one build has written into a KV cache does not fit another.
            let fits = AllowedBuilds::same_as(transfer.build.as_ref());
            targets.retain(|state| fits.allow(state.entry.build.as_ref()));
            let source = self.fleet.get(&transfer.source);
            let source = source.map_or(&self.settings.data_centre, |s| &s.entry.data_centre);
            let prefix_index = &self.fleet.prefix_index;
            let target = placement::choose_decode_engine(
                &targets,
                prefix_index,
                spec,
                &placement_request,
                source,
                now,
            );
            let Some(target) = target else {
                self.unused_transfers.push(transfer);
                return Err(self.no_target(now, active));
            };
            return Ok(PlannedCall::run(
                target,
                Some(transfer),
                active.time_left(now),
            ));
        }
        if !active.trial.is_empty() {
            targets.retain(|state| state.entry.role != Role::Prefill);
            let has_crashed = |key| self.quarantine.has_crashed(key);
            placement::retain_trial_target(&mut targets, &active.tried_targets, has_crashed);
        }
        let placement = placement::choose_first_engine(
            &targets,
            &self.fleet.prefix_index,
            spec,
            &placement_request,
            now,
        );
        let Some(placement) = placement else {
            return Err(self.no_target(now, active));
        };
        self.admit(now, active, &placement)?;
        let is_prefill = placement.role == Role::Prefill;
        if is_prefill {
            self.reserve_run(now, active);
        }
        let left = active.time_left(now);
        let head_timeout_ms = if is_prefill {
            let head_timeout_ms =
                placement.first_event_ms * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_MARGIN_MS;
            left.min(Duration::from_secs_f64(head_timeout_ms / 1e3))
        } else {
            left
        };
        Ok(PlannedCall {
            step: if is_prefill {
                Step::Prefill
            } else {
                Step::Run(None)
            },
            target: placement.target,
            head_timeout_ms,
            load: Load {
                prefill_ms: placement.prefill_ms,
                runs: 1.0,
            },
            expected_ms: placement.first_event_ms,
            new_tokens: placement.new_tokens,
        })
    }

    fn admit(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        placement: &Placement,
    ) -> Result<(), Ending> {
        let waited_ms = now.saturating_duration_since(active.received).as_secs_f64() * 1e3;
        let objective_ms = active.route.latency_objective_ms.as_secs_f64() * 1e3;
        let estimate = LatencyEstimate {
            first_event_ms: placement.first_event_ms,
            wait_ms: placement.wait_ms,
            events_ms: placement.events_ms,
            objective_left_ms: objective_ms - waited_ms,
            objective_ms,
            left_ms: active.time_left(now).as_secs_f64() * 1e3,
            event_timeout_left_ms: active.route.event_timeout_ms.as_secs_f64() * 1e3 - waited_ms,
        };
        if active.runs > 0 || admission::is_admitted(&estimate) {
            return Ok(());
        }
        let draw = self.random.random::<f64>();
        Err(Ending::Refuse {
            retry_after_ms: admission::retry_after(&estimate, draw),
            cause: RefusalCause::Busy,
        })
    }

    fn start_call(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
        planned: PlannedCall,
    ) -> Result<NextCall, Ending> {
        let Some(state) = self.fleet.get(&planned.target) else {
            return Err(no_target());
        };
        let (address, key) = (state.entry.address, state.key);
        let build = state.entry.build.clone();
        let (waiting_ms, running) = (state.wait_ms(now), state.load().runs);
        let needs_new_connection = state.health.is_on_trial();
        let is_prefill = planned.step == Step::Prefill;
        self.use_room(now, active, key, is_prefill);
        active.calls += 1;
        let retries = active.arrivals.missing_retries(is_prefill);
        self.reserve_retries(active, retries);
        self.fleet.add_load(now, &planned.target, planned.load);
        if active.engine.is_some() {
            self.fleet
                .record_prefill(&planned.target, &active.hashes, planned.new_tokens);
            self.prefill_reports.push(PrefillReport {
                key,
                hashes: active.hashes.clone(),
                tokens: planned.new_tokens,
            });
        }
        let step = match &planned.step {
            Step::Prefill => "prefill",
            Step::Run(None) => "run",
            Step::Run(Some(_)) => "run-after-transfer",
        };
        self.log_events.push(LogEvent::TargetCalled {
            request: active.request.id.clone(),
            target: planned.target.clone(),
            build: build.clone(),
            step,
            call: active.calls,
            expected_ms: rounded(planned.expected_ms),
            waiting_ms: rounded(waiting_ms),
            running: rounded(running),
            new_tokens: planned.new_tokens,
            service: active.service.clone(),
            retries,
        });
        let transfer = match &planned.step {
            Step::Run(transfer) => transfer.clone(),
            Step::Prefill => None,
        };
        active.current = Some(CurrentCall {
            target: planned.target.clone(),
            key,
            address,
            build,
            load: planned.load,
            started: now,
            waiting_ms,
            is_prefill,
            step,
            transfer,
            has_begun: false,
        });
        Ok(NextCall {
            call: Call {
                step: planned.step,
                target: planned.target,
                time_left_ms: active.time_left(now),
                priority: active.route.priority.min(9),
                resume_after: active.last_event.clone(),
            },
            address,
            head_timeout_ms: planned.head_timeout_ms,
            needs_new_connection,
        })
    }
}

pub(super) fn no_target() -> Ending {
    Ending::Refuse {
        retry_after_ms: NO_TARGET_RETRY_AFTER_MS,
        cause: RefusalCause::NoTarget,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // for logs; saturates
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
