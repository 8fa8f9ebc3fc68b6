//! Header fields that pass between a caller and a target.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Most fields of one message; a caller's head has no more than 64 by default either.
pub const HEADER_COUNT_LIMIT: usize = 64;
/// Most bytes of names and values of one message; a caller's head is at most 16 KiB by default.
pub const HEADER_BYTES_LIMIT: usize = 16 << 10;

/// One field. A name that appears several times has one `Header` for each of its lines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value: printable ASCII, spaces and tabs.
    pub value: String,
}

/// Fields of one message, in order. Names, values, count and size are checked whenever a value is
/// made, also on decoding, so that no value can end a line of a head.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<Header>")]
pub struct Headers(Vec<Header>);

/// Fields that are not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadersError {
    /// More than `HEADER_COUNT_LIMIT` fields.
    TooMany,
    /// More than `HEADER_BYTES_LIMIT` bytes.
    TooLong,
    /// A name is no lower-case token.
    Name,
    /// A value has a byte that is neither printable ASCII nor a space or tab.
    Value,
}

impl fmt::Display for HeadersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooMany => write!(f, "more than {HEADER_COUNT_LIMIT} fields"),
            Self::TooLong => write!(f, "more than {HEADER_BYTES_LIMIT} bytes of fields"),
            Self::Name => f.write_str("a field name is no lower-case token"),
            Self::Value => f.write_str("a field value is not printable ASCII"),
        }
    }
}

impl std::error::Error for HeadersError {}

impl Headers {
    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Values of a field, in order; `name` is in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(move |header| header.name == name);
        named.map(|header| header.value.as_str())
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
                return Err(HeadersError::Name);
            }
            if !header.value.bytes().all(is_value_byte) {
                return Err(HeadersError::Value);
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
