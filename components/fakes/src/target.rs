//! Engine or plain service in virtual time that counts what it ran and which orders it obeyed.
//!
//! Its part of the path to a caller is honest: what it wrote into the ledger is what it did.
//! The promises of the system are checked against the ledger.

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
use types::Loaded;
use types::Order;
use types::OrderKind;
use types::RequestId;
use types::ServiceKind;
use types::Work;

use crate::target_cache::TargetCache;

/// Largest part of an answer that is delivered at once.
const PART_BYTES: usize = 600;
/// Largest part of a large answer that is delivered at once.
const LARGE_PART_BYTES: usize = 16 << 10;
/// Start of the bodies whose answers do not fit into a claim row.
pub const LARGE_ORDER: &[u8] = b"Order large";
/// Prompts above this take part of a second.
const LONG_TOKENS: u32 = 1_000;
/// Prompts above this take seconds.
const VERY_LONG_TOKENS: u32 = 8_000;
/// A role change makes the engine away for this long.
const CHANGE_MS: Duration = Duration::from_millis(2_500);
/// Prompt tokens of one cache piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// What all targets did.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Runs of each body, by their number.
    pub runs: HashMap<Vec<u8>, Vec<u64>>,
    /// Requests of which an attempt was run.
    pub ran: HashMap<RequestId, u32>,
    next: u64,
    /// Faults of the orders received, for the report of a violation.
    pub violations: Vec<String>,
    /// Orders obeyed.
    pub obeyed: Vec<(Instant, Incarnation, Order)>,
    /// Orders refused for their fencing number.
    pub fenced: u64,
}

/// Answer that run `run` gives to a body; the same for every run unless `sampled`.
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
    let filler = match body.starts_with(LARGE_ORDER) {
        false => answer.len() + sum % 4_000,
        // One in 29 is above what is kept for resends.
        true if sum.is_multiple_of(29) => (1 << 20) + 1,
        true => (64 << 10) - 2_000 + 2 * sum,
    };
    let unit = answer.clone();
    while answer.len() < filler {
        answer.extend_from_slice(&unit);
    }
    answer
}

/// End of an engine's answer, which states what it used.
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
    pace_ms: u64,
}

/// One target.
pub struct FakeTarget {
    /// Engine or plain service.
    pub kind: ServiceKind,
    /// Refuses orders with an old fencing number.
    pub honours_fencing: bool,
    /// Prefix cache, with its events.
    pub cache: TargetCache,
    ledger: Rc<RefCell<Ledger>>,
    random: StdRng,
    base: EngineState,
    state: EngineState,
    away_until: Option<Instant>,
    down: bool,
    /// It restarted since its last order, so it may serve what nobody ordered last.
    restarted: bool,
    /// Last order that the engine remembers.
    highest: Option<Order>,
    /// Last order obeyed, also across restarts of the engine.
    obeyed: Option<Order>,
    runs: BTreeMap<(Incarnation, RunId), Run>,
}

impl FakeTarget {
    /// A target that serves `base`.
    #[must_use]
    pub fn new(
        kind: ServiceKind,
        honours_fencing: bool,
        base: EngineState,
        ledger: Rc<RefCell<Ledger>>,
        seed: u64,
    ) -> Self {
        Self {
            kind,
            honours_fencing,
            cache: TargetCache::new(seed ^ 1),
            ledger,
            random: StdRng::seed_from_u64(seed),
            state: base.clone(),
            base,
            away_until: None,
            down: false,
            restarted: true,
            highest: None,
            obeyed: None,
            runs: BTreeMap::new(),
        }
    }

