//! Readiness probes of the load balancer, and metrics.

use std::rc::Rc;
use std::time::Duration;

use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Response;
use http_types::StatusCode;
use smol::net::TcpListener;

use crate::daemon::Daemon;

/// Maximum number of connections of the load balancer, and of the metrics collector.
const CONNECTION_LIMIT: usize = 64;
/// Time after which an idle connection of either is closed.
const IDLE_TIMEOUT_MS: Duration = Duration::from_mins(1);

/// Serves readiness probes and metrics until the process ends.
pub(super) fn start(daemon: &Rc<Daemon>, ready: TcpListener, metrics: TcpListener) {
    let handlers: [(TcpListener, Rc<dyn Handler>); 2] = [
        (ready, Rc::new(ReadinessHandler(daemon.clone()))),
        (metrics, Rc::new(MetricsHandler(daemon.clone()))),
    ];
    for (listener, handler) in handlers {
        let limits = ServerLimits {
            connections: CONNECTION_LIMIT,
            idle_ms: IDLE_TIMEOUT_MS,
            ..ServerLimits::default()
        };
        let (stop_sender, stop) = smol::channel::bounded(1);
        let server = http::serve(listener, limits, handler, daemon.executor(), stop);
        daemon.spawn(async move {
            // Ends only with the process: accept errors are retried inside.
            let _ = server.await;
            drop(stop_sender);
        });
    }
}

struct ReadinessHandler(Rc<Daemon>);

impl Handler for ReadinessHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, _: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        let is_ready = self.0.is_in_service.get() && self.0.core.borrow().is_ready();
        let status = if is_ready {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        };
        Box::pin(async move {
            // A probe that fails is repeated.
            let _ = exchange.respond(Response::new(status), &[]).await;
        })
    }
}

struct MetricsHandler(Rc<Daemon>);

impl Handler for MetricsHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, _: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        let now = self.0.clock.now();
        let text = self.0.recorder.render(now, &self.0.core.borrow());
        Box::pin(async move {
            let mut head = Response::new(StatusCode::Ok);
            head.insert_header("content-type", "text/plain; version=0.0.4");
            // A scrape that fails is repeated.
            let _ = exchange.respond(head, text.as_bytes()).await;
        })
    }
}
