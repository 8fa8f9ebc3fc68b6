//! Options of the core.

use std::net::SocketAddr;
use std::time::Duration;

use control::FollowerOptions;

use crate::core::links::LinkTimings;

/// Options of an [`crate::core::EntryCore`].
#[derive(Debug, Clone)]
pub struct CoreOptions {
    /// Name of the entry in status reports.
    pub name: String,
    /// Settings of target selection.
    pub routing: routing::Settings,
    /// Options of the change-log follower.
    pub follower: FollowerOptions,
    /// Heartbeat, timeout and back-off times of connections to agents.
    pub links: LinkTimings,
    /// Number of targets of a service in the regular share of the entry; more if the rules of
    /// [`crate::core::share`] require them.
    pub share_targets: usize,
    /// Interval of probes to a target.
    pub probe_ms: Duration,
    /// Interval of reads of the host list.
    pub hosts_poll_ms: Duration,
    /// Time without renewal after which another entry may take a lease.
    pub lease_ms: Duration,
    /// Address on which other entries connect to this one.
    pub address: SocketAddr,
    /// Addresses of the other entries.
    pub peers: Vec<SocketAddr>,
}
