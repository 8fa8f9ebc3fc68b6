//! Answers the requests to the stand-in.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::HungUp;
use http::Problem;
use http::Request;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use percent_encoding::percent_decode_str;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use store::HostEntry;
use store::Rows;
use store::TableCounters;
use store::TableRequest;

use super::PlatformOptions;
use super::faults::Faults;
use super::faults::Service;
use super::hosts::LaggingHosts;

/// Largest body of a request.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

/// Calls that the stand-in has carried out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls of the table.
    #[serde(flatten)]
    pub table: TableCounters,
    /// Objects stored.
    pub objects: u64,
    /// Loads granted by the weight store.
    pub weights: u64,
}

/// What happens to the reply of a call that was carried out.
enum Answer {
    Whole(StatusCode, Vec<u8>),
    Problem(Problem),
    /// The connection is closed without an answer.
    Lost,
    /// The connection stays open without an answer.
    Silent,
}

pub(super) struct PlatformHandler {
    state: RefCell<State>,
    weight_interval_ms: Duration,
}

struct State {
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: LaggingHosts,
    faults: Faults,
    random: StdRng,
    weights_granted: u64,
    next_weight: Instant,
}

impl Handler for PlatformHandler {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            // The server closes the connection of a peer that hung up.
            let _ = self.exchange(request, exchange).await;
        })
    }
}

impl PlatformHandler {
    pub(super) fn new(options: PlatformOptions) -> Self {
        let now = Instant::now();
        Self {
            weight_interval_ms: options.weight_interval_ms,
            state: RefCell::new(State {
                rows: Rows::default(),
                objects: BTreeMap::new(),
                hosts: LaggingHosts::new(options.host_lag_ms, now, options.hosts),
                faults: Faults::default(),
                random: StdRng::seed_from_u64(options.seed),
                weights_granted: 0,
                next_weight: now,
            }),
        }
    }

    async fn exchange(&self, request: Request, exchange: &mut Exchange) -> Result<(), HungUp> {
        let path: Vec<String> = request
            .head
            .url()
            .path()
            .split('/')
            .skip(1)
            .map(|segment| percent_decode_str(segment).decode_utf8_lossy().into_owned())
            .collect();
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        if !matches!(path.as_slice(), ["faults" | "counters"]) {
            let delay_ms = self.state.borrow().faults.delay_ms;
            if delay_ms > 0 {
                Timer::after(Duration::from_millis(delay_ms)).await;
            }
        }
        match self.answer(request.head.method(), &path, request.body) {
            Answer::Whole(status, body) => exchange.respond(Response::new(status), &body).await,
            Answer::Problem(problem) => {
                let (head, body) = problem.to_answer();
                exchange.respond(head, &body).await
            }
            Answer::Lost => Ok(()),
            Answer::Silent => exchange.or_hang_up(std::future::pending()).await,
        }
    }

    fn answer(&self, method: Method, path: &[&str], body: Vec<u8>) -> Answer {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        match (method, path) {
            (Method::Post, ["table"]) => state.table(&body),
            (_, ["objects", ..]) if state.faults.is_out(Service::Objects) => outage("object store"),
            (Method::Put, ["objects", key]) => {
                state.objects.insert((*key).to_owned(), body);
                Answer::Whole(StatusCode::Ok, Vec::new())
            }
            (Method::Get, ["objects", key]) => state.object(key),
            (Method::Delete, ["objects", key]) => {
                state.objects.remove(*key);
                Answer::Whole(StatusCode::Ok, Vec::new())
            }
            (_, ["weights", ..]) if state.faults.is_out(Service::Weights) => outage("weight store"),
            (Method::Post, ["weights", _model, _version]) => {
                state.weight(now, self.weight_interval_ms)
            }
            (Method::Get, ["hosts"]) if state.faults.is_out(Service::Hosts) => outage("host list"),
            (Method::Get, ["hosts"]) => {
                let shown = state.hosts.shown(now);
                json(state.faults.hosts.as_ref().unwrap_or(&shown))
            }
            (Method::Post, ["hosts"]) => parsed(&body, |hosts: Vec<HostEntry>| {
                state.hosts.set(now, hosts);
                Answer::Whole(StatusCode::Ok, Vec::new())
            }),
            (Method::Post, ["faults"]) => parsed(&body, |faults: Faults| {
                state.faults = faults;
                Answer::Whole(StatusCode::Ok, Vec::new())
            }),
            (Method::Get, ["faults"]) => json(&state.faults),
            (Method::Get, ["counters"]) => json(&state.counters()),
            _ => Answer::Problem(Problem::new(404, "unknown-path", "see docs/design.md")),
        }
    }
}

impl State {
    fn table(&mut self, body: &[u8]) -> Answer {
        if self.faults.is_out(Service::Table) {
            return outage("table");
        }
        if self.faults.table_silent {
            return Answer::Silent;
        }
        parsed(body, |request: TableRequest| {
            if self.drawn(self.faults.dropped_share) {
                return Answer::Lost;
            }
            let reply = self.rows.apply(&request);
            if self.loses_reply(&request) {
                return Answer::Lost;
            }
            json(&reply)
        })
    }

    fn loses_reply(&mut self, request: &TableRequest) -> bool {
        if matches!(request, TableRequest::Commit(_)) && self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            return true;
        }
        self.drawn(self.faults.lost_share)
    }

    fn drawn(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_range(0.0..1.0) < share
    }

    fn object(&self, key: &str) -> Answer {
        self.objects.get(key).map_or_else(
            || {
                Answer::Problem(Problem::new(
                    404,
                    "no-such-object",
                    "nothing is stored there",
                ))
            },
            |bytes| Answer::Whole(StatusCode::Ok, bytes.clone()),
        )
    }

    fn weight(&mut self, now: Instant, interval_ms: Duration) -> Answer {
        let wait = self.next_weight.saturating_duration_since(now);
        if !wait.is_zero() {
            let problem = Problem::new(429, "load-rate", "wait for the next slot");
            return Answer::Problem(problem.retry_after(wait));
        }
        self.next_weight = now + interval_ms;
        self.weights_granted += 1;
        Answer::Whole(StatusCode::Ok, Vec::new())
    }

    fn counters(&self) -> Counters {
        Counters {
            table: self.rows.counters(),
            objects: self.objects.len() as u64,
            weights: self.weights_granted,
        }
    }
}

fn outage(service: &str) -> Answer {
    Answer::Problem(Problem::new(
        503,
        "outage",
        format!("the {service} is out of service"),
    ))
}

fn json<T: Serialize + ?Sized>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Answer::Whole(StatusCode::Ok, body),
        Err(error) => Answer::Problem(Problem::new(500, "not-encoded", error.to_string())),
    }
}

fn parsed<T: for<'a> Deserialize<'a>>(body: &[u8], then: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => Answer::Problem(Problem::new(400, "not-understood", error.to_string())),
    }
}
