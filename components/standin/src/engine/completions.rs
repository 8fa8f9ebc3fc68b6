//! Completions: prefill in turns by priority, then one token after the other.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::HungUp;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::answers;
use crate::engine::resume::Progress;
use crate::engine::state::EngineCore;
use crate::engine::state::take;
use crate::engine::text::CompletionRequest;
use crate::engine::text::PIECE_TOKENS;
use crate::engine::text::body_digest;
use crate::engine::text::pieces;
use crate::engine::text::prompt_tokens;
use crate::engine::text::token;
use crate::turns::Turns;
use crate::turns::parse_priority;

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
/// Longest wait without a look at cancellation, crash and the caller.
const SLICE_MS: Duration = Duration::from_millis(20);

/// Why a run ended without an answer.
enum Stopped {
    /// Cancelled, crashed, changed or cut by a fault.
    Ended,
    /// The caller hung up.
    HungUp,
}

impl From<HungUp> for Stopped {
    fn from(_: HungUp) -> Self {
        Self::HungUp
    }
}

/// A run, which leaves the engine's books when it is dropped.
struct Run {
    core: Rc<RefCell<EngineCore>>,
    number: u64,
    epoch: u64,
    id: String,
    digest: u64,
    prefill_left: u64,
    decode_left: u64,
    progress: Rc<Progress>,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.progress.ended.set(true);
        let mut core = self.core.borrow_mut();
        core.running.remove(&self.number);
        core.prefill_backlog_tokens -= self.prefill_left;
        core.decode_backlog_tokens -= self.decode_left;
    }
}

impl Run {
    fn is_stopped(&self) -> bool {
        let core = self.core.borrow();
        let is_cancelled = core
            .running
            .get(&self.number)
            .is_none_or(|(_, cancelled)| *cancelled);
        is_cancelled || core.epoch != self.epoch || core.crashed
    }

