//! Reading of settings files.

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
use crate::sections::Fault;

/// A file that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// File.
    pub file: String,
    /// Line, from 1; 0 if the file cannot be read.
    pub line: usize,
    /// Path of the field, for example `limits.head_ms`; empty if it is no single field.
    pub field: String,
    /// What to do.
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

/// Settings of either daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Loaded {
    /// Of an entry.
    Entry(Box<EntrySettings>),
    /// Of an agent.
    Agent(Box<AgentSettings>),
}

/// Loads settings of either daemon.
///
/// # Errors
///
/// The first fault in the file.
pub fn load(path: &Path) -> Result<Loaded, SettingsError> {
    parse(&path.display().to_string(), &read(path)?)
}

/// Loads settings of an entry.
///
/// # Errors
///
/// The first fault in the file.
pub fn load_entry(path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, EntrySettings::validate)
}

/// Loads settings of an agent.
///
/// # Errors
///
/// The first fault in the file.
pub fn load_agent(path: &Path) -> Result<AgentSettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, AgentSettings::validate)
}

/// Reads the file of a running entry again.
///
/// # Errors
///
/// The first fault in the file, or the first field that needs a restart.
pub fn reload_entry(current: &EntrySettings, path: &Path) -> Result<EntrySettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, |new: &EntrySettings| {
        new.validate()?;
        current.reloaded(new).map(drop)
    })
}

/// Reads the file of a running agent again.
///
/// # Errors
///
/// The first fault in the file, or the first field that needs a restart.
pub fn reload_agent(current: &AgentSettings, path: &Path) -> Result<AgentSettings, SettingsError> {
    let file = path.display().to_string();
    parse_as(&file, &read(path)?, |new: &AgentSettings| {
        new.validate()?;
        current.reloaded(new).map(drop)
    })
}

/// Parses settings of either daemon; `file` appears in errors only.
///
/// # Errors
///
/// The first fault in the text.
pub fn parse(file: &str, text: &str) -> Result<Loaded, SettingsError> {
    match daemon(file, text)? {
        Daemon::Entry => parse_as(file, text, EntrySettings::validate)
            .map(|settings| Loaded::Entry(Box::new(settings))),
        Daemon::Agent => parse_as(file, text, AgentSettings::validate)
            .map(|settings| Loaded::Agent(Box::new(settings))),
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

fn daemon(file: &str, text: &str) -> Result<Daemon, SettingsError> {
    let tree = tree(file, text)?;
    let named = match &tree {
        Value::Object(object) => object.get_string("daemon").map(|name| name.value.as_ref()),
        _ => None,
    };
    match named {
        Some("entry") => Ok(Daemon::Entry),
        Some("agent") => Ok(Daemon::Agent),
        _ => Err(SettingsError {
            file: file.to_owned(),
            line: line_of(text, find(&tree, "daemon").unwrap_or(0)),
            field: "daemon".to_owned(),
            fix: "state \"entry\" or \"agent\"".to_owned(),
        }),
    }
}

fn parse_as<T: DeserializeOwned>(
    file: &str,
    text: &str,
    validate: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, SettingsError> {
    let tree = tree(file, text)?;
    let settings: T = parse_to_serde_value(text, &options())
        .map_err(|error| decode_error(file, text, &tree, &error))?;
    validate(&settings).map_err(|fault| SettingsError {
        file: file.to_owned(),
        line: line_of(text, find(&tree, &fault.field).unwrap_or(0)),
        field: fault.field,
        fix: fault.fix,
    })?;
    Ok(settings)
}

/// JSON with comments and trailing commas, and no further extension.
fn options() -> ParseOptions {
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

fn tree<'a>(file: &str, text: &'a str) -> Result<Value<'a>, SettingsError> {
    let syntax_error = |line, fix: String| SettingsError {
        file: file.to_owned(),
        line,
        field: String::new(),
        fix,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options())
        .map_err(|error| syntax_error(error.line_display(), error.kind().to_string()))?;
    parsed
        .value
        .ok_or_else(|| syntax_error(1, "the file is empty".to_owned()))
}

fn decode_error(file: &str, text: &str, tree: &Value<'_>, error: &ParseError) -> SettingsError {
    let at = error.range().start;
    let mut field = path_at(tree, at);
    let mut line = error.line_display();
    let fix = match error.kind() {
        ParseErrorKind::Custom(message) => message.clone(),
        other => other.to_string(),
    };
    // Serde reports unknown, missing and duplicate fields at the object that holds them.
    if let Some(name) = quoted_field(&fix) {
        if !field.is_empty() {
            field.push('.');
        }
        field.push_str(name);
        if let Some(start) = find(tree, &field) {
            line = line_of(text, start);
        }
    }
    SettingsError {
        file: file.to_owned(),
        line,
        field,
        fix,
    }
}

fn quoted_field(message: &str) -> Option<&str> {
    ["unknown field `", "missing field `", "duplicate field `"]
        .iter()
        .find_map(|prefix| message.strip_prefix(prefix))?
        .split('`')
        .next()
}

/// Path of the innermost property whose value contains a position.
fn path_at(value: &Value<'_>, at: usize) -> String {
    let mut path = String::new();
    let mut inner = Some(value);
    while let Some(current) = inner {
        inner = match current {
            Value::Object(object) => object
                .properties
                .iter()
                .find(|property| contains(&property.value, at))
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
                .find(|(_, element)| contains(element, at))
                .map(|(index, element)| {
                    let _ = write!(path, "[{index}]");
                    element
                }),
            _ => None,
        };
    }
    path
}

fn contains(value: &Value<'_>, at: usize) -> bool {
    let range = value.range();
    range.start <= at && at < range.end
}

/// Position of the last property of a path that exists.
fn find(value: &Value<'_>, path: &str) -> Option<usize> {
    let mut current = value;
    let mut found = None;
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
        found = Some(property.range().start);
        current = &property.value;
        if let (Value::Array(array), Some(index)) = (current, index) {
            let Some(element) = array.elements.get(index) else {
                break;
            };
            found = Some(element.range().start);
            current = element;
        }
    }
    found
}

fn line_of(text: &str, position: usize) -> usize {
    1 + text[..position].matches('\n').count()
}
