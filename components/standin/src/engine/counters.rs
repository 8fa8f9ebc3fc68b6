//! What the engine did, for checks where the effect is seen.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use types::FencingNumber;
use types::OrderKind;
use types::OrderNumber;

/// Runs of one request id and body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// `X-Request-Id`; empty without one.
    pub id: String,
    /// Digest of the body, in hex.
    pub digest: String,
    /// Times that it was started.
    pub started: u32,
    /// Times that it was answered in full.
    pub finished: u32,
}

/// One order that was obeyed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObeyedOrder {
    /// Number.
    pub number: OrderNumber,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// What was done.
    pub order: OrderKind,
    /// Time since the engine's start.
    pub at_ms: u64,
    /// Requests in service when it came; they were cut off.
    pub cut: u32,
}

/// Everything that is counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Runs, by id and digest.
    pub runs: Vec<RunCount>,
    /// Orders obeyed, in order.
    pub orders: Vec<ObeyedOrder>,
    /// Orders refused for their fencing number.
    pub fenced: u32,
    /// Orders that came while another one was being obeyed.
    pub overlapping: u32,
    /// Orders with a lower number than one obeyed before.
    pub backward: u32,
    /// Requests cancelled.
    pub cancelled: u32,
    /// Requests that asked for a model that is not loaded.
    pub wrong_model: u32,
    /// Answers resumed from an offset.
    pub resumed: u32,
    /// Crashes.
    pub crashes: u32,
}

/// Counters under construction.
#[derive(Default)]
pub(crate) struct Tally {
    runs: HashMap<(String, u64), (u32, u32)>,
    pub counters: EngineCounters,
    highest: OrderNumber,
}

impl Tally {
    pub fn started(&mut self, id: &str, digest: u64) {
        self.runs.entry((id.to_owned(), digest)).or_default().0 += 1;
    }

    pub fn finished(&mut self, id: &str, digest: u64) {
        self.runs.entry((id.to_owned(), digest)).or_default().1 += 1;
    }

    pub fn obeyed(&mut self, order: ObeyedOrder) {
        if order.number < self.highest {
            self.counters.backward += 1;
        }
        self.highest = self.highest.max(order.number);
        self.counters.orders.push(order);
    }

    pub fn report(&self) -> EngineCounters {
        let sorted: BTreeMap<_, _> = self.runs.iter().collect();
        let runs = sorted
            .into_iter()
            .map(|((id, digest), (started, finished))| RunCount {
                id: id.clone(),
                digest: format!("{digest:016x}"),
                started: *started,
                finished: *finished,
            })
            .collect();
        EngineCounters {
            runs,
            ..self.counters.clone()
        }
    }
}
