//! History of one request, from the log lines of all gateway processes.
//!
//! It holds the request's own lines, the lines about its processes and targets from shortly before
//! and during the request, and a note on each expected line that is missing.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Time before the first line in which changes of a target's state are included.
const LOOKBACK_S: f64 = 10.0;
/// Seconds of a day; times of log lines are compared modulo a day.
const DAY_S: f64 = 86_400.0;
/// Codes of lines about the store and about dropped lines.
const STORE_AND_LOG_CODES: [&str; 3] = ["CS5010", "CS5105", "CS5106"];
/// Code of changes of a target's state.
const TARGET_CHANGE_CODE: &str = "CS5103";
/// Fields that are not listed among a line's details.
const COMMON_FIELDS: [&str; 6] = ["ts", "host", "level", "code", "msg", "request"];

struct Line {
    at_s: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; text before the first brace is a prefix that a log collector added.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at_s = second_of_day(fields.get("ts")?.as_str()?)?;
        Some(Self { at_s, fields })
    }

    fn field(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn to_text(&self) -> String {
        let details = self.fields.iter().filter(|(name, value)| {
            !COMMON_FIELDS.contains(&name.as_str())
                && !value.is_null()
                && value.as_str() != Some("")
        });
        let details: Vec<_> = details
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let (ts, host) = (self.field("ts"), self.field("host"));
        format!("{ts} {host}: {}; {}", self.field("msg"), details.join(", "))
    }
}

/// Seconds since midnight of a time like `2026-03-31T23:49:07.095Z`.
fn second_of_day(ts: &str) -> Option<f64> {
    let (_, time) = ts.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').splitn(3, ':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    Some(part()? * 3_600.0 + part()? * 60.0 + part()?)
}

/// Lines about a request in order of time; empty if no line has its id.
#[must_use]
pub fn request_history<'a>(log: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<String> {
    let lines: Vec<Line> = log.into_iter().filter_map(Line::parse).collect();
    let is_own = |line: &&Line| line.field("request") == request;
    let Some(first_s) = lines.iter().find(is_own).map(|line| line.at_s) else {
        return Vec::new();
    };
    let since_s = |line: &Line| (line.at_s - first_s + LOOKBACK_S).rem_euclid(DAY_S);
    let last_s = lines.iter().filter(is_own).map(since_s).fold(0.0, f64::max);
    let values_of = |name: &str| -> BTreeSet<&str> {
        let values = lines.iter().filter(is_own).map(|line| line.field(name));
        values.filter(|value| !value.is_empty()).collect()
    };
    let (hosts, targets) = (values_of("host"), values_of("target"));
    let mut selected: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let code = line.field("code");
            let is_at_host = hosts.contains(line.field("host"));
            let is_about_host = STORE_AND_LOG_CODES.contains(&code);
            let is_about_target =
                code == TARGET_CHANGE_CODE && targets.contains(line.field("target"));
            let is_related = is_at_host && (is_about_host || is_about_target);
            is_own(line) || (is_related && since_s(line) <= last_s)
        })
        .collect();
    selected.sort_by(|a, b| since_s(a).total_cmp(&since_s(b)));
    let count = |code: &str| {
        let own = lines.iter().filter(is_own);
        own.filter(|line| line.field("code") == code).count()
    };
    let mut text: Vec<String> = selected.iter().map(|line| line.to_text()).collect();
    if count("CS5201") == 0 && count("CS5202") > 0 {
        text.push("missing: `request routed` (CS5201)".to_owned());
    }
    if count("CS5204") == 0 {
        text.push(
            "missing: `request ended` (CS5204); the process was killed, or the log ends earlier"
                .to_owned(),
        );
    }
    text
}
