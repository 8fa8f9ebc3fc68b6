//! One request and its response on a server connection.

use std::future::Future;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Poll;
use std::task::ready;

use async_h1::server::Encoder;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::future;
use futures_lite::future::poll_fn;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use smol::net::TcpStream;
use types::Turn;

use crate::budget::ByteBudget;
use crate::budget::Reservation;
use crate::error::HungUp;
use crate::limits::ServerLimits;
use crate::socket_reader::SocketReader;
use crate::watchdog::Watchdog;

/// Most bytes of pipelined requests that are read while a response is in progress.
const READ_AHEAD_LIMIT_BYTES: usize = 16 << 10;

/// Largest output buffer that is reused for the next write; a larger one is freed.
const REUSED_OUTPUT_LIMIT_BYTES: usize = 4 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseState {
    NotStarted,
    Streaming,
    Complete,
    Failed,
}

/// Connection through which a handler sends the response to one request.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    pub(crate) limits: ServerLimits,
    /// Bytes received and not yet decoded.
    pub(crate) input: Vec<u8>,
    pub(crate) watchdog: Watchdog,
    pub(crate) response_state: ResponseState,
    /// The response has no body, because of its status or a HEAD request.
    pub(crate) is_head_only: bool,
    /// The connection closes after this response.
    pub(crate) is_closing: bool,
    /// Bytes of request bodies buffered by all connections of the server.
    buffered_bodies: ByteBudget,
    output: Vec<u8>,
    reader: SocketReader,
    /// Turn of the task as a writer.
    turn: Turn,
}

