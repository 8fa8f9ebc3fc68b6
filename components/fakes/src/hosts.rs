//! Host list that lags, and that can be wrong in both directions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use store::HostEntry;
use store::HostState;
use types::HostName;

/// The host list.
#[derive(Debug, Default)]
pub struct FakeHosts {
    lag_ms: Duration,
    history: VecDeque<(Instant, BTreeMap<HostName, HostState>)>,
    missing: BTreeSet<HostName>,
    named_leaving: BTreeSet<HostName>,
}

impl FakeHosts {
    /// An empty list that shows changes after `lag_ms`.
    #[must_use]
    pub fn new(lag_ms: Duration) -> Self {
        Self {
            lag_ms,
            ..Self::default()
        }
    }

    /// Sets the state of a host; `None` removes it.
    pub fn set(&mut self, now: Instant, host: &str, state: Option<HostState>) {
        let mut hosts = self
            .history
            .back()
            .map_or_else(BTreeMap::new, |(_, h)| h.clone());
        match state {
            Some(state) => hosts.insert(host.to_owned(), state),
            None => hosts.remove(host),
        };
        self.history.push_back((now, hosts));
    }

    /// Leaves a host out although it lives.
    pub fn set_missing(&mut self, host: &str, missing: bool) {
        if missing {
            self.missing.insert(host.to_owned());
        } else {
            self.missing.remove(host);
        }
    }

    /// Calls a host leaving although it stays.
    pub fn set_named_leaving(&mut self, host: &str, leaving: bool) {
        if leaving {
            self.named_leaving.insert(host.to_owned());
        } else {
            self.named_leaving.remove(host);
        }
    }

    /// The list as it is shown now.
    pub fn list(&mut self, now: Instant) -> Vec<HostEntry> {
        let shown = |at: Instant| at + self.lag_ms <= now;
        while self.history.get(1).is_some_and(|(at, _)| shown(*at)) {
            self.history.pop_front();
        }
        let Some((_, hosts)) = self.history.front().filter(|(at, _)| shown(*at)) else {
            return Vec::new();
        };
        hosts
            .iter()
            .filter(|(host, _)| !self.missing.contains(*host))
            .map(|(host, state)| HostEntry {
                host: host.clone(),
                state: if self.named_leaving.contains(host) {
                    HostState::Leaving
                } else {
                    *state
                },
            })
            .collect()
    }
}
