//! One run: the work of one request, and of the resends that joined it.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use store::RowVersion;
use types::AttemptId;
use types::Incarnation;
use types::Loaded;
use types::RequestId;
use types::RunState;
use types::ServiceKind;
use types::Submission;
use types::TargetName;

use crate::action::AttemptEnd;
use crate::action::AttemptSummary;
use crate::answer::Answer;
use crate::claim::ClaimRow;
use crate::claim::StoredObject;
use crate::event::Terms;
use crate::router::Need;

/// A caller that waits for the answer.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub request: RequestId,
    pub accepted: Instant,
    pub deadline: Instant,
    pub head_sent: bool,
    pub sent: u64,
    pub consumed: u64,
    pub first_byte_ms: Option<Duration>,
}

/// The attempt in progress.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub target: TargetName,
    pub incarnation: Incarnation,
    /// Offset up to which the agent may send.
    pub granted_offset: u64,
    /// Offset from which the agent was asked to send again.
    pub resume_offset: Option<u64>,
    /// Sent by this entry, so the router keeps account of it.
    pub is_own: bool,
}

/// Claim of a non-idempotent run.
#[derive(Debug)]
pub(crate) struct Claim {
    pub key: String,
    pub digest: String,
    /// Version of the row as last seen; 0 for an absent one.
    pub version: RowVersion,
    /// The row at this version was written by this run.
    pub current_row: Option<Box<ClaimRow>>,
    /// The caller gave a key, so that resends can ask for the outcome.
    pub has_key: bool,
    /// Times that another entry's claim was met.
    pub conflicts: u32,
}

/// Where a run stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is being read.
    Reading,
    /// In the admission queue.
    Queued,
    /// Its claim is being written for an attempt at that run of a target.
    Claiming(TargetName, Incarnation),
    /// Another entry holds the claim; its agent is asked whether the attempt was started.
    QueryingAgent(Box<ClaimRow>),
    /// Another submission ran; its answer is being read from the object store.
    Fetching(Box<StoredObject>),
    /// Waits for the retry budget.
    Delayed,
    /// An attempt is in progress.
    Running,
}

/// One run.
pub(crate) struct Run {
    pub id: RequestId,
    pub submission: Submission,
    pub terms: Terms,
    pub need: Need,
    pub idempotent: bool,
    pub waiters: SmallVec<[Waiter; 1]>,
    pub phase: Phase,
    /// Number of the last attempt.
    pub attempt_no: u32,
    /// Attempts that were sent.
    pub counted_attempts: u32,
    pub tried_targets: SmallVec<[TargetName; 2]>,
    /// What is told of the attempts when the run ends.
    pub history: SmallVec<[AttemptSummary; 1]>,
    pub attempt: Option<Attempt>,
    pub answer: Answer,
    /// Only for non-idempotent work.
    pub claim: Option<Claim>,
    pub accepted: Instant,
    /// Time by which the table must have answered.
    pub store_deadline: Option<Instant>,
    /// An earlier attempt may have run, in part or whole.
    pub may_have_executed: bool,
}

impl Run {
    /// Time by which the last caller wants its answer.
    pub fn deadline(&self) -> Instant {
        self.need.deadline
    }

    /// Notes that an attempt was sent.
    pub fn attempt_started(&mut self, now: Instant, target: TargetName) {
        self.tried_targets.push(target.clone());
        self.history.push(AttemptSummary {
            target,
            start_ms: now.saturating_duration_since(self.accepted),
            end: None,
        });
    }

    /// Notes how the last attempt ended.
    pub fn attempt_ended(&mut self, now: Instant, end: AttemptEnd) {
        let since = now.saturating_duration_since(self.accepted);
        if let Some(last) = self.history.last_mut() {
            last.end = Some((since, end));
        }
    }

    /// What may be said of the run if it ended now.
    pub fn state(&self) -> RunState {
        let elsewhere = matches!(self.phase, Phase::QueryingAgent(_) | Phase::Fetching(_));
        if self.may_have_executed || self.attempt.is_some() || elsewhere {
            return RunState::Unknown;
        }
        RunState::NotRun
    }

    /// Offset up to which the slowest caller has taken the answer.
    pub fn consumed(&self) -> u64 {
        let slowest = self.waiters.iter().map(|waiter| waiter.consumed).min();
        slowest.unwrap_or_else(|| self.answer.received())
    }
}

/// What a target must have for a submission.
pub(crate) fn need_for(submission: &Submission, terms: &Terms, deadline: Instant) -> Need {
    let work = &submission.work;
    Need {
        service: work.service.clone(),
        kind: terms.kind,
        needs: required_models(submission, terms),
        priority: terms.profile.priority,
        prompt_tokens: work.prompt_tokens,
        max_output_tokens: work.max_output_tokens,
        prefixes: work.prefixes.clone(),
        deadline,
        wanted_by: None,
        concurrency_limit: terms.profile.concurrency_limit,
        cache_affinity: terms.profile.cache_affinity,
    }
}

fn required_models(submission: &Submission, terms: &Terms) -> Loaded {
    let profile = &terms.profile;
    if terms.kind == ServiceKind::Plain {
        return Loaded::default();
    }
    let named = &submission.work.model;
    if !named.is_empty() && *named != profile.model {
        return Loaded {
            model: named.clone(),
            ..Loaded::default()
        };
    }
    let adapters = if profile.adapter.is_empty() {
        Vec::new()
    } else {
        vec![profile.adapter.clone()]
    };
    Loaded {
        model: profile.model.clone(),
        version: profile.version.clone(),
        adapters,
    }
}
