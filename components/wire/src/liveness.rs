//! Heartbeats that detect unresponsive connections.
//!
//! A connection can stop delivering data permanently while new connections to the same peer work,
//! and the operating system may not report this. Silence is therefore detected by heartbeats, and
//! the connection is replaced by a new one.

use std::time::Duration;
use std::time::Instant;

/// Action that the heartbeat state of a connection requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// No action.
    NoAction,
    /// Send a ping.
    SendPing,
    /// The connection timed out; replace it.
    TimedOut,
}

/// Heartbeat state of one connection.
#[derive(Debug, Clone)]
pub struct Liveness {
    interval_ms: Duration,
    timeout_ms: Duration,
    last_received_at: Instant,
    last_ping_at: Option<Instant>,
}

impl Liveness {
    /// Requires a ping for every `interval_ms` without a received frame, and replacement of the
    /// connection after `timeout_ms`.
    #[must_use]
    pub fn new(now: Instant, interval_ms: Duration, timeout_ms: Duration) -> Self {
        Self {
            interval_ms,
            timeout_ms,
            last_received_at: now,
            last_ping_at: None,
        }
    }

    /// Records that a frame was received.
    pub fn record_received(&mut self, now: Instant) {
        self.last_received_at = now;
        self.last_ping_at = None;
    }

    /// Returns the action that is due; call this periodically.
    pub fn due_action(&mut self, now: Instant) -> HeartbeatAction {
        let silence = now.saturating_duration_since(self.last_received_at);
        if silence >= self.timeout_ms {
            return HeartbeatAction::TimedOut;
        }
        let since_ping = self
            .last_ping_at
            .map_or(silence, |at| now.saturating_duration_since(at));
        if silence >= self.interval_ms && since_ping >= self.interval_ms {
            self.last_ping_at = Some(now);
            return HeartbeatAction::SendPing;
        }
        HeartbeatAction::NoAction
    }
}
