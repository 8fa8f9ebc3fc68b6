//! Heartbeats: silence is noticed in time, and traffic counts as a sign of life.

use std::time::Duration;
use std::time::Instant;

use wire::Liveness;
use wire::liveness::Pulse;

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(100);

/// Guards against a dead connection being kept, and a live one being replaced.
#[test]
fn reports_silence_exactly_after_the_timeout() {
    fn property(heard_at_steps: Vec<u8>) -> bool {
        let start = Instant::now();
        let mut liveness = Liveness::new(start, INTERVAL, TIMEOUT);
        let mut last = start;
        for step in 0..=u8::MAX {
            let now = start + STEP * u32::from(step);
            if heard_at_steps.contains(&step) {
                liveness.heard(now);
                last = now;
            }
            let silent = liveness.tick(now) == Pulse::Silent;
            if silent != (now - last >= TIMEOUT) {
                return false;
            }
        }
        true
    }
    seeded::check().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a flood of pings on a quiet connection.
#[test]
fn pings_once_per_interval() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start, INTERVAL, TIMEOUT);
    let pings = (0..19)
        .filter(|step| liveness.tick(start + STEP * *step) == Pulse::Ping)
        .count();
    assert_eq!(pings, 3);
}
