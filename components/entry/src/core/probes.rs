//! When to send which datagram: probes to agents and the head revision to other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use types::Incarnation;
use types::Revision;
use types::TargetName;
use wire::Datagram;

/// A datagram to send.
#[derive(Debug, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub datagram: Datagram,
}

/// Probes of one target whose answers still count; older ones are taken for replays.
const OUTSTANDING_PROBES: usize = 4;

struct Probed {
    due: Instant,
    outstanding: SmallVec<[u64; OUTSTANDING_PROBES]>,
}

/// Schedule of outgoing datagrams.
pub struct Probes {
    entry: Incarnation,
    interval_ms: Duration,
    sequence: u64,
    targets: BTreeMap<TargetName, Probed>,
    peers: Vec<SocketAddr>,
    peers_due: Instant,
    announced: Revision,
}

impl Probes {
    /// Starts with the addresses of the other entries.
    #[must_use]
    pub fn new(
        now: Instant,
        entry: Incarnation,
        interval_ms: Duration,
        peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            entry,
            interval_ms,
            // Answers to probes of an earlier run of this entry must not count.
            sequence: entry >> 1,
            targets: BTreeMap::new(),
            peers,
            peers_due: now,
            announced: 0,
        }
    }

    /// Sends what is due. A new head goes to all peers at once.
    pub fn tick<'a>(
        &mut self,
        now: Instant,
        head: Revision,
        targets: impl Iterator<Item = (&'a TargetName, SocketAddr)>,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let mut present = 0;
        for (target, to) in targets {
            present += 1;
            if let Some(sequence) = self.next_probe(now, target) {
                let datagram = Datagram::Probe {
                    entry: self.entry,
                    sequence,
                    head,
                };
                outgoing.push(Outgoing { to, datagram });
            }
        }
        if self.targets.len() > present {
            let interval_ms = self.interval_ms;
            self.targets
                .retain(|_, probed| probed.due + interval_ms > now);
        }
        outgoing.extend(self.announce(now, head));
        outgoing
    }

    /// Whether an answer belongs to a probe that was sent lately and not answered before.
    pub fn answered(&mut self, target: &str, sequence: u64) -> bool {
        let Some(probed) = self.targets.get_mut(target) else {
            return false;
        };
        let expected = probed.outstanding.contains(&sequence);
        if expected {
            probed.outstanding.retain(|sent| *sent > sequence);
        }
        expected
    }

    fn next_probe(&mut self, now: Instant, target: &TargetName) -> Option<u64> {
        let probed = self
            .targets
            .entry(target.clone())
            .or_insert_with(|| Probed {
                due: now,
                outstanding: SmallVec::new(),
            });
        if probed.due > now {
            return None;
        }
        probed.due = now + self.interval_ms;
        self.sequence += 1;
        if probed.outstanding.len() == OUTSTANDING_PROBES {
            probed.outstanding.remove(0);
        }
        probed.outstanding.push(self.sequence);
        Some(self.sequence)
    }

    fn announce(&mut self, now: Instant, head: Revision) -> Vec<Outgoing> {
        if head <= self.announced && now < self.peers_due {
            return Vec::new();
        }
        self.announced = head;
        self.peers_due = now + self.interval_ms;
        let datagram = Datagram::Head {
            entry: self.entry,
            head,
        };
        self.peers
            .iter()
            .map(|to| Outgoing {
                to: *to,
                datagram: datagram.clone(),
            })
            .collect()
    }
}
