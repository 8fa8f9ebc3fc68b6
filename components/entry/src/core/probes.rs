//! When to send which datagram: probes to agents and the head revision to other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

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

/// Schedule of outgoing datagrams.
pub struct Probes {
    entry: Incarnation,
    interval_ms: Duration,
    sequence: u64,
    due: BTreeMap<TargetName, Instant>,
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
            sequence: 0,
            due: BTreeMap::new(),
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
        let mut seen = 0;
        for (target, to) in targets {
            seen += 1;
            let due = self.due.entry(target.clone()).or_insert(now);
            if *due > now {
                continue;
            }
            *due = now + self.interval_ms;
            self.sequence += 1;
            outgoing.push(Outgoing {
                to,
                datagram: Datagram::Probe {
                    entry: self.entry,
                    sequence: self.sequence,
                    head,
                },
            });
        }
        if self.due.len() > seen {
            self.due.retain(|_, due| *due + self.interval_ms > now);
        }
        outgoing.extend(self.announce(now, head));
        outgoing
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
