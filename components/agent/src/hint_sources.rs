//! Tracks which entries send hints about new orders, so that the agent can poll the table less
//! often.
//!
//! An entry whose probe states a head revision has recently read the table and applied every
//! change. It sends a hint for each order over its connection, and repeats it on a new connection
//! while the order is outstanding.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::Revision;

use crate::event::ConnectionId;

/// Entries that must send hints. With only one, its failure would go unnoticed until the probe
/// expires.
const MIN_HINT_SOURCES: usize = 2;
/// How long a probe is valid. Together with the 2 s for which an entry considers itself current,
/// this stays below the 5 s after which a leaving target may get no new work.
const PROBE_VALIDITY_MS: Duration = Duration::from_secs(2);

/// Connected entries and their latest probes.
#[derive(Debug, Default)]
pub struct HintSources {
    connections: BTreeMap<ConnectionId, Incarnation>,
    probes: BTreeMap<Incarnation, Probe>,
}

#[derive(Debug)]
struct Probe {
    sequence: u64,
    at: Instant,
    is_current: bool,
}

impl HintSources {
    /// Registers an entry that has sent `Hello`.
    pub fn connected(&mut self, connection: ConnectionId, entry: Incarnation) {
        self.connections.insert(connection, entry);
    }

    /// Removes a connection, and the probe of its entry if that has no other connection.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        if let Some(entry) = self.connections.remove(&connection)
            && !self.is_connected(entry)
        {
            self.probes.remove(&entry);
        }
    }

    /// Records a probe. Duplicate and reordered datagrams are ignored.
    pub fn record_probe(
        &mut self,
        now: Instant,
        entry: Incarnation,
        sequence: u64,
        head: Revision,
    ) {
        let latest = self.probes.get(&entry);
        if !self.is_connected(entry) || latest.is_some_and(|probe| probe.sequence >= sequence) {
            return;
        }
        let probe = Probe {
            sequence,
            at: now,
            is_current: head > 0,
        };
        self.probes.insert(entry, probe);
    }

    /// Whether enough connected entries send hints.
    #[must_use]
    pub fn has_enough(&self, now: Instant) -> bool {
        let is_valid = |probe: &&Probe| {
            probe.is_current && now.saturating_duration_since(probe.at) < PROBE_VALIDITY_MS
        };
        self.probes.values().filter(is_valid).count() >= MIN_HINT_SOURCES
    }

    fn is_connected(&self, entry: Incarnation) -> bool {
        self.connections.values().any(|at| *at == entry)
    }
}
