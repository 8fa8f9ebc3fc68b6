//! Tests of what targets say of themselves apart from a limit.

use std::time::Duration;
use std::time::Instant;

use limits::Limits;
use limits::Room;
use limits::Standing;
use limits::Statement;
use limits::pause_from_text;

fn pause(ms: u64) -> Statement {
    Statement {
        pause_ms: Some(Duration::from_millis(ms)),
        ..Statement::default()
    }
}

fn leaving() -> Statement {
    Statement {
        is_leaving: true,
        ..Statement::default()
    }
}

#[test]
fn pause_that_is_no_number_of_seconds_is_ignored() {
    for text in [
        "",
        "soon",
        "-1",
        "NaN",
        "inf",
        "1e9",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "1,5",
    ] {
        assert_eq!(pause_from_text(text), None, "{text:?}");
    }
    assert_eq!(pause_from_text(&"9".repeat(40)), None);
    assert_eq!(pause_from_text("1.5"), Some(Duration::from_millis(1_500)));
    assert_eq!(pause_from_text("86400"), Some(Duration::from_hours(24)));
    let longest = pause_from_text(&"9".repeat(30));
    assert!(longest.is_some_and(|pause| pause > Duration::from_hours(24)));
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut standing = Standing::default();
    standing.record(now, &pause(2_000));
    standing.record(now, &pause(500));
    standing.record(now, &Statement::default());
    let end = now + Duration::from_secs(2);
    assert_eq!(standing.pause_end(now), Some(end));
    assert_eq!(standing.pause_end(end), None);
}

// A store that came back from a copy still listed an engine that had left.
#[test]
fn target_that_leaves_is_not_called_again_when_its_entry_comes_back() {
    let start = Instant::now();
    let mut limits = Limits::new(start, 1);
    assert!(limits.record_statement(start, 7, &leaving()));
    assert!(!limits.record_statement(start, 7, &leaving()));
    assert_eq!(limits.room(start, 7), Room::Never);
    limits.tick(start, 1, |_| false);
    let later = start + Duration::from_mins(5);
    limits.tick(later, 1, |_| true);
    assert_eq!(limits.room(later, 7), Room::Never);
    assert_eq!(limits.room(later, 8), Room::Unlimited);
}

#[test]
fn what_targets_that_are_gone_have_said_is_forgotten() {
    let start = Instant::now();
    let mut limits = Limits::new(start, 1);
    limits.record_statement(start, 7, &leaving());
    limits.tick(start, 1, |_| false);
    let later = start + Duration::from_mins(11);
    limits.tick(later, 1, |_| false);
    assert_eq!(limits.room(later, 7), Room::Unlimited);
}

#[test]
fn target_in_a_pause_has_room_from_its_end() {
    let start = Instant::now();
    let mut limits = Limits::new(start, 1);
    limits.record_statement(start, 7, &pause(700));
    let end = start + Duration::from_millis(700);
    assert_eq!(limits.room(start, 7), Room::From(end));
    assert_eq!(limits.room(end, 7), Room::Unlimited);
}
