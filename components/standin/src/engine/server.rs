//! HTTP routes of the stand-in engine.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http_types::Method;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use smol::net::TcpListener;

use crate::engine::completions;
use crate::engine::options::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::resume;
use crate::engine::state::EngineCore;
use crate::engine::state::OrderDecision;
use crate::engine::state::OrderRequest;
use crate::engine::state::consume_fault;
use crate::priority_lock::PriorityLock;
use crate::responses;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

struct Engine {
    core: Rc<RefCell<EngineCore>>,
    prefill: PriorityLock,
    executor: Rc<LocalExecutor<'static>>,
}

/// Serves on the current thread until the process ends.
///
/// # Errors
///
/// The address is already in use.
pub fn run(options: EngineOptions) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let listener = TcpListener::bind(options.listen).await?;
        serve(options, listener, executor).await
    }))
}

/// Serves a bound listener.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    options: EngineOptions,
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<()> {
    let engine = Engine {
        core: Rc::new(RefCell::new(EngineCore::new(options))),
        prefill: PriorityLock::default(),
        executor: executor.clone(),
    };
    responses::serve(listener, Rc::new(engine), executor).await
}

impl Handler for Engine {
    fn admit(&self, _head: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(self.route(request, exchange))
    }
}

impl Engine {
    async fn route(&self, request: Request, exchange: &mut Exchange) {
        let path = request.head.url().path().to_owned();
        let method = request.head.method();
        // Counters and faults are available even while the engine is crashed.
        match (method, path.as_str()) {
            (Method::Get, "/counters") => {
                let counters = self.core.borrow().recorder.snapshot();
                return responses::send(exchange, 200, &counters).await;
            }
            (Method::Post, "/faults") => return self.set_faults(&request, exchange).await,
            _ => {}
        }
        if self.core.borrow().is_crashed {
            return responses::abort(exchange);
        }
        match (method, path.as_str()) {
            (Method::Post, "/v1/completions") => self.complete(&request, exchange, false).await,
            (Method::Post, "/v1/chat/completions") => {
                self.complete(&request, exchange, true).await;
            }
            (Method::Delete, path) if path.starts_with("/requests/") => {
                let count = self.core.borrow_mut().cancel(&path["/requests/".len()..]);
                responses::send(exchange, 200, &json!({"cancelled": count})).await;
            }
            (Method::Get, path) if path.starts_with("/requests/") => {
                let id = &path["/requests/".len()..];
                resume::resume(&self.core, id, query_number(&request, "offset"), exchange).await;
            }
            (Method::Post, "/orders") => self.handle_order(&request, exchange).await,
            (Method::Get, "/state") => {
                let state = self.core.borrow().state.clone();
                responses::send(exchange, 200, &state).await;
            }
            (Method::Get, "/load") => {
                let load = self.core.borrow_mut().load(Instant::now());
                responses::send(exchange, 200, &load).await;
            }
            (Method::Get, "/cache/events") => {
                let events = {
                    let core = self.core.borrow();
                    let lag = Duration::from_millis(core.options.cache_lag_ms);
                    core.cache
                        .events(Instant::now(), query_number(&request, "after"), lag)
                };
                responses::send(exchange, 200, &json!({"events": events})).await;
            }
            _ => responses::send(exchange, 404, &json!({"error": "no such path"})).await,
        }
    }

    async fn complete(&self, request: &Request, exchange: &mut Exchange, is_chat: bool) {
        completions::complete(&self.core, &self.prefill, request, exchange, is_chat).await;
    }

    async fn handle_order(&self, request: &Request, exchange: &mut Exchange) {
        let Ok(body) = serde_json::from_slice::<OrderRequest>(&request.body) else {
            responses::send(exchange, 400, &json!({"error": "body is not an order"})).await;
            return;
        };
        let decision = self.core.borrow_mut().begin_order(Instant::now(), &body);
        match decision {
            OrderDecision::Fenced => {
                responses::send(
                    exchange,
                    409,
                    &json!({"error": "fencing number is lower than one seen before"}),
                )
                .await;
            }
            OrderDecision::Rejected => {
                responses::send(
                    exchange,
                    503,
                    &json!({"error": "engine cannot accept an order now"}),
                )
                .await;
            }
            OrderDecision::Accepted { away_ms, crashes } => {
                self.execute_order(body, Duration::from_millis(away_ms), crashes);
                let is_response_lost =
                    consume_fault(&mut self.core.borrow_mut().faults.lose_order_answers);
                if is_response_lost {
                    responses::abort(exchange);
                } else {
                    responses::send(exchange, 202, &json!({"away_ms": away_ms})).await;
                }
            }
        }
    }

    /// Executes an accepted order in the background.
    fn execute_order(&self, body: OrderRequest, away_ms: Duration, crashes: bool) {
        let core = self.core.clone();
        let epoch = core.borrow().epoch;
        self.executor
            .spawn(async move {
                if crashes {
                    Timer::after(away_ms / 2).await;
                    if core.borrow().epoch == epoch {
                        crash(core).await;
                    }
                    return;
                }
                Timer::after(away_ms).await;
                let mut core = core.borrow_mut();
                if core.epoch == epoch {
                    core.apply(Instant::now(), body);
                }
            })
            .detach();
    }

    async fn set_faults(&self, request: &Request, exchange: &mut Exchange) {
        let Ok(faults) = serde_json::from_slice::<EngineFaults>(&request.body) else {
            responses::send(
                exchange,
                400,
                &json!({"error": "body is not a valid set of faults"}),
            )
            .await;
            return;
        };
        if faults.crash && !self.core.borrow().is_crashed {
            self.executor.spawn(crash(self.core.clone())).detach();
        }
        let merged = {
            let mut core = self.core.borrow_mut();
            let merged = merge_faults(&core.faults, &faults);
            core.faults = merged.clone();
            merged
        };
        responses::send(exchange, 200, &merged).await;
    }
}

/// Crashes now and restarts after `crash_ms`.
async fn crash(core: Rc<RefCell<EngineCore>>) {
    let crash_ms = {
        let mut core = core.borrow_mut();
        core.crash(Instant::now());
        Duration::from_millis(core.options.crash_ms)
    };
    Timer::after(crash_ms).await;
    core.borrow_mut().is_crashed = false;
}

fn merge_faults(old: &EngineFaults, new: &EngineFaults) -> EngineFaults {
    EngineFaults {
        crash_in_change: new.crash_in_change.or(old.crash_in_change),
        crash: false,
        refuse_orders: new.refuse_orders.or(old.refuse_orders),
        lose_order_answers: new.lose_order_answers.or(old.lose_order_answers),
        refuse_requests: new.refuse_requests.or(old.refuse_requests),
        cut_requests: new.cut_requests.or(old.cut_requests),
        slow: new.slow.or(old.slow),
        instant: new.instant.or(old.instant),
    }
}

/// Numeric query parameter; 0 if absent or invalid.
fn query_number(request: &Request, key: &str) -> u64 {
    request
        .head
        .url()
        .query_pairs()
        .find(|(name, _)| name == key)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
