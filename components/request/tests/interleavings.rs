//! Random interleavings of requests, resends and faults at two entries.
//!
//! Guards against non-idempotent work that runs twice, refusals with a wrong run state, answers
//! that are incomplete or mixed, rows that refer to objects which are not stored, callers without
//! a final reply, and state that is not removed.

mod support;

use std::time::Duration;

use support::cluster::Behaviour;
use support::cluster::Cluster;
use support::cluster::ENTRIES;
use support::cluster::TARGETS;

/// One step: its kind, and two numbers that select its parameters.
type Step = (u8, u8, u8);

fn apply(cluster: &mut Cluster, (kind, first, second): Step) {
    let entry = usize::from(first) % ENTRIES;
    let target = usize::from(second) % TARGETS;
    match kind % 32 {
        0..=3 => cluster.submit(entry, Some(second % 3), false),
        4..=5 => cluster.submit(entry, None, true),
        6..=13 => cluster.deliver(usize::from(first)),
        14 => cluster.deliver(0),
        15 => cluster.duplicate(usize::from(first)),
        16..=23 => {
            let fault = match kind % 32 {
                fault @ 21..=23 => fault - 21,
                _ => u8::MAX,
            };
            if cluster.entries[entry].table_calls.is_empty() {
                cluster.end_object_call(entry, usize::from(second), fault);
            } else {
                cluster.end_table_call(entry, usize::from(second), fault);
            }
        }
        24 => cluster.apply_delayed(),
        25 => cluster.disconnect(entry, target),
        26 => cluster.connect(entry, target),
        27 if first < 64 => cluster.restart_agent(target),
        27 if first < 96 => cluster.restart_entry(entry),
        28 if first < 64 => cluster.hang_up(usize::from(second)),
        28 => cluster.end_object_call(entry, usize::from(second), first % 4),
        29 => {
            let behaviours = [
                Behaviour::Answers,
                Behaviour::Rejects,
                Behaviour::FailsNotRun,
                Behaviour::FailsAfterStart,
                Behaviour::NeverAnswers,
            ];
            cluster.set_behaviour(target, behaviours[usize::from(first) % behaviours.len()]);
        }
        30 => cluster.advance(Duration::from_millis(u64::from(first) * 20)),
        31 if first >= 128 => cluster.deliver_answers(),
        _ => cluster.advance(Duration::from_millis(5)),
    }
}

fn has_no_violations(steps: Vec<Step>) -> bool {
    let mut cluster = Cluster::new();
    for step in steps {
        apply(&mut cluster, step);
    }
    cluster.finish();
    if !cluster.violations.is_empty() {
        eprintln!("{:?}", cluster.violations);
    }
    cluster.violations.is_empty()
}

#[test]
fn upholds_all_guarantees_under_any_interleaving() {
    seeded::check_sized(400)
        .tests(seeded::cases(1_500))
        .quickcheck(has_no_violations as fn(Vec<Step>) -> bool);
}

/// Guards against a property that holds only because no request is ever answered.
#[test]
fn answers_a_request_and_its_resend_at_another_entry_from_one_run() {
    let mut cluster = Cluster::new();
    cluster.submit(0, Some(1), false);
    cluster.submit(1, Some(1), false);
    cluster.finish();
    assert_eq!(cluster.violations, Vec::<String>::new());
    assert_eq!(cluster.answered(), 2);
}

/// Guards against two entries that receive the same request at once, forbid each other's attempts
/// in turn, and refuse both callers.
#[test]
fn answers_both_callers_when_questions_overtake_dispatches() {
    let mut cluster = Cluster::new();
    cluster.submit(0, Some(1), false);
    cluster.submit(1, Some(1), false);
    cluster.settle_forbids_first();
    assert_eq!(cluster.answered(), 2);
    assert_eq!(cluster.refused(), 0);
    cluster.finish();
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against a second run after a claim write whose result was unknown.
#[test]
fn runs_once_when_the_reply_to_a_claim_is_lost() {
    let steps = vec![
        (0, 0, 10),
        (80, 0, 0),
        (27, 96, 0),
        (126, 100, 0),
        (176, 0, 0),
        (219, 96, 0),
        (181, 0, 0),
        (0, 0, 46),
        (80, 0, 0),
        (126, 50, 0),
        (0, 15, 190),
    ];
    assert!(has_no_violations(steps));
}
