//! Load reports: the agent's own counts, and the engine's last reported load with its age.

use std::time::Duration;
use std::time::Instant;

use limits::Rate;
use types::Incarnation;
use types::LoadReport;
use types::LoadedModel;
use types::OrderNumber;
use types::Role;

use crate::event::EngineLoad;

/// Builds load reports.
pub struct LoadReporter {
    incarnation: Incarnation,
    sequence: u64,
    engine: EngineLoad,
    engine_read_at: Option<Instant>,
    /// Dispatches received since the start of the process.
    pub received: u64,
    /// Current runs at the target.
    pub running: u32,
    /// Attempts accepted but not started.
    pub queued: u32,
    /// Prompt tokens of the attempts accepted but not started.
    pub queued_tokens: u64,
    /// Current role of the engine.
    pub role: Role,
    /// Model, version and adapters loaded.
    pub loaded: LoadedModel,
    /// Number of the last executed order.
    pub applied: OrderNumber,
    /// Limit that the target names, and the time from which it takes the next request.
    pub limit: Option<(Instant, Rate)>,
    /// New work is rejected because the target is drained, replaced or withdrawn, or because this
    /// process is stopping or superseded.
    pub leaving: bool,
    /// New work is rejected because the target is not registered yet, or because its engine is
    /// unreachable, in a change, or not in the recorded state.
    pub away: bool,
}

impl LoadReporter {
    /// Starts with `away` set, until the target is registered and the engine's state is known.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            engine: EngineLoad::default(),
            engine_read_at: None,
            received: 0,
            running: 0,
            queued: 0,
            queued_tokens: 0,
            role: Role::default(),
            loaded: LoadedModel::default(),
            applied: 0,
            limit: None,
            leaving: false,
            away: true,
        }
    }

    /// Stores the load reported by the engine.
    pub fn set_engine_load(&mut self, now: Instant, load: EngineLoad) {
        self.engine = load;
        self.engine_read_at = Some(now);
    }

    /// Builds a report; each one takes the next sequence number.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.sequence += 1;
        let since_read_ms = self
            .engine_read_at
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
            next_start_ms: self.next_start_ms(now),
            leaving: self.leaving,
            away: self.away,
        }
    }

    /// Wait of a further request for its turn under the target's limit.
    fn next_start_ms(&self, now: Instant) -> u32 {
        let Some((opens_at, rate)) = self.limit else {
            return 0;
        };
        let queued_ms = f64::from(self.queued) / rate.requests_per_s() * 1e3;
        let opens_ms = opens_at.saturating_duration_since(now).as_secs_f64() * 1e3;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // saturates
        let wait_ms = (opens_ms + queued_ms).ceil() as u32;
        wait_ms
    }

    /// Whether everything that an attempt needs is loaded; empty fields match any value.
    #[must_use]
    pub fn has_loaded(&self, needs: &LoadedModel) -> bool {
        (needs.model.is_empty() || needs.model == self.loaded.model)
            && (needs.version.is_empty() || needs.version == self.loaded.version)
            && needs
                .adapters
                .iter()
                .all(|adapter| self.loaded.adapters.contains(adapter))
    }
}
