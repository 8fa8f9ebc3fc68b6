//! Stand-in for a plain HTTP service.
//!
//! Responds to every other path with a receipt derived from the request, and counts runs by the
//! digest of the request body. `POST /headers` sets the headers of later responses, `POST /faults`
//! injects [`PlainFaults`], and `GET /counters` returns [`PlainCounters`].

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

use crate::engine::body_digest;
use crate::engine::consume_fault;
use crate::responses;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

/// Options of the stand-in plain service.
#[derive(Debug, Clone, Bpaf)]
pub struct PlainOptions {
    /// Address to serve on
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Delay before each response, in ms
    #[bpaf(argument("MS"), fallback(0))]
    pub delay_ms: u64,
}

/// Faults to inject. Counts apply to the next requests; absent fields keep their current value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Delay before each response.
    pub delay_ms: Option<u64>,
    /// Number of requests that run but get no response.
    pub lose_answers: Option<u32>,
    /// Number of requests that run and get a 500 response.
    pub fail: Option<u32>,
}

/// Counters of the plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCounters {
    /// Runs by hexadecimal digest of the request body.
    pub runs: BTreeMap<String, u32>,
    /// Runs by `X-Request-Id`.
    pub ids: BTreeMap<String, u32>,
    /// Headers of the last request that ran, one item per header line.
    pub last_headers: Vec<(String, String)>,
}

/// Response body; a checker can recompute it with [`receipt`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Hexadecimal digest of path and body.
    pub receipt: String,
    /// Request path.
    pub path: String,
    /// Length of the request body.
    pub bytes: usize,
}

/// Expected receipt of a request.
#[must_use]
pub fn receipt(path: &str, body: &[u8]) -> Receipt {
    Receipt {
        receipt: format!("{:016x}", body_digest(&[path.as_bytes(), body].concat())),
        path: path.to_owned(),
        bytes: body.len(),
    }
}

#[derive(Default)]
struct PlainService {
    delay_ms: RefCell<u64>,
    faults: RefCell<PlainFaults>,
    counters: RefCell<PlainCounters>,
    /// Headers added to every response, one item per header line.
    response_headers: RefCell<Vec<(String, String)>>,
}

/// Serves on the current thread until the process ends.
///
/// # Errors
///
/// The address is already in use.
pub fn run(options: &PlainOptions) -> io::Result<()> {
    responses::run(options.listen, Rc::new(new(options)))
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
    responses::serve(listener, Rc::new(new(options)), executor).await
}

fn new(options: &PlainOptions) -> PlainService {
    PlainService {
        delay_ms: RefCell::new(options.delay_ms),
        ..PlainService::default()
    }
}

impl Handler for PlainService {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(self.route(request, exchange))
    }
}

impl PlainService {
    async fn route(&self, request: Request, exchange: &mut Exchange) {
        let path = request.head.url().path().to_owned();
        match (request.head.method(), path.as_str()) {
            (Method::Get, "/counters") => {
                let counters = self.counters.borrow().clone();
                responses::send(exchange, 200, &counters).await;
            }
            (Method::Post, "/faults") => {
                let Ok(faults) = serde_json::from_slice::<PlainFaults>(&request.body) else {
                    responses::send(
                        exchange,
                        400,
                        &json!({"error": "body is not a valid set of faults"}),
                    )
                    .await;
                    return;
                };
                self.merge_faults(&faults);
                responses::send(exchange, 200, &faults).await;
            }
            (Method::Post, "/headers") => {
                let Ok(headers) = serde_json::from_slice(&request.body) else {
                    responses::send(
                        exchange,
                        400,
                        &json!({"error": "body is not a list of name and value pairs"}),
                    )
                    .await;
                    return;
                };
                *self.response_headers.borrow_mut() = headers;
                responses::send(exchange, 200, &json!({})).await;
            }
            _ => self.run(&request, &path, exchange).await,
        }
    }

    fn merge_faults(&self, faults: &PlainFaults) {
        if let Some(delay_ms) = faults.delay_ms {
            *self.delay_ms.borrow_mut() = delay_ms;
        }
        let mut current = self.faults.borrow_mut();
        current.lose_answers = faults.lose_answers.or(current.lose_answers);
        current.fail = faults.fail.or(current.fail);
    }

    async fn run(&self, request: &Request, path: &str, exchange: &mut Exchange) {
        self.record(request);
        let delay = Duration::from_millis(*self.delay_ms.borrow());
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        let (is_response_lost, is_failed) = {
            let mut faults = self.faults.borrow_mut();
            (
                consume_fault(&mut faults.lose_answers),
                consume_fault(&mut faults.fail),
            )
        };
        if is_response_lost {
            return responses::abort(exchange);
        }
        let status = if is_failed { 500 } else { 200 };
        let mut head = responses::head(status, "application/json");
        for (name, value) in self.response_headers.borrow().iter() {
            head.append_header(name.as_str(), value.as_str());
        }
        let body = serde_json::to_vec(&receipt(path, &request.body)).unwrap_or_default();
        // Errors are ignored, as the client may have disconnected.
        let _ = exchange.respond(head, &body).await;
    }

    fn record(&self, request: &Request) {
        let mut counters = self.counters.borrow_mut();
        let digest = format!("{:016x}", body_digest(&request.body));
        *counters.runs.entry(digest).or_default() += 1;
        let lines = request.head.iter().flat_map(|(name, values)| {
            let line = |value: &HeaderValue| (name.to_string(), value.to_string());
            values.iter().map(line).collect::<Vec<_>>()
        });
        counters.last_headers = lines.collect();
        if let Some(id) = responses::header(request, "x-request-id") {
            *counters.ids.entry(id.to_owned()).or_default() += 1;
        }
    }
}
