//! Which fields pass between callers and targets.

use http::answer_headers;
use http::request_headers;
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

/// Section 7.6.1 of RFC 9110, with the framing and the fields for the next proxy.
const HOP_BY_HOP: &str = "connection proxy-connection keep-alive te transfer-encoding upgrade \
    trailer proxy-authenticate proxy-authorization content-length host expect";
const OWN: &str = "content-type x-request-id x-served-by idempotency-key request-timeout-ms \
    x-priority x-cache-pieces";
const END_TO_END: &str = "location etag cache-control content-disposition content-language date \
    last-modified set-cookie retry-after www-authenticate x-should-retry x-any accept";
const CREDENTIAL: &str = "X-Caller";

/// Lines of a head; some `Connection` fields name other fields.
#[derive(Debug, Clone)]
struct Lines(Vec<(String, String)>);

impl Arbitrary for Lines {
    fn arbitrary(g: &mut Gen) -> Self {
        let names: Vec<&str> = [HOP_BY_HOP, OWN, END_TO_END, "x-caller authorization"]
            .iter()
            .flat_map(|names| names.split_whitespace())
            .collect();
        let count = u32::arbitrary(g) % 40;
        let lines = (0..count).map(|index| {
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
        Self(lines.collect())
    }
}

impl Lines {
    fn fields(&self) -> Fields {
        let mut fields = http_types::Response::new(200);
        for (name, value) in &self.0 {
            fields.append_header(name.as_str(), value.as_str());
        }
        let fields: &Fields = fields.as_ref();
        fields.clone()
    }

    /// Lines that pass by a rule, in order of their names.
    fn passing(&self, stays: impl Fn(&str) -> bool) -> Vec<Header> {
        let named: Vec<String> = (self.0.iter())
            .filter(|(name, _)| name == "connection")
            .flat_map(|(_, value)| value.split(" , ").map(str::to_lowercase))
            .collect();
        let mut passing: Vec<Header> = (self.0.iter())
            .filter(|(name, _)| !HOP_BY_HOP.split_whitespace().any(|hop| hop == name))
            .filter(|(name, _)| !named.contains(name) && !stays(name))
            .map(|(name, value)| Header {
                name: name.clone(),
                value: value.clone(),
            })
            .collect();
        passing.sort_by(|a, b| a.name.cmp(&b.name));
        passing
    }
}

fn list(headers: Headers) -> Vec<Header> {
    headers.iter().cloned().collect()
}

quickcheck! {
    // Guards against end-to-end fields that are lost or merged, and fields of one connection that
    // reach the caller.
    fn answers_of_plain_services_keep_exactly_their_end_to_end_fields(lines: Lines) -> bool {
        let own = |name: &str| ["content-type", "x-request-id", "x-served-by"].contains(&name);
        let passed = answer_headers(&lines.fields(), ServiceKind::Plain).expect("few fields");
        list(passed) == lines.passing(own)
    }

    // Guards against a plain service that gets the credentials for the callers' port, or a field
    // of the system's own protocol from a caller.
    fn requests_to_plain_services_lose_own_fields_and_the_credential(lines: Lines) -> bool {
        let own = |name: &str| {
            name == "x-caller" || (name != "x-served-by" && OWN.split(' ').any(|own| own == name))
        };
        let passed = request_headers(&lines.fields(), ServiceKind::Plain, Some(CREDENTIAL));
        list(passed.expect("few fields")) == lines.passing(own)
    }

    // Guards against cookies and credentials of callers at model engines.
    fn engines_exchange_few_fields(lines: Lines) -> bool {
        let request = request_headers(&lines.fields(), ServiceKind::Model, None);
        let answer = answer_headers(&lines.fields(), ServiceKind::Model).expect("few fields");
        request.expect("few fields").is_empty()
            && answer.iter().all(|header| header.name == "cache-control")
    }

    // Guards against a peer or a row whose value would end a line of the head.
    fn no_decoded_field_can_end_its_line(name: String, value: String, at: usize) -> bool {
        let mut name: String = name.chars().filter(char::is_ascii_lowercase).collect();
        let mut value: String = value.chars().filter(|c| (' '..='~').contains(c)).collect();
        name.push('x');
        let decode = |name: &str, value: &str| {
            let json = serde_json::json!([{"name": name, "value": value}]);
            serde_json::from_value::<Headers>(json)
        };
        let plain = decode(&name, &value).is_ok();
        value.insert(at % (value.len() + 1), ['\r', '\n', '\0', '\u{e9}'][at % 4]);
        let spoiled = decode(&name, &value).is_ok();
        name.insert(at % (name.len() + 1), ['\r', '\n', ':', ' '][at % 4]);
        plain && !spoiled && decode(&name, "x").is_err()
    }
}

// Guards against heads that take memory without bound in frames and rows.
#[test]
fn refuses_more_fields_or_bytes_than_the_limits() {
    let header = |bytes: usize| Header {
        name: "x".to_owned(),
        value: "v".repeat(bytes),
    };
    let of = |count: usize, bytes: usize| Headers::try_from(vec![header(bytes); count]);
    assert!(of(HEADER_COUNT_LIMIT, 1).is_ok());
    assert_eq!(of(HEADER_COUNT_LIMIT + 1, 1), Err(HeadersError::TooMany));
    assert!(of(1, HEADER_BYTES_LIMIT - 1).is_ok());
    assert_eq!(of(1, HEADER_BYTES_LIMIT), Err(HeadersError::TooLong));
}
