//! Duration of one planning decision by number of targets, and its slope per target.

#![allow(clippy::cast_precision_loss)]

use std::time::Duration;
use std::time::Instant;

use divan::Bencher;
use divan::black_box;
use planner::Planner;
use planner::RequestWork;
use planner::Settings;
use routing::Standing;
use routing::TargetView;
use types::AttemptId;
use types::Role;

const SIZES: [usize; 7] = [8, 16, 32, 64, 128, 256, 512];
/// Decisions timed in one repetition.
const DECISIONS: u32 = 2_000;
/// Repetitions per number of targets. The fastest one is used, as other load on the machine only
/// adds time.
const REPETITIONS: usize = 9;

fn main() {
    divan::main();
    println!("\nconsider");
    let times = SIZES.map(decision_ns);
    for (size, time) in SIZES.iter().zip(times) {
        println!("  {size:>4} targets  {time:>7.0} ns");
    }
    let slope = (times[6] - times[0]) / (SIZES[6] - SIZES[0]) as f64;
    println!("  slope {slope:.1} ns for each target");
}

fn planner(size: usize) -> (Planner, Vec<TargetView>, Instant) {
    let mut planner = Planner::new(Settings::new(&routing::Settings::new("sapporo-a")));
    let mut now = Instant::now();
    let roles = [Role::Prefill, Role::Mixed, Role::Decode, Role::Decode];
    let views: Vec<_> = (0..size)
        .map(|at| TargetView {
            name: format!("engine-{at}"),
            role: roles[at % 4],
            standing: Standing::Open,
            report_age_ms: Some(Duration::from_millis(200)),
            requests: 10.0,
            prefill_tokens: 1_000.0,
            decode_tokens: 3_000.0,
            applied: 0,
        })
        .collect();
    // The demand exceeds the capacity. The weight that the benchmarks pass is so high that no role
    // changes.
    for dispatch in 0..60 {
        now += Duration::from_secs(1);
        let attempt = AttemptId {
            request: dispatch,
            number: 1,
        };
        planner.dispatched(now, attempt, &request_work(20_000.0 * size as f64, 100.0));
        planner.refused(now, &request_work(100.0, 1_000.0 * size as f64));
    }
    (planner, views, now)
}

#[divan::bench(args = SIZES)]
fn consider(bencher: Bencher, size: usize) {
    let (mut planner, views, now) = planner(size);
    bencher.bench_local(|| black_box(planner.consider(now, &views, 1e9)));
}

fn decision_ns(size: usize) -> f64 {
    let (mut planner, views, now) = planner(size);
    let mut time = || {
        let begin = Instant::now();
        for _ in 0..DECISIONS {
            black_box(planner.consider(now, &views, 1e9));
        }
        begin.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
    };
    (0..REPETITIONS)
        .map(|_| time())
        .fold(f64::INFINITY, f64::min)
}

fn request_work(prefill_tokens: f64, decode_tokens: f64) -> RequestWork {
    RequestWork {
        prefill_tokens,
        decode_tokens,
        wait_limit_ms: Duration::from_mins(10),
    }
}
