//! State of the stand-in engine: what is loaded, changes under way, load and faults.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use types::FencingNumber;
use types::Loaded;
use types::OrderKind;
use types::OrderNumber;
use types::Role;

use crate::engine::cache::PrefixCache;
use crate::engine::counters::ObeyedOrder;
use crate::engine::counters::Tally;
use crate::engine::options::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::resume::Resumable;

/// Samples of the load that are kept.
const SAMPLE_LIMIT: usize = 256;

/// Answer to `GET /state`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAnswer {
    /// What is loaded.
    pub loaded: Loaded,
    /// Role.
    pub role: Role,
    /// In the middle of a change.
    pub away: bool,
    /// Last order obeyed; 0 after a restart.
    pub number: OrderNumber,
}

/// Answer to `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Age of the figures.
    pub age_ms: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens still expected.
    pub decode_backlog_tokens: u64,
    /// Share of the cache in use, in thousandths.
    pub cache_used_permille: u16,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Number.
    pub number: OrderNumber,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: OrderKind,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Obeyed; the change takes this long, and `crashes` in the middle.
    Obeyed { away_ms: u64, crashes: bool },
    /// Fencing number too low.
    Fenced,
    /// Refused for now.
    Refused,
}

/// State of the engine.
pub struct EngineCore {
    pub options: EngineOptions,
    pub faults: EngineFaults,
    pub state: StateAnswer,
    pub cache: PrefixCache,
    pub tally: Tally,
    pub started: Instant,
    /// Grows with every crash and change; runs of an earlier epoch end without an answer.
    pub epoch: u64,
    pub crashed: bool,
    /// Highest fencing number seen; kept over crashes, as an engine that honours it has to.
    fencing: FencingNumber,
    /// Runs under way: id, and whether it was cancelled.
    pub running: HashMap<u64, (String, bool)>,
    pub prefill_backlog_tokens: u64,
    pub decode_backlog_tokens: u64,
    /// Requests whose answer can be resumed.
    pub resumable: Resumable,
    samples: VecDeque<(Instant, LoadAnswer)>,
    next_run: u64,
}

impl EngineCore {
    pub fn new(options: EngineOptions) -> Self {
        Self {
            state: initial(&options),
            cache: PrefixCache::new(options.cache_pieces, options.cache_gap),
            options,
            faults: EngineFaults::default(),
            tally: Tally::default(),
            started: Instant::now(),
            epoch: 0,
            crashed: false,
            fencing: 0,
            running: HashMap::new(),
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

    /// Prompt tokens a second now.
    pub fn prefill_rate(&self) -> f64 {
        let factor = match self.state.role {
            Role::Prefill => 1.6,
            Role::Decode => 0.5,
            Role::Mixed => 1.0,
        };
        self.options.prefill_rate * factor / self.faults.slow.unwrap_or(1.0)
    }

    /// Output tokens a second of one stream now.
    pub fn decode_rate(&self) -> f64 {
        let factor = match self.state.role {
            Role::Prefill => 0.5,
            Role::Decode => 1.4,
            Role::Mixed => 1.0,
        };
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let crowd = f64::from(running) / f64::from(self.options.slots.max(1));
        self.options.decode_rate * factor / self.faults.slow.unwrap_or(1.0) / crowd.max(1.0)
    }

    pub fn begin_run(&mut self, id: &str) -> u64 {
        self.next_run += 1;
        self.running.insert(self.next_run, (id.to_owned(), false));
        self.next_run
    }

    /// Cancels the runs with an id; returns how many there were.
    pub fn cancel(&mut self, id: &str) -> u32 {
        let mut count = 0;
        for (running, cancelled) in self.running.values_mut() {
            if running == id && !*cancelled {
                *cancelled = true;
                count += 1;
            }
        }
        self.tally.counters.cancelled += count;
        count
    }

    /// Decides on an order and begins the change.
    pub fn order(&mut self, now: Instant, body: &OrderBody) -> OrderAnswer {
        if take(&mut self.faults.refuse_orders) {
            return OrderAnswer::Refused;
        }
        if !self.options.ignore_fencing && body.fencing < self.fencing {
            self.tally.counters.fenced += 1;
            return OrderAnswer::Fenced;
        }
        if self.state.away {
            self.tally.counters.overlapping += 1;
            return OrderAnswer::Refused;
        }
        self.fencing = self.fencing.max(body.fencing);
        self.state.away = true;
        self.epoch += 1;
        self.tally.obeyed(ObeyedOrder {
            number: body.number,
            fencing: body.fencing,
            order: body.order.clone(),
            at_ms: millis(now.saturating_duration_since(self.started)),
            cut: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
        });
        let away_ms = match body.order {
            OrderKind::LoadModel { .. } | OrderKind::ChangeRole { .. } => self.options.away_ms,
            _ => self.options.away_ms / 4,
        };
        OrderAnswer::Obeyed {
            away_ms,
            crashes: take(&mut self.faults.crash_in_change),
        }
    }

    /// Ends a change.
    pub fn apply(&mut self, now: Instant, body: OrderBody) {
        let loaded = &mut self.state.loaded;
        match body.order {
            OrderKind::LoadModel { model, version } => {
                *loaded = Loaded {
                    model,
                    version,
                    adapters: Vec::new(),
                };
                self.cache.clear(now);
            }
            OrderKind::LoadAdapter { adapter } => {
                if let Err(place) = loaded.adapters.binary_search(&adapter) {
                    loaded.adapters.insert(place, adapter);
                }
            }
            OrderKind::UnloadAdapter { adapter } => loaded.adapters.retain(|at| *at != adapter),
            OrderKind::ChangeRole { role } => self.state.role = role,
            _ => {}
        }
        self.state.number = body.number;
        self.state.away = false;
    }

    /// Loses everything that was in memory.
    pub fn crash(&mut self, now: Instant) {
        self.crashed = true;
        self.epoch += 1;
        self.tally.counters.crashes += 1;
        self.state = initial(&self.options);
        self.cache.clear(now);
        self.resumable = Resumable::default();
    }

    /// Load as of some time ago.
    pub fn load(&mut self, now: Instant) -> LoadAnswer {
        self.samples.push_back((
            now,
            LoadAnswer {
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
            return LoadAnswer::default();
        };
        LoadAnswer {
            age_ms: u32::try_from(millis(now.saturating_duration_since(*at))).unwrap_or(u32::MAX),
            ..sample.clone()
        }
    }
}

fn initial(options: &EngineOptions) -> StateAnswer {
    StateAnswer {
        loaded: Loaded {
            model: options.model.clone(),
            version: options.version.clone(),
            adapters: Vec::new(),
        },
        role: options.role,
        away: false,
        number: 0,
    }
}

/// Uses up one of a counted fault.
pub fn take(count: &mut Option<u32>) -> bool {
    match count {
        Some(left) if *left > 0 => {
            *left -= 1;
            true
        }
        _ => false,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
