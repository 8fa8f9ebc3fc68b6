//! Client for one server address, with a pool of keep-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use async_h1::client::Encoder;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;
use futures_lite::future::poll_fn;
use futures_lite::future::poll_once;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use http_types::headers::Headers;
use rustix::net::sockopt;
use smol::Timer;
use smol::net::TcpStream;
use types::Turn;

use crate::budget::ByteBudget;
use crate::error::ClientError;
use crate::error::ForwardError;
use crate::limits::ClientLimits;
use crate::response;
use crate::response::BufferedResponse;
use crate::response::Expected;
use crate::response::Shared;
use crate::response::StreamingResponse;
use crate::socket_reader::SocketReader;
use crate::watchdog::Watchdog;

/// Number of unacknowledged TCP keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// An open connection without a request in progress.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: SocketReader,
    pub(crate) watchdog: Watchdog,
    pub(crate) since: Instant,
}

pub(crate) type Pool = Rc<RefCell<Vec<IdleConnection>>>;

/// Client for one server address; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    limits: ClientLimits,
    pool: Pool,
    budget: ByteBudget,
}

/// A connection with a request in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: SocketReader,
    pub(crate) watchdog: Watchdog,
    is_reused: bool,
}

impl Client {
    /// A client with an empty pool; connections are opened when a request needs one.
    #[must_use]
    pub fn new(addr: SocketAddr, limits: ClientLimits) -> Self {
        Self {
            addr,
            limits,
            pool: Pool::default(),
            budget: ByteBudget::new(usize::MAX),
        }
    }

