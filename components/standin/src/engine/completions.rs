//! Simulates completions: prefill runs one request at a time by priority, then each request decodes
//! token by token.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::HungUp;
use http::Request;
use serde_json::Value;
use serde_json::json;

use crate::engine::resume::Progress;
use crate::engine::state::EngineCore;
use crate::engine::state::consume_fault;
use crate::engine::text::CompletionRequest;
use crate::engine::text::TOKENS_PER_PIECE;
use crate::engine::text::body_digest;
use crate::engine::text::prefix_hashes;
use crate::engine::text::prompt_tokens;
use crate::engine::text::token;
use crate::priority_lock::PriorityLock;
use crate::priority_lock::parse_priority;
use crate::responses;

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
/// Interval at which a waiting run checks for cancellation, a crash and a disconnected client.
const CHECK_INTERVAL_MS: Duration = Duration::from_millis(20);

/// Why a run ended early.
enum Stopped {
    /// Ended by a cancellation, a crash, an accepted order or an injected fault.
    Terminated,
    /// The client disconnected and nobody resumed the response.
    Disconnected,
}

impl From<HungUp> for Stopped {
    fn from(_: HungUp) -> Self {
        Self::Disconnected
    }
}

/// An active run. Dropping it removes it from the engine's state and load.
struct Run {
    core: Rc<RefCell<EngineCore>>,
    number: u64,
    epoch: u64,
    id: String,
    digest: u64,
    prefill_left_tokens: u64,
    decode_left_tokens: u64,
    progress: Rc<Progress>,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.progress.is_ended.set(true);
        let mut core = self.core.borrow_mut();
        core.active_runs.remove(&self.number);
        core.prefill_backlog_tokens -= self.prefill_left_tokens;
        core.decode_backlog_tokens -= self.decode_left_tokens;
    }
}

impl Run {
    fn is_stopped(&self) -> bool {
        let core = self.core.borrow();
        let is_cancelled = core
            .active_runs
            .get(&self.number)
            .is_none_or(|(_, is_cancelled)| *is_cancelled);
        is_cancelled || core.epoch != self.epoch || core.is_crashed
    }

