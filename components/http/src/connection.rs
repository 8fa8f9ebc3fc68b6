//! Server side of a connection, which handles its requests in sequence.

use std::future::Future;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use futures_lite::future::poll_fn;
use futures_lite::future::poll_once;
use http_types::Method;
use smol::channel::Receiver;
use types::RunState;

use crate::body::BodyDecoder;
use crate::body::Framing;
use crate::budget::Reservation;
use crate::error::HungUp;
use crate::exchange::Exchange;
use crate::exchange::ResponseState;
use crate::head::Head;
use crate::head::HeadError;
use crate::head::parse_head;
use crate::problem::Problem;
use crate::server::Handler;
use crate::server::Request;

/// Longest duration of a lingering close, in which the rest of a rejected request is read and
/// discarded. Closing a socket with unread bytes resets the connection, and the peer might lose the
/// response.
const LINGER_MS: Duration = Duration::from_secs(2);
/// Time after a stop in which the first request of a connection must begin to arrive. The client
/// connected to send it.
const FIRST_REQUEST_MS: Duration = Duration::from_millis(300);
/// `Retry-After` of a request that exceeds the limit on buffered bodies.
const OVERLOADED_RETRY_MS: Duration = Duration::from_secs(1);
/// Interim response to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Result of reading a request.
enum Incoming {
    /// A complete request, and its share of the limit on buffered bodies.
    Request(Box<Head>, Vec<u8>, Reservation),
    /// Rejected; the start of the next request is unknown, so the connection must close.
    Rejected(Problem),
    /// Rejected, but without a body; the next request can be read.
    RejectedWithoutBody(Problem),
    /// The peer closed the connection, it was idle for too long, or the server is stopping.
    Closed,
}

pub(crate) async fn run(mut exchange: Exchange, handler: Rc<dyn Handler>, stop: Receiver<()>) {
    let _ = exchange.stream.set_nodelay(true);
    let mut is_first = true;
    loop {
        exchange.response_state = ResponseState::NotStarted;
        exchange.is_head_only = false;
        let incoming = read_request(&mut exchange, &*handler, &stop, is_first).await;
        is_first = false;
        match incoming {
            Incoming::Request(head, body, _reservation) => {
                let request = Request {
                    head: head.request,
                    target: head.target,
                    host: head.host,
                    body,
                    peer: exchange.peer,
                };
                exchange.is_closing = head.is_close_requested || stop.is_closed();
                handler.handle(request, &mut exchange).await;
                respond_if_unanswered(&mut exchange).await;
            }
            Incoming::RejectedWithoutBody(problem) => {
                exchange.is_closing |= stop.is_closed();
                let (head, body) = problem.to_response();
                let _ = exchange.respond(head, &body).await;
            }
            Incoming::Rejected(problem) => {
                exchange.is_closing = true;
                let (head, body) = problem.to_response();
                if exchange.respond(head, &body).await.is_ok() {
                    lingering_close(&mut exchange).await;
                }
                return;
            }
            Incoming::Closed => return,
        }
        if exchange.response_state != ResponseState::Complete {
            exchange.abort();
            return;
        }
        if exchange.is_closing {
            return;
        }
    }
}

async fn respond_if_unanswered(exchange: &mut Exchange) {
    if exchange.response_state == ResponseState::NotStarted {
        let (head, body) = Problem::new(500, "internal", "the handler returned without a response")
            .run(RunState::Unknown)
            .to_response();
        let _ = exchange.respond(head, &body).await;
    }
}

