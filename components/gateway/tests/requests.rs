//! Decisions of the core on one request: retries, refusals, resumption, deadlines.

mod common;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use common::call;
use common::configuration;
use common::core;
use common::ending;
use common::plain;
use common::prompt;
use common::settings;
use gateway::core::CallOutcome;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::core::Ending;
use gateway::deployment::ConfigurationSource;
use gateway::deployment::DeploymentUpdate;
use gateway::protocol::PrefillResult;
use gateway::protocol::Step;
use types::Role;

fn answer_lost() -> CallOutcome {
    CallOutcome::AnswerLost {
        detail: "reset".to_owned(),
        is_new_connection: true,
        is_closed_by_target: true,
    }
}

fn not_run() -> CallOutcome {
    CallOutcome::NotRun {
        status: 503,
        is_other_process: false,
    }
}

fn prefilled() -> CallOutcome {
    CallOutcome::Prefilled(PrefillResult {
        handle: "m1".to_owned(),
    })
}

#[test]
fn non_idempotent_request_is_not_retried_after_its_answer_was_lost() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    let end = ending(core.call_ended(now, number, answer_lost()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn non_idempotent_request_that_certainly_did_not_run_is_retried_at_another_target() {
    let now = Instant::now();
    for outcome in [
        not_run(),
        CallOutcome::NotSent {
            detail: "refused".to_owned(),
        },
    ] {
        let mut core = core(now);
        let (number, first) = core.start(now, plain("/order/1"));
        let first = call(first).call.target;
        let second = call(core.call_ended(now, number, outcome)).call.target;
        assert_ne!(first, second);
    }
}

#[test]
fn refusal_says_not_run_only_if_no_call_can_have_run() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    call(core.call_ended(now, number, not_run()));
    let end = ending(core.call_ended(now, number, not_run()));
    assert!(matches!(end, Ending::Refuse { .. }), "{end:?}");

    let (number, first) = core.start(now, plain("/read/1"));
    call(first);
    call(core.call_ended(now, number, answer_lost()));
    let end = ending(core.call_ended(now, number, not_run()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn idempotent_request_runs_at_most_as_often_as_its_route_allows() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/read/1"));
    call(first);
    call(core.call_ended(now, number, answer_lost()));
    let end = ending(core.call_ended(now, number, answer_lost()));
    assert!(matches!(end, Ending::Fail { status: 502, .. }), "{end:?}");
}

#[test]
fn each_call_gets_the_time_left_to_the_deadline() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    assert_eq!(call(first).call.time_left_ms, Duration::from_secs(4));
    let later = now + Duration::from_millis(1_500);
    let second = call(core.call_ended(later, number, not_run()));
    assert_eq!(second.call.time_left_ms, Duration::from_millis(2_500));
}

#[test]
fn route_timeout_bounds_the_timeout_of_the_caller() {
    let now = Instant::now();
    let mut core = core(now);
    let mut request = gateway::protocol::CallerRequest::clone(&plain("/order/1"));
    request.timeout_ms = Duration::from_mins(1);
    let (_, first) = core.start(now, Rc::new(request));
    assert_eq!(call(first).call.time_left_ms, Duration::from_secs(6));
}

#[test]
fn request_past_its_deadline_fails_with_504() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, plain("/order/1"));
    call(first);
    let timed_out = CallOutcome::TimedOut;
    let end = ending(core.call_ended(now + Duration::from_secs(4), number, timed_out));
    assert!(matches!(end, Ending::Fail { status: 504, .. }), "{end:?}");
}

#[test]
fn process_without_configuration_or_targets_refuses_instead_of_reporting_no_route() {
    let now = Instant::now();
    let mut core = Core::new(now, settings(), 7);
    assert!(!core.is_ready());
    let (_, decision) = core.start(now, plain("/order/1"));
    let end = ending(decision);
    assert!(matches!(end, Ending::Refuse { .. }), "{end:?}");
    core.apply_update(
        now,
        DeploymentUpdate::Configuration(Rc::new(configuration(5)), ConfigurationSource::Poll),
    );
    let (_, decision) = core.start(now, plain("/order/1"));
    assert!(matches!(ending(decision), Ending::Refuse { .. }));
}

#[test]
fn older_configuration_is_ignored() {
    let now = Instant::now();
    let mut core = core(now);
    let mut older = configuration(4);
    older.routes.clear();
    core.apply_update(
        now,
        DeploymentUpdate::Configuration(Rc::new(older), ConfigurationSource::Poll),
    );
    assert_eq!(core.configuration().map(|c| c.version), Some(5));
    let (_, decision) = core.start(now, plain("/order/1"));
    call(decision);
}

