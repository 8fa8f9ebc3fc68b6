//! Whether the other end of a connection is still heard, counted only while it matters.

use std::time::Instant;

use wire::Liveness;
use wire::liveness::Pulse;

use crate::core::links::LinkTimes;

/// Liveness of a connection in use.
pub struct Beat {
    pub liveness: Liveness,
    pub heard: Instant,
    pub is_watched: bool,
}

impl Beat {
    pub fn new(now: Instant, times: &LinkTimes) -> Self {
        Self {
            liveness: Liveness::new(now, times.heartbeat_ms, times.silence_ms),
            heard: now,
            is_watched: false,
        }
    }

    /// Counts silence from now on, unless it is counted already.
    pub fn watch(&mut self, now: Instant, times: &LinkTimes) {
        if !self.is_watched {
            self.is_watched = true;
            self.liveness = Liveness::new(now, times.heartbeat_ms, times.silence_ms);
        }
    }

    pub fn tick(&mut self, now: Instant, times: &LinkTimes) -> Pulse {
        if self.is_watched {
            return self.liveness.tick(now);
        }
        if now.saturating_duration_since(self.heard) < times.idle_ms {
            return Pulse::Fine;
        }
        self.watch(now, times);
        Pulse::Ping
    }
}
