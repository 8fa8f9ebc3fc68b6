//! Whether the peer of a connection is still heard.
//!
//! A connection can go silent for good while new ones work, so silence is found by heartbeats
//! and not by the operating system, and is answered by a new connection.

use std::time::Duration;
use std::time::Instant;

/// What to do on a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pulse {
    /// Nothing.
    Fine,
    /// Send a ping.
    Ping,
    /// Replace the connection.
    Silent,
}

/// Heartbeat state of one connection.
#[derive(Debug, Clone)]
pub struct Liveness {
    interval_ms: Duration,
    timeout_ms: Duration,
    heard: Instant,
    pinged: Option<Instant>,
}

impl Liveness {
    /// Pings after `interval_ms` without a frame; gives up after `timeout_ms`.
    #[must_use]
    pub fn new(now: Instant, interval_ms: Duration, timeout_ms: Duration) -> Self {
        Self {
            interval_ms,
            timeout_ms,
            heard: now,
            pinged: None,
        }
    }

    /// A frame arrived.
    pub fn heard(&mut self, now: Instant) {
        self.heard = now;
        self.pinged = None;
    }

    /// Called on every tick.
    pub fn tick(&mut self, now: Instant) -> Pulse {
        let quiet = now.saturating_duration_since(self.heard);
        if quiet >= self.timeout_ms {
            return Pulse::Silent;
        }
        let since_ping = self
            .pinged
            .map_or(quiet, |at| now.saturating_duration_since(at));
        if quiet >= self.interval_ms && since_ping >= self.interval_ms {
            self.pinged = Some(now);
            return Pulse::Ping;
        }
        Pulse::Fine
    }
}
