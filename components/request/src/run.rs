//! A run: one execution of a request on behalf of its caller and of the resends that joined it.

use std::time::Duration;
use std::time::Instant;

use quarantine::PartId;
use smallvec::SmallVec;
use store::RowVersion;
use types::AttemptId;
use types::Incarnation;
use types::LoadedModel;
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
use crate::event::ServiceConfig;
use crate::router::Requirements;

/// A caller that waits for the answer of a run.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub request: RequestId,
    pub accepted: Instant,
    pub deadline: Instant,
    pub is_head_sent: bool,
    pub sent: u64,
    pub consumed: u64,
    pub first_byte_ms: Option<Duration>,
}

/// The attempt of a run that is in progress.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub id: AttemptId,
    pub target: TargetName,
    pub incarnation: Incarnation,
    /// Offset up to which the agent has credit to send.
    pub granted_offset: u64,
    /// Offset at which the agent was last asked to resume.
    pub resume_offset: Option<u64>,
    /// The attempt was dispatched by this entry, so the router tracks it.
    pub is_own: bool,
}

/// Claim of a non-idempotent run.
#[derive(Debug)]
pub(crate) struct Claim {
    pub key: String,
    pub digest: String,
    /// Version of the row as last seen; 0 if there is no row.
    pub version: RowVersion,
    /// Row that names the attempt of this run, written by this run or by the entry whose attempt it
    /// follows; `None` before that.
    pub current_row: Option<Box<ClaimRow>>,
    /// The caller sent an `Idempotency-Key`, so resends can find the outcome.
    pub has_key: bool,
    /// Number of times that the claim was resolved, up to `CLAIM_RESOLUTION_LIMIT`.
    pub resolutions: u32,
}

/// Phase of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The claim is being read.
    Reading,
    /// Waiting in the admission queue.
    Queued,
    /// The claim is being written, for an attempt at this incarnation of this target.
    Claiming(TargetName, Incarnation),
    /// Another entry holds the claim; the agent is asked whether it started the attempt.
    QueryingAgent(Box<ClaimRow>),
    /// An earlier submission ran; its answer is being read from the object store.
    Fetching(Box<StoredObject>),
    /// Waiting for the retry budget.
    Delayed,
    /// Another run with the same suspect part of the prompt is in progress.
    AwaitingTrial,
    /// An attempt is in progress.
    Running,
}

/// One execution of a request, with all of its attempts and callers.
pub(crate) struct Run {
    pub id: RequestId,
    pub submission: Submission,
    pub service_config: ServiceConfig,
    pub requirements: Requirements,
    pub idempotent: bool,
    pub waiters: SmallVec<[Waiter; 1]>,
    pub phase: Phase,
    /// Number of the last attempt; the first one is 1.
    pub attempt_no: u32,
    /// Number of attempts that count against the attempt limit.
    pub counted_attempts: u32,
    pub tried_targets: SmallVec<[TargetName; 2]>,
    /// Attempts to report when the run ends.
    pub history: SmallVec<[AttemptSummary; 1]>,
    pub attempt: Option<Attempt>,
    pub answer: Answer,
    /// `None` for idempotent work.
    pub claim: Option<Claim>,
    pub accepted: Instant,
    /// Time-out of the call to the table or the object store in flight.
    pub store_deadline: Option<Instant>,
    /// An earlier attempt may have been executed, in part or completely.
    pub may_have_executed: bool,
    /// By what it may crash engines: the prefixes of the prompt, and the whole request.
    pub possible_causes: Vec<PartId>,
    /// Those that are suspect and that this run is a trial of.
    pub trial_parts: SmallVec<[PartId; 4]>,
}

impl Run {
    /// Latest deadline of all callers.
    pub fn deadline(&self) -> Instant {
        self.requirements.deadline
    }

    /// Records the dispatch of an attempt.
    pub fn attempt_started(&mut self, now: Instant, target: TargetName) {
        self.tried_targets.push(target.clone());
        self.history.push(AttemptSummary {
            target,
            start_ms: now.saturating_duration_since(self.accepted),
            end: None,
        });
    }

    /// Records how the last attempt ended.
    pub fn attempt_ended(&mut self, now: Instant, end: AttemptEnd) {
        let since = now.saturating_duration_since(self.accepted);
        if let Some(last) = self.history.last_mut() {
            last.end = Some((since, end));
        }
    }

    /// Run state to report if the run ended now.
    pub fn state(&self) -> RunState {
        let is_elsewhere = matches!(self.phase, Phase::QueryingAgent(_) | Phase::Fetching(_));
        if self.may_have_executed || self.attempt.is_some() || is_elsewhere {
            return RunState::Unknown;
        }
        RunState::NotRun
    }

    /// Offset up to which the slowest caller has consumed the answer.
    pub fn consumed(&self) -> u64 {
        let slowest = self.waiters.iter().map(|waiter| waiter.consumed).min();
        slowest.unwrap_or_else(|| self.answer.received())
    }
}

/// Requirements of a submission under the configuration of its service.
pub(crate) fn requirements_for(
    submission: &Submission,
    service_config: &ServiceConfig,
    deadline: Instant,
) -> Requirements {
    let work = &submission.work;
    Requirements {
        service: work.service.clone(),
        kind: service_config.kind,
        needs: required_models(submission, service_config),
        priority: service_config.profile.priority,
        prompt_tokens: work.prompt_tokens,
        max_output_tokens: work.max_output_tokens,
        prefixes: work.prefixes.clone(),
        deadline,
        expected_hang_up: None,
        concurrency_limit: service_config.profile.concurrency_limit,
        cache_affinity: service_config.profile.cache_affinity,
    }
}

fn required_models(submission: &Submission, service_config: &ServiceConfig) -> LoadedModel {
    let profile = &service_config.profile;
    if service_config.kind == ServiceKind::Plain {
        return LoadedModel::default();
    }
    let named = &submission.work.model;
    if !named.is_empty() && *named != profile.model {
        return LoadedModel {
            model: named.clone(),
            ..LoadedModel::default()
        };
    }
    let adapters = if profile.adapter.is_empty() {
        Vec::new()
    } else {
        vec![profile.adapter.clone()]
    };
    LoadedModel {
        model: profile.model.clone(),
        version: profile.version.clone(),
        adapters,
    }
}
