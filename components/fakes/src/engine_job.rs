//! Constants of the fake engine, its work, and what it tells of it.

use std::time::Duration;

use routing::RoleRates;
use types::AttemptId;
use types::Usage;

use crate::engine_cache::Held;

/// Constants of a fake engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Constants {
    /// Rates in the roles prefill, mixed and decode.
    pub rates: [RoleRates; 3],
    /// Tokens of one cache piece.
    pub piece_tokens: u32,
    /// Memory, in pieces.
    pub pieces: usize,
    /// Time away in a role change.
    pub change_ms: Duration,
    /// Time away after a crash.
    pub restart_ms: Duration,
    /// Interval at which load figures are taken.
    pub figures_ms: Duration,
    /// Delay of cache events.
    pub cache_delay_ms: Duration,
    /// Share of cache events that are lost.
    pub cache_loss: f64,
}

impl Default for Constants {
    fn default() -> Self {
        let routing = routing::Settings::new("");
        Self {
            rates: [routing.prefill, routing.mixed, routing.decode],
            piece_tokens: 2_000,
            pieces: 240,
            change_ms: Duration::from_secs(6),
            restart_ms: Duration::from_secs(20),
            figures_ms: Duration::from_millis(200),
            cache_delay_ms: Duration::from_millis(300),
            cache_loss: 0.03,
        }
    }
}

/// Work for the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Attempt that it serves.
    pub attempt: AttemptId,
    /// Which reader of the reports sent it.
    pub reader: usize,
    /// 0 is served first.
    pub priority: u8,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Output length, which the engine does not know beforehand.
    pub output_tokens: u32,
    /// Upper bound of the output.
    pub max_output_tokens: u32,
    /// Hash of the prompt's prefix after each whole piece.
    pub prefixes: Vec<u64>,
}

/// What the engine tells of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Its first token is there.
    FirstToken(AttemptId),
    /// It is complete.
    Ended(AttemptId, Usage),
    /// It was lost.
    Failed(AttemptId),
}

impl Constants {
    /// Prompt tokens that need no processing; the last token always does.
    pub(crate) fn cached(&self, job: &Job, held: &Held) -> u32 {
        let matched = u32::try_from(held.matched).unwrap_or(u32::MAX);
        let tokens = matched.saturating_mul(self.piece_tokens);
        tokens.min(job.prompt_tokens.saturating_sub(1))
    }

    pub(crate) fn usage(&self, job: &Job, held: &Held) -> Usage {
        Usage {
            prompt_tokens: job.prompt_tokens,
            cached_tokens: self.cached(job, held),
            output_tokens: job.output_tokens,
        }
    }
}
