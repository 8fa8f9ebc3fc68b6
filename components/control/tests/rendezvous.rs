//! Selection of the candidates for a lease.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use control::rendezvous::LEASE_CANDIDATES;
use control::rendezvous::is_lease_candidate;

fn candidates(scope: &str, entries: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let of = |own: &SocketAddr| {
        let peers: Vec<SocketAddr> = entries.iter().filter(|e| *e != own).copied().collect();
        is_lease_candidate(scope, *own, &peers)
    };
    entries.iter().filter(|own| of(own)).copied().collect()
}

fn addresses(ports: &[u16]) -> BTreeSet<SocketAddr> {
    let address = |port: &u16| SocketAddr::from(([10, 0, 0, 1], *port));
    ports.iter().map(address).collect()
}

/// Guards against a lease without candidates, and against a number of candidates, and so of reads,
/// that grows with the number of entries.
#[test]
fn has_the_stated_number_of_candidates_and_keeps_them_when_another_entry_leaves() {
    fn property(scope: String, ports: Vec<u16>, leaver: u16) -> bool {
        let mut entries = addresses(&ports);
        entries.insert(SocketAddr::from(([10, 0, 0, 1], leaver)));
        let before = candidates(&scope, &entries);
        let left = SocketAddr::from(([10, 0, 0, 1], leaver));
        entries.remove(&left);
        let after = candidates(&scope, &entries);
        let kept = before.iter().filter(|e| **e != left);
        before.len() == LEASE_CANDIDATES.min(entries.len() + 1)
            && after.len() == LEASE_CANDIDATES.min(entries.len())
            && kept.clone().all(|e| after.contains(e))
    }
    seeded::check().quickcheck(property as fn(String, Vec<u16>, u16) -> bool);
}

/// Guards against a few entries being candidates for most of the leases.
#[test]
fn spreads_scopes_over_entries() {
    let entries = addresses(&(0..30).collect::<Vec<u16>>());
    let mut scopes = std::collections::BTreeMap::new();
    for scope in 0..300 {
        for entry in candidates(&format!("mesa-{scope}"), &entries) {
            *scopes.entry(entry).or_insert(0) += 1;
        }
    }
    assert_eq!(scopes.len(), 30);
    // Each entry is expected to be a candidate for 30 scopes, with a standard deviation of 5.4.
    assert!(
        scopes.values().all(|count| (5..60).contains(count)),
        "{scopes:?}"
    );
}
