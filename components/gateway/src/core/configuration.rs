//! Which configuration is in force.
//!
//! It never goes back. A process that starts knows no older one; if the store has come back from an
//! older copy, its peers may still have a newer configuration than the store, until the operator
//! writes it again.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::core::Core;
use crate::core::millis;
use crate::deployment::Configuration;
use crate::deployment::ConfigurationSource;
use crate::deployment::ConfigurationVersion;
use crate::log_event::LogEvent;

/// Time in which a process that starts hears its peers; more than the interval of their messages.
const PEERS_HEARD_MS: Duration = Duration::from_millis(800);
/// Longest time after its start for which a process waits for the configuration of its peers.
const LONGEST_WAIT_MS: Duration = Duration::from_secs(10);

/// Time for which peers have a newer configuration before that is logged.
const REPORTED_LAG_MS: Duration = Duration::from_secs(1);

/// What a process that starts knows of configurations that are not in force here yet.
#[derive(Debug, Default)]
pub(super) struct StartingConfiguration {
    is_store_restored: bool,
    /// Newest version that a peer has in force.
    of_peers: Option<ConfigurationVersion>,
    held: Option<(Rc<Configuration>, ConfigurationSource)>,
}

impl StartingConfiguration {
    pub(super) fn set_store_restored(&mut self) {
        self.is_store_restored = true;
    }

    /// Whether to wait for a newer configuration than that of the store.
    fn should_wait(&self, since_start: Duration, version: ConfigurationVersion) -> bool {
        if !self.is_store_restored || since_start >= LONGEST_WAIT_MS {
            return false;
        }
        self.of_peers
            .map_or(since_start < PEERS_HEARD_MS, |of_peers| of_peers > version)
    }
}

impl Core {
    /// Records the version of the configuration that a peer has in force.
    pub fn record_peer_configuration(
        &mut self,
        now: Instant,
        version: Option<ConfigurationVersion>,
    ) {
        self.starting.of_peers = self.starting.of_peers.max(version);
        let in_force = self.configuration.as_ref().map(|current| current.version);
        if version > in_force {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Newest version that this process or a peer is known to have in force.
    #[must_use]
    pub fn newest_configuration(&self) -> Option<ConfigurationVersion> {
        let in_force = self.configuration.as_ref().map(|current| current.version);
        in_force.max(self.starting.of_peers)
    }

    /// Logs once if peers have had a newer configuration for too long.
    fn report_lag(&mut self, now: Instant) {
        let (Some(since), Some(newest)) = (self.behind_since, self.starting.of_peers) else {
            return;
        };
        let behind = now.saturating_duration_since(since);
        if behind < REPORTED_LAG_MS || std::mem::replace(&mut self.is_lag_reported, true) {
            return;
        }
        self.log_events.push(LogEvent::ConfigurationBehind {
            in_force: self.configuration.as_ref().map(|current| current.version),
            newest,
            behind_ms: millis(behind),
        });
    }

    /// Applies a configuration that waits for those of the peers, once it is clear that they have
    /// none that is newer.
    pub(super) fn tick_configuration(&mut self, now: Instant) {
        if let Some((held, source)) = self.starting.held.take() {
            self.apply_configuration(now, held, source);
        }
        self.report_lag(now);
    }

    pub(super) fn apply_configuration(
        &mut self,
        now: Instant,
        configuration: Rc<Configuration>,
        source: ConfigurationSource,
    ) {
        let before = self.configuration.as_ref().map(|current| current.version);
        let since_start = now.saturating_duration_since(self.started);
        if before.is_none()
            && self
                .starting
                .should_wait(since_start, configuration.version)
        {
            self.starting.held = Some((configuration, source));
            return;
        }
        self.starting.held = None;
        if let Some(in_force) = before
            && configuration.version <= in_force
        {
            if configuration.version < in_force {
                self.log_events.push(LogEvent::ConfigurationIgnored {
                    version: configuration.version,
                    in_force,
                });
            }
            return;
        }
        self.log_events.push(LogEvent::ConfigurationApplied {
            version: configuration.version,
            before,
            routes: configuration.routes.len(),
            source,
            behind_ms: self.behind_since.map(|since| {
                let behind = now.saturating_duration_since(since);
                millis(behind)
            }),
        });
        if self.starting.of_peers <= Some(configuration.version) {
            self.behind_since = None;
            self.is_lag_reported = false;
        }
        self.configuration = Some(configuration);
    }
}
