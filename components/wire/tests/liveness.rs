//! Heartbeats: an unresponsive connection is detected in time, and any received frame resets the
//! timeout.

use std::time::Duration;
use std::time::Instant;

use wire::Liveness;
use wire::liveness::HeartbeatAction;

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(100);

/// Guards against unresponsive connections that are kept, and working ones that are replaced.
#[test]
fn reports_silence_exactly_from_the_timeout_on() {
    fn property(received_at_steps: Vec<u8>) -> bool {
        let start = Instant::now();
        let mut liveness = Liveness::new(start, INTERVAL, TIMEOUT);
        let mut last_received_at = start;
        for step in 0..=u8::MAX {
            let now = start + STEP * u32::from(step);
            if received_at_steps.contains(&step) {
                liveness.record_received(now);
                last_received_at = now;
            }
            let is_silent = liveness.due_action(now) == HeartbeatAction::TimedOut;
            if is_silent != (now - last_received_at >= TIMEOUT) {
                return false;
            }
        }
        true
    }
    seeded::check().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a ping on every tick of an idle connection.
#[test]
fn pings_once_per_interval() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start, INTERVAL, TIMEOUT);
    let pings = (0..19)
        .filter(|step| liveness.due_action(start + STEP * *step) == HeartbeatAction::SendPing)
        .count();
    assert_eq!(pings, 3);
}
