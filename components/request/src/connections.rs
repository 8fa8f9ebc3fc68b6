//! Handles attempts when agent connections are lost or restored and when agents restart.

use std::time::Duration;

use types::AttemptId;
use types::Incarnation;
use types::RequestId;
use types::TargetName;

use crate::action::AttemptEnd;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;

/// Time for a lost connection to be restored before an idempotent attempt is retried at another
/// target. It is short because a connection counts as lost only after 2 s of silence.
const RECONNECT_TIMEOUT_MS: Duration = Duration::from_millis(500);

impl Requests {
    pub(crate) fn connection_up(
        &mut self,
        cx: &mut Context,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let replaced = self.runs_with_attempt_at(target, |known| known != incarnation);
        self.connections.insert(target.clone(), incarnation);
        for id in replaced {
            self.attempt_lost(cx, id);
        }
        // If the dispatch was lost with the previous connection, the agent answers with `Rejected`
        // and ignores late copies of the dispatch.
        for id in self.runs_with_attempt_at(target, |known| known == incarnation) {
            self.send_resume(cx, id);
        }
        self.resend_queries(cx, target);
        self.is_dispatch_due = true;
    }

    pub(crate) fn connection_down(&mut self, cx: &mut Context, target: &TargetName) {
        self.connections.remove(target);
        for id in self.runs_with_attempt_at(target, |_| true) {
            self.start_reconnect_timer(cx, id);
        }
    }

    /// Starts the reconnect time-out if the attempt is idempotent and its target is disconnected.
    pub(crate) fn start_reconnect_timer(&mut self, cx: &mut Context, id: RequestId) {
        let Some(run) = self.runs.get(&id).filter(|run| run.idempotent) else {
            return;
        };
        if let Some(attempt) = &run.attempt
            && !self.connections.contains_key(&attempt.target)
        {
            let timer = Timer::Reconnect(attempt.id);
            self.timers.insert((cx.now + RECONNECT_TIMEOUT_MS, timer));
        }
    }

    /// Retries an attempt whose connection was not restored in time.
    pub(crate) fn reconnect_timed_out(&mut self, cx: &mut Context, attempt: AttemptId) {
        let Some(&id) = self.runs_by_attempt.get(&attempt) else {
            return;
        };
        let is_connected = self
            .runs
            .get(&id)
            .and_then(|run| run.attempt.as_ref())
            .is_some_and(|current| self.connections.contains_key(&current.target));
        if !is_connected {
            self.attempt_lost(cx, id);
        }
    }

    pub(crate) fn incarnation_gone(
        &mut self,
        cx: &mut Context,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        if self.connections.get(target) == Some(&incarnation) {
            self.connections.remove(target);
        }
        for id in self.runs_with_attempt_at(target, |known| known == incarnation) {
            self.attempt_lost(cx, id);
        }
        self.fail_queries(cx, target, incarnation);
    }

    fn attempt_lost(&mut self, cx: &mut Context, id: RequestId) {
        self.cancel_attempt(cx, id, AttemptEnd::Failed);
        self.after_failure(cx, id, "the target disconnected or restarted");
    }

    /// Runs with an attempt at an incarnation of the target that `matches`, sorted by id.
    fn runs_with_attempt_at(
        &self,
        target: &TargetName,
        matches: impl Fn(Incarnation) -> bool,
    ) -> Vec<RequestId> {
        let mut found: Vec<RequestId> = self
            .runs_by_attempt
            .values()
            .filter(|id| {
                let attempt = self.runs.get(id).and_then(|run| run.attempt.as_ref());
                attempt.is_some_and(|a| a.target == *target && matches(a.incarnation))
            })
            .copied()
            .collect();
        found.sort_unstable();
        found
    }
}
