//! Guards against wrong load accounting and against a cache index that grows or misleads.

mod common;

use std::time::Duration;

use common::World;
use common::need;
use request::Choice;
use request::Router;
use request::Settlement;
use routing::PrefixIndex;
use routing::cache::Holder;
use seeded::quickcheck;
use types::CacheEvent;
use types::Usage;

quickcheck! {
    fn stale_reports_do_not_raise_a_rank(backlogs: Vec<u16>, stale: u16, dispatched: u8) -> bool {
        let mut world = World::new(2, 1);
        for backlog in &backlogs {
            world.report(0, |report| report.prefill_backlog_tokens = u64::from(*backlog));
        }
        for _ in 0..dispatched % 8 {
            world.dispatch("engine-0", 3_000);
        }
        let need = need(world.now, 1_000);
        let before = world.rank(0, &need);
        world.report(0, |report| {
            report.sequence = u64::from(stale) % (backlogs.len() as u64 + 2);
            report.received = 1_000;
        });
        world.rank(0, &need) >= before
    }

    fn a_target_does_not_gain_rank_by_falling_silent(backlog: u32, silence_ms: u16) -> bool {
        let mut world = World::new(2, 1);
        world.now += Duration::from_mins(1);
        world.report(0, |report| report.prefill_backlog_tokens = u64::from(backlog));
        let need = need(world.now, 1_000);
        let before = world.rank(0, &need);
        world.now += Duration::from_millis(u64::from(silence_ms));
        world.rank(0, &need) >= before
    }

    fn dispatches_count_until_a_report_has_received_them(sent: u8, received: u8) -> bool {
        let mut world = World::new(1, 1);
        let sent = u64::from(sent % 32);
        let received = u64::from(received % 32).min(sent);
        for _ in 0..sent {
            world.dispatch("engine-0", 100);
        }
        world.report(0, |report| report.received = received);
        let requests = world.fleet.views(world.now, "drafts")[0].requests;
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
    let mut world = World::new(64, 5);
    world.now += Duration::from_secs(1);
    let prefixes: Vec<u64> = (1..=10).map(|n| n * 7_919).collect();
    let events: Vec<_> = (1..)
        .zip(&prefixes)
        .map(|(sequence, prefix)| CacheEvent {
            sequence,
            prefix: *prefix,
            stored: true,
        })
        .collect();
    world.fleet.cache_events("engine-17", 117, &events);
    let mut need = need(world.now, 20_000);
    need.prefixes = prefixes;
    let choice = world.fleet.choose(world.now, &need, &[]);
    assert!(matches!(choice, Choice::Target { target, .. } if target == "engine-17"));
}

#[test]
fn usage_without_cache_hits_lowers_the_trust_in_the_index() {
    let mut world = World::new(1, 5);
    let mut need = need(world.now, 20_000);
    need.prefixes = (1..=10).map(|n| n * 7_919).collect();
    let mut cached = Vec::new();
    for request in 0..20 {
        let attempt = types::AttemptId { request, number: 1 };
        let name = "engine-0".to_owned();
        world.fleet.dispatched(world.now, &name, attempt, &need);
        let usage = Usage {
            prompt_tokens: 20_000,
            cached_tokens: 0,
            output_tokens: 10,
        };
        world
            .fleet
            .settled(world.now, &name, attempt, Settlement::Answered(usage));
        cached.push(world.fleet.explain(world.now, &need)[0].cached_tokens);
    }
    assert!(cached[19] < cached[0] / 2.0, "{cached:?}");
}

/// Guards against engines that state no usage and seem to answer without any work: estimates
/// would become too low, and cached prefixes would count for nothing.
#[test]
fn answers_without_usage_teach_nothing() {
    let mut world = World::new(1, 5);
    let mut need = need(world.now, 20_000);
    need.prefixes = (1..=10).map(|n| n * 7_919).collect();
    let mut sizes = Vec::new();
    for request in 0..20 {
        let attempt = types::AttemptId { request, number: 1 };
        let name = "engine-0".to_owned();
        world.fleet.dispatched(world.now, &name, attempt, &need);
        let settlement = Settlement::Answered(Usage::default());
        world.fleet.settled(world.now, &name, attempt, settlement);
        let cached = world.fleet.explain(world.now, &need)[0].cached_tokens;
        sizes.push((world.fleet.size_for(&need).decode_tokens, cached));
    }
    assert_eq!(sizes[0], sizes[19]);
}
