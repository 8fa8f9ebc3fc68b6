//! State of a target as known to this entry, and whether it accepts work.

use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::LoadedModel;
use types::Target;

use crate::cache::Holder;
use crate::ejection::Ejection;
use crate::load::LoadModel;
use crate::settings::Settings;

/// Number of distinct priorities; larger values count as the last one.
pub const PRIORITIES: usize = 10;
/// Initial factor on the rank of a target that has just become open.
const SLOW_START_FACTOR: f64 = 3.0;

/// Whether a target accepts new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Accepts new work.
    Open,
    /// Draining, being replaced or withdrawn by configuration.
    NotActive,
    /// Its host is about to be stopped by the platform.
    HostLeaving,
    /// Its agent has not answered a probe within `probe_timeout_ms`.
    Silent,
    /// Its agent reports that it accepts no new work.
    Leaving,
    /// Its agent reports that it is away, for a change or after a crash.
    Away,
    /// Ejected after repeated failures.
    Ejected,
}

/// State of a target.
#[derive(Debug)]
pub(crate) struct Member {
    pub target: Target,
    pub pool: usize,
    pub holder: Holder,
    pub one_way_ms: Duration,
    pub probed_at: Option<Instant>,
    pub is_host_leaving: bool,
    pub is_leaving: bool,
    pub is_away: bool,
    pub load: LoadModel,
    pub ejection: Ejection,
    pub cache_sequence: u64,
    /// Mean ratio of cached tokens in answers to those expected from the index.
    pub cache_hit_ratio: f64,
    /// Attempts of this entry in flight.
    pub outstanding: u32,
    pub prefill_by_priority: [f64; PRIORITIES],
    /// Position in the open list of the pool.
    pub open_position: Option<usize>,
    pub opened_at: Option<Instant>,
}

impl Member {
    pub fn new(target: Target, pool: usize, holder: Holder, settings: &Settings) -> Self {
        let one_way_ms = settings.one_way_latency(&target.data_centre);
        Self {
            target,
            pool,
            holder,
            one_way_ms,
            probed_at: None,
            is_host_leaving: false,
            is_leaving: false,
            is_away: false,
            load: LoadModel::default(),
            ejection: Ejection::default(),
            cache_sequence: 0,
            cache_hit_ratio: 1.0,
            outstanding: 0,
            prefill_by_priority: [0.0; PRIORITIES],
            open_position: None,
            opened_at: None,
        }
    }

    /// Discards what is known of the previous run.
    pub fn restart(&mut self, incarnation: Incarnation, holder: Holder) {
        self.target.incarnation = incarnation;
        self.holder = holder;
        self.probed_at = None;
        self.is_leaving = false;
        self.is_away = false;
        self.load = LoadModel::default();
        self.ejection = Ejection::default();
        self.cache_sequence = 0;
        self.cache_hit_ratio = 1.0;
        self.outstanding = 0;
        self.prefill_by_priority = [0.0; PRIORITIES];
    }

    pub fn standing(&self, now: Instant, settings: &Settings) -> Standing {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) <= settings.probe_timeout_ms;
        if !self.target.state.accepts_work() {
            Standing::NotActive
        } else if self.is_host_leaving {
            Standing::HostLeaving
        } else if self.is_leaving {
            Standing::Leaving
        } else if self.is_away {
            Standing::Away
        } else if !self.probed_at.is_some_and(is_recent) {
            Standing::Silent
        } else if self.ejection.until(now).is_some() {
            Standing::Ejected
        } else {
            Standing::Open
        }
    }

    /// Whether the target has loaded what a request needs; empty fields match anything.
    pub fn is_compatible_with(&self, needs: &LoadedModel) -> bool {
        let loaded = &self.target.loaded;
        let is_match = |need: &str, have: &str| need.is_empty() || need == have;
        is_match(&needs.model, &loaded.model)
            && is_match(&needs.version, &loaded.version)
            && needs
                .adapters
                .iter()
                .all(|adapter| adapter.is_empty() || loaded.adapters.contains(adapter))
    }

    /// Share of the prefill backlog that is served no later than work of this priority.
    ///
    /// Load reports do not split the backlog by priority. It is estimated from this entry's own
    /// attempts in flight, as all entries get the same mix of requests.
    pub fn backlog_share(&self, priority: u8) -> f64 {
        let total: f64 = self.prefill_by_priority.iter().sum();
        if total < 1.0 {
            return 1.0;
        }
        let last = usize::from(priority).min(PRIORITIES - 1);
        let ahead: f64 = self.prefill_by_priority[..=last].iter().sum();
        (ahead / total).min(1.0)
    }

    /// Factor on the rank, falling to 1 over `slow_start_ms` after the target became open.
    pub fn slow_start(&self, now: Instant, settings: &Settings) -> f64 {
        let Some(opened_at) = self.opened_at.filter(|_| settings.mechanisms.slow_start) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(opened_at).as_secs_f64();
        let progress = (age / settings.slow_start_ms.as_secs_f64().max(1e-3)).min(1.0);
        SLOW_START_FACTOR + (1.0 - SLOW_START_FACTOR) * progress
    }
}
