//! Carries out changes: reads rows, plans and commits, and plans again after unrelated changes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::CommitOutcome;
use store::RowVersion;
use store::StoreError;
use store::Table;
use store::TableReply;
use store::TableRequest;
use store::Timer;
use types::Change;
use types::Clock;

use crate::command::CommandError;
use crate::command::CommandOutcome;
use crate::command::CommandRequest;
use crate::conflict;
use crate::keys;
use crate::plan::ChangeMeta;
use crate::plan::Intent;
use crate::plan::plan_intent;
use crate::rows::RowSet;
use crate::rows::RowsNeeded;

/// Maximum number of rows that one scan returns.
const SCAN_ROWS: usize = 500;
/// Number of plans tried before a change fails as unavailable. Every change of the configuration
/// updates `head`, so several plans in a row can conflict while many changes are made.
const MAX_PLANS: u32 = 64;
/// Upper bound of the delay after the first conflict on `head`; a transaction takes a few ms.
const BACKOFF_FIRST_MS: Duration = Duration::from_millis(5);
/// Largest upper bound of the delay between plans. A bound of 200 ms caused 16 % more plans when
/// 400 agents registered at once.
const BACKOFF_MAX_MS: Duration = Duration::from_secs(1);

/// Plans and commits changes on one table.
pub struct Executor {
    table: Rc<dyn Table>,
    clock: Rc<dyn Clock>,
    timer: Rc<dyn Timer>,
    random: RefCell<StdRng>,
}

/// Author of a change and the reason for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Author<'a> {
    /// Name of the operator, planner or agent.
    pub by: &'a str,
    /// Reason, recorded in the audit trail.
    pub reason: &'a str,
}

