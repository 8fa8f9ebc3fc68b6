//! Checks that attempts reach only engines with the model, version and adapter they need.
//!
//! Rejections by the agent are counted as well. They show what its final check prevents: without
//! the check, the rejected attempts would reach the engine.

use types::AttemptId;
use types::Incarnation;
use types::LoadedModel;
use wire::Dispatch;
use wire::Rejection;

use crate::simulation::Simulation;

/// Requirements of a dispatched attempt.
pub struct DispatchedAttempt {
    incarnation: Incarnation,
    needs: LoadedModel,
}

impl Simulation {
    pub fn record_dispatch(&mut self, dispatch: &Dispatch) {
        self.count("dispatches");
        let sent = DispatchedAttempt {
            incarnation: dispatch.incarnation,
            needs: dispatch.needs.clone(),
        };
        self.dispatches.insert(dispatch.attempt, sent);
    }

    pub fn count_rejection(&mut self, reason: Rejection) {
        match reason {
            Rejection::WrongModel => self.count("rejected: wrong model"),
            Rejection::WrongIncarnation => self.count("rejected: wrong incarnation"),
            Rejection::Leaving => self.count("rejected: leaving"),
            Rejection::Away => self.count("rejected: away"),
            _ => {}
        }
    }

    /// Checks an attempt just before it starts at its target.
    pub fn check_attempt(&mut self, at: usize, run: Incarnation, attempt: AttemptId) {
        let now = self.now();
        let target = &self.agents[at].target;
        let Some(sent) = self.dispatches.get(&attempt) else {
            return;
        };
        if !target.is_serving(now) {
            return;
        }
        let (is_fitting, has_no_order_since_start) = (
            target.has_loaded(&sent.needs),
            target.has_no_order_since_start(),
        );
        let is_other_run = sent.incarnation != run;
        let needs = format!("{:?}", sent.needs);
        self.count_check("final check: fits");
        if is_other_run {
            self.count("wrong at the target: another run");
            self.record_violation(format!(
                "invariant 6: attempt {attempt:?} reaches target {at} in another run than addressed"
            ));
        }
        if is_fitting {
            return;
        }
        if has_no_order_since_start {
            // The agent learns of an engine restart only when it next reads the engine state.
            self.count("wrong at the target: just restarted");
            return;
        }
        self.count("wrong at the target: model, version or adapter");
        self.record_violation(format!(
            "invariant 2: attempt {attempt:?} needs {needs}, which engine {at} does not have loaded"
        ));
    }
}
