//! Rendezvous hashing: processes that know the same members rank them in the same order for a key,
//! and a member that joins or leaves does not change the order of the others.

use std::net::SocketAddr;

/// Number of entries that compete for a lease. With three, a lease is taken over without waiting
/// for an observer even if two of them fail at once.
pub const LEASE_CANDIDATES: usize = 3;

/// Digest of a name; the same on every host and in every version.
#[must_use]
pub fn digest(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Score of a member for a key, both given as digests; the member with the highest score is first.
#[must_use]
pub fn score(key: u64, member: u64) -> u64 {
    finalize(key ^ finalize(member))
}

/// Whether the entry with the address `own` competes for the lease of a scope. `peers` are the
/// addresses of the other entries.
#[must_use]
pub fn is_lease_candidate(scope: &str, own: SocketAddr, peers: &[SocketAddr]) -> bool {
    let key = digest(scope);
    let rank = |address: &SocketAddr| (score(key, digest(&address.to_string())), *address);
    let own_rank = rank(&own);
    let higher = peers
        .iter()
        .filter(|peer| **peer != own && rank(peer) > own_rank);
    higher.count() < LEASE_CANDIDATES
}

/// 64-bit finalizer of `MurmurHash3`: each input bit changes half of the output bits on average.
fn finalize(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
