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

/// A probe of an entry that may have missed changes. Agents look for orders themselves when too
/// few probes state a head revision.
#[must_use]
pub fn without_head(datagram: Datagram) -> Datagram {
    match datagram {
        Datagram::Probe {
            entry, sequence, ..
        } => Datagram::Probe {
            entry,
            sequence,
            head: 0,
        },
        other => other,
    }
}

/// Probes of one target whose answers still count; older ones are taken for replays.
const OUTSTANDING_PROBES: usize = 4;

/// Peers that one announcement goes to. A new head is passed on by each of them, and the poll of
/// the table finds it within a second anyway.
const ANNOUNCED_PEERS: usize = 8;

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
    next_peer: usize,
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
            // Entries start at different peers.
            next_peer: usize::try_from(entry >> 32).unwrap_or(0),
            announced: 0,
        }
    }

    /// Sends what is due. A new head goes to some peers at once.
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

    /// Whether a probe of a target had no answer before the next one was sent.
    #[must_use]
    pub fn is_unanswered(&self, target: &str) -> bool {
        let probed = self.targets.get(target);
        probed.is_some_and(|probed| probed.outstanding.len() > 1)
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
        let count = self.peers.len().min(ANNOUNCED_PEERS);
        let first = self.next_peer;
        self.next_peer = first.wrapping_add(count);
        let peers = self.peers.iter().cycle();
        peers
            .skip(first.checked_rem(self.peers.len()).unwrap_or(0))
            .take(count)
            .map(|to| Outgoing {
                to: *to,
                datagram: datagram.clone(),
            })
            .collect()
    }
}
