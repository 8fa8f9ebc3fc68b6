//! Server for one thread.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::io;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::connection;
use crate::exchange::Exchange;
use crate::limits::ServerLimits;
use crate::problem::Problem;

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE_MS: Duration = Duration::from_millis(100);

/// Future of a handler; a server runs on one thread.
pub type HandlerFuture<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Method, URL and fields; the body is beside it.
    pub head: http_types::Request,
    /// Request target as it was sent.
    pub target: String,
    /// Value of the `Host` field.
    pub host: String,
    /// Body; empty without one.
    pub body: Vec<u8>,
    /// Address of the peer.
    pub peer: SocketAddr,
}

/// What a server does with requests.
pub trait Handler {
    /// Largest accepted body for a request, told before the body is read.
    ///
    /// # Errors
    ///
    /// The problem to answer with; the connection is closed unless there is no body to come.
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem>;

    /// Limits for connections accepted from now on, if they differ from those that the server was
    /// started with.
    fn limits(&self) -> Option<ServerLimits> {
        None
    }

    /// Answers a request through the exchange. The connection is closed if it returns without a
    /// whole answer.
    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a>;
}

/// Serves a listener until the stop channel is closed, then closes idle connections and returns
/// when the rest are finished.
///
/// # Errors
///
/// None at present; accept errors are waited out.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<dyn Handler>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Receiver<()>,
) -> io::Result<()> {
    let open = Rc::new(Cell::new(0_usize));
    let held_bodies = Rc::new(Cell::new(0_usize));
    let (running, finished) = smol::channel::bounded::<()>(1);
    while let Some(accepted) = accept_or_stop(&listener, &stop).await {
        let Ok((stream, peer)) = accepted else {
            Timer::after(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let limits = handler.limits().unwrap_or(limits);
        if open.get() >= limits.connections {
            executor.spawn(turn_away(stream)).detach();
            continue;
        }
        open.set(open.get() + 1);
        let (open, running) = (open.clone(), running.clone());
        let exchange = Exchange::new(stream, peer, limits, held_bodies.clone());
        let connection = connection::run(exchange, handler.clone(), stop.clone());
        executor
            .spawn(async move {
                connection.await;
                open.set(open.get() - 1);
                drop(running);
            })
            .detach();
    }
    drop(listener);
    drop(running);
    // Fails as soon as the last connection has dropped its sender.
    let _ = finished.recv().await;
    Ok(())
}

async fn accept_or_stop(
    listener: &TcpListener,
    stop: &Receiver<()>,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    stopped.or(async { Some(listener.accept().await) }).await
}

async fn turn_away(mut stream: TcpStream) {
    let (mut head, body) = Problem::new(503, "too-many-connections", "come back later")
        .run(types::RunState::NotRun)
        .retry_after(Duration::from_secs(1))
        .to_answer();
    head.insert_header("connection", "close");
    let bytes = crate::exchange::encode_whole(head, &body, false);
    let write = async { stream.write_all(&bytes).await.is_ok() };
    let give_up = async {
        Timer::after(Duration::from_secs(1)).await;
        false
    };
    write.or(give_up).await;
}
