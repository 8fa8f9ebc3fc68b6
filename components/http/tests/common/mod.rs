//! A server on loopback and raw connections to it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use http::ServerLimits;
use http_types::Response;
use http_types::StatusCode;
use smol::LocalExecutor;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Largest body that the handler admits.
pub const BODY_LIMIT_BYTES: u64 = 1000;

/// Echoes bodies; some paths misbehave. Notes what it was told.
#[derive(Default)]
pub struct Echo {
    pub notes: RefCell<Vec<String>>,
}

impl Handler for Echo {
    fn admit(&self, head: &http_types::Request) -> Result<u64, Problem> {
        match head.url().path() {
            "/unknown" => Err(Problem::new(404, "unknown-service", "no such service")),
            _ => Ok(BODY_LIMIT_BYTES),
        }
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        let path = request.head.url().path().to_owned();
        self.notes.borrow_mut().push(format!("run {path}"));
        Box::pin(async move {
            let head = Response::new(StatusCode::Ok);
            let result = match path.as_str() {
                "/never" => exchange.or_hang_up(std::future::pending()).await,
                "/slow" => {
                    let _ = exchange
                        .or_hang_up(Timer::after(Duration::from_millis(100)))
                        .await;
                    exchange.respond(head, b"slow").await
                }
                "/endless" => {
                    let mut result = exchange.start(head).await;
                    while result.is_ok() {
                        result = exchange.write(&[b'x'; 1024]).await;
                    }
                    result
                }
                "/stream" => stream(exchange, head).await,
                "/cut" => {
                    let _ = exchange.start(head).await;
                    exchange.write(b"half").await
                }
                "/none" => Ok(()),
                "/no-content" => stream(exchange, Response::new(StatusCode::NoContent)).await,
                "/not-modified" => {
                    let head = Response::new(StatusCode::NotModified);
                    exchange.respond(head, b"body").await
                }
                _ => exchange.respond(head, &request.body).await,
            };
            if result.is_err() {
                self.notes.borrow_mut().push(format!("hung up {path}"));
            }
        })
    }
}

async fn stream(exchange: &mut Exchange, head: Response) -> Result<(), http::HungUp> {
    exchange.start(head).await?;
    exchange.write(b"one ").await?;
    exchange.write(b"two").await?;
    exchange.finish().await
}

/// A running server.
pub struct Running {
    pub addr: SocketAddr,
    pub echo: Rc<Echo>,
    pub stop: Sender<()>,
    /// Closed when `serve` has returned.
    pub ended: Receiver<()>,
}

/// Runs a test beside a server.
pub fn with_server<F: Future<Output = ()>>(
    limits: ServerLimits,
    test: impl FnOnce(Rc<Running>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let server = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let echo = Rc::new(Echo::default());
        let (stop, stopped) = smol::channel::bounded(1);
        let serving = http::serve(listener, limits, echo.clone(), server.clone(), stopped);
        let (running, ended) = smol::channel::bounded(1);
        let task = async move {
            serving.await.unwrap();
            drop(running);
        };
        server.spawn(task).detach();
        test(Rc::new(Running {
            addr,
            echo,
            stop,
            ended,
        }))
        .await;
    }));
}

/// Sends bytes and returns everything up to the end of the connection.
pub async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(bytes).await;
    read_to_end(&mut stream).await
}

pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until the handler has noted something, or for two seconds.
pub async fn noted(echo: &Echo, note: &str) -> bool {
    for _ in 0..200 {
        if echo.notes.borrow().iter().any(|n| n == note) {
            return true;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    false
}
