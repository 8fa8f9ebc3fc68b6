//! UDP datagrams: heartbeats with load, and news of newer revisions.
//!
//! Datagrams may be lost, repeated or reordered, so each one is complete in itself and every
//! field that must not go back carries a number that only grows.

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

/// Largest datagram; fits an Ethernet frame without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const HEADER_BYTES: usize = 2 + 1 + MAC_BYTES;

/// Message in one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Entry asks an agent for a sign of life.
    Probe {
        /// Run of the entry.
        entry: Incarnation,
        /// Grows with every probe.
        sequence: u64,
        /// Head revision that the entry knows.
        head: Revision,
    },
    /// Agent answers a probe.
    Alive {
        /// Target that the agent serves.
        target: TargetName,
        /// Sequence of the probe answered.
        sequence: u64,
        /// Load now.
        load: LoadReport,
    },
    /// Entry tells another entry its head revision.
    Head {
        /// Run of the entry.
        entry: Incarnation,
        /// Head revision that it has applied.
        head: Revision,
    },
}

impl Datagram {
    /// Encodes and signs.
    ///
    /// # Errors
    ///
    /// `TooLong` beyond `MAX_DATAGRAM_BYTES`.
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

    /// Checks and decodes.
    ///
    /// # Errors
    ///
    /// Says what is wrong; the datagram is then dropped.
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
