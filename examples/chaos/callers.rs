//! Load generator: callers that resend requests and record the outcome of each.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Client;
use http::ClientLimits;
use http_types::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use standin::engine::body_digest;
use standin::engine::output_text;
use testbed::deployment::MODEL_SERVICE;
use testbed::deployment::PLAIN_SERVICE;

const CALLERS: u64 = 12;
/// Maximum number of times that a request is sent, counting duplicates to two entries as one.
const MAX_SENDS: u32 = 4;
const CALLER_TIMEOUT_MS: Duration = Duration::from_secs(15);
/// Upper limit of the pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 60;

/// Outcome of one send, as seen by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    Answered,
    NotRun,
    /// Refused with an unknown outcome; holds the problem document.
    Unknown(String),
    /// No response or an incomplete one, so that the outcome is unknown to the caller.
    NoAnswer,
    /// A success whose body is not the expected answer.
    WrongAnswer,
}

/// Outcomes of all sends of one request body.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    pub is_order: bool,
    pub answers: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub no_answer: u32,
    pub wrong_answers: u32,
}

/// Runs the callers and collects the outcomes.
pub struct LoadGenerator {
    seed: u64,
    entries: Vec<SocketAddr>,
    is_stopping: Cell<bool>,
    running_callers: Cell<u64>,
    goodput: Cell<(u64, u64)>,
    /// By digest of the body; each request has a unique body.
    pub records: RefCell<BTreeMap<u64, RequestRecord>>,
    violation_examples: RefCell<Vec<String>>,
}

impl LoadGenerator {
    pub fn new(seed: u64, entries: Vec<SocketAddr>) -> Self {
        Self {
            seed,
            entries,
            is_stopping: Cell::new(false),
            running_callers: Cell::new(0),
            goodput: Cell::new((0, 0)),
            records: RefCell::default(),
            violation_examples: RefCell::default(),
        }
    }

    pub fn start(self: &Rc<Self>, executor: &LocalExecutor<'static>) {
        for caller in 0..CALLERS {
            let load = self.clone();
            self.running_callers.set(self.running_callers.get() + 1);
            executor
                .spawn(async move {
                    load.run_caller(caller).await;
                    load.running_callers.set(load.running_callers.get() - 1);
                })
                .detach();
        }
    }

