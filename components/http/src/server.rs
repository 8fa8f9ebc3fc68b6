//! Single-threaded HTTP server.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use futures_lite::io;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::net::TcpStream;
use types::Turn;

use crate::budget::ByteBudget;
use crate::connection;
use crate::exchange::Exchange;
use crate::limits::ServerLimits;
use crate::problem::Problem;

/// Pause after a failed accept, for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY_MS: Duration = Duration::from_millis(100);

/// Most connections that are accepted after a stop, so that clients that go on connecting do not
/// hold it up. Listeners have a backlog of that size.
const STOP_ACCEPT_LIMIT: usize = 1_024;

/// Future of a handler; not `Send`, because a server runs on one thread.
pub type HandlerFuture<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// Method, URL and header fields; its body is empty.
    pub head: http_types::Request,
    /// Request target as received; the URL in `head` is normalized.
    pub target: String,
    /// Value of the `Host` field.
    pub host: String,
    /// Decoded body; empty if the request has none.
    pub body: Vec<u8>,
    /// Remote address of the connection.
    pub peer: SocketAddr,
}

/// Application that handles the requests of a server.
pub trait Handler {
    /// Checks a request before its body is read, and returns the largest accepted body in bytes.
    ///
    /// # Errors
    ///
    /// The error response; the connection is then closed if the request has a body.
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem>;

    /// Limits for new connections, if they differ from those that the server was started with.
    fn limits(&self) -> Option<ServerLimits> {
        None
    }

    /// Sends the response to a request through the exchange. A handler that sends none causes a
    /// `500`; one that sends a truncated response causes the connection to be closed.
    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a>;
}

/// Accepts connections until the stop channel is closed, and those that wait then; closes idle
/// connections, and returns when the requests in progress are finished.
///
/// # Errors
///
/// None at present; accept is retried after an error.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<dyn Handler>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Receiver<()>,
) -> io::Result<()> {
    let open_connections = Rc::new(Cell::new(0_usize));
    let buffered_bodies = ByteBudget::new(limits.buffered_bodies_limit_bytes);
    let (guard, guards_dropped) = smol::channel::bounded::<()>(1);
    let mut accepted_after_stop = 0;
    let mut turn = Turn::default();
    while accepted_after_stop < STOP_ACCEPT_LIMIT
        && let Some(accepted) = accept_or_stop(&listener, &stop).await
    {
        accepted_after_stop += usize::from(stop.is_closed());
        turn.proceed(0).await;
        let Ok((stream, peer)) = accepted else {
            Timer::after(ACCEPT_RETRY_DELAY_MS).await;
            continue;
        };
        let limits = handler.limits().unwrap_or(limits);
        if open_connections.get() >= limits.connections {
            executor.spawn(reject_connection(stream)).detach();
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (open_connections, guard) = (open_connections.clone(), guard.clone());
        let budget = buffered_bodies.with_limit(limits.buffered_bodies_limit_bytes);
        let exchange = Exchange::new(stream, peer, limits, budget);
        let connection = connection::run(exchange, handler.clone(), stop.clone());
        executor
            .spawn(async move {
                connection.await;
                open_connections.set(open_connections.get() - 1);
                drop(guard);
            })
            .detach();
    }
    drop(listener);
    drop(guard);
    // Returns an error when the last connection has dropped its sender.
    let _ = guards_dropped.recv().await;
    Ok(())
}

/// Next connection; `None` if the server stops and no further one waits to be accepted.
async fn accept_or_stop(
    listener: &TcpListener,
    stop: &Receiver<()>,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    // Closing a listener resets the connections that wait there.
    if let Some(waiting) = poll_once(listener.accept()).await {
        return Some(waiting);
    }
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    let accepted = stopped.or(async { Some(listener.accept().await) }).await;
    match accepted {
        Some(accepted) => Some(accepted),
        None => poll_once(listener.accept()).await,
    }
}

async fn reject_connection(mut stream: TcpStream) {
    let (mut head, body) = Problem::new(
        503,
        "too-many-connections",
        "the server has too many open connections; retry later",
    )
    .run(types::RunState::NotRun)
    .retry_after(Duration::from_secs(1))
    .to_response();
    head.insert_header("connection", "close");
    let bytes = crate::exchange::encode_response(head, &body, false);
    let write = async { stream.write_all(&bytes).await.is_ok() };
    let timeout = async {
        Timer::after(Duration::from_secs(1)).await;
        false
    };
    write.or(timeout).await;
}