async fn read_request(
    exchange: &mut Exchange,
    handler: &dyn Handler,
    stop: &Receiver<()>,
    is_first: bool,
) -> Incoming {
    let head = match read_head(exchange, stop, is_first).await {
        Ok(Some(head)) => head,
        Ok(None) => return Incoming::Closed,
        Err(error) => return Incoming::Rejected(head_problem(&error)),
    };
    exchange.is_head_only = head.request.method() == Method::Head;
    exchange.is_closing = head.is_close_requested;
    let no_body = head.framing == Framing::Length(0);
    let limit_bytes = match handler.admit(&head.request) {
        Ok(limit_bytes) => limit_bytes,
        Err(problem) if no_body => return Incoming::RejectedWithoutBody(problem),
        Err(problem) => return Incoming::Rejected(problem),
    };
    if no_body {
        let reservation = exchange.body_budget();
        return Incoming::Request(Box::new(head), Vec::new(), reservation);
    }
    let mut reservation = exchange.body_budget();
    match read_body(exchange, &head, limit_bytes, &mut reservation).await {
        Ok(Some(body)) => Incoming::Request(Box::new(head), body, reservation),
        Ok(None) => Incoming::Closed,
        Err(problem) => Incoming::Rejected(problem),
    }
}

/// Reads a head; `None` if the connection ends before the head is complete, or if the server stops
/// and no request has arrived.
async fn read_head(
    exchange: &mut Exchange,
    stop: &Receiver<()>,
    is_first: bool,
) -> Result<Option<Head>, HeadError> {
    let limits = exchange.limits;
    let mut searched_bytes = 0;
    exchange.watchdog.set(limits.idle_ms);
    loop {
        if searched_bytes == 0 {
            skip_empty_lines(&mut exchange.input);
        }
        if let Some(end) = find_head_end(&exchange.input, searched_bytes) {
            exchange.watchdog.clear();
            if end > limits.head_limit_bytes {
                return Err(HeadError::new(431, "the request head is too long"));
            }
            let head = parse_head(&exchange.input[..end], limits.field_limit)?;
            exchange.input.drain(..end);
            return Ok(Some(head));
        }
        if exchange.input.len() >= limits.head_limit_bytes {
            return Err(HeadError::new(431, "the request head is too long"));
        }
        let is_partial = !exchange.input.is_empty();
        let is_stopping = stop.is_closed();
        if !is_partial {
            // An idle connection releases its buffer.
            exchange.input = Vec::new();
            if is_stopping && is_first {
                exchange.watchdog.set(FIRST_REQUEST_MS.min(limits.idle_ms));
            } else if is_stopping {
                match poll_once(read_available(exchange)).await {
                    Some(ReadOutcome::Data) => continue,
                    _ => return Ok(None),
                }
            }
        } else if searched_bytes == 0 {
            exchange.watchdog.set(limits.head_ms);
        }
        searched_bytes = exchange.input.len();
        let is_waiting = !is_partial && !is_stopping;
        match read_more(exchange, is_waiting.then_some(stop)).await {
            ReadOutcome::Data | ReadOutcome::Stopped => {}
            ReadOutcome::TimedOut if is_partial => {
                return Err(HeadError::new(
                    408,
                    "timed out while reading the request head",
                ));
            }
            ReadOutcome::Closed | ReadOutcome::TimedOut => return Ok(None),
        }
    }
}

fn skip_empty_lines(input: &mut Vec<u8>) {
    while input.starts_with(b"\r\n") {
        input.drain(..2);
    }
}

fn find_head_end(input: &[u8], searched_bytes: usize) -> Option<usize> {
    let from = searched_bytes.saturating_sub(3);
    input[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| from + at + 4)
}

