//! Runs of attempts at the target over HTTP.

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
use crate::machine::Agent;

/// Most cache pieces named in the head of a request; the head of HTTP messages is bounded.
const PIECE_LIMIT: usize = 128;
/// Idle connections to the target.
const IDLE_CONNECTIONS: usize = 128;
/// The state machine bounds runs by their deadlines; this only frees what it forgot.
const ANSWER_LIMIT_MS: Duration = Duration::from_hours(1);

/// Time without a byte in the middle of an engine's answer after which its connection is taken for
/// silent. Longer than the pauses of a busy engine; a false alarm costs one more connection.
const ENGINE_SILENCE_MS: Duration = Duration::from_secs(5);
/// Time for an engine to begin with the rest of an answer, which it has at hand.
const RESUME_HEAD_LIMIT_MS: Duration = Duration::from_secs(2);
/// Field in which an engine states the BLAKE3 digest, in hex, of the bytes before the offset.
const PREFIX_DIGEST: &str = "x-prefix-digest";

/// Limits of the client for runs. Plain services cannot continue an answer, so they have time.
pub fn client_limits(kind: ServiceKind) -> ClientLimits {
    ClientLimits {
        idle_connections: IDLE_CONNECTIONS,
        head_ms: ANSWER_LIMIT_MS,
        stall_ms: match kind {
            ServiceKind::Model => ENGINE_SILENCE_MS,
            ServiceKind::Plain => ANSWER_LIMIT_MS,
        },
        ..ClientLimits::default()
    }
}

/// Limits of the client for the rest of an answer. Each uses a connection of its own, because idle
/// ones may have gone silent together with the one that was lost.
fn resume_limits() -> ClientLimits {
    ClientLimits {
        idle_connections: 0,
        connect_ms: RESUME_HEAD_LIMIT_MS,
        head_ms: RESUME_HEAD_LIMIT_MS,
        ..client_limits(ServiceKind::Model)
    }
}

/// Runs under way.
#[derive(Default)]
pub struct Runs {
    open: RefCell<HashMap<RunId, Open>>,
}

struct Open {
    reads: Sender<()>,
    /// Dropped to give the run up.
    task: Task<()>,
}

impl Runs {
    /// Lets a run deliver its next bytes.
    pub fn read(&self, run: RunId) {
        if let Some(open) = self.open.borrow().get(&run) {
            let _ = open.reads.try_send(());
        }
    }

    /// Stops reading a run.
    pub fn release(&self, run: RunId) {
        self.open.borrow_mut().remove(&run);
    }

    /// Records gauges.
    #[expect(
        clippy::unused_self,
        reason = "gauges of the daemon's runs belong to it"
    )]
    pub fn record(&self, agent: &Agent) {
        let load = agent.load();
        metrics::gauge!("agent_running").set(f64::from(load.running));
        metrics::gauge!("agent_queued").set(f64::from(load.queued));
        metrics::gauge!("agent_away").set(f64::from(u8::from(load.away)));
        metrics::gauge!("agent_leaving").set(f64::from(u8::from(load.leaving)));
    }
}

/// Starts a run.
pub fn start(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId, priority: u8, work: Work) {
    let running = daemon.clone();
    spawn(daemon, run, move |permits| async move {
        exchange(&running, run, attempt, priority, work, permits).await
    });
}

/// Asks the engine for the rest of an answer.
pub fn resume(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId, offset: u64) {
    let running = daemon.clone();
    spawn(daemon, run, move |permits| async move {
        exchange_rest(&running, run, attempt, offset, permits).await
    });
}

fn spawn<F>(daemon: &Rc<Daemon>, run: RunId, exchange: impl FnOnce(Receiver<()>) -> F)
where
    F: Future<Output = Result<(), ClientError>> + 'static,
{
    let (reads, permits) = async_channel::bounded(1);
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
        running.tell(Event::Target { run, event: last });
        // Dropping the handle of the task that runs here is only safe after its last await.
        let ended = running.runs.open.borrow_mut().remove(&run);
        if let Some(ended) = ended {
            ended.task.detach();
        }
    });
    let open = Open { reads, task };
    daemon.runs.open.borrow_mut().insert(run, open);
}

/// Drops a run; an engine is told to stop it.
pub fn abort(daemon: &Rc<Daemon>, run: RunId, attempt: AttemptId) {
    daemon.runs.open.borrow_mut().remove(&run);
    if !daemon.is_model {
        return;
    }
    let client = daemon.client.clone();
    daemon.spawn(async move {
        let path = format!("/requests/{}", request_name(attempt));
        if let Ok(request) = client.request(http_types::Method::Delete, &path) {
            // An engine that cannot be told stops when it sees that the connection is closed.
            let _ = client.send_whole(request).await;
        }
    });
}

