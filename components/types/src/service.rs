//! Services and their assignment to profiles.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ProfileName;
use crate::ids::ServiceName;

/// Kind of targets that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// Service and its profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, as used by callers in the request path.
    pub name: ServiceName,
    /// Kind of its targets.
    pub kind: ServiceKind,
    /// Profile that applies to its requests.
    pub profile: ProfileName,
}
