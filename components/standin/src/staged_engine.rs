//! Stand-in for an engine of the users' platform with separate prefill and decode stages, or for a
//! plain service there.
//!
//! Responses are short and derived from the request id, so that a caller can check that it received
//! the complete response to its own request. All engines of a test record their runs in one
//! [`Ledger`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http_types::Response;
use serde_json::json;
use smol::Timer;

use crate::responses;
use crate::responses::header;

/// Number of events in a stream.
pub const EVENT_COUNT: u32 = 5;
/// Time per stream event, per prefill and per plain request.
const WORK_MS: Duration = Duration::from_millis(8);
/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Engine that ran it.
    pub engine: String,
    /// Start time.
    pub started_at: Instant,
    /// Number of the event after which the stream was resumed; 0 for a run from the start.
    pub after: u32,
    /// Request that began the stream: another one if the caller resumes it.
    pub stream: String,
    /// Build of the engine.
    pub build: String,
}

/// A request that reached an engine, whether it was run or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Request id.
    pub id: String,
    /// Stage of the engine.
    pub stage: Stage,
    /// Time of arrival.
    pub at: Instant,
}

/// A call of any kind that reached an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineCall {
    /// Engine that got it.
    pub engine: String,
    /// Number of the engine's process, which differs after a crash or a replacement.
    pub process: usize,
    /// Time of arrival.
    pub at: Instant,
}

/// Runs and protocol violations recorded by all engines.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Arrivals, except the first prefill that was accepted for each request.
    pub arrivals: Vec<Arrival>,
    /// All calls, those that release a KV cache included.
    pub calls: Vec<EngineCall>,
    /// Answers that named a limit, by engine.
    pub limits_named: Vec<(String, Instant)>,
    /// Answers in which engines said that they leave.
    pub leaving_said: Vec<EngineCall>,
    /// Answers in which engines asked for a pause, with its length.
    pub pauses_asked: Vec<(EngineCall, Duration)>,
    /// Requests for which an engine has accepted a prefill.
    prefilled: BTreeSet<String>,
    /// Runs by request id.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Descriptions of requests that violate the protocol.
    pub violations: Vec<String>,
    /// Part of a prompt, as in `x-prompt-prefix`, that crashes each engine that begins to answer.
    pub deadly_part: Option<String>,
    /// Path of the request that crashes each engine that runs it.
    pub deadly_path: Option<String>,
    /// Crashes under that request.
    pub request_crashes: usize,
    /// Engines that either has crashed.
    pub crashes: Vec<String>,
    /// Engine and request id of each prefilled KV cache by handle, removed on first use.
    kv_handles: BTreeMap<String, (String, String)>,
    last_handle: u64,
}

impl Ledger {
    /// Most calls that an engine got in a span of the given length, from `from` to `until`.
    #[must_use]
    pub fn most_calls_within(
        &self,
        engine: &str,
        (from, until): (Instant, Instant),
        span: Duration,
    ) -> usize {
        let calls = self.calls.iter().filter(|call| call.engine == engine);
        let times = calls.map(|call| call.at);
        let times: Vec<Instant> = times.filter(|at| (from..until).contains(at)).collect();
        let counts = times.iter().enumerate().map(|(first, start)| {
            let span = times[first..].iter().take_while(|at| **at < *start + span);
            span.count()
        });
        counts.max().unwrap_or(0)
    }

    /// Streams with runs of several builds, by the request that began them. Runs that began anew
    /// because no event had been sent are left out.
    #[must_use]
    pub fn streams_across_builds(&self) -> Vec<String> {
        let mut streams: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in self.runs.values().flatten() {
            streams.entry(&run.stream).or_default().push(run);
        }
        let is_mixed = |runs: &Vec<&Run>| {
            let mut runs = runs.clone();
            runs.sort_by_key(|run| run.started_at);
            let mut build = None;
            runs.iter().any(|run| {
                let before = build.replace(&run.build);
                run.after > 0 && before.is_some_and(|before| *before != run.build)
            })
        };
        let mixed = streams.into_iter().filter(|(_, runs)| is_mixed(runs));
        mixed.map(|(stream, _)| stream.to_owned()).collect()
    }