impl Exchange {
    pub(crate) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        limits: ServerLimits,
        buffered_bodies: ByteBudget,
    ) -> Self {
        Self {
            reader: SocketReader::new(&stream),
            stream,
            peer,
            limits,
            input: Vec::new(),
            watchdog: Watchdog::default(),
            response_state: ResponseState::NotStarted,
            is_head_only: false,
            is_closing: false,
            buffered_bodies,
            output: Vec::new(),
            turn: Turn::default(),
        }
    }

    /// Waits for a future, but stops when the peer closes the connection.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closed its side of the connection before the future was ready.
    pub async fn or_hang_up<T>(&mut self, operation: impl Future<Output = T>) -> Result<T, HungUp> {
        let mut operation = pin!(operation);
        poll_fn(|cx| {
            if let Poll::Ready(value) = operation.as_mut().poll(cx) {
                return Poll::Ready(Ok(value));
            }
            while self.input.len() < READ_AHEAD_LIMIT_BYTES {
                match self.poll_input(cx) {
                    Poll::Ready(Ok(count)) if count > 0 => {}
                    Poll::Ready(_) => {
                        self.response_state = ResponseState::Failed;
                        return Poll::Ready(Err(HungUp));
                    }
                    Poll::Pending => break,
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closes the connection or stops reading, or if a response has begun, which
    /// closes the connection.
    pub async fn respond(&mut self, mut head: Response, body: &[u8]) -> Result<(), HungUp> {
        self.begin()?;
        self.add_connection_close(&mut head);
        self.output = encode_response(head, body, self.is_head_only);
        self.flush().await?;
        self.response_state = ResponseState::Complete;
        Ok(())
    }

    /// Sends the head of a response whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// As `respond`.
    pub async fn start(&mut self, head: Response) -> Result<(), HungUp> {
        self.queue_head(head);
        self.flush().await
    }

    /// Sends the next bytes of the body; returns when they are in the socket's send buffer.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closes the connection or stops reading, or if no response is in progress.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HungUp> {
        self.queue(bytes);
        self.flush().await
    }

    /// Sends the last chunk. Without it the peer sees a truncated response.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closes the connection or stops reading.
    pub async fn finish(&mut self) -> Result<(), HungUp> {
        if !self.is_in_progress() {
            self.response_state = ResponseState::Failed;
            return Err(HungUp);
        }
        if !self.is_head_only {
            self.output.extend_from_slice(b"0\r\n\r\n");
        }
        self.flush().await?;
        self.response_state = ResponseState::Complete;
        Ok(())
    }

    /// Like `start`, but buffers the head until the next write or flush, which reports the error.
    pub fn queue_head(&mut self, mut head: Response) {
        if self.begin().is_err() {
            return;
        }
        self.add_connection_close(&mut head);
        let has_content_type = head.header("content-type").is_some();
        let length = has_no_body(&head).then_some(0);
        self.is_head_only |= length.is_some();
        head.set_body(Body::from_reader(io::empty(), length));
        if !has_content_type {
            head.remove_header("content-type");
        }
        encode_head(head, &mut self.output);
    }

    /// Like `write`, but buffers the bytes until the next write or flush.
    pub fn queue(&mut self, bytes: &[u8]) {
        if !self.is_in_progress() {
            self.response_state = ResponseState::Failed;
            return;
        }
        if self.is_head_only || bytes.is_empty() {
            return;
        }
        // Writing to a vector cannot fail.
        let _ = write!(self.output, "{:x}\r\n", bytes.len());
        self.output.extend_from_slice(bytes);
        self.output.extend_from_slice(b"\r\n");
    }

    /// Closes the connection after this response. Adds `Connection: close` if the head was not sent
    /// yet.
    pub fn close_after_response(&mut self) {
        self.is_closing = true;
    }

    /// Whether the head of the response was sent or queued.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.response_state != ResponseState::NotStarted
    }

    /// Remote address of the connection.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Begins the response. A second head would arrive in the body of the first response or without
    /// a request, so the connection is closed instead.
    fn begin(&mut self) -> Result<(), HungUp> {
        if self.is_started() {
            self.response_state = ResponseState::Failed;
            return Err(HungUp);
        }
        self.response_state = ResponseState::Streaming;
        Ok(())
    }

    fn is_in_progress(&self) -> bool {
        self.response_state == ResponseState::Streaming
    }

    /// Sends bytes that are not part of the response, such as an interim response.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closes the connection or stops reading.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), HungUp> {
        self.output.extend_from_slice(bytes);
        self.flush().await
    }

    fn add_connection_close(&mut self, head: &mut Response) {
        if self.is_closing {
            head.insert_header("connection", "close");
        }
    }

    /// Sends the queued bytes; returns when they are in the socket's send buffer.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closes the connection or stops reading.
    pub async fn flush(&mut self) -> Result<(), HungUp> {
        if self.response_state == ResponseState::Failed {
            return Err(HungUp);
        }
        let mut written = 0;
        let result = poll_fn(|cx| {
            while written < self.output.len() {
                ready!(self.turn.poll_proceed(cx));
                match Pin::new(&mut self.stream).poll_write(cx, &self.output[written..]) {
                    Poll::Ready(Ok(count)) if count > 0 => {
                        written += count;
                        self.turn.spend(count);
                        self.watchdog.clear();
                    }
                    Poll::Ready(_) => return Poll::Ready(Err(HungUp)),
                    Poll::Pending => {
                        self.turn.renew();
                        if !self.watchdog.is_set() {
                            self.watchdog.set(self.limits.write_stall_ms);
                        }
                        return self.watchdog.poll_expired(cx).map(|()| Err(HungUp));
                    }
                }
            }
            Poll::Ready(Ok(()))
        })
        .await;
        self.watchdog.clear();
        if self.output.capacity() > REUSED_OUTPUT_LIMIT_BYTES {
            self.output = Vec::new();
        }
        self.output.clear();
        if result.is_err() {
            self.response_state = ResponseState::Failed;
        }
        result
    }

    /// Makes the next read try the socket, also if the reactor has not reported it as readable.
    pub(crate) fn assume_readable(&mut self) {
        self.reader.assume_readable();
    }

    /// Appends bytes from the connection to `input`; returns 0 at the end of the stream.
    pub(crate) fn poll_input(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut chunk = [0; 8 << 10];
        let read = self.reader.poll_read(cx, &mut chunk);
        if let Poll::Ready(Ok(count)) = read {
            self.input.extend_from_slice(&chunk[..count]);
        }
        read
    }

    /// Share of a request in the server's limit on buffered bodies.
    pub(crate) fn body_budget(&self) -> Reservation {
        self.buffered_bodies.reserve()
    }

    pub(crate) fn abort(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Encodes a complete response, with `Content-Length`.
pub(crate) fn encode_response(mut head: Response, body: &[u8], is_head_only: bool) -> Vec<u8> {
    let is_head_only = is_head_only || has_no_body(&head);
    let body = if has_no_body(&head) { &[] } else { body };
    let mut bytes = Vec::with_capacity(256 + body.len());
    let has_content_type = head.header("content-type").is_some();
    head.set_body(Body::from_reader(io::empty(), Some(body.len())));
    if !has_content_type {
        head.remove_header("content-type");
    }
    encode_head(head, &mut bytes);
    if !is_head_only {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Statuses whose responses never have a body; a peer would decode the bytes of a body as the
/// start of the next response.
fn has_no_body(head: &Response) -> bool {
    matches!(
        head.status(),
        StatusCode::NoContent | StatusCode::NotModified
    )
}

/// Encodes the head only: `async-h1` writes no body in response to HEAD.
fn encode_head(head: Response, out: &mut Vec<u8>) {
    let mut encoder = Encoder::new(head, Method::Head);
    let encoding = encoder.read_to_end(out);
    // The head is in memory, so the encoder is never pending.
    future::block_on(async {
        let _ = encoding.await;
    });
}