    pub async fn stop(&self) {
        self.is_stopping.set(true);
        while self.running_callers.get() > 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Share of requests answered since the previous call; resets the counters.
    pub fn take_goodput(&self) -> f64 {
        let (answered, all) = self.goodput.replace((0, 0));
        if all == 0 {
            return 0.0;
        }
        f64::from(u32::try_from(answered).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(all).unwrap_or(u32::MAX))
    }

    /// Examples of violations: bodies of requests with a wrong answer, and problem documents that
    /// report an unknown outcome for idempotent requests.
    pub fn violation_examples(&self) -> Vec<String> {
        self.violation_examples.borrow().clone()
    }

    async fn run_caller(self: &Rc<Self>, caller: u64) {
        let mut random = StdRng::seed_from_u64(self.seed ^ (caller << 32));
        let clients: Vec<Client> = self.entries.iter().map(|entry| client(*entry)).collect();
        let mut number = 0;
        while !self.is_stopping.get() {
            number += 1;
            let request = Request::random(&mut random, caller, number);
            let answered = self
                .send_until_answered(&clients, &request, &mut random)
                .await;
            let (answered_count, all) = self.goodput.get();
            self.goodput
                .set((answered_count + u64::from(answered), all + 1));
            let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
            Timer::after(pause).await;
        }
    }

    async fn send_until_answered(
        &self,
        clients: &[Client],
        request: &Request,
        random: &mut StdRng,
    ) -> bool {
        let start = Instant::now();
        for _ in 0..MAX_SENDS {
            let first = random.random_range(0..clients.len());
            // Some clients send the same request to two entries at the same time.
            let outcome = if request.is_order && random.random_bool(0.2) {
                let second = (first + 1) % clients.len();
                let one = self.send(&clients[first], request);
                let two = self.send(&clients[second], request);
                smol::future::zip(one, two).await.0
            } else {
                self.send(&clients[first], request).await
            };
            match outcome {
                Outcome::Answered => return start.elapsed() < CALLER_TIMEOUT_MS,
                Outcome::Unknown(_) | Outcome::WrongAnswer => return false,
                Outcome::NotRun | Outcome::NoAnswer => {}
            }
            let pause = random.random_range(10..300);
            Timer::after(Duration::from_millis(pause)).await;
        }
        false
    }

    async fn send(&self, client: &Client, request: &Request) -> Outcome {
        let outcome = smol::future::or(send_once(client, request), async {
            Timer::after(CALLER_TIMEOUT_MS).await;
            Outcome::NoAnswer
        })
        .await;
        let mut records = self.records.borrow_mut();
        let record = records.entry(body_digest(&request.body)).or_default();
        record.is_order = request.is_order;
        match &outcome {
            Outcome::Answered => record.answers += 1,
            Outcome::NotRun => record.not_run += 1,
            Outcome::Unknown(problem) => {
                record.unknown += 1;
                if !request.is_order {
                    self.violation_examples.borrow_mut().push(problem.clone());
                }
            }
            Outcome::NoAnswer => record.no_answer += 1,
            Outcome::WrongAnswer => {
                record.wrong_answers += 1;
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.violation_examples.borrow_mut().push(body);
            }
        }
        outcome
    }
}

struct Request {
    is_order: bool,
    is_stream: bool,
    path: String,
    body: Vec<u8>,
    key: String,
    expected: String,
}

impl Request {
    fn random(random: &mut StdRng, caller: u64, number: u64) -> Self {
        let key = format!("{caller}-{number}");
        if random.random_bool(0.35) {
            let body = json!({"hut": key, "mules": random.random_range(1..9)}).to_string();
            let path = format!("/services/{PLAIN_SERVICE}/orders-book/new");
            let receipt = standin::plain::receipt("/orders-book/new", body.as_bytes());
            return Self {
                is_order: true,
                is_stream: false,
                path,
                key,
                expected: receipt.receipt,
                body: body.into_bytes(),
            };
        }
        let prompt = format!(
            "logbook {key} {}",
            "flue ".repeat(random.random_range(1..400))
        );
        let tokens = random.random_range(2..60);
        let is_stream = random.random_bool(0.5);
        let body = json!({
            "model": "demo", "prompt": prompt, "max_tokens": tokens, "stream": is_stream
        });
        Self {
            is_order: false,
            is_stream,
            path: format!("/services/{MODEL_SERVICE}/v1/completions"),
            key,
            expected: output_text(&prompt, tokens),
            body: body.to_string().into_bytes(),
        }
    }

    fn is_expected(&self, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        if self.is_stream {
            return streamed_text(&text).as_deref() == Some(&self.expected);
        }
        let Ok(answer) = serde_json::from_str::<Value>(&text) else {
            return false;
        };
        let found = if self.is_order {
            &answer["receipt"]
        } else {
            &answer["choices"][0]["text"]
        };
        found.as_str() == Some(&self.expected)
    }
}

fn streamed_text(events: &str) -> Option<String> {
    let mut text = String::new();
    let mut is_done = false;
    for line in events.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            is_done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).ok()?;
        if let Some(part) = event["choices"][0]["text"].as_str() {
            text.push_str(part);
        }
    }
    is_done.then_some(text)
}

async fn send_once(client: &Client, request: &Request) -> Outcome {
    let Ok(mut message) = client.request(Method::Post, &request.path) else {
        return Outcome::NoAnswer;
    };
    message.insert_header("content-type", "application/json");
    message.insert_header("x-caller", "chaos");
    if request.is_order {
        message.insert_header("idempotency-key", request.key.as_str());
    }
    message.set_body(request.body.clone());
    let Ok(response) = client.send_buffered(message).await else {
        return Outcome::NoAnswer;
    };
    if u16::from(response.status) == 200 {
        // A stream that fails after its head ends with an `error` event and an aborted connection,
        // which `send_buffered` reports as an error.
        return if request.is_expected(&response.body) {
            Outcome::Answered
        } else {
            Outcome::WrongAnswer
        };
    }
    let problem: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    match problem["run"].as_str() {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown(problem.to_string()),
        _ => Outcome::NoAnswer,
    }
}

fn client(entry: SocketAddr) -> Client {
    let limits = ClientLimits {
        head_ms: CALLER_TIMEOUT_MS,
        ..ClientLimits::default()
    };
    Client::new(entry, limits)
}
