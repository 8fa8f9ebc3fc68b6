//! Errors of decoding, each with the limit or value that was at fault.

use std::fmt;

/// A frame or datagram that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// Longer than the limit.
    TooLong {
        /// Announced length.
        bytes: usize,
        /// Limit.
        limit_bytes: usize,
    },
    /// Shorter than its fixed parts.
    Truncated,
    /// Another protocol version.
    Version(u16),
    /// Signed with a key that is not in the settings.
    UnknownKey(u8),
    /// The MAC does not match.
    BadMac,
    /// The payload is not a known message.
    Malformed,
    /// The sequence number is not the next one.
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
            Self::Truncated => f.write_str("frame is shorter than its header"),
            Self::Version(version) => write!(f, "peer speaks protocol version {version}"),
            Self::UnknownKey(id) => write!(f, "key id {id} is not in `keys` of the settings"),
            Self::BadMac => f.write_str("MAC does not match; compare `keys` on both hosts"),
            Self::Malformed => f.write_str("payload is not a known message"),
            Self::OutOfSequence => f.write_str("frame is out of sequence"),
        }
    }
}

impl std::error::Error for WireError {}
