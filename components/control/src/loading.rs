//! Reads a whole snapshot from the table while changes go on.
//!
//! `head` is read first, then all rows, which may be newer than that head, and then the log
//! records after it. Replaying the records in order leads to the state of the last one: a row
//! that changed in the meantime is overwritten by its latest record, and every other row is as
//! it was at the first head.

use store::Row;
use store::TableRequest;
use types::Change;
use types::Revision;

use crate::keys;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::decode;
use crate::snapshot::Snapshot;

/// Rows read with one call.
pub(crate) const PAGE_ROWS: usize = 256;
/// Kinds of rows in a snapshot.
const PREFIXES: [&str; 4] = [keys::PROFILE, keys::SERVICE, keys::TARGET, keys::ORDER];

/// Progress of the reading.
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

/// What follows a page.
pub(crate) enum Step {
    More(Loading),
    Done(Snapshot),
}

impl Loading {
    /// The call to make now.
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

    /// Adds the answer to the call.
    pub(crate) fn page(mut self, rows: &[Row]) -> Result<Step, RowError> {
        match self.stage {
            Stage::Head => {
                let head: Option<Head> = rows.first().map(decode).transpose()?;
                self.snapshot = Snapshot::at(head.unwrap_or_default().revision);
                self.stage = Stage::Rows {
                    prefix: 0,
                    after: String::new(),
                };
            }
            Stage::Rows { prefix, .. } => {
                for row in rows {
                    self.newest_row = self.newest_row.max(self.snapshot.add_row(row)?);
                }
                self.stage = next_rows(prefix, rows);
            }
            Stage::Log => {
                for row in rows {
                    let change: Change = decode(row)?;
                    if self.snapshot.apply(&change).is_err() {
                        return Ok(Step::More(Self::default()));
                    }
                }
                if rows.len() < PAGE_ROWS && self.newest_row <= self.snapshot.revision() {
                    return Ok(Step::Done(self.snapshot));
                }
            }
        }
        Ok(Step::More(self))
    }
}

fn next_rows(prefix: usize, rows: &[Row]) -> Stage {
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

/// Reads the records after a revision.
pub(crate) fn scan_log(after: Revision) -> TableRequest {
    TableRequest::Scan {
        prefix: keys::LOG.to_owned(),
        after: keys::log(after),
        limit: PAGE_ROWS,
    }
}
