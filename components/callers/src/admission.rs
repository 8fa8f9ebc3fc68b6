//! Validation of requests before and after the body is read.

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

/// Longest accepted value of `Idempotency-Key`.
const KEY_LIMIT_BYTES: usize = 255;
/// Largest accepted value of `Request-Timeout-Ms`, one day.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;
/// Path of text completions on an engine.
const COMPLETIONS: &str = "/v1/completions";
/// Path of chat completions on an engine.
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";

/// Route of a request path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route<'a> {
    /// `GET /healthz`.
    Health,
    /// `GET /readyz`.
    Ready,
    /// `GET /metrics`.
    Metrics,
    /// `/services/{service}{path}`.
    Service {
        /// Syntactically valid, but not necessarily known.
        service: &'a str,
        /// Starts with `/`, without the query.
        path: &'a str,
    },
}

impl<'a> Route<'a> {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// `404` for an unknown path, `405` for a method other than GET and HEAD on the paths of the
    /// entry itself.
    pub(crate) fn of(head: &'a Request) -> Result<Self, Problem> {
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
        Err(not_run_problem(405, "method-not-allowed", "use GET"))
    }
}

fn service_route(path: &str) -> Result<Route<'_>, Problem> {
    let unknown = || {
        let detail = "use /services/{service}/{path}, /healthz, /readyz or /metrics";
        not_run_problem(404, "unknown-path", detail)
    };
    let rest = path.strip_prefix("/services/").ok_or_else(unknown)?;
    let (service, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    if !is_name(service) {
        return Err(not_run_problem(
            404,
            "unknown-service",
            "the path contains no valid service name",
        ));
    }
    Ok(Route::Service { service, path })
}

/// Validates a request by its head.
pub(crate) fn check_head(head: &Request, path: &str, limits: &CallerLimits) -> Result<(), Problem> {
    parse_method(head)?;
    idempotency_key(head)?;
    request_timeout(head)?;
    if limits.kind == ServiceKind::Plain {
        return Ok(());
    }
    if !matches!(path, COMPLETIONS | CHAT_COMPLETIONS) {
        let detail = "engines support only /v1/completions and /v1/chat/completions";
        return Err(not_run_problem(404, "unknown-path", detail));
    }
    if head.method() != HttpMethod::Post {
        return Err(not_run_problem(405, "method-not-allowed", "use POST"));
    }
    let media_type = last_value(head, "content-type").unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(
        not_run_problem(415, "unsupported-media-type", "use application/json")
            .field("Content-Type"),
    )
}

/// Builds the submission of a request whose head was validated. `credential` names the field that
/// identifies callers, which is not forwarded.
pub(crate) fn build_submission(
    head: &Request,
    body: Vec<u8>,
    caller: CallerName,
    credential: Option<&str>,
    limits: &CallerLimits,
) -> Result<Submission, Problem> {
    let Route::Service { service, path } = Route::of(head)? else {
        return Err(not_run_problem(
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
        .map_err(|error| not_run_problem(431, "head-too-large", &error.to_string()))?;
    let work = Work {
        service: service.to_owned(),
        method: parse_method(head)?,
        path: match head.url().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        },
        content_type: last_value(head, "content-type")
            .unwrap_or_default()
            .to_owned(),
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
        key: idempotency_key(head)?.map(str::to_owned),
        deadline_ms: request_timeout(head)?,
    })
}

fn parse_method(head: &Request) -> Result<Method, Problem> {
    match head.method() {
        HttpMethod::Get => Ok(Method::Get),
        HttpMethod::Head => Ok(Method::Head),
        HttpMethod::Put => Ok(Method::Put),
        HttpMethod::Delete => Ok(Method::Delete),
        HttpMethod::Post => Ok(Method::Post),
        HttpMethod::Patch => Ok(Method::Patch),
        _ => Err(not_run_problem(
            405,
            "method-not-allowed",
            "use GET, HEAD, PUT, DELETE, POST or PATCH",
        )),
    }
}

fn idempotency_key(head: &Request) -> Result<Option<&str>, Problem> {
    let Some(values) = head.header("idempotency-key") else {
        return Ok(None);
    };
    let key = values.as_str();
    if values.iter().count() == 1 && (1..=KEY_LIMIT_BYTES).contains(&key.len()) {
        return Ok(Some(key));
    }
    let detail = "use a single key of 1 to 255 characters";
    Err(not_run_problem(400, "bad-request", detail).field("Idempotency-Key"))
}

fn request_timeout(head: &Request) -> Result<Option<Duration>, Problem> {
    let Some(values) = head.header("request-timeout-ms") else {
        return Ok(None);
    };
    let value = values.as_str();
    let digits_only = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(ms)
            if digits_only
                && values.iter().count() == 1
                && (1..=TIMEOUT_LIMIT_MS).contains(&ms) =>
        {
            Ok(Some(Duration::from_millis(ms)))
        }
        _ => {
            let detail =
                format!("use a single number of milliseconds from 1 to {TIMEOUT_LIMIT_MS}");
            Err(not_run_problem(400, "bad-request", &detail).field("Request-Timeout-Ms"))
        }
    }
}

fn last_value<'a>(head: &'a Request, name: &str) -> Option<&'a str> {
    head.header(name).map(|values| values.last().as_str())
}

fn not_run_problem(status: u16, kind: &str, detail: &str) -> Problem {
    Problem::new(status, kind, detail).run(RunState::NotRun)
}
