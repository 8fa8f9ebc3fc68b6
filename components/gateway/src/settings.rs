//! Settings of a gateway process.

use std::net::SocketAddr;
use std::time::Duration;

use types::DataCentre;
use types::HostName;

use crate::retries::RetryAllowance;

/// Settings that differ between processes or deployments.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host, unique within the deployment.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// Listen address for scrapes of the metrics.
    pub metrics: SocketAddr,
    /// Address on which datagrams of peers are received.
    pub peers: SocketAddr,
    /// Memory available to the process.
    pub memory_bytes: u64,
    /// File descriptors available for sockets.
    pub socket_limit: usize,
    /// Retries that services allow.
    pub retries: RetryAllowance,
    /// Lower bound on the number of processes that the allowance is divided by.
    pub min_processes: usize,
    /// Time between the stop signal and the end of the process.
    pub stop_grace_ms: Duration,
}