    /// Calls of the process that gave an answer, after an instant and for a time.
    #[must_use]
    pub fn calls_after(&self, answer: &EngineCall, from: Instant, duration: Duration) -> usize {
        let is_same =
            |call: &&EngineCall| call.engine == answer.engine && call.process == answer.process;
        let calls = self.calls.iter().filter(is_same);
        let span = from..from + duration;
        calls.filter(|call| span.contains(&call.at)).count()
    }

    /// Records that an engine accepted a prefill; the first one of a request is no arrival.
    fn accept_prefill(&mut self, id: &str) {
        if self.prefilled.insert(id.to_owned()) {
            let arrival = self.arrivals.iter().rposition(|arrival| arrival.id == id);
            if let Some(at) = arrival {
                self.arrivals.remove(at);
            }
        }
    }
}

/// How an engine handles requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineMode {
    /// Responds normally.
    #[default]
    Healthy,
    /// Rejects every request with 503 and `x-not-executed`.
    Overloaded,
    /// Runs requests and closes the connection without a response.
    LosesResponses,
    /// Accepts requests and neither runs them nor responds.
    Unresponsive,
    /// Closes the connection of a stream in the middle of an event.
    TruncatesStreams,
    /// Sends the response to a plain request twice.
    DuplicatesResponses,
    /// Runs plain requests and responds with 500; closes the connection of a prefill.
    Fails,
    /// Has crashed: closes every connection without a response.
    Crashed,
}

/// Serving stage of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Plain service without stages.
    Plain,
    /// Processes prompts for decode engines.
    Prefill,
    /// Generates output as a stream of events.
    Decode,
}

/// An engine that handles requests of one stage.
pub struct StagedEngine {
    /// Instance name, as in `x-expected-instance`.
    pub name: String,
    /// Stage that the engine serves; requests of other stages are rejected with 421.
    pub stage: Stage,
    /// How it handles requests; a test changes it at any time.
    pub mode: Cell<EngineMode>,
    /// Limit on requests a second that it names in its answers.
    pub requests_per_s: Cell<Option<f64>>,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: Cell<bool>,
    /// Pause that it asks for when it rejects a request with 503.
    pub pause: Cell<Option<Duration>>,
    /// Number of times that it was replaced by a new process after it had left.
    pub replacements: Cell<usize>,
    /// When a part of a prompt last crashed it.
    pub crashed_at: Cell<Option<Instant>>,
    /// Build of its software, as in its row of the store.
    pub build: RefCell<String>,
    /// Record shared by all engines of a test.
    pub ledger: Rc<RefCell<Ledger>>,
}

/// Response body of a plain service.
#[must_use]
pub fn plain_response_body(id: &str) -> String {
    format!("the whole answer to {id}\n").repeat(3)
}

/// Stream event by number, from 1 to [`EVENT_COUNT`].
#[must_use]
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

impl StagedEngine {
    fn record_run(&self, request: &Request, id: &str, after: u32) {
        let stream = header(request, "resumes").unwrap_or(id).to_owned();
        let run = Run {
            engine: self.name.clone(),
            started_at: Instant::now(),
            after,
            stream,
            build: self.build.borrow().clone(),
        };
        let mut ledger = self.ledger.borrow_mut();
        ledger.runs.entry(id.to_owned()).or_default().push(run);
    }

    fn has_deadly_part(&self, request: &Request) -> bool {
        let parts = header(request, "x-prompt-prefix").unwrap_or_default();
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let ids = shared.split(',').filter_map(|part| part.split(':').next());
        let ledger = self.ledger.borrow();
        let deadly = ledger.deadly_part.as_deref();
        ids.into_iter().any(|id| Some(id) == deadly)
    }

    fn has_deadly_path(&self, request: &Request) -> bool {
        self.ledger.borrow().deadly_path.as_deref() == Some(&request.target)
    }

