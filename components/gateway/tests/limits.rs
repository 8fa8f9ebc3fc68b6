//! Tests of how requests are handled when targets name limits.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::core;
use common::ending;
use common::plain;
use common::prompt;
use gateway::core::CallOutcome;
use gateway::core::Core;
use gateway::core::Decision;
use gateway::core::Ending;
use gateway::core::RefusalCause;
use gateway::protocol::PrefillResult;
use gateway::protocol::Step;
use limits::NamedRate;
use limits::Rate;
use types::Role;

const RATE_PER_S: f64 = 4.0;

fn prefilled() -> CallOutcome {
    CallOutcome::Prefilled(PrefillResult {
        handle: "m1".to_owned(),
    })
}

fn named() -> NamedRate {
    NamedRate::Limit(Rate::per_second(RATE_PER_S).expect("positive"))
}

/// Lets `time` pass. The processes that the limits are divided by are not heard.
fn pass(core: &mut Core, now: &mut Instant, time: Duration) {
    let until = *now + time;
    while *now < until {
        *now += Duration::from_millis(50);
        core.tick(*now);
    }
}

/// Has all targets of some kind name a limit.
fn name_limits(core: &mut Core, now: Instant, is_limited: impl Fn(&str) -> bool) {
    let targets = core.fleet.targets();
    let limited = targets.filter(|state| is_limited(&state.entry.name));
    let keys: Vec<_> = limited.map(|state| state.key).collect();
    for key in keys {
        core.fleet.limits.record_answer(now, now, key, named());
    }
}

// A request without a target waited for its deadline, or was told of any time.
#[test]
fn request_that_limits_leave_no_room_for_is_refused_at_once_and_told_when_to_return() {
    let mut now = Instant::now();
    let mut core = core(now);
    pass(&mut core, &mut now, Duration::from_secs(3));
    name_limits(&mut core, now, |name| name.starts_with("desk"));
    pass(&mut core, &mut now, Duration::from_secs(3));
    let mut calls = 0;
    let mut delays = Vec::new();
    for _ in 0..20 {
        let (number, decision) = core.start(now, plain("/read/1"));
        match decision {
            Decision::Call(_) => {
                calls += 1;
                core.call_ended(now, number, CallOutcome::Answered { status: 200 });
            }
            Decision::End(Ending::Refuse {
                retry_after_ms,
                cause: RefusalCause::Limited,
            }) => delays.push(retry_after_ms),
            Decision::End(end) => panic!("{end:?}"),
        }
    }
    assert_eq!(calls, 2);
    delays.sort();
    let distinct = delays.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert_eq!(distinct, delays.len() - 1, "{delays:?}");
    pass(&mut core, &mut now, delays[0] + Duration::from_secs(1));
    let (_, decision) = core.start(now, plain("/read/1"));
    assert!(matches!(decision, Decision::Call(_)), "{decision:?}");
}

// Prompts were prefilled for engines that had no room for the run.
#[test]
fn prefill_has_room_reserved_for_its_run() {
    let mut now = Instant::now();
    let mut core = core(now);
    pass(&mut core, &mut now, Duration::from_secs(3));
    name_limits(&mut core, now, |name| name.starts_with("write"));
    pass(&mut core, &mut now, Duration::from_secs(3));
    let mut prefilling = Vec::new();
    let mut refused = 0;
    for own in 0..8 {
        let (number, decision) = core.start(now, prompt("/draft/1", own, 13_300, 3_700));
        match decision {
            Decision::Call(next) if next.call.step == Step::Prefill => prefilling.push(number),
            Decision::Call(_) => {}
            Decision::End(Ending::Refuse {
                cause: RefusalCause::Limited,
                ..
            }) => refused += 1,
            Decision::End(end) => panic!("{end:?}"),
        }
    }
    assert!(!prefilling.is_empty());
    assert!(refused >= 5, "{refused}");
    for number in prefilling {
        let decision = core.call_ended(now, number, prefilled());
        let Decision::Call(next) = decision else {
            panic!("{:?}", ending(decision));
        };
        let role = core
            .fleet
            .get(&next.call.target)
            .map(|state| state.entry.role);
        assert_eq!(role, Some(Role::Decode));
    }
}
