//! HTTP handler of the callers' port.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::io;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::HungUp;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Response;
use http_types::StatusCode;
use settings::CallerIdentity;
use settings::EntrySettings;
use settings::Limits;
use smol::LocalExecutor;
use smol::net::TcpListener;
use types::RunState;

use crate::admission;
use crate::admission::Route;
use crate::gateway::Gateway;
use crate::identity;
use crate::refusal;
use crate::relay;

/// `Retry-After` of a request above the limit on requests in flight.
const OVERLOADED_RETRY_MS: Duration = Duration::from_secs(1);

/// Handles callers' requests, and limits the number in flight.
pub struct CallersPort {
    gateway: Rc<dyn Gateway>,
    identity: CallerIdentity,
    request_limit: Cell<usize>,
    connection_limits: Cell<ServerLimits>,
    in_flight: Cell<usize>,
}

/// Serves callers until the stop channel is closed and the requests in progress are finished.
///
/// # Errors
///
/// As `http::serve`.
pub async fn serve(
    listener: TcpListener,
    limits: &Limits,
    port: Rc<CallersPort>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Receiver<()>,
) -> io::Result<()> {
    http::serve(listener, server_limits(limits), port, executor, stop).await
}

/// Limits of connections from the settings.
#[must_use]
pub(crate) fn server_limits(limits: &Limits) -> ServerLimits {
    ServerLimits {
        connections: limits.connections,
        head_limit_bytes: limits.head_bytes,
        field_limit: limits.head_fields,
        head_ms: limits.head_ms,
        body_ms: limits.body_ms,
        idle_ms: limits.idle_ms,
        write_stall_ms: limits.write_stall_ms,
        buffered_bodies_limit_bytes: limits.held_bodies_bytes,
    }
}

impl CallersPort {
    /// Uses the limits and the caller identification of the settings.
    #[must_use]
    pub fn new(settings: &EntrySettings, gateway: Rc<dyn Gateway>) -> Self {
        Self {
            gateway,
            identity: settings.caller_identity.clone(),
            request_limit: Cell::new(settings.limits.requests),
            connection_limits: Cell::new(server_limits(&settings.limits)),
            in_flight: Cell::new(0),
        }
    }

    /// Number of submitted requests whose response is not complete.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Applies changed limits: the limit on requests in flight at once, the other limits to new
    /// connections.
    pub fn set_limits(&self, limits: &Limits) {
        self.request_limit.set(limits.requests);
        self.connection_limits.set(server_limits(limits));
    }

    async fn respond(&self, request: Request, exchange: &mut Exchange) -> Result<u16, HungUp> {
        match Route::of(&request.head) {
            Ok(Route::Health) => self.report(exchange, self.gateway.health().is_live).await,
            Ok(Route::Ready) => {
                let health = self.gateway.health();
                self.report(exchange, health.is_live && health.is_ready)
                    .await
            }
            Ok(Route::Metrics) => {
                let mut head = Response::new(StatusCode::Ok);
                head.insert_header("content-type", "text/plain; version=0.0.4");
                let body = self.gateway.metrics();
                exchange.respond(head, body.as_bytes()).await.map(|()| 200)
            }
            Ok(Route::Service { service, .. }) => match self.gateway.limits(service) {
                Ok(limits) => {
                    let peer = request.peer;
                    let caller = identity::caller_name(&self.identity, &request.head, peer);
                    let credential = identity::credential_field(&self.identity);
                    let (head, body) = (&request.head, request.body);
                    match admission::build_submission(head, body, caller, credential, &limits) {
                        Ok(submission) => self.submit(submission, exchange).await,
                        Err(problem) => send_problem(exchange, &problem).await,
                    }
                }
                Err(refusal) => send_problem(exchange, &refusal::problem(&refusal)).await,
            },
            Err(problem) => send_problem(exchange, &problem).await,
        }
    }

    async fn submit(
        &self,
        submission: types::Submission,
        exchange: &mut Exchange,
    ) -> Result<u16, HungUp> {
        if self.in_flight.get() >= self.request_limit.get() {
            return send_problem(exchange, &overloaded()).await;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let (request, replies) = self.gateway.submit(submission);
        let result = relay::relay_response(&*self.gateway, request, &replies, exchange).await;
        self.in_flight.set(self.in_flight.get() - 1);
        if result.is_err() {
            self.gateway.hang_up(request);
        }
        result
    }

    async fn report(&self, exchange: &mut Exchange, healthy: bool) -> Result<u16, HungUp> {
        let (status, body) = if healthy {
            (StatusCode::Ok, "ok\n")
        } else {
            (StatusCode::ServiceUnavailable, "no\n")
        };
        let mut head = Response::new(status);
        head.insert_header("content-type", "text/plain");
        exchange.respond(head, body.as_bytes()).await?;
        Ok(status.into())
    }
}

impl Handler for CallersPort {
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem> {
        let Route::Service { service, path } = Route::of(head)? else {
            return Ok(0);
        };
        let limits = self
            .gateway
            .limits(service)
            .map_err(|refusal| refusal::problem(&refusal))?;
        admission::check_head(head, path, &limits)?;
        if self.in_flight.get() >= self.request_limit.get() {
            return Err(overloaded());
        }
        Ok(limits.body_limit_bytes)
    }

    fn limits(&self) -> Option<ServerLimits> {
        Some(self.connection_limits.get())
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        if !self.gateway.health().is_live {
            // Makes callers reconnect to another entry before this one closes its listener.
            exchange.close_after_response();
        }
        Box::pin(async move {
            let class = match self.respond(request, exchange).await {
                Ok(200..=299) => "2xx",
                Ok(400..=499) => "4xx",
                Ok(500..=599) => "5xx",
                Ok(_) => "other",
                Err(HungUp) => "hung-up",
            };
            metrics::counter!("callers_answers_total", "class" => class).increment(1);
        })
    }
}

async fn send_problem(exchange: &mut Exchange, problem: &Problem) -> Result<u16, HungUp> {
    let (head, body) = problem.to_response();
    exchange.respond(head, &body).await?;
    Ok(problem.status)
}

fn overloaded() -> Problem {
    Problem::new(
        503,
        "overloaded",
        "this entry has reached its limit on requests in flight",
    )
    .run(RunState::NotRun)
    .retry_after(OVERLOADED_RETRY_MS)
}
