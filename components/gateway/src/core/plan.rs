//! Which call is made next for a request.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use types::Role;
use types::TargetName;

use crate::admission;
use crate::admission::Prospect;
use crate::core::Core;
use crate::core::ReadingNews;
use crate::core::RequestNumber;
use crate::core::active::Active;
use crate::core::active::Current;
use crate::core::conclude::give_up;
use crate::core::decision::Decision;
use crate::core::decision::Ending;
use crate::core::decision::NextCall;
use crate::core::decision::Outcome;
use crate::deployment::EngineFacts;
use crate::deployment::Repeat;
use crate::fleet::Load;
use crate::note::Note;
use crate::placement;
use crate::placement::Choice;
use crate::placement::Need;
use crate::protocol::Call;
use crate::protocol::Step;
use crate::protocol::Transfer;

/// Factor on the expected duration of a prefill after which it is given up.
const PREFILL_PATIENCE_FACTOR: f64 = 3.0;
/// Time that is added to it, for a target that was stalled for a moment.
const PREFILL_PATIENCE_MS: f64 = 400.0;
/// Part of the time left that an idempotent call may take while another one can follow.
const IDEMPOTENT_PATIENCE_PART: f64 = 0.4;
/// Time after which a request may come back that found no target.
pub(super) const NO_TARGET_RETURN_MS: Duration = Duration::from_millis(500);

/// A call that was decided on.
struct Planned {
    target: TargetName,
    step: Step,
    patience_ms: Duration,
    load: Load,
    expected_ms: f64,
    new_tokens: u64,
}

impl Planned {
    /// A run without a prompt to read.
    fn run(target: TargetName, transfer: Option<Transfer>, patience_ms: Duration) -> Self {
        Self {
            target,
            step: Step::Run(transfer),
            patience_ms,
            load: Load {
                reading_ms: 0.0,
                runs: 1.0,
            },
            expected_ms: 0.0,
            new_tokens: 0,
        }
    }
}

impl Core {
    /// Chooses the next call of a request, or ends it.
    pub(super) fn next(&mut self, now: Instant, number: RequestNumber) -> Decision {
        let Some(mut active) = self.requests.remove(&number) else {
            return Decision::End(Ending::Done);
        };
        let planned = match (active.engine, active.request.work.is_some()) {
            (Some(facts), true) => self.plan_model(now, &mut active, &facts),
            _ => self.plan_plain(now, &active),
        };
        match planned {
            Ok(planned) => {
                let decision = self.call(now, &mut active, planned);
                self.requests.insert(number, active);
                decision
            }
            Err(ending) => {
                let ending = if active.runs > 0 {
                    give_up(&active, active.last_event.is_some())
                } else {
                    ending
                };
                self.finish(now, active, ending, &Outcome::Abandoned);
                Decision::End(ending)
            }
        }
    }

    fn plan_plain(&mut self, now: Instant, active: &Active) -> Result<Planned, Ending> {
        let members = self.fleet.usable(&active.service, now);
        let draw = self.random.next_u64();
        let target = placement::choose_plain(
            &members,
            &self.settings.data_centre,
            &active.refused_by,
            draw,
        );
        let Some(target) = target else {
            return Err(no_target());
        };
        let can_follow = active.route.repeat == Repeat::Idempotent
            && active.runs + 1 < active.route.attempt_limit
            && members.len() > 1;
        let left = active.left(now);
        let patience_ms = if can_follow {
            left.mul_f64(IDEMPOTENT_PATIENCE_PART)
        } else {
            left
        };
        Ok(Planned::run(target, None, patience_ms))
    }

