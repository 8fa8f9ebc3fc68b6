//! Services, and the profile that each one runs under.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ProfileName;
use crate::ids::ServiceName;

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A service and the profile it picked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use in the path.
    pub name: ServiceName,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Profile in force for its requests.
    pub profile: ProfileName,
}
