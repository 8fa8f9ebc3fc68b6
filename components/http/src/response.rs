//! Responses that the client receives.

use std::time::Instant;

use futures_lite::future;
use futures_lite::io::Cursor;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::Headers;
use smol::Timer;

use crate::body::BodyDecoder;
use crate::body::Framing;
use crate::budget::Reservation;
use crate::client::Connection;
use crate::client::IdleConnection;
use crate::client::Pool;
use crate::client::read_more;
use crate::error::ClientError;
use crate::limits::ClientLimits;

/// Largest response head; `async-h1` decodes no larger ones.
const HEAD_LIMIT_BYTES: usize = 8000;
/// Most bytes of informational heads, and of answers to other requests, before the answer.
const SKIPPED_LIMIT_BYTES: usize = 1 << 20;

/// A response with its complete body in memory.
#[derive(Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: Headers,
    /// Decoded body; empty if the response has none.
    pub body: Vec<u8>,
    _reservation: Reservation,
}

/// A response whose body is read incrementally. Dropping it early closes the connection.
#[derive(Debug)]
pub struct StreamingResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: Headers,
    /// Value of `Content-Length`; `None` for other framings.
    pub length: Option<u64>,
    connection: Option<Connection>,
    decoder: BodyDecoder,
    input: Vec<u8>,
    shared: Shared,
    is_reusable: bool,
    is_until_close: bool,
}

/// What a response needs of its client.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) limits: ClientLimits,
    pub(crate) pool: Pool,
    /// Bytes that this response buffers.
    pub(crate) reservation: Reservation,
}

impl StreamingResponse {
    /// Whether the body has neither a length nor chunks, and ends when the connection is closed.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.is_until_close
    }

    /// Next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// `Interrupted` if the body is truncated, malformed or stalls for longer than `stall_ms`.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, ClientError> {
        loop {
            let mut chunk = Vec::new();
            let used = self
                .decoder
                .decode(&self.input, &mut chunk)
                .map_err(ClientError::interrupted)?;
            self.input.drain(..used);
            if self.decoder.is_done() {
                self.return_to_pool();
            }
            if !chunk.is_empty() {
                return Ok(Some(chunk));
            }
            if self.decoder.is_done() {
                return Ok(None);
            }
            let Some(connection) = &mut self.connection else {
                return Err(ClientError::interrupted("the connection is closed"));
            };
            connection.watchdog.set(self.shared.limits.stall_ms);
            let count = read_more(connection, &mut self.input).await;
            if !matches!(count, Ok(count) if count > 0) {
                self.connection = None;
            }
            if count? == 0 {
                if self.is_until_close {
                    return Ok(None);
                }
                return Err(ClientError::closed(
                    "the connection was closed before the end of the body",
                ));
            }
        }
    }

    /// Buffers the rest of the body.
    ///
    /// # Errors
    ///
    /// As `next_chunk`; also if the body is larger than `body_limit_bytes`, or if it exceeds the
    /// budget of the client together with other answers.
    pub async fn into_buffered(self) -> Result<BufferedResponse, ClientError> {
        let body_ms = self.shared.limits.body_ms;
        let timeout = async {
            Timer::after(body_ms).await;
            let detail = format!("the body did not end within {body_ms:?}");
            Err(ClientError::interrupted(detail))
        };
        future::or(self.read_body(), timeout).await
    }

    async fn read_body(mut self) -> Result<BufferedResponse, ClientError> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            let length = body.len() + chunk.len();
            if length > self.shared.limits.body_limit_bytes {
                return Err(ClientError::interrupted(
                    "the body is larger than the client's limit",
                ));
            }
            self.reserve(length)?;
            if body.is_empty() {
                body = chunk;
            } else {
                body.extend_from_slice(&chunk);
            }
        }
        Ok(BufferedResponse {
            status: self.status,
            headers: self.headers,
            body,
            _reservation: self.shared.reservation,
        })
    }

    /// Sets the bytes of the body that the caller of `next_chunk` buffers.
    ///
    /// # Errors
    ///
    /// `Interrupted` if all answers together exceed the budget of the client.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), ClientError> {
        if self.shared.reservation.set(bytes) {
            Ok(())
        } else {
            Err(ClientError::interrupted(
                "the answers in progress exceed the client's budget",
            ))
        }
    }

    /// Returns the connection to the pool if it can be reused, and closes it otherwise.
    fn return_to_pool(&mut self) {
        let Some(Connection {
            stream,
            reader,
            mut watchdog,
            ..
        }) = self.connection.take()
        else {
            return;
        };
        let mut pool = self.shared.pool.borrow_mut();
        if self.is_reusable
            && self.input.is_empty()
            && pool.len() < self.shared.limits.idle_connections
        {
            watchdog.clear();
            pool.push(IdleConnection {
                stream,
                reader,
                watchdog,
                since: Instant::now(),
            });
        }
    }
}

/// Properties of the request that determine how its response is read.
pub(crate) struct Expected<'a> {
    /// The request's method was HEAD.
    pub(crate) is_head_only: bool,
    /// The request was written completely; otherwise the connection cannot be reused.
    pub(crate) has_sent_request: bool,
    /// Whether a response belongs to the request. Responses that do not are discarded.
    pub(crate) is_match: &'a dyn Fn(&Headers) -> bool,
}