async fn exchange(
    daemon: &Rc<Daemon>,
    run: RunId,
    attempt: AttemptId,
    priority: u8,
    work: Work,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    let request = build(daemon, attempt, priority, work)?;
    let response = daemon.client.send(request).await?;
    let (content_type, headers) = head(daemon, &response)?;
    daemon.tell(Event::Target {
        run,
        event: TargetEvent::Head {
            status: response.status.into(),
            content_type,
            headers,
        },
    });
    deliver(daemon, run, response, permits).await
}

async fn exchange_rest(
    daemon: &Rc<Daemon>,
    run: RunId,
    attempt: AttemptId,
    offset: u64,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    let client = Client::new(daemon.client.addr(), resume_limits());
    let path = format!("/requests/{}?offset={offset}", request_name(attempt));
    let request = client.request(http_types::Method::Get, &path)?;
    let response = client.send(request).await?;
    match response.status {
        StatusCode::Ok => {}
        StatusCode::NotFound | StatusCode::Gone | StatusCode::RequestedRangeNotSatisfiable => {
            let detail = format!("the engine cannot continue the answer: {}", response.status);
            let event = TargetEvent::Forgotten { detail };
            daemon.tell(Event::Target { run, event });
            return Ok(());
        }
        status => {
            let detail = format!("the engine did not continue the answer: {status}");
            return Err(ClientError::Interrupted { detail });
        }
    }
    let (content_type, headers) = head(daemon, &response)?;
    let prefix = response.headers.get(PREFIX_DIGEST);
    daemon.tell(Event::Target {
        run,
        event: TargetEvent::Resumed {
            status: response.status.into(),
            content_type,
            headers,
            prefix: prefix.and_then(|digest| parse_digest(digest.as_str())),
        },
    });
    deliver(daemon, run, response, permits).await
}

/// Media type and other fields of an answer.
fn head(daemon: &Daemon, response: &StreamingResponse) -> Result<(String, Headers), ClientError> {
    let content_type = response
        .headers
        .get("content-type")
        .map_or_else(String::new, |value| value.as_str().to_owned());
    let kind = if daemon.is_model {
        ServiceKind::Model
    } else {
        ServiceKind::Plain
    };
    let headers = http::answer_headers(&response.headers, kind).map_err(|error| {
        ClientError::Interrupted {
            detail: format!("head of the answer refused: {error}"),
        }
    })?;
    Ok((content_type, headers))
}

/// Delivers the body as it is asked for.
async fn deliver(
    daemon: &Rc<Daemon>,
    run: RunId,
    mut response: StreamingResponse,
    permits: Receiver<()>,
) -> Result<(), ClientError> {
    loop {
        if permits.recv().await.is_err() {
            // The run was given up; nobody listens to it any more.
            return Ok(());
        }
        let Some(bytes) = response.next_chunk().await? else {
            return Ok(());
        };
        daemon.tell(Event::Target {
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

fn build(
    daemon: &Daemon,
    attempt: AttemptId,
    priority: u8,
    work: Work,
) -> Result<Request, ClientError> {
    let mut request = daemon.client.request(method(work.method), &work.path)?;
    for field in work.headers.iter() {
        request.append_header(field.name.as_str(), field.value.as_str());
    }
    if !work.content_type.is_empty() {
        request.insert_header("content-type", work.content_type.as_str());
    }
    request.insert_header("x-request-id", request_name(attempt));
    request.insert_header("x-priority", priority.to_string());
    if daemon.is_model && !work.prefixes.is_empty() {
        let pieces: Vec<String> = work
            .prefixes
            .iter()
            .take(PIECE_LIMIT)
            .map(|piece| format!("{piece:016x}"))
            .collect();
        request.insert_header("x-cache-pieces", pieces.join(","));
    }
    if !work.body.is_empty() {
        request.set_body(work.body);
    }
    Ok(request)
}

fn request_name(attempt: AttemptId) -> String {
    format!("{:032x}-{}", attempt.request, attempt.number)
}

fn method(method: Method) -> http_types::Method {
    match method {
        Method::Get => http_types::Method::Get,
        Method::Head => http_types::Method::Head,
        Method::Put => http_types::Method::Put,
        Method::Delete => http_types::Method::Delete,
        Method::Post => http_types::Method::Post,
        Method::Patch => http_types::Method::Patch,
    }
}
