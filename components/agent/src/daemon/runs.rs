//! HTTP client that runs attempts at the target.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use http::Client;
use http::ClientError;
use http::ClientLimits;
use http::StreamingResponse;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::HeaderValue;
use limits::NamedRate;
use smol::Task;
use types::AttemptId;
use types::Headers;
use types::Method;
use types::ServiceKind;
use types::Work;
use wire::Digest;

use crate::daemon::Daemon;
use crate::event::Event;
use crate::event::RunId;
use crate::event::TargetEvent;
use crate::state_machine::Agent;

/// Maximum number of prefix hashes in the `x-cache-pieces` field, because the length of a request
/// head is limited.
const PREFIX_LIMIT: usize = 128;
/// Maximum number of idle connections to the target.
const IDLE_CONNECTIONS: usize = 128;
/// Timeout for runs that the state machine fails to end; it normally ends them by their deadline.
const ANSWER_LIMIT_MS: Duration = Duration::from_hours(1);

/// Time without a byte within an engine's answer after which its connection counts as lost. Longer
/// than the pauses of a busy engine; a false alarm costs one more connection.
const ENGINE_STALL_LIMIT_MS: Duration = Duration::from_secs(5);
/// Timeout for the head of a resumed answer, which the engine has in memory.
const RESUME_HEAD_LIMIT_MS: Duration = Duration::from_secs(2);
/// Response field with the engine's BLAKE3 digest, in hex, of the bytes before the offset.
const PREFIX_DIGEST: &str = "x-prefix-digest";
/// Response field with the requests a second that the target takes.
const RATE_LIMIT: &str = "x-requests-per-second";

/// Limits of the client for runs. Answers of plain services cannot be resumed, so only
/// `ANSWER_LIMIT_MS` applies to them.
pub fn client_limits(kind: ServiceKind) -> ClientLimits {
    ClientLimits {
        idle_connections: IDLE_CONNECTIONS,
        head_ms: ANSWER_LIMIT_MS,
        stall_ms: match kind {
            ServiceKind::Model => ENGINE_STALL_LIMIT_MS,
            ServiceKind::Plain => ANSWER_LIMIT_MS,
        },
        ..ClientLimits::default()
    }
}

/// Limits of the client for resumed answers. Each request uses a new connection, because idle ones
/// may have been lost together with the first.
fn resume_limits() -> ClientLimits {
    ClientLimits {
        idle_connections: 0,
        connect_ms: RESUME_HEAD_LIMIT_MS,
        head_ms: RESUME_HEAD_LIMIT_MS,
        ..client_limits(ServiceKind::Model)
    }
}

/// Runs in progress.
#[derive(Default)]
pub struct Runs {
    open: RefCell<HashMap<RunId, OpenRun>>,
}

struct OpenRun {
    read_permits: Sender<()>,
    /// Dropped to end the run.
    task: Task<()>,
}

impl Runs {
    /// Permits the delivery of a run's next bytes.
    pub fn read(&self, run: RunId) {
        if let Some(open) = self.open.borrow().get(&run) {
            let _ = open.read_permits.try_send(());
        }
    }

    /// Ends the delivery of a run's answer.
    pub fn release(&self, run: RunId) {
        self.open.borrow_mut().remove(&run);
    }

    #[expect(
        clippy::unused_self,
        reason = "gauges of the daemon's runs belong to it"
    )]
    pub fn record_gauges(&self, agent: &Agent) {
        let load = agent.load();
        metrics::gauge!("agent_running").set(f64::from(load.running));
        metrics::gauge!("agent_queued").set(f64::from(load.queued));
        metrics::gauge!("agent_away").set(f64::from(u8::from(load.away)));
        metrics::gauge!("agent_leaving").set(f64::from(u8::from(load.leaving)));
    }
}

/// Sends the request of an attempt to the target.
pub fn start(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId, priority: u8, work: Work) {
    let running = daemon.clone();
    spawn(daemon, run, move |permits| async move {
        run_request(&running, run, attempt, priority, work, permits).await
    });
}

/// Requests the rest of an answer from the engine.
pub fn resume(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId, offset: u64) {
    let running = daemon.clone();
    spawn(daemon, run, move |permits| async move {
        resume_request(&running, run, attempt, offset, permits).await
    });
}

fn spawn<F>(daemon: &Rc<Daemon>, run: RunId, exchange: impl FnOnce(Receiver<()>) -> F)
where
    F: Future<Output = Result<(), ClientError>> + 'static,
{
    let (read_permits, permits) = async_channel::bounded(1);
    let running = daemon.clone();
    let exchange = exchange(permits);
    let task = daemon.executor.spawn(async move {
        let last = match exchange.await {
            Ok(()) => TargetEvent::End,
            Err(error) => TargetEvent::Failed {
                sent: error.was_sent(),
                detail: error.to_string(),
            },
        };
        running.handle_event(Event::Target { run, event: last });
        // A task must not be cancelled by dropping its handle from within, so the handle is
        // detached after the last `await`.
        let ended = running.runs.open.borrow_mut().remove(&run);
        if let Some(ended) = ended {
            ended.task.detach();
        }
    });
    let open = OpenRun { read_permits, task };
    daemon.runs.open.borrow_mut().insert(run, open);
}

/// Ends a run; an engine is told to stop it.
pub fn abort(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId) {
    daemon.runs.open.borrow_mut().remove(&run);
    if !daemon.is_model {
        return;
    }
    let client = daemon.client.clone();
    daemon.spawn(async move {
        let path = format!("/requests/{}", engine_request_id(attempt));
        if let Ok(request) = client.request(http_types::Method::Delete, &path) {
            // Best effort: the engine also stops the run when its connection closes.
            let _ = client.send_buffered(request).await;
        }
    });
}

