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
}

impl Drop for Run {
    fn drop(&mut self) {
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
            exchange
                .or_hang_up(smol::Timer::after(left.min(SLICE_MS)))
                .await?;
        }
    }

    fn prefilled(&mut self) {
        self.core.borrow_mut().prefill_backlog_tokens -= self.prefill_left;
        self.prefill_left = 0;
    }

    fn decoded(&mut self, tokens: u64) {
        let tokens = tokens.min(self.decode_left);
        self.core.borrow_mut().decode_backlog_tokens -= tokens;
        self.decode_left -= tokens;
    }
}

/// What an answer is made of.
struct Plan {
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
        chat,
        model: books.state.loaded.model.clone(),
        prompt_digest: body_digest(text.as_bytes()),
        prompt_tokens,
        cached_tokens,
        output_tokens: body.output_tokens(),
        cut: take(&mut books.faults.cut_requests),
    };
    let run = Run {
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
    let mut text = String::new();
    for index in 0..plan.output_tokens {
        if plan.cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Ended);
        }
        pace(run, exchange).await?;
        text.push_str(&token(plan.prompt_digest, index));
        run.decoded(1);
    }
    let choice = if plan.chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text},
            "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    let whole = json!({"id": run.id, "object": object(plan, false), "model": plan.model,
        "choices": [choice], "usage": usage(plan)});
    let head = answers::head(200, "application/json");
    exchange.respond(head, whole.to_string().as_bytes()).await?;
    Ok(())
}

async fn send_stream(run: &mut Run, plan: &Plan, exchange: &mut Exchange) -> Result<(), Stopped> {
    exchange
        .start(answers::head(200, "text/event-stream"))
        .await?;
    for index in 0..plan.output_tokens {
        if plan.cut && index == plan.output_tokens / 2 {
            return Err(Stopped::Ended);
        }
        pace(run, exchange).await?;
        let text = token(plan.prompt_digest, index);
        let choice = if plan.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let event = json!({"id": run.id, "object": object(plan, true), "choices": [choice]});
        exchange
            .write(format!("data: {event}\n\n").as_bytes())
            .await?;
        run.decoded(1);
    }
    let last = json!({"id": run.id, "object": object(plan, true), "choices": [],
        "usage": usage(plan)});
    let end = format!("data: {last}\n\ndata: [DONE]\n\n");
    exchange.write(end.as_bytes()).await?;
    exchange.finish().await?;
    Ok(())
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

fn object(plan: &Plan, stream: bool) -> &'static str {
    match (plan.chat, stream) {
        (true, true) => "chat.completion.chunk",
        (true, false) => "chat.completion",
        (false, _) => "text_completion",
    }
}

fn usage(plan: &Plan) -> Value {
    json!({"prompt_tokens": plan.prompt_tokens, "completion_tokens": plan.output_tokens,
        "total_tokens": u64::from(plan.prompt_tokens) + u64::from(plan.output_tokens),
        "prompt_tokens_details": {"cached_tokens": plan.cached_tokens}})
}

#[expect(
    clippy::cast_precision_loss,
    reason = "prompts have far fewer than 2^52 tokens"
)]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
