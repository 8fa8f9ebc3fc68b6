//! Faults that can be injected into the stand-in platform.

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

/// Faults to inject from now on. They replace all earlier ones; an absent field means no fault.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Services that reject every request with 503.
    pub outages: Vec<Service>,
    /// The table accepts requests and neither executes nor answers them.
    pub table_silent: bool,
    /// Delay before each request is executed.
    pub delay_ms: u64,
    /// Number of commits that are applied but whose reply is lost.
    pub lose_replies: u32,
    /// Share of table requests, from 0 to 1, that are executed but whose reply is lost.
    pub lost_share: f64,
    /// Share of table requests, from 0 to 1, that are lost before they are executed.
    pub dropped_share: f64,
    /// Wrong host list to return instead of the actual one.
    pub hosts: Option<Vec<HostEntry>>,
}

impl Faults {
    pub(super) fn blocks(&self, service: Service) -> bool {
        self.outages.contains(&service)
    }
}
