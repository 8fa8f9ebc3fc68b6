//! Answers of the HTTP stand-ins, and their servers.

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

/// Connections that a stand-in accepts at once.
const CONNECTIONS: usize = 16_384;

/// Head of an answer.
#[must_use]
pub fn head(status: u16, content_type: &str) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.insert_header("content-type", content_type);
    response
}

/// Sends a JSON answer. A peer that hung up does not get it.
pub async fn send(exchange: &mut Exchange, status: u16, body: &impl Serialize) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let _ = exchange
        .respond(head(status, "application/json"), &body)
        .await;
}

/// Ends the connection without a byte of an answer, as a crash does. The server answers requests
/// that a handler leaves alone, so the head of an answer is begun and never sent.
pub fn hang_up(exchange: &mut Exchange) {
    if !exchange.is_started() {
        exchange.queue_head(head(500, "text/plain"));
    }
}

/// Value of a field of a request.
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
        connections: CONNECTIONS,
        ..ServerLimits::default()
    };
    let (_running, stop) = async_channel::bounded(1);
    http::serve(listener, limits, handler, executor, stop).await
}

/// Binds and serves on this thread until the process ends.
///
/// # Errors
///
/// The address is taken.
pub fn run(address: SocketAddr, handler: Rc<dyn Handler>) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let listener = TcpListener::bind(address).await?;
        serve(listener, handler, executor).await
    }))
}
