//! Guards against a fake engine that loses work, overcommits memory or favours a policy.

use std::time::Duration;

use fakes::engine::Engine;
use fakes::engine_cache::PieceCache;
use fakes::engine_job::Constants;
use fakes::engine_job::Job;
use fakes::engine_job::Progress;
use seeded::quickcheck;
use types::AttemptId;
use types::Role;

fn job(request: u128, priority: u8, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        attempt: AttemptId { request, number: 1 },
        reader: 0,
        priority,
        prompt_tokens,
        output_tokens,
        max_output_tokens: output_tokens * 2,
        prefixes: (0..u64::from(prompt_tokens / 2_000))
            .map(|n| n + 1)
            .collect(),
    }
}

fn engine(role: Role) -> Engine {
    Engine::new(Constants::default(), role, 1, 5)
}

/// Runs until the engine has nothing to do; returns the time and what it told.
fn finish(engine: &mut Engine) -> (Duration, Vec<Progress>) {
    let (mut now, mut told) = (Duration::ZERO, Vec::new());
    while let Some(next) = engine.next() {
        now = next;
        told.extend(engine.advance(now));
    }
    (now, told)
}

fn order_of_ends(told: &[Progress]) -> Vec<u128> {
    let ended = |progress: &Progress| match progress {
        Progress::Ended(attempt, _) => Some(attempt.request),
        _ => None,
    };
    told.iter().filter_map(ended).collect()
}

quickcheck! {
    fn ends_every_job_exactly_once(jobs: Vec<(u8, u16, u8)>, role: u8) -> bool {
        let role = [Role::Prefill, Role::Mixed, Role::Decode][usize::from(role) % 3];
        let mut engine = engine(role);
        for (at, (priority, prompt, output)) in jobs.iter().enumerate() {
            let job = job(at as u128, *priority, u32::from(*prompt) + 1, u32::from(*output) + 1);
            engine.submit(Duration::ZERO, job);
        }
        let mut ended = order_of_ends(&finish(&mut engine).1);
        ended.sort_unstable();
        ended == (0..jobs.len() as u128).collect::<Vec<_>>()
    }

    fn memory_stays_within_its_limit(requests: Vec<(u8, u8, bool)>) -> bool {
        let mut cache = PieceCache::new(32);
        let mut held = Vec::new();
        requests.iter().all(|(document, pieces, release)| {
            let prefixes: Vec<u64> = (0..u64::from(pieces % 12))
                .map(|piece| u64::from(document % 4) * 100 + piece)
                .collect();
            let mut log = Vec::new();
            if let Some(mut taken) = cache.admit(&prefixes, 1, &mut log) {
                cache.publish(&prefixes, &mut taken, &mut log);
                held.push((prefixes, taken));
            }
            if *release && let Some((prefixes, taken)) = held.pop() {
                cache.release(&prefixes, &taken);
            }
            cache.used() <= 32
        })
    }

    fn a_crash_fails_everything_that_was_in_service(jobs: u8) -> bool {
        let mut engine = engine(Role::Mixed);
        for request in 0..u128::from(jobs) {
            engine.submit(Duration::ZERO, job(request, 4, 5_000, 50));
        }
        engine.crash(Duration::from_millis(1)).len() == usize::from(jobs) && engine.is_idle()
    }
}

#[test]
fn serves_the_first_priority_first() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 5, 40_000, 10));
    engine.submit(Duration::ZERO, job(2, 0, 500, 10));
    assert_eq!(order_of_ends(&finish(&mut engine).1), [2, 1]);
}

#[test]
fn a_cached_prefix_saves_its_prefill() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 4, 40_000, 2));
    let (first, _) = finish(&mut engine);
    engine.submit(first, job(2, 4, 40_500, 2));
    let (second, told) = finish(&mut engine);
    assert!(second.saturating_sub(first) * 10 < first);
    let cached = told.iter().find_map(|progress| match progress {
        Progress::Ended(_, usage) => Some(usage.cached_tokens),
        _ => None,
    });
    assert_eq!(cached, Some(40_000));
}

#[test]
fn roles_differ_in_what_they_are_fast_at() {
    let time = |role, prompt, output| {
        let mut engine = engine(role);
        for request in 0..30 {
            engine.submit(Duration::ZERO, job(request, 4, prompt, output));
        }
        finish(&mut engine).0
    };
    assert!(time(Role::Prefill, 1_999, 2) < time(Role::Decode, 1_999, 2));
    assert!(time(Role::Decode, 10, 500) < time(Role::Prefill, 10, 500));
}

#[test]
fn finishes_its_work_before_it_changes_its_role_and_comes_back_without_cache() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 4, 4_000, 10));
    engine.change_role(Duration::ZERO, Role::Decode);
    assert!(!engine.submit(Duration::ZERO, job(2, 4, 4_000, 10)));
    let (now, told) = finish(&mut engine);
    assert_eq!(order_of_ends(&told), [1]);
    assert!(engine.is_serving() && engine.role() == Role::Decode);
    engine.submit(now, job(3, 4, 4_000, 10));
    let (_, told) = finish(&mut engine);
    assert!(told.iter().any(|progress| {
        matches!(progress, Progress::Ended(_, usage) if usage.cached_tokens == 0)
    }));
}
