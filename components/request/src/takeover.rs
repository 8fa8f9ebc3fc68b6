//! Takeover of another entry's claim: its agent is asked whether the attempt was started.

use std::time::Duration;

use types::AttemptId;
use types::Incarnation;
use types::RefusalReason;
use types::RequestId;
use types::TargetName;
use wire::ForbidOutcome;
use wire::ToAgent;

use crate::action::Action;
use crate::answer::Answer;
use crate::claim::ClaimRow;
use crate::claim::ClaimState;
use crate::claims::outcome_unknown;
use crate::dispatch::WINDOW_BYTES;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Attempt;
use crate::run::Phase;

/// Time for an agent to say whether it started an attempt: the 2 s after which a silent
/// connection is replaced, and one for the new connection.
const ENQUIRY_TIMEOUT_MS: Duration = Duration::from_secs(3);
/// Time for another entry that has just taken a claim to dispatch under it. Without it, two
/// entries that get the same request at once forbid each other's attempts until both give up.
const ENQUIRY_DELAY_MS: Duration = Duration::from_millis(40);
/// The delay doubles with every contest, up to 640 ms.
const MAX_DOUBLINGS: u32 = 4;

impl Requests {
    /// Asks the agent named in another entry's claim.
    pub(crate) fn enquire(&mut self, cx: &mut Context, id: RequestId, row: ClaimRow) {
        let attempt = row.attempt_id();
        self.enquiries.insert(attempt, id);
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = Phase::Enquiring(Box::new(row));
        }
        let contests = self
            .runs
            .get(&id)
            .and_then(|run| run.claim.as_ref())
            .map_or(0, |claim| claim.contests);
        let doublings = contests.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay = ENQUIRY_DELAY_MS * (1 << doublings);
        self.set_timer(cx.now + delay, Timer::Ask(attempt));
        self.set_timer(cx.now + delay + ENQUIRY_TIMEOUT_MS, Timer::Enquiry(attempt));
    }

    /// The other entry has had its time to dispatch.
    pub(crate) fn ask(&mut self, cx: &mut Context, attempt: AttemptId) {
        if let Some(&id) = self.enquiries.get(&attempt) {
            self.send_forbid(cx, id);
        }
    }

    fn send_forbid(&self, cx: &mut Context, id: RequestId) {
        let Some(Phase::Enquiring(row)) = self.runs.get(&id).map(|run| &run.phase) else {
            return;
        };
        cx.actions.push(Action::Send {
            target: row.target.clone(),
            message: ToAgent::Forbid {
                attempt: row.attempt_id(),
                incarnation: row.incarnation,
            },
        });
    }

    /// The agent's answer.
    pub(crate) fn enquiry_answered(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        incarnation: Incarnation,
        outcome: ForbidOutcome,
    ) {
        let Some(row) = self.end_enquiry(id) else {
            return;
        };
        // Another run of the agent cannot know what became of the attempt.
        let outcome = if incarnation == row.incarnation {
            outcome
        } else {
            ForbidOutcome::Lost
        };
        match outcome {
            ForbidOutcome::NeverRun => self.enqueue(cx, id),
            ForbidOutcome::Started => self.follow(cx, id, row),
            ForbidOutcome::Lost => self.claim_lost(cx, id, row),
        }
    }

    /// Takes the row of an enquiry that ends.
    fn end_enquiry(&mut self, id: RequestId) -> Option<Box<ClaimRow>> {
        let run = self.runs.get_mut(&id)?;
        let Phase::Enquiring(row) = std::mem::replace(&mut run.phase, Phase::Reading) else {
            return None;
        };
        self.enquiries.remove(&row.attempt_id());
        Some(row)
    }

    /// Relays the answer of another entry's attempt.
    fn follow(&mut self, cx: &mut Context, id: RequestId, row: Box<ClaimRow>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let attempt = row.attempt_id();
        run.phase = Phase::Running;
        run.answer = Answer::keeping(&self.kept_bytes);
        run.attempt_started(cx.now, row.target.clone());
        run.attempt = Some(Attempt {
            id: attempt,
            target: row.target.clone(),
            incarnation: row.incarnation,
            granted: WINDOW_BYTES,
            resumed_at: Some(0),
            own: false,
        });
        if let Some(claim) = &mut run.claim {
            claim.held = Some(row);
        }
        self.attempts.insert(attempt, id);
        self.send_resume(cx, id);
    }

    fn claim_lost(&mut self, cx: &mut Context, id: RequestId, row: Box<ClaimRow>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some(claim) = &mut run.claim {
            claim.held = Some(row);
        }
        self.lose_outcome(cx, id, &outcome_unknown());
    }

    /// A connection to a target can be used: asks again what was asked on the last one.
    pub(crate) fn repeat_enquiries(&mut self, cx: &mut Context, target: &TargetName) {
        for id in self.enquiries_at(target, None) {
            self.send_forbid(cx, id);
        }
    }

    /// That run of a target has ended.
    pub(crate) fn enquiries_lost(
        &mut self,
        cx: &mut Context,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        for id in self.enquiries_at(target, Some(incarnation)) {
            if let Some(row) = self.end_enquiry(id) {
                self.claim_lost(cx, id, row);
            }
        }
    }

    fn enquiries_at(&self, target: &TargetName, of: Option<Incarnation>) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self
            .enquiries
            .values()
            .filter(|id| match self.runs.get(id).map(|run| &run.phase) {
                Some(Phase::Enquiring(row)) => {
                    row.target == *target && of.is_none_or(|of| of == row.incarnation)
                }
                _ => false,
            })
            .copied()
            .collect();
        ids.sort_unstable();
        ids
    }

    /// The agent does not answer. The claim stays as it is; a resend asks again.
    pub(crate) fn enquiry_overdue(&mut self, cx: &mut Context, id: RequestId) {
        if self.end_enquiry(id).is_none() {
            return;
        }
        let detail = "an earlier submission with this key may have run and its target cannot be \
                      reached; send the request again with the same key";
        let ending = Ending::new(RefusalReason::OutcomeUnknown, Some(RETRY_MS), detail);
        self.lose_outcome(cx, id, &ending);
    }

    /// State that a claim gets when its run is forgotten.
    pub(crate) fn state_at_end(&self, id: RequestId) -> ClaimState {
        match self.runs.get(&id).map(crate::run::Run::state) {
            Some(types::RunState::Unknown) => ClaimState::Unknown,
            _ => ClaimState::Released,
        }
    }
}
