//! Fake engine or plain service in virtual time, which records its runs and executed orders.
//!
//! The execution log records what the targets really did. The randomised runs check the
//! guarantees of the system against it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use agent::EngineLoad;
use agent::EngineState;
use agent::Event;
use agent::OrderOutcome;
use agent::RunId;
use agent::TargetEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::AttemptId;
use types::Incarnation;
use types::LoadedModel;
use types::Order;
use types::OrderKind;
use types::RequestId;
use types::ServiceKind;
use types::Work;

use crate::target_cache::TargetCache;
use crate::target_limit::TargetLimit;

/// Size limit of the parts in which an answer is delivered.
const PART_BYTES: usize = 600;
/// Size limit of the parts of an answer that is longer than this.
const LARGE_PART_BYTES: usize = 16 << 10;
/// Prefix of the request bodies whose answers are too large for a claim row.
pub const LARGE_REQUEST_PREFIX: &[u8] = b"Order large";
/// Longer prompts take 150 to 600 ms to the first byte, shorter ones 10 to 60 ms.
const LONG_PROMPT_TOKENS: u32 = 1_000;
/// Longer prompts take 3 to 7.5 s to the first byte.
const VERY_LONG_PROMPT_TOKENS: u32 = 8_000;
/// Time for which the execution of an order makes the target unavailable.
const ORDER_EXECUTION_MS: Duration = Duration::from_millis(2_500);
/// Prompt tokens of one cache piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// Record of what all targets did.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Numbers of the runs of each request body.
    pub runs_by_body: HashMap<Vec<u8>, Vec<u64>>,
    /// Number of runs of each request, over all its attempts.
    pub runs_by_request: HashMap<RequestId, u32>,
    last_run: u64,
    /// Descriptions of orders that broke an invariant.
    pub violations: Vec<String>,
    /// Executed orders, with the time and the agent that sent them.
    pub executed_orders: Vec<(Instant, Incarnation, Order)>,
    /// Number of orders refused as older than the last one.
    pub fenced_orders: u64,
}

/// Answer of run `run` to a request body; the same for every run unless `sampled`.
#[must_use]
pub fn answer_to(body: &[u8], run: u64, sampled: bool) -> Vec<u8> {
    let mut answer = b"answer to ".to_vec();
    answer.extend_from_slice(body);
    if sampled {
        answer.extend_from_slice(format!(" by run {run}").as_bytes());
    }
    let sum = body
        .iter()
        .fold(7_usize, |sum, byte| sum * 31 % 65_521 + usize::from(*byte));
    let length = match body.starts_with(LARGE_REQUEST_PREFIX) {
        false => answer.len() + sum % 4_000,
        // One in 29 is larger than the 1 MiB that is kept for repeated requests.
        true if sum.is_multiple_of(29) => (1 << 20) + 1,
        true => (64 << 10) - 2_000 + 2 * sum,
    };
    let unit = answer.clone();
    while answer.len() < length {
        answer.extend_from_slice(&unit);
    }
    answer
}

/// Usage object at the end of an engine's answer.
#[must_use]
pub fn usage_of(work: &Work, cached_pieces: u32) -> String {
    let cached = cached_pieces
        .saturating_mul(PIECE_TOKENS)
        .min(work.prompt_tokens);
    format!(
        "{{\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\
         \"prompt_tokens_details\":{{\"cached_tokens\":{cached}}}}}}}",
        work.prompt_tokens, work.max_output_tokens
    )
}

struct Run {
    answer: Vec<u8>,
    position: usize,
    part_interval_ms: u64,
}

/// Fake target.
pub struct FakeTarget {
    /// Engines report usage and have a prefix cache; plain services do not.
    pub kind: ServiceKind,
    /// Refuses orders that are older than the last executed one.
    pub honours_fencing: bool,
    /// Limit that it names.
    pub limit: TargetLimit,
    /// Prefix cache; unused by a plain service.
    pub cache: TargetCache,
    execution_log: Rc<RefCell<ExecutionLog>>,
    rng: StdRng,
    base: EngineState,
    state: EngineState,
    away_until: Option<Instant>,
    is_down: bool,
    /// No order was executed since the last start, so the state may differ from the last order.
    has_no_order_since_start: bool,
    /// Last executed order, forgotten in a restart.
    last_order: Option<Order>,
    /// Last executed order, kept across restarts for the invariant checks.
    last_executed: Option<Order>,
    runs: BTreeMap<(Incarnation, RunId), Run>,
}

