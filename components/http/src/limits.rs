//! Limits of server and client connections.

use std::time::Duration;

/// Limits of a server, per connection unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Most open connections of the server; further ones get `503`.
    pub connections: usize,
    /// Largest request head.
    pub head_limit_bytes: usize,
    /// Most header fields in a request head.
    pub field_limit: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_ms: Duration,
    /// Longest time from the end of the head to the end of the body.
    pub body_ms: Duration,
    /// Longest time between requests.
    pub idle_ms: Duration,
    /// Longest time for which the peer accepts no bytes of a response.
    pub write_stall_ms: Duration,
    /// Most bytes of request bodies buffered by all connections together; a request that exceeds
    /// it gets `503`. A body counts from its first byte until its response is complete.
    pub buffered_bodies_limit_bytes: usize,
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
            buffered_bodies_limit_bytes: 512 << 20,
        }
    }
}

/// Limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most idle connections in the pool.
    pub idle_connections: usize,
    /// Longest time that a connection stays idle in the pool; shorter than the server's idle
    /// timeout.
    pub idle_ms: Duration,
    /// Timeout for opening a connection.
    pub connect_ms: Duration,
    /// Timeout for writing the request and receiving the head of the response.
    pub head_ms: Duration,
    /// Longest time without a byte of the response body.
    pub stall_ms: Duration,
    /// Longest time for a response body that is buffered. One that arrives byte by byte never stalls
    /// for `stall_ms`.
    pub body_ms: Duration,
    /// Largest response body that `send_buffered` buffers.
    pub body_limit_bytes: usize,
    /// Interval of TCP keepalive probes, which distinguish an unreachable peer from a slow one.
    /// With `None` only `head_ms` and `stall_ms` limit the wait for a peer.
    pub keepalive_ms: Option<Duration>,
    /// Accept response bodies that end when the connection closes, without `Content-Length` or
    /// chunked encoding.
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
            body_ms: Duration::from_mins(2),
            body_limit_bytes: 64 << 20,
            keepalive_ms: None,
            body_until_close: false,
        }
    }
}
