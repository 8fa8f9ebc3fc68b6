//! Whether a request is taken on, and when a refused one may come back.
//!
//! Load pattern: bursts of long prompts that exceed what the engines can read for seconds. A
//! request that cannot be answered within its deadline, or would wait long behind others, is
//! refused at once, while its caller still has time, and before it takes engine time from requests
//! that can be answered on time. The wait is what counts and not the request's own size, so that
//! the largest requests are not shut out by being large. Callers that are refused together are
//! told different times, so that they do not return together.

use std::time::Duration;

/// Longest wait behind others, relative to the time that counts as on time.
const WAIT_FACTOR: f64 = 0.8;
/// Part of the time left by which the last event is expected.
const LEFT_PART: f64 = 0.75;
/// Part of the time without an event that callers bear in which the first one is expected.
const SILENCE_PART: f64 = 0.9;
/// Least time until a refused request may come back.
const LEAST_RETURN_MS: f64 = 100.0;
/// Range over which the returns of refused requests are spread.
const RETURN_SPREAD_MS: f64 = 400.0;
/// Part of the time left after which a return is of no use any more.
const RETURN_PART: f64 = 0.33;

/// What is known of a request that asks to be taken on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// Expected time from now to the first event.
    pub first_event_ms: f64,
    /// Part of it that is spent behind other requests.
    pub wait_ms: f64,
    /// Expected time from the first to the last event.
    pub events_ms: f64,
    /// Time from now within which the first event is on time; negative when it is late already.
    pub aim_left_ms: f64,
    /// Time within which it is on time for a request that has just arrived.
    pub aim_ms: f64,
    /// Time until the caller gives up.
    pub left_ms: f64,
    /// Time without an event after which it gives up earlier.
    pub silence_left_ms: f64,
}

/// Whether to take a request on.
#[must_use]
pub fn is_admitted(prospect: &Prospect) -> bool {
    let is_on_time = prospect.first_event_ms <= prospect.aim_left_ms;
    let is_short_wait = prospect.wait_ms <= prospect.aim_ms * WAIT_FACTOR;
    let last_event_ms = prospect.first_event_ms + prospect.events_ms;
    let is_heard = prospect.first_event_ms <= prospect.silence_left_ms * SILENCE_PART;
    let is_whole = last_event_ms <= prospect.left_ms * LEFT_PART;
    (is_on_time || is_short_wait) && is_heard && is_whole
}

/// When a refused request may come back; `draw` is uniform in 0 to 1.
#[must_use]
pub fn return_after(prospect: &Prospect, draw: f64) -> Duration {
    let wait_ms = prospect.wait_ms.max(LEAST_RETURN_MS) + draw * RETURN_SPREAD_MS;
    let longest_ms = (prospect.left_ms * RETURN_PART).max(LEAST_RETURN_MS);
    Duration::from_secs_f64(wait_ms.min(longest_ms) / 1e3)
}
