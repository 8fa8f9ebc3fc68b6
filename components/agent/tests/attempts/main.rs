//! Attempts under random sequences of dispatch, forbid, resume, cancel, credit and connection loss.

mod fixtures;
mod rate_limit;
mod resumes;
mod world;

use std::time::Duration;

use agent::Event;
use agent::Limits;
use seeded::quickcheck;
use types::AttemptId;
use types::ServiceKind;
use wire::ToAgent;

use crate::fixtures::id;
use crate::world::ATTEMPT_COUNT;
use crate::world::INCARNATION;
use crate::world::Step;
use crate::world::World;

fn limits() -> Limits {
    let address = "127.0.0.1:1".parse().expect("address");
    Limits {
        kind: ServiceKind::Plain,
        service: "portal".to_owned(),
        concurrency: 2,
        queue: 2,
        buffer_limit_bytes: 24,
        ..Limits::new("target", INCARNATION, address)
    }
}

fn kind(model: bool) -> ServiceKind {
    if model {
        ServiceKind::Model
    } else {
        ServiceKind::Plain
    }
}

quickcheck! {
    /// Guards against a non-idempotent attempt that runs twice, or that is reported as not run
    /// although it ran, for any order of dispatch, forbid, cancel, resume, connection loss and
    /// retries, even when the attempt history overflows.
    fn runs_no_non_idempotent_attempt_twice(steps: Vec<Step>, history: u8, model: bool) -> bool {
        let mut world = World::new(Limits {
            kind: kind(model),
            history_limit: 1 + usize::from(history % 8),
            kept_answer_limit_bytes: 40,
            kept_count_limit: 2,
            ..limits()
        });
        for step in steps {
            world.step(step, true);
        }
        true
    }

    /// Guards against answers that are lost, truncated or generated again when connections to an
    /// engine that still knows the runs break.
    fn relays_complete_answers_over_broken_engine_connections(broken_runs: Vec<u8>) -> bool {
        let mut world = World::new(Limits { kind: ServiceKind::Model, queue: 64, ..limits() });
        for attempt in 0..ATTEMPT_COUNT {
            world.dispatch(0, attempt, 63);
        }
        for round in 0..4000_usize {
            let amount = u8::try_from(round % 251).expect("below 251");
            let picked = broken_runs.get(round / 10);
            if let Some(at) = picked && let Some(run) = world.pick_run(*at)
                && world.observed[world.runs[&run].attempt].resume_count < 2
            {
                world.break_connection(*at, 2);
            }
            world.now += Duration::from_millis(1);
            world.event(Event::Tick);
            world.advance_run(amount, amount);
            for attempt in 0..ATTEMPT_COUNT {
                world.credit(0, attempt, 1);
            }
        }
        for attempt in 0..ATTEMPT_COUNT {
            assert!(world.positions[0][attempt].has_ended, "attempt {attempt} was not answered");
            assert_eq!(world.observed[attempt].started_runs, 1, "attempt {attempt} ran again");
        }
        true
    }

    /// Guards against lost, duplicate or wrong bytes when an entry reconnects: it must get the rest
    /// of its answer for any earlier credit and resumptions.
    fn relays_complete_answers_after_any_resumption(steps: Vec<Step>) -> bool {
        let mut world = World::new(Limits { queue: 64, ..limits() });
        for attempt in 0..ATTEMPT_COUNT {
            world.dispatch(0, attempt, 7);
        }
        for (operation, subject, amount) in steps {
            // All steps use one entry, and the clock stays, so that no orphaned attempt expires.
            let (operation, subject) = if matches!(operation % 12, 0..=2 | 9) {
                (3, subject)
            } else {
                (operation, subject)
            };
            world.step((operation, subject % 8, amount), false);
        }
        world.connect(0);
        for attempt in 0..ATTEMPT_COUNT {
            world.resume(0, attempt, 4096);
        }
        for round in 0..2000_u32 {
            let amount = u8::try_from(round % 251).expect("below 251");
            world.advance_run(amount, amount);
            for attempt in 0..ATTEMPT_COUNT {
                world.credit(0, attempt, 1);
            }
        }
        for attempt in 0..ATTEMPT_COUNT {
            let has_ended = world.positions[0][attempt].has_ended;
            assert!(has_ended, "attempt {attempt} was not answered in full");
        }
        true
    }
}

