//! Time constants, limits and factors of the planning rules.

use std::time::Duration;

use routing::RoleRates;
use types::Role;

/// Planning rules that can be switched off to measure the effect of each.
#[allow(clippy::struct_excessive_bools)] // independent switches
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Change a role only if the expected gain exceeds the weighted cost.
    pub cost: bool,
    /// Change a role only after a shift has lasted for the time constant of the fast estimate, so
    /// that routing adapts first.
    pub shift_delay: bool,
    /// Multiply the cost of reversing a recent change by `reversal_factor`.
    pub hysteresis: bool,
    /// Add the gain that the slow estimate predicts for the time after the shift.
    pub slow_estimate: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            cost: true,
            shift_delay: true,
            hysteresis: true,
            slow_estimate: true,
        }
    }
}

/// Settings of a [`crate::Planner`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Time constant of the fast estimate.
    pub fast_ms: Duration,
    /// Time constant of the slow estimate.
    pub slow_ms: Duration,
    /// Time for which an engine takes no work during a role change.
    pub away_ms: Duration,
    /// Age beyond which a load report is stale and no role is changed.
    pub max_report_age_ms: Duration,
    /// Time after which an unavailable target no longer blocks role changes.
    pub unavailable_limit_ms: Duration,
    /// Time after which an order without effect no longer blocks role changes.
    pub order_timeout_ms: Duration,
    /// Time without a useful change in the direction of a shift after which the shift has ended.
    pub shift_timeout_ms: Duration,
    /// Time after a change within which `reversal_factor` applies to its reversal.
    pub reversal_window_ms: Duration,
    /// Factor on the cost of reversing a recent change.
    pub reversal_factor: f64,
    /// Ratio of capacity to demand above which more capacity counts as no gain.
    pub headroom: f64,
    /// Smallest gain in engines that counts as a shift.
    pub min_gain: f64,
    /// Share of the service's requests that this process sees.
    pub traffic_share: f64,
    /// Engine rates in the roles prefill, mixed and decode, in this order.
    pub rates: [RoleRates; 3],
    /// Rules that are switched on.
    pub mechanisms: Mechanisms,
}

impl Settings {
    /// Default settings with the engine rates of the routing settings.
    #[must_use]
    pub fn new(routing: &routing::Settings) -> Self {
        Self {
            fast_ms: Duration::from_secs(20),
            slow_ms: Duration::from_mins(3),
            away_ms: Duration::from_secs(6),
            max_report_age_ms: Duration::from_secs(3),
            unavailable_limit_ms: Duration::from_mins(1),
            order_timeout_ms: Duration::from_mins(2),
            shift_timeout_ms: Duration::from_secs(8),
            reversal_window_ms: Duration::from_mins(5),
            reversal_factor: 2.0,
            headroom: 1.0,
            min_gain: 0.05,
            traffic_share: 1.0,
            rates: [Role::Prefill, Role::Mixed, Role::Decode].map(|role| *routing.rates(role)),
            mechanisms: Mechanisms::default(),
        }
    }
}
