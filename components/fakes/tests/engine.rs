//! Guards the policy measurements against a fake engine that loses jobs, exceeds its cache memory,
//! or ignores priorities, cached prefixes or roles.

use std::time::Duration;

use fakes::engine::Engine;
use fakes::engine_cache::PieceCache;
use fakes::engine_job::EngineSettings;
use fakes::engine_job::Job;
use fakes::engine_job::Progress;
use seeded::quickcheck;
use types::AttemptId;
use types::Role;

fn job(request: u128, priority: u8, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        attempt: AttemptId { request, number: 1 },
        entry: 0,
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
    Engine::new(EngineSettings::default(), role, 1, 5)
}

/// Runs the engine until it is idle; returns the time and the progress of all jobs.
fn finish(engine: &mut Engine) -> (Duration, Vec<Progress>) {
    let (mut now, mut progress) = (Duration::ZERO, Vec::new());
    while let Some(next) = engine.next_event_at() {
        now = next;
        progress.extend(engine.advance(now));
    }
    (now, progress)
}

fn completion_order(progress: &[Progress]) -> Vec<u128> {
    let completed = |progress: &Progress| match progress {
        Progress::Completed(attempt, _) => Some(attempt.request),
        _ => None,
    };
    progress.iter().filter_map(completed).collect()
}

quickcheck! {
    fn completes_every_job_exactly_once(jobs: Vec<(u8, u16, u8)>, role: u8) -> bool {
        let role = [Role::Prefill, Role::Mixed, Role::Decode][usize::from(role) % 3];
        let mut engine = engine(role);
        for (at, (priority, prompt, output)) in jobs.iter().enumerate() {
            let job = job(at as u128, *priority, u32::from(*prompt) + 1, u32::from(*output) + 1);
            engine.submit(Duration::ZERO, job);
        }
        let mut completed = completion_order(&finish(&mut engine).1);
        completed.sort_unstable();
        completed == (0..jobs.len() as u128).collect::<Vec<_>>()
    }

    fn cache_memory_stays_within_its_capacity(requests: Vec<(u8, u8, bool)>) -> bool {
        let mut cache = PieceCache::new(32);
        let mut allocations = Vec::new();
        requests.iter().all(|(document, pieces, release)| {
            let prefixes: Vec<u64> = (0..u64::from(pieces % 12))
                .map(|piece| u64::from(document % 4) * 100 + piece)
                .collect();
            let mut pieces_changed = Vec::new();
            if let Some(mut allocation) = cache.admit(&prefixes, 1, &mut pieces_changed) {
                cache.publish(&prefixes, &mut allocation, &mut pieces_changed);
                allocations.push((prefixes, allocation));
            }
            if *release && let Some((prefixes, allocation)) = allocations.pop() {
                cache.release(&prefixes, &allocation);
            }
            cache.used() <= 32
        })
    }

    fn a_crash_fails_all_running_and_waiting_jobs(jobs: u8) -> bool {
        let mut engine = engine(Role::Mixed);
        for request in 0..u128::from(jobs) {
            engine.submit(Duration::ZERO, job(request, 4, 5_000, 50));
        }
        engine.crash(Duration::from_millis(1)).len() == usize::from(jobs) && engine.is_idle()
    }
}

#[test]
fn serves_the_most_urgent_priority_first() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 5, 40_000, 10));
    engine.submit(Duration::ZERO, job(2, 0, 500, 10));
    assert_eq!(completion_order(&finish(&mut engine).1), [2, 1]);
}

#[test]
fn a_cached_prefix_is_not_processed_again() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 4, 40_000, 2));
    let (first_end, _) = finish(&mut engine);
    engine.submit(first_end, job(2, 4, 40_500, 2));
    let (second_end, progress) = finish(&mut engine);
    assert!(second_end.saturating_sub(first_end) * 10 < first_end);
    let cached = progress.iter().find_map(|progress| match progress {
        Progress::Completed(_, usage) => Some(usage.cached_tokens),
        _ => None,
    });
    assert_eq!(cached, Some(40_000));
}

#[test]
fn prefill_role_is_faster_at_prompts_and_decode_role_at_output() {
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
fn finishes_its_jobs_before_a_role_change_and_returns_with_an_empty_cache() {
    let mut engine = engine(Role::Mixed);
    engine.submit(Duration::ZERO, job(1, 4, 4_000, 10));
    engine.change_role(Duration::ZERO, Role::Decode);
    assert!(!engine.submit(Duration::ZERO, job(2, 4, 4_000, 10)));
    let (now, progress) = finish(&mut engine);
    assert_eq!(completion_order(&progress), [1]);
    assert!(engine.is_serving() && engine.role() == Role::Decode);
    engine.submit(now, job(3, 4, 4_000, 10));
    let (_, progress) = finish(&mut engine);
    assert!(progress.iter().any(|progress| {
        matches!(progress, Progress::Completed(_, usage) if usage.cached_tokens == 0)
    }));
}
