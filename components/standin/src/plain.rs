//! Stand-in of a plain service over HTTP. Every path is answered with a deterministic receipt,
//! and every run is counted by the digest of its body. `POST /headers` sets the fields of all
//! further answers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http_types::Method;
use http_types::headers::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;

use crate::answers;
use crate::engine::body_digest;
use crate::engine::take;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

/// Options of the stand-in plain service.
#[derive(Debug, Clone, Bpaf)]
pub struct PlainOptions {
    /// Address to serve on
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Time to answer, in ms
    #[bpaf(argument("MS"), fallback(0))]
    pub delay_ms: u64,
}

/// Faults to inject; counts apply to the next requests. Fields that are left out change nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Time to answer, in ms.
    pub delay_ms: Option<u64>,
    /// Requests that run and get no answer.
    pub lose_answers: Option<u32>,
    /// Requests answered with 500 after they ran.
    pub fail: Option<u32>,
}

/// What the service did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCounters {
    /// Runs by digest of the body, in hex.
    pub runs: BTreeMap<String, u32>,
    /// Runs by `X-Request-Id`.
    pub ids: BTreeMap<String, u32>,
    /// Fields of the last request that ran, one item for each line.
    pub last_headers: Vec<(String, String)>,
}

/// Receipt that answers a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Digest of path and body, in hex.
    pub receipt: String,
    /// Path of the request.
    pub path: String,
    /// Length of its body.
    pub bytes: usize,
}

/// Receipt for a request.
#[must_use]
pub fn receipt(path: &str, body: &[u8]) -> Receipt {
    Receipt {
        receipt: format!("{:016x}", body_digest(&[path.as_bytes(), body].concat())),
        path: path.to_owned(),
        bytes: body.len(),
    }
}

#[derive(Default)]
struct Plain {
    delay_ms: RefCell<u64>,
    faults: RefCell<PlainFaults>,
    counters: RefCell<PlainCounters>,
    /// Fields of every answer, one item for each line.
    headers: RefCell<Vec<(String, String)>>,
}

/// Serves on this thread until the process ends.
///
/// # Errors
///
/// The address is taken.
pub fn run(options: &PlainOptions) -> io::Result<()> {
    answers::run(options.listen, Rc::new(new(options)))
}

/// Serves a bound listener.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    options: &PlainOptions,
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    answers::serve(listener, Rc::new(new(options)), executor).await
}

fn new(options: &PlainOptions) -> Plain {
    Plain {
        delay_ms: RefCell::new(options.delay_ms),
        ..Plain::default()
    }
}

impl Handler for Plain {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(self.route(request, exchange))
    }
}

impl Plain {
    async fn route(&self, request: Request, exchange: &mut Exchange) {
        let path = request.head.url().path().to_owned();
        match (request.head.method(), path.as_str()) {
            (Method::Get, "/counters") => {
                let counters = self.counters.borrow().clone();
                answers::send(exchange, 200, &counters).await;
            }
            (Method::Post, "/faults") => {
                let Ok(faults) = serde_json::from_slice::<PlainFaults>(&request.body) else {
                    answers::send(exchange, 400, &json!({"error": "unknown faults"})).await;
                    return;
                };
                self.take_faults(&faults);
                answers::send(exchange, 200, &faults).await;
            }
            (Method::Post, "/headers") => {
                let Ok(headers) = serde_json::from_slice(&request.body) else {
                    answers::send(exchange, 400, &json!({"error": "send a list of pairs"})).await;
                    return;
                };
                *self.headers.borrow_mut() = headers;
                answers::send(exchange, 200, &json!({})).await;
            }
            _ => self.run(&request, &path, exchange).await,
        }
    }

    fn take_faults(&self, faults: &PlainFaults) {
        if let Some(delay_ms) = faults.delay_ms {
            *self.delay_ms.borrow_mut() = delay_ms;
        }
        let mut now = self.faults.borrow_mut();
        now.lose_answers = faults.lose_answers.or(now.lose_answers);
        now.fail = faults.fail.or(now.fail);
    }

    async fn run(&self, request: &Request, path: &str, exchange: &mut Exchange) {
        self.count(request);
        let delay = Duration::from_millis(*self.delay_ms.borrow());
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let (is_lost, fails) = {
            let mut faults = self.faults.borrow_mut();
            (take(&mut faults.lose_answers), take(&mut faults.fail))
        };
        if is_lost {
            return answers::hang_up(exchange);
        }
        let status = if fails { 500 } else { 200 };
        let mut head = answers::head(status, "application/json");
        for (name, value) in self.headers.borrow().iter() {
            head.append_header(name.as_str(), value.as_str());
        }
        let body = serde_json::to_vec(&receipt(path, &request.body)).unwrap_or_default();
        // A peer that hung up does not get it.
        let _ = exchange.respond(head, &body).await;
    }

    fn count(&self, request: &Request) {
        let mut counters = self.counters.borrow_mut();
        let digest = format!("{:016x}", body_digest(&request.body));
        *counters.runs.entry(digest).or_default() += 1;
        let lines = request.head.iter().flat_map(|(name, values)| {
            let line = |value: &HeaderValue| (name.to_string(), value.to_string());
            values.iter().map(line).collect::<Vec<_>>()
        });
        counters.last_headers = lines.collect();
        if let Some(id) = answers::header(request, "x-request-id") {
            *counters.ids.entry(id.to_owned()).or_default() += 1;
        }
    }
}
