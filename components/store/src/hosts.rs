//! Host list interface. The platform's list lags behind: for some time it may contain hosts that
//! have stopped and lack hosts that have started.

use serde::Deserialize;
use serde::Serialize;
use types::HostName;

use crate::StoreFuture;

/// State of a host according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is going to be stopped.
    Leaving,
}

/// Entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostName,
    /// State when the list was created.
    pub state: HostState,
}

/// Host list service.
pub trait HostList {
    /// Reads the complete list, which may be some seconds old.
    fn hosts(&self) -> StoreFuture<'_, Vec<HostEntry>>;
}
