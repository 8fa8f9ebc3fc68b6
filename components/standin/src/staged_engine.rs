//! Stand-in for an engine of the users' platform, or for a plain service there.
//!
//! Answers are short and their content follows from the request, so that every caller can check
//! that it got the whole answer to its own request. All engines of a test write what they ran into
//! one [`Ledger`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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

use crate::answers;
use crate::answers::header;

/// Events of a stream.
pub const EVENTS: u32 = 5;
/// Time between two events, and the work of a plain request.
const WORK_MS: Duration = Duration::from_millis(8);
/// Largest body of a request.
const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Engine that ran it.
    pub engine: String,
    /// When it began.
    pub began: Instant,
    /// Event after which it went on.
    pub after: u32,
}

/// What all engines ran.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Runs by the id of the request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Calls that break the protocol.
    pub faults: Vec<String>,
    /// Memory of prompts: name, engine, request; gone once used.
    kept: BTreeMap<String, (String, String)>,
    next_name: u64,
}

/// How an engine behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineMode {
    /// It answers.
    #[default]
    Well,
    /// It rejects everything and says so.
    Full,
    /// It runs requests and closes the connection instead of answering.
    LosesAnswers,
    /// It takes requests and neither runs nor answers them.
    Silent,
    /// It breaks streams off in the middle of an event.
    BreaksStreams,
    /// It sends each answer twice.
    Repeats,
    /// It runs requests and answers them with a failure of its own.
    Fails,
}

/// Part of the work that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A plain service.
    Plain,
    /// It reads prompts for others.
    Prefill,
    /// It runs requests.
    Decode,
}

/// An engine.
pub struct StagedEngine {
    /// Name of the process.
    pub name: String,
    /// Stage.
    pub stage: Stage,
    /// Behaviour.
    pub mode: Cell<EngineMode>,
    /// Shared by all engines.
    pub ledger: Rc<RefCell<Ledger>>,
}

/// Body of the answer of a plain service.
#[must_use]
pub fn plain_answer(id: &str) -> String {
    format!("the whole answer to {id}\n").repeat(3)
}

/// Event of a stream, from 1.
#[must_use]
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

impl StagedEngine {
    fn run(&self, id: &str, after: u32) {
        let run = Run {
            engine: self.name.clone(),
            began: Instant::now(),
            after,
        };
        let mut ledger = self.ledger.borrow_mut();
        ledger.runs.entry(id.to_owned()).or_default().push(run);
    }

    fn head(&self, status: u16, id: &str) -> Response {
        let mut head = answers::head(status, "text/plain");
        head.insert_header("x-attempt-id", id);
        head.insert_header("x-response-signature", format!("{}.{id}", self.name));
        head
    }

    async fn reject(&self, exchange: &mut Exchange, status: u16, id: &str) {
        let mut head = answers::head(status, "text/plain");
        head.insert_header("x-attempt-id", id);
        head.insert_header("x-instance-id", self.name.as_str());
        head.insert_header("x-not-executed", "1");
        // A caller that hung up does not get it.
        let _ = exchange.respond(head, b"").await;
    }

    async fn serve(&self, request: &Request, exchange: &mut Exchange) {
        let id = header(request, "x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if header(request, "x-expected-instance") != Some(self.name.as_str()) {
            return self.reject(exchange, 421, &id).await;
        }
        if header(request, "x-deadline-ms").is_none() {
            let fault = format!("{id} came without its deadline");
            self.ledger.borrow_mut().faults.push(fault);
        }
        match self.mode.get() {
            EngineMode::Full => return self.reject(exchange, 503, &id).await,
            EngineMode::Silent => {
                // Ends when the caller closes the connection.
                let _ = exchange.or_hang_up(std::future::pending::<()>()).await;
                return;
            }
            _ => {}
        }
        let is_prefill = header(request, "x-serving-stage") == Some("prefill");
        match self.stage {
            Stage::Plain => self.serve_plain(&id, exchange).await,
            Stage::Prefill if is_prefill => self.read_prompt(&id, exchange).await,
            Stage::Decode if !is_prefill => self.stream(&id, request, exchange).await,
            Stage::Prefill | Stage::Decode => self.reject(exchange, 421, &id).await,
        }
    }

    async fn serve_plain(&self, id: &str, exchange: &mut Exchange) {
        self.run(id, 0);
        if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
            return;
        }
        let body = plain_answer(id);
        let mode = self.mode.get();
        match mode {
            EngineMode::LosesAnswers => answers::hang_up(exchange),
            EngineMode::Fails => {
                let _ = exchange.respond(self.head(500, id), b"failed").await;
            }
            _ => {
                let _ = exchange.respond(self.head(200, id), body.as_bytes()).await;
                if mode == EngineMode::Repeats {
                    let _ = exchange.respond(self.head(200, id), body.as_bytes()).await;
                }
            }
        }
    }

    async fn read_prompt(&self, id: &str, exchange: &mut Exchange) {
        if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
            return;
        }
        if matches!(
            self.mode.get(),
            EngineMode::LosesAnswers | EngineMode::Fails
        ) {
            return answers::hang_up(exchange);
        }
        let name = {
            let mut ledger = self.ledger.borrow_mut();
            ledger.next_name += 1;
            let name = format!("m{}", ledger.next_name);
            let kept = (self.name.clone(), id.to_owned());
            ledger.kept.insert(name.clone(), kept);
            name
        };
        let body = json!({ "handle": name, "tokens": 1, "version": 1 }).to_string();
        let mut head = answers::head(200, "application/json");
        head.insert_header("x-attempt-id", id);
        let _ = exchange.respond(head, body.as_bytes()).await;
    }

    async fn stream(&self, id: &str, request: &Request, exchange: &mut Exchange) {
        if let Some(source) = header(request, "x-kv-source") {
            let name = source.rsplit('/').next().unwrap_or_default();
            let kept = self.ledger.borrow_mut().kept.remove(name);
            match kept {
                None => return self.reject(exchange, 503, id).await,
                Some((_, owner)) if owner != id => {
                    let fault = format!("{id} goes on from the memory of {owner}");
                    self.ledger.borrow_mut().faults.push(fault);
                }
                Some(_) => {}
            }
        }
        let after = header(request, "last-event-id");
        let after: u32 = after.and_then(|number| number.parse().ok()).unwrap_or(0);
        self.run(id, after);
        if self.mode.get() == EngineMode::LosesAnswers {
            return answers::hang_up(exchange);
        }
        let mut head = self.head(200, id);
        head.insert_header("content-type", "text/event-stream");
        exchange.queue_head(head);
        for number in after + 1..=EVENTS {
            if exchange.or_hang_up(Timer::after(WORK_MS)).await.is_err() {
                return;
            }
            let event = event(id, number);
            if self.mode.get() == EngineMode::BreaksStreams && number == 3 {
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

/// Handler that shares the engine with whoever changes its behaviour.
pub struct StagedEngineHandler(pub Rc<StagedEngine>);

impl Handler for StagedEngineHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            if request.head.method() == http_types::Method::Delete {
                let name = request
                    .head
                    .url()
                    .path()
                    .rsplit('/')
                    .next()
                    .map(str::to_owned);
                self.0
                    .ledger
                    .borrow_mut()
                    .kept
                    .remove(&name.unwrap_or_default());
                answers::send(exchange, 200, &json!({})).await;
            } else {
                self.0.serve(&request, exchange).await;
            }
        })
    }
}
