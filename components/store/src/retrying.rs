//! Table wrapper that adds a rate limit, retries with jittered backoff, and resolution of commits
//! whose reply was lost.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::Clock;

use crate::StoreError;
use crate::StoreFuture;
use crate::rate_limit::RateLimiter;
use crate::table::CommitOutcome;
use crate::table::Put;
use crate::table::Row;
use crate::table::Table;
use crate::table::TableReply;
use crate::table::TableRequest;
use crate::table::Transaction;
use crate::timer::Timer;

/// Backoff and timeout of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Upper bound of the first delay. Each delay is drawn uniformly between half of its bound and
    /// the bound, so that processes do not retry at the same time.
    pub initial_backoff_ms: Duration,
    /// Limit of the bound, which doubles with every retry.
    pub max_backoff_ms: Duration,
    /// Time after the start of a call at which retries end.
    pub timeout_ms: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            initial_backoff_ms: Duration::from_millis(50),
            max_backoff_ms: Duration::from_secs(2),
            timeout_ms: Duration::from_secs(10),
        }
    }
}

/// Clock, timer and rate limit of a retrying table.
#[derive(Clone)]
pub struct RetryContext {
    /// Clock for the timeout and the rate limit.
    pub clock: Rc<dyn Clock>,
    /// Timer for backoff delays and waits for the rate limit.
    pub timer: Rc<dyn Timer>,
    /// Rate limit, shared by all retrying tables of the process.
    pub rate_limit: Rc<RateLimiter>,
}

/// Table that retries calls, limits their rate, and determines the outcome of commits whose reply
/// was lost.
///
/// `Committed` and `Conflict` are definite outcomes of a commit. `Unavailable` and `RateLimited`
/// mean that no attempt reached the table. `Unanswered` means that the outcome was still unknown
/// when retries ended: the write may have taken effect, or may still take effect later.
pub struct RetryingTable {
    inner: Rc<dyn Table>,
    options: RetryOptions,
    context: RetryContext,
    random: RefCell<StdRng>,
}

impl RetryingTable {
    /// Wraps a table; `seed` initialises the random jitter.
    #[must_use]
    pub fn new(
        inner: Rc<dyn Table>,
        options: RetryOptions,
        context: RetryContext,
        seed: u64,
    ) -> Self {
        Self {
            inner,
            options,
            context,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    async fn read(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        let mut retries = self.start_retries();
        loop {
            match self.call_once(request.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(error) => retries.wait(self, error).await?,
            }
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<TableReply, StoreError> {
        let mut retries = self.start_retries();
        let mut is_outcome_unknown = false;
        loop {
            let result = self
                .call_once(TableRequest::Commit(transaction.clone()))
                .await;
            let error = match result {
                Ok(TableReply::Commit(CommitOutcome::Conflict(rows))) if is_outcome_unknown => {
                    // The conflict may be caused by an earlier attempt of the same transaction.
                    let committed = self.read_back(&transaction, &mut retries).await?;
                    let outcome = committed.unwrap_or(CommitOutcome::Conflict(rows));
                    return Ok(TableReply::Commit(outcome));
                }
                Ok(reply @ TableReply::Commit(_)) => return Ok(reply),
                Ok(TableReply::Rows(_)) => {
                    StoreError::Malformed("rows in answer to a commit".to_owned())
                }
                Err(error) => error,
            };
            if may_have_taken_effect(&error) {
                if !has_proof(&transaction) {
                    return Err(unanswered(error));
                }
                is_outcome_unknown = true;
                if let Some(outcome) = self.read_back(&transaction, &mut retries).await? {
                    return Ok(TableReply::Commit(outcome));
                }
            }
            let error = if is_outcome_unknown {
                unanswered(error)
            } else {
                error
            };
            retries.wait(self, error).await?;
        }
    }

    /// Reads the rows of a transaction whose reply was lost, to determine its outcome. Returns
    /// `None` if it has not taken effect so far.
    async fn read_back(
        &self,
        transaction: &Transaction,
        retries: &mut Retries,
    ) -> Result<Option<CommitOutcome>, StoreError> {
        let keys: Vec<String> = transaction.puts.iter().map(|put| put.key.clone()).collect();
        loop {
            let error = match self.call_once(TableRequest::Read(keys.clone())).await {
                Ok(TableReply::Rows(rows)) => return Ok(outcome_from_rows(transaction, &rows)),
                Ok(TableReply::Commit(_)) => {
                    StoreError::Malformed("commit outcome in answer to a read".to_owned())
                }
                Err(error) => error,
            };
            retries.wait(self, unanswered(error)).await?;
        }
    }

    async fn call_once(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        let now = self.context.clock.now();
        let wait = self
            .context
            .rate_limit
            .take(now, &request)
            .ok_or(StoreError::RateLimited)?;
        if !wait.is_zero() {
            self.context.timer.sleep(wait).await;
        }
        self.inner.call(request).await
    }

    fn start_retries(&self) -> Retries {
        Retries {
            deadline: self.context.clock.now() + self.options.timeout_ms,
            backoff_ms: self.options.initial_backoff_ms,
        }
    }
}

impl Table for RetryingTable {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        match request {
            TableRequest::Commit(transaction) => Box::pin(self.commit(transaction)),
            read => Box::pin(self.read(read)),
        }
    }
}

/// Backoff between the attempts of one call.
struct Retries {
    deadline: Instant,
    backoff_ms: Duration,
}

impl Retries {
    /// Waits before the next attempt, or returns `error` if that would exceed the deadline.
    async fn wait(&mut self, guard: &RetryingTable, error: StoreError) -> Result<(), StoreError> {
        let fraction = guard.random.borrow_mut().random_range(0.5..=1.0);
        let delay = self.backoff_ms.mul_f64(fraction);
        if guard.context.clock.now() + delay >= self.deadline {
            return Err(error);
        }
        self.backoff_ms = (self.backoff_ms * 2).min(guard.options.max_backoff_ms);
        guard.context.timer.sleep(delay).await;
        Ok(())
    }
}

/// Whether a commit that failed with this error may have taken effect.
fn may_have_taken_effect(error: &StoreError) -> bool {
    matches!(error, StoreError::Unanswered(_) | StoreError::Malformed(_))
}

fn unanswered(error: StoreError) -> StoreError {
    match error {
        StoreError::Unanswered(_) => error,
        other => StoreError::Unanswered(other.to_string()),
    }
}

/// Whether the outcome of the transaction can be determined if its reply is lost.
fn has_proof(transaction: &Transaction) -> bool {
    transaction
        .puts
        .iter()
        .any(|put| put.key == transaction.proof && put.value.is_some())
}

/// Outcome of a transaction, determined from the current rows: it has taken effect if its proof row
/// has the value that it wrote. Rows that were overwritten since get version 0 in the outcome, so
/// that a later check of their version fails.
fn outcome_from_rows(transaction: &Transaction, rows: &[Row]) -> Option<CommitOutcome> {
    let version = |put: &Put| {
        rows.iter()
            .find(|row| row.key == put.key && Some(&row.value) == put.value.as_ref())
            .map_or(0, |row| row.version)
    };
    let proof = transaction
        .puts
        .iter()
        .find(|put| put.key == transaction.proof)?;
    if version(proof) == 0 {
        return None;
    }
    Some(CommitOutcome::Committed(
        transaction.puts.iter().map(version).collect(),
    ))
}
