//! Targets that crash or reset connections: how soon they get no work, and when again.

mod common;

use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use common::PLAIN_SERVICE;
use common::call;
use common::core;
use common::plain;
use common::prompt;
use common::target;
use gateway::core::CallOutcome;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::deployment::DeploymentUpdate;
use gateway::protocol::PrefillResult;
use gateway::protocol::Step;
use types::Role;

/// Time in which a crashed engine resets a connection; no engine answers as soon.
const RESET_MS: Duration = Duration::from_millis(5);
/// Time that an engine takes for a call at its nominal speed.
const WORK_MS: Duration = Duration::from_millis(355);
/// Longest time for which a target that does not take calls gets none.
const LONGEST_BACKOFF_MS: Duration = Duration::from_secs(2);
const CRASHED: &str = "read-1";

fn lost(is_new_connection: bool) -> CallOutcome {
    CallOutcome::AnswerLost {
        detail: "Connection reset by peer".to_owned(),
        is_new_connection,
        is_closed_by_target: true,
    }
}

fn ended(step: &Step) -> CallOutcome {
    match step {
        Step::Prefill => CallOutcome::Prefilled(PrefillResult {
            handle: "m1".to_owned(),
        }),
        Step::Run(_) => CallOutcome::Answered { status: 200 },
    }
}

/// Serves a request whose prefix is cached nowhere; `CRASHED` resets connections. Returns the
/// number of calls that it got.
fn serve_with_crashed_engine(core: &mut Core, now: Instant, own_tokens: u32) -> usize {
    let mut calls = 0;
    let shared = u64::from(own_tokens);
    let (number, mut decision) = core.start(now, prompt("/tag/1", shared, 2_000, own_tokens));
    while let Decision::Call(next) = decision {
        let (at, outcome) = if next.call.target == CRASHED {
            calls += 1;
            (now + RESET_MS, lost(true))
        } else {
            (now + WORK_MS, ended(&next.call.step))
        };
        decision = core.call_ended(at, number, outcome);
    }
    calls
}

/// Ends the first call of a request of the plain service after `RESET_MS`. Returns its target.
fn call_plain(core: &mut Core, now: Instant, outcome: CallOutcome) -> String {
    let (number, decision) = core.start(now, plain("/order/1"));
    let target = call(decision).call.target;
    core.call_ended(now + RESET_MS, number, outcome);
    target
}

fn is_usable(core: &Core, now: Instant, target: &str) -> bool {
    let state = core.fleet.get(target).unwrap();
    let usable = core
        .fleet
        .usable(&state.entry.service, AllowedBuilds::Any, now);
    usable.iter().any(|state| state.entry.name == target)
}

/// Starts model requests until one calls `CRASHED`, and ends that call.
fn end_call_of_engine(core: &mut Core, now: Instant, took: Duration, outcome: &CallOutcome) {
    for own_tokens in 10_000..10_100 {
        let shared = u64::from(own_tokens);
        let (number, decision) = core.start(now, prompt("/draft/1", shared, 2_000, own_tokens));
        let is_crashed = call(decision).call.target == CRASHED;
        let end = if is_crashed {
            outcome.clone()
        } else {
            CallOutcome::Abandoned
        };
        core.call_ended(now + took, number, end);
        if is_crashed {
            return;
        }
    }
    panic!("no request went to {CRASHED}");
}

// Issue 19: a crashed engine got calls until five in a row had failed.
#[test]
fn crashed_engine_gets_no_second_call_after_its_first_reset() {
    let now = Instant::now();
    let mut core = core(now);
    let calls: usize = (0..100)
        .map(|request| serve_with_crashed_engine(&mut core, now, 10_000 + request))
        .sum();
    assert_eq!(calls, 1);
}

// Issue 19: each process found out by itself that an engine had crashed.
#[test]
fn crashed_engine_gets_about_one_call_a_second_from_all_processes() {
    let start = Instant::now();
    let mut cores: Vec<Core> = (0..9).map(|_| core(start)).collect();
    let mut calls = 0;
    for request in 0..150_u32 {
        let now = start + Duration::from_millis(u64::from(request) * 40);
        let at = request as usize % cores.len();
        calls += serve_with_crashed_engine(&mut cores[at], now, 10_000 + request);
        for key in cores[at].take_unreachable_reports() {
            for core in &mut cores {
                core.peer_reports_unreachable(now, key);
            }
        }
    }
    assert!((2..=7).contains(&calls), "{calls} calls in 6 s");
}

// A call on an idle connection would be lost without telling that the target is still gone.
#[test]
fn target_is_tried_again_on_a_new_connection() {
    let now = Instant::now();
    let mut core = core(now);
    let target = call_plain(&mut core, now, CallOutcome::Answered { status: 200 });
    let key = core.fleet.get(&target).unwrap().key;
    core.peer_reports_unreachable(now, key);
    let later = now + LONGEST_BACKOFF_MS;
    let mut connections = Vec::new();
    for _ in 0..20 {
        let (number, decision) = core.start(later, plain("/order/1"));
        let next = call(decision);
        core.call_ended(later, number, CallOutcome::Answered { status: 200 });
        if next.call.target == target {
            connections.push(next.needs_new_connection);
        }
    }
    assert!(connections[0] && !connections[1], "{connections:?}");
}

#[test]
fn engine_that_serves_again_gets_work_within_two_seconds() {
    let now = Instant::now();
    let mut core = core(now);
    end_call_of_engine(&mut core, now, RESET_MS, &lost(true));
    assert!(!is_usable(&core, now + RESET_MS * 2, CRASHED));
    assert!(is_usable(
        &core,
        now + RESET_MS + LONGEST_BACKOFF_MS,
        CRASHED
    ));
}

