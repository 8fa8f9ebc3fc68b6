//! What a target reports of itself, always somewhat late.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::OrderNumber;
use crate::target::Loaded;
use crate::target::Role;

/// Load of one target at the moment of the report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Run of the agent that reports.
    pub incarnation: Incarnation,
    /// Grows with every report of one incarnation; lower ones are stale.
    pub sequence: u64,
    /// Age of the engine's own figures when the agent sent them.
    pub age_ms: u32,
    /// Requests in service.
    pub running: u32,
    /// Requests accepted but not started.
    pub queued: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens still expected.
    pub decode_backlog_tokens: u64,
    /// Dispatches received in this incarnation from the process that reads the report, to net out
    /// what that process sent since the report.
    pub received: u64,
    /// Share of the KV cache in use, in thousandths.
    pub cache_used_permille: u16,
    /// Role in force.
    pub role: Role,
    /// Model, adapters and version in force.
    pub loaded: Loaded,
    /// Last order executed.
    pub applied: OrderNumber,
    /// The target accepts no new work.
    pub leaving: bool,
    /// The target is away for a change or after a crash.
    pub away: bool,
}

/// Change in the prefix cache of a target; late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with every event of an incarnation, so that gaps are seen.
    pub sequence: u64,
    /// Hash of the prefix up to and including one cache piece.
    pub prefix: u64,
    /// The piece was stored; otherwise it was evicted.
    pub stored: bool,
}
