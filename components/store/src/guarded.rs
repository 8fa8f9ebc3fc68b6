//! Wrapper around a table: rate budget, backoff with jitter, and read-back of lost replies.

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
use crate::budget::RateBudget;
use crate::table::CommitOutcome;
use crate::table::Put;
use crate::table::Row;
use crate::table::Table;
use crate::table::TableReply;
use crate::table::TableRequest;
use crate::table::Transaction;
use crate::timer::Timer;

/// How long and how often a call is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Upper bound of the first pause; each pause is drawn between half of its bound and the
    /// bound, so that processes do not retry in step.
    pub first_pause_ms: Duration,
    /// Largest bound; bounds double up to it.
    pub last_pause_ms: Duration,
    /// Time after which no further try is made.
    pub give_up_ms: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            first_pause_ms: Duration::from_millis(50),
            last_pause_ms: Duration::from_secs(2),
            give_up_ms: Duration::from_secs(10),
        }
    }
}

/// Clock, delays and budget that a guarded table uses.
#[derive(Clone)]
pub struct GuardContext {
    /// Monotonic time.
    pub clock: Rc<dyn Clock>,
    /// Delays.
    pub timer: Rc<dyn Timer>,
    /// Budget, shared by all guarded tables of the process.
    pub budget: Rc<RateBudget>,
}

/// A table whose calls are retried, limited in rate, and resolved when their reply is lost.
///
/// A commit ends in one of four ways. `Committed` and `Conflict` are certain. `Unavailable`
/// and `RateLimited` mean that no try can have reached the table. `Unanswered` means that the
/// give-up time passed with the outcome unknown: the write may be done, now or later.
pub struct Guarded {
    inner: Rc<dyn Table>,
    options: RetryOptions,
    context: GuardContext,
    random: RefCell<StdRng>,
}

impl Guarded {
    /// Wraps a table; `seed` feeds the jitter.
    #[must_use]
    pub fn new(
        inner: Rc<dyn Table>,
        options: RetryOptions,
        context: GuardContext,
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
        let mut retries = self.retries();
        loop {
            match self.try_once(request.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(error) => retries.pause(self, error).await?,
            }
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<TableReply, StoreError> {
        let mut retries = self.retries();
        let mut in_doubt = false;
        loop {
            let result = self
                .try_once(TableRequest::Commit(transaction.clone()))
                .await;
            let error = match result {
                Ok(TableReply::Commit(CommitOutcome::Conflict(rows))) if in_doubt => {
                    // The conflict may be with an earlier try of this same transaction.
                    let proof = self.find_proof(&transaction, &mut retries).await?;
                    let outcome = proof.unwrap_or(CommitOutcome::Conflict(rows));
                    return Ok(TableReply::Commit(outcome));
                }
                Ok(reply @ TableReply::Commit(_)) => return Ok(reply),
                Ok(TableReply::Rows(_)) => {
                    StoreError::Malformed("rows in answer to a commit".to_owned())
                }
                Err(error) => error,
            };
            if is_doubtful(&error) {
                if !has_proof(&transaction) {
                    return Err(unanswered(error));
                }
                in_doubt = true;
                if let Some(outcome) = self.find_proof(&transaction, &mut retries).await? {
                    return Ok(TableReply::Commit(outcome));
                }
            }
            let error = if in_doubt { unanswered(error) } else { error };
            retries.pause(self, error).await?;
        }
    }

    /// Reads the rows of a transaction in doubt. `None` means that it has not taken effect yet.
    async fn find_proof(
        &self,
        transaction: &Transaction,
        retries: &mut Retries,
    ) -> Result<Option<CommitOutcome>, StoreError> {
        let keys: Vec<String> = transaction.puts.iter().map(|put| put.key.clone()).collect();
        loop {
            let error = match self.try_once(TableRequest::Read(keys.clone())).await {
                Ok(TableReply::Rows(rows)) => return Ok(proven(transaction, &rows)),
                Ok(TableReply::Commit(_)) => {
                    StoreError::Malformed("commit outcome in answer to a read".to_owned())
                }
                Err(error) => error,
            };
            retries.pause(self, unanswered(error)).await?;
        }
    }

    async fn try_once(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        let now = self.context.clock.now();
        let wait = self
            .context
            .budget
            .take(now, &request)
            .ok_or(StoreError::RateLimited)?;
        if !wait.is_zero() {
            self.context.timer.sleep(wait).await;
        }
        self.inner.call(request).await
    }

    fn retries(&self) -> Retries {
        Retries {
            until: self.context.clock.now() + self.options.give_up_ms,
            bound_ms: self.options.first_pause_ms,
        }
    }
}

impl Table for Guarded {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        match request {
            TableRequest::Commit(transaction) => Box::pin(self.commit(transaction)),
            read => Box::pin(self.read(read)),
        }
    }
}

/// Pauses between the tries of one call.
struct Retries {
    until: Instant,
    bound_ms: Duration,
}

impl Retries {
    /// Waits before the next try, or gives up with `error`.
    async fn pause(&mut self, guard: &Guarded, error: StoreError) -> Result<(), StoreError> {
        let share = guard.random.borrow_mut().random_range(0.5..=1.0);
        let pause = self.bound_ms.mul_f64(share);
        if guard.context.clock.now() + pause >= self.until {
            return Err(error);
        }
        self.bound_ms = (self.bound_ms * 2).min(guard.options.last_pause_ms);
        guard.context.timer.sleep(pause).await;
        Ok(())
    }
}

/// Whether a commit that ended with this error may have taken effect.
fn is_doubtful(error: &StoreError) -> bool {
    matches!(error, StoreError::Unanswered(_) | StoreError::Malformed(_))
}

fn unanswered(error: StoreError) -> StoreError {
    match error {
        StoreError::Unanswered(_) => error,
        other => StoreError::Unanswered(other.to_string()),
    }
}

/// Whether a lost reply to this transaction can be resolved.
fn has_proof(transaction: &Transaction) -> bool {
    transaction
        .puts
        .iter()
        .any(|put| put.key == transaction.proof && put.value.is_some())
}

/// Outcome of a transaction whose proof row has its value. Rows that were overwritten since
/// have version 0 in the outcome, which makes a later check on them fail safely.
fn proven(transaction: &Transaction, rows: &[Row]) -> Option<CommitOutcome> {
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