    /// The same client with a limit on the bytes that answers take until they are complete, or
    /// until their events are. Other clients may share it.
    #[must_use]
    pub fn with_budget(mut self, budget: ByteBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Address of the server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Builds a request for a path with an optional query, without header fields or body.
    ///
    /// # Errors
    ///
    /// `NotSent` if the path is not valid in a URL.
    pub fn request(&self, method: Method, path: &str) -> Result<Request, ClientError> {
        let slash = if path.starts_with('/') { "" } else { "/" };
        let url = Url::parse(&format!("http://{}{slash}{path}", self.addr))
            .map_err(ClientError::not_sent)?;
        Ok(Request::new(method, url))
    }

    /// Sends a request and buffers the complete response.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`; also if the body is truncated or
    /// larger than `body_limit_bytes`.
    pub async fn send_buffered(&self, request: Request) -> Result<BufferedResponse, ClientError> {
        self.send(request).await?.into_buffered().await
    }

    /// Sends a request and returns when the head of the response has arrived.
    ///
    /// Only a GET or HEAD request is retried, and only if a pooled connection was closed before
    /// the first byte of the response.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`.
    pub async fn send(&self, mut request: Request) -> Result<StreamingResponse, ClientError> {
        let method = request.method();
        let body = request.take_body();
        let body = body.into_bytes().await.map_err(ClientError::not_sent)?;
        let has_content_type = request.header("content-type").is_some();
        request.set_body(Body::from_bytes(body));
        if !has_content_type {
            request.remove_header("content-type");
        }
        let mut bytes = Vec::new();
        Encoder::new(request)
            .read_to_end(&mut bytes)
            .await
            .map_err(ClientError::not_sent)?;
        let is_retryable = matches!(method, Method::Get | Method::Head);
        loop {
            let connection = self.connect().await?;
            let is_reused = connection.is_reused;
            match self.exchange(connection, &bytes, method).await {
                Err((_, is_unanswered)) if is_reused && is_unanswered && is_retryable => {}
                Err((error, _)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
    }

    fn shared(&self) -> Shared {
        Shared {
            limits: self.limits,
            pool: self.pool.clone(),
            reservation: self.budget.reserve(),
        }
    }

    /// Closes the connections without a request in progress.
    pub fn close_idle(&self) {
        self.pool.borrow_mut().clear();
    }

    async fn connect(&self) -> Result<Connection, ClientError> {
        loop {
            let Some(mut idle) = self.pool.borrow_mut().pop() else {
                break;
            };
            if idle.since.elapsed() < self.limits.idle_ms && is_open(&mut idle.stream).await {
                return Ok(Connection {
                    stream: idle.stream,
                    reader: idle.reader,
                    watchdog: idle.watchdog,
                    is_reused: true,
                });
            }
        }
        let connect = async {
            TcpStream::connect(self.addr)
                .await
                .map_err(ClientError::not_sent)
        };
        let timeout = async {
            Timer::after(self.limits.connect_ms).await;
            Err(ClientError::not_sent(
                "timed out while opening the connection",
            ))
        };
        let stream = connect.or(timeout).await?;
        let _ = stream.set_nodelay(true);
        if let Some(interval) = self.limits.keepalive_ms {
            enable_keepalive(&stream, interval).map_err(ClientError::not_sent)?;
        }
        Ok(Connection {
            reader: SocketReader::new(&stream),
            stream,
            watchdog: Watchdog::default(),
            is_reused: false,
        })
    }

    /// Sends a request with an already encoded head and returns when the head of the response has
    /// arrived. Nothing is retried. Responses for which `is_match` is false are discarded; it is
    /// also told whether the connection has carried an earlier request.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`.
    pub async fn forward(
        &self,
        head: &[u8],
        body: &[u8],
        is_head_only: bool,
        is_match: impl Fn(&Headers, bool) -> bool,
    ) -> Result<StreamingResponse, ForwardError> {
        let not_connected = |cause| ForwardError {
            cause,
            is_reused_connection: false,
        };
        let mut connection = self.connect().await.map_err(not_connected)?;
        let is_reused_connection = connection.is_reused;
        connection.watchdog.set(self.limits.head_ms);
        let bytes = [head, body].concat();
        let response = async {
            let mut input = Vec::new();
            let has_sent_request =
                write_until_response(&mut connection, &bytes, &mut input).await?;
            let expected = Expected {
                is_head_only,
                has_sent_request,
                is_match: &|fields| is_match(fields, is_reused_connection),
            };
            response::read_head(connection, input, self.shared(), expected).await
        };
        let response = response.await;
        if response.is_err() && is_reused_connection {
            // The server has probably dropped the other idle connections too.
            self.close_idle();
        }
        response.map_err(|(cause, _)| ForwardError {
            cause,
            is_reused_connection,
        })
    }

    /// The error comes with a flag: the connection failed before the first byte of the response.
    async fn exchange(
        &self,
        mut connection: Connection,
        bytes: &[u8],
        method: Method,
    ) -> Result<StreamingResponse, (ClientError, bool)> {
        connection.watchdog.set(self.limits.head_ms);
        let mut input = Vec::new();
        let has_sent_request = write_until_response(&mut connection, bytes, &mut input).await?;
        let expected = Expected {
            is_head_only: method == Method::Head,
            has_sent_request,
            is_match: &|_| true,
        };
        response::read_head(connection, input, self.shared(), expected).await
    }
}

/// Whether the server has neither closed the connection nor sent bytes without a request.
async fn is_open(stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    poll_once(stream.read(&mut byte)).await.is_none()
}

/// Writes a request, but stops when bytes of the response arrive before its end. Returns whether
/// the request was written completely.
async fn write_until_response(
    connection: &mut Connection,
    bytes: &[u8],
    input: &mut Vec<u8>,
) -> Result<bool, (ClientError, bool)> {
    let mut written = 0;
    let mut turn = Turn::default();
    let failed = |written: usize, error: ClientError| {
        if written == 0 {
            (ClientError::not_sent(error.detail()), true)
        } else {
            (error, true)
        }
    };
    let closed = || ClientError::closed("the connection was closed before the whole request");
    poll_fn(|cx| {
        while written < bytes.len() {
            ready!(turn.poll_proceed(cx));
            match Pin::new(&mut connection.stream).poll_write(cx, &bytes[written..]) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    written += count;
                    turn.spend(count);
                }
                Poll::Ready(Ok(_)) => return Poll::Ready(Err(failed(written, closed()))),
                Poll::Ready(Err(error)) => {
                    let error = ClientError::connection_failed(&error);
                    return Poll::Ready(Err(failed(written, error)));
                }
                Poll::Pending => {
                    let mut chunk = [0; 4 << 10];
                    match connection.reader.poll_read(cx, &mut chunk) {
                        Poll::Ready(Ok(count)) if count > 0 => {
                            input.extend_from_slice(&chunk[..count]);
                            return Poll::Ready(Ok(false));
                        }
                        Poll::Ready(Ok(_)) => return Poll::Ready(Err(failed(written, closed()))),
                        Poll::Ready(Err(error)) => {
                            let error = ClientError::connection_failed(&error);
                            return Poll::Ready(Err(failed(written, error)));
                        }
                        Poll::Pending => {}
                    }
                    return connection.watchdog.poll_expired(cx).map(|()| {
                        let error = ClientError::interrupted("timed out writing the request");
                        Err(failed(written, error))
                    });
                }
            }
        }
        Poll::Ready(Ok(true))
    })
    .await
}

/// Enables TCP keepalive, and a limit on the time that sent data stays unacknowledged, so that
/// the kernel detects an unreachable peer.
fn enable_keepalive(stream: &TcpStream, interval: Duration) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let user_timeout = interval * (KEEPALIVE_PROBES + 1);
    let user_timeout_ms = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms)
}

/// Appends bytes from the connection to `input`; returns 0 at the end of the stream.
pub(crate) async fn read_more(
    connection: &mut Connection,
    input: &mut Vec<u8>,
) -> Result<usize, ClientError> {
    poll_fn(|cx| {
        let mut chunk = [0; 16 << 10];
        match connection.reader.poll_read(cx, &mut chunk) {
            Poll::Ready(Ok(count)) => {
                input.extend_from_slice(&chunk[..count]);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(ClientError::connection_failed(&error))),
            Poll::Pending => connection
                .watchdog
                .poll_expired(cx)
                .map(|()| Err(ClientError::interrupted("timed out waiting for data"))),
        }
    })
    .await
}