impl FakeTarget {
    /// A running target; `base` is its state after every start.
    #[must_use]
    pub fn new(
        kind: ServiceKind,
        honours_fencing: bool,
        base: EngineState,
        execution_log: Rc<RefCell<ExecutionLog>>,
        seed: u64,
    ) -> Self {
        Self {
            kind,
            honours_fencing,
            limit: TargetLimit::default(),
            cache: TargetCache::new(seed ^ 1),
            execution_log,
            rng: StdRng::seed_from_u64(seed),
            state: base.clone(),
            base,
            away_until: None,
            is_down: false,
            has_no_order_since_start: true,
            last_order: None,
            last_executed: None,
            runs: BTreeMap::new(),
        }
    }

    /// Number of runs in progress.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Whether it is executing an order.
    #[must_use]
    pub fn is_changing(&self, now: Instant) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    /// Whether it accepts runs at `now`.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        !self.is_down && !self.is_changing(now)
    }

    /// Whether it has executed no order since its last start.
    #[must_use]
    pub fn has_no_order_since_start(&self) -> bool {
        self.has_no_order_since_start
    }

    /// Whether what an attempt needs is loaded. Empty fields match any model or version.
    #[must_use]
    pub fn has_loaded(&self, needs: &LoadedModel) -> bool {
        let loaded = &self.state.loaded;
        (needs.model.is_empty() || needs.model == loaded.model)
            && (needs.version.is_empty() || needs.version == loaded.version)
            && needs.adapters.iter().all(|a| loaded.adapters.contains(a))
    }

    /// Starts a run; returns the delay of its first event for the agent, and the event.
    pub fn start(
        &mut self,
        now: Instant,
        agent: Incarnation,
        run: RunId,
        attempt: AttemptId,
        work: &Work,
    ) -> (Duration, Event) {
        if !self.is_serving(now) {
            let event = TargetEvent::Failed {
                sent: false,
                detail: "connection refused".to_owned(),
            };
            return (Duration::from_millis(1), Event::Target { run, event });
        }
        if let Err(excess) = self.limit.record_call(now, agent) {
            let mut execution_log = self.execution_log.borrow_mut();
            execution_log.violations.push(excess);
        }
        let number = self.record_run(attempt, &work.body);
        let is_sampled = work.body.last().is_some_and(|byte| byte % 2 == 0);
        let is_long = work.prompt_tokens > LONG_PROMPT_TOKENS;
        let first_ms = if work.prompt_tokens > VERY_LONG_PROMPT_TOKENS {
            self.rng.random_range(3_000..7_500)
        } else if is_long {
            self.rng.random_range(150..600)
        } else {
            self.rng.random_range(10..60)
        };
        let mut answer = answer_to(&work.body, number, is_sampled);
        if self.kind == ServiceKind::Model {
            let cached = self.cache.process(now, &work.prefixes);
            answer.extend_from_slice(usage_of(work, cached).as_bytes());
        }
        self.runs.insert(
            (agent, run),
            Run {
                answer,
                position: 0,
                part_interval_ms: if is_long { 40 } else { 8 },
            },
        );
        let event = TargetEvent::Head {
            status: 200,
            content_type: "text/plain".to_owned(),
            headers: types::Headers::default(),
        };
        (
            Duration::from_millis(first_ms),
            Event::Target { run, event },
        )
    }

    fn record_run(&mut self, attempt: AttemptId, body: &[u8]) -> u64 {
        let mut execution_log = self.execution_log.borrow_mut();
        execution_log.last_run += 1;
        let number = execution_log.last_run;
        execution_log
            .runs_by_body
            .entry(body.to_vec())
            .or_default()
            .push(number);
        *execution_log
            .runs_by_request
            .entry(attempt.request)
            .or_default() += 1;
        number
    }

    /// Next part or end of the answer of a run, with its delay; `None` if the run is unknown.
    pub fn next_part(&mut self, agent: Incarnation, run: RunId) -> Option<(Duration, Event)> {
        let current = self.runs.get_mut(&(agent, run))?;
        let rest = &current.answer[current.position..];
        let delay = Duration::from_millis(current.part_interval_ms);
        let event = if rest.is_empty() {
            self.runs.remove(&(agent, run));
            TargetEvent::End
        } else {
            let is_large = current.answer.len() > LARGE_PART_BYTES;
            let limit = if is_large {
                LARGE_PART_BYTES
            } else {
                PART_BYTES
            };
            let part = rest[..rest.len().min(limit)].to_vec();
            current.position += part.len();
            TargetEvent::Bytes(part)
        };
        Some((delay, Event::Target { run, event }))
    }

    /// Ends a run that the agent cancelled.
    pub fn cancel_run(&mut self, agent: Incarnation, run: RunId) {
        self.runs.remove(&(agent, run));
    }

    /// Ends all runs of an agent that was killed.
    pub fn end_runs_of(&mut self, agent: Incarnation) {
        self.runs.retain(|(of, _), _| *of != agent);
    }

    /// Crashes; returns the failures of the runs in progress, by agent.
    pub fn crash(&mut self) -> Vec<(Incarnation, Event)> {
        self.is_down = true;
        self.away_until = None;
        self.cache.clear();
        let runs = std::mem::take(&mut self.runs);
        runs.into_keys()
            .map(|(agent, run)| {
                let event = TargetEvent::Failed {
                    sent: true,
                    detail: "connection reset".to_owned(),
                };
                (agent, Event::Target { run, event })
            })
            .collect()
    }

    /// Starts again with the state that it is configured with.
    pub fn restart(&mut self) {
        self.is_down = false;
        self.has_no_order_since_start = true;
        self.state = self.base.clone();
        self.last_order = None;
    }

    /// State as the engine reports it.
    ///
    /// # Errors
    ///
    /// The engine is down.
    pub fn report(&mut self, now: Instant) -> Result<EngineState, String> {
        if self.is_down {
            return Err("connection refused".to_owned());
        }
        Ok(EngineState {
            away: self.is_changing(now),
            ..self.state.clone()
        })
    }

    /// Load as the engine reports it; `None` while it is down.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        let running = self.runs.len() as u64;
        (!self.is_down).then_some(EngineLoad {
            requests_per_s: self.limit.rate(),
            age_ms: 500,
            prefill_backlog_tokens: running * 200,
            decode_backlog_tokens: running * 50,
            cache_used_permille: self.cache.used_permille(),
        })
    }

    /// Executes or refuses an order from an agent.
    pub fn handle_order(
        &mut self,
        now: Instant,
        agent: Incarnation,
        order: &Order,
    ) -> OrderOutcome {
        if self.is_down {
            return OrderOutcome::NotSent("connection refused".to_owned());
        }
        if self.is_changing(now) {
            return OrderOutcome::Refused("executing another order".to_owned());
        }
        let is_older = self
            .last_order
            .as_ref()
            .is_some_and(|last| (order.fencing, order.number) < (last.fencing, last.number));
        if is_older && self.honours_fencing {
            self.execution_log.borrow_mut().fenced_orders += 1;
            return OrderOutcome::Fenced("older than the last order".to_owned());
        }
        self.check_invariants(agent, order);
        self.execution_log
            .borrow_mut()
            .executed_orders
            .push((now, agent, order.clone()));
        self.last_order = Some(order.clone());
        self.last_executed = Some(order.clone());
        self.execute(now, order);
        OrderOutcome::Accepted
    }

    /// Checks the invariants for an order that is about to be executed.
    fn check_invariants(&self, agent: Incarnation, order: &Order) {
        let mut violations = Vec::new();
        if let Some(last) = &self.last_executed
            && (order.number < last.number || order.fencing < last.fencing)
        {
            violations.push(format!(
                "invariant 1: {} executes order {} (fencing {}) after order {} (fencing {})",
                order.target, order.number, order.fencing, last.number, last.fencing
            ));
        }
        if !self.runs.is_empty() {
            violations.push(format!(
                "invariant 2: {} gets an order while it has {} runs in progress (agent {agent:x})",
                order.target,
                self.runs.len()
            ));
        }
        self.execution_log
            .borrow_mut()
            .violations
            .extend(violations);
    }

    fn execute(&mut self, now: Instant, order: &Order) {
        let loaded = &mut self.state.loaded;
        match &order.kind {
            OrderKind::LoadModel { model, version } => {
                loaded.model.clone_from(model);
                loaded.version.clone_from(version);
            }
            OrderKind::LoadAdapter { adapter } => {
                if !loaded.adapters.contains(adapter) {
                    loaded.adapters.push(adapter.clone());
                    loaded.adapters.sort();
                }
            }
            OrderKind::UnloadAdapter { adapter } => loaded.adapters.retain(|a| a != adapter),
            OrderKind::ChangeRole { role } => self.state.role = *role,
            OrderKind::Drain | OrderKind::Replace | OrderKind::Withdraw | OrderKind::Resume => {}
        }
        self.state.number = order.number;
        self.has_no_order_since_start = false;
        self.away_until = Some(now + ORDER_EXECUTION_MS);
    }
}
