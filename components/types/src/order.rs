//! Orders to a target about its models, adapters, version, role and service state.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::OrderNumber;
use crate::ids::Revision;
use crate::ids::TargetName;
use crate::target::Role;

/// What a target has to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Load a model at a version and drop the one in force.
    LoadModel {
        /// Model to load.
        model: String,
        /// Version of its weights.
        version: String,
    },
    /// Load an adapter beside those in force.
    LoadAdapter {
        /// Adapter to load.
        adapter: String,
    },
    /// Remove an adapter.
    UnloadAdapter {
        /// Adapter to remove.
        adapter: String,
    },
    /// Change the role; the engine is away for seconds.
    ChangeRole {
        /// Role to take.
        role: Role,
    },
    /// Accept no new work and finish what runs.
    Drain,
    /// Drain, then hand the slot to a new host.
    Replace,
    /// Drain, then leave the fleet for good.
    Withdraw,
    /// Accept work again after a drain.
    Resume,
}

impl OrderKind {
    /// Whether the target accepts no new work after this order.
    #[must_use]
    pub fn ends_service(&self) -> bool {
        matches!(self, Self::Drain | Self::Replace | Self::Withdraw)
    }

    /// Whether the order must be passed on to the engine.
    #[must_use]
    pub fn concerns_engine(&self) -> bool {
        !self.ends_service() && *self != Self::Resume
    }
}

/// The latest order to one target, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target concerned.
    pub target: TargetName,
    /// Higher than that of every earlier order to the target.
    pub number: OrderNumber,
    /// Fencing number of the lease under which the order was written.
    pub fencing: FencingNumber,
    /// Revision of the change that carries the order.
    pub revision: Revision,
    /// What to do.
    pub kind: OrderKind,
}
