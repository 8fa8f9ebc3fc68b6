//! Which configuration is in force.
//!
//! It never goes back. A process that starts knows no older one; if the store has come back from an
//! older copy, its peers may still have a newer configuration than the store, until the operator
//! writes it again.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use freshness::Source;
use types::HostName;

use crate::core::Core;
use crate::core::millis;
use crate::deployment::Configuration;
use crate::deployment::ConfigurationSource;
use crate::deployment::ConfigurationVersion;
use crate::log_event::LogEvent;

/// Time in which a process that starts hears its peers; more than the interval of their messages.
const PEERS_HEARD_MS: Duration = Duration::from_millis(800);
/// The same if it has heard none yet, on a busy host or over lossy links.
const NO_PEER_HEARD_MS: Duration = Duration::from_secs(3);
/// Longest time after its start for which a process waits for the configuration of its peers.
const LONGEST_WAIT_MS: Duration = Duration::from_secs(10);

/// Time for which peers have a newer configuration before that is logged.
const REPORTED_LAG_MS: Duration = Duration::from_secs(1);

/// What a process that starts knows of configurations that are not in force here yet.
#[derive(Debug, Default)]
pub(super) struct StartingConfiguration {
    is_store_restored: bool,
    is_peer_heard: bool,
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
        let longest = if self.is_peer_heard {
            PEERS_HEARD_MS
        } else {
            NO_PEER_HEARD_MS
        };
        self.of_peers
            .map_or(since_start < longest, |of_peers| of_peers > version)
    }
}

impl Core {
    /// Records the configuration that a peer has in force, and the age of its view.
    pub fn record_peer_configuration(
        &mut self,
        now: Instant,
        host: &HostName,
        version: Option<ConfigurationVersion>,
        age: Option<Duration>,
    ) {
        self.starting.is_peer_heard = true;
        self.starting.of_peers = self.starting.of_peers.max(version);
        let version = version.unwrap_or_default();
        if version > self.view.newest() {
            self.newest_peer = Some(host.clone());
        }
        self.view.hear(now, version, age);
    }

    /// Age of this process's view of the configuration; `None` if it was never checked.
    #[must_use]
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        self.view.age(now)
    }

    /// The question about the configuration that is due now, if there is one.
    pub fn next_configuration_question(&mut self, now: Instant, host: &HostName) -> Option<Source> {
        self.view.next_question(now, self.fleet.peers.place(host))
    }

    /// Records the end of that question.
    pub fn configuration_answered(&mut self, now: Instant, host: &HostName, is_answered: bool) {
        let place = self.fleet.peers.place(host);
        self.view.answered(now, place, is_answered);
    }

    /// Peer that has a newer configuration than this process.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<&HostName> {
        let is_behind = self.view.newest() > self.view.applied();
        self.newest_peer.as_ref().filter(|_| is_behind)
    }

    /// Newest version that this process or a peer is known to have in force.
    #[must_use]
    pub fn newest_configuration(&self) -> Option<ConfigurationVersion> {
        Some(self.view.newest()).filter(|newest| *newest > 0)
    }

    /// Logs once if peers have had a newer configuration for too long.
    fn report_lag(&mut self, now: Instant) {
        let newest = self.view.newest();
        let Some(since) = self.view.behind_since().filter(|_| newest > 0) else {
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
            behind_ms: self
                .view
                .behind_since()
                .filter(|_| before.is_some())
                .map(|since| millis(now.saturating_duration_since(since))),
        });
        self.view.apply(now, configuration.version);
        self.is_lag_reported = false;
        self.configuration = Some(configuration);
    }
}
