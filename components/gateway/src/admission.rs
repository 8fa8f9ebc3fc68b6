//! Admission control and the `Retry-After` of refused requests.
//!
//! It is designed for bursts of long prompts that exceed the engines' prefill capacity for some
//! seconds. A request that cannot be answered before its deadline, or that would wait too long in
//! the queue, is refused at once, while its caller still has time to retry and before it takes
//! engine time from requests that can be answered on time. The limit applies to the time in the
//! queue and not to the request's own duration, so that large requests are not refused for their
//! size. `Retry-After` is jittered, so that callers refused together do not retry together.

use std::time::Duration;

/// Maximum wait in the queue, as a fraction of the latency objective.
const WAIT_FRACTION: f64 = 0.8;
/// Fraction of the time left within which the last event must be expected.
const COMPLETION_FRACTION: f64 = 0.75;
/// Fraction of the event timeout within which the first event must be expected.
const FIRST_EVENT_FRACTION: f64 = 0.9;
/// Minimum `Retry-After` of a refused request.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Range of the jitter added to `Retry-After`.
const RETRY_JITTER_MS: f64 = 400.0;
/// Part of the longest `Retry-After` over which requests are spread.
const LONGEST_SPREAD: f64 = 0.15;
/// Fraction of the time left that bounds `Retry-After`; a later retry could not be answered.
const RETRY_AFTER_FRACTION: f64 = 0.33;

/// Expected times of a request on the engine chosen for it, and its limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    /// Expected time from now to the first event.
    pub first_event_ms: f64,
    /// Part of `first_event_ms` spent in the queue behind other prefills.
    pub wait_ms: f64,
    /// Expected time from the first to the last event.
    pub events_ms: f64,
    /// Part of `objective_ms` that is left; negative if the request is already late.
    pub objective_left_ms: f64,
    /// Latency objective: time from arrival to the first event.
    pub objective_ms: f64,
    /// Time until the request's deadline.
    pub left_ms: f64,
    /// Time from now until the caller gives up if it has got no event by then.
    pub event_timeout_left_ms: f64,
}

/// Whether to admit a request.
#[must_use]
pub fn is_admitted(estimate: &LatencyEstimate) -> bool {
    let is_on_time = estimate.first_event_ms <= estimate.objective_left_ms;
    let has_short_wait = estimate.wait_ms <= estimate.objective_ms * WAIT_FRACTION;
    let last_event_ms = estimate.first_event_ms + estimate.events_ms;
    let is_first_event_in_time =
        estimate.first_event_ms <= estimate.event_timeout_left_ms * FIRST_EVENT_FRACTION;
    let is_complete_in_time = last_event_ms <= estimate.left_ms * COMPLETION_FRACTION;
    (is_on_time || has_short_wait) && is_first_event_in_time && is_complete_in_time
}

/// `Retry-After` of a refused request; `draw` is a random number from 0 to 1.
#[must_use]
pub fn retry_after(estimate: &LatencyEstimate, draw: f64) -> Duration {
    let wait_ms = estimate.wait_ms.max(MIN_RETRY_AFTER_MS) + draw * RETRY_JITTER_MS;
    let left = Duration::from_secs_f64(estimate.left_ms.max(0.0) / 1e3);
    Duration::from_secs_f64(wait_ms / 1e3).min(longest_retry_after(left))
}

/// `Retry-After` of a request that nobody takes for `wait_ms`, spread over the requests that wait for
/// the same moment; `draw` as above.
#[must_use]
pub fn spread(wait_ms: Duration, longest_ms: Duration, draw: f64) -> Duration {
    if wait_ms >= longest_ms {
        return longest_ms.mul_f64(1.0 - LONGEST_SPREAD * draw);
    }
    let jitter = Duration::from_secs_f64(draw * RETRY_JITTER_MS / 1e3);
    (wait_ms + jitter).min(longest_ms)
}

/// Longest `Retry-After` of a request with the given time left.
#[must_use]
pub fn longest_retry_after(left: Duration) -> Duration {
    let shortest = Duration::from_secs_f64(MIN_RETRY_AFTER_MS / 1e3);
    left.mul_f64(RETRY_AFTER_FRACTION).max(shortest)
}
