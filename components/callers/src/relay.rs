//! Relaying of a response to the caller.

use async_channel::Receiver;
use http::Exchange;
use http::HungUp;
use http_types::Response;
use http_types::StatusCode;
use types::Refusal;
use types::Reply;
use types::RequestId;

use crate::gateway::Gateway;
use crate::refusal;

/// Size from which no more parts of a body are merged into one write.
const BATCH_LIMIT_BYTES: usize = 64 << 10;
/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Parts of the body that were available without waiting.
struct Batch {
    body: Vec<u8>,
    end: BatchEnd,
}

/// State of the response after a batch.
enum BatchEnd {
    /// More parts may follow.
    More,
    End,
    Refused(Refusal),
    /// The channel was closed before the end of the response.
    Aborted,
}

/// Relays one response to the caller; returns its status.
pub(crate) async fn relay_response(
    gateway: &dyn Gateway,
    request: RequestId,
    replies: &Receiver<Reply>,
    exchange: &mut Exchange,
) -> Result<u16, HungUp> {
    let (status, content_type, headers, served_by) =
        match exchange.or_hang_up(replies.recv()).await? {
            Ok(Reply::Head {
                status,
                content_type,
                headers,
                served_by,
            }) => (status, content_type, headers, served_by),
            Ok(Reply::Refused(refusal)) => return send_refusal(exchange, request, &refusal).await,
            Ok(Reply::Body(_) | Reply::End) | Err(_) => return Ok(500),
        };
    let mut head = Response::new(status_code(status));
    for field in headers.iter() {
        head.append_header(field.name.as_str(), field.value.as_str());
    }
    insert_if_valid(&mut head, "content-type", &content_type);
    insert_if_valid(&mut head, "x-served-by", &served_by);
    insert_request_id(&mut head, request);
    let batch = collect_batch(replies, Vec::new());
    if matches!(batch.end, BatchEnd::End) {
        exchange.respond(head, &batch.body).await?;
        gateway.consumed(request, batch.body.len() as u64);
        return Ok(status);
    }
    exchange.queue_head(head);
    let is_event_stream = content_type.starts_with(EVENT_STREAM);
    stream_body(gateway, request, replies, exchange, batch, is_event_stream).await?;
    Ok(status)
}

async fn stream_body(
    gateway: &dyn Gateway,
    request: RequestId,
    replies: &Receiver<Reply>,
    exchange: &mut Exchange,
    mut batch: Batch,
    is_event_stream: bool,
) -> Result<(), HungUp> {
    loop {
        exchange.queue(&batch.body);
        match batch.end {
            BatchEnd::End => exchange.finish().await?,
            _ => exchange.flush().await?,
        }
        if !batch.body.is_empty() {
            gateway.consumed(request, batch.body.len() as u64);
        }
        match batch.end {
            BatchEnd::More => {}
            BatchEnd::Refused(refusal) if is_event_stream => {
                return exchange.write(&error_event(&refusal)).await;
            }
            // A response that failed gets no last chunk, so that the caller sees it as truncated.
            BatchEnd::End | BatchEnd::Aborted | BatchEnd::Refused(_) => return Ok(()),
        }
        batch = match exchange.or_hang_up(replies.recv()).await? {
            Ok(Reply::Body(body)) => collect_batch(replies, body),
            Ok(Reply::End) => empty_batch(BatchEnd::End),
            Ok(Reply::Refused(refusal)) => empty_batch(BatchEnd::Refused(refusal)),
            Ok(Reply::Head { .. }) | Err(_) => empty_batch(BatchEnd::Aborted),
        };
    }
}

fn empty_batch(end: BatchEnd) -> Batch {
    Batch {
        body: Vec::new(),
        end,
    }
}

fn collect_batch(replies: &Receiver<Reply>, mut body: Vec<u8>) -> Batch {
    while body.len() < BATCH_LIMIT_BYTES {
        let end = match replies.try_recv() {
            Ok(Reply::Body(next)) if body.is_empty() => {
                body = next;
                continue;
            }
            Ok(Reply::Body(next)) => {
                body.extend_from_slice(&next);
                continue;
            }
            Ok(Reply::End) => BatchEnd::End,
            Ok(Reply::Refused(refusal)) => BatchEnd::Refused(refusal),
            Ok(Reply::Head { .. }) | Err(async_channel::TryRecvError::Closed) => BatchEnd::Aborted,
            Err(async_channel::TryRecvError::Empty) => BatchEnd::More,
        };
        return Batch { body, end };
    }
    Batch {
        body,
        end: BatchEnd::More,
    }
}

async fn send_refusal(
    exchange: &mut Exchange,
    request: RequestId,
    refusal: &Refusal,
) -> Result<u16, HungUp> {
    let problem = refusal::problem(refusal);
    let (mut head, body) = problem.to_response();
    insert_request_id(&mut head, request);
    if refusal.retry_after_ms.is_none() {
        // Common client libraries for language models retry every 5xx response without this field.
        head.insert_header("x-should-retry", "false");
    }
    exchange.respond(head, &body).await?;
    Ok(problem.status)
}

fn error_event(refusal: &Refusal) -> Vec<u8> {
    let document = serde_json::to_string(&refusal::problem(refusal)).unwrap_or_default();
    format!("event: error\ndata: {document}\n\n").into_bytes()
}

/// `http-types` supports only registered statuses; others are replaced by the first one of their
/// class, such as 400.
fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status)
        .or_else(|_| StatusCode::try_from(status / 100 * 100))
        .unwrap_or(StatusCode::BadGateway)
}

fn insert_request_id(head: &mut Response, request: RequestId) {
    head.insert_header("x-request-id", format!("{request:032x}"));
}

/// Omits empty values, and values that are not printable ASCII, because `http-types` panics on
/// invalid ones.
fn insert_if_valid(head: &mut Response, name: &'static str, value: &str) {
    if !value.is_empty() && value.bytes().all(|b| (b' '..=b'~').contains(&b)) {
        head.insert_header(name, value);
    }
}