    async fn wait(&self, exchange: &mut Exchange, total: Duration) -> Result<(), Stopped> {
        let deadline = Instant::now() + total;
        loop {
            if self.is_stopped() {
                return Err(Stopped::Terminated);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            let timer = smol::Timer::after(left.min(CHECK_INTERVAL_MS));
            if self.progress.is_detached() {
                if self.progress.is_abandoned() {
                    return Err(Stopped::Disconnected);
                }
                timer.await;
            } else if exchange.or_hang_up(timer).await.is_err() {
                self.detach()?;
            }
        }
    }

    /// Continues without the connection if the response can be resumed.
    fn detach(&self) -> Result<(), Stopped> {
        if self.id.is_empty() {
            return Err(Stopped::Disconnected);
        }
        self.progress.detach();
        Ok(())
    }

    /// Sends the next part of the response if the client is still connected.
    async fn send(&self, part: Part<'_>, exchange: &mut Exchange) -> Result<(), Stopped> {
        if self.progress.is_detached() {
            return Ok(());
        }
        let result = match part {
            Part::Head => exchange.start(responses::head(200, EVENT_STREAM)).await,
            Part::Event(event) => exchange.write(event.as_bytes()).await,
            Part::End(end) => match exchange.write(end.as_bytes()).await {
                Ok(()) => exchange.finish().await,
                error => error,
            },
            Part::Complete(body) => {
                let head = responses::head(200, JSON);
                exchange.respond(head, body.as_bytes()).await
            }
        };
        result.or_else(|_| self.detach())
    }

    fn finish_prefill(&mut self) {
        self.core.borrow_mut().prefill_backlog_tokens -= self.prefill_left_tokens;
        self.prefill_left_tokens = 0;
    }

    fn record_decoded(&mut self, tokens: u64) {
        let tokens = tokens.min(self.decode_left_tokens);
        self.core.borrow_mut().decode_backlog_tokens -= tokens;
        self.decode_left_tokens -= tokens;
        self.progress.tokens.set(self.progress.tokens.get() + 1);
    }
}

/// Part of a response.
enum Part<'a> {
    Head,
    Event(&'a str),
    End(&'a str),
    /// A complete response that is not streamed.
    Complete(&'a str),
}

/// Everything that determines the bytes of a response.
#[derive(Clone)]
pub struct ResponsePlan {
    /// `X-Request-Id`; empty if absent.
    pub id: String,
    /// Whether the response is sent as server-sent events.
    pub is_stream: bool,
    is_chat: bool,
    model: String,
    prompt_digest: u64,
    prompt_tokens: u32,
    cached_tokens: u32,
    output_tokens: u32,
    /// Whether an injected fault closes the connection after half of the output.
    is_cut: bool,
}

/// Handles a completion or chat completion request.
pub async fn complete(
    core: &Rc<RefCell<EngineCore>>,
    prefill: &PriorityLock,
    request: &Request,
    exchange: &mut Exchange,
    is_chat: bool,
) {
    let Ok(body) = serde_json::from_slice::<CompletionRequest>(&request.body) else {
        responses::send(
            exchange,
            400,
            &json!({"error": "body is not a completion request"}),
        )
        .await;
        return;
    };
    let is_refused = {
        let mut core = core.borrow_mut();
        core.state.away || consume_fault(&mut core.faults.refuse_requests)
    };
    if is_refused {
        responses::send(exchange, 503, &json!({"error": "engine is unavailable"})).await;
        return;
    }
    let priority = parse_priority(responses::header(request, "x-priority"));
    let (mut run, plan) = begin_run(core, request, &body, is_chat);
    let result = generate(&mut run, &plan, prefill, priority, body.stream, exchange).await;
    if matches!(result, Err(Stopped::Terminated)) {
        // Closes the connection, so that the client sees an incomplete response.
        responses::abort(exchange);
    }
}

fn begin_run(
    core: &Rc<RefCell<EngineCore>>,
    request: &Request,
    body: &CompletionRequest,
    is_chat: bool,
) -> (Run, ResponsePlan) {
    let id = responses::header(request, "x-request-id").unwrap_or_default();
    let text = body.prompt_text();
    let digest = body_digest(&request.body);
    let header_pieces = responses::header(request, "x-cache-pieces").map(parse_pieces);
    let pieces = header_pieces.unwrap_or_else(|| prefix_hashes(&text));
    let mut engine = core.borrow_mut();
    engine.recorder.record_start(id, digest);
    if !body.model.is_empty() && body.model != engine.state.loaded.model {
        engine.recorder.counters.wrong_model += 1;
    }
    let prompt_tokens = prompt_tokens(&text);
    let cached_pieces = engine.cache.insert(Instant::now(), &pieces);
    let cached_tokens = cached_pieces
        .saturating_mul(TOKENS_PER_PIECE)
        .min(prompt_tokens);
    let plan = ResponsePlan {
        id: id.to_owned(),
        is_stream: body.stream,
        is_chat,
        model: engine.state.loaded.model.clone(),
        prompt_digest: body_digest(text.as_bytes()),
        prompt_tokens,
        cached_tokens,
        output_tokens: body.output_tokens(),
        is_cut: consume_fault(&mut engine.faults.cut_requests),
    };
    let progress = engine.resumable.add(&plan);
    let run = Run {
        progress,
        core: core.clone(),
        number: engine.begin_run(id),
        epoch: engine.epoch,
        id: id.to_owned(),
        digest,
        prefill_left_tokens: u64::from(prompt_tokens - cached_tokens),
        decode_left_tokens: u64::from(plan.output_tokens),
    };
    engine.prefill_backlog_tokens += run.prefill_left_tokens;
    engine.decode_backlog_tokens += run.decode_left_tokens;
    (run, plan)
}

fn parse_pieces(text: &str) -> Vec<u64> {
    text.split(',')
        .filter_map(|piece| u64::from_str_radix(piece, 16).ok())
        .collect()
}

async fn generate(
    run: &mut Run,
    plan: &ResponsePlan,
    prefill: &PriorityLock,
    priority: u8,
    is_stream: bool,
    exchange: &mut Exchange,
) -> Result<(), Stopped> {
    if !run.core.borrow().is_instant() && run.prefill_left_tokens > 0 {
        // A run that waits for the lock ends if the client disconnects.
        let guard = exchange.or_hang_up(prefill.lock(priority)).await?;
        let seconds = as_f64(run.prefill_left_tokens) / run.core.borrow().prefill_rate();
        run.wait(exchange, Duration::from_secs_f64(seconds)).await?;
        drop(guard);
    }
    run.finish_prefill();
    if is_stream {
        send_stream(run, plan, exchange).await?;
    } else {
        send_complete(run, plan, exchange).await?;
    }
    run.core
        .borrow_mut()
        .recorder
        .record_finish(&run.id, run.digest);
    Ok(())
}

async fn send_complete(
    run: &mut Run,
    plan: &ResponsePlan,
    exchange: &mut Exchange,
) -> Result<(), Stopped> {
    for index in 0..plan.output_tokens {
        if plan.is_cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Terminated);
        }
        wait_for_token(run, exchange).await?;
        run.record_decoded(1);
    }
    run.progress.is_finished.set(true);
    run.send(Part::Complete(&plan.end()), exchange).await
}

async fn send_stream(
    run: &mut Run,
    plan: &ResponsePlan,
    exchange: &mut Exchange,
) -> Result<(), Stopped> {
    run.send(Part::Head, exchange).await?;
    for index in 0..plan.output_tokens {
        if plan.is_cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Terminated);
        }
        wait_for_token(run, exchange).await?;
        // Counted before sending: a client that has received an event may resume after it.
        run.record_decoded(1);
        run.send(Part::Event(&plan.event(index)), exchange).await?;
    }
    run.progress.is_finished.set(true);
    run.send(Part::End(&plan.end()), exchange).await
}

/// Waits for the decode time of one token.
async fn wait_for_token(run: &Run, exchange: &mut Exchange) -> Result<(), Stopped> {
    let (is_instant, rate) = {
        let core = run.core.borrow();
        (core.is_instant(), core.decode_rate())
    };
    if is_instant {
        return if run.is_stopped() {
            Err(Stopped::Terminated)
        } else {
            Ok(())
        };
    }
    run.wait(exchange, Duration::from_secs_f64(1.0 / rate))
        .await
}

impl ResponsePlan {
    /// Content type of the response.
    pub fn content_type(&self) -> &'static str {
        if self.is_stream { EVENT_STREAM } else { JSON }
    }

    /// Stream event with the token at `index`.
    pub fn event(&self, index: u32) -> String {
        let text = token(self.prompt_digest, index);
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let event = json!({"id": self.id, "object": self.object(), "choices": [choice]});
        format!("data: {event}\n\n")
    }

    /// Usage and end marker of a stream; the complete body of any other response.
    pub fn end(&self) -> String {
        if self.is_stream {
            let last = json!({"id": self.id, "object": self.object(), "choices": [],
                "usage": self.usage()});
            return format!("data: {last}\n\ndata: [DONE]\n\n");
        }
        let tokens = 0..self.output_tokens;
        let text: String = tokens
            .map(|index| token(self.prompt_digest, index))
            .collect();
        let choice = if self.is_chat {
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
        match (self.is_chat, self.is_stream) {
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
