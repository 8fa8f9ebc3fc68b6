//! Questions of the load balancer, and metrics.

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

/// Connections of the load balancer and of the collector of metrics.
const CONNECTIONS: usize = 64;
/// Time that an idle connection of either is kept.
const IDLE_MS: Duration = Duration::from_mins(1);

/// Serves both until the process ends.
pub(super) fn start(daemon: &Rc<Daemon>, ready: TcpListener, metrics: TcpListener) {
    let handlers: [(TcpListener, Rc<dyn Handler>); 2] = [
        (ready, Rc::new(Ready(daemon.clone()))),
        (metrics, Rc::new(Metrics(daemon.clone()))),
    ];
    for (listener, handler) in handlers {
        let limits = ServerLimits {
            connections: CONNECTIONS,
            idle_ms: IDLE_MS,
            ..ServerLimits::default()
        };
        let (running, stop) = smol::channel::bounded(1);
        let serving = http::serve(listener, limits, handler, daemon.executor(), stop);
        daemon.spawn(async move {
            // Serving ends with the process; accept errors are waited out.
            let _ = serving.await;
            drop(running);
        });
    }
}

struct Ready(Rc<Daemon>);

impl Handler for Ready {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, _: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        let is_ready = self.0.is_staying.get() && self.0.core.borrow().is_ready();
        let status = if is_ready {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        };
        Box::pin(async move {
            // The balancer asks again.
            let _ = exchange.respond(Response::new(status), &[]).await;
        })
    }
}

struct Metrics(Rc<Daemon>);

impl Handler for Metrics {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(0)
    }

    fn handle<'a>(&'a self, _: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        let text = self.0.meters.render(&self.0.core.borrow());
        Box::pin(async move {
            let mut head = Response::new(StatusCode::Ok);
            head.insert_header("content-type", "text/plain; version=0.0.4");
            // The collector asks again.
            let _ = exchange.respond(head, text.as_bytes()).await;
        })
    }
}
