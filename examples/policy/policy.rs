//! The compared policies, and the mechanisms that can be switched off.

use std::time::Instant;

use planner::Planner;
use request::Router;
use routing::Fleet;
use types::CacheEvent;
use types::LoadReport;
use types::Target;

use crate::baseline::BareThreshold;
use crate::baseline::BaselineRouter;
use crate::scenario::Scenario;

/// Policy for routing and role changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    RoundRobin,
    LeastOutstanding,
    /// The crate `routing` without role changes.
    NoRoleChanges,
    /// The crate `routing`, with role changes by a threshold.
    BareThreshold,
    /// The crates `routing` and `planner`.
    Ours,
}

impl Policy {
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::NoRoleChanges,
        Self::BareThreshold,
        Self::Ours,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::NoRoleChanges => "no-role-changes",
            Self::BareThreshold => "bare-threshold",
            Self::Ours => "ours",
        }
    }
}

/// Mechanisms that `--without` can switch off.
pub const MECHANISMS: [&str; 16] = [
    "cache",
    "five-samples",
    "netting",
    "estimate",
    "slow-start",
    "ejection",
    "feasibility",
    "correction",
    "work",
    "planner",
    "cost",
    "patience",
    "hysteresis",
    "slow-estimate",
    "ageing",
    "hang-ups",
];

/// Mechanisms that `--without` switches off.
#[derive(Debug, Clone, Default)]
pub struct DisabledMechanisms(pub Vec<String>);

impl DisabledMechanisms {
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|disabled| disabled == name)
    }
}

/// Router of one entry.
pub enum Routing {
    Fleet(Box<Fleet>),
    Baseline(BaselineRouter),
}

impl Routing {
    pub fn new(
        scenario: &Scenario,
        policy: Policy,
        disabled: &DisabledMechanisms,
        entry: usize,
        seed: u64,
    ) -> Self {
        match policy {
            Policy::RoundRobin => Self::Baseline(BaselineRouter::new(false)),
            Policy::LeastOutstanding => Self::Baseline(BaselineRouter::new(true)),
            _ => {
                let settings = routing_settings(scenario, disabled, entry);
                Self::Fleet(Box::new(Fleet::new(settings, seed)))
            }
        }
    }

    pub fn router(&mut self) -> &mut dyn Router {
        match self {
            Self::Fleet(fleet) => fleet.as_mut(),
            Self::Baseline(router) => router,
        }
    }

    pub fn set_target(&mut self, now: Instant, target: &Target) {
        match self {
            Self::Fleet(fleet) => fleet.set_target(now, target),
            Self::Baseline(router) => router.set_target(target),
        }
    }

    pub fn report_received(
        &mut self,
        now: Instant,
        target: &Target,
        report: &LoadReport,
        events: &[CacheEvent],
    ) {
        match self {
            Self::Fleet(fleet) => {
                fleet.probe_answered(now, &target.name, report.incarnation);
                fleet.load_report(now, &target.name, report);
                fleet.cache_events(&target.name, report.incarnation, events);
            }
            Self::Baseline(router) => router.load_report(&target.name, report),
        }
    }
}

/// Policy for role changes.
pub enum RolePolicy {
    None,
    Planner(Box<Planner>),
    Threshold(BareThreshold),
}

impl RolePolicy {
    pub fn new(scenario: &Scenario, policy: Policy, disabled: &DisabledMechanisms) -> Self {
        let mut settings = planner::Settings::new(&routing_settings(scenario, disabled, 0));
        let entries = u32::try_from(scenario.entries).unwrap_or(1);
        settings.traffic_share = 1.0 / f64::from(entries);
        let mechanisms = &mut settings.mechanisms;
        mechanisms.cost = !disabled.has("cost");
        mechanisms.shift_delay = !disabled.has("patience");
        mechanisms.hysteresis = !disabled.has("hysteresis");
        mechanisms.slow_estimate = !disabled.has("slow-estimate");
        match policy {
            Policy::Ours if !disabled.has("planner") => {
                Self::Planner(Box::new(Planner::new(settings)))
            }
            Policy::BareThreshold => Self::Threshold(BareThreshold::new(&settings)),
            _ => Self::None,
        }
    }
}

fn routing_settings(
    scenario: &Scenario,
    disabled: &DisabledMechanisms,
    entry: usize,
) -> routing::Settings {
    let data_centre = scenario.data_centres[entry % scenario.data_centres.len()].clone();
    let mut settings = routing::Settings::new(data_centre);
    settings.default_distance_ms = scenario.distance_between_places_ms;
    if disabled.has("five-samples") {
        settings.sample_count = 2;
    }
    let mechanisms = &mut settings.mechanisms;
    mechanisms.cache = !disabled.has("cache");
    mechanisms.count_unreported = !disabled.has("netting");
    mechanisms.estimate = !disabled.has("estimate");
    mechanisms.slow_start = !disabled.has("slow-start");
    mechanisms.ejection = !disabled.has("ejection");
    mechanisms.feasibility = !disabled.has("feasibility");
    mechanisms.correction = !disabled.has("correction");
    mechanisms.count_displaced_work = !disabled.has("work");
    settings
}
