//! Orders that change the model, adapters, role or service state of a target.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;
use crate::ids::OrderNumber;
use crate::ids::Revision;
use crate::ids::TargetName;
use crate::target::Role;

/// Action that an order requests from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Load a version of a model in place of the current model.
    LoadModel {
        /// Model to load.
        model: String,
        /// Version of the model's weights.
        version: String,
    },
    /// Load an adapter in addition to those loaded.
    LoadAdapter {
        /// Adapter to load.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Adapter to unload.
        adapter: String,
    },
    /// Change the role; the engine is unavailable for some seconds.
    ChangeRole {
        /// New role.
        role: Role,
    },
    /// Accept no new requests and finish those in progress.
    Drain,
    /// Drain; a new host replaces the target.
    Replace,
    /// Drain, then remove the target permanently.
    Withdraw,
    /// Accept requests again after a drain.
    Resume,
}

impl OrderKind {
    /// Whether the target accepts no new requests after this order.
    #[must_use]
    pub fn stops_new_work(&self) -> bool {
        matches!(self, Self::Drain | Self::Replace | Self::Withdraw)
    }

    /// Whether the order must be sent to the engine.
    #[must_use]
    pub fn is_sent_to_engine(&self) -> bool {
        !self.stops_new_work() && *self != Self::Resume
    }
}

/// Latest order to a target, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Target that the order is addressed to.
    pub target: TargetName,
    /// Increases with every order to the target.
    pub number: OrderNumber,
    /// Fencing number of the lease under which the order was written.
    pub fencing: FencingNumber,
    /// Revision of the change log that wrote the order.
    pub revision: Revision,
    /// Requested action.
    pub kind: OrderKind,
}
