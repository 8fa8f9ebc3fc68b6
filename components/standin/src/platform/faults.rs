//! Faults that the stand-in can be told to have.

use serde::Deserialize;
use serde::Serialize;
use store::HostEntry;

/// One of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The weight store.
    Weights,
    /// The host list.
    Hosts,
}

/// Faults in force from now on; a field that is left out means no such fault.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Services that refuse every call with `503`.
    pub outages: Vec<Service>,
    /// The table takes calls and neither carries them out nor answers.
    pub table_silent: bool,
    /// Delay of every call before it is carried out.
    pub delay_ms: u64,
    /// The replies of this many commits are lost after the write took effect.
    pub lose_replies: u32,
    /// Share of table calls, from 0 to 1, whose reply is lost after they took effect.
    pub lost_share: f64,
    /// Share of table calls, from 0 to 1, that are lost before they take effect.
    pub dropped_share: f64,
    /// Wrong host list to show instead of the true one.
    pub hosts: Option<Vec<HostEntry>>,
}

impl Faults {
    /// Whether a service refuses calls.
    pub(super) fn is_out(&self, service: Service) -> bool {
        self.outages.contains(&service)
    }
}