/// Reads the head of a response; `input` holds the bytes received so far. The error comes with a
/// flag: the connection was closed before the first byte of the response.
pub(crate) async fn read_head(
    mut connection: Connection,
    mut input: Vec<u8>,
    mut shared: Shared,
    expected: Expected<'_>,
) -> Result<StreamingResponse, (ClientError, bool)> {
    let mut is_reusable = expected.has_sent_request;
    let mut skipped_bytes = 0;
    loop {
        if skipped_bytes > SKIPPED_LIMIT_BYTES || !shared.reservation.set(input.len()) {
            let error = ClientError::interrupted("too many bytes before the answer");
            return Err((error, false));
        }
        let Some(end) = find_head_end(&input) else {
            if input.len() >= HEAD_LIMIT_BYTES {
                return Err((
                    ClientError::interrupted("the response head is too long"),
                    false,
                ));
            }
            let before = input.len();
            match read_more(&mut connection, &mut input).await {
                Ok(0) => {
                    let error =
                        ClientError::closed("the connection was closed before the response");
                    return Err((error, before == 0));
                }
                Ok(_) => continue,
                Err(error) => return Err((error, false)),
            }
        };
        let head = decode(&input[..end])
            .await
            .map_err(|error| (error, false))?;
        input.drain(..end);
        skipped_bytes += end;
        if head.status().is_informational() {
            continue;
        }
        let until_close = shared.limits.body_until_close;
        let framing =
            framing(&head, expected.is_head_only, until_close).map_err(|error| (error, false))?;
        if !(expected.is_match)(head.as_ref()) {
            // A late response to an earlier request, or a duplicate.
            is_reusable = false;
            discard_body(&mut connection, &mut input, framing, &mut skipped_bytes)
                .await
                .map_err(|error| (error, false))?;
            continue;
        }
        let mut response = StreamingResponse {
            status: head.status(),
            length: match framing {
                Framing::Length(length) => Some(length),
                Framing::Chunked | Framing::UntilClose => None,
            },
            is_reusable: is_reusable && framing != Framing::UntilClose && !announces_close(&head),
            is_until_close: framing == Framing::UntilClose,
            headers: (head.as_ref() as &Headers).clone(),
            connection: Some(connection),
            decoder: BodyDecoder::new(framing),
            input,
            shared,
        };
        if response.decoder.is_done() {
            response.return_to_pool();
        }
        return Ok(response);
    }
}

async fn discard_body(
    connection: &mut Connection,
    input: &mut Vec<u8>,
    framing: Framing,
    skipped_bytes: &mut usize,
) -> Result<(), ClientError> {
    let mut decoder = BodyDecoder::new(framing);
    loop {
        let used = decoder
            .decode(input, &mut Vec::new())
            .map_err(ClientError::interrupted)?;
        input.drain(..used);
        *skipped_bytes += used;
        if *skipped_bytes > SKIPPED_LIMIT_BYTES {
            return Err(ClientError::interrupted(
                "the answer to another request is too long",
            ));
        }
        if decoder.is_done() {
            return Ok(());
        }
        if read_more(connection, input).await? == 0 {
            return Err(ClientError::closed(
                "the connection was closed before the response",
            ));
        }
    }
}

fn find_head_end(input: &[u8]) -> Option<usize> {
    input
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4)
}

async fn decode(head: &[u8]) -> Result<Response, ClientError> {
    if head.len() > HEAD_LIMIT_BYTES || !head.is_ascii() {
        return Err(ClientError::interrupted(
            "the response head is too long or not ASCII",
        ));
    }
    let mut response = async_h1::client::decode(Cursor::new(head.to_vec()))
        .await
        .map_err(|error| ClientError::interrupted(format!("malformed response head: {error}")))?;
    // Without a `Date` field, `async-h1` adds a malformed one that ends with a line feed.
    if matches!(response.header("date"), Some(date) if date.as_str().ends_with('\n')) {
        response.remove_header("date");
    }
    Ok(response)
}

fn framing(
    head: &Response,
    is_head_only: bool,
    is_until_close: bool,
) -> Result<Framing, ClientError> {
    let status = head.status();
    if is_head_only || status == StatusCode::NoContent || status == StatusCode::NotModified {
        return Ok(Framing::Length(0));
    }
    if let Some(encoding) = head.header("transfer-encoding") {
        if encoding.iter().count() == 1 && encoding.as_str().eq_ignore_ascii_case("chunked") {
            return Ok(Framing::Chunked);
        }
        return Err(ClientError::interrupted("unsupported Transfer-Encoding"));
    }
    let Some(lengths) = head.header("content-length") else {
        if is_until_close {
            return Ok(Framing::UntilClose);
        }
        // A body that ends when the connection closes is indistinguishable from a truncated one.
        return Err(ClientError::interrupted(
            "the response has neither Content-Length nor Transfer-Encoding",
        ));
    };
    let text = lengths.as_str();
    let valid = lengths.iter().count() == 1 && text.bytes().all(|b| b.is_ascii_digit());
    match text.parse() {
        Ok(length) if valid => Ok(Framing::Length(length)),
        _ => Err(ClientError::interrupted("malformed Content-Length")),
    }
}

fn announces_close(head: &Response) -> bool {
    head.header("connection")
        .is_some_and(|options| options.as_str().eq_ignore_ascii_case("close"))
}
