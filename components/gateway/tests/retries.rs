//! Retries of several gateway processes, counted as the service counts them.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::core;
use common::prompt;
use common::settings;
use gateway::core::CallOutcome;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::protocol::PrefillResult;
use gateway::protocol::Step;

/// Number of gateway processes; as many as `min_processes` of the fixture.
const PROCESSES: usize = 3;
const REQUESTS: u32 = 300;

/// Arrivals of one request, by the rule of the service: the first prefill that an engine accepts is
/// free, any other call that reaches an engine counts.
#[derive(Default)]
struct Arrivals {
    counted: u32,
    has_free_prefill: bool,
}

impl Arrivals {
    fn count(&mut self, step: &Step, outcome: &CallOutcome) {
        let is_accepted = matches!(outcome, CallOutcome::Prefilled(_));
        if is_accepted && *step == Step::Prefill && !self.has_free_prefill {
            self.has_free_prefill = true;
        } else if !matches!(outcome, CallOutcome::NotSent { .. }) {
            self.counted += 1;
        }
    }

    fn retries(&self) -> u32 {
        self.counted.saturating_sub(1)
    }
}

/// Serves one request; `outcome` gives the end of a call by its number and step. Returns its
/// retries.
fn serve(
    core: &mut Core,
    now: Instant,
    own_tokens: u32,
    outcome: impl Fn(u32, &Step) -> CallOutcome,
) -> u32 {
    let mut arrivals = Arrivals::default();
    let (number, mut decision) = core.start(now, prompt("/tag/1", 1, 2_000, own_tokens));
    for call in 0.. {
        let Decision::Call(next) = decision else {
            break;
        };
        let end = outcome(call, &next.call.step);
        arrivals.count(&next.call.step, &end);
        decision = core.call_ended(now, number, end);
    }
    arrivals.retries()
}

/// Retries of all processes for 300 requests within a second, and the service's allowance.
fn retries_and_allowance(outcome: impl Fn(u32, u32, &Step) -> CallOutcome) -> (u32, f64) {
    let start = Instant::now();
    let mut cores: Vec<Core> = (0..PROCESSES).map(|_| core(start)).collect();
    let mut retries = 0;
    for request in 0..REQUESTS {
        let now = start + Duration::from_millis(u64::from(request * 1_000 / REQUESTS));
        let core = &mut cores[request as usize % PROCESSES];
        retries += serve(core, now, 30_000 + request, |call, step| {
            outcome(request, call, step)
        });
    }
    let allowance = settings().retries;
    let allowed = allowance.ratio * f64::from(REQUESTS) + allowance.slack;
    (retries, allowed)
}

fn answered() -> CallOutcome {
    CallOutcome::Answered { status: 200 }
}

fn prefilled() -> CallOutcome {
    CallOutcome::Prefilled(PrefillResult {
        handle: "m1".to_owned(),
    })
}

fn answer_lost() -> CallOutcome {
    CallOutcome::AnswerLost {
        detail: "reset".to_owned(),
        is_new_connection: true,
    }
}

// Issue 19: prefills lost at crashed engines were retried without the budget.
#[test]
fn retries_after_lost_prefills_stay_within_the_allowance_of_the_service() {
    let (retries, allowed) =
        retries_and_allowance(|request, call, step| match (step, call, request % 3) {
            (Step::Prefill, 0, 0 | 1) => answer_lost(),
            (Step::Prefill, ..) => prefilled(),
            (Step::Run(_), ..) => answered(),
        });
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

#[test]
fn second_prefill_and_its_run_stay_within_the_allowance_of_the_service() {
    let (retries, allowed) = retries_and_allowance(|_, call, step| match (step, call) {
        (Step::Prefill, _) => prefilled(),
        (Step::Run(_), 1) => answer_lost(),
        (Step::Run(_), _) => answered(),
    });
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}
