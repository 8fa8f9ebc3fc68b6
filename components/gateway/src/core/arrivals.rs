//! Arrivals of a request at its service, and the retries that pay for them.
//!
//! A service counts every call that reaches a target, also if the target refuses it or has crashed.
//! Only the first prefill that an engine accepts is free. The first arrival of a request is its
//! own; each further one is a retry, which is taken from the budget before the call is made.

use crate::core::decision::CallOutcome;

/// Arrivals of one request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Arrivals {
    counted: u32,
    taken: u32,
    has_accepted_prefill: bool,
}

impl Arrivals {
    /// Retries to take from the budget before a call. A prefill needs those of the run after it
    /// too; one that an engine does not accept counts as an arrival in place of the run.
    pub(super) fn missing_retries(&self, is_prefill: bool) -> u32 {
        let arrivals = if is_prefill && self.has_accepted_prefill {
            2
        } else {
            1
        };
        (self.counted + arrivals).saturating_sub(self.taken + 1)
    }

    /// Adds retries that were taken from the budget.
    pub(super) fn add_taken(&mut self, retries: u32) {
        self.taken += retries;
    }

    /// Counts a call that has ended.
    pub(super) fn count(&mut self, outcome: &CallOutcome) {
        match outcome {
            CallOutcome::NotSent { .. } => {}
            CallOutcome::Prefilled(_) if !self.has_accepted_prefill => {
                self.has_accepted_prefill = true;
            }
            _ => self.counted += 1,
        }
    }

    /// Retries that were taken from the budget and not made.
    pub(super) fn unused_retries(&self) -> u32 {
        (self.taken + 1).saturating_sub(self.counted.max(1))
    }
}
