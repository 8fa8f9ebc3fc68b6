//! Counters of runs and orders, so that tests can check effects at the engine itself.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use types::FencingNumber;
use types::OrderKind;
use types::OrderNumber;

/// Runs of one request, identified by id and body digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// `X-Request-Id`; empty if absent.
    pub id: String,
    /// Hexadecimal digest of the request body.
    pub digest: String,
    /// Runs started.
    pub started: u32,
    /// Runs that generated the complete response.
    pub finished: u32,
}

/// An order that the engine accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// Order number.
    pub number: OrderNumber,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// The order itself.
    pub order: OrderKind,
    /// Time of acceptance since the engine's start.
    pub at_ms: u64,
    /// Active requests when the order was accepted; they end without a complete response.
    pub cut: u32,
}

/// Response to `GET /counters`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Runs, sorted by id and digest.
    pub runs: Vec<RunCount>,
    /// Accepted orders, in order of acceptance.
    pub orders: Vec<AcceptedOrder>,
    /// Orders rejected for a low fencing number.
    pub fenced: u32,
    /// Orders rejected because another one was in progress.
    pub overlapping: u32,
    /// Accepted orders with a lower number than an earlier accepted one.
    pub backward: u32,
    /// Cancelled runs.
    pub cancelled: u32,
    /// Requests for a model that is not loaded.
    pub wrong_model: u32,
    /// Responses resumed from an offset.
    pub resumed: u32,
    /// Crashes since the stand-in was started.
    pub crashes: u32,
}

/// Records runs and orders for the counters.
#[derive(Default)]
pub(crate) struct Recorder {
    /// Started and finished runs by request id and body digest.
    runs: HashMap<(String, u64), (u32, u32)>,
    pub counters: EngineCounters,
    highest_number: OrderNumber,
}

impl Recorder {
    pub fn record_start(&mut self, id: &str, digest: u64) {
        self.runs.entry((id.to_owned(), digest)).or_default().0 += 1;
    }

    pub fn record_finish(&mut self, id: &str, digest: u64) {
        self.runs.entry((id.to_owned(), digest)).or_default().1 += 1;
    }

    pub fn record_order(&mut self, order: AcceptedOrder) {
        if order.number < self.highest_number {
            self.counters.backward += 1;
        }
        self.highest_number = self.highest_number.max(order.number);
        self.counters.orders.push(order);
    }

    pub fn snapshot(&self) -> EngineCounters {
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
