//! Answers that are too large for a claim row.

mod support;

use std::time::Duration;

use request::Event;
use request::answer::Answer;
use request::answer::AnswerHead;
use request::claim::RETAINED_ANSWER_LIMIT_BYTES;
use request::claim::ROW_ANSWER_LIMIT_BYTES;
use request::retained::MemoryBudget;
use request::retained::REPLAY_LIMIT_BYTES;
use request::retained::RETAINED_LIMIT_BYTES;
use support::cluster::Cluster;
use support::cluster::LARGE_KEY;
use types::Headers;
use types::RefusalReason;
use types::RunState;

/// Cluster in which a run ended at entry 0 before that entry and both agents were restarted.
fn answered_before_restarts() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.submit(0, Some(LARGE_KEY), false);
    cluster.settle();
    cluster.advance(Duration::from_millis(100));
    cluster.settle();
    assert_eq!(cluster.answered(), 1);
    assert_eq!(cluster.objects.len(), 1);
    cluster.restart_entry(0);
    cluster.restart_agent(0);
    cluster.restart_agent(1);
    cluster.settle();
    cluster
}

/// Guards against a resend that does not receive the answer of the first submission.
#[test]
fn resend_gets_a_large_answer_from_the_object_store() {
    let mut cluster = answered_before_restarts();
    cluster.submit(1, Some(LARGE_KEY), false);
    cluster.settle();
    assert_eq!(cluster.answered(), 2);
    cluster.finish();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against partial answers, refusals with a wrong run state, and refusals without a retry
/// delay.
#[test]
fn refuses_with_a_retry_delay_while_the_object_cannot_be_read() {
    for fault in 0..4 {
        let mut cluster = answered_before_restarts();
        cluster.submit(1, Some(LARGE_KEY), false);
        while cluster.entries[1].object_calls.is_empty() {
            cluster.end_table_call(1, 0, u8::MAX);
            cluster.advance(Duration::from_millis(5));
        }
        cluster.end_object_call(1, 0, fault);
        let refusals: Vec<_> = cluster.callers.values().filter_map(|c| c.refusal).collect();
        let unavailable = (RefusalReason::StoreUnavailable, RunState::Unknown);
        assert_eq!(refusals, [unavailable]);
        assert!(
            cluster
                .callers
                .values()
                .all(|c| c.retry_after_ms.is_some() || c.is_complete)
        );
        cluster.submit(1, Some(LARGE_KEY), false);
        cluster.settle();
        assert_eq!(cluster.answered(), 2);
        cluster.finish();
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

/// Guards against a caller that waits until its deadline for a store that does not answer.
#[test]
fn refuses_when_the_object_store_does_not_answer() {
    let mut cluster = answered_before_restarts();
    cluster.submit(1, Some(LARGE_KEY), false);
    for _ in 0..12 {
        cluster.end_table_call(1, 0, u8::MAX);
        cluster.advance(Duration::from_millis(500));
    }
    assert_eq!(cluster.refused(), 1);
    cluster.finish();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against an outcome that is lost because the store was unavailable when the run ended.
#[test]
fn answers_from_memory_until_the_answer_is_stored_after_an_outage() {
    let mut cluster = Cluster::new();
    cluster.submit(0, Some(LARGE_KEY), false);
    for _ in 0..200 {
        cluster.deliver(0);
        cluster.end_table_call(0, 0, u8::MAX);
        cluster.end_object_call(0, 0, 0);
        cluster.advance(Duration::from_millis(50));
    }
    assert!(cluster.objects.is_empty());
    assert!(!cluster.entries[0].requests.is_idle());
    cluster.submit(0, Some(LARGE_KEY), false);
    assert_eq!(cluster.answered(), 2);
    cluster.finish();
    assert_eq!(cluster.objects.len(), 1);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against an entry that runs out of memory during an outage of the object store.
#[test]
fn retains_no_more_than_the_limit_and_releases_memory_on_drop() {
    let budget = MemoryBudget::new(RETAINED_LIMIT_BYTES);
    let mut answers = Vec::new();
    for index in 0..=RETAINED_LIMIT_BYTES / RETAINED_ANSWER_LIMIT_BYTES {
        let mut answer = Answer::retaining(&budget);
        answer.receive_head(AnswerHead {
            headers: Headers::default(),
            status: 200,
            content_type: String::new(),
        });
        answer.receive_chunk(0, vec![1; RETAINED_ANSWER_LIMIT_BYTES / 2]);
        answer.receive_chunk(0, vec![1; RETAINED_ANSWER_LIMIT_BYTES]);
        assert!(budget.used() <= RETAINED_LIMIT_BYTES);
        let fits = index < RETAINED_LIMIT_BYTES / RETAINED_ANSWER_LIMIT_BYTES;
        assert_eq!(answer.retained().is_some(), fits);
        answers.push(answer);
    }
    answers.clear();
    assert_eq!(budget.used(), 0);
}

/// Guards against an entry that runs out of memory because callers resend often and do not read.
#[test]
fn refuses_resends_while_replays_exceed_the_memory_limit() {
    let mut cluster = Cluster::new();
    cluster.submit(0, Some(LARGE_KEY), false);
    cluster.settle();
    // Until the claim row has the outcome, resends receive the answer from the agent.
    cluster.advance(Duration::from_millis(100));
    cluster.settle();
    let resends = REPLAY_LIMIT_BYTES / ROW_ANSWER_LIMIT_BYTES;
    for _ in 0..resends + 2 {
        cluster.submit(1, Some(LARGE_KEY), false);
        cluster.settle();
    }
    let refused = cluster.callers.iter().filter(|(_, c)| c.refusal.is_some());
    let refused: Vec<_> = refused
        .map(|(_, c)| (c.refusal, c.retry_after_ms))
        .collect();
    assert!(!refused.is_empty());
    let overloaded = Some((RefusalReason::Overloaded, RunState::Unknown));
    assert!(
        refused
            .iter()
            .all(|(refusal, retry)| *refusal == overloaded && retry.is_some())
    );
    let requests: Vec<_> = cluster.callers.keys().copied().collect();
    for request in requests {
        cluster.event(1, Event::CallerDisconnected { request });
    }
    cluster.submit(1, Some(LARGE_KEY), false);
    cluster.settle();
    assert_eq!(cluster.refused(), refused.len());
    assert_eq!(cluster.violations, Vec::<String>::new());
}