    /// Runs in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// In the middle of a change.
    #[must_use]
    pub fn is_changing(&self, now: Instant) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    /// Takes work at this moment.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        !self.down && !self.is_changing(now)
    }

    /// It restarted, or was replaced, and has obeyed no order since.
    #[must_use]
    pub fn is_restarted(&self) -> bool {
        self.restarted
    }

    /// Whether it has what an attempt needs; empty fields ask for nothing.
    #[must_use]
    pub fn holds(&self, needs: &Loaded) -> bool {
        let loaded = &self.state.loaded;
        (needs.model.is_empty() || needs.model == loaded.model)
            && (needs.version.is_empty() || needs.version == loaded.version)
            && needs.adapters.iter().all(|a| loaded.adapters.contains(a))
    }

    /// Starts a run; returns its first event and when the agent gets it.
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
        let number = self.note_run(attempt, &work.body);
        let sampled = work.body.last().is_some_and(|byte| byte % 2 == 0);
        let long = work.prompt_tokens > LONG_TOKENS;
        let first_ms = if work.prompt_tokens > VERY_LONG_TOKENS {
            self.random.random_range(3_000..7_500)
        } else if long {
            self.random.random_range(150..600)
        } else {
            self.random.random_range(10..60)
        };
        let mut answer = answer_to(&work.body, number, sampled);
        if self.kind == ServiceKind::Model {
            let cached = self.cache.process(now, &work.prefixes);
            answer.extend_from_slice(usage_of(work, cached).as_bytes());
        }
        self.runs.insert(
            (agent, run),
            Run {
                answer,
                position: 0,
                pace_ms: if long { 40 } else { 8 },
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

    fn note_run(&mut self, attempt: AttemptId, body: &[u8]) -> u64 {
        let mut ledger = self.ledger.borrow_mut();
        ledger.next += 1;
        let number = ledger.next;
        ledger.runs.entry(body.to_vec()).or_default().push(number);
        *ledger.ran.entry(attempt.request).or_default() += 1;
        number
    }

    /// Delivers the next part of a run, or its end.
    pub fn read(&mut self, agent: Incarnation, run: RunId) -> Option<(Duration, Event)> {
        let current = self.runs.get_mut(&(agent, run))?;
        let rest = &current.answer[current.position..];
        let delay = Duration::from_millis(current.pace_ms);
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

    /// The agent gave a run up.
    pub fn abort(&mut self, agent: Incarnation, run: RunId) {
        self.runs.remove(&(agent, run));
    }

    /// The connections of an agent are closed because it was killed.
    pub fn agent_gone(&mut self, agent: Incarnation) {
        self.runs.retain(|(of, _), _| *of != agent);
    }

    /// Crashes; returns what the agents are told.
    pub fn crash(&mut self) -> Vec<(Incarnation, Event)> {
        self.down = true;
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

    /// Starts again with what it is configured to load.
    pub fn restart(&mut self) {
        self.down = false;
        self.restarted = true;
        self.state = self.base.clone();
        self.highest = None;
    }

    /// State as the engine reports it.
    ///
    /// # Errors
    ///
    /// The engine is down.
    pub fn report(&mut self, now: Instant) -> Result<EngineState, String> {
        if self.down {
            return Err("connection refused".to_owned());
        }
        Ok(EngineState {
            away: self.is_changing(now),
            ..self.state.clone()
        })
    }

    /// Load as the engine reports it.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        let running = self.runs.len() as u64;
        (!self.down).then_some(EngineLoad {
            age_ms: 500,
            prefill_backlog_tokens: running * 200,
            decode_backlog_tokens: running * 50,
            cache_used_permille: self.cache.used_permille(),
        })
    }

    /// Takes an order.
    pub fn pass(&mut self, now: Instant, agent: Incarnation, order: &Order) -> OrderOutcome {
        if self.down {
            return OrderOutcome::NotSent("connection refused".to_owned());
        }
        if self.is_changing(now) {
            return OrderOutcome::Refused("busy with a change".to_owned());
        }
        let is_old = self
            .highest
            .as_ref()
            .is_some_and(|known| (order.fencing, order.number) < (known.fencing, known.number));
        if is_old && self.honours_fencing {
            self.ledger.borrow_mut().fenced += 1;
            return OrderOutcome::Fenced("older than the last order".to_owned());
        }
        self.check(agent, order);
        self.ledger
            .borrow_mut()
            .obeyed
            .push((now, agent, order.clone()));
        self.highest = Some(order.clone());
        self.obeyed = Some(order.clone());
        self.obey(now, order);
        OrderOutcome::Taken
    }

    /// Checks an order that is about to be obeyed against the promises made to engines.
    fn check(&self, agent: Incarnation, order: &Order) {
        let mut violations = Vec::new();
        if let Some(known) = &self.obeyed
            && (order.number < known.number || order.fencing < known.fencing)
        {
            violations.push(format!(
                "invariant 1: {} obeys order {} (fencing {}) after order {} (fencing {})",
                order.target, order.number, order.fencing, known.number, known.fencing
            ));
        }
        if !self.runs.is_empty() {
            violations.push(format!(
                "invariant 2: {} is ordered to change with {} runs in service (agent {agent:x})",
                order.target,
                self.runs.len()
            ));
        }
        self.ledger.borrow_mut().violations.extend(violations);
    }

    fn obey(&mut self, now: Instant, order: &Order) {
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
        self.restarted = false;
        self.away_until = Some(now + CHANGE_MS);
    }
}
