//! State of the stand-in engine: loaded model, orders in progress, load and injected faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use types::FencingNumber;
use types::LoadedModel;
use types::OrderKind;
use types::OrderNumber;
use types::Role;

use crate::engine::cache::PrefixCache;
use crate::engine::counters::AcceptedOrder;
use crate::engine::counters::Recorder;
use crate::engine::options::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::resume::Resumable;

/// Maximum number of load samples kept for delayed reports.
const SAMPLE_LIMIT: usize = 256;

/// Response to `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateResponse {
    /// Loaded model and adapters.
    pub loaded: LoadedModel,
    /// Current role.
    pub role: Role,
    /// Whether an order is in progress, so that requests are rejected.
    pub away: bool,
    /// Number of the last completed order; 0 after a restart.
    pub number: OrderNumber,
}

/// Response to `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Age of the sample.
    pub age_ms: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens still to be generated.
    pub decode_backlog_tokens: u64,
    /// Share of the prefix cache in use, in thousandths.
    pub cache_used_permille: u16,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Order number.
    pub number: OrderNumber,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// The order itself.
    pub order: OrderKind,
}

/// Decision on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// Accepted; the engine is unavailable for `away_ms`, or crashes half-way if `crashes` is set.
    Accepted { away_ms: u64, crashes: bool },
    /// Rejected: its fencing number is lower than the highest one seen.
    Fenced,
    /// Rejected for now: another order is in progress, or a fault is injected.
    Rejected,
}

/// State of the engine.
pub struct EngineCore {
    pub options: EngineOptions,
    pub faults: EngineFaults,
    pub state: StateResponse,
    pub cache: PrefixCache,
    pub recorder: Recorder,
    pub started: Instant,
    /// Incremented by every crash and accepted order. Runs of an earlier epoch end without a
    /// response.
    pub epoch: u64,
    pub is_crashed: bool,
    /// Highest fencing number seen. Survives crashes, as in any engine that honours fencing.
    highest_fencing: FencingNumber,
    /// Active runs by run number: request id, and whether it has been cancelled.
    pub active_runs: HashMap<u64, (String, bool)>,
    pub prefill_backlog_tokens: u64,
    pub decode_backlog_tokens: u64,
    /// Requests whose response can be resumed.
    pub resumable: Resumable,
    samples: VecDeque<(Instant, LoadResponse)>,
    next_run: u64,
}

impl EngineCore {
    pub fn new(options: EngineOptions) -> Self {
        Self {
            state: initial_state(&options),
            cache: PrefixCache::new(options.cache_pieces, options.cache_gap),
            options,
            faults: EngineFaults::default(),
            recorder: Recorder::default(),
            started: Instant::now(),
            epoch: 0,
            is_crashed: false,
            highest_fencing: 0,
            active_runs: HashMap::new(),
            prefill_backlog_tokens: 0,
            decode_backlog_tokens: 0,
            resumable: Resumable::default(),
            samples: VecDeque::new(),
            next_run: 0,
        }
    }

    pub fn is_instant(&self) -> bool {
        self.faults.instant.unwrap_or(self.options.instant)
    }

    /// Current prefill throughput, in tokens per second.
    pub fn prefill_rate(&self) -> f64 {
        let factor = match self.state.role {
            Role::Prefill => 1.6,
            Role::Decode => 0.5,
            Role::Mixed => 1.0,
        };
        self.options.prefill_rate * factor / self.faults.slow.unwrap_or(1.0)
    }

    /// Current decode throughput of one stream, in tokens per second.
    pub fn decode_rate(&self) -> f64 {
        let factor = match self.state.role {
            Role::Prefill => 0.5,
            Role::Decode => 1.4,
            Role::Mixed => 1.0,
        };
        let active = u32::try_from(self.active_runs.len()).unwrap_or(u32::MAX);
        let slot_utilisation = f64::from(active) / f64::from(self.options.slots.max(1));
        self.options.decode_rate * factor
            / self.faults.slow.unwrap_or(1.0)
            / slot_utilisation.max(1.0)
    }

    pub fn begin_run(&mut self, id: &str) -> u64 {
        self.next_run += 1;
        self.active_runs
            .insert(self.next_run, (id.to_owned(), false));
        self.next_run
    }

