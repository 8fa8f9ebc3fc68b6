//! Other gateway processes: the load that they report, and how many share the deployment's limits.
//!
//! A peer that is not heard loses its load and its part in common duties after a short time. It
//! keeps its share of limits for longer: a process that is cut off goes on using its own.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use freshness::Place;
use types::HostName;

use crate::fleet::Load;
use crate::fleet::TargetKey;

/// Time without a message after which a peer and its load are dropped.
pub const PEER_TIMEOUT_MS: Duration = Duration::from_millis(1_500);
/// Time without a message after which a peer has no share of limits any more. Most partitions end
/// sooner; hosts that were replaced stop counting.
pub const SHARE_TIMEOUT_MS: Duration = Duration::from_mins(10);
/// Number of processes that poll the platform often; several, so that single ones may fail.
const POLLING_PROCESSES: usize = 3;

/// Load that a peer reports, by target.
pub(crate) type ReportedLoads = HashMap<TargetKey, Load>;

#[derive(Debug)]
struct Peer {
    /// Last message, or first listing if none has arrived.
    last_seen: Instant,
    /// `None` while the peer is not heard.
    loads: Option<ReportedLoads>,
}

/// The other gateway processes by host.
#[derive(Debug, Default)]
pub struct Peers {
    by_host: HashMap<HostName, Peer>,
}

impl Peers {
    /// Adds processes that the platform lists. A listing does not renew a known one, because hosts
    /// that were removed stay listed.
    pub fn list(&mut self, now: Instant, hosts: impl IntoIterator<Item = HostName>) {
        for host in hosts {
            self.by_host.entry(host).or_insert(Peer {
                last_seen: now,
                loads: None,
            });
        }
    }

    /// Records the load that a peer reports. Returns what it reported before.
    pub(crate) fn replace_loads(
        &mut self,
        now: Instant,
        host: &HostName,
        loads: ReportedLoads,
    ) -> ReportedLoads {
        let peer = Peer {
            last_seen: now,
            loads: Some(loads),
        };
        let before = self.by_host.insert(host.clone(), peer);
        before.and_then(|peer| peer.loads).unwrap_or_default()
    }

    /// Drops the loads of peers that timed out, and returns them.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<ReportedLoads> {
        let expired = self
            .by_host
            .values_mut()
            .filter(|peer| now.saturating_duration_since(peer.last_seen) > PEER_TIMEOUT_MS);
        expired.filter_map(|peer| peer.loads.take()).collect()
    }

    /// Number of peers that have not timed out.
    #[must_use]
    pub fn heard_count(&self) -> usize {
        self.heard().count()
    }

    /// Number of processes that share the deployment's limits, this one included.
    #[must_use]
    pub fn sharing_count(&self, now: Instant) -> usize {
        let peers = self.by_host.values();
        let sharing =
            peers.filter(|peer| now.saturating_duration_since(peer.last_seen) <= SHARE_TIMEOUT_MS);
        sharing.count() + 1
    }

    /// Whether the process on `host` polls the platform often: the first processes by host name do,
    /// of those that have not timed out.
    #[must_use]
    pub fn is_polling_process(&self, host: &HostName) -> bool {
        self.heard().filter(|peer| *peer < host).count() < POLLING_PROCESSES
    }

    /// Position of the process on `host` among those that have not timed out, by host name.
    #[must_use]
    pub fn place(&self, host: &HostName) -> Place {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Place {
            rank: count(self.heard().filter(|peer| *peer < host).count()),
            processes: count(self.heard_count() + 1),
        }
    }

    /// Hosts of the peers that have not timed out.
    pub fn heard(&self) -> impl Iterator<Item = &HostName> {
        let heard = self.by_host.iter().filter(|(_, peer)| peer.loads.is_some());
        heard.map(|(host, _)| host)
    }
}
