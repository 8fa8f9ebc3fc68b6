//! Values of the table's rows, and the rows that a plan is made from.

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

/// An item of configuration with the revision of the change that wrote it. Value of the rows
/// of profiles, services and targets; an order names its revision itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Revision of the change that wrote the item.
    pub revision: Revision,
    /// The item.
    pub value: T,
}

/// Value of a lease row. The row is never deleted, so that `fencing` never repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Run of the entry that holds the lease; 0 after a release.
    pub holder: Incarnation,
    /// Grows by one with every new holder.
    pub fencing: FencingNumber,
    /// Grows with every renewal, so that each write of the row is unique.
    pub renewal: u64,
}

/// A row whose value this version does not understand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// What the decoder said.
    pub detail: String,
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "row {} is not understood by this version: {}",
            self.key, self.detail
        )
    }
}

impl std::error::Error for RowError {}

/// Decodes the value of a row.
///
/// # Errors
///
/// Names the row and the field.
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
    /// All rows whose key starts with one of these.
    pub prefixes: Vec<String>,
}

impl RowsNeeded {
    /// Nothing is left to read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.prefixes.is_empty()
    }
}

/// Rows as read, including the knowledge of which rows are absent.
#[derive(Debug, Clone, Default)]
pub struct RowSet {
    rows: BTreeMap<String, Row>,
    keys: BTreeSet<String>,
    prefixes: BTreeSet<String>,
}

impl RowSet {
    /// Adds the answer to a read of `keys`.
    pub fn add_read(&mut self, keys: &[String], rows: Vec<Row>) {
        self.keys.extend(keys.iter().cloned());
        self.add_rows(rows);
    }

    /// Adds the answer to a scan of all rows below `prefix`.
    pub fn add_scan(&mut self, prefix: &str, rows: Vec<Row>) {
        self.prefixes.insert(prefix.to_owned());
        self.add_rows(rows);
    }

    /// Keys to read again after a conflict. Empty if rows were scanned: their changes are not
    /// among the checks of a transaction, so `head` must be read before them again.
    #[must_use]
    pub fn keys_to_repeat(&self) -> Vec<String> {
        if self.prefixes.is_empty() {
            return self.keys.iter().cloned().collect();
        }
        Vec::new()
    }

    /// Leaves of `needed` what has not been read.
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
    /// Names the row and the field.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, RowError> {
        self.rows.get(key).map(decode).transpose()
    }

    /// Rows whose key starts with `prefix`.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
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

    /// Condition that a row is as it was read.
    #[must_use]
    pub fn check(&self, key: &str) -> Check {
        Check {
            key: key.to_owned(),
            version: self.version(key),
        }
    }

    /// Revision of the item in a row, 0 if the row is absent.
    #[must_use]
    pub fn revision(&self, key: &str) -> Revision {
        #[derive(Deserialize)]
        struct AnyItem {
            revision: Revision,
        }
        self.get::<AnyItem>(key)
            .ok()
            .flatten()
            .map_or(0, |item| item.revision)
    }

    /// Author of a change, as far as its log record was read.
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
