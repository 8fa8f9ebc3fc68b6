//! Tests of what counts as a limit, and of the order of statements.

use std::time::Duration;
use std::time::Instant;

use limits::NamedRate;
use limits::Pace;
use limits::Rate;
use limits::Returns;
use limits::Revision;
use limits::SPAN_MS;
use limits::TargetLimit;
use seeded::library::TestResult;

fn rate(requests_per_s: f64) -> Rate {
    Rate::per_second(requests_per_s).expect("positive")
}

fn named(requests_per_s: f64) -> NamedRate {
    NamedRate::Limit(rate(requests_per_s))
}

#[test]
fn values_that_are_no_limit_do_not_begin_or_end_one() {
    let long = "1".repeat(33);
    let invalid = [
        "-1",
        "NaN",
        "inf",
        "1e3",
        "",
        ".",
        "1,3",
        "1.3.4",
        "1.3 a second",
        &long,
    ];
    for text in invalid {
        assert_eq!(NamedRate::from_values([text]), NamedRate::Invalid, "{text}");
    }
    assert_eq!(NamedRate::from_values(["1", "2"]), NamedRate::Invalid);
    for text in ["0", "0.0"] {
        assert_eq!(NamedRate::from_values([text]), NamedRate::Absent, "{text}");
    }
    assert_eq!(NamedRate::from_values([]), NamedRate::Absent);
    assert_eq!(NamedRate::from_values([" 1.3 "]), named(1.3));
}

#[test]
fn answer_to_an_earlier_call_neither_raises_nor_ends_a_limit() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut limit = TargetLimit::none(start);
    assert!(limit.record_answer(later, start, named(1.0), 1));
    for answer in [named(9.0), NamedRate::Absent, NamedRate::Absent] {
        assert!(!limit.record_answer(later, start, answer, 1));
    }
    assert!(limit.record_answer(later, start, named(0.5), 1));
    assert!(limit.record_answer(later, later, named(2.0), 1));
    assert!(!limit.record_answer(later, later, NamedRate::Absent, 1));
    assert!(limit.record_answer(later, later, NamedRate::Absent, 1));
    assert_eq!(limit.rate(), None);
}

#[test]
fn older_notice_does_not_begin_an_ended_limit_anew() {
    let now = Instant::now();
    let revision = |number| Revision { number, author: 1 };
    let mut limit = TargetLimit::none(now);
    assert!(limit.receive(now, Some(rate(1.0)), revision(1)));
    assert!(limit.receive(now, None, revision(2)));
    assert!(!limit.receive(now, Some(rate(1.0)), revision(1)));
    assert_eq!(limit.rate(), None);
}

#[test]
fn pace_keeps_every_span_to_the_rate() {
    fn check(thousandths: u16) -> TestResult {
        if thousandths == 0 {
            return TestResult::discard();
        }
        let rate = rate(f64::from(thousandths) / 1e3);
        let start = Instant::now();
        let mut pace = Pace::new(start);
        pace.set_rate(start, Some(rate));
        let mut calls: Vec<Instant> = Vec::new();
        for _ in 0..300 {
            let at = pace.next_call_at(rate).expect("a rate is set");
            pace.record_call(at);
            calls.push(at);
        }
        let allowed = (rate.requests_per_s() * SPAN_MS.as_secs_f64()).max(1.0);
        TestResult::from_bool(calls.iter().enumerate().all(|(first, from)| {
            let within = calls[first..]
                .iter()
                .take_while(|at| **at < *from + SPAN_MS);
            f64::from(u32::try_from(within.count()).unwrap_or(u32::MAX)) <= allowed
        }))
    }
    seeded::check().quickcheck(check as fn(u16) -> TestResult);
}

#[test]
fn refused_callers_come_back_one_after_the_other() {
    let now = Instant::now();
    let mut returns = Returns::default();
    let longest = Duration::from_secs(2);
    let opens = now + Duration::from_millis(500);
    let times: Vec<Duration> = (0..6)
        .map(|_| returns.retry_after(now, opens, rate(4.0), longest, 0.0))
        .collect();
    let expected: Vec<Duration> = (2..8).map(|at| Duration::from_millis(250) * at).collect();
    assert_eq!(times, expected);
    let after = returns.retry_after(now, opens, rate(4.0), longest, 0.5);
    assert!(after <= longest && after > longest / 2, "{after:?}");
}
