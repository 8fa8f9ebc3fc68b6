//! Time of the quarantine's work for one request, by the number of shared parts of its prompt, with
//! as many crash reports as are kept.

use std::time::Duration;
use std::time::Instant;

use divan::Bencher;
use divan::black_box;
use quarantine::CrashReport;
use quarantine::Quarantine;

const PARTS: [u64; 4] = [1, 4, 16, 64];
/// More crash reports than are kept.
const CRASHES: u64 = 80;
/// First part that all prompts share.
const SHARED: u64 = 0x5a;

fn main() {
    divan::main();
}

fn prompt(parts: u64, number: u64) -> Vec<u64> {
    (0..parts).map(|part| (part << 32) + number).collect()
}

fn report(now: Instant, process: u64, parts: u64) -> CrashReport {
    let mut prompt = prompt(parts, process);
    prompt[0] = SHARED;
    CrashReport {
        process,
        at: now,
        is_likely: false,
        parts: prompt.into(),
        request: Some(process),
    }
}

/// A quarantine with the reports of as many crashes as are kept.
fn quarantine(now: Instant, parts: u64) -> Quarantine {
    let mut quarantine = Quarantine::new(1);
    for process in 0..CRASHES {
        quarantine.record_crash(now, report(now, process, parts));
    }
    quarantine
}

#[divan::bench(args = PARTS)]
fn admission(bencher: Bencher, parts: u64) {
    let now = Instant::now();
    let quarantine = quarantine(now, parts);
    let prompt = prompt(parts, CRASHES);
    bencher.bench_local(|| quarantine.admission(now, black_box(&prompt), &[]));
}

#[divan::bench(args = PARTS)]
fn sound_answer(bencher: Bencher, parts: u64) {
    let now = Instant::now();
    let mut quarantine = quarantine(now, parts);
    let prompt = prompt(parts, CRASHES);
    let at = now + Duration::from_secs(1);
    bencher.bench_local(|| quarantine.record_sound(at, black_box(&prompt)));
}

#[divan::bench(args = PARTS)]
fn crash(bencher: Bencher, parts: u64) {
    let now = Instant::now();
    let mut quarantine = quarantine(now, parts);
    let mut process = CRASHES;
    bencher.bench_local(|| {
        process += 1;
        quarantine.record_crash(now, report(now, process, parts));
        // Changes that nobody takes would grow.
        quarantine.take_changes()
    });
}
