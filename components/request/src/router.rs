//! Interface through which the request state machine chooses targets.

use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use types::LoadedModel;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;
use types::Usage;

/// Requirements of an attempt, by which a target is chosen.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Whether the service is backed by engines or is a plain one.
    pub kind: ServiceKind,
    /// Required model, version and adapters; empty fields require nothing.
    pub needs: LoadedModel,
    /// Priority from 0, served first, to 9.
    pub priority: u8,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Upper bound of the output length.
    pub max_output_tokens: u32,
    /// Hashes of the prompt prefixes that end at each complete cache block.
    pub prefixes: Vec<u64>,
    /// Time by which the complete answer is needed.
    pub deadline: Instant,
    /// Time until which the caller is expected to wait, if that wait is too short to be used as a
    /// limit for refusals. It is only used to plan the roles of targets.
    pub expected_hang_up: Option<Instant>,
    /// Maximum number of concurrent requests of this entry at one target, from the profile.
    pub concurrency_limit: u32,
    /// Weight of the prefill time that a cached prefix saves, from the profile.
    pub cache_affinity: f64,
}

/// Decision of the router about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it to this incarnation of this target.
    Target {
        /// Name of the target.
        target: TargetName,
        /// Incarnation of the target's agent.
        incarnation: Incarnation,
        /// Estimated time to the complete answer.
        finish_ms: Duration,
    },
    /// All suitable targets are full or temporarily away.
    Wait {
        /// Time until the router should be asked again.
        retry_ms: Duration,
    },
    /// No target of the service can finish the attempt by its deadline.
    Infeasible {
        /// Time until a request may be feasible again.
        retry_ms: Duration,
    },
    /// The service has no target that could serve the attempt.
    Never,
}

/// How an attempt ended, for load accounting and ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete answer was received.
    Answered(Usage),
    /// Rejected without being executed.
    Rejected,
    /// Failed at the target, or the target became unreachable.
    Failed,
    /// Cancelled because no caller waits for its answer any more.
    Cancelled,
}

/// Chooses targets and tracks the attempts that were sent to them.
pub trait Router {
    /// Chooses a target that is not in `exclude`, or one that is if there is no other.
    fn choose(
        &mut self,
        now: Instant,
        requirements: &Requirements,
        exclude: &[TargetName],
    ) -> Choice;
    /// Records that an attempt was sent to a target.
    fn attempt_dispatched(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        requirements: &Requirements,
    );
    /// Records that an attempt has ended.
    fn attempt_ended(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        result: AttemptResult,
    );
}
