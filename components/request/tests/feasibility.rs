//! Refusal of requests that are expected to miss their deadline, and limits on how long callers
//! wait.

use std::time::Duration;
use std::time::Instant;

use request::hang_ups::HangUpTracker;
use request::queue::Queue;

const SECOND: Duration = Duration::from_secs(1);
const FAR: Duration = Duration::from_hours(1);

/// A queue with `length` requests, from which one request a second departed for 30 seconds.
fn queue_clearing_one_per_second(start: Instant, length: u128) -> (Queue, Instant) {
    let mut queue = Queue::default();
    for request in 0..length + 30 {
        queue.push(start, request, 5, start + FAR, start);
    }
    let mut now = start;
    for _ in 0..30 {
        now += SECOND;
        let (_, _, first) = queue.first(now).expect("requests wait");
        queue.record_dispatch(now, first, Duration::ZERO);
    }
    (queue, now)
}

/// Guards against requests that are admitted behind a backlog and refused only at their deadline,
/// and against refusals of requests that would have been served.
#[test]
fn refuses_requests_that_the_backlog_makes_late() {
    fn property(length: u8, left_s: u8) -> bool {
        let (mut queue, now) = queue_clearing_one_per_second(Instant::now(), u128::from(length));
        // A request of priority 9 is queued behind all others, whatever their deadlines are.
        let deadline = now + SECOND * u32::from(left_s);
        let refused = queue.expected_lateness(now, 9, deadline).is_some();
        // The measured rate is within a sixth of one departure a second.
        let (length, left_s) = (f64::from(length), f64::from(left_s));
        if refused {
            length * 1.2 >= left_s
        } else {
            length * 0.8 <= left_s
        }
    }
    seeded::check().quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against requests that stay in the queue until their deadline although requests of higher
/// priority have arrived that leave no time for them.
#[test]
fn reports_requests_delayed_by_more_urgent_ones_as_overdue() {
    fn property(urgent: u8) -> bool {
        let (mut queue, now) = queue_clearing_one_per_second(Instant::now(), 0);
        let left = SECOND * 60;
        queue.push(now, 1_000, 5, now + left, now);
        let was_feasible = queue.overdue(now).is_empty();
        for request in 0..u128::from(urgent) {
            queue.push(now, 2_000 + request, 0, now + FAR, now);
        }
        let now = now + SECOND;
        let overdue = queue.overdue(now);
        let is_overdue = overdue.iter().any(|late| late.request == 1_000);
        // 59 s are left. The measured rate is within a sixth of one departure a second.
        let ahead = u64::from(urgent);
        let is_plausible = if is_overdue { ahead > 48 } else { ahead < 71 };
        was_feasible && is_plausible && overdue.len() == usize::from(is_overdue)
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}

/// Guards against a queue that refuses requests before it has observed a departure.
#[test]
fn refuses_nothing_before_the_first_departure() {
    fn property(requests: u8) -> bool {
        let now = Instant::now();
        let mut queue = Queue::default();
        (0..u128::from(requests)).all(|request| {
            let admitted = queue.expected_lateness(now, 5, now + SECOND).is_none();
            queue.push(now, request, 5, now + SECOND, now);
            admitted
        })
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}

/// Guards against work for callers that hang up before the answer, and against a limit that
/// refuses the requests of callers that would have waited.
#[test]
fn limits_the_wait_to_the_time_that_most_callers_wait() {
    fn property(hang_ups: u8, late_answers: u8, wait_s: u8) -> bool {
        let now = Instant::now();
        let limit = SECOND * u32::from(wait_s);
        // No request is refused by a limit below ten seconds.
        let is_long = wait_s >= 10;
        let mut tracker = HangUpTracker::default();
        for _ in 0..hang_ups {
            tracker.record_hang_up(now, limit);
        }
        for _ in 0..late_answers {
            tracker.record_answer(now, limit + SECOND);
            tracker.record_answer(now, limit / 2);
        }
        let has_limit = is_long && hang_ups >= 8 && hang_ups > late_answers;
        let actual = tracker.wait_limit(now);
        let is_expected =
            actual.is_some_and(|actual| actual.abs_diff(limit * 4 / 5) < Duration::from_millis(1));
        let is_expired = tracker.wait_limit(now + SECOND * 600).is_none();
        actual.is_some() == has_limit && (is_expected || !has_limit) && is_expired
    }
    seeded::check().quickcheck(property as fn(u8, u8, u8) -> bool);
}

/// Guards against an overflow, and against a queue that refuses every request from then on, after
/// the router returned an unbounded estimate.
#[test]
fn recovers_from_an_unbounded_service_time() {
    let (mut queue, now) = queue_clearing_one_per_second(Instant::now(), 10);
    queue.record_infeasible(Duration::MAX);
    let refused = queue.expected_lateness(now, 9, now + FAR).is_some();
    for _ in 0..200 {
        queue.record_infeasible(SECOND);
    }
    let refused_later = queue.expected_lateness(now, 9, now + SECOND * 60).is_some();
    assert!(!refused && !refused_later);
}

/// Guards against planning with a limit that was not observed, and against a limit that is reported
/// both as short and as long.
#[test]
fn reports_either_a_short_or_a_long_wait_limit() {
    fn property(wait_s: u8) -> bool {
        let now = Instant::now();
        let mut tracker = HangUpTracker::default();
        if tracker.short_wait_limit(now).is_some() {
            return false;
        }
        for _ in 0..20 {
            tracker.record_hang_up(now, SECOND * u32::from(wait_s));
        }
        tracker.short_wait_limit(now).is_some() == (wait_s < 10)
            && tracker.wait_limit(now).is_some() == (wait_s >= 10)
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}
