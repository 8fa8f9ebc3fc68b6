//! HTTP header fields that are forwarded between a caller and a target.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of fields per message, equal to the default limit for a caller's request head.
pub const HEADER_COUNT_LIMIT: usize = 64;
/// Maximum total size of names and values per message. The default limit for a caller's request
/// head is also 16 KiB.
pub const HEADER_BYTES_LIMIT: usize = 16 << 10;

/// Header field. A field that is repeated in a message has one `Header` per field line.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value: printable ASCII, spaces and tabs.
    pub value: String,
}

/// Header fields of one message, in order.
///
/// Names, values, count and size are validated on construction and on deserialization, so a value
/// cannot contain a line break and inject further fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<Header>")]
pub struct Headers(Vec<Header>);

/// Reason why a list of header fields is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadersError {
    /// More than `HEADER_COUNT_LIMIT` fields.
    TooMany,
    /// More than `HEADER_BYTES_LIMIT` bytes.
    TooLong,
    /// A name is not a lower-case HTTP token.
    InvalidName,
    /// A value contains a byte other than printable ASCII, space and tab.
    InvalidValue,
}

impl fmt::Display for HeadersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooMany => write!(f, "more than {HEADER_COUNT_LIMIT} header fields"),
            Self::TooLong => write!(f, "header fields exceed {HEADER_BYTES_LIMIT} bytes"),
            Self::InvalidName => f.write_str("a header field name is not a lower-case HTTP token"),
            Self::InvalidValue => f.write_str(
                "a header field value has a byte other than printable ASCII, space and tab",
            ),
        }
    }
}

impl std::error::Error for HeadersError {}

impl Headers {
    /// Whether the message has no fields.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the fields in message order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Values of all fields with a name, in message order; `name` must be in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let matching = self.0.iter().filter(move |header| header.name == name);
        matching.map(|header| header.value.as_str())
    }
}

impl TryFrom<Vec<Header>> for Headers {
    type Error = HeadersError;

    fn try_from(headers: Vec<Header>) -> Result<Self, HeadersError> {
        if headers.len() > HEADER_COUNT_LIMIT {
            return Err(HeadersError::TooMany);
        }
        let bytes: usize = headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        if bytes > HEADER_BYTES_LIMIT {
            return Err(HeadersError::TooLong);
        }
        for header in &headers {
            if header.name.is_empty() || !header.name.bytes().all(is_name_byte) {
                return Err(HeadersError::InvalidName);
            }
            if !header.value.bytes().all(is_value_byte) {
                return Err(HeadersError::InvalidValue);
            }
        }
        Ok(Self(headers))
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (b' '..=b'~').contains(&byte)
}
