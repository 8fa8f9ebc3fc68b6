//! Relays targets' answers to callers.

use std::time::Duration;

use futures_lite::FutureExt;
use http::Exchange;
use http::HungUp;
use http::StreamingResponse;
use smol::Timer;

use crate::core::CallOutcome;
use crate::daemon::callers::CallContext;
use crate::daemon::with_timeout;
use crate::events::EventSplitter;

/// Relays an answer after all of it has arrived, so that a failure can still be reported.
pub(super) async fn buffered(
    context: &CallContext<'_>,
    response: StreamingResponse,
    exchange: &mut Exchange,
    left: Duration,
) -> CallOutcome {
    let status = u16::from(response.status);
    let daemon = context.daemon;
    let head = daemon.protocol.answer_head(status, &response.headers);
    let complete = match exchange
        .or_hang_up(with_timeout(left, response.into_buffered()))
        .await
    {
        Err(HungUp) => return CallOutcome::Abandoned,
        Ok(None) => {
            return CallOutcome::unusable(
                "the response was interrupted: its body did not arrive before the deadline",
            );
        }
        Ok(Some(Err(error))) => return CallOutcome::unusable(error.to_string()),
        Ok(Some(Ok(complete))) => complete,
    };
    let now = daemon.clock.now();
    if status >= 500 && daemon.core.borrow_mut().should_retry(now, context.number) {
        return CallOutcome::Failed { status };
    }
    daemon.core.borrow_mut().first_byte(now, context.number);
    match exchange.respond(head, &complete.body).await {
        Ok(()) => CallOutcome::Answered { status },
        Err(HungUp) => CallOutcome::Abandoned,
    }
}

/// Relays an event stream, forwarding only complete events.
pub(super) async fn stream(
    context: &CallContext<'_>,
    mut response: StreamingResponse,
    exchange: &mut Exchange,
    left: Duration,
) -> CallOutcome {
    let status = u16::from(response.status);
    let daemon = context.daemon;
    let mut head = Some(daemon.protocol.answer_head(status, &response.headers));
    if exchange.is_started() {
        // A resumed stream continues under the head that the first target sent.
        head = None;
    }
    let ends_with_connection = response.ends_with_connection();
    let mut events = EventSplitter::default();
    let mut has_event = false;
    let mut deadline = Timer::after(left);
    loop {
        let next = async {
            let timeout = async {
                (&mut deadline).await;
                None
            };
            // The deadline comes first: an endless stream always has a next chunk.
            timeout
                .or(async { Some(response.next_chunk().await) })
                .await
        };
        let chunk = match exchange.or_hang_up(next).await {
            Err(HungUp) => return CallOutcome::Abandoned,
            Ok(None) => return CallOutcome::TimedOut,
            Ok(Some(Err(error))) => {
                return CallOutcome::Broken {
                    last_event: events.last_id().map(str::to_owned),
                    is_closed_by_target: error.is_closed_by_peer(),
                    detail: error.to_string(),
                };
            }
            Ok(Some(Ok(chunk))) => chunk,
        };
        let Some(chunk) = chunk else { break };
        let complete = events.push(&chunk);
        if complete.is_err() || response.reserve(events.rest().len()).is_err() {
            return CallOutcome::Broken {
                last_event: events.last_id().map(str::to_owned),
                detail: "an event is too long, or too many are incomplete".to_owned(),
                is_closed_by_target: false,
            };
        }
        let Ok(Some(complete)) = complete else {
            continue;
        };
        if let Some(head) = head.take() {
            exchange.queue_head(head);
        }
        if !has_event {
            has_event = true;
            let now = daemon.clock.now();
            daemon.core.borrow_mut().first_byte(now, context.number);
        }
        if exchange.write(&complete).await.is_err() {
            return CallOutcome::Abandoned;
        }
    }
    // Without a length or chunks, an empty stream cannot be told from one that was lost.
    if !events.rest().is_empty() || (ends_with_connection && !has_event) {
        return CallOutcome::Broken {
            last_event: events.last_id().map(str::to_owned),
            detail: "the stream ended in the middle of an event, or without any".to_owned(),
            is_closed_by_target: ends_with_connection,
        };
    }
    if let Some(head) = head.take() {
        exchange.queue_head(head);
    }
    match exchange.finish().await {
        Ok(()) => CallOutcome::Answered { status },
        Err(HungUp) => CallOutcome::Abandoned,
    }
}
