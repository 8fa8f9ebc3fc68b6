//! Answers that are too large for a claim row.

mod support;

use std::time::Duration;

use request::Event;
use request::answer::Answer;
use request::answer::AnswerHead;
use request::claim::KEPT_ANSWER_LIMIT_BYTES;
use request::claim::ROW_ANSWER_LIMIT_BYTES;
use request::retained::MemoryBudget;
use request::retained::REPLAY_LIMIT_BYTES;
use request::retained::RETAINED_LIMIT_BYTES;
use support::world::LARGE_KEY;
use support::world::World;
use types::Headers;
use types::RefusalReason;
use types::RunState;

/// A run has ended at entry 0, and neither that process nor the agent remembers it.
fn answered_and_forgotten() -> World {
    let mut world = World::new();
    world.submit(0, Some(LARGE_KEY), false);
    world.settle();
    world.advance(Duration::from_millis(100));
    world.settle();
    assert_eq!(world.answered(), 1);
    assert_eq!(world.objects.len(), 1);
    world.restart_entry(0);
    world.restart_agent(0);
    world.restart_agent(1);
    world.settle();
    world
}

/// Guards against a resend that does not get the answer of the first submission.
#[test]
fn resend_gets_a_large_answer_from_the_object_store() {
    let mut world = answered_and_forgotten();
    world.submit(1, Some(LARGE_KEY), false);
    world.settle();
    assert_eq!(world.answered(), 2);
    world.finish();
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against partial answers, refusals that are not true, and a caller that is not told
/// when to come back.
#[test]
fn refuses_with_a_time_to_return_while_the_object_cannot_be_read() {
    for way in 0..4 {
        let mut world = answered_and_forgotten();
        world.submit(1, Some(LARGE_KEY), false);
        while world.entries[1].object_calls.is_empty() {
            world.end_call(1, 0, u8::MAX);
            world.advance(Duration::from_millis(5));
        }
        world.end_object_call(1, 0, way);
        let refusals: Vec<_> = world.callers.values().filter_map(|c| c.refusal).collect();
        let unreadable = (RefusalReason::StoreUnavailable, RunState::Unknown);
        assert_eq!(refusals, [unreadable]);
        assert!(
            world
                .callers
                .values()
                .all(|c| c.retry_after_ms.is_some() || c.whole)
        );
        world.submit(1, Some(LARGE_KEY), false);
        world.settle();
        assert_eq!(world.answered(), 2);
        world.finish();
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Guards against a caller that waits for a silent store until its deadline.
#[test]
fn refuses_when_the_store_is_silent() {
    let mut world = answered_and_forgotten();
    world.submit(1, Some(LARGE_KEY), false);
    for _ in 0..12 {
        world.end_call(1, 0, u8::MAX);
        world.advance(Duration::from_millis(500));
    }
    assert_eq!(world.refused(), 1);
    world.finish();
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an outcome that is lost because the store was down when the run ended.
#[test]
fn stores_an_answer_after_an_outage_and_gives_it_from_memory_until_then() {
    let mut world = World::new();
    world.submit(0, Some(LARGE_KEY), false);
    for _ in 0..200 {
        world.deliver(0);
        world.end_call(0, 0, u8::MAX);
        world.end_object_call(0, 0, 0);
        world.advance(Duration::from_millis(50));
    }
    assert!(world.objects.is_empty());
    assert!(!world.entries[0].requests.is_idle());
    world.submit(0, Some(LARGE_KEY), false);
    assert_eq!(world.answered(), 2);
    world.finish();
    assert_eq!(world.objects.len(), 1);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an outage of the store that fills the memory of an entry.
#[test]
fn holds_no_more_than_its_limit_and_gives_the_memory_back() {
    let held = MemoryBudget::new(RETAINED_LIMIT_BYTES);
    let mut answers = Vec::new();
    for index in 0..=RETAINED_LIMIT_BYTES / KEPT_ANSWER_LIMIT_BYTES {
        let mut answer = Answer::retaining(&held);
        answer.receive_head(AnswerHead {
            headers: Headers::default(),
            status: 200,
            content_type: String::new(),
        });
        answer.receive_chunk(0, vec![1; KEPT_ANSWER_LIMIT_BYTES / 2]);
        answer.receive_chunk(0, vec![1; KEPT_ANSWER_LIMIT_BYTES]);
        assert!(held.used() <= RETAINED_LIMIT_BYTES);
        let fits = index < RETAINED_LIMIT_BYTES / KEPT_ANSWER_LIMIT_BYTES;
        assert_eq!(answer.retained().is_some(), fits);
        answers.push(answer);
    }
    answers.clear();
    assert_eq!(held.used(), 0);
}

/// Guards against callers that resend freely and do not read, and so fill the memory.
#[test]
fn refuses_resends_while_too_many_large_answers_are_being_sent() {
    let mut world = World::new();
    world.submit(0, Some(LARGE_KEY), false);
    world.settle();
    // Until the claim row has the outcome, resends get the answer from the agent.
    world.advance(Duration::from_millis(100));
    world.settle();
    let resends = REPLAY_LIMIT_BYTES / ROW_ANSWER_LIMIT_BYTES;
    for _ in 0..resends + 2 {
        world.submit(1, Some(LARGE_KEY), false);
        world.settle();
    }
    let refused = world.callers.iter().filter(|(_, c)| c.refusal.is_some());
    let refused: Vec<_> = refused
        .map(|(_, c)| (c.refusal, c.retry_after_ms))
        .collect();
    assert!(!refused.is_empty());
    let no_room = Some((RefusalReason::Overloaded, RunState::Unknown));
    assert!(
        refused
            .iter()
            .all(|(refusal, retry)| *refusal == no_room && retry.is_some())
    );
    let requests: Vec<_> = world.callers.keys().copied().collect();
    for request in requests {
        world.event(1, Event::CallerGone { request });
    }
    world.submit(1, Some(LARGE_KEY), false);
    world.settle();
    assert_eq!(world.refused(), refused.len());
    assert_eq!(world.violations, Vec::<String>::new());
}
