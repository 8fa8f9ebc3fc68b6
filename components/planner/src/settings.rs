//! Settings of the planning rules.

use std::time::Duration;

use routing::RoleRates;
use types::Role;

/// Parts of the planning rules that can be switched off to measure what each is worth.
#[allow(clippy::struct_excessive_bools)] // independent switches
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Weigh the gain against the seconds lost.
    pub cost: bool,
    /// Give routing the fast estimate's time before a change.
    pub patience: bool,
    /// Demand more before a change is reversed.
    pub hysteresis: bool,
    /// Count on the slow estimate beyond the time that a shift has lasted.
    pub slow_estimate: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            cost: true,
            patience: true,
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
    /// Time for which an engine is away in a role change.
    pub away_ms: Duration,
    /// Load reports older than this are not planned with.
    pub fresh_ms: Duration,
    /// A target that has been unavailable for this long no longer holds up planning.
    pub gone_ms: Duration,
    /// An order that has had no effect for this long no longer holds up planning.
    pub order_ms: Duration,
    /// A shift that is not seen for this long has ended.
    pub grace_ms: Duration,
    /// Time after a change within which its reversal needs `reversal_factor` times the gain.
    pub reversal_ms: Duration,
    /// Factor on the cost of a reversal.
    pub reversal_factor: f64,
    /// Capacity over demand that is worth having; more than this counts as no gain.
    pub headroom: f64,
    /// Least gain, in engines, that counts as a shift.
    pub least_gain: f64,
    /// Share of the service's requests that this process sees.
    pub traffic_share: f64,
    /// Rates in the roles prefill, mixed and decode.
    pub rates: [RoleRates; 3],
    /// Parts that are switched on.
    pub mechanisms: Mechanisms,
}

impl Settings {
    /// Defaults, with the rates that routing estimates with.
    #[must_use]
    pub fn new(routing: &routing::Settings) -> Self {
        Self {
            fast_ms: Duration::from_secs(20),
            slow_ms: Duration::from_mins(3),
            away_ms: Duration::from_secs(6),
            fresh_ms: Duration::from_secs(3),
            gone_ms: Duration::from_mins(1),
            order_ms: Duration::from_mins(2),
            grace_ms: Duration::from_secs(8),
            reversal_ms: Duration::from_mins(5),
            reversal_factor: 2.0,
            headroom: 1.0,
            least_gain: 0.05,
            traffic_share: 1.0,
            rates: [Role::Prefill, Role::Mixed, Role::Decode].map(|role| *routing.rates(role)),
            mechanisms: Mechanisms::default(),
        }
    }
}