// A target may close idle connections at any time.
#[test]
fn lost_reused_connections_do_not_take_a_target_out_of_use() {
    let now = Instant::now();
    let mut core = core(now);
    for _ in 0..3 {
        end_call_of_engine(&mut core, now, RESET_MS, &lost(false));
    }
    assert!(is_usable(&core, now + RESET_MS, CRASHED));
    assert!(core.take_unreachable_reports().is_empty());
}

#[test]
fn one_answer_lost_after_work_does_not_take_an_engine_out_of_use() {
    let now = Instant::now();
    let mut core = core(now);
    end_call_of_engine(&mut core, now, WORK_MS, &lost(true));
    assert!(is_usable(&core, now + WORK_MS, CRASHED));
}

// A plain target may work on a request for less time than a reset takes.
#[test]
fn plain_target_is_out_of_use_after_two_lost_connections_in_a_row() {
    let now = Instant::now();
    let mut core = core(now);
    let first = call_plain(&mut core, now, lost(true));
    assert!(is_usable(&core, now + RESET_MS, &first));
    let later = now + RESET_MS * 2;
    let second = call_plain(&mut core, later, lost(true));
    assert_ne!(first, second);
    let targets = (0..4).map(|_| call_plain(&mut core, later, lost(true)));
    let calls_of_first = targets.filter(|target| *target == first).count();
    assert!(calls_of_first > 0);
    let key = core.fleet.get(&first).unwrap().key;
    assert!(core.take_unreachable_reports().contains(&key));
}

// Targets answer some calls with a failure of their own; those calls were taken.
#[test]
fn lost_connections_around_an_answer_do_not_take_a_target_out_of_use() {
    let now = Instant::now();
    let mut core = core(now);
    for outcome in [lost(true), CallOutcome::Failed { status: 500 }, lost(true)] {
        let (number, decision) = core.start(now, plain("/order/1"));
        let target = call(decision).call.target;
        core.call_ended(now + RESET_MS, number, outcome);
        // Leaves one target, so that all calls go there.
        let other = if target == "desk-1" {
            "desk-2"
        } else {
            "desk-1"
        };
        core.fleet.remove_entry(now, other);
    }
    assert!(core.take_unreachable_reports().is_empty());
}

// A failure to connect may be the fault of this host.
#[test]
fn target_that_this_host_cannot_reach_is_not_reported_to_peers() {
    let now = Instant::now();
    let mut core = core(now);
    let not_sent = CallOutcome::NotSent {
        detail: "timed out".to_owned(),
    };
    let target = call_plain(&mut core, now, not_sent);
    assert!(!is_usable(&core, now + RESET_MS, &target));
    assert!(core.take_unreachable_reports().is_empty());
}

// A connection that times out may be cut off at this host.
#[test]
fn target_whose_connections_time_out_is_not_reported_to_peers() {
    let now = Instant::now();
    let mut core = core(now);
    for _ in 0..8 {
        let (number, decision) = core.start(now, plain("/order/1"));
        call(decision);
        core.call_ended(now + Duration::from_millis(2_100), number, lost(true));
    }
    assert!(core.take_unreachable_reports().is_empty());
}

#[test]
fn target_whose_address_another_process_has_is_reported_to_peers() {
    let now = Instant::now();
    let mut core = core(now);
    let other_process = CallOutcome::NotRun {
        status: 421,
        is_other_process: true,
    };
    let target = call_plain(&mut core, now, other_process);
    let key = core.fleet.get(&target).unwrap().key;
    assert_eq!(core.take_unreachable_reports(), [key]);
}

#[test]
fn reported_targets_stay_in_use_if_all_of_their_role_are_reported() {
    let now = Instant::now();
    let mut core = core(now);
    let usable = core
        .fleet
        .usable(&PLAIN_SERVICE.to_owned(), AllowedBuilds::Any, now);
    let keys: Vec<_> = usable.iter().map(|state| state.key).collect();
    for key in &keys {
        core.peer_reports_unreachable(now, *key);
    }
    let usable = core
        .fleet
        .usable(&PLAIN_SERVICE.to_owned(), AllowedBuilds::Any, now);
    assert_eq!(usable.len(), keys.len());
}

// The calls that a crashed process had in flight took the process that has its name now out of use.
#[test]
fn lost_calls_of_an_earlier_process_do_not_count_against_the_one_with_its_name() {
    let now = Instant::now();
    let mut core = core(now);
    let mut lost = Vec::new();
    for _ in 0..20 {
        let (number, decision) = core.start(now, plain("/order/1"));
        lost.push((number, call(decision).call.target));
    }
    for name in ["desk-1", "desk-2"] {
        let mut entry = target(name, PLAIN_SERVICE, Role::Mixed);
        entry.started_at_ms = 2;
        core.apply_update(now, DeploymentUpdate::TargetWritten(entry));
        assert!(
            lost.iter().any(|(_, target)| target == name),
            "{name} has no call"
        );
    }
    for (number, _) in lost {
        let outcome = CallOutcome::AnswerLost {
            detail: "reset".to_owned(),
            is_new_connection: true,
            is_closed_by_target: true,
        };
        core.call_ended(now, number, outcome);
    }
    let targets = core.fleet.targets();
    let of_service = targets.filter(|state| state.entry.service == PLAIN_SERVICE);
    assert!(
        of_service
            .into_iter()
            .all(|state| state.health.is_healthy(now))
    );
    assert!(core.take_unreachable_reports().is_empty());
}
