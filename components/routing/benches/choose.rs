//! Time of one routing decision by size of the fleet, and its slope.

#![allow(clippy::cast_precision_loss, clippy::semicolon_if_nothing_returned)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;
use std::time::Instant;

use common::World;
use common::need;
use divan::Bencher;
use divan::black_box;
use request::Need;
use request::Router;

const SIZES: [usize; 7] = [8, 16, 32, 64, 128, 256, 512];
/// Decisions timed for one point of the slope.
const DECISIONS: u32 = 20_000;
/// Repetitions of a point; the fastest counts, since others were disturbed.
const REPETITIONS: usize = 15;

fn main() {
    divan::main();
    slope("without prefix", 0);
    slope("with 20 cached pieces", 20);
}

/// A loaded fleet whose targets hold prefixes, and a request for one of them.
fn fleet(size: usize, pieces: u64) -> (World, Need) {
    let mut world = World::new(size, 7);
    world.now += Duration::from_secs(1);
    let mut need = need(world.now, 40_000);
    need.prefixes = (1..=pieces).map(|piece| piece * 0x9E37_79B9).collect();
    for at in 0..size {
        world.probe(at);
        let backlog = (at as u64 * 7_919) % 50_000;
        world.report(at, |report| {
            report.running = 8;
            report.prefill_backlog_tokens = backlog;
            report.decode_backlog_tokens = 2_000;
        });
    }
    for at in (0..size).step_by(8) {
        let attempt = types::AttemptId {
            request: 1_000_000 + at as u128,
            number: 1,
        };
        let name = world.targets[at].name.clone();
        world.fleet.dispatched(world.now, &name, attempt, &need);
    }
    (world, need)
}

#[divan::bench(args = SIZES)]
fn choose(bencher: Bencher, size: usize) {
    let (mut world, need) = fleet(size, 0);
    bencher.bench_local(|| black_box(world.fleet.choose(world.now, &need, &[])));
}

#[divan::bench(args = SIZES)]
fn choose_with_prefix(bencher: Bencher, size: usize) {
    let (mut world, need) = fleet(size, 20);
    bencher.bench_local(|| black_box(world.fleet.choose(world.now, &need, &[])));
}

#[divan::bench(args = SIZES)]
fn load_report(bencher: Bencher, size: usize) {
    let (mut world, _) = fleet(size, 0);
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % size;
        world.report(at, |_| {});
    });
}

/// Prints the time by size, and the growth for each doubling of the fleet.
fn slope(name: &str, pieces: u64) {
    let points = SIZES.map(|size| (size, nanoseconds(size, pieces)));
    println!("\nchoose {name}");
    for (size, time) in points {
        println!("  {size:>4} targets  {time:>7.0} ns");
    }
    let mean_x = points
        .iter()
        .map(|(size, _)| (*size as f64).log2())
        .sum::<f64>()
        / 7.0;
    let mean_y = points.iter().map(|(_, time)| time).sum::<f64>() / 7.0;
    let (mut over, mut under) = (0.0, 0.0);
    for (size, time) in points {
        let x = (size as f64).log2() - mean_x;
        over += x * (time - mean_y);
        under += x * x;
    }
    println!(
        "  slope {:.0} ns for each doubling; 512 targets take {:.2} times as long as 8 \
         (the logarithm grows 3.00 times)",
        over / under,
        points[6].1 / points[0].1
    );
}

fn nanoseconds(size: usize, pieces: u64) -> f64 {
    let (mut world, need) = fleet(size, pieces);
    let mut time = || {
        let begin = Instant::now();
        for _ in 0..DECISIONS {
            black_box(world.fleet.choose(world.now, &need, &[]));
        }
        begin.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
    };
    (0..REPETITIONS)
        .map(|_| time())
        .fold(f64::INFINITY, f64::min)
}
