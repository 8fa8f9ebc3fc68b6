//! Errors for changes that conflict with an earlier one.

use serde_json::Value;

use crate::command::CommandError;
use crate::rows::RowSet;

/// Maximum number of fields listed in the difference of a conflict.
const MAX_DIFFERENCE_FIELDS: usize = 8;

/// Error for a change of `item` whose author has read an earlier version of it.
pub(crate) fn conflict_error(rows: &RowSet, item: &str, wanted: &Value) -> CommandError {
    if rows.version(item) == 0 {
        return CommandError::NotFound {
            item: item.to_owned(),
        };
    }
    let revision = rows.revision(item);
    let now: Value = rows.get(item).ok().flatten().unwrap_or_default();
    let now = now
        .get("value")
        .or_else(|| now.get("kind"))
        .unwrap_or(&Value::Null);
    CommandError::Conflict {
        item: item.to_owned(),
        revision,
        by: rows.author(revision),
        difference: difference(now, wanted),
    }
}

/// Lists the fields in which the item differs from the command.
fn difference(now: &Value, wanted: &Value) -> String {
    let (Value::Object(now_fields), Value::Object(wanted_fields)) = (now, wanted) else {
        return String::new();
    };
    let mut names: Vec<&String> = now_fields.keys().chain(wanted_fields.keys()).collect();
    names.sort();
    names.dedup();
    let field = |fields: &serde_json::Map<String, Value>, name: &str| {
        fields
            .get(name)
            .map_or_else(|| "absent".to_owned(), ToString::to_string)
    };
    let different: Vec<String> = names
        .into_iter()
        .filter(|name| now_fields.get(*name) != wanted_fields.get(*name))
        .take(MAX_DIFFERENCE_FIELDS)
        .map(|name| {
            let (now, wanted) = (field(now_fields, name), field(wanted_fields, name));
            format!("{name} is {now}, the command has {wanted}")
        })
        .collect();
    different.join("; ")
}
