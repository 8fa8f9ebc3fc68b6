//! What the agent reports of its target: its own counts, and the engine's figures with their age.

use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::LoadReport;
use types::Loaded;
use types::OrderNumber;
use types::Role;

use crate::event::EngineLoad;

/// Source of load reports.
pub struct LoadBook {
    incarnation: Incarnation,
    sequence: u64,
    engine: EngineLoad,
    engine_read: Option<Instant>,
    /// Dispatches received in this run.
    pub received: u64,
    /// Runs at the target.
    pub running: u32,
    /// Attempts accepted but not started.
    pub queued: u32,
    /// Prompt tokens of the attempts accepted but not started.
    pub queued_tokens: u64,
    /// Role in force.
    pub role: Role,
    /// Model, adapters and version in force.
    pub loaded: Loaded,
    /// Last order executed.
    pub applied: OrderNumber,
    /// No new work: drained, replaced, withdrawn, stopping or superseded.
    pub leaving: bool,
    /// No new work: changing, crashed or not yet registered.
    pub away: bool,
}

impl LoadBook {
    /// Starts away, until the target row is held and the engine's state is known.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            engine: EngineLoad::default(),
            engine_read: None,
            received: 0,
            running: 0,
            queued: 0,
            queued_tokens: 0,
            role: Role::default(),
            loaded: Loaded::default(),
            applied: 0,
            leaving: false,
            away: true,
        }
    }

    /// Takes the engine's own figures.
    pub fn engine_reported(&mut self, now: Instant, load: EngineLoad) {
        self.engine = load;
        self.engine_read = Some(now);
    }

    /// Report as of now; every call takes the next sequence number.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.sequence += 1;
        let since_read_ms = self
            .engine_read
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        LoadReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            age_ms: u32::try_from(since_read_ms.as_millis())
                .unwrap_or(u32::MAX)
                .saturating_add(self.engine.age_ms),
            running: self.running,
            queued: self.queued,
            prefill_backlog_tokens: self.engine.prefill_backlog_tokens + self.queued_tokens,
            decode_backlog_tokens: self.engine.decode_backlog_tokens,
            received: self.received,
            cache_used_permille: self.engine.cache_used_permille,
            role: self.role,
            loaded: self.loaded.clone(),
            applied: self.applied,
            leaving: self.leaving,
            away: self.away,
        }
    }

    /// Whether the target has what an attempt needs; empty fields ask for nothing.
    #[must_use]
    pub fn has(&self, needs: &Loaded) -> bool {
        (needs.model.is_empty() || needs.model == self.loaded.model)
            && (needs.version.is_empty() || needs.version == self.loaded.version)
            && needs
                .adapters
                .iter()
                .all(|adapter| self.loaded.adapters.contains(adapter))
    }
}
