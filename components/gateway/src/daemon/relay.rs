//! Answers of targets on their way to callers.

use std::time::Duration;

use futures_lite::FutureExt;
use http::Exchange;
use http::HungUp;
use http::StreamingResponse;
use smol::Timer;

use crate::core::Outcome;
use crate::daemon::callers::OpenCall;
use crate::daemon::within;
use crate::events::EventSplitter;

/// Relays an answer after it has arrived whole, so that a failure can still be reported.
pub(super) async fn whole(
    open: &OpenCall<'_>,
    response: StreamingResponse,
    exchange: &mut Exchange,
    left: Duration,
) -> Outcome {
    let status = u16::from(response.status);
    let daemon = open.daemon;
    let head = daemon.protocol.answer_head(status, &response.headers);
    let lost = |detail: String| Outcome::Lost { detail };
    let body = match exchange
        .or_hang_up(within(left, response.into_whole()))
        .await
    {
        Err(HungUp) => return Outcome::Abandoned,
        Ok(None) => {
            return lost("the answer was interrupted: the body did not arrive in time".to_owned());
        }
        Ok(Some(Err(error))) => return lost(error.to_string()),
        Ok(Some(Ok(whole))) => whole.body,
    };
    let now = daemon.clock.now();
    if status >= 500 && daemon.core.borrow_mut().try_again(now, open.number) {
        return Outcome::Failed { status };
    }
    daemon.core.borrow_mut().first_byte(now, open.number);
    match exchange.respond(head, &body).await {
        Ok(()) => Outcome::Answered { status },
        Err(HungUp) => Outcome::Abandoned,
    }
}

/// Relays an event stream event by event.
pub(super) async fn stream(
    open: &OpenCall<'_>,
    mut response: StreamingResponse,
    exchange: &mut Exchange,
    left: Duration,
) -> Outcome {
    let status = u16::from(response.status);
    let daemon = open.daemon;
    let mut head = Some(daemon.protocol.answer_head(status, &response.headers));
    if exchange.is_started() {
        // The answer goes on under the head of its first target.
        head = None;
    }
    let mut events = EventSplitter::default();
    let mut deadline = Timer::after(left);
    loop {
        let next = async {
            let late = async {
                (&mut deadline).await;
                None
            };
            async { Some(response.next_chunk().await) }.or(late).await
        };
        let chunk = match exchange.or_hang_up(next).await {
            Err(HungUp) => return Outcome::Abandoned,
            Ok(None) => {
                return Outcome::TimedOut {
                    is_started: exchange.is_started(),
                };
            }
            Ok(Some(Err(error))) => {
                return Outcome::Broken {
                    last_event: events.last_id().map(str::to_owned),
                    is_started: exchange.is_started(),
                    detail: error.to_string(),
                };
            }
            Ok(Some(Ok(chunk))) => chunk,
        };
        let Some(chunk) = chunk else { break };
        let Some(whole) = events.push(&chunk) else {
            continue;
        };
        if let Some(head) = head.take() {
            exchange.queue_head(head);
            let now = daemon.clock.now();
            daemon.core.borrow_mut().first_byte(now, open.number);
        }
        if exchange.write(&whole).await.is_err() {
            return Outcome::Abandoned;
        }
    }
    if !events.rest().is_empty() {
        return Outcome::Broken {
            last_event: events.last_id().map(str::to_owned),
            is_started: exchange.is_started(),
            detail: "the stream ended in the middle of an event".to_owned(),
        };
    }
    if let Some(head) = head.take() {
        exchange.queue_head(head);
    }
    match exchange.finish().await {
        Ok(()) => Outcome::Answered { status },
        Err(HungUp) => Outcome::Abandoned,
    }
}