// On a busy host, the first message of a peer came later than 0.8 s after the start.
#[test]
fn starting_gateway_waits_for_late_peers_before_it_uses_a_restored_store() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut core = Core::new(start, settings(), 7);
    let read =
        |version, source| DeploymentUpdate::Configuration(Rc::new(configuration(version)), source);
    core.apply_update(at(0), DeploymentUpdate::StoreRestoredBeforeStart { era: 1 });
    core.apply_update(at(0), read(5, ConfigurationSource::Snapshot));
    core.tick(at(900));
    assert_eq!(core.configuration().map(|c| c.version), None);
    core.record_peer_configuration(at(1_200), &"peer".to_owned(), Some(8), None);
    core.tick(at(1_300));
    assert_eq!(core.configuration().map(|c| c.version), None);
    core.apply_update(at(1_400), read(8, ConfigurationSource::Peer));
    assert_eq!(core.configuration().map(|c| c.version), Some(8));
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
fn prefill_engine_processes_the_prompt_and_decode_engine_runs_the_request() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    let first = call(first).call;
    assert_eq!(first.step, Step::Prefill);
    let prefill_engine = core.fleet.get(&first.target).expect("known");
    assert_eq!(prefill_engine.entry.role, Role::Prefill);
    let address = prefill_engine.entry.address;
    let second = call(core.call_ended(now, number, prefilled())).call;
    let Step::Run(Some(transfer)) = second.step else {
        panic!("{:?}", second.step);
    };
    assert_eq!((transfer.source, transfer.address), (first.target, address));
    let decode_engine = core.fleet.get(&second.target).expect("known");
    assert_eq!(decode_engine.entry.role, Role::Decode);
}

#[test]
fn unused_transfer_is_released_once() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    call(first);
    call(core.call_ended(now, number, prefilled()));
    core.call_ended(now, number, not_run());
    assert_eq!(core.take_unused_transfers(now).len(), 1);
    assert!(core.take_unused_transfers(now).is_empty());
}

#[test]
fn broken_stream_on_a_route_without_resumption_is_cut() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 200, 100));
    call(first);
    let broken = CallOutcome::Broken {
        last_event: Some("3".to_owned()),
        detail: "reset".to_owned(),
        is_closed_by_target: true,
    };
    core.call_ended(now, number, prefilled());
    core.first_byte(now, number);
    assert_eq!(ending(core.call_ended(now, number, broken)), Ending::Cut);
}

#[test]
fn broken_resumable_stream_resumes_after_its_last_event_on_another_engine() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, decision) = core.start(now, prompt("/tag/1", 1, 200, 100));
    let mut decision = call(decision);
    if decision.call.step == Step::Prefill {
        decision = call(core.call_ended(now, number, prefilled()));
    }
    let broken = CallOutcome::Broken {
        last_event: Some("3".to_owned()),
        detail: "reset".to_owned(),
        is_closed_by_target: true,
    };
    core.first_byte(now, number);
    let next = call(core.call_ended(now, number, broken.clone())).call;
    assert_eq!(next.resume_after.as_deref(), Some("3"));
    assert_ne!(next.target, decision.call.target);
    let mut next = next;
    if next.step == Step::Prefill {
        next = call(core.call_ended(now, number, prefilled())).call;
        assert_eq!(next.resume_after.as_deref(), Some("3"));
    }
    // The route allows two calls.
    assert_eq!(ending(core.call_ended(now, number, broken)), Ending::Cut);
}

#[test]
fn prefill_that_times_out_is_retried_on_another_engine() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, first) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    let first = call(first).call;
    assert_eq!(first.step, Step::Prefill);
    let second = call(core.call_ended(now, number, CallOutcome::HeadTimedOut)).call;
    assert_ne!(second.target, first.target);
}

#[test]
fn abandoned_requests_leave_no_load_and_a_second_end_has_no_effect() {
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
            core.call_ended(now, number, CallOutcome::Abandoned),
            Decision::End(Ending::Done)
        );
        assert_eq!(
            core.call_ended(now, number, CallOutcome::Abandoned),
            Decision::End(Ending::Done)
        );
    }
    assert_eq!(core.in_flight(), 0);
    assert!(core.fleet.own_loads().is_empty());
}

