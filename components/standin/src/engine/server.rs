//! Routes of the stand-in engine.

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

use crate::answers;
use crate::engine::completions;
use crate::engine::options::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::resume;
use crate::engine::state::EngineCore;
use crate::engine::state::OrderAnswer;
use crate::engine::state::OrderBody;
use crate::engine::state::take;
use crate::turns::Turns;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 64 << 20;

struct Engine {
    core: Rc<RefCell<EngineCore>>,
    prefill: Turns,
    executor: Rc<LocalExecutor<'static>>,
}

/// Serves on a thread of its own until the process ends.
///
/// # Errors
///
/// The address is taken.
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
        prefill: Turns::default(),
        executor: executor.clone(),
    };
    answers::serve(listener, Rc::new(engine), executor).await
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
        // What checks and faults need works even while the engine is down.
        match (method, path.as_str()) {
            (Method::Get, "/counters") => {
                let counters = self.core.borrow().tally.report();
                return answers::send(exchange, 200, &counters).await;
            }
            (Method::Post, "/faults") => return self.faults(&request, exchange).await,
            _ => {}
        }
        if self.core.borrow().crashed {
            return answers::hang_up(exchange);
        }
        match (method, path.as_str()) {
            (Method::Post, "/v1/completions") => self.complete(&request, exchange, false).await,
            (Method::Post, "/v1/chat/completions") => {
                self.complete(&request, exchange, true).await;
            }
            (Method::Delete, path) if path.starts_with("/requests/") => {
                let count = self.core.borrow_mut().cancel(&path["/requests/".len()..]);
                answers::send(exchange, 200, &json!({"cancelled": count})).await;
            }
            (Method::Get, path) if path.starts_with("/requests/") => {
                let id = &path["/requests/".len()..];
                resume::resume(&self.core, id, number(&request, "offset"), exchange).await;
            }
            (Method::Post, "/orders") => self.order(&request, exchange).await,
            (Method::Get, "/state") => {
                let state = self.core.borrow().state.clone();
                answers::send(exchange, 200, &state).await;
            }
            (Method::Get, "/load") => {
                let load = self.core.borrow_mut().load(Instant::now());
                answers::send(exchange, 200, &load).await;
            }
            (Method::Get, "/cache/events") => {
                let events = {
                    let core = self.core.borrow();
                    let lag = Duration::from_millis(core.options.cache_lag_ms);
                    core.cache
                        .events(Instant::now(), number(&request, "after"), lag)
                };
                answers::send(exchange, 200, &json!({"events": events})).await;
            }
            _ => answers::send(exchange, 404, &json!({"error": "no such path"})).await,
        }
    }

    async fn complete(&self, request: &Request, exchange: &mut Exchange, chat: bool) {
        completions::complete(&self.core, &self.prefill, request, exchange, chat).await;
    }

    async fn order(&self, request: &Request, exchange: &mut Exchange) {
        let Ok(body) = serde_json::from_slice::<OrderBody>(&request.body) else {
            answers::send(exchange, 400, &json!({"error": "body is not an order"})).await;
            return;
        };
        let answer = self.core.borrow_mut().order(Instant::now(), &body);
        match answer {
            OrderAnswer::Fenced => {
                answers::send(exchange, 409, &json!({"error": "fencing number too low"})).await;
            }
            OrderAnswer::Refused => {
                answers::send(exchange, 503, &json!({"error": "not now"})).await;
            }
            OrderAnswer::Obeyed { away_ms, crashes } => {
                self.change(body, Duration::from_millis(away_ms), crashes);
                let is_lost = take(&mut self.core.borrow_mut().faults.lose_order_answers);
                if is_lost {
                    answers::hang_up(exchange);
                } else {
                    answers::send(exchange, 202, &json!({"away_ms": away_ms})).await;
                }
            }
        }
    }

    /// Carries out a change in the background.
    fn change(&self, body: OrderBody, away_ms: Duration, crashes: bool) {
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

    async fn faults(&self, request: &Request, exchange: &mut Exchange) {
        let Ok(faults) = serde_json::from_slice::<EngineFaults>(&request.body) else {
            answers::send(
                exchange,
                400,
                &json!({"error": "body names unknown faults"}),
            )
            .await;
            return;
        };
        if faults.crash && !self.core.borrow().crashed {
            self.executor.spawn(crash(self.core.clone())).detach();
        }
        let merged = {
            let mut core = self.core.borrow_mut();
            let merged = merge(&core.faults, &faults);
            core.faults = merged.clone();
            merged
        };
        answers::send(exchange, 200, &merged).await;
    }
}

/// Crashes now and restarts later.
async fn crash(core: Rc<RefCell<EngineCore>>) {
    let crash_ms = {
        let mut core = core.borrow_mut();
        core.crash(Instant::now());
        Duration::from_millis(core.options.crash_ms)
    };
    Timer::after(crash_ms).await;
    core.borrow_mut().crashed = false;
}

fn merge(old: &EngineFaults, new: &EngineFaults) -> EngineFaults {
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

/// Number in the query; 0 without one.
fn number(request: &Request, key: &str) -> u64 {
    request
        .head
        .url()
        .query_pairs()
        .find(|(name, _)| name == key)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
