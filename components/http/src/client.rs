//! Client with a keep-alive pool for one address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
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

use crate::error::ClientError;
use crate::input::Input;
use crate::limits::ClientLimits;
use crate::response;
use crate::response::Expected;
use crate::response::StreamingResponse;
use crate::response::WholeResponse;
use crate::watchdog::Watchdog;

/// Keepalive probes without an answer after which a peer is taken for gone.
const LOST_PROBES: u32 = 2;

/// A connection between two requests.
#[derive(Debug)]
pub(crate) struct Idle {
    pub(crate) stream: TcpStream,
    pub(crate) receiving: Input,
    pub(crate) watchdog: Watchdog,
    pub(crate) since: Instant,
}

pub(crate) type Pool = Rc<RefCell<Vec<Idle>>>;

/// Client of one address; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    limits: ClientLimits,
    pool: Pool,
}

/// A connection in use, and whether it was used before.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) receiving: Input,
    pub(crate) watchdog: Watchdog,
    reused: bool,
}

impl Client {
    /// A client without open connections.
    #[must_use]
    pub fn new(addr: SocketAddr, limits: ClientLimits) -> Self {
        Self {
            addr,
            limits,
            pool: Pool::default(),
        }
    }

    /// Address that requests are sent to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// A request for a path with an optional query, without fields or body.
    ///
    /// # Errors
    ///
    /// `NotSent` if the path is no part of a URL.
    pub fn request(&self, method: Method, path: &str) -> Result<Request, ClientError> {
        let slash = if path.starts_with('/') { "" } else { "/" };
        let url = Url::parse(&format!("http://{}{slash}{path}", self.addr))
            .map_err(ClientError::not_sent)?;
        Ok(Request::new(method, url))
    }

    /// Sends a request and collects the whole answer.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`; a body that is cut short or larger
    /// than `body_limit_bytes` is an error.
    pub async fn send_whole(&self, request: Request) -> Result<WholeResponse, ClientError> {
        self.send(request).await?.into_whole().await
    }