#[test]
fn timeout_shorter_than_the_work_takes_is_no_failure_of_the_target() {
    let now = Instant::now();
    let mut core = core(now);
    let timeout = Duration::from_millis(30);
    for _ in 0..40 {
        let mut request = gateway::protocol::CallerRequest::clone(&plain("/order/1"));
        request.timeout_ms = timeout;
        let (number, decision) = core.start(now, Rc::new(request));
        call(decision);
        let timed_out = CallOutcome::TimedOut;
        core.call_ended(now + timeout, number, timed_out);
    }
    let usable = core.fleet.usable(
        &common::PLAIN_SERVICE.to_owned(),
        AllowedBuilds::Any,
        now + timeout,
    );
    assert_eq!(usable.len(), 2);
    assert!(
        usable
            .iter()
            .all(|state| state.health.failure_rate().abs() < 1e-9)
    );
}

#[test]
fn started_stream_that_no_target_resumes_is_cut_and_gets_no_second_head() {
    let now = Instant::now();
    for refusal in [
        not_run(),
        answer_lost(),
        CallOutcome::NotSent {
            detail: "refused".to_owned(),
        },
    ] {
        let mut core = core(now);
        let (number, decision) = core.start(now, prompt("/tag/1", 1, 200, 100));
        let mut step = call(decision).call.step;
        if step == Step::Prefill {
            step = call(core.call_ended(now, number, prefilled())).call.step;
        }
        assert!(matches!(step, Step::Run(_)));
        let broken = CallOutcome::Broken {
            last_event: Some("3".to_owned()),
            detail: "reset".to_owned(),
            is_closed_by_target: true,
        };
        core.first_byte(now, number);
        let mut decision = core.call_ended(now, number, broken);
        while matches!(decision, Decision::Call(_)) {
            decision = core.call_ended(now, number, refusal.clone());
        }
        assert_eq!(ending(decision), Ending::Cut);
    }
}

// Issue 26, users' record: a prompt was read again for each decode engine that could not be reached.
#[test]
fn prompt_is_read_once_although_decode_engines_cannot_be_reached() {
    let now = Instant::now();
    let mut core = core(now);
    let (number, mut decision) = core.start(now, prompt("/draft/1", 1, 13_300, 3_700));
    let (mut prefills, mut runs) = (0, 0);
    while let Decision::Call(next) = decision {
        let outcome = if next.call.step == Step::Prefill {
            prefills += 1;
            prefilled()
        } else {
            runs += 1;
            CallOutcome::NotSent {
                detail: "connection refused".to_owned(),
            }
        };
        decision = core.call_ended(now, number, outcome);
    }
    assert_eq!((prefills, runs), (1, 3));
    assert_eq!(core.take_unused_transfers(now).len(), 1);
}

/// Each way in which a call can end without the rest of an answer.
fn failures() -> Vec<CallOutcome> {
    vec![
        not_run(),
        CallOutcome::NotSent {
            detail: "refused".to_owned(),
        },
        answer_lost(),
        CallOutcome::Failed { status: 500 },
        CallOutcome::Broken {
            last_event: None,
            detail: "reset".to_owned(),
            is_closed_by_target: true,
        },
        CallOutcome::Cancelled,
        CallOutcome::HeadTimedOut,
        CallOutcome::TimedOut,
    ]
}

// The head of a 504 or 502 was written into a stream that had begun, after a prefill without end.
#[test]
fn answer_that_has_begun_gets_no_second_head_whatever_the_calls_after_it_bring() {
    let now = Instant::now();
    for path in ["/tag/1", "/draft/1", "/order/1"] {
        for first in failures() {
            for second in failures() {
                for is_prefilled in [false, true] {
                    let mut core = core(now);
                    let request = match path {
                        "/order/1" => plain(path),
                        _ => prompt(path, 1, 13_300, 3_700),
                    };
                    let (number, mut decision) = core.start(now, request);
                    if call(decision.clone()).call.step == Step::Prefill {
                        decision = core.call_ended(now, number, prefilled());
                    }
                    call(decision);
                    core.first_byte(now, number);
                    let mut decision = core.call_ended(now, number, first.clone());
                    while let Decision::Call(next) = decision {
                        let outcome = match next.call.step {
                            Step::Prefill if is_prefilled => prefilled(),
                            _ => second.clone(),
                        };
                        decision = core.call_ended(now, number, outcome);
                    }
                    assert_eq!(ending(decision), Ending::Cut, "{path}: {first}, {second}");
                }
            }
        }
    }
}
