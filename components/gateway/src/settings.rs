//! Settings of a gateway process.

use std::net::SocketAddr;
use std::time::Duration;

use types::HostName;
use types::Place;

use crate::repeats::RepeatAllowance;

/// Everything that differs between processes or deployments.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Host, unique within the deployment.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: Place,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer asks whether the process takes callers.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where datagrams of peers arrive.
    pub peers: SocketAddr,
    /// Memory of the process.
    pub memory_bytes: u64,
    /// Descriptors for sockets.
    pub socket_limit: usize,
    /// Repeats that services allow.
    pub repeats: RepeatAllowance,
    /// Least number of processes that are taken to share an allowance.
    pub least_processes: usize,
    /// Time between the signal to stop and the end of the process.
    pub stop_grace_ms: Duration,
}
