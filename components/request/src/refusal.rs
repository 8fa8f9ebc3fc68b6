//! Refusals with their run state, retry delay and an explanation for the developer.

use std::time::Duration;

use types::Refusal;
use types::RefusalReason;
use types::RunState;

/// Retry delay after a fault that usually lasts only seconds.
pub(crate) const RETRY_MS: Duration = Duration::from_secs(1);

/// Why a run ends without a complete answer. The run state of the refusal comes from the run
/// itself, so that a refusal never says more about execution than is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefusalCause<'a> {
    pub reason: RefusalReason,
    pub retry_after_ms: Option<Duration>,
    pub detail: &'a str,
}

impl<'a> RefusalCause<'a> {
    pub fn new(reason: RefusalReason, retry_after_ms: Option<Duration>, detail: &'a str) -> Self {
        Self {
            reason,
            retry_after_ms,
            detail,
        }
    }

    pub fn refusal(&self, run: RunState) -> Refusal {
        Refusal {
            reason: self.reason,
            run,
            retry_after_ms: self.retry_after_ms,
            detail: self.detail.to_owned(),
        }
    }
}

/// Refusal of a request that was not executed and will not be.
pub(crate) fn not_run(
    reason: RefusalReason,
    retry_after_ms: Option<Duration>,
    detail: &str,
) -> Refusal {
    RefusalCause::new(reason, retry_after_ms, detail).refusal(RunState::NotRun)
}