    /// Cancels the active runs of a request; returns their number.
    pub fn cancel(&mut self, id: &str) -> u32 {
        let mut count = 0;
        for (run_id, is_cancelled) in self.active_runs.values_mut() {
            if run_id == id && !*is_cancelled {
                *is_cancelled = true;
                count += 1;
            }
        }
        self.recorder.counters.cancelled += count;
        count
    }

    /// Decides on an order and marks it as in progress if it is accepted.
    pub fn begin_order(&mut self, now: Instant, body: &OrderRequest) -> OrderDecision {
        if consume_fault(&mut self.faults.refuse_orders) {
            return OrderDecision::Rejected;
        }
        if !self.options.ignore_fencing && body.fencing < self.highest_fencing {
            self.recorder.counters.fenced += 1;
            return OrderDecision::Fenced;
        }
        if self.state.away {
            self.recorder.counters.overlapping += 1;
            return OrderDecision::Rejected;
        }
        self.highest_fencing = self.highest_fencing.max(body.fencing);
        self.state.away = true;
        self.epoch += 1;
        self.recorder.record_order(AcceptedOrder {
            number: body.number,
            fencing: body.fencing,
            order: body.order.clone(),
            at_ms: millis(now.saturating_duration_since(self.started)),
            cut: u32::try_from(self.active_runs.len()).unwrap_or(u32::MAX),
        });
        let away_ms = match body.order {
            OrderKind::LoadModel { .. } | OrderKind::ChangeRole { .. } => self.options.away_ms,
            _ => self.options.away_ms / 4,
        };
        OrderDecision::Accepted {
            away_ms,
            crashes: consume_fault(&mut self.faults.crash_in_change),
        }
    }

    /// Applies the order in progress and ends the unavailability.
    pub fn apply(&mut self, now: Instant, body: OrderRequest) {
        let loaded = &mut self.state.loaded;
        match body.order {
            OrderKind::LoadModel { model, version } => {
                *loaded = LoadedModel {
                    model,
                    version,
                    adapters: Vec::new(),
                };
                self.cache.clear(now);
            }
            OrderKind::LoadAdapter { adapter } => {
                if let Err(position) = loaded.adapters.binary_search(&adapter) {
                    loaded.adapters.insert(position, adapter);
                }
            }
            OrderKind::UnloadAdapter { adapter } => loaded.adapters.retain(|name| *name != adapter),
            OrderKind::ChangeRole { role } => self.state.role = role,
            _ => {}
        }
        self.state.number = body.number;
        self.state.away = false;
    }

    /// Resets loaded model, role, cache and resumable responses. Counters, faults and the highest
    /// fencing number are kept.
    pub fn crash(&mut self, now: Instant) {
        self.is_crashed = true;
        self.epoch += 1;
        self.recorder.counters.crashes += 1;
        self.state = initial_state(&self.options);
        self.cache.clear(now);
        self.resumable = Resumable::default();
    }

    /// The latest load sample that is at least `load_lag_ms` old, or else the oldest one.
    pub fn load(&mut self, now: Instant) -> LoadResponse {
        self.samples.push_back((
            now,
            LoadResponse {
                age_ms: 0,
                prefill_backlog_tokens: self.prefill_backlog_tokens,
                decode_backlog_tokens: self.decode_backlog_tokens,
                cache_used_permille: self.cache.used_permille(),
            },
        ));
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let reported = self.samples.iter().rev().find(|(at, _)| now >= *at + lag);
        let Some((at, sample)) = reported.or_else(|| self.samples.front()) else {
            return LoadResponse::default();
        };
        LoadResponse {
            age_ms: u32::try_from(millis(now.saturating_duration_since(*at))).unwrap_or(u32::MAX),
            ..sample.clone()
        }
    }
}

fn initial_state(options: &EngineOptions) -> StateResponse {
    StateResponse {
        loaded: LoadedModel {
            model: options.model.clone(),
            version: options.version.clone(),
            adapters: Vec::new(),
        },
        role: options.role,
        away: false,
        number: 0,
    }
}

/// Decrements the count of an injected fault; true if the fault applies.
pub fn consume_fault(remaining: &mut Option<u32>) -> bool {
    match remaining {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
