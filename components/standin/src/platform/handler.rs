//! HTTP handler of the stand-in platform.

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
use super::hosts::DelayedHostList;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

/// Operations that the stand-in has executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Table operations.
    #[serde(flatten)]
    pub table: TableCounters,
    /// Objects currently stored.
    pub objects: u64,
    /// Model loads granted by the weight store.
    pub weights: u64,
}

/// How a request is completed.
enum Reply {
    Complete(StatusCode, Vec<u8>),
    Problem(Problem),
    /// The connection is closed without a response.
    Lost,
    /// The connection stays open without a response.
    Silent,
}

pub(super) struct PlatformHandler {
    state: RefCell<State>,
    weight_interval_ms: Duration,
}

struct State {
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: DelayedHostList,
    faults: Faults,
    random: StdRng,
    loads_granted: u64,
    next_load_at: Instant,
}

impl Handler for PlatformHandler {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            // The server closes the connection if the client has disconnected.
            let _ = self.respond(request, exchange).await;
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
                hosts: DelayedHostList::new(options.host_lag_ms, now, options.hosts),
                faults: Faults::default(),
                random: StdRng::seed_from_u64(options.seed),
                loads_granted: 0,
                next_load_at: now,
            }),
        }
    }

    async fn respond(&self, request: Request, exchange: &mut Exchange) -> Result<(), HungUp> {
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
        match self.route(request.head.method(), &path, request.body) {
            Reply::Complete(status, body) => exchange.respond(Response::new(status), &body).await,
            Reply::Problem(problem) => {
                let (head, body) = problem.to_response();
                exchange.respond(head, &body).await
            }
            Reply::Lost => Ok(()),
            Reply::Silent => exchange.or_hang_up(std::future::pending()).await,
        }
    }

    fn route(&self, method: Method, path: &[&str], body: Vec<u8>) -> Reply {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        match (method, path) {
            (Method::Post, ["table"]) => state.table(&body),
            (_, ["objects", ..]) if state.faults.blocks(Service::Objects) => outage("object store"),
            (Method::Put, ["objects", key]) => {
                state.objects.insert((*key).to_owned(), body);
                Reply::Complete(StatusCode::Ok, Vec::new())
            }
            (Method::Get, ["objects", key]) => state.object(key),
            (Method::Delete, ["objects", key]) => {
                state.objects.remove(*key);
                Reply::Complete(StatusCode::Ok, Vec::new())
            }
            (_, ["weights", ..]) if state.faults.blocks(Service::Weights) => outage("weight store"),
            (Method::Post, ["weights", _model, _version]) => {
                state.reserve_load(now, self.weight_interval_ms)
            }
            (Method::Get, ["hosts"]) if state.faults.blocks(Service::Hosts) => outage("host list"),
            (Method::Get, ["hosts"]) => {
                let visible = state.hosts.visible(now);
                json(state.faults.hosts.as_ref().unwrap_or(&visible))
            }
            (Method::Post, ["hosts"]) => with_parsed(&body, |hosts: Vec<HostEntry>| {
                state.hosts.set(now, hosts);
                Reply::Complete(StatusCode::Ok, Vec::new())
            }),
            (Method::Post, ["faults"]) => with_parsed(&body, |faults: Faults| {
                state.faults = faults;
                Reply::Complete(StatusCode::Ok, Vec::new())
            }),
            (Method::Get, ["faults"]) => json(&state.faults),
            (Method::Get, ["counters"]) => json(&state.counters()),
            _ => Reply::Problem(Problem::new(
                404,
                "unknown-path",
                "no such path; see docs/design.md",
            )),
        }
    }
}

impl State {
    fn table(&mut self, body: &[u8]) -> Reply {
        if self.faults.blocks(Service::Table) {
            return outage("table");
        }
        if self.faults.table_silent {
            return Reply::Silent;
        }
        with_parsed(body, |request: TableRequest| {
            if self.occurs(self.faults.dropped_share) {
                return Reply::Lost;
            }
            let reply = self.rows.apply(&request);
            if self.is_reply_lost(&request) {
                return Reply::Lost;
            }
            json(&reply)
        })
    }

    fn is_reply_lost(&mut self, request: &TableRequest) -> bool {
        if matches!(request, TableRequest::Commit(_)) && self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            return true;
        }
        self.occurs(self.faults.lost_share)
    }

    fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_range(0.0..1.0) < probability
    }

    fn object(&self, key: &str) -> Reply {
        self.objects.get(key).map_or_else(
            || {
                Reply::Problem(Problem::new(
                    404,
                    "no-such-object",
                    "no object is stored under this key",
                ))
            },
            |bytes| Reply::Complete(StatusCode::Ok, bytes.clone()),
        )
    }

    fn reserve_load(&mut self, now: Instant, interval_ms: Duration) -> Reply {
        let wait = self.next_load_at.saturating_duration_since(now);
        if !wait.is_zero() {
            let problem = Problem::new(429, "load-rate", "model load rate exceeded; retry later");
            return Reply::Problem(problem.retry_after(wait));
        }
        self.next_load_at = now + interval_ms;
        self.loads_granted += 1;
        Reply::Complete(StatusCode::Ok, Vec::new())
    }

    fn counters(&self) -> Counters {
        Counters {
            table: self.rows.counters(),
            objects: self.objects.len() as u64,
            weights: self.loads_granted,
        }
    }
}

fn outage(service: &str) -> Reply {
    Reply::Problem(Problem::new(
        503,
        "outage",
        format!("{service} is unavailable: outage injected"),
    ))
}

fn json<T: Serialize + ?Sized>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => Reply::Complete(StatusCode::Ok, body),
        Err(error) => Reply::Problem(Problem::new(500, "not-encoded", error.to_string())),
    }
}

fn with_parsed<T: for<'a> Deserialize<'a>>(
    body: &[u8],
    handle_value: impl FnOnce(T) -> Reply,
) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => handle_value(value),
        Err(error) => Reply::Problem(Problem::new(400, "not-understood", error.to_string())),
    }
}
