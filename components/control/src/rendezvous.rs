//! Rendezvous hashing: every process that knows the same members ranks them in the same order
//! for a key, and a member that comes or goes changes the best few of a key only by itself.

use std::net::SocketAddr;

/// Entries that compete for a lease; the row outlives two failures at once without a wait.
pub const LEASE_CANDIDATES: usize = 3;

/// Digest of a name, equal on every host and in every version.
#[must_use]
pub fn digest(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Rank of a member for a key, by their digests; the highest is the best.
#[must_use]
pub fn score(key: u64, member: u64) -> u64 {
    mix(key ^ mix(member))
}

/// Whether this entry is one of those that compete for the lease of a scope. `peers` holds the
/// addresses of the other entries.
#[must_use]
pub fn is_lease_candidate(scope: &str, own: SocketAddr, peers: &[SocketAddr]) -> bool {
    let key = digest(scope);
    let rank = |address: &SocketAddr| (score(key, digest(&address.to_string())), *address);
    let mine = rank(&own);
    let better = peers
        .iter()
        .filter(|peer| **peer != own && rank(peer) > mine);
    better.count() < LEASE_CANDIDATES
}

/// Finalizer of `MurmurHash3`: every bit of the input changes half of the output.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
