//! What the core does with one request: at most once, true refusals, resumption, time.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use common::call;
use common::configuration;
use common::core;
use common::ending;
use common::plain;
use common::prompt;
use common::settings;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::core::Ending;
use gateway::core::Outcome;
use gateway::deployment::Notice;
use gateway::protocol::Prefilled;
use gateway::protocol::Step;
use types::Role;

fn lost() -> Outcome {
    Outcome::Lost {
        detail: "reset".to_owned(),
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun {
        status: 503,
        is_other_process: false,
    }
}

fn prefilled() -> Outcome {
    Outcome::Prefilled(Prefilled {
        name: "m1".to_owned(),
    })
}

#[test]
fn non_idempotent_request_is_not_sent_again_after_its_answer_was_lost() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    let end = ending(core.outcome(now, number, lost()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn non_idempotent_request_goes_to_another_target_that_certainly_was_not_run() {
    let now = Instant::now();
    for unsent in [
        not_run(),
        Outcome::NotSent {
            detail: "refused".to_owned(),
        },
    ] {
        let mut core = core(now);
        let (number, first) = core.start(now, plain("/order/1"));
        let first = call(first).call.target;
        let second = call(core.outcome(now, number, unsent)).call.target;
        assert_ne!(first, second);
    }
}

#[test]
fn refusal_says_not_run_only_if_no_call_can_have_run() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    call(core.outcome(now, number, not_run()));
    let end = ending(core.outcome(now, number, not_run()));
    assert!(matches!(end, Ending::Refuse { .. }), "{end:?}");

    let (number, first) = core.start(now, plain("/read/1"));
    call(first);
    call(core.outcome(now, number, lost()));
    let end = ending(core.outcome(now, number, not_run()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn idempotent_request_runs_on_no_more_targets_than_its_route_allows() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/read/1"));
    call(first);
    call(core.outcome(now, number, lost()));
    let end = ending(core.outcome(now, number, lost()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn each_call_gets_the_time_that_is_left() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    assert_eq!(call(first).call.left_ms, Duration::from_secs(4));
    let later = now + Duration::from_millis(1_500);
    let second = call(core.outcome(later, number, not_run()));
    assert_eq!(second.call.left_ms, Duration::from_millis(2_500));
}

#[test]
fn route_timeout_bounds_the_time_of_a_patient_caller() {
    let now = Instant::now();
    let mut core = core(now);
    let mut request = gateway::protocol::CallerRequest::clone(&plain("/order/1"));
    request.patience_ms = Duration::from_mins(1);
    let (_, first) = core.start(now, Rc::new(request));
    assert_eq!(call(first).call.left_ms, Duration::from_secs(6));
}

#[test]
fn request_whose_time_is_over_fails_without_a_promise() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    let over = Outcome::TimedOut { is_started: false };
    let end = ending(core.outcome(now + Duration::from_secs(4), number, over));
    assert!(matches!(end, Ending::Fail { status: 504, .. }), "{end:?}");
}

#[test]
fn process_without_configuration_refuses_and_never_says_that_no_route_matches() {
    let now = Instant::now();
    let mut core = Core::new(settings(), 7);
    assert!(!core.is_ready());
    let (_, decision) = core.start(now, plain("/order/1"));
    let end = ending(decision);
    assert!(matches!(end, Ending::Refuse { .. }), "{end:?}");
    core.notice(now, Notice::Configuration(Rc::new(configuration(5))));
    let (_, decision) = core.start(now, plain("/order/1"));
    assert!(matches!(ending(decision), Ending::Refuse { .. }));
}

#[test]
fn older_configuration_is_ignored() {
    let now = Instant::now();
    let mut core = core(now);
    let mut older = configuration(4);
    older.routes.clear();
    core.notice(now, Notice::Configuration(Rc::new(older)));
    assert_eq!(core.configuration().map(|c| c.version), Some(5));
    let (_, decision) = core.start(now, plain("/order/1"));
    call(decision);
}

#[test]
fn unknown_path_and_unknown_host_have_no_route() {
    let now = Instant::now();
    let mut core = core(now);
    let (_, decision) = core.start(now, plain("/orders/1"));
    assert_eq!(ending(decision), Ending::NoRoute);
    let mut request = gateway::protocol::CallerRequest::clone(&plain("/order/1"));
    request.host = "other.example".to_owned();
    let (_, decision) = core.start(now, Rc::new(request));
    assert_eq!(ending(decision), Ending::NoRoute);
}

#[test]
fn prompt_is_read_by_a_prefill_engine_and_continued_by_one_that_decodes() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    let first = call(first).call;
    assert_eq!(first.step, Step::Prefill);
    let reader = core.fleet.get(&first.target).expect("known");
    assert_eq!(reader.entry.role, Role::Prefill);
    let address = reader.entry.address;
    let second = call(core.outcome(now, number, prefilled())).call;
    let Step::Run(Some(transfer)) = second.step else {
        panic!("{:?}", second.step);
    };
    assert_eq!((transfer.holder, transfer.address), (first.target, address));
    let writer = core.fleet.get(&second.target).expect("known");
    assert_eq!(writer.entry.role, Role::Decode);
}

#[test]
fn memory_that_nobody_uses_is_released() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    call(first);
    call(core.outcome(now, number, prefilled()));
    core.outcome(now, number, not_run());
    assert_eq!(core.take_releases().len(), 1);
    assert!(core.take_releases().is_empty());
}

#[test]
fn stream_that_may_not_be_resumed_is_cut_when_it_breaks() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 200, 100));
    call(first);
    let broken = Outcome::Broken {
        last_event: Some("3".to_owned()),
        is_started: true,
        detail: "reset".to_owned(),
    };
    core.outcome(now, number, prefilled());
    assert_eq!(ending(core.outcome(now, number, broken)), Ending::Cut);
}

