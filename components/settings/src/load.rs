//! Loading and reloading of settings files.

use std::fmt;
use std::fmt::Write;
use std::path::Path;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::errors::ParseErrorKind;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use crate::agent::AgentSettings;
use crate::entry::EntrySettings;
use crate::sections::Daemon;
use crate::sections::FieldError;

/// Error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// Line number, from 1; 0 if the file cannot be read.
    pub line: usize,
    /// Path of the field, for example `limits.head_ms`; empty if the error is not about one field.
    pub field: String,
    /// How to correct the file, or the message of the parser or the file system.
    pub fix: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, ": field `{}`", self.field)?;
        }
        write!(f, ": {}", self.fix)
    }
}

impl std::error::Error for SettingsError {}

/// Settings of one of the daemons.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonSettings {
    /// Settings of an entry.
    Entry(Box<EntrySettings>),
    /// Settings of an agent.
    Agent(Box<AgentSettings>),
}

/// Loads the settings of an entry or an agent, as the field `daemon` of the file says.
///
/// # Errors
///
/// Returns the first error in the file.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    parse(&path.display().to_string(), &read(path)?)
}

/// Loads the settings of an entry.
///
/// # Errors
///
/// Returns the first error in the file.
pub fn load_entry(path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, EntrySettings::validate)
}

/// Loads the settings of an agent.
///
/// # Errors
///
/// Returns the first error in the file.
pub fn load_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, AgentSettings::validate)
}

/// Reloads the settings of a running entry.
///
/// # Errors
///
/// Returns the first error in the file, or the first changed field that needs a restart.
pub fn reload_entry(current: &EntrySettings, path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, |new: &EntrySettings| {
        new.validate()?;
        current.reload(new).map(drop)
    })
}

/// Reloads the settings of a running agent.
///
/// # Errors
///
/// Returns the first error in the file, or the first changed field that needs a restart.
pub fn reload_agent(current: &AgentSettings, path: &Path) -> Result<AgentSettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, |new: &AgentSettings| {
        new.validate()?;
        current.reload(new).map(drop)
    })
}

/// Parses the settings of an entry or an agent; `file` is used in errors only.
///
/// # Errors
///
/// Returns the first error in the text.
pub fn parse(file: &str, text: &str) -> Result<DaemonSettings, SettingsError> {
    match parse_daemon(file, text)? {
        Daemon::Entry => parse_as(file, text, EntrySettings::validate)
            .map(|settings| DaemonSettings::Entry(Box::new(settings))),
        Daemon::Agent => parse_as(file, text, AgentSettings::validate)
            .map(|settings| DaemonSettings::Agent(Box::new(settings))),
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError {
        file: path.display().to_string(),
        line: 0,
        field: String::new(),
        fix: error.to_string(),
    })
}

fn parse_daemon(file: &str, text: &str) -> Result<Daemon, SettingsError> {
    let tree = parse_tree(file, text)?;
    let daemon = match &tree {
        Value::Object(object) => object
            .get_string("daemon")
            .map(|value| value.value.as_ref()),
        _ => None,
    };
    match daemon {
        Some("entry") => Ok(Daemon::Entry),
        Some("agent") => Ok(Daemon::Agent),
        _ => Err(SettingsError {
            file: file.to_owned(),
            line: line_at(text, find_position(&tree, "daemon").unwrap_or(0)),
            field: "daemon".to_owned(),
            fix: "use \"entry\" or \"agent\"".to_owned(),
        }),
    }
}

fn parse_as<T: DeserializeOwned>(
    file: &str,
    text: &str,
    validate: impl FnOnce(&T) -> Result<(), FieldError>,
) -> Result<T, SettingsError> {
    let tree = parse_tree(file, text)?;
    let settings: T = parse_to_serde_value(text, &parse_options())
        .map_err(|error| decode_error(file, text, &tree, &error))?;
    validate(&settings).map_err(|error| SettingsError {
        file: file.to_owned(),
        line: line_at(text, find_position(&tree, &error.field).unwrap_or(0)),
        field: error.field,
        fix: error.fix,
    })?;
    Ok(settings)
}

/// Accepts comments and trailing commas, and no other extension of JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn parse_tree<'a>(file: &str, text: &'a str) -> Result<Value<'a>, SettingsError> {
    let syntax_error = |line, fix: String| SettingsError {
        file: file.to_owned(),
        line,
        field: String::new(),
        fix,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options())
        .map_err(|error| syntax_error(error.line_display(), error.kind().to_string()))?;
    parsed
        .value
        .ok_or_else(|| syntax_error(1, "the file is empty".to_owned()))
}

fn decode_error(file: &str, text: &str, tree: &Value<'_>, error: &ParseError) -> SettingsError {
    let position = error.range().start;
    let mut field = path_at(tree, position);
    let mut line = error.line_display();
    let fix = match error.kind() {
        ParseErrorKind::Custom(message) => message.clone(),
        other => other.to_string(),
    };
    // Serde reports unknown, missing and duplicate fields at the position of their object.
    if let Some(name) = field_in_message(&fix) {
        if !field.is_empty() {
            field.push('.');
        }
        field.push_str(name);
        if let Some(start) = find_position(tree, &field) {
            line = line_at(text, start);
        }
    }
    SettingsError {
        file: file.to_owned(),
        line,
        field,
        fix,
    }
}

/// Name of the field in an error message of Serde about an unknown, missing or duplicate field.
fn field_in_message(message: &str) -> Option<&str> {
    ["unknown field `", "missing field `", "duplicate field `"]
        .iter()
        .find_map(|prefix| message.strip_prefix(prefix))?
        .split('`')
        .next()
}

/// Path of the innermost property or array element whose value contains a position.
fn path_at(value: &Value<'_>, position: usize) -> String {
    let mut path = String::new();
    let mut next = Some(value);
    while let Some(current) = next {
        next = match current {
            Value::Object(object) => object
                .properties
                .iter()
                .find(|property| contains(&property.value, position))
                .map(|property| {
                    if !path.is_empty() {
                        path.push('.');
                    }
                    path.push_str(property.name.as_str());
                    &property.value
                }),
            Value::Array(array) => array
                .elements
                .iter()
                .enumerate()
                .find(|(_, element)| contains(element, position))
                .map(|(index, element)| {
                    let _ = write!(path, "[{index}]");
                    element
                }),
            _ => None,
        };
    }
    path
}

fn contains(value: &Value<'_>, position: usize) -> bool {
    let range = value.range();
    range.start <= position && position < range.end
}

/// Position of the innermost existing property or array element on a path.
fn find_position(value: &Value<'_>, path: &str) -> Option<usize> {
    let mut current = value;
    let mut position = None;
    for name in path.split('.') {
        let (name, index) = match name.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (name, None),
        };
        let Value::Object(object) = current else {
            break;
        };
        let Some(property) = object.get(name) else {
            break;
        };
        position = Some(property.range().start);
        current = &property.value;
        if let (Value::Array(array), Some(index)) = (current, index) {
            let Some(element) = array.elements.get(index) else {
                break;
            };
            position = Some(element.range().start);
            current = element;
        }
    }
    position
}

/// Line number, from 1, of a byte position.
fn line_at(text: &str, position: usize) -> usize {
    1 + text[..position].matches('\n').count()
}
