//! Identification of callers.

use std::net::SocketAddr;

use settings::CallerIdentity;
use types::CallerName;

/// Name of callers whose request does not identify them.
const ANONYMOUS: &str = "anonymous";
/// Hexadecimal digits of a hashed credential, 64 bits.
const HASH_DIGITS: usize = 16;

/// Name of the caller of a request. Credentials are hashed, because names appear in logs and in
/// the store.
pub(crate) fn caller_name(
    identity: &CallerIdentity,
    head: &http_types::Request,
    peer: SocketAddr,
) -> CallerName {
    match identity {
        CallerIdentity::Address => peer.ip().to_string(),
        CallerIdentity::Header(field) => match head.header(field.as_str()) {
            Some(value) if !value.as_str().is_empty() => value.as_str().to_owned(),
            _ => ANONYMOUS.to_owned(),
        },
        CallerIdentity::Authorization => match head.header("authorization") {
            Some(value) => {
                let hash = blake3::hash(value.as_str().as_bytes()).to_hex();
                format!("credential-{}", &hash[..HASH_DIGITS])
            }
            None => ANONYMOUS.to_owned(),
        },
    }
}

/// Header field that identifies callers, if any; it is not forwarded to targets.
pub(crate) fn credential_field(identity: &CallerIdentity) -> Option<&str> {
    match identity {
        CallerIdentity::Address => None,
        CallerIdentity::Header(field) => Some(field),
        CallerIdentity::Authorization => Some("authorization"),
    }
}
