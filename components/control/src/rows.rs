//! Values of the table's rows, and the set of rows that a plan is made from.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use store::Check;
use store::Row;
use store::RowVersion;
use types::FencingNumber;
use types::Incarnation;
use types::Revision;

use crate::keys;

/// Value of the `head` row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the latest change.
    pub revision: Revision,
}

/// Configuration item with the revision of the change that wrote it. This is the value of the rows
/// of profiles, services and targets; an order has its own field for the revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Revision of the change that wrote the item.
    pub revision: Revision,
    /// Profile, service or target.
    pub value: T,
}

/// Value of a lease row. The row is never deleted, so that fencing numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Incarnation of the entry that holds the lease; 0 after a release.
    pub holder: Incarnation,
    /// Incremented with each new holder.
    pub fencing: FencingNumber,
    /// Incremented with each write, so that no two writes of the row are equal.
    pub renewal: u64,
}

/// Error for a row whose value this version cannot decode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// Message of the JSON decoder.
    pub detail: String,
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {} cannot be decoded by this version: {}",
            self.key, self.detail
        )
    }
}

impl std::error::Error for RowError {}

/// Decodes the value of a row.
///
/// # Errors
///
/// The row key and the message of the decoder, if the value cannot be decoded.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, RowError> {
    serde_json::from_str(&row.value).map_err(|error| RowError {
        key: row.key.clone(),
        detail: error.to_string(),
    })
}

/// JSON text of a row's value.
pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have string keys and no failing serializer")
}

/// Rows still to be read before a plan can be made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowsNeeded {
    /// Single rows.
    pub keys: Vec<String>,
    /// Prefixes; all rows whose keys start with one of them are read.
    pub prefixes: Vec<String>,
}

impl RowsNeeded {
    /// Whether no row has to be read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.prefixes.is_empty()
    }
}

/// Rows as read, with the keys and prefixes that were read, so that absent rows are known too.
#[derive(Debug, Clone, Default)]
pub struct RowSet {
    rows: BTreeMap<String, Row>,
    keys: BTreeSet<String>,
    prefixes: BTreeSet<String>,
}

impl RowSet {
    /// Adds the result of a read of `keys`.
    pub fn add_read(&mut self, keys: &[String], rows: Vec<Row>) {
        self.keys.extend(keys.iter().cloned());
        self.add_rows(rows);
    }

    /// Adds the result of a scan of all rows with `prefix`.
    pub fn add_scan(&mut self, prefix: &str, rows: Vec<Row>) {
        self.prefixes.insert(prefix.to_owned());
        self.add_rows(rows);
    }

    /// Keys to read again after a conflict. Empty if rows were scanned: a transaction has no checks
    /// on scanned rows, so `head` must be read before them again.
    #[must_use]
    pub fn keys_to_reread(&self) -> Vec<String> {
        if self.prefixes.is_empty() {
            return self.keys.iter().cloned().collect();
        }
        Vec::new()
    }

    /// Part of `needed` that has not been read.
    #[must_use]
    pub fn missing(&self, needed: RowsNeeded) -> RowsNeeded {
        RowsNeeded {
            keys: needed
                .keys
                .into_iter()
                .filter(|key| !self.keys.contains(key))
                .collect(),
            prefixes: needed
                .prefixes
                .into_iter()
                .filter(|prefix| !self.prefixes.contains(prefix))
                .collect(),
        }
    }

    /// Decodes a row; `None` if it is absent or was not read.
    ///
    /// # Errors
    ///
    /// The row key and the message of the decoder, if the value cannot be decoded.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, RowError> {
        self.rows.get(key).map(decode).transpose()
    }

    /// Rows whose keys start with `prefix`.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows
            .range(prefix.to_owned()..)
            .map(|(_, row)| row)
            .take_while(move |row| row.key.starts_with(prefix))
    }

    /// Version of a row as read; 0 if it is absent.
    #[must_use]
    pub fn version(&self, key: &str) -> RowVersion {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    /// Check that a row still has the version that was read.
    #[must_use]
    pub fn check(&self, key: &str) -> Check {
        Check {
            key: key.to_owned(),
            version: self.version(key),
        }
    }

    /// Revision of the item in a row; 0 if the row is absent or cannot be decoded.
    #[must_use]
    pub fn revision(&self, key: &str) -> Revision {
        #[derive(Deserialize)]
        struct ItemRevision {
            revision: Revision,
        }
        self.get::<ItemRevision>(key)
            .ok()
            .flatten()
            .map_or(0, |item| item.revision)
    }

    /// Author of a change, if its log record was read.
    #[must_use]
    pub fn author(&self, revision: Revision) -> String {
        self.get::<types::Change>(&keys::log(revision))
            .ok()
            .flatten()
            .map_or_else(|| "an unknown author".to_owned(), |change| change.by)
    }

    fn add_rows(&mut self, rows: Vec<Row>) {
        for row in rows {
            self.rows.insert(row.key.clone(), row);
        }
    }
}