async fn run_request(
    daemon: &Rc<Daemon>,
    run: RunId,
    attempt: AttemptId,
    priority: u8,
    work: Work,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    let request = build_request(daemon, attempt, priority, work)?;
    let response = daemon.client.send(request).await?;
    report_named_rate(daemon, run, &response);
    let (content_type, headers) = parse_head(daemon, &response)?;
    daemon.handle_event(Event::Target {
        run,
        event: TargetEvent::Head {
            status: response.status.into(),
            content_type,
            headers,
        },
    });
    relay_body(daemon, run, response, permits).await
}

async fn resume_request(
    daemon: &Rc<Daemon>,
    run: RunId,
    attempt: AttemptId,
    offset: u64,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    let client = Client::new(daemon.client.addr(), resume_limits());
    let path = format!("/requests/{}?offset={offset}", engine_request_id(attempt));
    let request = client.request(http_types::Method::Get, &path)?;
    let response = client.send(request).await?;
    report_named_rate(daemon, run, &response);
    match response.status {
        StatusCode::Ok => {}
        StatusCode::NotFound | StatusCode::Gone | StatusCode::RequestedRangeNotSatisfiable => {
            let detail = format!("the engine cannot continue the answer: {}", response.status);
            let event = TargetEvent::RunUnknown { detail };
            daemon.handle_event(Event::Target { run, event });
            return Ok(());
        }
        status => {
            let detail = format!("the engine did not continue the answer: {status}");
            return Err(ClientError::interrupted(detail));
        }
    }
    let (content_type, headers) = parse_head(daemon, &response)?;
    let prefix = response.headers.get(PREFIX_DIGEST);
    daemon.handle_event(Event::Target {
        run,
        event: TargetEvent::Resumed {
            status: response.status.into(),
            content_type,
            headers,
            prefix: prefix.and_then(|digest| parse_digest(digest.as_str())),
        },
    });
    relay_body(daemon, run, response, permits).await
}

/// Reports what an answer says about the limit of the target. One that refuses the request does not
/// end a limit by not naming it.
fn report_named_rate(daemon: &Rc<Daemon>, run: RunId, response: &StreamingResponse) {
    let values = response.headers.get(RATE_LIMIT).into_iter().flatten();
    let named = NamedRate::from_values(values.map(HeaderValue::as_str));
    let is_refusal = matches!(
        response.status,
        StatusCode::TooManyRequests | StatusCode::ServiceUnavailable
    );
    let pause = response.headers.get("retry-after");
    let pause = pause.and_then(|value| limits::pause_from_text(value.as_str()));
    if let Some(pause) = pause.filter(|_| response.status == StatusCode::ServiceUnavailable) {
        daemon.handle_event(Event::Target {
            run,
            event: TargetEvent::PauseAsked(pause),
        });
    }
    if is_refusal && named == NamedRate::Absent {
        return;
    }
    daemon.handle_event(Event::Target {
        run,
        event: TargetEvent::RateNamed(named),
    });
}

/// Content type and relayed fields of a response head.
fn parse_head(
    daemon: &Daemon,
    response: &StreamingResponse,
) -> Result<(String, Headers), ClientError> {
    let content_type = response
        .headers
        .get("content-type")
        .map_or_else(String::new, |value| value.as_str().to_owned());
    let kind = if daemon.is_model {
        ServiceKind::Model
    } else {
        ServiceKind::Plain
    };
    let headers = http::response_headers(&response.headers, kind)
        .map_err(|error| ClientError::interrupted(format!("invalid response head: {error}")))?;
    Ok((content_type, headers))
}

/// Delivers chunks of the body, one for each permit.
async fn relay_body(
    daemon: &Rc<Daemon>,
    run: RunId,
    mut response: StreamingResponse,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    loop {
        if permits.recv().await.is_err() {
            // The run was released or aborted, so its result is ignored.
            return Ok(());
        }
        let Some(bytes) = response.next_chunk().await? else {
            return Ok(());
        };
        daemon.handle_event(Event::Target {
            run,
            event: TargetEvent::Bytes(bytes),
        });
    }
}

fn parse_digest(hex: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    if hex.len() != 2 * digest.len() || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

fn build_request(
    daemon: &Daemon,
    attempt: AttemptId,
    priority: u8,
    work: Work,
) -> Result<Request, ClientError> {
    let mut request = daemon
        .client
        .request(http_method(work.method), &work.path)?;
    for field in work.headers.iter() {
        request.append_header(field.name.as_str(), field.value.as_str());
    }
    if !work.content_type.is_empty() {
        request.insert_header("content-type", work.content_type.as_str());
    }
    request.insert_header("x-request-id", engine_request_id(attempt));
    request.insert_header("x-priority", priority.to_string());
    if daemon.is_model && !work.prefixes.is_empty() {
        let prefixes: Vec<String> = work
            .prefixes
            .iter()
            .take(PREFIX_LIMIT)
            .map(|prefix| format!("{prefix:016x}"))
            .collect();
        request.insert_header("x-cache-pieces", prefixes.join(","));
    }
    if !work.body.is_empty() {
        request.set_body(work.body);
    }
    Ok(request)
}

fn engine_request_id(attempt: AttemptId) -> String {
    format!("{:032x}-{}", attempt.request, attempt.number)
}

fn http_method(method: Method) -> http_types::Method {
    match method {
        Method::Get => http_types::Method::Get,
        Method::Head => http_types::Method::Head,
        Method::Put => http_types::Method::Put,
        Method::Delete => http_types::Method::Delete,
        Method::Post => http_types::Method::Post,
        Method::Patch => http_types::Method::Patch,
    }
}
