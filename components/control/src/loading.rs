//! Reads a complete snapshot from the table while changes are being written.
//!
//! `head` is read first, then all rows, which may be newer than that head, and then the log records
//! after it. Applying the records in order gives the state of the last one: a row that changed in
//! the meantime is overwritten by its latest record, and every other row is as it was at the head.

use store::Row;
use store::TableRequest;
use types::Change;
use types::Revision;

use crate::keys;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::decode;
use crate::snapshot::Snapshot;

/// Maximum number of rows read with one table request.
pub(crate) const PAGE_ROWS: usize = 256;
/// Key prefixes of the rows in a snapshot, in the order in which they are read.
const PREFIXES: [&str; 4] = [keys::PROFILE, keys::SERVICE, keys::TARGET, keys::ORDER];

/// State of a snapshot that is being read.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    stage: Stage,
    snapshot: Snapshot,
    /// Highest revision among the rows read.
    newest_row: Revision,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Head,
    Rows {
        prefix: usize,
        after: String,
    },
    Log,
}

/// State after a page was added.
pub(crate) enum LoadStep {
    More(Loading),
    Done(Snapshot),
}

impl Loading {
    /// Next table request.
    pub(crate) fn request(&self) -> TableRequest {
        match &self.stage {
            Stage::Head => TableRequest::Read(vec![keys::HEAD.to_owned()]),
            Stage::Rows { prefix, after } => TableRequest::Scan {
                prefix: PREFIXES[*prefix].to_owned(),
                after: after.clone(),
                limit: PAGE_ROWS,
            },
            Stage::Log => scan_log(self.snapshot.revision()),
        }
    }

    /// Adds the rows that answer the last request.
    pub(crate) fn add_page(mut self, rows: &[Row]) -> Result<LoadStep, RowError> {
        match self.stage {
            Stage::Head => {
                let head: Option<Head> = rows.first().map(decode).transpose()?;
                self.snapshot = Snapshot::empty_at(head.unwrap_or_default().revision);
                self.stage = Stage::Rows {
                    prefix: 0,
                    after: String::new(),
                };
            }
            Stage::Rows { prefix, .. } => {
                for row in rows {
                    self.newest_row = self.newest_row.max(self.snapshot.add_row(row)?);
                }
                self.stage = stage_after_rows(prefix, rows);
            }
            Stage::Log => {
                for row in rows {
                    let change: Change = decode(row)?;
                    if self.snapshot.apply(&change).is_err() {
                        return Ok(LoadStep::More(Self::default()));
                    }
                }
                if rows.len() < PAGE_ROWS && self.newest_row <= self.snapshot.revision() {
                    return Ok(LoadStep::Done(self.snapshot));
                }
            }
        }
        Ok(LoadStep::More(self))
    }
}

/// Stage after a page of the rows with a prefix.
fn stage_after_rows(prefix: usize, rows: &[Row]) -> Stage {
    match rows.last() {
        Some(last) if rows.len() >= PAGE_ROWS => Stage::Rows {
            prefix,
            after: last.key.clone(),
        },
        _ if prefix + 1 < PREFIXES.len() => Stage::Rows {
            prefix: prefix + 1,
            after: String::new(),
        },
        _ => Stage::Log,
    }
}

/// Request for the log records after a revision.
pub(crate) fn scan_log(after: Revision) -> TableRequest {
    TableRequest::Scan {
        prefix: keys::LOG.to_owned(),
        after: keys::log(after),
        limit: PAGE_ROWS,
    }
}
