//! A decision with its explanation.

use std::fmt;

use serde::Serialize;
use types::Role;
use types::TargetName;

use crate::fluid::Roles;
use crate::mix::Demand;

/// Why nothing is changed.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum Reason {
    /// Too little was measured since the start.
    TooEarly,
    /// A target that takes work has not reported its load lately.
    StaleLoad {
        /// The target.
        target: TargetName,
    },
    /// The last change is not complete.
    InProgress {
        /// The target that changes.
        target: TargetName,
    },
    /// A target is away, leaving or silent.
    Unsettled {
        /// The target.
        target: TargetName,
    },
    /// No single change helps.
    NoGain,
    /// Routing has not had the time to follow the shift.
    Patience,
    /// The change takes the last target that serves a class.
    LastOfClass {
        /// The target.
        target: TargetName,
    },
    /// The gain does not exceed the weighted loss.
    NotWorth,
    /// The change would reverse a recent one and does not gain enough for that.
    Reversal,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// Order a target to change its role.
    Change {
        /// The target.
        target: TargetName,
        /// Role in force.
        from: Role,
        /// Role to take.
        to: Role,
    },
    /// Change nothing.
    Keep(Reason),
}

/// Figures behind a decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Fast estimate of the demand.
    pub fast: Demand,
    /// Slow estimate of the demand.
    pub slow: Demand,
    /// Engines that take work, by role.
    pub roles: Roles,
    /// Capacity over demand now, by the fast estimate.
    pub capacity: f64,
    /// Capacity over demand after the best change, by the fast estimate.
    pub capacity_after: f64,
    /// Engines' worth of work gained by the best change, by the fast estimate.
    pub gain_fast: f64,
    /// The same by the slow estimate.
    pub gain_slow: f64,
    /// Time that the shift has lasted.
    pub shift_s: f64,
    /// Engine seconds that the change is expected to gain.
    pub gain_s: f64,
    /// Engine seconds that it costs, times the weights.
    pub cost_s: f64,
}

/// A decision with its explanation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// What to do.
    pub verdict: Verdict,
    /// Figures behind it.
    pub figures: Figures,
    /// The verdict is a change, or its reason differs from that of the decision before.
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
