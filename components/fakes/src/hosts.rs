//! Fake host list that shows changes late, omits running hosts or lists them as leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use store::HostEntry;
use store::HostState;
use types::HostName;

/// Fake host list.
#[derive(Debug, Default)]
pub struct FakeHosts {
    lag_ms: Duration,
    history: VecDeque<(Instant, BTreeMap<HostName, HostState>)>,
    missing: BTreeSet<HostName>,
    shown_leaving: BTreeSet<HostName>,
}

impl FakeHosts {
    /// An empty list. A change shows `lag_ms` after it was made.
    #[must_use]
    pub fn new(lag_ms: Duration) -> Self {
        Self {
            lag_ms,
            ..Self::default()
        }
    }

    /// Sets the state of a host; `None` removes the host.
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

    /// Sets whether the list omits a host, whatever its state.
    pub fn set_omitted(&mut self, host: &str, missing: bool) {
        if missing {
            self.missing.insert(host.to_owned());
        } else {
            self.missing.remove(host);
        }
    }

    /// Sets whether the list shows a host as leaving, whatever its state.
    pub fn set_shown_leaving(&mut self, host: &str, leaving: bool) {
        if leaving {
            self.shown_leaving.insert(host.to_owned());
        } else {
            self.shown_leaving.remove(host);
        }
    }

    /// The list that a reader gets at `now`.
    pub fn list(&mut self, now: Instant) -> Vec<HostEntry> {
        let is_shown = |at: Instant| at + self.lag_ms <= now;
        while self.history.get(1).is_some_and(|(at, _)| is_shown(*at)) {
            self.history.pop_front();
        }
        let Some((_, hosts)) = self.history.front().filter(|(at, _)| is_shown(*at)) else {
            return Vec::new();
        };
        hosts
            .iter()
            .filter(|(host, _)| !self.missing.contains(*host))
            .map(|(host, state)| HostEntry {
                host: host.clone(),
                state: if self.shown_leaving.contains(host) {
                    HostState::Leaving
                } else {
                    *state
                },
            })
            .collect()
    }
}
