//! Load and prefix cache reports of targets. Both lag behind the state of the target.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::OrderNumber;
use crate::target::LoadedModel;
use crate::target::Role;

/// Load of a target when the report was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the agent that sends the report.
    pub incarnation: Incarnation,
    /// Increases with every report of an incarnation; reports with a lower number are stale.
    pub sequence: u64,
    /// Age of the engine's metrics when the agent sent the report.
    pub age_ms: u32,
    /// Requests being processed.
    pub running: u32,
    /// Requests accepted but not yet started.
    pub queued: u32,
    /// Prompt tokens of accepted requests that are still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens that accepted requests are still expected to generate.
    pub decode_backlog_tokens: u64,
    /// Dispatches received in this incarnation from the recipient of the report. The recipient uses
    /// it to add the load of dispatches that the report does not include.
    pub received: u64,
    /// Share of the KV cache that is in use.
    pub cache_used_permille: u16,
    /// Current role.
    pub role: Role,
    /// Model version and adapters currently loaded.
    pub loaded: LoadedModel,
    /// Number of the last order that was executed.
    pub applied: OrderNumber,
    /// Time until the next request would begin under a limit that the target names; 0 without a
    /// limit.
    pub next_start_ms: u32,
    /// Whether the target is draining and accepts no new requests.
    pub leaving: bool,
    /// Whether the target is unavailable because of a model or role change or a crash.
    pub away: bool,
}

/// Change in the prefix cache of a target. Events may arrive late or be lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with every event of an incarnation, so that lost events can be detected.
    pub sequence: u64,
    /// Hash of the prompt prefix up to and including one cache piece, a block of the KV cache.
    pub prefix: u64,
    /// Whether the piece was stored; `false` if it was evicted.
    pub stored: bool,
}
