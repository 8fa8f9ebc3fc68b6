//! Which processes hold the entry of a stream.

use std::cmp::Reverse;

use smallvec::SmallVec;
use types::HostName;

/// Id of a stream, derived from that of the request that brought its first event.
pub type StreamKey = u64;

/// Processes that hold an entry, besides the one that made it; two of them may be lost.
const HOLDERS: usize = 3;
/// Processes that are asked for an entry; more than hold it, as those that are heard may differ.
const ASKED: usize = 8;

/// Key of the stream that began with a request.
#[must_use]
pub fn stream_key(request: &str) -> StreamKey {
    hash(&[request.as_bytes()])
}

/// Processes that hold the entry of a stream, of those in `hosts`.
pub fn holders<'a>(
    key: StreamKey,
    hosts: impl IntoIterator<Item = &'a HostName>,
) -> SmallVec<[&'a HostName; HOLDERS]> {
    ranked(key, hosts).into_iter().take(HOLDERS).collect()
}

/// Processes to ask for the entry of a stream, of those in `hosts`.
pub fn asked<'a>(
    key: StreamKey,
    hosts: impl IntoIterator<Item = &'a HostName>,
) -> SmallVec<[&'a HostName; ASKED]> {
    ranked(key, hosts).into_iter().take(ASKED).collect()
}

fn ranked<'a>(key: StreamKey, hosts: impl IntoIterator<Item = &'a HostName>) -> Vec<&'a HostName> {
    let mut hosts: Vec<&HostName> = hosts.into_iter().collect();
    hosts.sort_by_cached_key(|host| Reverse(hash(&[&key.to_le_bytes(), host.as_bytes()])));
    hosts
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
