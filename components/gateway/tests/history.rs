//! Tests of the history of one request.

use gateway::request_history::request_history;

const LOG: [&str; 7] = [
    r#"  3.1 front-1 {"ts":"2026-12-04T00:00:02.5Z","host":"front-1","code":"CS5204","msg":"request ended","request":"a1","outcome":"cut"}"#,
    r#"  0.1 front-1 {"ts":"2026-12-03T23:59:59.5Z","host":"front-1","code":"CS5201","msg":"request routed","request":"a1","left_ms":3000}"#,
    r#"{"ts":"2026-12-03T23:59:59.6Z","host":"front-1","code":"CS5202","msg":"target called","request":"a1","target":"t1"}"#,
    r#"{"ts":"2026-12-04T00:00:01.0Z","host":"front-1","code":"CS5103","msg":"target state changed","target":"t1","belief":"ejected"}"#,
    r#"{"ts":"2026-12-04T00:00:01.1Z","host":"front-1","code":"CS5103","msg":"target state changed","target":"t2","belief":"ejected"}"#,
    r#"{"ts":"2026-12-04T00:00:01.2Z","host":"front-2","code":"CS5105","msg":"store unavailable"}"#,
    "a line of another program {",
];

#[test]
fn lines_are_in_time_order_with_changes_of_the_requests_target() {
    let selected = request_history(LOG, "a1");
    let starts = [
        "23:59:59.5Z front-1: request routed",
        "23:59:59.6Z",
        "00:00:01.0Z",
        "00:00:02.5Z",
    ];
    assert_eq!(selected.len(), starts.len(), "{selected:#?}");
    for (line, start) in selected.iter().zip(starts) {
        assert!(line.contains(start), "{line} does not have {start}");
    }
    assert!(
        selected[2].contains(r#"belief "ejected", target "t1""#),
        "{}",
        selected[2]
    );
}

#[test]
fn missing_end_of_request_is_reported() {
    let selected = request_history(LOG[1..].iter().copied(), "a1");
    assert!(
        selected
            .last()
            .is_some_and(|line| line.starts_with("missing: `request ended` (CS5204)")),
        "{selected:#?}"
    );
}

#[test]
fn unknown_request_has_no_history() {
    assert!(request_history(LOG, "b1").is_empty());
}
