//! Sections that entries and agents share.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::section::section;

/// Keys that may be valid at once: the one that signs and the one being phased in or out.
const KEY_LIMIT: usize = 2;
/// Shortest token of an operator. 32 characters of base64 or hex hold at least 128 bits.
const TOKEN_BYTES: usize = 32;

/// A value that cannot work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, for example `limits.head_ms`.
    pub field: String,
    /// What to do.
    pub fix: String,
}

/// Returns the first check that does not hold.
pub(crate) fn first_fault(checks: &[(bool, &str, &str)]) -> Result<(), Fault> {
    match checks.iter().find(|(holds, ..)| !holds) {
        Some((_, field, fix)) => Err(Fault {
            field: (*field).to_owned(),
            fix: (*fix).to_owned(),
        }),
        None => Ok(()),
    }
}

/// Daemon that a file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Daemon {
    /// Daemon on an entry host.
    Entry,
    /// Daemon beside a target.
    Agent,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
    /// List of live and leaving hosts.
    pub hosts: SocketAddr,
}

/// A shared key for frames and datagrams between the daemons.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Number that goes on the wire.
    pub id: u8,
    /// 32 bytes as 64 hex digits.
    pub secret: Secret,
}

/// Secret bytes that never appear in logs.
#[derive(Clone, PartialEq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Decodes inside of the visitor, because the parser knows the line of a fault only there.
impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct HexDigits;
        impl Visitor<'_> for HexDigits {
            type Value = Secret;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("64 hex digits")
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Secret, E> {
                decode_hex(text).map(Secret).ok_or_else(|| {
                    E::custom("use 64 hex digits, for example from `openssl rand -hex 32`")
                })
            }
        }
        deserializer.deserialize_str(HexDigits)
    }
}

fn decode_hex(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 2 * bytes.len() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

/// A bearer token that never appears in logs.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Token(pub String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// An operator who may use the operators' port.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name that goes into the audit trail.
    pub name: String,
    /// Bearer token.
    pub token: Token,
}

/// How a caller is told from others. The name is part of the key of a claim, so it must be the
/// same when a request is resent through another entry or another address of the load balancer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerIdentity {
    /// Hash of the `Authorization` field; callers without one share a name.
    #[default]
    Authorization,
    /// Value of a field that the load balancer sets, and removes from what callers send.
    Header(String),
    /// Address of the peer; only where callers connect directly.
    Address,
}

section! {
    /// Logs.
    Log {
        /// How records are written.
        format: LogFormat = LogFormat::Json,
        /// Least severe records that are written.
        level: LogLevel = LogLevel::Info,
    }
}

/// How log records are written to standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Text,
}

/// Severity of a log record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Requests and answers that failed for good.
    Error,
    /// Faults that are handled.
    Warning,
    /// Changes of state.
    Info,
    /// Every request.
    Debug,
}

pub(crate) fn validate_keys(keys: &[KeySettings]) -> Result<(), Fault> {
    first_fault(&[
        (!keys.is_empty(), "keys", "state at least one key"),
        (
            keys.len() <= KEY_LIMIT,
            "keys",
            "state at most two keys, the one that signs first",
        ),
        (
            keys.len() < 2 || keys[0].id != keys[1].id,
            "keys",
            "give the two keys different ids",
        ),
        (
            keys.iter().all(|key| key.secret.0 != [0; 32]),
            "keys",
            "replace the secret of zeros by 64 random hex digits",
        ),
    ])
}

/// Checks that every daemon that has the old keys or the new ones accepts what the others sign:
/// a reload reaches the daemons one after the other.
pub(crate) fn rotate_keys(old: &[KeySettings], new: &[KeySettings]) -> Result<(), Fault> {
    let (Some(signed), Some(signs)) = (old.first(), new.first()) else {
        return validate_keys(new);
    };
    let keeps_secret = |key: &KeySettings| {
        let held = old.iter().find(|held| held.id == key.id);
        held.is_none_or(|held| held.secret == key.secret)
    };
    first_fault(&[
        (
            new.iter().all(keeps_secret),
            "keys",
            "give the new secret an id that is not in use",
        ),
        (
            old.iter().any(|key| key.id == signs.id),
            "keys",
            "put the new key second and reload every daemon before it is put first",
        ),
        (
            new.iter().any(|key| key.id == signed.id),
            "keys",
            "keep the key that was first as the second one, and remove it by a later reload",
        ),
    ])
}

pub(crate) fn validate_operators(operators: &[OperatorSettings]) -> Result<(), Fault> {
    let unique = |index: usize| {
        operators[..index]
            .iter()
            .all(|earlier| earlier.token != operators[index].token)
    };
    first_fault(&[
        (
            operators.iter().all(|o| !o.name.is_empty()),
            "operators",
            "give every operator a name",
        ),
        (
            operators.iter().all(|o| o.token.0.len() >= TOKEN_BYTES),
            "operators",
            "use tokens of at least 32 characters",
        ),
        (
            operators
                .iter()
                .all(|o| o.token.0.bytes().all(|b| b.is_ascii_graphic())),
            "operators",
            "use printable ASCII without spaces in tokens",
        ),
        (
            (0..operators.len()).all(unique),
            "operators",
            "give every operator a token of their own",
        ),
    ])
}
