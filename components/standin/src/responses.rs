//! HTTP responses and servers shared by the stand-ins.

use std::net::SocketAddr;
use std::rc::Rc;

use http::Exchange;
use http::Handler;
use http::Request;
use http::ServerLimits;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use smol::LocalExecutor;
use smol::net::TcpListener;

/// Concurrent connections that a stand-in accepts.
const CONNECTION_LIMIT: usize = 16_384;

/// Response head with a content type. An invalid status becomes 500.
#[must_use]
pub fn head(status: u16, content_type: &str) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.insert_header("content-type", content_type);
    response
}

/// Sends a JSON response. Errors are ignored, as the client may have disconnected.
pub async fn send(exchange: &mut Exchange, status: u16, body: &impl Serialize) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let _ = exchange
        .respond(head(status, "application/json"), &body)
        .await;
}

/// Closes the connection without sending a byte of the response, as a crashed server does. The
/// HTTP server responds to requests that a handler ignores, so a head is queued but never sent.
pub fn abort(exchange: &mut Exchange) {
    if !exchange.is_started() {
        exchange.queue_head(head(500, "text/plain"));
    }
}

/// Value of a request header.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head.header(name).map(|values| values.as_str())
}

/// Serves until the process ends.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let limits = ServerLimits {
        connections: CONNECTION_LIMIT,
        ..ServerLimits::default()
    };
    let (_stop_sender, stop) = async_channel::bounded(1);
    http::serve(listener, limits, handler, executor, stop).await
}

/// Binds the address and serves on the current thread until the process ends.
///
/// # Errors
///
/// The address is already in use.
pub fn run(address: SocketAddr, handler: Rc<dyn Handler>) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let listener = TcpListener::bind(address).await?;
        serve(listener, handler, executor).await
    }))
}
