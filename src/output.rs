//! Output of commands as text or JSON.

use control::CommandOutcome;
use serde_json::Map;
use serde_json::Value;
use types::Change;
use types::change::ChangeBody;

/// Prints a value as indented JSON.
pub fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Renders a value as text: scalar fields as lines, lists of objects as tables.
pub fn render(value: &Value) -> String {
    let mut out = String::new();
    match value {
        Value::Object(fields) => render_fields(fields, &mut out),
        Value::Array(items) => out.push_str(&render_table(items)),
        other => {
            out.push_str(&render_cell(other));
            out.push('\n');
        }
    }
    out
}

/// Renders a list of objects as a table with one column for each field of any of them.
fn render_table(items: &[Value]) -> String {
    if items.is_empty() {
        return "none\n".to_owned();
    }
    let mut columns: Vec<&str> = Vec::new();
    for item in items {
        for name in item.as_object().into_iter().flat_map(Map::keys) {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
    }
    if columns.is_empty() {
        return items.iter().map(|item| render_cell(item) + "\n").collect();
    }
    let mut rows = vec![columns.iter().map(|name| (*name).to_owned()).collect()];
    rows.extend(items.iter().map(|item| {
        let value = |name: &&str| item.get(*name).map_or(String::new(), render_cell);
        columns.iter().map(value).collect::<Vec<String>>()
    }));
    align_columns(&rows)
}

/// Renders an entry of a status as its name and address, or as the one that is known.
pub fn render_entry(entry: &Value) -> String {
    match (entry["name"].as_str(), entry["address"].as_str()) {
        (Some(name), Some(address)) => format!("{name} ({address})"),
        (Some(text), None) | (None, Some(text)) => text.to_owned(),
        (None, None) => String::new(),
    }
}

/// Renders the outcome of a successful command in one line.
pub fn render_outcome(outcome: &CommandOutcome) -> String {
    let change = &outcome.change;
    if outcome.dry_run {
        format!(
            "would be revision {}: {}",
            change.revision,
            render_body(change)
        )
    } else {
        format!("revision {}: {}", change.revision, render_body(change))
    }
}

/// Renders a change in one line: revision, time, author, content and reason.
pub fn render_change(change: &Change) -> String {
    let mut line = format!(
        "{}  {}  {}  {}",
        change.revision,
        format_utc(change.at_ms.as_secs()),
        change.by,
        render_body(change)
    );
    if !change.reason.is_empty() {
        line.push_str("  -- ");
        line.push_str(&change.reason);
    }
    line
}

fn render_body(change: &Change) -> String {
    match &change.body {
        ChangeBody::Profile { before, after } => {
            render_difference(&format!("profile/{}", after.name), before.as_ref(), after)
        }
        ChangeBody::ProfileRetired { name, .. } => format!("profile/{name} retired"),
        ChangeBody::Service { before, after } => {
            render_difference(&format!("service/{}", after.name), before.as_ref(), after)
        }
        ChangeBody::Target { before, after } => {
            render_difference(&format!("target/{}", after.name), before.as_ref(), after)
        }
        ChangeBody::Order { after, .. } => {
            let kind = serde_json::to_value(&after.kind).unwrap_or_default();
            format!(
                "order/{} number {}: {}",
                after.target,
                after.number,
                render_cell(&kind)
            )
        }
        ChangeBody::PlanKept { service } => format!("plan of service/{service} kept"),
    }
}

fn render_difference<T: serde::Serialize>(item: &str, before: Option<&T>, after: &T) -> String {
    let Some(before) = before else {
        return format!("{item} created");
    };
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let changed: Vec<String> = after
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, value)| before.get(name) != Some(value))
        .map(|(name, value)| {
            let old = before.get(name).map_or(String::new(), render_cell);
            format!("{name} {old} -> {}", render_cell(value))
        })
        .collect();
    if changed.is_empty() {
        return format!("{item} unchanged");
    }
    format!("{item} {}", changed.join(", "))
}

fn render_fields(fields: &Map<String, Value>, out: &mut String) {
    let is_table = |value: &Value| {
        value
            .as_array()
            .is_some_and(|a| a.iter().any(Value::is_object))
    };
    let rows: Vec<Vec<String>> = fields
        .iter()
        .filter(|(_, value)| !is_table(value))
        .map(|(name, value)| vec![format!("{name}:"), render_cell(value)])
        .collect();
    out.push_str(&align_columns(&rows));
    for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
        out.push('\n');
        out.push_str(name);
        out.push_str(":\n");
        out.push_str(&render_table(value.as_array().map_or(&[], Vec::as_slice)));
    }
}

fn render_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Object(fields) => {
            let parts = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", render_cell(value)));
            parts.collect::<Vec<_>>().join(" ")
        }
        Value::Array(items) => items.iter().map(render_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn align_columns(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let padding = width.saturating_sub(cell.chars().count()) + 2;
            line.push_str(cell);
            line.extend(std::iter::repeat_n(' ', padding));
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// Formats a Unix time as UTC date and time, by converting the day number to a civil date.
fn format_utc(epoch_s: u64) -> String {
    let (days, second_of_day) = (epoch_s / 86_400, epoch_s % 86_400);
    // Counts days from 0000-03-01: if years start in March, the leap day is the last day of a year.
    let shifted_days = days + 719_468;
    let (era, day_of_era) = (shifted_days / 146_097, shifted_days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let (hour, minute) = (second_of_day / 3600, second_of_day / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z",
        second_of_day % 60
    )
}
