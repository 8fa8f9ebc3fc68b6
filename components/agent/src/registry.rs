//! The transaction that writes a target row, with its record in the change log.

use platform::Check;
use platform::Put;
use platform::Row;
use platform::Transaction;
use serde::Deserialize;
use serde::Serialize;
use types::Change;
use types::ChangeBody;
use types::Revision;
use types::Target;

/// Key of the head row.
pub const HEAD_KEY: &str = "head";

#[derive(Default, Serialize, Deserialize)]
struct Head {
    revision: Revision,
}

/// Who writes, when and why.
pub struct Entry<'a> {
    /// Writer.
    pub by: &'a str,
    /// Wall-clock time since the Unix epoch.
    pub at_ms: std::time::Duration,
    /// Why, for people.
    pub reason: &'a str,
    /// Unique to the write.
    pub token: u128,
}

/// Key of the row of a target.
#[must_use]
pub fn target_key(name: &str) -> String {
    format!("target/{name}")
}

/// Key of the latest order to a target.
#[must_use]
pub fn order_key(name: &str) -> String {
    format!("order/{name}")
}

/// Parses the row with this key, if it is there.
///
/// # Errors
///
/// The row is not JSON of this type.
pub fn parse<T: serde::de::DeserializeOwned>(
    rows: &[Row],
    key: &str,
) -> Result<Option<T>, serde_json::Error> {
    match rows.iter().find(|row| row.key == key) {
        Some(row) => serde_json::from_str(&row.value).map(Some),
        None => Ok(None),
    }
}

/// Plans the write of a target row under the versions of the rows that were read.
///
/// # Errors
///
/// A row that was read is not JSON of its type.
pub fn plan_target(
    rows: &[Row],
    after: &Target,
    entry: &Entry,
) -> Result<Transaction, serde_json::Error> {
    let key = target_key(&after.name);
    let head: Head = parse(rows, HEAD_KEY)?.unwrap_or_default();
    let before: Option<Target> = parse(rows, &key)?;
    let revision = head.revision + 1;
    let log_key = format!("log/{revision:020}");
    let change = Change {
        revision,
        at_ms: entry.at_ms,
        by: entry.by.to_owned(),
        reason: entry.reason.to_owned(),
        token: entry.token,
        body: ChangeBody::Target {
            before,
            after: after.clone(),
        },
    };
    Ok(Transaction {
        checks: vec![check(rows, HEAD_KEY), check(rows, &key)],
        puts: vec![
            put(HEAD_KEY.to_owned(), &Head { revision })?,
            put(key, after)?,
            put(log_key.clone(), &change)?,
        ],
        proof: log_key,
    })
}

fn check(rows: &[Row], key: &str) -> Check {
    Check {
        key: key.to_owned(),
        version: rows
            .iter()
            .find(|row| row.key == key)
            .map_or(0, |row| row.version),
    }
}

fn put(key: String, value: &impl Serialize) -> Result<Put, serde_json::Error> {
    Ok(Put {
        key,
        value: Some(serde_json::to_string(value)?),
    })
}
