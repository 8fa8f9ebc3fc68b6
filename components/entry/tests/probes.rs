//! Schedule of probes and announcements.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use entry::core::probes::OutgoingDatagram;
use entry::core::probes::Probes;
use wire::Datagram;

const INTERVAL: Duration = Duration::from_millis(500);
const ENTRY: u64 = 1 << 40;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn sequences(outgoing: &[OutgoingDatagram]) -> Vec<u64> {
    outgoing
        .iter()
        .filter_map(|out| match out.datagram {
            Datagram::Probe { sequence, .. } => Some(sequence),
            _ => None,
        })
        .collect()
}

/// A replayed or delayed datagram must not make an unreachable target appear alive.
#[test]
fn accepts_each_answer_once_and_only_of_recent_probes() {
    let target = "engine-0".to_owned();
    let mut now = Instant::now();
    let mut probes = Probes::new(now, ENTRY, INTERVAL, Vec::new());
    let mut sent = Vec::new();
    for _ in 0..8 {
        let outgoing = probes.tick(now, 0, [(&target, address(1))].into_iter());
        sent.extend(sequences(&outgoing));
        now += INTERVAL;
    }
    assert_eq!(sent.len(), 8);
    assert!(!probes.accept_answer(&target, sent[0]), "too old");
    assert!(probes.accept_answer(&target, sent[6]));
    assert!(!probes.accept_answer(&target, sent[6]), "replayed");
    assert!(
        !probes.accept_answer(&target, sent[5]),
        "older than one answered"
    );
    assert!(!probes.accept_answer(&target, sent[7] + 1), "never sent");
    assert!(!probes.accept_answer("engine-1", sent[7]), "another target");
    assert!(probes.accept_answer(&target, sent[7]));
}

/// Guards against announcements whose number grows with that of entries, and against entries
/// that get none.
#[test]
fn announces_to_eight_peers_at_a_time_and_to_all_in_turn() {
    let mut now = Instant::now();
    let peers: Vec<SocketAddr> = (0..379).map(address).collect();
    let mut probes = Probes::new(now, u64::MAX, INTERVAL, peers.clone());
    let mut announced_to = std::collections::BTreeSet::new();
    for _ in 0..48 {
        let outgoing = probes.tick(now, 1, std::iter::empty());
        assert_eq!(outgoing.len(), 8);
        announced_to.extend(outgoing.into_iter().map(|out| out.to));
        now += INTERVAL;
    }
    assert_eq!(announced_to.len(), peers.len());
}

/// Guards against other entries that apply new configuration only at their next poll.
#[test]
fn announces_a_new_head_at_once_and_an_old_one_at_the_interval() {
    let now = Instant::now();
    let mut probes = Probes::new(now, ENTRY, INTERVAL, vec![address(1), address(2)]);
    let no_targets = || std::iter::empty();
    assert_eq!(probes.tick(now, 1, no_targets()).len(), 2);
    assert_eq!(probes.tick(now, 1, no_targets()).len(), 0);
    assert_eq!(probes.tick(now, 2, no_targets()).len(), 2);
    assert_eq!(probes.tick(now + INTERVAL, 2, no_targets()).len(), 2);
}
