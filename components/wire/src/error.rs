//! Errors of encoding, decoding and verification.

use std::fmt;

/// Reason why a frame or datagram is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The frame or datagram is longer than the limit.
    TooLong {
        /// Actual length, or the length announced in the frame's prefix.
        bytes: usize,
        /// Maximum length.
        limit_bytes: usize,
    },
    /// The frame or datagram is shorter than its header, or the connection ended within a frame.
    Truncated,
    /// The peer uses a different protocol version.
    Version(u16),
    /// The key id is not one of the configured keys.
    UnknownKey(u8),
    /// The MAC does not match.
    BadMac,
    /// The payload cannot be decoded as a message.
    Malformed,
    /// The sequence number is not the expected one.
    OutOfSequence,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes, limit_bytes } => {
                write!(
                    f,
                    "frame of {bytes} bytes exceeds the limit of {limit_bytes}"
                )
            }
            Self::Truncated => f.write_str("frame is truncated"),
            Self::Version(version) => write!(f, "peer uses protocol version {version}"),
            Self::UnknownKey(id) => write!(f, "key id {id} is not in `keys` of the settings"),
            Self::BadMac => f.write_str("MAC does not match; compare `keys` on both hosts"),
            Self::Malformed => f.write_str("payload cannot be decoded as a message"),
            Self::OutOfSequence => f.write_str("frame has an unexpected sequence number"),
        }
    }
}

impl std::error::Error for WireError {}
