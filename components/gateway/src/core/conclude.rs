//! What the end of a call means for its target and its request.

use std::time::Duration;
use std::time::Instant;

use crate::core::Core;
use crate::core::LEAST_CALL_MS;
use crate::core::RequestNumber;
use crate::core::active::Active;
use crate::core::active::Current;
use crate::core::decision::Decision;
use crate::core::decision::Ending;
use crate::core::decision::Outcome;
use crate::core::millis;
use crate::core::plan;
use crate::deployment::Repeat;
use crate::note::Note;
use crate::protocol::Transfer;

/// Time without an answer that speaks against a target; the sheets give plain requests some ten
/// milliseconds of work.
const SILENCE_MS: Duration = Duration::from_millis(500);

impl Core {
    /// A call has ended; returns what to do next.
    pub fn outcome(&mut self, now: Instant, number: RequestNumber, outcome: Outcome) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::End(Ending::Done);
        };
        let mut call = active.current.take();
        if let Some(call) = &mut call {
            if matches!(outcome, Outcome::Prefilled(_)) {
                call.has_read(now, &mut self.fleet);
            }
            self.fleet.end(now, &call.target, call.key, call.load);
            self.learn(now, &active, call, &outcome);
        }
        let ending = self.conclude(now, &mut active, call, &outcome);
        if let Some(ending) = ending {
            self.finish(now, active, ending, &outcome);
            return Decision::End(ending);
        }
        self.requests.insert(number, active);
        self.next(now, number)
    }

    /// What a call's outcome says of its target.
    fn learn(&mut self, now: Instant, active: &Active, call: &Current, outcome: &Outcome) {
        let took = now.saturating_duration_since(call.started);
        let target = &call.target;
        match outcome {
            Outcome::Prefilled(_) => self.fleet.succeeded(target),
            Outcome::Answered { status } if *status < 500 => self.fleet.succeeded(target),
            Outcome::NotRun {
                is_other_process: true,
                ..
            }
            | Outcome::NotSent { .. } => self.fleet.unreachable(now, target),
            // A route may give a request less time than its work takes.
            Outcome::TimedOut { is_started: false } if took < SILENCE_MS => {}
            Outcome::Answered { .. }
            | Outcome::Failed { .. }
            | Outcome::Lost { .. }
            | Outcome::Broken { .. }
            | Outcome::Silent
            | Outcome::TimedOut { is_started: false } => {
                let belief = self.fleet.failed(now, target);
                self.believe(target.clone(), belief);
            }
            Outcome::TimedOut { .. } | Outcome::NotRun { .. } | Outcome::Abandoned => {}
        }
        if matches!(outcome, Outcome::Answered { .. } | Outcome::Abandoned) {
            return;
        }
        self.notes.push(Note::CallEnded {
            request: active.request.id.clone(),
            target: target.clone(),
            outcome: outcome.to_string(),
            took_ms: millis(took),
        });
    }

    /// Brings a request up to date after a call; `Some` if that ends it.
    fn conclude(
        &mut self,
        now: Instant,
        active: &mut Active,
        call: Option<Current>,
        outcome: &Outcome,
    ) -> Option<Ending> {
        let is_run = call.as_ref().is_some_and(|call| !call.is_prefill);
        if !is_run && matches!(outcome, Outcome::NotRun { .. }) {
            active.arrivals += 1;
        }
        let target = call.as_ref().map(|call| call.target.clone());
        let transfer = call.and_then(|call| call.transfer);
        if is_run && !matches!(outcome, Outcome::NotRun { .. } | Outcome::NotSent { .. }) {
            active.runs += 1;
        } else if let Some(transfer) = transfer {
            // The memory may still be there, but a second attempt to use it would rarely succeed.
            self.releases.push(transfer);
        }
        match outcome {
            Outcome::Answered { .. } | Outcome::Abandoned => return Some(Ending::Done),
            Outcome::TimedOut { is_started: true } => return Some(Ending::Cut),
            Outcome::TimedOut { .. } => {
                return Some(Ending::Fail {
                    status: 504,
                    detail: "no answer within the time of the request",
                });
            }
            Outcome::Prefilled(prefilled) => {
                let member = target.as_ref().and_then(|target| self.fleet.get(target));
                active.transfer = member.map(|member| Transfer {
                    holder: member.entry.name.clone(),
                    address: member.entry.address,
                    name: prefilled.name.clone(),
                });
                return None;
            }
            Outcome::Broken { last_event, .. } => {
                if last_event.is_some() {
                    active.last_event.clone_from(last_event);
                }
            }
            Outcome::NotRun { .. }
            | Outcome::NotSent { .. }
            | Outcome::Lost { .. }
            | Outcome::Failed { .. }
            | Outcome::Silent => {}
        }
        active.refused_by.extend(target);
        // Also after a call that was to continue the stream and did not.
        let is_started = active.last_event.is_some()
            || matches!(
                outcome,
                Outcome::Broken {
                    is_started: true,
                    ..
                }
            );
        let can_resume = active.route.repeat == Repeat::Resumable && active.last_event.is_some();
        let is_over = !active.may_run_again()
            || active.left(now) < LEAST_CALL_MS
            || (is_started && !can_resume);
        if !is_over && self.may_repeat(now, active) {
            return None;
        }
        Some(give_up(active, is_started))
    }

    fn may_repeat(&mut self, now: Instant, active: &Active) -> bool {
        active.arrivals == 0 || self.repeats_left(now, &active.service) > 0
    }
}

/// The final answer of a request that gets no further call.
pub(super) fn give_up(active: &Active, is_started: bool) -> Ending {
    if is_started {
        return Ending::Cut;
    }
    if active.runs > 0 {
        return Ending::Fail {
            status: 502,
            detail: "the target's answer was lost; the request may have run",
        };
    }
    Ending::Refuse {
        retry_after_ms: plan::NO_TARGET_RETURN_MS,
        detail: "every target that was asked refused the request",
    }
}
