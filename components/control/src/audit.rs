//! Reads the audit trail, which is the change log.

use store::StoreError;
use store::Table;
use store::TableReply;
use store::TableRequest;
use types::Change;
use types::Revision;

use crate::keys;
use crate::rows::Head;
use crate::rows::RowError;
use crate::rows::decode;

/// Maximum number of log records read with one table request.
const READ_ROWS: u64 = 100;

/// Reads log records, newest first: at most `limit`, with revisions below `before`, or from the
/// latest revision without `before`.
///
/// # Errors
///
/// Errors of the table; `Malformed` for a record that this version cannot decode.
pub async fn audit(
    table: &dyn Table,
    before: Option<Revision>,
    limit: usize,
) -> Result<Vec<Change>, StoreError> {
    let head = read_head(table).await?;
    let mut next = before.map_or(head, |before| before.saturating_sub(1).min(head));
    let mut records = Vec::new();
    while next > 0 && records.len() < limit {
        let wanted = READ_ROWS.min((limit - records.len()) as u64);
        let first = next.saturating_sub(wanted - 1).max(1);
        let keys = (first..=next).map(keys::log).collect();
        let mut rows = read(table, keys).await?;
        rows.sort_by(|a, b| b.key.cmp(&a.key));
        for row in rows {
            records.push(decode(&row).map_err(|error| malformed(&error))?);
        }
        next = first - 1;
    }
    Ok(records)
}

async fn read_head(table: &dyn Table) -> Result<Revision, StoreError> {
    let rows = read(table, vec![keys::HEAD.to_owned()]).await?;
    let head: Option<Head> = rows
        .first()
        .map(decode)
        .transpose()
        .map_err(|error| malformed(&error))?;
    Ok(head.unwrap_or_default().revision)
}

async fn read(table: &dyn Table, keys: Vec<String>) -> Result<Vec<store::Row>, StoreError> {
    match table.call(TableRequest::Read(keys)).await? {
        TableReply::Rows(rows) => Ok(rows),
        TableReply::Commit(_) => Err(StoreError::Malformed(
            "commit outcome in answer to a read".to_owned(),
        )),
    }
}

fn malformed(error: &RowError) -> StoreError {
    StoreError::Malformed(error.to_string())
}
