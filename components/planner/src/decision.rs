//! Result of a planning round, with the reason and the figures that it rests on.

use std::fmt;

use serde::Serialize;
use types::Role;
use types::TargetName;

use crate::capacity::RoleCounts;
use crate::mix::Demand;

/// Reason for keeping all roles.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum Reason {
    /// Demand was measured for less than the time constant of the fast estimate.
    TooEarly,
    /// The load report of an open target is missing or too old.
    StaleLoad {
        /// First such target.
        target: TargetName,
    },
    /// The previous role change is not complete.
    InProgress {
        /// Target that is changing its role.
        target: TargetName,
    },
    /// A target became unavailable recently and may return.
    Unsettled {
        /// First such target.
        target: TargetName,
    },
    /// No single role change gains at least the configured minimum.
    NoGain,
    /// The shift in demand is shorter than the time constant of the fast estimate, so routing has
    /// not adapted to it yet.
    Patience,
    /// The change would leave a class of requests without a target while it is under way.
    LastOfClass {
        /// Target that would have changed.
        target: TargetName,
    },
    /// The expected gain does not exceed the weighted cost.
    NotWorth,
    /// The change reverses a recent one, and its gain does not exceed the cost times the factor
    /// for reversals.
    Reversal,
}

/// Outcome of a planning round.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// Order a target to change its role.
    Change {
        /// Target to order.
        target: TargetName,
        /// Current role.
        from: Role,
        /// New role.
        to: Role,
    },
    /// Keep all roles.
    Keep(Reason),
}

/// Inputs and intermediate results of a decision; zero where the round ended before the step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Demand of the whole service by the fast estimate.
    pub fast: Demand,
    /// Demand of the whole service by the slow estimate.
    pub slow: Demand,
    /// Number of open targets by role.
    pub roles: RoleCounts,
    /// Ratio of capacity to demand with the current roles, by the fast estimate.
    pub capacity: f64,
    /// Ratio of capacity to demand after the best change, by the fast estimate.
    pub capacity_after: f64,
    /// Capacity gained by the best change, in engines, by the fast estimate.
    pub gain_fast: f64,
    /// Capacity gained by the best change, in engines, by the slow estimate.
    pub gain_slow: f64,
    /// Time since the shift in demand began.
    pub shift_s: f64,
    /// Expected gain of the change in engine seconds.
    pub gain_s: f64,
    /// Cost of the change in engine seconds, times the role change weight and the factor for
    /// reversals.
    pub cost_s: f64,
}

/// Outcome of a planning round and its figures.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// Role change to order, or the reason for none.
    pub verdict: Verdict,
    /// Figures that the verdict was derived from.
    pub figures: Figures,
    /// The verdict is a change, or its reason differs from that of the previous decision.
    pub is_news: bool,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.verdict {
            Verdict::Change { target, from, to } => {
                write!(f, "change {target} from {from:?} to {to:?}")?;
            }
            Verdict::Keep(reason) => write!(f, "keep all roles ({reason:?})")?,
        }
        let figures = &self.figures;
        write!(
            f,
            ": capacity over demand {:.2}, after the best change {:.2}; the shift has lasted \
             {:.0} s; expected gain {:.1} engine seconds, weighted cost {:.1}",
            figures.capacity,
            figures.capacity_after,
            figures.shift_s,
            figures.gain_s,
            figures.cost_s
        )
    }
}
