//! Pace at which a queue is cleared, and the time that a request which waits in it needs.

use std::time::Duration;
use std::time::Instant;

/// Time over which the pace is measured. It counts only while requests wait.
const MEMORY_S: f64 = 10.0;
/// Weight of a new sample in the mean time from dispatch to answer.
const SERVICE_WEIGHT: f64 = 0.05;

/// Longest service time that is learned from, so that one estimate without bound does not make a
/// profile refuse everything.
const LONGEST_SAMPLE: Duration = Duration::from_mins(10);
/// Mean deviations added to the mean service time. With fewer, requests that need longer than the
/// mean are accepted, wait and are refused late: in `overload` at 120% load the 95th percentile of
/// the time to a refusal was 3.2 s (El Bolsón) and 15 s (Kitagawa) with 2, 0.1 and 2.1 s with 4.
const DEVIATIONS: f64 = 4.0;

/// Departures for each second in which requests waited, and the time that targets take.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    departures: f64,
    waited_s: f64,
    service_s: f64,
    deviation_s: f64,
    busy_since: Option<Instant>,
    updated: Option<Instant>,
}

impl Pace {
    /// The queue is no longer empty.
    pub fn filled(&mut self, now: Instant) {
        self.busy_since = Some(now);
        self.updated = Some(now);
    }

    /// A request left for a target; `empty` says whether it was the last one.
    pub fn departed(&mut self, now: Instant, empty: bool) {
        self.pass(now);
        // What was never held up says nothing about how fast a backlog clears.
        if self.busy_since.is_some_and(|since| since < now) {
            self.departures += 1.0;
        }
        if empty {
            self.emptied(now);
        }
    }

    /// The queue is empty.
    pub fn emptied(&mut self, now: Instant) {
        self.pass(now);
        self.busy_since = None;
        self.updated = None;
    }

    /// A target takes this long from dispatch to the whole answer.
    pub fn served(&mut self, took: Duration) {
        let error_s = took.min(LONGEST_SAMPLE).as_secs_f64() - self.service_s;
        self.service_s += SERVICE_WEIGHT * error_s;
        self.deviation_s += SERVICE_WEIGHT * (error_s.abs() - self.deviation_s);
    }

    /// Expected time until the answer of a request behind `ahead` others that wait.
    #[must_use]
    pub fn finish(&mut self, now: Instant, ahead: usize) -> Duration {
        self.pass(now);
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        // The one added departure keeps a pace that is not known yet from refusing anything.
        let wait_s = ahead * self.waited_s / (self.departures + 1.0);
        let service_s = self.service_s + DEVIATIONS * self.deviation_s;
        Duration::try_from_secs_f64(wait_s + service_s).unwrap_or(Duration::MAX)
    }

    fn pass(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else {
            self.updated = None;
            return;
        };
        let seconds = now.saturating_duration_since(updated).as_secs_f64();
        let kept = (-seconds / MEMORY_S).exp();
        self.departures *= kept;
        self.waited_s = self.waited_s * kept + seconds;
    }
}
