//! Dispatches that reach an engine which no longer has what their request was accepted under.
//!
//! What the agent rejects is counted beside what gets through, so that the worth of its last
//! check can be measured: with the check switched off, the rejected ones get through.

use types::AttemptId;
use types::Incarnation;
use types::Loaded;
use wire::Dispatch;
use wire::Rejection;

use crate::world::World;

/// What a dispatch said when it was sent.
pub struct Sent {
    incarnation: Incarnation,
    needs: Loaded,
}

impl World {
    pub fn note_dispatch(&mut self, dispatch: &Dispatch) {
        self.count("dispatches");
        let sent = Sent {
            incarnation: dispatch.incarnation,
            needs: dispatch.needs.clone(),
        };
        self.sent.insert(dispatch.attempt, sent);
    }

    pub fn note_rejection(&mut self, reason: Rejection) {
        match reason {
            Rejection::WrongModel => self.count("rejected: wrong model"),
            Rejection::WrongIncarnation => self.count("rejected: wrong incarnation"),
            Rejection::Leaving => self.count("rejected: leaving"),
            Rejection::Away => self.count("rejected: away"),
            _ => {}
        }
    }

    /// An attempt is about to reach its target.
    pub fn check_fit(&mut self, at: usize, run: Incarnation, attempt: AttemptId) {
        let now = self.now();
        let target = &self.agents[at].target;
        let Some(sent) = self.sent.get(&attempt) else {
            return;
        };
        if !target.is_serving(now) {
            return;
        }
        let (fits, restarted) = (target.holds(&sent.needs), target.is_restarted());
        let is_other_run = sent.incarnation != run;
        let needs = format!("{:?}", sent.needs);
        self.check("final check: fits");
        if is_other_run {
            self.count("wrong at the target: another run");
            self.violation(format!(
                "invariant 6: attempt {attempt:?} reaches target {at} in a run it was not sent to"
            ));
        }
        if fits {
            return;
        }
        if restarted {
            // The engine alone knows that it restarted until the agent reads its state again.
            self.count("wrong at the target: just restarted");
            return;
        }
        self.count("wrong at the target: model, version or adapter");
        self.violation(format!(
            "invariant 2: attempt {attempt:?} needs {needs} and reaches engine {at} without it"
        ));
    }
}
