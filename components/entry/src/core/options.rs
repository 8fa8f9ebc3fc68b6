//! Options of the decisions of an entry, taken from its settings.

use std::net::SocketAddr;
use std::time::Duration;

use control::FollowerOptions;

use crate::core::links::LinkTimes;

/// Options of an [`crate::core::EntryCore`].
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Name of the entry.
    pub name: String,
    /// Routing rules.
    pub routing: routing::Settings,
    /// Times of the follower.
    pub follower: FollowerOptions,
    /// Times of the connections.
    pub links: LinkTimes,
    /// Targets of a service that the entry uses.
    pub share_targets: usize,
    /// Between two probes of a target.
    pub probe_ms: Duration,
    /// Between two reads of the host list.
    pub hosts_poll_ms: Duration,
    /// Duration of a lease.
    pub lease_ms: Duration,
    /// Own address for peers.
    pub address: SocketAddr,
    /// Addresses of the other entries.
    pub peers: Vec<SocketAddr>,
}
