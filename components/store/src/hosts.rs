//! The platform's list of hosts. It lags, and may be wrong in both directions for a while.

use serde::Deserialize;
use serde::Serialize;
use types::HostName;

use crate::StoreFuture;

/// State of a host according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Runs.
    Live,
    /// Will be stopped.
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// Its state when the list was made.
    pub state: HostState,
}

/// The host list service.
pub trait HostList {
    /// The whole list as of some seconds ago.
    fn hosts(&self) -> StoreFuture<'_, Vec<HostEntry>>;
}
