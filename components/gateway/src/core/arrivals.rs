//! Arrivals of a request at its service, and the retries that they use.
//!
//! A service counts every call that reaches a target, also if the target refuses it or has crashed.
//! Only the first prefill that an engine accepts is free. The first arrival of a request is its
//! own; each further one is a retry, which is reserved in the budget before the call is made.

use crate::core::decision::CallOutcome;

/// Arrivals of one request.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Arrivals {
    counted: u32,
    reserved_retries: u32,
    has_accepted_prefill: bool,
}

impl Arrivals {
    /// Retries to reserve before a call. A prefill needs those of the run after it too; one that
    /// an engine does not accept uses up the arrival of that run.
    pub(super) fn missing_retries(&self, is_prefill: bool) -> u32 {
        let arrivals = if is_prefill && self.has_accepted_prefill {
            2
        } else {
            1
        };
        let own_arrival = u32::from(self.counted == 0);
        (arrivals - own_arrival).saturating_sub(self.reserved_retries)
    }

    pub(super) fn add_reserved(&mut self, retries: u32) {
        self.reserved_retries += retries;
    }

    /// Retries that were reserved and not used.
    pub(super) fn reserved_retries(&self) -> u32 {
        self.reserved_retries
    }

    /// Counts a call that has ended. Returns whether it used a reserved retry.
    pub(super) fn count(&mut self, outcome: &CallOutcome) -> bool {
        match outcome {
            CallOutcome::NotSent { .. } => false,
            CallOutcome::Prefilled(_) if !self.has_accepted_prefill => {
                self.has_accepted_prefill = true;
                false
            }
            _ => self.count_arrival(),
        }
    }

    /// Counts a call that reached a target. Returns whether it used a reserved retry.
    pub(super) fn count_arrival(&mut self) -> bool {
        self.counted += 1;
        let is_retry = self.counted > 1;
        if is_retry {
            self.reserved_retries = self.reserved_retries.saturating_sub(1);
        }
        is_retry
    }
}
