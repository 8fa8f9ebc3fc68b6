//! The choice of a target, as the state machine of requests sees it.

use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use types::Loaded;
use types::ServiceKind;
use types::ServiceName;
use types::TargetName;
use types::Usage;

/// What an attempt needs from a target.
#[derive(Debug, Clone)]
pub struct Need {
    /// Service addressed.
    pub service: ServiceName,
    /// Engine or plain service.
    pub kind: ServiceKind,
    /// Model, version and adapter; empty fields ask for nothing.
    pub needs: Loaded,
    /// 0 is served first.
    pub priority: u8,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// Upper bound of the output.
    pub max_output_tokens: u32,
    /// Hash of the prompt's prefix after each whole cache piece.
    pub prefixes: Vec<u64>,
    /// Time by which the whole answer must be there.
    pub deadline: Instant,
    /// Time until which the caller is expected to wait, if it is known to be short. Roles are
    /// planned with it; the request is not refused for it.
    pub wanted_by: Option<Instant>,
    /// Requests of this entry at one target at once, from the profile.
    pub concurrency_limit: u32,
    /// Factor on the prefill time that a cached prefix saves, from the profile.
    pub cache_affinity: f64,
}

/// Where to send an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this run of this target.
    Target {
        /// Target chosen.
        target: TargetName,
        /// Run of its agent.
        incarnation: Incarnation,
        /// Estimated time until the whole answer is there.
        finish_ms: Duration,
    },
    /// All that could take it are full or away for a moment.
    Wait {
        /// When to ask again.
        retry_ms: Duration,
    },
    /// No target of the service can finish it by its deadline.
    Infeasible {
        /// When it may be feasible.
        retry_ms: Duration,
    },
    /// The service has no target that could ever take it.
    Never,
}

/// How an attempt ended, for load accounting and ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// Whole answer.
    Answered(Usage),
    /// Not taken by the agent.
    Rejected,
    /// Failed at the target, or the target was lost.
    Failed,
    /// No longer wanted.
    Cancelled,
}

/// Chooses targets and keeps account of what was sent to them.
pub trait Router {
    /// Chooses a target outside `exclude`, which may be used again if nothing else is left.
    fn choose(&mut self, now: Instant, need: &Need, exclude: &[TargetName]) -> Choice;
    /// An attempt was sent to a target.
    fn dispatched(&mut self, now: Instant, target: &TargetName, attempt: AttemptId, need: &Need);
    /// An attempt has ended.
    fn settled(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        settlement: Settlement,
    );
}
