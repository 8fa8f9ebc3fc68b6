//! Estimates the time until a queued request is answered, from the departure rate and service
//! times.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the exponential decay of the departure rate. Only time with a backlog counts.
const DECAY_S: f64 = 10.0;
/// Weight of a new sample in the moving averages of the service time and its deviation.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Upper bound of service time samples, so that a single unbounded estimate does not make a profile
/// refuse every request.
const MAX_SAMPLE: Duration = Duration::from_mins(10);
/// Number of mean deviations added to the mean service time. With fewer, requests that take longer
/// than the mean are admitted and refused only after a wait: at 120% load, the 95th percentile of
/// the time to a refusal was 3.2 s and 15 s in simulations of two organisations with 2 deviations,
/// and 0.1 s and 2.1 s with 4.
const DEVIATION_FACTOR: f64 = 4.0;

/// Departures per second of backlog, and service times of targets, as moving averages.
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
    /// Records that the queue is no longer empty.
    pub fn queue_filled(&mut self, now: Instant) {
        self.backlogged_since = Some(now);
        self.updated = Some(now);
    }

    /// Records a dispatch from the queue; `is_empty` tells whether the queue is empty after it.
    pub fn departed(&mut self, now: Instant, is_empty: bool) {
        self.decay(now);
        // A request that did not wait says nothing about the rate at which a backlog clears.
        if self.backlogged_since.is_some_and(|since| since < now) {
            self.departures += 1.0;
        }
        if is_empty {
            self.queue_emptied(now);
        }
    }

    /// Records that the queue is empty.
    pub fn queue_emptied(&mut self, now: Instant) {
        self.decay(now);
        self.backlogged_since = None;
        self.updated = None;
    }

    /// Adds a sample of the time from dispatch to the complete answer.
    pub fn record_service_time(&mut self, took: Duration) {
        let error_s = took.min(MAX_SAMPLE).as_secs_f64() - self.mean_service_s;
        self.mean_service_s += SERVICE_TIME_WEIGHT * error_s;
        self.mean_deviation_s += SERVICE_TIME_WEIGHT * (error_s.abs() - self.mean_deviation_s);
    }

    /// Estimated time until the complete answer of a request with `ahead` requests before it.
    #[must_use]
    pub fn time_to_answer(&mut self, now: Instant, ahead: usize) -> Duration {
        self.decay(now);
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        // The added departure keeps the estimate low until departures have been observed.
        let wait_s = ahead * self.backlogged_s / (self.departures + 1.0);
        let service_s = self.mean_service_s + DEVIATION_FACTOR * self.mean_deviation_s;
        Duration::try_from_secs_f64(wait_s + service_s).unwrap_or(Duration::MAX)
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