    /// Sends the head of the answer if it is queued, and ends this and all other runs.
    async fn crash(&self, request: &Request, exchange: &mut Exchange) {
        let _ = exchange.flush().await;
        let is_by_request = self.has_deadly_path(request);
        self.ledger.borrow_mut().request_crashes += usize::from(is_by_request);
        self.mode.set(EngineMode::Crashed);
        self.crashed_at.set(Some(Instant::now()));
        self.ledger.borrow_mut().crashes.push(self.name.clone());
    }

    fn head(&self, status: u16, id: &str) -> Response {
        let mut head = responses::head(status, "text/plain");
        head.insert_header("x-attempt-id", id);
        head.insert_header("x-response-signature", format!("{}.{id}", self.name));
        self.name_limit(&mut head);
        head
    }

    fn say_leaving(&self, head: &mut Response) {
        if !self.is_leaving.get() {
            return;
        }
        head.insert_header("server-leaving", "1");
        let said = self.call_now();
        self.ledger.borrow_mut().leaving_said.push(said);
    }

    fn call_now(&self) -> EngineCall {
        EngineCall {
            engine: self.name.clone(),
            process: self.process(),
            at: Instant::now(),
        }
    }

    /// Number of the process.
    #[must_use]
    pub fn process(&self) -> usize {
        let ledger = self.ledger.borrow();
        let crashes = ledger.crashes.iter().filter(|name| **name == self.name);
        crashes.count() + self.replacements.get()
    }

    /// What it says of itself in all answers.
    fn name_limit(&self, head: &mut Response) {
        self.say_leaving(head);
        if let Some(requests_per_s) = self.requests_per_s.get() {
            let mut ledger = self.ledger.borrow_mut();
            ledger
                .limits_named
                .push((self.name.clone(), Instant::now()));
            head.insert_header("server-limit", requests_per_s.to_string());
        }
    }

    async fn reject(&self, exchange: &mut Exchange, status: u16, id: &str) {
        let mut head = responses::head(status, "text/plain");
        head.insert_header("x-attempt-id", id);
        head.insert_header("x-instance-id", self.name.as_str());
        head.insert_header("x-not-executed", "1");
        self.name_limit(&mut head);
        if let Some(pause) = self.pause.get().filter(|_| status == 503) {
            head.insert_header("retry-after", pause.as_secs_f64().to_string());
            let asked = (self.call_now(), pause);
            self.ledger.borrow_mut().pauses_asked.push(asked);
        }
        // Errors are ignored, as the client may have disconnected.
        let _ = exchange.respond(head, b"").await;
    }