    fn plan_model(
        &mut self,
        now: Instant,
        active: &mut Active,
        facts: &EngineFacts,
    ) -> Result<Planned, Ending> {
        let request = active.request.clone();
        let Some(work) = &request.work else {
            return Err(no_target());
        };
        let members = self.fleet.usable(&active.service, now);
        let need = Need {
            work,
            hashes: &active.hashes,
            refused_by: &active.refused_by,
        };
        if let Some(transfer) = active.transfer.take() {
            let place = self.fleet.get(&transfer.holder);
            let place = place.map_or(&self.settings.data_centre, |m| &m.entry.data_centre);
            let hints = &self.fleet.hints;
            let target = placement::choose_decoder(&members, hints, facts, &need, place, now);
            let Some(target) = target else {
                self.releases.push(transfer);
                return Err(no_target());
            };
            return Ok(Planned::run(target, Some(transfer), active.left(now)));
        }
        let choice = placement::choose_reader(&members, &self.fleet.hints, facts, &need, now);
        let Some(choice) = choice else {
            return Err(no_target());
        };
        self.admit(now, active, &choice)?;
        let is_prefill = choice.role == Role::Prefill;
        let left = active.left(now);
        let patience_ms = if is_prefill {
            let patience_ms = choice.first_event_ms * PREFILL_PATIENCE_FACTOR + PREFILL_PATIENCE_MS;
            left.min(Duration::from_secs_f64(patience_ms / 1e3))
        } else {
            left
        };
        Ok(Planned {
            step: if is_prefill {
                Step::Prefill
            } else {
                Step::Run(None)
            },
            target: choice.target,
            patience_ms,
            load: Load {
                reading_ms: choice.reading_ms,
                runs: 1.0,
            },
            expected_ms: choice.first_event_ms,
            new_tokens: choice.new_tokens,
        })
    }

    fn admit(&mut self, now: Instant, active: &Active, choice: &Choice) -> Result<(), Ending> {
        let waited_ms = now.saturating_duration_since(active.received).as_secs_f64() * 1e3;
        let aim_ms = active.route.aim_ms.as_secs_f64() * 1e3;
        let prospect = Prospect {
            first_event_ms: choice.first_event_ms,
            wait_ms: choice.wait_ms,
            events_ms: choice.events_ms,
            aim_left_ms: aim_ms - waited_ms,
            aim_ms,
            left_ms: active.left(now).as_secs_f64() * 1e3,
            silence_left_ms: active.route.silence_limit_ms.as_secs_f64() * 1e3 - waited_ms,
        };
        if active.runs > 0 || admission::is_admitted(&prospect) {
            return Ok(());
        }
        let draw = self.random.random::<f64>();
        Err(Ending::Refuse {
            retry_after_ms: admission::return_after(&prospect, draw),
            detail: "all engines are too busy to answer in time",
        })
    }

    fn call(&mut self, now: Instant, active: &mut Active, planned: Planned) -> Decision {
        let Some(member) = self.fleet.get(&planned.target) else {
            return Decision::End(no_target());
        };
        let (address, key) = (member.entry.address, member.key);
        let (waiting_ms, running) = (member.wait_ms(now), member.load().runs);
        let is_prefill = planned.step == Step::Prefill;
        active.calls += 1;
        // The first reading of a prompt does not count as an arrival if it is accepted.
        let is_free = is_prefill && active.prefills == 0;
        if is_prefill {
            active.prefills += 1;
        }
        if !is_free {
            if active.arrivals > 0 {
                let allowance = self.settings.repeats;
                let budget = self.budgets.entry(active.service.clone()).or_default();
                budget.count_repeat(now, &allowance);
            }
            active.arrivals += 1;
        }
        self.fleet.begin(now, &planned.target, planned.load);
        if active.engine.is_some() {
            self.fleet
                .reads(&planned.target, &active.hashes, planned.new_tokens);
            self.news.push(ReadingNews {
                key,
                hashes: active.hashes.clone(),
                tokens: planned.new_tokens,
            });
        }
        self.notes.push(Note::Sent {
            request: active.request.id.clone(),
            target: planned.target.clone(),
            step: match &planned.step {
                Step::Prefill => "prefill",
                Step::Run(None) => "run",
                Step::Run(Some(_)) => "run-after-transfer",
            },
            call: active.calls,
            expected_ms: rounded(planned.expected_ms),
            waiting_ms: rounded(waiting_ms),
            running: rounded(running),
            new_tokens: planned.new_tokens,
        });
        let transfer = match &planned.step {
            Step::Run(transfer) => transfer.clone(),
            Step::Prefill => None,
        };
        active.current = Some(Current {
            target: planned.target.clone(),
            key,
            load: planned.load,
            started: now,
            waiting_ms,
            is_prefill,
            transfer,
        });
        Decision::Call(Box::new(NextCall {
            call: Call {
                step: planned.step,
                target: planned.target,
                left_ms: active.left(now),
                urgency: active.route.priority.min(9),
                resume_after: active.last_event.clone(),
            },
            address,
            patience_ms: planned.patience_ms,
        }))
    }
}

fn no_target() -> Ending {
    Ending::Refuse {
        retry_after_ms: NO_TARGET_RETURN_MS,
        detail: "no target of the service takes work",
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // for logs; saturates
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
