//! Time of a routing decision by fleet size, with its slope over the logarithm of the size.

#![allow(clippy::cast_precision_loss, clippy::semicolon_if_nothing_returned)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;
use std::time::Instant;

use common::Setup;
use common::requirements;
use divan::Bencher;
use divan::black_box;
use request::Requirements;
use request::Router;

const SIZES: [usize; 7] = [8, 16, 32, 64, 128, 256, 512];
/// Decisions timed in one repetition.
const DECISIONS: u32 = 20_000;
/// Repetitions per fleet size. The fastest one is used, as other load on the machine only adds
/// time.
const REPETITIONS: usize = 15;

fn main() {
    divan::main();
    print_slope("without prefix", 0);
    print_slope("with 20 cached pieces", 20);
}

/// Creates a fleet under load, in which every eighth target holds the prefixes of the request.
fn loaded_fleet(size: usize, pieces: u64) -> (Setup, Requirements) {
    let mut setup = Setup::new(size, 7);
    setup.now += Duration::from_secs(1);
    let mut requirements = requirements(setup.now, 40_000);
    requirements.prefixes = (1..=pieces).map(|piece| piece * 0x9E37_79B9).collect();
    for index in 0..size {
        setup.probe(index);
        let backlog = (index as u64 * 7_919) % 50_000;
        setup.report(index, |report| {
            report.running = 8;
            report.prefill_backlog_tokens = backlog;
            report.decode_backlog_tokens = 2_000;
        });
    }
    for index in (0..size).step_by(8) {
        let attempt = types::AttemptId {
            request: 1_000_000 + index as u128,
            number: 1,
        };
        let name = setup.targets[index].name.clone();
        setup
            .fleet
            .attempt_dispatched(setup.now, &name, attempt, &requirements);
    }
    (setup, requirements)
}

#[divan::bench(args = SIZES)]
fn choose(bencher: Bencher, size: usize) {
    let (mut setup, requirements) = loaded_fleet(size, 0);
    bencher.bench_local(|| black_box(setup.fleet.choose(setup.now, &requirements, &[])));
}

#[divan::bench(args = SIZES)]
fn choose_with_prefix(bencher: Bencher, size: usize) {
    let (mut setup, requirements) = loaded_fleet(size, 20);
    bencher.bench_local(|| black_box(setup.fleet.choose(setup.now, &requirements, &[])));
}

#[divan::bench(args = SIZES)]
fn load_report(bencher: Bencher, size: usize) {
    let (mut setup, _) = loaded_fleet(size, 0);
    let mut index = 0;
    bencher.bench_local(|| {
        index = (index + 1) % size;
        setup.report(index, |_| {});
    });
}

/// Prints the decision time by fleet size, and its growth per doubling of the size.
fn print_slope(name: &str, pieces: u64) {
    let points = SIZES.map(|size| (size, decision_ns(size, pieces)));
    println!("\nchoose {name}");
    for (size, ns) in points {
        println!("  {size:>4} targets  {ns:>7.0} ns");
    }
    let mean_x = points
        .iter()
        .map(|(size, _)| (*size as f64).log2())
        .sum::<f64>()
        / 7.0;
    let mean_y = points.iter().map(|(_, ns)| ns).sum::<f64>() / 7.0;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for (size, ns) in points {
        let x = (size as f64).log2() - mean_x;
        covariance += x * (ns - mean_y);
        variance += x * x;
    }
    println!(
        "  slope {:.0} ns per doubling; 512 targets take {:.2} times as long as 8 \
         (the logarithm grows 3.00 times)",
        covariance / variance,
        points[6].1 / points[0].1
    );
}

fn decision_ns(size: usize, pieces: u64) -> f64 {
    let (mut setup, requirements) = loaded_fleet(size, pieces);
    let mut time_ns = || {
        let start = Instant::now();
        for _ in 0..DECISIONS {
            black_box(setup.fleet.choose(setup.now, &requirements, &[]));
        }
        start.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
    };
    (0..REPETITIONS)
        .map(|_| time_ns())
        .fold(f64::INFINITY, f64::min)
}
