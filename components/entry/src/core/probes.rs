//! Schedule of datagrams: probes to agents and announcements of the head revision to entries.

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
pub struct OutgoingDatagram {
    /// Address of an agent or another entry.
    pub to: SocketAddr,
    /// A probe or an announcement.
    pub datagram: Datagram,
}

/// Clears the head revision of a probe, for an entry that may have missed changes. Agents poll the
/// table for orders when too few probes state a head revision.
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

/// Maximum number of unanswered probes per target; answers to older ones count as replays.
const MAX_OUTSTANDING_PROBES: usize = 4;

/// Peers per announcement. Each of them announces a new head in turn, and the others find it by
/// polling the table within a second.
const ANNOUNCEMENT_FANOUT: usize = 8;

struct ProbeState {
    next_probe_at: Instant,
    outstanding: SmallVec<[u64; MAX_OUTSTANDING_PROBES]>,
}

/// Schedule of probes and announcements.
pub struct Probes {
    entry: Incarnation,
    interval_ms: Duration,
    sequence: u64,
    targets: BTreeMap<TargetName, ProbeState>,
    peers: Vec<SocketAddr>,
    next_announcement_at: Instant,
    next_peer: usize,
    announced_head: Revision,
}

impl Probes {
    /// Creates a schedule without targets. `peers` are the addresses of the other entries.
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
            // Differs between runs, so that answers to probes of an earlier run are not accepted.
            sequence: entry >> 1,
            targets: BTreeMap::new(),
            peers,
            next_announcement_at: now,
            // Random, so that entries start at different peers.
            next_peer: usize::try_from(entry >> 32).unwrap_or(0),
            announced_head: 0,
        }
    }

    /// Returns the datagrams that are due. A new head is announced to some peers at once.
    pub fn tick<'a>(
        &mut self,
        now: Instant,
        head: Revision,
        targets: impl Iterator<Item = (&'a TargetName, SocketAddr)>,
    ) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        let mut target_count = 0;
        for (target, to) in targets {
            target_count += 1;
            if let Some(sequence) = self.next_probe(now, target) {
                let datagram = Datagram::Probe {
                    entry: self.entry,
                    sequence,
                    head,
                };
                outgoing.push(OutgoingDatagram { to, datagram });
            }
        }
        if self.targets.len() > target_count {
            let interval_ms = self.interval_ms;
            self.targets
                .retain(|_, state| state.next_probe_at + interval_ms > now);
        }
        outgoing.extend(self.announce(now, head));
        outgoing
    }

    /// Accepts an answer to one of the latest probes, once. All earlier probes then count as
    /// answered too.
    pub fn accept_answer(&mut self, target: &str, sequence: u64) -> bool {
        let Some(state) = self.targets.get_mut(target) else {
            return false;
        };
        let is_expected = state.outstanding.contains(&sequence);
        if is_expected {
            state.outstanding.retain(|sent| *sent > sequence);
        }
        is_expected
    }

    /// Whether a probe was unanswered when the next one was sent.
    #[must_use]
    pub fn is_unanswered(&self, target: &str) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| state.outstanding.len() > 1)
    }

    fn next_probe(&mut self, now: Instant, target: &TargetName) -> Option<u64> {
        let state = self
            .targets
            .entry(target.clone())
            .or_insert_with(|| ProbeState {
                next_probe_at: now,
                outstanding: SmallVec::new(),
            });
        if state.next_probe_at > now {
            return None;
        }
        state.next_probe_at = now + self.interval_ms;
        self.sequence += 1;
        if state.outstanding.len() == MAX_OUTSTANDING_PROBES {
            state.outstanding.remove(0);
        }
        state.outstanding.push(self.sequence);
        Some(self.sequence)
    }

    fn announce(&mut self, now: Instant, head: Revision) -> Vec<OutgoingDatagram> {
        if head <= self.announced_head && now < self.next_announcement_at {
            return Vec::new();
        }
        self.announced_head = head;
        self.next_announcement_at = now + self.interval_ms;
        let datagram = Datagram::Head {
            entry: self.entry,
            head,
        };
        let count = self.peers.len().min(ANNOUNCEMENT_FANOUT);
        let first = self.next_peer;
        self.next_peer = first.wrapping_add(count);
        let peers = self.peers.iter().cycle();
        peers
            .skip(first.checked_rem(self.peers.len()).unwrap_or(0))
            .take(count)
            .map(|to| OutgoingDatagram {
                to: *to,
                datagram: datagram.clone(),
            })
            .collect()
    }
}
