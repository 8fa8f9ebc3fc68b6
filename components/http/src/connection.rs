//! A server connection: one request after the other.

use std::cell::Cell;
use std::future::Future;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use futures_lite::future::poll_fn;
use http_types::Method;
use smol::Timer;
use smol::channel::Receiver;
use types::RunState;

use crate::body::BodyDecoder;
use crate::body::Framing;
use crate::error::HungUp;
use crate::exchange::Exchange;
use crate::exchange::Progress;
use crate::head::Head;
use crate::head::HeadError;
use crate::head::parse_head;
use crate::problem::Problem;
use crate::server::Handler;
use crate::server::Request;

/// Longest time for which bytes of a refused request are read and dropped. Closing a socket with
/// unread bytes resets the connection, and the peer might lose the answer.
const LINGER_MS: Duration = Duration::from_secs(2);
/// Time after which a caller comes back if no more bodies can be held.
const OVERLOADED_RETRY_MS: Duration = Duration::from_secs(1);
/// Answer to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What became of reading a request.
enum Incoming {
    /// A whole request, and its share of the held bodies.
    Request(Box<Head>, Vec<u8>, Held),
    /// Answered with a problem; the bytes after it cannot be trusted.
    Refused(Problem),
    /// Answered with a problem; the next request can be read.
    RefusedAtBoundary(Problem),
    /// Closed, idle for too long, or stopping.
    Closed,
}

pub(crate) async fn run(mut exchange: Exchange, handler: Rc<dyn Handler>, stop: Receiver<()>) {
    let _ = exchange.stream.set_nodelay(true);
    loop {
        exchange.progress = Progress::Awaited;
        exchange.head_only = false;
        match read_request(&mut exchange, &*handler, &stop).await {
            Incoming::Request(head, body, _share) => {
                let request = Request {
                    head: head.request,
                    target: head.target,
                    host: head.host,
                    body,
                    peer: exchange.peer,
                };
                exchange.close = head.close || stop.is_closed();
                handler.handle(request, &mut exchange).await;
                answer_unanswered(&mut exchange).await;
            }
            Incoming::RefusedAtBoundary(problem) => {
                exchange.close |= stop.is_closed();
                let (head, body) = problem.to_answer();
                let _ = exchange.respond(head, &body).await;
            }
            Incoming::Refused(problem) => {
                exchange.close = true;
                let (head, body) = problem.to_answer();
                if exchange.respond(head, &body).await.is_ok() {
                    linger(&mut exchange).await;
                }
                return;
            }
            Incoming::Closed => return,
        }
        if exchange.progress != Progress::Whole {
            exchange.abort();
            return;
        }
        if exchange.close {
            return;
        }
    }
}

async fn answer_unanswered(exchange: &mut Exchange) {
    if exchange.progress == Progress::Awaited {
        let (head, body) = Problem::new(500, "internal", "the request was left unanswered")
            .run(RunState::Unknown)
            .to_answer();
        let _ = exchange.respond(head, &body).await;
    }
}

async fn read_request(
    exchange: &mut Exchange,
    handler: &dyn Handler,
    stop: &Receiver<()>,
) -> Incoming {
    let head = match read_head(exchange, stop).await {
        Ok(Some(head)) => head,
        Ok(None) => return Incoming::Closed,
        Err(error) => return Incoming::Refused(head_problem(&error)),
    };
    exchange.head_only = head.request.method() == Method::Head;
    exchange.close = head.close;
    let no_body = head.framing == Framing::Length(0);
    let limit_bytes = match handler.admit(&head.request) {
        Ok(limit_bytes) => limit_bytes,
        Err(problem) if no_body => return Incoming::RefusedAtBoundary(problem),
        Err(problem) => return Incoming::Refused(problem),
    };
    if no_body {
        let share = Held::new(exchange);
        return Incoming::Request(Box::new(head), Vec::new(), share);
    }
    let mut share = Held::new(exchange);
    match read_body(exchange, &head, limit_bytes, &mut share).await {
        Ok(Some(body)) => Incoming::Request(Box::new(head), body, share),
        Ok(None) => Incoming::Closed,
        Err(problem) => Incoming::Refused(problem),
    }
}

