//! Passing an answer on to the caller.

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

/// Bytes of an answer that are gathered into one write.
const GATHER_LIMIT_BYTES: usize = 64 << 10;
/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// What has arrived of the body without waiting.
struct Gathered {
    body: Vec<u8>,
    then: Then,
}

enum Then {
    More,
    End,
    Refused(Refusal),
    /// The channel closed without an end.
    Lost,
}

/// Relays one answer; returns the status sent.
pub(crate) async fn relay(
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
            Ok(Reply::Refused(refusal)) => return refuse(exchange, request, &refusal).await,
            Ok(Reply::Body(_) | Reply::End) | Err(_) => return Ok(500),
        };
    let mut head = Response::new(status_code(status));
    for field in headers.iter() {
        head.append_header(field.name.as_str(), field.value.as_str());
    }
    insert(&mut head, "content-type", &content_type);
    insert(&mut head, "x-served-by", &served_by);
    insert_request_id(&mut head, request);
    let gathered = gather(replies, Vec::new());
    if matches!(gathered.then, Then::End) {
        exchange.respond(head, &gathered.body).await?;
        gateway.consumed(request, gathered.body.len() as u64);
        return Ok(status);
    }
    exchange.queue_head(head);
    let events = content_type.starts_with(EVENT_STREAM);
    stream(gateway, request, replies, exchange, gathered, events).await?;
    Ok(status)
}

async fn stream(
    gateway: &dyn Gateway,
    request: RequestId,
    replies: &Receiver<Reply>,
    exchange: &mut Exchange,
    mut gathered: Gathered,
    events: bool,
) -> Result<(), HungUp> {
    loop {
        exchange.queue(&gathered.body);
        match gathered.then {
            Then::End => exchange.finish().await?,
            _ => exchange.flush().await?,
        }
        if !gathered.body.is_empty() {
            gateway.consumed(request, gathered.body.len() as u64);
        }
        match gathered.then {
            Then::More => {}
            Then::Refused(refusal) if events => {
                return exchange.write(&error_event(&refusal)).await;
            }
            // Without the end of the chunked encoding the caller sees an incomplete answer.
            Then::End | Then::Lost | Then::Refused(_) => return Ok(()),
        }
        gathered = match exchange.or_hang_up(replies.recv()).await? {
            Ok(Reply::Body(body)) => gather(replies, body),
            Ok(Reply::End) => then(Then::End),
            Ok(Reply::Refused(refusal)) => then(Then::Refused(refusal)),
            Ok(Reply::Head { .. }) | Err(_) => then(Then::Lost),
        };
    }
}

fn then(then: Then) -> Gathered {
    Gathered {
        body: Vec::new(),
        then,
    }
}

fn gather(replies: &Receiver<Reply>, mut body: Vec<u8>) -> Gathered {
    while body.len() < GATHER_LIMIT_BYTES {
        let then = match replies.try_recv() {
            Ok(Reply::Body(next)) if body.is_empty() => {
                body = next;
                continue;
            }
            Ok(Reply::Body(next)) => {
                body.extend_from_slice(&next);
                continue;
            }
            Ok(Reply::End) => Then::End,
            Ok(Reply::Refused(refusal)) => Then::Refused(refusal),
            Ok(Reply::Head { .. }) | Err(async_channel::TryRecvError::Closed) => Then::Lost,
            Err(async_channel::TryRecvError::Empty) => Then::More,
        };
        return Gathered { body, then };
    }
    Gathered {
        body,
        then: Then::More,
    }
}

async fn refuse(
    exchange: &mut Exchange,
    request: RequestId,
    refused: &Refusal,
) -> Result<u16, HungUp> {
    let problem = refusal::problem(refused);
    let (mut head, body) = problem.to_answer();
    insert_request_id(&mut head, request);
    if refused.retry_after_ms.is_none() {
        // Clients of the usual language model interfaces repeat every 5xx unless they see this.
        head.insert_header("x-should-retry", "false");
    }
    exchange.respond(head, &body).await?;
    Ok(problem.status)
}

fn error_event(refused: &Refusal) -> Vec<u8> {
    let document = serde_json::to_string(&refusal::problem(refused)).unwrap_or_default();
    format!("event: error\ndata: {document}\n\n").into_bytes()
}

/// `http-types` knows the registered statuses only; others become the first of their class.
fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status)
        .or_else(|_| StatusCode::try_from(status / 100 * 100))
        .unwrap_or(StatusCode::BadGateway)
}

fn insert_request_id(head: &mut Response, request: RequestId) {
    head.insert_header("x-request-id", format!("{request:032x}"));
}

/// Leaves out values that are no field value, on which `http-types` panics.
fn insert(head: &mut Response, name: &'static str, value: &str) {
    if !value.is_empty() && value.bytes().all(|b| (b' '..=b'~').contains(&b)) {
        head.insert_header(name, value);
    }
}
