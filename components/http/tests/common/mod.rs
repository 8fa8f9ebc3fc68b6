//! Test server on the loopback interface, and raw connections to it.
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

/// Largest request body that the handler accepts.
pub const BODY_LIMIT_BYTES: u64 = 1000;

/// Handler that echoes bodies; some paths have a special behaviour. Records requests and hang-ups.
#[derive(Default)]
pub struct Echo {
    pub events: RefCell<Vec<String>>,
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
        self.events.borrow_mut().push(format!("run {path}"));
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
                "/stream" => send_chunks(exchange, head).await,
                "/cut" => {
                    let _ = exchange.start(head).await;
                    exchange.write(b"half").await
                }
                "/second-head" => {
                    let _ = exchange.start(Response::new(StatusCode::Ok)).await;
                    let _ = exchange.write(b"half").await;
                    exchange.respond(head, b"second").await
                }
                "/second-response" => {
                    let first = Response::new(StatusCode::Ok);
                    let _ = exchange.respond(first, b"first").await;
                    exchange.respond(head, b"second").await
                }
                "/no-head" => exchange.write(b"half").await,
                "/none" => Ok(()),
                "/no-content" => send_chunks(exchange, Response::new(StatusCode::NoContent)).await,
                "/not-modified" => {
                    let head = Response::new(StatusCode::NotModified);
                    exchange.respond(head, b"body").await
                }
                _ => exchange.respond(head, &request.body).await,
            };
            if result.is_err() {
                self.events.borrow_mut().push(format!("hung up {path}"));
            }
        })
    }
}

async fn send_chunks(exchange: &mut Exchange, head: Response) -> Result<(), http::HungUp> {
    exchange.start(head).await?;
    exchange.write(b"one ").await?;
    exchange.write(b"two").await?;
    exchange.finish().await
}

/// Running server and its handler.
pub struct TestServer {
    pub addr: SocketAddr,
    pub echo: Rc<Echo>,
    pub stop: Sender<()>,
    /// Channel that is closed when `serve` has returned.
    pub serve_ended: Receiver<()>,
}

/// Runs a test with a running server.
pub fn with_server<F: Future<Output = ()>>(
    limits: ServerLimits,
    test: impl FnOnce(Rc<TestServer>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let server = executor.clone();
    smol::block_on(executor.run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let echo = Rc::new(Echo::default());
        let (stop, stopped) = smol::channel::bounded(1);
        let serving = http::serve(listener, limits, echo.clone(), server.clone(), stopped);
        let (guard, serve_ended) = smol::channel::bounded(1);
        let task = async move {
            serving.await.unwrap();
            drop(guard);
        };
        server.spawn(task).detach();
        test(Rc::new(TestServer {
            addr,
            echo,
            stop,
            serve_ended,
        }))
        .await;
    }));
}

/// Sends bytes and returns everything received until the connection ends.
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

/// Waits for an event of the handler for up to two seconds; returns whether it was recorded.
pub async fn wait_for_event(echo: &Echo, event: &str) -> bool {
    for _ in 0..200 {
        if echo
            .events
            .borrow()
            .iter()
            .any(|recorded| recorded == event)
        {
            return true;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    false
}