/// Guards against a dispatch that arrives late on an abandoned connection and runs after its entry
/// was told that the attempt did not run.
#[test]
fn rejects_dispatch_that_arrives_after_resume() {
    let mut world = World::new(limits());
    world.resume(0, 0, 64);
    world.dispatch(1, 0, 7);
    assert!(world.runs.is_empty());
}

/// Guards against an answer that is lost when the entry that dispatched the attempt disconnects.
#[test]
fn keeps_non_idempotent_answer_for_another_entry() {
    let mut world = World::new(limits());
    world.dispatch(0, 0, 63);
    for _ in 0..40 {
        world.advance_run(0, 9);
        world.credit(0, 0, 9);
    }
    assert!(world.positions[0][0].has_ended);
    world.connect(0);
    world.message(
        1,
        ToAgent::Forbid {
            attempt: id(0),
            incarnation: INCARNATION,
        },
    );
    world.resume(1, 0, 4096);
    assert!(world.positions[1][0].has_ended);
}

/// Guards against an unbounded history, and against an evicted attempt that is reported as new.
#[test]
fn reports_attempts_beyond_the_history_limit_as_evicted() {
    let mut history = agent::AttemptHistory::new(2);
    let attempt = |counter| AttemptId {
        request: types::ids::request_id(1, counter),
        number: 1,
    };
    for counter in 0..5 {
        history.record(attempt(counter), agent::Record::Started);
    }
    assert_eq!(history.len(), 2);
    assert_eq!(history.lookup(attempt(0)), agent::Lookup::Evicted);
    assert_eq!(
        history.lookup(attempt(4)),
        agent::Lookup::Found(agent::Record::Started)
    );
    assert_eq!(history.lookup(attempt(9)), agent::Lookup::New);
}

/// Guards against a full queue that rejects work of high priority in favour of lower priority, and
/// against a queue that exceeds its limit.
#[test]
fn replaces_queued_work_by_work_of_higher_priority() {
    let mut world = World::new(Limits {
        concurrency: 1,
        queue: 1,
        ..limits()
    });
    // The lowest two bits of the amount are the priority; 0 is the highest.
    world.dispatch(0, 0, 5 * 4 + 1);
    world.dispatch(0, 2, 5 * 4 + 2);
    assert_eq!(world.agent.in_flight(), 2);
    world.dispatch(0, 4, 5 * 4 + 2);
    assert!(
        world.observed[4].is_reported_not_run,
        "accepted although its priority is not higher"
    );
    world.dispatch(0, 6, 5 * 4 + 1);
    assert!(
        world.observed[2].is_reported_not_run,
        "not replaced by work of higher priority"
    );
    assert_eq!(world.agent.in_flight(), 2);
}

/// Guards against waiting work that does not start after the limit is raised, and against runs that
/// are aborted when it is lowered.
#[test]
fn applies_a_new_concurrency_limit_without_aborting_runs() {
    let mut world = World::new(Limits {
        concurrency: 1,
        queue: 4,
        ..limits()
    });
    for attempt in [0, 2, 4] {
        world.dispatch(0, attempt, 5 * 4 + 1);
    }
    assert_eq!(world.runs.len(), 1);
    world.event(agent::Event::ConcurrencyChanged(2));
    assert_eq!(world.runs.len(), 2);
    world.event(agent::Event::ConcurrencyChanged(1));
    assert_eq!((world.runs.len(), world.agent.in_flight()), (2, 3));
}

/// Guards against an agent that keeps sending resume requests to an engine that never continues the
/// answer, which would block orders and the retry of the attempt at another target.
#[test]
fn fails_a_run_after_three_resume_requests() {
    let mut world = World::new(Limits {
        kind: ServiceKind::Model,
        ..limits()
    });
    world.dispatch(0, 0, 63);
    for _ in 0..8 {
        world.break_connection(0, 2);
        world.now += Duration::from_millis(500);
        world.event(Event::Tick);
    }
    assert_eq!(
        (
            world.observed[0].started_runs,
            world.observed[0].resume_count
        ),
        (1, 3)
    );
    assert_eq!(world.agent.in_flight(), 0);
}
