//! Limits of connections.

use std::time::Duration;

/// Limits of a server, per connection unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections open at once; further ones get `503`.
    pub connections: usize,
    /// Largest head of a request.
    pub head_limit_bytes: usize,
    /// Most fields in a head.
    pub field_limit: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_ms: Duration,
    /// Longest time from the end of the head to the end of the body.
    pub body_ms: Duration,
    /// Longest time without a request.
    pub idle_ms: Duration,
    /// Longest time in which the peer accepts no byte of an answer.
    pub write_stall_ms: Duration,
    /// Bytes of bodies held at once, over all connections; a request whose body does not fit gets
    /// `503`. A body counts from its first byte to the end of its answer.
    pub held_bodies_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_limit_bytes: 16 << 10,
            field_limit: 64,
            head_ms: Duration::from_secs(10),
            body_ms: Duration::from_secs(30),
            idle_ms: Duration::from_secs(75),
            write_stall_ms: Duration::from_secs(30),
            held_bodies_bytes: 512 << 20,
        }
    }
}

/// Limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Idle connections kept for reuse.
    pub idle_connections: usize,
    /// Longest time that an idle connection is kept; below the server's own limit.
    pub idle_ms: Duration,
    /// Longest time to open a connection.
    pub connect_ms: Duration,
    /// Longest time to write the request and receive the head of the answer.
    pub head_ms: Duration,
    /// Longest time without a byte of the answer's body.
    pub stall_ms: Duration,
    /// Largest body that `send_whole` collects.
    pub body_limit_bytes: usize,
    /// Interval of TCP keepalive probes, which tell a peer that is gone from one that is slow.
    /// Without probes only `head_ms` and `stall_ms` end a wait.
    pub probe_ms: Option<Duration>,
    /// Accept bodies without announced length, which end with their connection.
    pub body_until_close: bool,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            idle_connections: 64,
            idle_ms: Duration::from_secs(30),
            connect_ms: Duration::from_secs(2),
            head_ms: Duration::from_secs(30),
            stall_ms: Duration::from_secs(30),
            body_limit_bytes: 64 << 20,
            probe_ms: None,
            body_until_close: false,
        }
    }
}
