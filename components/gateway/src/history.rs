//! History of one request, from the log lines of all processes.
//!
//! Beside the request's own lines it has what its processes and its targets went through shortly
//! before and meanwhile, and says which lines are missing.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Time before the first line in which changes of belief may have decided the request.
const BEFORE_S: f64 = 10.0;
/// Seconds of a day, after which the times of log lines begin anew.
const DAY_S: f64 = 86_400.0;
/// Codes of lines about the store, and about lines that were left out.
const HOST_CODES: [&str; 3] = ["CS5010", "CS5105", "CS5106"];
/// Code of changes of belief about a target.
const BELIEF_CODE: &str = "CS5103";
/// Fields that each line has; the rest is what it says.
const FRAME: [&str; 6] = ["ts", "host", "level", "code", "msg", "request"];

struct Line {
    at_s: f64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; what is before the first brace was added by whoever collected it.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at_s = second_of_day(fields.get("ts")?.as_str()?)?;
        Some(Self { at_s, fields })
    }

    fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn show(&self) -> String {
        let said = self.fields.iter().filter(|(name, value)| {
            !FRAME.contains(&name.as_str()) && !value.is_null() && value.as_str() != Some("")
        });
        let said: Vec<_> = said
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let (ts, host) = (self.text("ts"), self.text("host"));
        format!("{ts} {host}: {}; {}", self.text("msg"), said.join(", "))
    }
}

/// Seconds since midnight of a time like `2026-03-31T23:49:07.095Z`.
fn second_of_day(ts: &str) -> Option<f64> {
    let (_, time) = ts.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').splitn(3, ':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    Some(part()? * 3_600.0 + part()? * 60.0 + part()?)
}

/// What is known of a request, in the order of time; empty if no line names it.
#[must_use]
pub fn history<'a>(log: impl IntoIterator<Item = &'a str>, request: &str) -> Vec<String> {
    let lines: Vec<Line> = log.into_iter().filter_map(Line::parse).collect();
    let own = |line: &&Line| line.text("request") == request;
    let Some(first_s) = lines.iter().find(own).map(|line| line.at_s) else {
        return Vec::new();
    };
    let since_s = |line: &Line| (line.at_s - first_s + BEFORE_S).rem_euclid(DAY_S);
    let last_s = lines.iter().filter(own).map(since_s).fold(0.0, f64::max);
    let named = |name: &str| -> BTreeSet<&str> {
        let values = lines.iter().filter(own).map(|line| line.text(name));
        values.filter(|value| !value.is_empty()).collect()
    };
    let (hosts, targets) = (named("host"), named("target"));
    let mut told: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            let code = line.text("code");
            let is_at_host = hosts.contains(line.text("host"));
            let is_about_host = HOST_CODES.contains(&code);
            let is_about_target = code == BELIEF_CODE && targets.contains(line.text("target"));
            let is_related = is_at_host && (is_about_host || is_about_target);
            own(line) || (is_related && since_s(line) <= last_s)
        })
        .collect();
    told.sort_by(|a, b| since_s(a).total_cmp(&since_s(b)));
    let count = |code: &str| {
        let found = lines.iter().filter(own);
        found.filter(|line| line.text("code") == code).count()
    };
    let mut shown: Vec<String> = told.iter().map(|line| line.show()).collect();
    if count("CS5201") == 0 && count("CS5202") > 0 {
        shown.push("missing: the line that it was routed (CS5201)".to_owned());
    }
    if count("CS5204") == 0 {
        shown.push(
            "missing: its end (CS5204); the process was killed, or the log ends before".to_owned(),
        );
    }
    shown
}
