//! Heartbeats of a connection; silence is detected only while the connection is monitored.

use std::time::Instant;

use wire::Liveness;
use wire::liveness::HeartbeatAction;

use crate::core::links::LinkTimings;

/// Heartbeat state of a connection.
pub struct Keepalive {
    pub liveness: Liveness,
    pub last_heard_at: Instant,
    pub is_monitored: bool,
}

impl Keepalive {
    pub fn new(now: Instant, times: &LinkTimings) -> Self {
        Self {
            liveness: Liveness::new(now, times.heartbeat_ms, times.silence_ms),
            last_heard_at: now,
            is_monitored: false,
        }
    }

    /// Starts monitoring, with the silence limit counted from now, unless it is on already.
    pub fn start_monitoring(&mut self, now: Instant, times: &LinkTimings) {
        if !self.is_monitored {
            self.is_monitored = true;
            self.liveness = Liveness::new(now, times.heartbeat_ms, times.silence_ms);
        }
    }

    pub fn tick(&mut self, now: Instant, times: &LinkTimings) -> HeartbeatAction {
        if self.is_monitored {
            return self.liveness.due_action(now);
        }
        if now.saturating_duration_since(self.last_heard_at) < times.idle_ms {
            return HeartbeatAction::NoAction;
        }
        self.start_monitoring(now, times);
        HeartbeatAction::SendPing
    }
}
