//! Sections that the settings of entries and agents have in common.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::section::section;

/// Keys that may be valid at the same time: the one that signs, and during a rotation the next or
/// the previous one.
const MAX_KEYS: usize = 2;
/// Minimum length of an operator's token. 32 characters of base64 or hex hold at least 128 bits.
const MIN_TOKEN_BYTES: usize = 32;

/// Invalid value of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `limits.head_ms`.
    pub field: String,
    /// How to correct the value.
    pub fix: String,
}

/// Returns the error of the first failed check. A check consists of whether it holds, the field
/// and how to correct its value.
pub(crate) fn first_failed_check(checks: &[(bool, &str, &str)]) -> Result<(), FieldError> {
    match checks.iter().find(|(holds, ..)| !holds) {
        Some((_, field, fix)) => Err(FieldError {
            field: (*field).to_owned(),
            fix: (*fix).to_owned(),
        }),
        None => Ok(()),
    }
}

/// Daemon to which a settings file belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Daemon {
    /// `chervilspool entry`, which accepts requests of callers.
    Entry,
    /// `chervilspool agent`, which runs beside a target.
    Agent,
}

/// Addresses of the services of the platform.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
    /// Service that lists the live and the leaving hosts.
    pub hosts: SocketAddr,
}

/// Shared key that authenticates frames and datagrams between the daemons.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Identifier of the key on the wire.
    pub id: u8,
    /// Key material, 32 bytes that are written as 64 hex digits.
    pub secret: Secret,
}

/// Key material that its `Debug` output omits, so that it does not appear in logs.
#[derive(Clone, PartialEq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Decodes the digits in the visitor, because the parser adds the line only to errors from there.
impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct SecretVisitor;
        impl Visitor<'_> for SecretVisitor {
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
        deserializer.deserialize_str(SecretVisitor)
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

/// Bearer token that its `Debug` output omits, so that it does not appear in logs.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Token(pub String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Operator that may use the operators' port.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator in the audit trail.
    pub name: String,
    /// Bearer token that authenticates the operator.
    pub token: Token,
}

/// How a caller is identified. The identity is part of the key of an idempotency claim, so it must
/// be the same when a request is resent through another entry or another address of the load
/// balancer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerIdentity {
    /// Hash of the `Authorization` header; callers without one share an identity.
    #[default]
    Authorization,
    /// Value of a header that the load balancer sets and removes from callers' requests.
    Header(String),
    /// IP address of the connection; valid only if callers connect without a load balancer.
    Address,
}

section! {
    /// Log output of a daemon.
    Log {
        /// Format of the records.
        format: LogFormat = LogFormat::Json,
        /// Lowest severity that is written.
        level: LogLevel = LogLevel::Info,
    }
}

/// Format of the log records on standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for reading in a terminal.
    Text,
}

/// Severity of a log record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Requests and responses that failed permanently.
    Error,
    /// Failures from which the daemon recovers.
    Warning,
    /// State changes.
    Info,
    /// Every request.
    Debug,
}

pub(crate) fn validate_keys(keys: &[KeySettings]) -> Result<(), FieldError> {
    first_failed_check(&[
        (!keys.is_empty(), "keys", "add at least one key"),
        (
            keys.len() <= MAX_KEYS,
            "keys",
            "use at most two keys; the first one signs",
        ),
        (
            keys.len() < 2 || keys[0].id != keys[1].id,
            "keys",
            "give the two keys different ids",
        ),
        (
            keys.iter().all(|key| key.secret.0 != [0; 32]),
            "keys",
            "replace the all-zero secret with 64 random hex digits",
        ),
    ])
}

/// Checks that daemons with the old keys and daemons with the new keys accept each other's
/// signatures, because daemons are reloaded one after the other.
pub(crate) fn validate_key_rotation(
    old: &[KeySettings],
    new: &[KeySettings],
) -> Result<(), FieldError> {
    let (Some(old_signing_key), Some(new_signing_key)) = (old.first(), new.first()) else {
        return validate_keys(new);
    };
    let keeps_secret = |key: &KeySettings| {
        let old_key = old.iter().find(|old_key| old_key.id == key.id);
        old_key.is_none_or(|old_key| old_key.secret == key.secret)
    };
    first_failed_check(&[
        (
            new.iter().all(keeps_secret),
            "keys",
            "use a new id for the new secret",
        ),
        (
            old.iter().any(|key| key.id == new_signing_key.id),
            "keys",
            "add the new key second and reload every daemon before moving it to the front",
        ),
        (
            new.iter().any(|key| key.id == old_signing_key.id),
            "keys",
            "keep the previous signing key as the second one and remove it in a later reload",
        ),
    ])
}

pub(crate) fn validate_operators(operators: &[OperatorSettings]) -> Result<(), FieldError> {
    let has_unique_token = |index: usize| {
        operators[..index]
            .iter()
            .all(|earlier| earlier.token != operators[index].token)
    };
    first_failed_check(&[
        (
            operators.iter().all(|operator| !operator.name.is_empty()),
            "operators",
            "give each operator a name",
        ),
        (
            operators
                .iter()
                .all(|operator| operator.token.0.len() >= MIN_TOKEN_BYTES),
            "operators",
            "use tokens of at least 32 characters",
        ),
        (
            operators
                .iter()
                .all(|operator| operator.token.0.bytes().all(|b| b.is_ascii_graphic())),
            "operators",
            "use printable ASCII without spaces in tokens",
        ),
        (
            (0..operators.len()).all(has_unique_token),
            "operators",
            "give each operator a different token",
        ),
    ])
}
