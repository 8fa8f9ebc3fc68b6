//! One target as this entry sees it.

use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::Loaded;
use types::Target;

use crate::cache::Holder;
use crate::ejection::Ejection;
use crate::load::LoadModel;
use crate::settings::Settings;

/// Number of priorities that are told apart; higher ones count as the last.
pub const PRIORITIES: usize = 10;
/// Estimate of a target that has just come into service, as a multiple of the plain one.
const SLOW_START_FACTOR: f64 = 3.0;

/// Whether a target takes new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Takes new work.
    Open,
    /// Drained, replaced or withdrawn by configuration.
    NotActive,
    /// The platform will stop its host.
    HostLeaving,
    /// Its agent answered no probe in time.
    Silent,
    /// Reports that it leaves.
    Leaving,
    /// Reports that it is away.
    Away,
    /// Ejected after failures.
    Ejected,
}

/// One target.
#[derive(Debug)]
pub(crate) struct Member {
    pub target: Target,
    pub pool: usize,
    pub holder: Holder,
    pub one_way_ms: Duration,
    pub probed: Option<Instant>,
    pub host_leaving: bool,
    pub leaving: bool,
    pub away: bool,
    pub load: LoadModel,
    pub ejection: Ejection,
    pub cache_sequence: u64,
    /// Share of the tokens expected in the cache that answers reported as cached.
    pub cache_trust: f64,
    pub outstanding: u32,
    pub prefill_by_priority: [f64; PRIORITIES],
    pub open_at: Option<usize>,
    pub opened: Option<Instant>,
}

impl Member {
    pub fn new(target: Target, pool: usize, holder: Holder, settings: &Settings) -> Self {
        let one_way_ms = settings.distance(&target.place);
        Self {
            target,
            pool,
            holder,
            one_way_ms,
            probed: None,
            host_leaving: false,
            leaving: false,
            away: false,
            load: LoadModel::default(),
            ejection: Ejection::default(),
            cache_sequence: 0,
            cache_trust: 1.0,
            outstanding: 0,
            prefill_by_priority: [0.0; PRIORITIES],
            open_at: None,
            opened: None,
        }
    }

    /// Forgets everything that an earlier run reported.
    pub fn restart(&mut self, incarnation: Incarnation, holder: Holder) {
        self.target.incarnation = incarnation;
        self.holder = holder;
        self.probed = None;
        self.leaving = false;
        self.away = false;
        self.load = LoadModel::default();
        self.ejection = Ejection::default();
        self.cache_sequence = 0;
        self.cache_trust = 1.0;
        self.outstanding = 0;
        self.prefill_by_priority = [0.0; PRIORITIES];
    }

    pub fn standing(&self, now: Instant, settings: &Settings) -> Standing {
        let in_time = |at: Instant| now.saturating_duration_since(at) <= settings.probe_timeout_ms;
        if !self.target.state.accepts_work() {
            Standing::NotActive
        } else if self.host_leaving {
            Standing::HostLeaving
        } else if self.leaving {
            Standing::Leaving
        } else if self.away {
            Standing::Away
        } else if !self.probed.is_some_and(in_time) {
            Standing::Silent
        } else if self.ejection.until(now).is_some() {
            Standing::Ejected
        } else {
            Standing::Open
        }
    }

    /// Whether the target has what a request needs; empty fields ask for nothing.
    pub fn fits(&self, needs: &Loaded) -> bool {
        let loaded = &self.target.loaded;
        let same = |need: &str, have: &str| need.is_empty() || need == have;
        same(&needs.model, &loaded.model)
            && same(&needs.version, &loaded.version)
            && needs
                .adapters
                .iter()
                .all(|adapter| adapter.is_empty() || loaded.adapters.contains(adapter))
    }

    /// Share of the prefill backlog that is served no later than work of this priority.
    ///
    /// Reports do not split the backlog by priority. The split of this entry's own work in flight
    /// stands for it, since all entries see the same mix.
    pub fn backlog_share(&self, priority: u8) -> f64 {
        let total: f64 = self.prefill_by_priority.iter().sum();
        if total < 1.0 {
            return 1.0;
        }
        let last = usize::from(priority).min(PRIORITIES - 1);
        let ahead: f64 = self.prefill_by_priority[..=last].iter().sum();
        (ahead / total).min(1.0)
    }

    /// Factor on the estimate while the target is new.
    pub fn slow_start(&self, now: Instant, settings: &Settings) -> f64 {
        let Some(opened) = self.opened.filter(|_| settings.mechanisms.slow_start) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(opened).as_secs_f64();
        let share = (age / settings.slow_start_ms.as_secs_f64().max(1e-3)).min(1.0);
        SLOW_START_FACTOR + (1.0 - SLOW_START_FACTOR) * share
    }
}
