//! Whether entries announce orders to this agent, so that it need not look for them itself.
//!
//! An entry whose probe states a head revision has lately read the table and applied every
//! change. It sends a hint for each order over its connection, and again on a new one while the
//! order is outstanding.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use types::Incarnation;
use types::Revision;

use crate::event::ConnectionId;

/// Entries that have to announce orders. With one, its failure would be noticed late only.
const COVERING_ENTRIES: usize = 2;
/// Time that a probe counts. Together with the 2 s that an entry takes itself for current it is
/// below the 5 s after which a leaving target may get no new work.
const PROBE_COUNTS_MS: Duration = Duration::from_secs(2);

/// Entries with a connection, and their latest probes.
#[derive(Debug, Default)]
pub struct Cover {
    connections: BTreeMap<ConnectionId, Incarnation>,
    probes: BTreeMap<Incarnation, Probe>,
}

#[derive(Debug)]
struct Probe {
    sequence: u64,
    at: Instant,
    is_current: bool,
}

impl Cover {
    /// An entry said `Hello` on a connection.
    pub fn connected(&mut self, connection: ConnectionId, entry: Incarnation) {
        self.connections.insert(connection, entry);
    }

    /// A connection ended.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        if let Some(entry) = self.connections.remove(&connection)
            && !self.is_connected(entry)
        {
            self.probes.remove(&entry);
        }
    }

    /// An entry probed. A datagram that was repeated or overtaken by a later one is ignored.
    pub fn probed(&mut self, now: Instant, entry: Incarnation, sequence: u64, head: Revision) {
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

    /// Whether orders are announced.
    #[must_use]
    pub fn is_covered(&self, now: Instant) -> bool {
        let counts = |probe: &&Probe| {
            probe.is_current && now.saturating_duration_since(probe.at) < PROBE_COUNTS_MS
        };
        self.probes.values().filter(counts).count() >= COVERING_ENTRIES
    }

    fn is_connected(&self, entry: Incarnation) -> bool {
        self.connections.values().any(|at| *at == entry)
    }
}
