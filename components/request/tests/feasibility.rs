//! Refusal of requests that cannot be answered in time because of those in front of them.

use std::time::Duration;
use std::time::Instant;

use request::hang_ups::HangUpTracker;
use request::queue::Queue;

const SECOND: Duration = Duration::from_secs(1);
const FAR: Duration = Duration::from_hours(1);

/// A queue that `length` requests wait in, after one departed in every second of half a minute.
fn one_a_second(start: Instant, length: u128) -> (Queue, Instant) {
    let mut queue = Queue::default();
    for request in 0..length + 30 {
        queue.push(start, request, 5, start + FAR, start);
    }
    let mut now = start;
    for _ in 0..30 {
        now += SECOND;
        let (_, _, first) = queue.first(now).expect("requests wait");
        queue.depart(now, first, Duration::ZERO);
    }
    (queue, now)
}

/// Guards against requests that are accepted behind a backlog, wait until their deadline and are
/// refused only then; and against refusals of those that would have been served.
#[test]
fn refuses_what_the_backlog_leaves_no_time_for() {
    fn property(length: u8, left_s: u8) -> bool {
        let (mut queue, now) = one_a_second(Instant::now(), u128::from(length));
        // A priority of 9 stands behind all others; their deadlines do not matter to it.
        let deadline = now + SECOND * u32::from(left_s);
        let refused = queue.excess(now, 9, deadline).is_some();
        // The measured pace is within a sixth of one a second.
        let (length, left_s) = (f64::from(length), f64::from(left_s));
        if refused {
            length * 1.2 >= left_s
        } else {
            length * 0.8 <= left_s
        }
    }
    seeded::check().quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against requests that stay in the queue until their deadline after more urgent ones
/// came in front of them.
#[test]
fn refuses_those_that_more_urgent_ones_push_back() {
    fn property(urgent: u8) -> bool {
        let (mut queue, now) = one_a_second(Instant::now(), 0);
        let left = SECOND * 60;
        queue.push(now, 1_000, 5, now + left, now);
        let alone = queue.overdue(now).is_empty();
        for request in 0..u128::from(urgent) {
            queue.push(now, 2_000 + request, 0, now + FAR, now);
        }
        let now = now + SECOND;
        let overdue = queue.overdue(now);
        let hit = overdue.iter().any(|late| late.request == 1_000);
        // 59 s are left. The measured pace is within a sixth of one a second.
        let ahead = u64::from(urgent);
        let certain = if hit { ahead > 48 } else { ahead < 71 };
        alone && certain && overdue.len() == usize::from(hit)
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}

/// Guards against a queue that refuses before it knows how fast it is cleared.
#[test]
fn refuses_nothing_while_nothing_has_waited() {
    fn property(requests: u8) -> bool {
        let now = Instant::now();
        let mut queue = Queue::default();
        (0..u128::from(requests)).all(|request| {
            let admitted = queue.excess(now, 5, now + SECOND).is_none();
            queue.push(now, request, 5, now + SECOND, now);
            admitted
        })
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}

/// Guards against work for callers that hang up before the answer, and against a limit that
/// refuses the requests of callers that wait on.
#[test]
fn wants_answers_as_early_as_most_callers_do() {
    fn property(hang_ups: u8, late_answers: u8, patience_s: u8) -> bool {
        let now = Instant::now();
        let limit = SECOND * u32::from(patience_s);
        // Nothing is refused for a patience of less than ten seconds.
        let long = patience_s >= 10;
        let mut patience = HangUpTracker::default();
        for _ in 0..hang_ups {
            patience.hung_up(now, limit);
        }
        for _ in 0..late_answers {
            patience.answered(now, limit + SECOND);
            patience.answered(now, limit / 2);
        }
        let known = long && hang_ups >= 8 && hang_ups > late_answers;
        let found = patience.wait_limit(now);
        let right =
            found.is_some_and(|found| found.abs_diff(limit * 4 / 5) < Duration::from_millis(1));
        let forgotten = patience.wait_limit(now + SECOND * 600).is_none();
        found.is_some() == known && (right || !known) && forgotten
    }
    seeded::check().quickcheck(property as fn(u8, u8, u8) -> bool);
}

/// Guards against an overflow, and against a queue that refuses everything for good, after a router
/// gave an estimate without bound.
#[test]
fn recovers_from_an_estimate_without_bound() {
    let (mut queue, now) = one_a_second(Instant::now(), 10);
    queue.infeasible(Duration::MAX);
    let refused = queue.excess(now, 9, now + FAR).is_some();
    for _ in 0..200 {
        queue.infeasible(SECOND);
    }
    let refused_later = queue.excess(now, 9, now + SECOND * 60).is_some();
    assert!(!refused && !refused_later);
}

/// Guards against planning for a patience that was not observed, and against short and long limits
/// being acted on together.
#[test]
fn short_patience_is_reported_instead_of_a_limit() {
    fn property(patience_s: u8) -> bool {
        let now = Instant::now();
        let mut patience = HangUpTracker::default();
        if patience.short_wait_limit(now).is_some() {
            return false;
        }
        for _ in 0..20 {
            patience.hung_up(now, SECOND * u32::from(patience_s));
        }
        patience.short_wait_limit(now).is_some() == (patience_s < 10)
            && patience.wait_limit(now).is_some() == (patience_s >= 10)
    }
    seeded::check().quickcheck(property as fn(u8) -> bool);
}