    async fn wait(&self, exchange: &mut Exchange, total: Duration) -> Result<(), Stopped> {
        let until = Instant::now() + total;
        loop {
            if self.is_stopped() {
                return Err(Stopped::Ended);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            let slice = smol::Timer::after(left.min(SLICE_MS));
            if self.progress.is_detached() {
                if self.progress.is_abandoned() {
                    return Err(Stopped::HungUp);
                }
                slice.await;
            } else if exchange.or_hang_up(slice).await.is_err() {
                self.detach()?;
            }
        }
    }

    /// Goes on without the connection if the answer can be resumed.
    fn detach(&self) -> Result<(), Stopped> {
        if self.id.is_empty() {
            return Err(Stopped::HungUp);
        }
        self.progress.detach();
        Ok(())
    }

    /// Sends the next part of the answer if there is a connection.
    async fn send(&self, part: Part<'_>, exchange: &mut Exchange) -> Result<(), Stopped> {
        if self.progress.is_detached() {
            return Ok(());
        }
        let sent = match part {
            Part::Head => exchange.start(answers::head(200, EVENT_STREAM)).await,
            Part::Event(event) => exchange.write(event.as_bytes()).await,
            Part::End(end) => match exchange.write(end.as_bytes()).await {
                Ok(()) => exchange.finish().await,
                broken => broken,
            },
            Part::Whole(body) => {
                let head = answers::head(200, JSON);
                exchange.respond(head, body.as_bytes()).await
            }
        };
        sent.or_else(|_| self.detach())
    }

    fn prefilled(&mut self) {
        self.core.borrow_mut().prefill_backlog_tokens -= self.prefill_left;
        self.prefill_left = 0;
    }

    fn decoded(&mut self, tokens: u64) {
        let tokens = tokens.min(self.decode_left);
        self.core.borrow_mut().decode_backlog_tokens -= tokens;
        self.decode_left -= tokens;
        self.progress.tokens.set(self.progress.tokens.get() + 1);
    }
}

/// Part of an answer.
enum Part<'a> {
    Head,
    Event(&'a str),
    End(&'a str),
    Whole(&'a str),
}

/// What an answer is made of.
#[derive(Clone)]
pub struct Plan {
    /// `X-Request-Id`; empty without one.
    pub id: String,
    /// Sent as server-sent events.
    pub stream: bool,
    chat: bool,
    model: String,
    prompt_digest: u64,
    prompt_tokens: u32,
    cached_tokens: u32,
    output_tokens: u32,
    cut: bool,
}

/// Answers a completion.
pub async fn complete(
    core: &Rc<RefCell<EngineCore>>,
    prefill: &Turns,
    request: &Request,
    exchange: &mut Exchange,
    chat: bool,
) {
    let Ok(body) = serde_json::from_slice::<CompletionRequest>(&request.body) else {
        answers::send(
            exchange,
            400,
            &json!({"error": "body is not a completion request"}),
        )
        .await;
        return;
    };
    let is_refused = {
        let mut core = core.borrow_mut();
        core.state.away || take(&mut core.faults.refuse_requests)
    };
    if is_refused {
        answers::send(exchange, 503, &json!({"error": "away"})).await;
        return;
    }
    let priority = parse_priority(answers::header(request, "x-priority"));
    let (mut run, plan) = begin(core, request, &body, chat);
    let end = answer(&mut run, &plan, prefill, priority, body.stream, exchange).await;
    if matches!(end, Err(Stopped::Ended)) {
        // The caller sees that the answer is incomplete.
        answers::hang_up(exchange);
    }
}

fn begin(
    core: &Rc<RefCell<EngineCore>>,
    request: &Request,
    body: &CompletionRequest,
    chat: bool,
) -> (Run, Plan) {
    let id = answers::header(request, "x-request-id").unwrap_or_default();
    let text = body.text();
    let digest = body_digest(&request.body);
    let named = answers::header(request, "x-cache-pieces").map(parse_pieces);
    let pieces = named.unwrap_or_else(|| pieces(&text));
    let mut books = core.borrow_mut();
    books.tally.started(id, digest);
    if !body.model.is_empty() && body.model != books.state.loaded.model {
        books.tally.counters.wrong_model += 1;
    }
    let prompt_tokens = prompt_tokens(&text);
    let found = books.cache.touch(Instant::now(), &pieces);
    let cached_tokens = found.saturating_mul(PIECE_TOKENS).min(prompt_tokens);
    let plan = Plan {
        id: id.to_owned(),
        stream: body.stream,
        chat,
        model: books.state.loaded.model.clone(),
        prompt_digest: body_digest(text.as_bytes()),
        prompt_tokens,
        cached_tokens,
        output_tokens: body.output_tokens(),
        cut: take(&mut books.faults.cut_requests),
    };
    let progress = books.resumable.add(&plan);
    let run = Run {
        progress,
        core: core.clone(),
        number: books.begin_run(id),
        epoch: books.epoch,
        id: id.to_owned(),
        digest,
        prefill_left: u64::from(prompt_tokens - cached_tokens),
        decode_left: u64::from(plan.output_tokens),
    };
    books.prefill_backlog_tokens += run.prefill_left;
    books.decode_backlog_tokens += run.decode_left;
    (run, plan)
}

fn parse_pieces(text: &str) -> Vec<u64> {
    text.split(',')
        .filter_map(|piece| u64::from_str_radix(piece, 16).ok())
        .collect()
}

async fn answer(
    run: &mut Run,
    plan: &Plan,
    prefill: &Turns,
    priority: u8,
    stream: bool,
    exchange: &mut Exchange,
) -> Result<(), Stopped> {
    if !run.core.borrow().is_instant() && run.prefill_left > 0 {
        // A run that waits for its turn ends with its connection.
        let turn = exchange.or_hang_up(prefill.next(priority)).await?;
        let seconds = as_f64(run.prefill_left) / run.core.borrow().prefill_rate();
        run.wait(exchange, Duration::from_secs_f64(seconds)).await?;
        drop(turn);
    }
    run.prefilled();
    if stream {
        send_stream(run, plan, exchange).await?;
    } else {
        send_whole(run, plan, exchange).await?;
    }
    run.core.borrow_mut().tally.finished(&run.id, run.digest);
    Ok(())
}

async fn send_whole(run: &mut Run, plan: &Plan, exchange: &mut Exchange) -> Result<(), Stopped> {
    for index in 0..plan.output_tokens {
        if plan.cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Ended);
        }
        pace(run, exchange).await?;
        run.decoded(1);
    }
    run.progress.finished.set(true);
    run.send(Part::Whole(&plan.end()), exchange).await
}

async fn send_stream(run: &mut Run, plan: &Plan, exchange: &mut Exchange) -> Result<(), Stopped> {
    run.send(Part::Head, exchange).await?;
    for index in 0..plan.output_tokens {
        if plan.cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Ended);
        }
        pace(run, exchange).await?;
        // Counted first: whoever has got an event may ask for what follows it.
        run.decoded(1);
        run.send(Part::Event(&plan.event(index)), exchange).await?;
    }
    run.progress.finished.set(true);
    run.send(Part::End(&plan.end()), exchange).await
}

/// Waits for the time of one token.
async fn pace(run: &Run, exchange: &mut Exchange) -> Result<(), Stopped> {
    let (instant, rate) = {
        let core = run.core.borrow();
        (core.is_instant(), core.decode_rate())
    };
    if instant {
        return if run.is_stopped() {
            Err(Stopped::Ended)
        } else {
            Ok(())
        };
    }
    run.wait(exchange, Duration::from_secs_f64(1.0 / rate))
        .await
}

impl Plan {
    /// Media type of the answer.
    pub fn content_type(&self) -> &'static str {
        if self.stream { EVENT_STREAM } else { JSON }
    }

    /// Event with one token.
    pub fn event(&self, index: u32) -> String {
        let text = token(self.prompt_digest, index);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let event = json!({"id": self.id, "object": self.object(), "choices": [choice]});
        format!("data: {event}\n\n")
    }

    /// What follows the events of a stream; everything otherwise.
    pub fn end(&self) -> String {
        if self.stream {
            let last = json!({"id": self.id, "object": self.object(), "choices": [],
                "usage": self.usage()});
            return format!("data: {last}\n\ndata: [DONE]\n\n");
        }
        let tokens = 0..self.output_tokens;
        let text: String = tokens
            .map(|index| token(self.prompt_digest, index))
            .collect();
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "length"})
        };
        json!({"id": self.id, "object": self.object(), "model": self.model,
            "choices": [choice], "usage": self.usage()})
        .to_string()
    }

    fn object(&self) -> &'static str {
        match (self.chat, self.stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn usage(&self) -> Value {
        json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": self.output_tokens,
            "total_tokens": u64::from(self.prompt_tokens) + u64::from(self.output_tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens}})
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "prompts have far fewer than 2^52 tokens"
)]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
