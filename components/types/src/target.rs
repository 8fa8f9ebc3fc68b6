//! Targets: model engines and plain services that requests are routed to.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::OrderNumber;
use crate::ids::Place;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::service::ServiceKind;

/// Part of the work that an engine is tuned for.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Long prompts with short answers.
    Prefill,
    /// Short prompts with many streams at once.
    Decode,
    /// Both, without being best at either.
    #[default]
    Mixed,
}

/// Model, adapters and version that an engine has loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loaded {
    /// Model in force; empty for plain services.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapters, sorted.
    pub adapters: Vec<String>,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what runs and takes nothing new.
    Draining,
    /// Finishes what runs; a new host takes the slot.
    Replacing,
    /// Left for good.
    Withdrawn,
}

impl TargetState {
    /// Whether new work may be dispatched.
    #[must_use]
    pub fn accepts_work(self) -> bool {
        self == Self::Active
    }
}

/// A target as its agent registered it in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name, unique within the deployment.
    pub name: TargetName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Engine or plain service.
    pub kind: ServiceKind,
    /// Data centre that it stands in.
    pub place: Place,
    /// Host that it runs on.
    pub host: HostName,
    /// Address of its agent, for TCP and UDP.
    pub agent: SocketAddr,
    /// Run of the agent that holds the target.
    pub incarnation: Incarnation,
    /// The engine refuses an order with an old fencing number.
    pub honours_fencing: bool,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Role in force.
    pub role: Role,
    /// Model, adapters and version in force.
    pub loaded: Loaded,
    /// Last order executed.
    pub applied: OrderNumber,
}
