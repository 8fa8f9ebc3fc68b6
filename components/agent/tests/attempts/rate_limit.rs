//! Attempts at a target that names a limit on its requests.

use std::time::Duration;
use std::time::Instant;

use agent::EngineLoad;
use agent::Event;
use agent::Limits;
use agent::TargetEvent;
use limits::NamedRate;
use limits::Rate;
use limits::SPAN_MS;

use crate::limits;
use crate::world::ATTEMPT_COUNT;
use crate::world::World;

/// A value of `World::dispatch` that gives a deadline of 7 s, and one that gives 1 s.
const LONG: u8 = 7;
const SHORT: u8 = 1;
/// A non-idempotent attempt.
const SHORT_ATTEMPT: usize = 6;

fn started(world: &World) -> u32 {
    world.observed.iter().map(|seen| seen.started_runs).sum()
}

// An agent that had just started sent as many requests as there are slots before the first answer.
#[test]
fn limit_in_the_load_report_holds_before_the_first_answer() {
    let mut world = World::new(Limits {
        concurrency: 32,
        queue: 32,
        ..limits()
    });
    let load = EngineLoad {
        requests_per_s: Rate::per_second(1.0),
        ..EngineLoad::default()
    };
    world.event(Event::EngineLoad(load));
    for attempt in 0..ATTEMPT_COUNT {
        world.dispatch(0, attempt, LONG);
    }
    assert!(started(&world) <= 1, "{} runs", started(&world));
}

// Issue 26: an agent started as many runs as its target has slots, whatever limit that names.
#[test]
fn target_that_names_a_limit_gets_no_more_than_that() {
    let mut world = World::new(Limits {
        concurrency: 32,
        queue: 32,
        ..limits()
    });
    world.dispatch(0, 0, LONG);
    let run = world.pick_run(0).expect("the first attempt runs");
    let rate = Rate::per_second(1.0).map(NamedRate::Limit);
    let event = TargetEvent::RateNamed(rate.expect("positive"));
    world.event(Event::Target { run, event });
    for attempt in (1..ATTEMPT_COUNT).filter(|attempt| *attempt != SHORT_ATTEMPT) {
        world.dispatch(0, attempt, LONG);
    }
    world.dispatch(0, SHORT_ATTEMPT, SHORT);
    let refused = &world.observed[SHORT_ATTEMPT];
    assert!(
        refused.is_reported_not_run,
        "it cannot begin before its deadline"
    );
    let mut starts: Vec<Instant> = Vec::new();
    for _ in 0..140 {
        world.now += Duration::from_millis(50);
        let before = started(&world);
        world.event(Event::Tick);
        for _ in before..started(&world) {
            starts.push(world.now);
        }
    }
    for (first, from) in starts.iter().enumerate() {
        let span = starts[first..]
            .iter()
            .take_while(|at| **at < *from + SPAN_MS);
        assert!(span.count() <= 4, "{starts:?}");
    }
    assert!(starts.len() >= 5, "{starts:?}");
}

// A target that had refused a request with a pause got the next one at once.
#[test]
fn target_that_asks_for_a_pause_gets_no_request_until_it_ends() {
    let mut world = World::new(Limits {
        concurrency: 32,
        queue: 32,
        ..limits()
    });
    world.dispatch(0, 0, LONG);
    let run = world.pick_run(0).expect("the first attempt runs");
    let event = TargetEvent::PauseAsked(Duration::from_secs(2));
    world.event(Event::Target { run, event });
    world.dispatch(0, 1, LONG);
    world.dispatch(0, SHORT_ATTEMPT, SHORT);
    let refused = &world.observed[SHORT_ATTEMPT];
    assert!(
        refused.is_reported_not_run,
        "it cannot begin before its deadline"
    );
    assert_eq!(started(&world), 1);
    world.now += Duration::from_millis(1_900);
    world.event(Event::Tick);
    assert_eq!(started(&world), 1);
    world.now += Duration::from_millis(200);
    world.event(Event::Tick);
    assert_eq!(started(&world), 2);
}
