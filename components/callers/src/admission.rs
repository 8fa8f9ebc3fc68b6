//! Checks of a request before and after its body is read.

use std::time::Duration;

use http::Problem;
use http_types::Method as HttpMethod;
use http_types::Request;
use types::CallerName;
use types::Method;
use types::RunState;
use types::ServiceKind;
use types::Submission;
use types::Work;
use types::profile::is_name;

use crate::gateway::CallerLimits;
use crate::prompt::Prompt;
use crate::prompt::parse_prompt;

/// Longest `Idempotency-Key`.
const KEY_LIMIT_BYTES: usize = 255;
/// Longest time that a caller can ask for, one day.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;
/// Paths that an engine answers.
const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";

/// What a path addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// `GET /healthz`.
    Health,
    /// `GET /readyz`.
    Ready,
    /// `GET /metrics`.
    Metrics,
    /// A path below a service.
    Service {
        /// Name of the service.
        service: &'a str,
        /// Path below the service.
        path: &'a str,
    },
}

impl<'a> Route<'a> {
    /// Route of a request.
    ///
    /// # Errors
    ///
    /// `404` or `405`.
    pub fn of(head: &'a Request) -> Result<Self, Problem> {
        let path = head.url().path();
        let route = match path {
            "/healthz" => Self::Health,
            "/readyz" => Self::Ready,
            "/metrics" => Self::Metrics,
            _ => return service_route(path),
        };
        if matches!(head.method(), HttpMethod::Get | HttpMethod::Head) {
            return Ok(route);
        }
        Err(refused(405, "method-not-allowed", "use GET"))
    }
}

fn service_route(path: &str) -> Result<Route<'_>, Problem> {
    let unknown = || {
        let detail = "use /services/{service}/{path}, /healthz, /readyz or /metrics";
        refused(404, "unknown-path", detail)
    };
    let rest = path.strip_prefix("/services/").ok_or_else(unknown)?;
    let (service, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if !is_name(service) {
        return Err(refused(
            404,
            "unknown-service",
            "no service has such a name",
        ));
    }
    Ok(Route::Service { service, path })
}

/// Checks what can be checked without the body.
pub(crate) fn check_head(head: &Request, path: &str, limits: &CallerLimits) -> Result<(), Problem> {
    method(head)?;
    key(head)?;
    deadline(head)?;
    if limits.kind == ServiceKind::Plain {
        return Ok(());
    }
    if !matches!(path, COMPLETIONS | CHAT_COMPLETIONS) {
        let detail = "engines answer /v1/completions and /v1/chat/completions";
        return Err(refused(404, "unknown-path", detail));
    }
    if head.method() != HttpMethod::Post {
        return Err(refused(405, "method-not-allowed", "use POST"));
    }
    let media_type = field(head, "content-type").unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(refused(415, "unsupported-media-type", "use application/json").field("Content-Type"))
}

/// Builds the submission of a request whose head was accepted.
pub(crate) fn submission(
    head: &Request,
    body: Vec<u8>,
    caller: CallerName,
    credential: Option<&str>,
    limits: &CallerLimits,
) -> Result<Submission, Problem> {
    let Route::Service { service, path } = Route::of(head)? else {
        return Err(refused(
            404,
            "unknown-path",
            "use /services/{service}/{path}",
        ));
    };
    let prompt = match limits.kind {
        ServiceKind::Model => {
            parse_prompt(&body, path == CHAT_COMPLETIONS, limits.output_limit_tokens)?
        }
        ServiceKind::Plain => Prompt {
            stream: false,
            model: String::new(),
            prompt_tokens: 0,
            max_output_tokens: 0,
            prefixes: Vec::new(),
        },
    };
    let headers = http::request_headers(head.as_ref(), limits.kind, credential)
        .map_err(|error| refused(431, "head-too-large", &error.to_string()))?;
    let work = Work {
        service: service.to_owned(),
        method: method(head)?,
        path: match head.url().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        },
        content_type: field(head, "content-type").unwrap_or_default().to_owned(),
        headers,
        body,
        stream: prompt.stream,
        model: prompt.model,
        prompt_tokens: prompt.prompt_tokens,
        max_output_tokens: prompt.max_output_tokens,
        prefixes: prompt.prefixes,
    };
    Ok(Submission {
        caller,
        work,
        key: key(head)?.map(str::to_owned),
        deadline_ms: deadline(head)?,
    })
}

fn method(head: &Request) -> Result<Method, Problem> {
    match head.method() {
        HttpMethod::Get => Ok(Method::Get),
        HttpMethod::Head => Ok(Method::Head),
        HttpMethod::Put => Ok(Method::Put),
        HttpMethod::Delete => Ok(Method::Delete),
        HttpMethod::Post => Ok(Method::Post),
        HttpMethod::Patch => Ok(Method::Patch),
        _ => Err(refused(
            405,
            "method-not-allowed",
            "use GET, HEAD, PUT, DELETE, POST or PATCH",
        )),
    }
}

fn key(head: &Request) -> Result<Option<&str>, Problem> {
    let Some(values) = head.header("idempotency-key") else {
        return Ok(None);
    };
    let key = values.as_str();
    if values.iter().count() == 1 && (1..=KEY_LIMIT_BYTES).contains(&key.len()) {
        return Ok(Some(key));
    }
    let detail = "state one key of 1 to 255 characters";
    Err(refused(400, "bad-request", detail).field("Idempotency-Key"))
}

fn deadline(head: &Request) -> Result<Option<Duration>, Problem> {
    let Some(values) = head.header("request-timeout-ms") else {
        return Ok(None);
    };
    let stated = values.as_str();
    let digits_only = !stated.is_empty() && stated.bytes().all(|b| b.is_ascii_digit());
    match stated.parse::<u64>() {
        Ok(ms)
            if digits_only
                && values.iter().count() == 1
                && (1..=TIMEOUT_LIMIT_MS).contains(&ms) =>
        {
            Ok(Some(Duration::from_millis(ms)))
        }
        _ => {
            let detail = format!("state one number of milliseconds from 1 to {TIMEOUT_LIMIT_MS}");
            Err(refused(400, "bad-request", &detail).field("Request-Timeout-Ms"))
        }
    }
}

fn field<'a>(head: &'a Request, name: &str) -> Option<&'a str> {
    head.header(name).map(|values| values.last().as_str())
}

fn refused(status: u16, kind: &str, detail: &str) -> Problem {
    Problem::new(status, kind, detail).run(RunState::NotRun)
}