/// Reads a body; `None` if the connection ends before the body is complete.
async fn read_body(
    exchange: &mut Exchange,
    head: &Head,
    limit_bytes: u64,
    reservation: &mut Reservation,
) -> Result<Option<Vec<u8>>, Problem> {
    let announced_bytes = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if announced_bytes > limit_bytes {
        return Err(too_large(limit_bytes));
    }
    if head.expects_continue && exchange.input.is_empty() && send_continue(exchange).await.is_err()
    {
        return Ok(None);
    }
    let mut body = Vec::new();
    let mut decoder = BodyDecoder::new(head.framing);
    exchange.watchdog.set(exchange.limits.body_ms);
    loop {
        reserve(&mut body, announced_bytes, exchange.input.len());
        let used = decoder
            .decode(&exchange.input, &mut body)
            .map_err(|error| bad_request(error.to_string()))?;
        exchange.input.drain(..used);
        if body.len() as u64 > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        if !reservation.set(body.len()) {
            return Err(overloaded());
        }
        if decoder.is_done() {
            exchange.watchdog.clear();
            return Ok(Some(body));
        }
        match read_more(exchange, None).await {
            ReadOutcome::Data => {}
            ReadOutcome::Closed | ReadOutcome::Stopped => return Ok(None),
            ReadOutcome::TimedOut => {
                return Err(Problem::new(
                    408,
                    "too-slow",
                    "timed out while reading the request body",
                )
                .run(RunState::NotRun));
            }
        }
    }
}

/// Doubles the capacity of a body, up to its `Content-Length`. The announced length is not
/// reserved at once, because a peer may announce a large body and send nothing.
fn reserve(body: &mut Vec<u8>, announced_bytes: u64, received_bytes: usize) {
    let left =
        usize::try_from(announced_bytes).map_or(usize::MAX, |a| a.saturating_sub(body.len()));
    if body.capacity() - body.len() < received_bytes {
        body.reserve_exact(left.min(received_bytes.max(body.len())));
    }
}

async fn send_continue(exchange: &mut Exchange) -> Result<(), HungUp> {
    exchange.send_raw(CONTINUE).await
}

enum ReadOutcome {
    Data,
    Closed,
    TimedOut,
    Stopped,
}

/// Reads bytes that may have arrived since the socket was last empty.
async fn read_available(exchange: &mut Exchange) -> ReadOutcome {
    exchange.assume_readable();
    read_more(exchange, None).await
}

async fn read_more(exchange: &mut Exchange, stop: Option<&Receiver<()>>) -> ReadOutcome {
    let mut stopped = pin!(async {
        match stop {
            Some(stop) => drop(stop.recv().await),
            None => std::future::pending().await,
        }
    });
    poll_fn(|cx| {
        match exchange.poll_input(cx) {
            Poll::Ready(Ok(count)) if count > 0 => return Poll::Ready(ReadOutcome::Data),
            Poll::Ready(_) => return Poll::Ready(ReadOutcome::Closed),
            Poll::Pending => {}
        }
        if exchange.watchdog.poll_expired(cx).is_ready() {
            return Poll::Ready(ReadOutcome::TimedOut);
        }
        stopped.as_mut().poll(cx).map(|()| ReadOutcome::Stopped)
    })
    .await
}

async fn lingering_close(exchange: &mut Exchange) {
    let _ = exchange.stream.shutdown(Shutdown::Write);
    exchange.watchdog.set(LINGER_MS);
    while matches!(read_more(exchange, None).await, ReadOutcome::Data) {
        exchange.input.clear();
    }
}

fn head_problem(error: &HeadError) -> Problem {
    let kind = match error.status {
        408 => "too-slow",
        431 | 414 => "head-too-large",
        _ => "bad-request",
    };
    let problem = Problem::new(error.status, kind, error.detail).run(RunState::NotRun);
    match &error.field {
        Some(field) => problem.field(field),
        None => problem,
    }
}

fn bad_request(detail: String) -> Problem {
    Problem::new(400, "bad-request", detail).run(RunState::NotRun)
}

fn overloaded() -> Problem {
    Problem::new(
        503,
        "overloaded",
        "the buffered request bodies exceed the server's limit",
    )
    .run(RunState::NotRun)
    .retry_after(OVERLOADED_RETRY_MS)
}

fn too_large(limit_bytes: u64) -> Problem {
    let detail = format!("the body is larger than {limit_bytes} bytes");
    Problem::new(413, "body-too-large", detail).run(RunState::NotRun)
}