    /// Sends a request and returns when the head of the answer has arrived.
    ///
    /// A request is sent a second time only if it is a GET or HEAD and a connection from the pool
    /// was closed before any byte of the answer.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`.
    pub async fn send(&self, mut request: Request) -> Result<StreamingResponse, ClientError> {
        let method = request.method();
        let body = request.take_body();
        let body = body.into_bytes().await.map_err(ClientError::not_sent)?;
        let media_type = request.header("content-type").is_some();
        request.set_body(Body::from_bytes(body));
        if !media_type {
            request.remove_header("content-type");
        }
        let mut bytes = Vec::new();
        Encoder::new(request)
            .read_to_end(&mut bytes)
            .await
            .map_err(ClientError::not_sent)?;
        let repeatable = matches!(method, Method::Get | Method::Head);
        loop {
            let connection = self.connect().await?;
            let reused = connection.reused;
            match self.exchange(connection, &bytes, method).await {
                Err((_, no_answer)) if reused && no_answer && repeatable => {}
                Err((error, _)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
    }

    async fn connect(&self) -> Result<Connection, ClientError> {
        loop {
            let Some(mut idle) = self.pool.borrow_mut().pop() else {
                break;
            };
            if idle.since.elapsed() < self.limits.idle_ms && is_open(&mut idle.stream).await {
                return Ok(Connection {
                    stream: idle.stream,
                    receiving: idle.receiving,
                    watchdog: idle.watchdog,
                    reused: true,
                });
            }
        }
        let connect = async {
            TcpStream::connect(self.addr)
                .await
                .map_err(ClientError::not_sent)
        };
        let give_up = async {
            Timer::after(self.limits.connect_ms).await;
            Err(ClientError::not_sent(
                "the connection was not opened in time",
            ))
        };
        let stream = connect.or(give_up).await?;
        let _ = stream.set_nodelay(true);
        if let Some(interval) = self.limits.probe_ms {
            probe_peer(&stream, interval).map_err(ClientError::not_sent)?;
        }
        Ok(Connection {
            receiving: Input::new(&stream),
            stream,
            watchdog: Watchdog::default(),
            reused: false,
        })
    }

    /// Sends a request whose head is encoded already, and returns when the head of the answer has
    /// arrived. Nothing is sent a second time. Answers for which `is_own` is false are dropped.
    ///
    /// # Errors
    ///
    /// `NotSent` if no byte was sent, otherwise `Interrupted`.
    pub async fn forward(
        &self,
        head: &[u8],
        body: &[u8],
        head_only: bool,
        is_own: impl Fn(&Headers) -> bool,
    ) -> Result<StreamingResponse, ClientError> {
        let mut connection = self.connect().await?;
        connection.watchdog.set(self.limits.head_ms);
        let bytes = [head, body].concat();
        let mut input = Vec::new();
        let request_written = write_until_answered(&mut connection, &bytes, &mut input)
            .await
            .map_err(|(error, _)| error)?;
        let expected = Expected {
            head_only,
            request_written,
            is_own: &is_own,
        };
        response::read_head(connection, input, self.limits, self.pool.clone(), expected)
            .await
            .map_err(|(error, _)| error)
    }

    /// The error comes with whether the connection ended without a byte of the answer.
    async fn exchange(
        &self,
        mut connection: Connection,
        bytes: &[u8],
        method: Method,
    ) -> Result<StreamingResponse, (ClientError, bool)> {
        connection.watchdog.set(self.limits.head_ms);
        let mut input = Vec::new();
        let request_written = write_until_answered(&mut connection, bytes, &mut input).await?;
        let expected = Expected {
            head_only: method == Method::Head,
            request_written,
            is_own: &|_| true,
        };
        response::read_head(connection, input, self.limits, self.pool.clone(), expected).await
    }
}

/// Whether the server has neither closed the connection nor sent bytes that nobody asked for.
async fn is_open(stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    poll_once(stream.read(&mut byte)).await.is_none()
}

/// Writes a request, but stops when bytes of an answer arrive before its end. Returns whether all
/// was written.
async fn write_until_answered(
    connection: &mut Connection,
    bytes: &[u8],
    input: &mut Vec<u8>,
) -> Result<bool, (ClientError, bool)> {
    let mut written = 0;
    let failed = |written: usize, cause: &dyn std::fmt::Display| {
        if written == 0 {
            (ClientError::not_sent(cause), true)
        } else {
            (ClientError::interrupted(cause), true)
        }
    };
    poll_fn(|cx| {
        while written < bytes.len() {
            match Pin::new(&mut connection.stream).poll_write(cx, &bytes[written..]) {
                Poll::Ready(Ok(count)) if count > 0 => written += count,
                Poll::Ready(Ok(_)) => return Poll::Ready(Err(failed(written, &"closed"))),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(failed(written, &error))),
                Poll::Pending => {
                    let mut chunk = [0; 4 << 10];
                    match connection.receiving.poll_read(cx, &mut chunk) {
                        Poll::Ready(Ok(count)) if count > 0 => {
                            input.extend_from_slice(&chunk[..count]);
                            return Poll::Ready(Ok(false));
                        }
                        Poll::Ready(Ok(_)) => return Poll::Ready(Err(failed(written, &"closed"))),
                        Poll::Ready(Err(error)) => {
                            return Poll::Ready(Err(failed(written, &error)));
                        }
                        Poll::Pending => {}
                    }
                    return connection
                        .watchdog
                        .poll_expired(cx)
                        .map(|()| Err(failed(written, &"the request was not taken in time")));
                }
            }
        }
        Poll::Ready(Ok(true))
    })
    .await
}

/// Lets the kernel find out whether the peer is still there.
fn probe_peer(stream: &TcpStream, interval: Duration) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, LOST_PROBES)?;
    let unacknowledged = interval * (LOST_PROBES + 1);
    let unacknowledged = u32::try_from(unacknowledged.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, unacknowledged)
}

/// Reads more bytes into `input`; 0 at the end of the connection.
pub(crate) async fn read_more(
    connection: &mut Connection,
    input: &mut Vec<u8>,
) -> Result<usize, ClientError> {
    poll_fn(|cx| {
        let mut chunk = [0; 16 << 10];
        match connection.receiving.poll_read(cx, &mut chunk) {
            Poll::Ready(Ok(count)) => {
                input.extend_from_slice(&chunk[..count]);
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(ClientError::interrupted(error))),
            Poll::Pending => connection
                .watchdog
                .poll_expired(cx)
                .map(|()| Err(ClientError::interrupted("no byte arrived in time"))),
        }
    })
    .await
}
