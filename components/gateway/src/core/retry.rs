//! Which retries the budget allows a request, and their accounting.

use std::time::Instant;

use types::ServiceName;

use crate::core::Core;
use crate::core::MIN_CALL_MS;
use crate::core::RequestNumber;
use crate::core::active::ActiveRequest;
use crate::core::decision::CallOutcome;
use crate::deployment::RetryPolicy;
use crate::retries::SlackShare;

impl Core {
    /// Whether to retry at another target instead of passing the target's 5xx answer on to the
    /// caller.
    pub fn should_retry(&mut self, now: Instant, number: RequestNumber) -> bool {
        let Some(active) = self.requests.get(&number) else {
            return false;
        };
        let has_retry_left = active.route.retry_policy == RetryPolicy::Idempotent
            && active.runs + 1 < active.route.attempt_limit
            && active.time_left(now) >= MIN_CALL_MS;
        let targets = self.fleet.usable(&active.service, active.builds(), now);
        let targets = targets.len();
        if !has_retry_left || targets <= active.tried_targets.len() + 1 {
            return false;
        }
        let service = active.service.clone();
        // The call that gave this answer is counted when its end is reported.
        let mut arrivals = active.arrivals;
        arrivals.count_arrival();
        self.retries_left(now, &service) >= arrivals.missing_retries(false)
    }

    /// Whether the budget allows a request another call, and a prefill also the run after it.
    pub(super) fn is_within_budget(
        &mut self,
        now: Instant,
        active: &ActiveRequest,
        is_prefill: bool,
    ) -> bool {
        let missing = active.arrivals.missing_retries(is_prefill);
        missing == 0 || self.retries_left(now, &active.service) >= missing
    }

    /// Retries that this process may still make at a service.
    fn retries_left(&mut self, now: Instant, service: &ServiceName) -> u32 {
        let share = SlackShare {
            started: self.started,
            processes: self.sharing_processes(now),
        };
        let allowance = self.settings.retries;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.left(now, &allowance, share)
    }

    /// Number of processes that the slack of the retry allowance is divided by.
    #[must_use]
    pub fn sharing_processes(&self, now: Instant) -> usize {
        let processes = self.fleet.peers.sharing_count(now);
        processes.max(self.settings.min_processes)
    }

    pub(super) fn reserve_retries(&mut self, active: &mut ActiveRequest, retries: u32) {
        active.arrivals.add_reserved(retries);
        let budget = self.budgets.entry(active.service.clone()).or_default();
        budget.reserve(retries);
    }

    /// Counts a call of a request that has ended.
    pub(super) fn count_arrival(
        &mut self,
        now: Instant,
        active: &mut ActiveRequest,
        outcome: &CallOutcome,
    ) {
        if active.arrivals.count(outcome) {
            let allowance = self.settings.retries;
            let budget = self.budgets.entry(active.service.clone()).or_default();
            budget.use_reserved(now, &allowance);
        }
    }

    /// Returns the retries that a request has reserved and not used.
    pub(super) fn release_retries(&mut self, active: &ActiveRequest) {
        let budget = self.budgets.entry(active.service.clone()).or_default();
        budget.release(active.arrivals.reserved_retries());
    }
}
