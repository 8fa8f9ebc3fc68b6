//! Which header fields pass through from a caller to a target and back.
//!
//! End-to-end fields pass; fields of one connection (RFC 9110, section 7.6.1), fields that
//! `Connection` names, and fields that the system sets itself do not. Engines get and give few
//! fields, because the body says all that they need.

use http_types::headers::Headers as Fields;
use types::Header;
use types::Headers;
use types::HeadersError;
use types::ServiceKind;

/// Fields that concern one connection, and those of the framing, which each connection has its
/// own of. Trailers are not passed on, so neither is the field that announces them.
pub const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Fields of requests that the next hop gets anew or not at all.
pub const REQUEST_HOP_FIELDS: [&str; 3] = ["expect", "host", "proxy-authorization"];
/// Fields of answers that the next hop does not get.
pub const ANSWER_HOP_FIELDS: [&str; 1] = ["proxy-authenticate"];
/// Fields of requests that belong to the system's own protocol with callers and targets.
const OWN_REQUEST_FIELDS: [&str; 6] = [
    "content-type",
    "idempotency-key",
    "request-timeout-ms",
    "x-cache-pieces",
    "x-priority",
    "x-request-id",
];
/// Fields of answers that the entry sets.
const OWN_ANSWER_FIELDS: [&str; 3] = ["content-type", "x-request-id", "x-served-by"];
/// Fields of requests that engines get: those of distributed tracing.
const ENGINE_REQUEST_FIELDS: [&str; 2] = ["traceparent", "tracestate"];
/// Fields of engines' answers that callers get: those that keep proxies from storing or delaying
/// a stream.
const ENGINE_ANSWER_FIELDS: [&str; 2] = ["cache-control", "x-accel-buffering"];

/// Fields of a caller's request that its target gets. `credential` names the field that tells
/// callers apart, which is meant for the callers' port alone.
///
/// # Errors
///
/// The fields that pass exceed the limits of `Headers`, or one is malformed.
pub fn request_headers(
    fields: &Fields,
    kind: ServiceKind,
    credential: Option<&str>,
) -> Result<Headers, HeadersError> {
    pass(fields, |name| match kind {
        ServiceKind::Model => ENGINE_REQUEST_FIELDS.contains(&name),
        ServiceKind::Plain => {
            !OWN_REQUEST_FIELDS.contains(&name)
                && !credential.is_some_and(|own| own.eq_ignore_ascii_case(name))
        }
    })
}

/// Fields of a target's answer that the caller gets.
///
/// # Errors
///
/// The fields that pass exceed the limits of `Headers`, or one is malformed.
pub fn answer_headers(fields: &Fields, kind: ServiceKind) -> Result<Headers, HeadersError> {
    pass(fields, |name| match kind {
        ServiceKind::Model => ENGINE_ANSWER_FIELDS.contains(&name),
        ServiceKind::Plain => !OWN_ANSWER_FIELDS.contains(&name),
    })
}

/// Fields in order of their names; lines of one name stay apart and in order.
fn pass(fields: &Fields, is_wanted: impl Fn(&str) -> bool) -> Result<Headers, HeadersError> {
    let options = connection_options(fields);
    let mut passed = Vec::new();
    for (name, values) in fields {
        let name = name.as_str();
        if CONNECTION_FIELDS.contains(&name)
            || REQUEST_HOP_FIELDS.contains(&name)
            || ANSWER_HOP_FIELDS.contains(&name)
            || options.iter().any(|option| option == name)
            || !is_wanted(name)
        {
            continue;
        }
        passed.extend(values.iter().map(|value| Header {
            name: name.to_owned(),
            value: value.as_str().to_owned(),
        }));
    }
    passed.sort_by(|a, b| a.name.cmp(&b.name));
    Headers::try_from(passed)
}

/// Names in all `Connection` fields, in lower case.
#[must_use]
pub fn connection_options(fields: &Fields) -> Vec<String> {
    let Some(values) = fields.get("connection") else {
        return Vec::new();
    };
    let options = values.iter().flat_map(|value| value.as_str().split(','));
    options
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