#[test]
fn resumable_stream_goes_on_after_its_last_event_at_another_engine() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, decision) = core.start(now, prompt("/tag/1", 1, 200, 100));
    let mut decision = call(decision);
    if decision.call.step == Step::Prefill {
        decision = call(core.outcome(now, number, prefilled()));
    }
    let broken = Outcome::Broken {
        last_event: Some("3".to_owned()),
        is_started: true,
        detail: "reset".to_owned(),
    };
    let next = call(core.outcome(now, number, broken.clone())).call;
    assert_eq!(next.resume_after.as_deref(), Some("3"));
    assert_ne!(next.target, decision.call.target);
    let mut next = next;
    if next.step == Step::Prefill {
        next = call(core.outcome(now, number, prefilled())).call;
        assert_eq!(next.resume_after.as_deref(), Some("3"));
    }
    // Its route allows two targets.
    assert_eq!(ending(core.outcome(now, number, broken)), Ending::Cut);
}

#[test]
fn prompt_reading_that_is_not_answered_is_repeated_elsewhere() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    let first = call(first).call;
    assert_eq!(first.step, Step::Prefill);
    let second = call(core.outcome(now, number, Outcome::Silent)).call;
    assert_ne!(second.target, first.target);
}

#[test]
fn every_request_ends_once_and_leaves_no_load_behind() {
    let now = Instant::now();
    let mut core = core(now);
    let mut numbers = Vec::new();
    for at in 0..20 {
        let (number, decision) = core.start(now, prompt("/draft/1", at, 300, 100));
        if matches!(decision, Decision::Call(_)) {
            numbers.push(number);
        }
    }
    assert!(!core.fleet.own_loads().is_empty());
    for number in numbers {
        assert_eq!(
            core.outcome(now, number, Outcome::Abandoned),
            Decision::End(Ending::Done)
        );
        assert_eq!(
            core.outcome(now, number, Outcome::Abandoned),
            Decision::End(Ending::Done)
        );
    }
    assert_eq!(core.in_flight(), 0);
    assert!(core.fleet.own_loads().is_empty());
}

#[test]
fn target_is_not_blamed_for_a_route_with_less_time_than_its_work_takes() {
    let now = Instant::now();
    let mut core = core(now);
    let brief = Duration::from_millis(30);
    for _ in 0..40 {
        let mut request = gateway::protocol::CallerRequest::clone(&plain("/order/1"));
        request.patience_ms = brief;
        let (number, decision) = core.start(now, Rc::new(request));
        call(decision);
        let over = Outcome::TimedOut { is_started: false };
        core.outcome(now + brief, number, over);
    }
    let usable = core
        .fleet
        .usable(&common::PLAIN_SERVICE.to_owned(), now + brief);
    assert_eq!(usable.len(), 2);
    assert!(usable.iter().all(|member| member.failures.abs() < 1e-9));
}

#[test]
fn started_stream_that_nobody_continues_is_cut_and_gets_no_second_head() {
    let now = Instant::now();
    for refusal in [
        not_run(),
        lost(),
        Outcome::NotSent {
            detail: "refused".to_owned(),
        },
    ] {
        let mut core = core(now);
        let (number, decision) = core.start(now, prompt("/tag/1", 1, 200, 100));
        let mut step = call(decision).call.step;
        if step == Step::Prefill {
            step = call(core.outcome(now, number, prefilled())).call.step;
        }
        assert!(matches!(step, Step::Run(_)));
        let broken = Outcome::Broken {
            last_event: Some("3".to_owned()),
            is_started: true,
            detail: "reset".to_owned(),
        };
        let mut decision = core.outcome(now, number, broken);
        while matches!(decision, Decision::Call(_)) {
            decision = core.outcome(now, number, refusal.clone());
        }
        assert_eq!(ending(decision), Ending::Cut);
    }
}