impl Executor {
    /// Creates an executor for `table`, which should be a [`store::RetryingTable`]. `seed` must
    /// differ between processes, because the tokens of changes are derived from it.
    #[must_use]
    pub fn new(
        table: Rc<dyn Table>,
        clock: Rc<dyn Clock>,
        timer: Rc<dyn Timer>,
        seed: u64,
    ) -> Self {
        Self {
            table,
            clock,
            timer,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Carries out an operator's command.
    ///
    /// # Errors
    ///
    /// Those of the command. Nothing was changed, except possibly after `Unanswered`.
    pub async fn execute(
        &self,
        operator: &str,
        request: &CommandRequest,
    ) -> Result<CommandOutcome, CommandError> {
        let author = Author {
            by: operator,
            reason: &request.reason,
        };
        let change = self.run(request, author, request.dry_run).await?;
        change
            .map(|change| CommandOutcome {
                change,
                dry_run: request.dry_run,
            })
            .ok_or_else(|| CommandError::Refused {
                item: "command".to_owned(),
                fix: "the table already has this change".to_owned(),
            })
    }

    /// Makes a change; `None` if the table already has it.
    ///
    /// # Errors
    ///
    /// Those of the intent. Nothing was changed, except possibly after `Unanswered`.
    pub async fn apply<I: Intent>(
        &self,
        intent: &I,
        author: Author<'_>,
    ) -> Result<Option<Change>, I::Error> {
        self.run(intent, author, false).await
    }

    async fn run<I: Intent>(
        &self,
        intent: &I,
        author: Author<'_>,
        dry_run: bool,
    ) -> Result<Option<Change>, I::Error> {
        let meta = self.meta(author);
        let conflict_item = intent.conflict_item();
        let mut first_version: Option<RowVersion> = None;
        let mut rows = RowSet::default();
        for attempt in 0..MAX_PLANS {
            self.read_needed(intent, &mut rows).await?;
            if let Some((item, wanted)) = &conflict_item {
                let version = rows.version(item);
                if *first_version.get_or_insert(version) != version {
                    self.read_author(item, &mut rows).await?;
                    return Err(conflict::conflict_error(&rows, item, wanted).into());
                }
            }
            let Some(planned) = plan_intent(intent, &rows, &meta)? else {
                return Ok(None);
            };
            if dry_run {
                return Ok(Some(planned.change));
            }
            let request = TableRequest::Commit(planned.transaction);
            match self.table.call(request).await {
                Ok(TableReply::Commit(CommitOutcome::Committed(_))) => {
                    return Ok(Some(planned.change));
                }
                Ok(TableReply::Commit(CommitOutcome::Conflict(_))) => {}
                other => return Err(commit_error(other, meta.token).into()),
            }
            self.back_off(attempt).await;
            // Rereads all rows in one call after the delay, as `head` may have changed meanwhile.
            let keys = rows.keys_to_reread();
            rows = RowSet::default();
            if !keys.is_empty() {
                self.read_keys(keys, &mut rows).await?;
            }
        }
        Err(CommandError::Unavailable {
            detail: format!("{MAX_PLANS} plans failed because of other changes"),
        }
        .into())
    }

    fn meta(&self, author: Author<'_>) -> ChangeMeta {
        let since_epoch = self
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // Rounded to whole milliseconds as in the log, so that the outcome equals the log record.
        let at_ms = Duration::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(0));
        ChangeMeta {
            by: author.by.to_owned(),
            reason: author.reason.to_owned(),
            at_ms,
            token: self.random.borrow_mut().random(),
        }
    }

    /// Reads the rows that an intent needs and `rows` lacks.
    async fn read_needed<I: Intent>(
        &self,
        intent: &I,
        rows: &mut RowSet,
    ) -> Result<(), CommandError> {
        // `head` is read first, so that a later change to any row fails the check on `head`.
        let head = RowsNeeded {
            keys: vec![keys::HEAD.to_owned()],
            prefixes: Vec::new(),
        };
        let mut needed = rows.missing(head);
        loop {
            self.read(needed, rows).await?;
            needed = rows.missing(intent.rows_needed(rows));
            if needed.is_empty() {
                return Ok(());
            }
        }
    }

    async fn read(&self, needed: RowsNeeded, rows: &mut RowSet) -> Result<(), CommandError> {
        if !needed.keys.is_empty() {
            self.read_keys(needed.keys, rows).await?;
        }
        for prefix in needed.prefixes {
            let mut found = Vec::new();
            let mut after = String::new();
            loop {
                let request = TableRequest::Scan {
                    prefix: prefix.clone(),
                    after: after.clone(),
                    limit: SCAN_ROWS,
                };
                let page = self.rows(request).await?;
                let is_last = page.len() < SCAN_ROWS;
                if let Some(row) = page.last() {
                    after.clone_from(&row.key);
                }
                found.extend(page);
                if is_last {
                    break;
                }
            }
            rows.add_scan(&prefix, found);
        }
        Ok(())
    }

    async fn read_keys(&self, keys: Vec<String>, rows: &mut RowSet) -> Result<(), CommandError> {
        let found = self.rows(TableRequest::Read(keys.clone())).await?;
        rows.add_read(&keys, found);
        Ok(())
    }

    async fn read_author(&self, item: &str, rows: &mut RowSet) -> Result<(), CommandError> {
        let key = keys::log(rows.revision(item));
        self.read_keys(vec![key], rows).await
    }

    async fn rows(&self, request: TableRequest) -> Result<Vec<store::Row>, CommandError> {
        match self.table.call(request).await {
            Ok(TableReply::Rows(rows)) => Ok(rows),
            Ok(TableReply::Commit(_)) => Err(CommandError::Unavailable {
                detail: "the table answered a read with a commit outcome".to_owned(),
            }),
            Err(error) => Err(CommandError::Unavailable {
                detail: error.to_string(),
            }),
        }
    }

    /// Waits for a random time below a bound that doubles with each attempt.
    async fn back_off(&self, attempt: u32) {
        let bound = (BACKOFF_FIRST_MS * 2_u32.pow(attempt.min(10))).min(BACKOFF_MAX_MS);
        let share = self.random.borrow_mut().random_range(0.0..=1.0);
        self.timer.sleep(bound.mul_f64(share)).await;
    }
}

/// Error for a commit whose outcome is not known, or that was not made.
fn commit_error(result: Result<TableReply, StoreError>, token: u128) -> CommandError {
    match result {
        Err(error @ (StoreError::Unavailable(_) | StoreError::RateLimited)) => {
            CommandError::Unavailable {
                detail: error.to_string(),
            }
        }
        _ => CommandError::Unanswered {
            token: token.to_string(),
        },
    }
}
