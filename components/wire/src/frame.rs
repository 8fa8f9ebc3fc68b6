//! Frames on a TCP connection.
//!
//! Layout: length `u32` (of everything after it), version `u16`, key id `u8`, sequence number
//! `u64`, MAC, payload; integers are little endian. The MAC covers the header, the payload, the
//! direction, and a nonce that both ends agree on when the connection is opened. A frame can
//! therefore be neither replayed on another connection nor reordered within one.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PROTOCOL_VERSION;
use crate::error::WireError;
use crate::keys::Keyring;
use crate::keys::MAC_BYTES;

/// Maximum length of a frame, without its length prefix. Longer request bodies are sent in several
/// frames.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the length prefix.
const PREFIX_BYTES: usize = 4;
/// Protocol version, key id, sequence number and MAC.
const HEADER_BYTES: usize = 2 + 1 + 8 + MAC_BYTES;
/// Nonce of a connection: 16 bytes from each end, those of the opener first.
pub type ConnectionNonce = [u8; 32];

/// Encodes the messages of one direction of a connection.
pub struct FrameWriter {
    keys: Keyring,
    nonce: ConnectionNonce,
    direction: u8,
    sequence: u64,
}

impl FrameWriter {
    /// `direction` is 0 at the end that opened the connection and 1 at the other end.
    #[must_use]
    pub fn new(keys: Keyring, nonce: ConnectionNonce, direction: u8) -> Self {
        Self {
            keys,
            nonce,
            direction,
            sequence: 0,
        }
    }

    /// Appends one frame to `out`.
    ///
    /// # Errors
    ///
    /// Returns `TooLong` if the message does not fit into a frame; `out` is then unchanged.
    pub fn write(&mut self, message: &impl Serialize, out: &mut Vec<u8>) -> Result<(), WireError> {
        let start = out.len();
        out.resize(start + PREFIX_BYTES + HEADER_BYTES, 0);
        if let Err(error) = self.encode(message, out, start) {
            out.truncate(start);
            return Err(error);
        }
        self.sequence += 1;
        Ok(())
    }

    fn encode(
        &self,
        message: &impl Serialize,
        out: &mut Vec<u8>,
        start: usize,
    ) -> Result<(), WireError> {
        let payload_start = start + PREFIX_BYTES + HEADER_BYTES;
        postcard::to_io(message, &mut *out).map_err(|_| WireError::Malformed)?;
        let bytes = out.len() - start - PREFIX_BYTES;
        if bytes > MAX_FRAME_BYTES {
            return Err(WireError::TooLong {
                bytes,
                limit_bytes: MAX_FRAME_BYTES,
            });
        }
        let length = u32::try_from(bytes).map_err(|_| WireError::Malformed)?;
        let mut header = [0; PREFIX_BYTES + HEADER_BYTES - MAC_BYTES];
        header[..4].copy_from_slice(&length.to_le_bytes());
        header[4..6].copy_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        header[6] = self.keys.signing_id();
        header[7..].copy_from_slice(&self.sequence.to_le_bytes());
        let tag = self.keys.sign(&[
            &self.nonce,
            &[self.direction],
            &header,
            &out[payload_start..],
        ]);
        out[start..start + header.len()].copy_from_slice(&header);
        out[payload_start - MAC_BYTES..payload_start].copy_from_slice(&tag);
        Ok(())
    }
}

/// Decodes the messages of one direction of a connection.
pub struct FrameReader {
    keys: Keyring,
    nonce: ConnectionNonce,
    direction: u8,
    sequence: u64,
    buffer: Vec<u8>,
    consumed: usize,
}

impl FrameReader {
    /// `direction` is that of the sender: 0 if the peer opened the connection, otherwise 1.
    #[must_use]
    pub fn new(keys: Keyring, nonce: ConnectionNonce, direction: u8) -> Self {
        Self {
            keys,
            nonce,
            direction,
            sequence: 0,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are buffered and not yet decoded.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// Decodes the next message. Returns `None` if its frame is not complete yet.
    ///
    /// # Errors
    ///
    /// After any error the position in the stream is unreliable, and the connection must be closed.
    pub fn next_message<M: DeserializeOwned>(&mut self) -> Result<Option<M>, WireError> {
        let pending = &self.buffer[self.consumed..];
        let Some(prefix) = pending.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_le_bytes(*prefix) as usize;
        if bytes > MAX_FRAME_BYTES {
            return Err(WireError::TooLong {
                bytes,
                limit_bytes: MAX_FRAME_BYTES,
            });
        }
        if bytes < HEADER_BYTES {
            return Err(WireError::Truncated);
        }
        let Some(frame) = pending.get(..PREFIX_BYTES + bytes) else {
            return Ok(None);
        };
        let message = self.decode(frame)?;
        self.consumed += frame.len();
        self.sequence += 1;
        Ok(Some(message))
    }

    fn decode<M: DeserializeOwned>(&self, frame: &[u8]) -> Result<M, WireError> {
        let (header, rest) = frame.split_at(PREFIX_BYTES + HEADER_BYTES - MAC_BYTES);
        let (tag, payload) = rest.split_at(MAC_BYTES);
        let version = u16::from_le_bytes([header[4], header[5]]);
        if version != PROTOCOL_VERSION {
            return Err(WireError::Version(version));
        }
        let parts: [&[u8]; 4] = [&self.nonce, &[self.direction], header, payload];
        self.keys.verify(header[6], &parts, tag)?;
        if header[7..15] != self.sequence.to_le_bytes() {
            return Err(WireError::OutOfSequence);
        }
        postcard::from_bytes(payload).map_err(|_| WireError::Malformed)
    }
}
