//! UDP datagrams: heartbeats with load reports, and announcements of new revisions.
//!
//! Datagrams may be lost, duplicated or reordered. Each one is therefore self-contained, and
//! fields whose stale values must be ignored carry a monotonically increasing number.

use serde::Deserialize;
use serde::Serialize;
use types::Incarnation;
use types::LoadReport;
use types::Revision;
use types::TargetName;

use crate::PROTOCOL_VERSION;
use crate::error::WireError;
use crate::keys::Keyring;
use crate::keys::MAC_BYTES;

/// Maximum size of a datagram; fits into an Ethernet frame without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Protocol version, key id and MAC.
const HEADER_BYTES: usize = 2 + 1 + MAC_BYTES;

/// Payload of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Heartbeat request from an entry to an agent.
    Probe {
        /// Incarnation of the entry.
        entry: Incarnation,
        /// Increases with every probe.
        sequence: u64,
        /// Latest revision that the entry knows.
        head: Revision,
    },
    /// Answer of an agent to a probe.
    Alive {
        /// Target that the agent manages.
        target: TargetName,
        /// Sequence number of the probe.
        sequence: u64,
        /// Current load.
        load: LoadReport,
    },
    /// Announcement of an entry's latest revision to another entry.
    Head {
        /// Incarnation of the entry.
        entry: Incarnation,
        /// Latest revision that the entry has applied.
        head: Revision,
    },
}

impl Datagram {
    /// Encodes and signs the datagram.
    ///
    /// # Errors
    ///
    /// Returns `TooLong` if the datagram exceeds `MAX_DATAGRAM_BYTES`.
    pub fn encode(&self, keys: &Keyring) -> Result<Vec<u8>, WireError> {
        let payload = postcard::to_stdvec(self).map_err(|_| WireError::Malformed)?;
        let bytes = HEADER_BYTES + payload.len();
        if bytes > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong {
                bytes,
                limit_bytes: MAX_DATAGRAM_BYTES,
            });
        }
        let mut out = Vec::with_capacity(bytes);
        out.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        out.push(keys.signing_id());
        let tag = keys.sign(&[&out, &payload]);
        out.extend_from_slice(&tag);
        out.extend_from_slice(&payload);
        Ok(out)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is invalid and must be dropped.
    pub fn decode(bytes: &[u8], keys: &Keyring) -> Result<Self, WireError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong {
                bytes: bytes.len(),
                limit_bytes: MAX_DATAGRAM_BYTES,
            });
        }
        if bytes.len() < HEADER_BYTES {
            return Err(WireError::Truncated);
        }
        let version = u16::from_le_bytes([bytes[0], bytes[1]]);
        if version != PROTOCOL_VERSION {
            return Err(WireError::Version(version));
        }
        let (header, rest) = bytes.split_at(HEADER_BYTES - MAC_BYTES);
        let (tag, payload) = rest.split_at(MAC_BYTES);
        keys.verify(header[2], &[header, payload], tag)?;
        postcard::from_bytes(payload).map_err(|_| WireError::Malformed)
    }
}
