//! Host list whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use store::HostEntry;

/// Versions of the host list, from the visible one to the latest.
#[derive(Debug)]
pub(super) struct DelayedHostList {
    delay_ms: Duration,
    history: VecDeque<(Instant, Vec<HostEntry>)>,
}

impl DelayedHostList {
    /// Makes `hosts` visible at once, without the delay.
    pub(super) fn new(delay_ms: Duration, now: Instant, hosts: Vec<HostEntry>) -> Self {
        Self {
            delay_ms,
            history: VecDeque::from([(now, hosts)]),
        }
    }

    /// Replaces the list; the new one becomes visible after the delay.
    pub(super) fn set(&mut self, now: Instant, hosts: Vec<HostEntry>) {
        self.history.push_back((now, hosts));
    }

    /// The list as clients see it at `now`.
    pub(super) fn visible(&mut self, now: Instant) -> Vec<HostEntry> {
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= self.delay_ms)
        {
            self.history.pop_front();
        }
        self.history
            .front()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }
}
