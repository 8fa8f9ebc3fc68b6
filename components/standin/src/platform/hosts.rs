//! Host list that lags.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use store::HostEntry;

/// The true list over time, as far back as it still shows.
#[derive(Debug)]
pub(super) struct LaggingHosts {
    lag_ms: Duration,
    history: VecDeque<(Instant, Vec<HostEntry>)>,
}

impl LaggingHosts {
    /// Shows `hosts` from the start.
    pub(super) fn new(lag_ms: Duration, now: Instant, hosts: Vec<HostEntry>) -> Self {
        Self {
            lag_ms,
            history: VecDeque::from([(now, hosts)]),
        }
    }

    /// Replaces the true list.
    pub(super) fn set(&mut self, now: Instant, hosts: Vec<HostEntry>) {
        self.history.push_back((now, hosts));
    }

    /// The list as it was before the lag.
    pub(super) fn shown(&mut self, now: Instant) -> Vec<HostEntry> {
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= self.lag_ms)
        {
            self.history.pop_front();
        }
        self.history
            .front()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }
}
