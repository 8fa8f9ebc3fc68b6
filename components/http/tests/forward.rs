//! Selection of the header fields that are forwarded between callers and targets.

use http::request_headers;
use http::response_headers;
use http_types::headers::Headers as Fields;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use seeded::quickcheck;
use types::HEADER_BYTES_LIMIT;
use types::HEADER_COUNT_LIMIT;
use types::Header;
use types::Headers;
use types::HeadersError;
use types::ServiceKind;

/// Hop-by-hop fields (RFC 9110, section 7.6.1), framing fields and fields for the next proxy.
const HOP_BY_HOP_FIELDS: &str = "connection proxy-connection keep-alive te transfer-encoding upgrade \
    trailer proxy-authenticate proxy-authorization content-length host expect";
const SYSTEM_FIELDS: &str = "content-type x-request-id x-served-by idempotency-key request-timeout-ms \
    x-priority x-cache-pieces";
const END_TO_END_FIELDS: &str = "location etag cache-control content-disposition content-language date \
    last-modified set-cookie retry-after www-authenticate x-should-retry x-any accept";
const CREDENTIAL: &str = "X-Caller";

/// Random header fields; some `Connection` fields name other fields.
#[derive(Debug, Clone)]
struct RandomFields(Vec<(String, String)>);

impl Arbitrary for RandomFields {
    fn arbitrary(g: &mut Gen) -> Self {
        let names: Vec<&str> = [
            HOP_BY_HOP_FIELDS,
            SYSTEM_FIELDS,
            END_TO_END_FIELDS,
            "x-caller authorization",
        ]
        .iter()
        .flat_map(|names| names.split_whitespace())
        .collect();
        let count = u32::arbitrary(g) % 40;
        let fields = (0..count).map(|index| {
            let name = (*g.choose(&names).expect("names")).to_owned();
            let mut value = format!("{index}");
            if name == "connection" {
                let (one, other) = (g.choose(&names), g.choose(&names));
                value = format!(
                    "{} , {}",
                    one.expect("name").to_uppercase(),
                    other.expect("name")
                );
            }
            (name, value)
        });
        Self(fields.collect())
    }
}

impl RandomFields {
    fn to_headers(&self) -> Fields {
        let mut fields = http_types::Response::new(200);
        for (name, value) in &self.0 {
            fields.append_header(name.as_str(), value.as_str());
        }
        let fields: &Fields = fields.as_ref();
        fields.clone()
    }

    /// Expected fields, sorted by name: end-to-end fields for which `is_removed` is false.
    fn expected(&self, is_removed: impl Fn(&str) -> bool) -> Vec<Header> {
        let named: Vec<String> = (self.0.iter())
            .filter(|(name, _)| name == "connection")
            .flat_map(|(_, value)| value.split(" , ").map(str::to_lowercase))
            .collect();
        let mut expected: Vec<Header> = (self.0.iter())
            .filter(|(name, _)| !HOP_BY_HOP_FIELDS.split_whitespace().any(|hop| hop == name))
            .filter(|(name, _)| !named.contains(name) && !is_removed(name))
            .map(|(name, value)| Header {
                name: name.clone(),
                value: value.clone(),
            })
            .collect();
        expected.sort_by(|a, b| a.name.cmp(&b.name));
        expected
    }
}

fn to_vec(headers: Headers) -> Vec<Header> {
    headers.iter().cloned().collect()
}

quickcheck! {
    // Guards against end-to-end fields that are lost or merged, and hop-by-hop fields that reach
    // the caller.
    fn responses_of_plain_services_keep_exactly_their_end_to_end_fields(
        fields: RandomFields,
    ) -> bool {
        let is_removed =
            |name: &str| ["content-type", "x-request-id", "x-served-by"].contains(&name);
        let selected =
            response_headers(&fields.to_headers(), ServiceKind::Plain).expect("few fields");
        to_vec(selected) == fields.expected(is_removed)
    }

    // Guards against a plain service that receives the caller's credential, or a field of this
    // system's own protocol.
    fn requests_to_plain_services_lose_system_fields_and_the_credential(
        fields: RandomFields,
    ) -> bool {
        let is_removed = |name: &str| {
            name == "x-caller"
                || (name != "x-served-by" && SYSTEM_FIELDS.split(' ').any(|field| field == name))
        };
        let selected = request_headers(&fields.to_headers(), ServiceKind::Plain, Some(CREDENTIAL));
        to_vec(selected.expect("few fields")) == fields.expected(is_removed)
    }

    // Guards against cookies and credentials of callers that reach engines.
    fn only_tracing_and_caching_fields_are_forwarded_for_engines(fields: RandomFields) -> bool {
        let request = request_headers(&fields.to_headers(), ServiceKind::Model, None);
        let answer = response_headers(&fields.to_headers(), ServiceKind::Model).expect("few fields");
        request.expect("few fields").is_empty()
            && answer.iter().all(|header| header.name == "cache-control")
    }

    // Guards against header injection: a name or value, decoded from a peer or a row, that
    // contains a line break or a delimiter.
    fn decoding_rejects_names_and_values_that_would_end_a_header_line(
        name: String,
        value: String,
        at: usize
    ) -> bool {
        let mut name: String = name.chars().filter(char::is_ascii_lowercase).collect();
        let mut value: String = value.chars().filter(|c| (' '..='~').contains(c)).collect();
        name.push('x');
        let decode = |name: &str, value: &str| {
            let json = serde_json::json!([{"name": name, "value": value}]);
            serde_json::from_value::<Headers>(json)
        };
        let accepts_valid = decode(&name, &value).is_ok();
        value.insert(at % (value.len() + 1), ['\r', '\n', '\0', '\u{e9}'][at % 4]);
        let accepts_invalid = decode(&name, &value).is_ok();
        name.insert(at % (name.len() + 1), ['\r', '\n', ':', ' '][at % 4]);
        accepts_valid && !accepts_invalid && decode(&name, "x").is_err()
    }
}

// Guards against header fields of unlimited size in frames and rows.
#[test]
fn rejects_header_fields_above_the_limits() {
    let header = |bytes: usize| Header {
        name: "x".to_owned(),
        value: "v".repeat(bytes),
    };
    let try_headers = |count: usize, bytes: usize| Headers::try_from(vec![header(bytes); count]);
    assert!(try_headers(HEADER_COUNT_LIMIT, 1).is_ok());
    assert_eq!(
        try_headers(HEADER_COUNT_LIMIT + 1, 1),
        Err(HeadersError::TooMany)
    );
    assert!(try_headers(1, HEADER_BYTES_LIMIT - 1).is_ok());
    assert_eq!(
        try_headers(1, HEADER_BYTES_LIMIT),
        Err(HeadersError::TooLong)
    );
}
