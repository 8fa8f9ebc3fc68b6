//! Pace at which a queue is cleared, and the time that a request which waits in it needs.

use std::time::Duration;
use std::time::Instant;

/// Time over which the pace is measured. It counts only while requests wait.
const DECAY_S: f64 = 10.0;
/// Weight of a new sample in the mean time from dispatch to answer.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Longest service time that is learned from, so that one estimate without bound does not make a
/// profile refuse everything.
const MAX_SAMPLE: Duration = Duration::from_mins(10);
/// Mean deviations added to the mean service time. With fewer, requests that need longer than the
/// mean are accepted, wait and are refused late: in `overload` at 120% load the 95th percentile of
/// the time to a refusal was 3.2 s (El Bolsón) and 15 s (Kitagawa) with 2, 0.1 and 2.1 s with 4.
const DEVIATION_FACTOR: f64 = 4.0;

/// Departures for each second in which requests waited, and the time that targets take.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitEstimator {
    departures: f64,
    backlogged_s: f64,
    mean_service_s: f64,
    mean_deviation_s: f64,
    backlogged_since: Option<Instant>,
    updated: Option<Instant>,
}

impl WaitEstimator {
    /// The queue is no longer empty.
    pub fn queue_filled(&mut self, now: Instant) {
        self.backlogged_since = Some(now);
        self.updated = Some(now);
    }

    /// A request left for a target; `empty` says whether it was the last one.
    pub fn departed(&mut self, now: Instant, is_empty: bool) {
        self.decay(now);
        // What was never held up says nothing about how fast a backlog clears.
        if self.backlogged_since.is_some_and(|since| since < now) {
            self.departures += 1.0;
        }
        if is_empty {
            self.queue_emptied(now);
        }
    }

    /// The queue is empty.
    pub fn queue_emptied(&mut self, now: Instant) {
        self.decay(now);
        self.backlogged_since = None;
        self.updated = None;
    }

    /// A target takes this long from dispatch to the whole answer.
    pub fn record_service_time(&mut self, took: Duration) {
        let error_s = took.min(MAX_SAMPLE).as_secs_f64() - self.mean_service_s;
        self.mean_service_s += SERVICE_TIME_WEIGHT * error_s;
        self.mean_deviation_s += SERVICE_TIME_WEIGHT * (error_s.abs() - self.mean_deviation_s);
    }

    /// Expected time until the answer of a request behind `ahead` others that wait.
    #[must_use]
    pub fn time_to_answer(&mut self, now: Instant, ahead: usize) -> Duration {
        self.decay(now);
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        // The one added departure keeps a pace that is not known yet from refusing anything.
        let wait_s = ahead * self.backlogged_s / (self.departures + 1.0);
        let mean_service_s = self.mean_service_s + DEVIATION_FACTOR * self.mean_deviation_s;
        Duration::try_from_secs_f64(wait_s + mean_service_s).unwrap_or(Duration::MAX)
    }

    fn decay(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else {
            self.updated = None;
            return;
        };
        let seconds = now.saturating_duration_since(updated).as_secs_f64();
        let decay_factor = (-seconds / DECAY_S).exp();
        self.departures *= decay_factor;
        self.backlogged_s = self.backlogged_s * decay_factor + seconds;
    }
}
