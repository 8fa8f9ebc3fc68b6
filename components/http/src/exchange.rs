//! One request and its answer on a server connection.

use std::cell::Cell;
use std::future::Future;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

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

use crate::error::HungUp;
use crate::input::Input;
use crate::limits::ServerLimits;
use crate::watchdog::Watchdog;

/// Most bytes of later requests that are read while an answer is awaited.
const READ_AHEAD_LIMIT_BYTES: usize = 16 << 10;

/// Largest buffer that a connection keeps for its next write.
const KEPT_OUTPUT_BYTES: usize = 4 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Awaited,
    Streaming,
    Whole,
    Broken,
}

/// One request and its answer, as a handler sees them.
#[derive(Debug)]
pub struct Exchange {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    pub(crate) limits: ServerLimits,
    /// Bytes received and not yet used.
    pub(crate) input: Vec<u8>,
    pub(crate) watchdog: Watchdog,
    pub(crate) progress: Progress,
    pub(crate) head_only: bool,
    pub(crate) close: bool,
    /// Bytes of bodies held by all connections of the server.
    pub(crate) held_bodies: Rc<Cell<usize>>,
    output: Vec<u8>,
    receiving: Input,
}

impl Exchange {
    pub(crate) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        limits: ServerLimits,
        held_bodies: Rc<Cell<usize>>,
    ) -> Self {
        Self {
            receiving: Input::new(&stream),
            stream,
            peer,
            limits,
            input: Vec::new(),
            watchdog: Watchdog::default(),
            progress: Progress::Awaited,
            head_only: false,
            close: false,
            held_bodies,
            output: Vec::new(),
        }
    }

    /// Waits for a future, but not longer than the peer does.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer closed its side of the connection first.
    pub async fn or_hang_up<T>(&mut self, awaited: impl Future<Output = T>) -> Result<T, HungUp> {
        let mut awaited = pin!(awaited);
        poll_fn(|cx| {
            if let Poll::Ready(value) = awaited.as_mut().poll(cx) {
                return Poll::Ready(Ok(value));
            }
            while self.input.len() < READ_AHEAD_LIMIT_BYTES {
                match self.poll_input(cx) {
                    Poll::Ready(Ok(count)) if count > 0 => {}
                    Poll::Ready(_) => {
                        self.progress = Progress::Broken;
                        return Poll::Ready(Err(HungUp));
                    }
                    Poll::Pending => break,
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer does not take it.
    pub async fn respond(&mut self, mut head: Response, body: &[u8]) -> Result<(), HungUp> {
        self.mark_close(&mut head);
        self.output = encode_whole(head, body, self.head_only);
        self.flush().await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Sends the head of an answer whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer does not take it.
    pub async fn start(&mut self, head: Response) -> Result<(), HungUp> {
        self.queue_head(head);
        self.flush().await
    }

    /// Sends the next bytes of the body; returns when the socket has taken them.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer does not take them.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HungUp> {
        self.queue(bytes);
        self.flush().await
    }

    /// Sends the end of the body. Without it the peer sees an incomplete answer.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer does not take it.
    pub async fn finish(&mut self) -> Result<(), HungUp> {
        if !self.head_only {
            self.output.extend_from_slice(b"0\r\n\r\n");
        }
        self.flush().await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Like `start`, but the head is sent together with what follows.
    pub fn queue_head(&mut self, mut head: Response) {
        self.mark_close(&mut head);
        let media_type = head.header("content-type").is_some();
        let length = has_no_body(&head).then_some(0);
        self.head_only |= length.is_some();
        head.set_body(Body::from_reader(io::empty(), length));
        if !media_type {
            head.remove_header("content-type");
        }
        encode_head(head, &mut self.output);
        self.progress = Progress::Streaming;
    }

    /// Like `write`, but the bytes are sent together with what follows.
    pub fn queue(&mut self, bytes: &[u8]) {
        if self.head_only || bytes.is_empty() {
            return;
        }
        // Writing to a vector cannot fail.
        let _ = write!(self.output, "{:x}\r\n", bytes.len());
        self.output.extend_from_slice(bytes);
        self.output.extend_from_slice(b"\r\n");
    }

    /// Closes the connection after this answer, and tells the peer so in its head.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Whether the head of the answer was sent.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.progress != Progress::Awaited
    }

    /// Address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends bytes outside of an answer.
    pub(crate) async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), HungUp> {
        self.output.extend_from_slice(bytes);
        self.flush().await
    }

    fn mark_close(&mut self, head: &mut Response) {
        if self.close {
            head.insert_header("connection", "close");
        }
    }

    /// Sends what is queued; returns when the socket has taken it.
    ///
    /// # Errors
    ///
    /// `HungUp` if the peer does not take it.
    pub async fn flush(&mut self) -> Result<(), HungUp> {
        let mut written = 0;
        let result = poll_fn(|cx| {
            while written < self.output.len() {
                match Pin::new(&mut self.stream).poll_write(cx, &self.output[written..]) {
                    Poll::Ready(Ok(count)) if count > 0 => {
                        written += count;
                        self.watchdog.clear();
                    }
                    Poll::Ready(_) => return Poll::Ready(Err(HungUp)),
                    Poll::Pending => {
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
        if self.output.capacity() > KEPT_OUTPUT_BYTES {
            self.output = Vec::new();
        }
        self.output.clear();
        if result.is_err() {
            self.progress = Progress::Broken;
        }
        result
    }

    /// Reads more bytes into `input`; 0 at the end of the connection.
    pub(crate) fn poll_input(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut chunk = [0; 8 << 10];
        let read = self.receiving.poll_read(cx, &mut chunk);
        if let Poll::Ready(Ok(count)) = read {
            self.input.extend_from_slice(&chunk[..count]);
        }
        read
    }

    pub(crate) fn abort(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Encodes an answer whose body is known.
pub(crate) fn encode_whole(mut head: Response, body: &[u8], head_only: bool) -> Vec<u8> {
    let head_only = head_only || has_no_body(&head);
    let body = if has_no_body(&head) { &[] } else { body };
    let mut bytes = Vec::with_capacity(256 + body.len());
    let media_type = head.header("content-type").is_some();
    head.set_body(Body::from_reader(io::empty(), Some(body.len())));
    if !media_type {
        head.remove_header("content-type");
    }
    encode_head(head, &mut bytes);
    if !head_only {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Answers without a body whatever their fields say; a peer would take the bytes of one for the
/// start of the next answer.
fn has_no_body(head: &Response) -> bool {
    matches!(
        head.status(),
        StatusCode::NoContent | StatusCode::NotModified
    )
}

/// Encodes the head alone, which is what the encoder does for the HEAD method.
fn encode_head(head: Response, out: &mut Vec<u8>) {
    let mut encoder = Encoder::new(head, Method::Head);
    let encoding = encoder.read_to_end(out);
    // The head is in memory, so the encoder is never pending.
    future::block_on(async {
        let _ = encoding.await;
    });
}
