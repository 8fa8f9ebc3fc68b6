//! Selection of the header fields that are forwarded between callers and targets.
//!
//! End-to-end fields are forwarded. Hop-by-hop fields (RFC 9110, section 7.6.1), fields named in
//! `Connection`, and fields that this system sets itself are not. Only a few fields are forwarded
//! to and from engines, because the body contains everything that an engine needs.

use http_types::headers::Headers as Fields;
use types::Header;
use types::Headers;
use types::HeadersError;
use types::ServiceKind;

/// Fields of the connection and of the message framing, which each hop sets for itself. Trailers
/// are not forwarded, so `Trailer` isn't either.
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
/// Request fields that a proxy replaces or removes.
pub const REQUEST_HOP_FIELDS: [&str; 3] = ["expect", "host", "proxy-authorization"];
/// Response fields that a proxy removes.
pub const RESPONSE_HOP_FIELDS: [&str; 1] = ["proxy-authenticate"];
/// Request fields of this system's own protocol with callers and targets.
const SYSTEM_REQUEST_FIELDS: [&str; 6] = [
    "content-type",
    "idempotency-key",
    "request-timeout-ms",
    "x-cache-pieces",
    "x-priority",
    "x-request-id",
];
/// Response fields that the entry sets.
const SYSTEM_RESPONSE_FIELDS: [&str; 4] = [
    "content-type",
    "x-request-id",
    "x-requests-per-second",
    "x-served-by",
];
/// Request fields that are forwarded to engines: those of distributed tracing.
const ENGINE_REQUEST_FIELDS: [&str; 2] = ["traceparent", "tracestate"];
/// Response fields that are forwarded from engines: those that prevent proxies from caching or
/// buffering a stream.
const ENGINE_RESPONSE_FIELDS: [&str; 2] = ["cache-control", "x-accel-buffering"];

/// Selects the request fields to forward to the target. `credential` names the field that
/// identifies callers, which is never forwarded.
///
/// # Errors
///
/// The selected fields exceed the limits of `Headers`, or one is malformed.
pub fn request_headers(
    fields: &Fields,
    kind: ServiceKind,
    credential: Option<&str>,
) -> Result<Headers, HeadersError> {
    select(fields, |name| match kind {
        ServiceKind::Model => ENGINE_REQUEST_FIELDS.contains(&name),
        ServiceKind::Plain => {
            !SYSTEM_REQUEST_FIELDS.contains(&name)
                && !credential.is_some_and(|field| field.eq_ignore_ascii_case(name))
        }
    })
}

/// Selects the response fields to forward to the caller.
///
/// # Errors
///
/// The selected fields exceed the limits of `Headers`, or one is malformed.
pub fn response_headers(fields: &Fields, kind: ServiceKind) -> Result<Headers, HeadersError> {
    select(fields, |name| match kind {
        ServiceKind::Model => ENGINE_RESPONSE_FIELDS.contains(&name),
        ServiceKind::Plain => !SYSTEM_RESPONSE_FIELDS.contains(&name),
    })
}

/// Selects fields, sorted by name; several fields of one name are not merged and keep their order.
fn select(fields: &Fields, is_forwarded: impl Fn(&str) -> bool) -> Result<Headers, HeadersError> {
    let options = connection_options(fields);
    let mut selected = Vec::new();
    for (name, values) in fields {
        let name = name.as_str();
        if CONNECTION_FIELDS.contains(&name)
            || REQUEST_HOP_FIELDS.contains(&name)
            || RESPONSE_HOP_FIELDS.contains(&name)
            || options.iter().any(|option| option == name)
            || !is_forwarded(name)
        {
            continue;
        }
        selected.extend(values.iter().map(|value| Header {
            name: name.to_owned(),
            value: value.as_str().to_owned(),
        }));
    }
    selected.sort_by(|a, b| a.name.cmp(&b.name));
    Headers::try_from(selected)
}

/// Options of all `Connection` fields, in lower case.
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
