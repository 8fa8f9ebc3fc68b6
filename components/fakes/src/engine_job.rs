//! Settings of the fake engine, its jobs and their progress.

use std::time::Duration;

use routing::RoleRates;
use types::AttemptId;
use types::Usage;

use crate::engine_cache::Allocation;

/// Settings of a fake engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Speed and limits in the roles prefill, mixed and decode, in this order.
    pub rates: [RoleRates; 3],
    /// Prompt tokens in one cache piece.
    pub piece_tokens: u32,
    /// Cache memory, in pieces.
    pub capacity_pieces: usize,
    /// Time for which a role change makes the engine unavailable.
    pub role_change_ms: Duration,
    /// Time for which a crash makes the engine unavailable.
    pub restart_ms: Duration,
    /// Shortest interval between the load snapshots of a busy engine.
    pub load_interval_ms: Duration,
    /// Time from a change of the cache to the publication of its event.
    pub cache_event_delay_ms: Duration,
    /// Share of the cache events that are never published, from 0 to 1.
    pub cache_event_loss_share: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let routing = routing::Settings::new("");
        Self {
            rates: [routing.prefill, routing.mixed, routing.decode],
            piece_tokens: 2_000,
            capacity_pieces: 240,
            role_change_ms: Duration::from_secs(6),
            restart_ms: Duration::from_secs(20),
            load_interval_ms: Duration::from_millis(200),
            cache_event_delay_ms: Duration::from_millis(300),
            cache_event_loss_share: 0.03,
        }
    }
}

/// Request to the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Identifies the job.
    pub attempt: AttemptId,
    /// Index of the entry that submitted it.
    pub entry: usize,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the output. The load snapshot estimates it from the limit instead.
    pub output_tokens: u32,
    /// Limit on the output that the caller set.
    pub max_output_tokens: u32,
    /// Hash of the prompt up to the end of each whole piece.
    pub prefixes: Vec<u64>,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first output token was produced.
    FirstToken(AttemptId),
    /// The whole output was produced.
    Completed(AttemptId, Usage),
    /// The engine crashed before the job completed.
    Failed(AttemptId),
}

impl EngineSettings {
    /// Prompt tokens taken from the cache. The last token of a prompt is always processed.
    pub(crate) fn cached_tokens(&self, job: &Job, allocation: &Allocation) -> u32 {
        let matched_pieces = u32::try_from(allocation.matched_pieces).unwrap_or(u32::MAX);
        let tokens = matched_pieces.saturating_mul(self.piece_tokens);
        tokens.min(job.prompt_tokens.saturating_sub(1))
    }

    pub(crate) fn usage(&self, job: &Job, allocation: &Allocation) -> Usage {
        Usage {
            prompt_tokens: job.prompt_tokens,
            cached_tokens: self.cached_tokens(job, allocation),
            output_tokens: job.output_tokens,
        }
    }
}