    async fn serve(&self, request: &Request, exchange: &mut Exchange) {
        let id = header(request, "x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        self.ledger.borrow_mut().arrivals.push(Arrival {
            id: id.clone(),
            stage: self.stage,
            at: Instant::now(),
        });
        if header(request, "x-expected-instance") != Some(self.name.as_str()) {
            return self.reject(exchange, 421, &id).await;
        }
        if header(request, "x-deadline-ms").is_none() {
            let violation = format!("{id}: header x-deadline-ms is missing");
            self.ledger.borrow_mut().violations.push(violation);
        }
        match self.mode.get() {
            EngineMode::Crashed => return responses::abort(exchange),
            EngineMode::Overloaded => return self.reject(exchange, 503, &id).await,
            EngineMode::Unresponsive => {
                // Pending until the client closes the connection.
                let _ = exchange.or_hang_up(std::future::pending::<()>()).await;
                return;
            }
            _ => {}
        }
        let is_prefill = header(request, "x-serving-stage") == Some("prefill");
        match self.stage {
            Stage::Plain => self.serve_plain(&id, request, exchange).await,
            Stage::Prefill if is_prefill => self.serve_prefill(&id, exchange).await,
            Stage::Decode if !is_prefill => self.serve_decode(&id, request, exchange).await,
            Stage::Prefill | Stage::Decode => self.reject(exchange, 421, &id).await,
        }
    }

    async fn serve_plain(&self, id: &str, request: &Request, exchange: &mut Exchange) {
        self.record_run(request, id, 0);
        if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
            return;
        }
        if self.has_deadly_path(request) && self.mode.get() != EngineMode::Crashed {
            self.crash(request, exchange).await;
        }
        if self.mode.get() == EngineMode::Crashed {
            return responses::abort(exchange);
        }
        let body = plain_response_body(id);
        let mode = self.mode.get();
        match mode {
            EngineMode::LosesResponses => responses::abort(exchange),
            EngineMode::Fails => {
                let _ = exchange.respond(self.head(500, id), b"failed").await;
            }
            _ => {
                let _ = exchange.respond(self.head(200, id), body.as_bytes()).await;
                if mode == EngineMode::DuplicatesResponses {
                    let copy = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: {id}\r\n\
                         X-Response-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                        self.name,
                        body.len()
                    );
                    let _ = exchange.send_raw(copy.as_bytes()).await;
                }
            }
        }
    }

    async fn serve_prefill(&self, id: &str, exchange: &mut Exchange) {
        if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
            return;
        }
        if matches!(
            self.mode.get(),
            EngineMode::LosesResponses | EngineMode::Fails
        ) {
            return responses::abort(exchange);
        }
        let handle = {
            let mut ledger = self.ledger.borrow_mut();
            ledger.accept_prefill(id);
            ledger.last_handle += 1;
            let handle = format!("m{}", ledger.last_handle);
            let owner = (self.name.clone(), id.to_owned());
            ledger.kv_handles.insert(handle.clone(), owner);
            handle
        };
        let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
        let mut head = responses::head(200, "application/json");
        head.insert_header("x-attempt-id", id);
        self.name_limit(&mut head);
        let _ = exchange.respond(head, body.as_bytes()).await;
    }

    async fn serve_decode(&self, id: &str, request: &Request, exchange: &mut Exchange) {
        if let Some(source) = header(request, "x-kv-source") {
            let handle = source.rsplit('/').next().unwrap_or_default();
            let owner = self.ledger.borrow_mut().kv_handles.remove(handle);
            match owner {
                None => return self.reject(exchange, 503, id).await,
                Some((_, owner)) if owner != id => {
                    let violation = format!("{id}: KV cache handle belongs to request {owner}");
                    self.ledger.borrow_mut().violations.push(violation);
                }
                Some(_) => {}
            }
        }
        let after = header(request, "last-event-id");
        let after: u32 = after.and_then(|number| number.parse().ok()).unwrap_or(0);
        self.record_run(request, id, after);
        if self.mode.get() == EngineMode::LosesResponses {
            return responses::abort(exchange);
        }
        let mut head = self.head(200, id);
        head.insert_header("content-type", "text/event-stream");
        exchange.queue_head(head);
        for number in after + 1..=EVENT_COUNT {
            if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
                return;
            }
            if self.has_deadly_part(request) || self.has_deadly_path(request) {
                self.crash(request, exchange).await;
            }
            if self.mode.get() == EngineMode::Crashed {
                return;
            }
            let event = event(id, number);
            if self.mode.get() == EngineMode::TruncatesStreams && number == 3 {
                let half = &event.as_bytes()[..event.len() / 2];
                let _ = exchange.write(half).await;
                return;
            }
            if exchange.write(event.as_bytes()).await.is_err() {
                return;
            }
        }
        let _ = exchange.finish().await;
    }
}

/// HTTP handler of an engine whose mode the test can change.
pub struct StagedEngineHandler(pub Rc<StagedEngine>);

impl Handler for StagedEngineHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            let call = self.0.call_now();
            self.0.ledger.borrow_mut().calls.push(call);
            if request.head.method() == http_types::Method::Delete {
                let handle = request
                    .head
                    .url()
                    .path()
                    .rsplit('/')
                    .next()
                    .map(str::to_owned);
                self.0
                    .ledger
                    .borrow_mut()
                    .kv_handles
                    .remove(&handle.unwrap_or_default());
                responses::send(exchange, 200, &json!({})).await;
            } else {
                self.0.serve(&request, exchange).await;
            }
        })
    }
}