/// Reads a head; `None` if the connection ends between requests or in the middle of a head.
async fn read_head(
    exchange: &mut Exchange,
    stop: &Receiver<()>,
) -> Result<Option<Head>, HeadError> {
    let limits = exchange.limits;
    let mut searched = 0;
    exchange.watchdog.set(limits.idle_ms);
    loop {
        if searched == 0 {
            skip_empty_lines(&mut exchange.input);
        }
        if let Some(end) = find_head_end(&exchange.input, searched) {
            exchange.watchdog.clear();
            if end > limits.head_limit_bytes {
                return Err(HeadError::new(431, "the head is too long"));
            }
            let head = parse_head(&exchange.input[..end], limits.field_limit)?;
            exchange.input.drain(..end);
            return Ok(Some(head));
        }
        if exchange.input.len() >= limits.head_limit_bytes {
            return Err(HeadError::new(431, "the head is too long"));
        }
        let partial = !exchange.input.is_empty();
        if !partial {
            if stop.is_closed() {
                return Ok(None);
            }
            // An idle connection keeps no buffer.
            exchange.input = Vec::new();
        } else if searched == 0 {
            exchange.watchdog.set(limits.head_ms);
        }
        searched = exchange.input.len();
        match read_more(exchange, (!partial).then_some(stop)).await {
            Read::Some => {}
            Read::TimedOut if partial => {
                return Err(HeadError::new(408, "the head did not arrive in time"));
            }
            Read::Closed | Read::TimedOut => return Ok(None),
        }
    }
}

fn skip_empty_lines(input: &mut Vec<u8>) {
    while input.starts_with(b"\r\n") {
        input.drain(..2);
    }
}

fn find_head_end(input: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    input[from..]
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| from + at + 4)
}

/// Reads a body; `None` if the connection ends in its middle.
async fn read_body(
    exchange: &mut Exchange,
    head: &Head,
    limit_bytes: u64,
    share: &mut Held,
) -> Result<Option<Vec<u8>>, Problem> {
    let announced = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if announced > limit_bytes {
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
        reserve(&mut body, announced, exchange.input.len());
        let used = decoder
            .decode(&exchange.input, &mut body)
            .map_err(|error| bad_request(error.to_string()))?;
        exchange.input.drain(..used);
        if body.len() as u64 > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        if !share.grow_to(body.len(), exchange.limits.held_bodies_bytes) {
            return Err(overloaded());
        }
        if decoder.is_done() {
            exchange.watchdog.clear();
            return Ok(Some(body));
        }
        match read_more(exchange, None).await {
            Read::Some => {}
            Read::Closed => return Ok(None),
            Read::TimedOut => {
                return Err(
                    Problem::new(408, "too-slow", "the body did not arrive in time")
                        .run(RunState::NotRun),
                );
            }
        }
    }
}

/// Doubles the space for a body, but not beyond its announced length. The announced length is not
/// reserved at once, because a peer may announce much and send nothing.
fn reserve(body: &mut Vec<u8>, announced: u64, arrived: usize) {
    let left = usize::try_from(announced).map_or(usize::MAX, |a| a.saturating_sub(body.len()));
    if body.capacity() - body.len() < arrived {
        body.reserve_exact(left.min(arrived.max(body.len())));
    }
}

/// Share of one request in the bodies that the server holds.
struct Held {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl Held {
    fn new(exchange: &Exchange) -> Self {
        Self {
            total: exchange.held_bodies.clone(),
            bytes: 0,
        }
    }

    /// Returns whether the body still fits.
    fn grow_to(&mut self, bytes: usize, limit_bytes: usize) -> bool {
        self.total.set(self.total.get() + (bytes - self.bytes));
        self.bytes = bytes;
        self.total.get() <= limit_bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}

async fn send_continue(exchange: &mut Exchange) -> Result<(), HungUp> {
    exchange.send_raw(CONTINUE).await
}

enum Read {
    Some,
    Closed,
    TimedOut,
}

async fn read_more(exchange: &mut Exchange, stop: Option<&Receiver<()>>) -> Read {
    let mut stopped = pin!(async {
        match stop {
            Some(stop) => drop(stop.recv().await),
            None => std::future::pending().await,
        }
    });
    poll_fn(|cx| {
        match exchange.poll_input(cx) {
            Poll::Ready(Ok(count)) if count > 0 => return Poll::Ready(Read::Some),
            Poll::Ready(_) => return Poll::Ready(Read::Closed),
            Poll::Pending => {}
        }
        if exchange.watchdog.poll_expired(cx).is_ready() {
            return Poll::Ready(Read::TimedOut);
        }
        stopped.as_mut().poll(cx).map(|()| Read::Closed)
    })
    .await
}

async fn linger(exchange: &mut Exchange) {
    let _ = exchange.stream.shutdown(Shutdown::Write);
    let drain = async {
        let mut dropped = vec![0; 16 << 10];
        while matches!(exchange.stream.read(&mut dropped).await, Ok(count) if count > 0) {}
    };
    drain
        .or(async {
            Timer::after(LINGER_MS).await;
        })
        .await;
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
        "too many bytes of requests are held here",
    )
    .run(RunState::NotRun)
    .retry_after(OVERLOADED_RETRY_MS)
}

fn too_large(limit_bytes: u64) -> Problem {
    let detail = format!("the body is larger than {limit_bytes} bytes");
    Problem::new(413, "body-too-large", detail).run(RunState::NotRun)
}
