//! Targets: model engines and plain HTTP services that requests are routed to.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::OrderNumber;
use crate::ids::ServiceName;
use crate::ids::TargetName;
use crate::service::ServiceKind;

/// Phase of inference that an engine is optimised for.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompt processing: long prompts with short answers.
    Prefill,
    /// Token generation: short prompts with many concurrent streams.
    Decode,
    /// Both phases, optimised for neither.
    #[default]
    Mixed,
}

/// Model version and adapters that an engine has loaded, or that a request requires.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model; empty for plain services, or if no particular model is required.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Adapters, sorted by name.
    pub adapters: Vec<String>,
}

/// Service state of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new requests.
    #[default]
    Active,
    /// Finishes requests in progress and accepts no new ones.
    Draining,
    /// Drains; a new host replaces the target.
    Replacing,
    /// Removed permanently.
    Withdrawn,
}

impl TargetState {
    /// Whether new requests may be dispatched to the target.
    #[must_use]
    pub fn accepts_work(self) -> bool {
        self == Self::Active
    }
}

/// Target as registered in the table by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name, unique within the deployment.
    pub name: TargetName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Model engine or plain service.
    pub kind: ServiceKind,
    /// Data centre of the host.
    #[serde(rename = "place")]
    pub data_centre: DataCentre,
    /// Host that the target runs on.
    pub host: HostName,
    /// Address of the agent, for TCP and UDP.
    pub agent: SocketAddr,
    /// Incarnation of the agent that registered the target.
    pub incarnation: Incarnation,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub honours_fencing: bool,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Current role.
    pub role: Role,
    /// Model version and adapters currently loaded.
    pub loaded: LoadedModel,
    /// Number of the last order that was executed.
    pub applied: OrderNumber,
}
