//! Guards against wrong load accounting, and against a prefix-cache index that exceeds its limit or
//! keeps evicted pieces.

mod common;

use std::time::Duration;

use common::Setup;
use common::requirements;
use request::AttemptResult;
use request::Choice;
use request::Router;
use routing::PrefixIndex;
use routing::cache::Holder;
use seeded::quickcheck;
use types::CacheEvent;
use types::Usage;

quickcheck! {
    fn stale_reports_do_not_improve_rank(backlogs: Vec<u16>, stale: u16, dispatched: u8) -> bool {
        let mut setup = Setup::new(2, 1);
        for backlog in &backlogs {
            setup.report(0, |report| report.prefill_backlog_tokens = u64::from(*backlog));
        }
        for _ in 0..dispatched % 8 {
            setup.dispatch("engine-0", 3_000);
        }
        let requirements = requirements(setup.now, 1_000);
        let before = setup.rank(0, &requirements);
        setup.report(0, |report| {
            report.sequence = u64::from(stale) % (backlogs.len() as u64 + 2);
            report.received = 1_000;
        });
        setup.rank(0, &requirements) >= before
    }

    fn silence_does_not_improve_the_rank(backlog: u32, silence_ms: u16) -> bool {
        let mut setup = Setup::new(2, 1);
        setup.now += Duration::from_mins(1);
        setup.report(0, |report| report.prefill_backlog_tokens = u64::from(backlog));
        let requirements = requirements(setup.now, 1_000);
        let before = setup.rank(0, &requirements);
        setup.now += Duration::from_millis(u64::from(silence_ms));
        setup.rank(0, &requirements) >= before
    }

    fn dispatches_add_load_until_a_report_includes_them(sent: u8, received: u8) -> bool {
        let mut setup = Setup::new(1, 1);
        let sent = u64::from(sent % 32);
        let received = u64::from(received % 32).min(sent);
        for _ in 0..sent {
            setup.dispatch("engine-0", 100);
        }
        setup.report(0, |report| report.received = received);
        let requests = setup.fleet.views(setup.now, "drafts")[0].requests;
        (requests - f64::from(u32::try_from(sent - received).unwrap())).abs() < 1e-6
    }

    fn the_index_stays_within_its_limit(events: Vec<(u16, u8, bool)>) -> bool {
        let mut index = PrefixIndex::new(64);
        events.iter().all(|(prefix, holder, stored)| {
            let holder = Holder::new(usize::from(*holder), 1);
            if *stored {
                index.stored(u64::from(*prefix), holder);
            } else {
                index.evicted(u64::from(*prefix), holder);
            }
            index.len() <= 64 && index.holds(u64::from(*prefix), holder) == *stored
        })
    }
}

#[test]
fn prefers_the_target_that_holds_the_prefix_in_a_large_fleet() {
    let mut setup = Setup::new(64, 5);
    setup.now += Duration::from_secs(1);
    let prefixes: Vec<u64> = (1..=10).map(|n| n * 7_919).collect();
    let events: Vec<_> = (1..)
        .zip(&prefixes)
        .map(|(sequence, prefix)| CacheEvent {
            sequence,
            prefix: *prefix,
            stored: true,
        })
        .collect();
    setup.fleet.cache_events("engine-17", 117, &events);
    let mut requirements = requirements(setup.now, 20_000);
    requirements.prefixes = prefixes;
    let choice = setup.fleet.choose(setup.now, &requirements, &[]);
    assert!(matches!(choice, Choice::Target { target, .. } if target == "engine-17"));
}

#[test]
fn usage_without_cache_hits_lowers_the_expected_hits() {
    let mut setup = Setup::new(1, 5);
    let mut requirements = requirements(setup.now, 20_000);
    requirements.prefixes = (1..=10).map(|n| n * 7_919).collect();
    let mut cached = Vec::new();
    for request in 0..20 {
        let attempt = types::AttemptId { request, number: 1 };
        let name = "engine-0".to_owned();
        setup
            .fleet
            .attempt_dispatched(setup.now, &name, attempt, &requirements);
        let usage = Usage {
            prompt_tokens: 20_000,
            cached_tokens: 0,
            output_tokens: 10,
        };
        setup
            .fleet
            .attempt_ended(setup.now, &name, attempt, AttemptResult::Answered(usage));
        cached.push(setup.fleet.explain(setup.now, &requirements)[0].cached_tokens);
    }
    assert!(cached[19] < cached[0] / 2.0, "{cached:?}");
}

/// An engine that reports no usage must not count as one that produced no output and had no cache
/// hits: estimates would become too low and cached prefixes would be ignored.
#[test]
fn answers_without_usage_leave_the_averages_unchanged() {
    let mut setup = Setup::new(1, 5);
    let mut requirements = requirements(setup.now, 20_000);
    requirements.prefixes = (1..=10).map(|n| n * 7_919).collect();
    let mut sizes = Vec::new();
    for request in 0..20 {
        let attempt = types::AttemptId { request, number: 1 };
        let name = "engine-0".to_owned();
        setup
            .fleet
            .attempt_dispatched(setup.now, &name, attempt, &requirements);
        let result = AttemptResult::Answered(Usage::default());
        setup.fleet.attempt_ended(setup.now, &name, attempt, result);
        let cached = setup.fleet.explain(setup.now, &requirements)[0].cached_tokens;
        sizes.push((setup.fleet.size_for(&requirements).decode_tokens, cached));
    }
    assert_eq!(sizes[0], sizes[19]);
}
