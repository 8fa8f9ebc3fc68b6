//! Stand-in for the store of the users' platform.
//!
//! Serves versioned rows, a long-polled feed of changes since a version, and transactions. Outages
//! can be injected with [`FeedStore::set_mode`].

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::Handler;
use http::HandlerFuture;
use http::Problem;
use http::Request;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use serde_with::base64::Base64;
use serde_with::serde_as;
use smol::Timer;

use crate::responses;

/// Largest request body.
const BODY_LIMIT_BYTES: u64 = 1 << 20;
/// Interval at which a long poll checks for new changes.
const POLL_INTERVAL_MS: Duration = Duration::from_millis(5);

/// How the store handles requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds normally.
    #[default]
    Healthy,
    /// Accepts requests and never responds. Requests accepted in this mode or pending when it
    /// begins stay without a response, even after the mode changes back.
    Unresponsive,
    /// Rejects requests with 503.
    Unavailable,
}

type RowKey = (String, String);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    key: RowKey,
    value: Option<String>,
}

/// Copy of a store's rows and history.
#[derive(Debug, Clone)]
pub struct StoreCopy(State);

#[derive(Debug, Clone, Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<Change>,
    /// Latest version whose change has been dropped from the history.
    dropped_version: u64,
}

/// Reading of the store's clock when the stand-in starts, after which rows may be older than it.
const START_MS: u64 = 24 * 60 * 60 * 1_000;

/// When the stand-in was started.
#[derive(Debug)]
struct Started(Instant);

impl Default for Started {
    fn default() -> Self {
        Self(Instant::now())
    }
}

/// Rows and the history of their changes.
#[derive(Debug, Default)]
pub struct FeedStore {
    started: Started,
    state: RefCell<State>,
    mode: Cell<StoreMode>,
    /// Number of switches to [`StoreMode::Unresponsive`].
    silence_count: Cell<u64>,
    request_count: Cell<u64>,
    /// Number of times that the store came back from a copy.
    era: Cell<u64>,
}

#[serde_as]
#[derive(Serialize)]
#[serde(transparent)]
struct Base64Bytes<'a>(#[serde_as(as = "Base64")] &'a [u8]);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    expected_revision: Vec<ExpectedVersion>,
    set_keys: Vec<RowUpdate>,
    remove: Vec<RowRemoval>,
}

#[derive(Deserialize)]
struct ExpectedVersion {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct RowUpdate {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct RowRemoval {
    table: String,
    key: String,
}

impl FeedStore {
    /// Requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.request_count.get()
    }

    /// Sets how the store handles requests.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
        if mode == StoreMode::Unresponsive {
            self.silence_count.set(self.silence_count.get() + 1);
        }
    }

    /// Inserts or replaces a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let key = (table.to_owned(), key.to_owned());
        self.state.borrow_mut().change(key, Some(base64(value)));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), key.to_owned());
        self.state.borrow_mut().change(key, None);
    }

    /// Copies the store as it is now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.borrow().clone())
    }

    /// Makes the store come back from a copy. What was written since is lost, and versions are
    /// given out again.
    pub fn restore(&self, copy: StoreCopy) {
        self.state.replace(copy.0);
        self.era.set(self.era.get() + 1);
    }

    /// Whether a row exists.
    #[must_use]
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        let key = (table.to_owned(), key.to_owned());
        self.state.borrow().rows.contains_key(&key)
    }

    /// Drops the change history but keeps the rows. Feed requests after an older version get 410.
    pub fn discard_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped_version = state.version;
        state.changes.clear();
    }

    /// Reading of the store's steady clock.
    fn now_ms(&self) -> u64 {
        let elapsed_ms = self.started.0.elapsed().as_millis();
        START_MS + u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
    }

    async fn respond(&self, request: &Request) -> (u16, Value) {
        let url = request.head.url();
        let query: BTreeMap<_, _> = url.query_pairs().into_owned().collect();
        let table = query.get("table").cloned().unwrap_or_default();
        match url.path() {
            "/rows-get" => self.scan(&table, query.get("from")),
            "/rows-feed" => {
                let number = |name| query.get(name).and_then(|text: &String| text.parse().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.feed(&table, number("after").unwrap_or(0), wait).await
            }
            "/rows-tx" => match serde_json::from_slice(&request.body) {
                Ok(transaction) => self.commit(transaction),
                Err(error) => (400, json!({ "error": error.to_string() })),
            },
            _ => (404, json!({})),
        }
    }

    fn scan(&self, table: &str, from: Option<&String>) -> (u16, Value) {
        let state = self.state.borrow();
        let rows = state.rows.iter().filter(|((row_table, key), _)| {
            row_table == table && from.is_none_or(|from| key.as_str() >= from.as_str())
        });
        let rows: Vec<_> = rows
            .map(|((table, key), (value, version))| row_json(table, key, Some(value), *version))
            .collect();
        (
            200,
            json!({ "rows": rows, "hasMore": false, "ver": state.version, "nowMs": self.now_ms() }),
        )
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        loop {
            {
                let state = self.state.borrow();
                if after < state.dropped_version || after > state.version {
                    return (410, json!({}));
                }
                let changes = state
                    .changes
                    .iter()
                    .filter(|change| change.key.0 == table && change.version > after);
                let rows: Vec<_> = changes
                    .map(|change| {
                        let (table, key) = &change.key;
                        row_json(table, key, change.value.as_deref(), change.version)
                    })
                    .collect();
                if !rows.is_empty() || Instant::now() >= deadline {
                    return (
                        200,
                        json!({ "rows": rows, "ver": state.version, "nowMs": self.now_ms() }),
                    );
                }
            }
            Timer::after(POLL_INTERVAL_MS).await;
        }
    }

    fn commit(&self, transaction: Transaction) -> (u16, Value) {
        let mut state = self.state.borrow_mut();
        let is_current = transaction.expected_revision.iter().all(|expected| {
            let key = (expected.table.clone(), expected.key.clone());
            state.rows.get(&key).map_or(0, |(_, version)| *version) == expected.ver
        });
        if !is_current {
            return (
                412,
                json!({ "rows": [], "ver": state.version, "nowMs": self.now_ms() }),
            );
        }
        for update in transaction.set_keys {
            state.change((update.table, update.key), Some(update.value));
        }
        for removal in transaction.remove {
            state.change((removal.table, removal.key), None);
        }
        (200, json!({ "ver": state.version, "nowMs": self.now_ms() }))
    }
}

impl State {
    fn change(&mut self, key: RowKey, value: Option<String>) {
        self.version += 1;
        match &value {
            Some(value) => {
                let row = (value.clone(), self.version);
                self.rows.insert(key.clone(), row);
            }
            None => drop(self.rows.remove(&key)),
        }
        self.changes.push(Change {
            version: self.version,
            key,
            value,
        });
    }
}

fn row_json(table: &str, key: &str, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": version })
        }
        None => json!({ "table": table, "part": "", "key": key, "ver": version, "removed": true }),
    }
}

fn base64(bytes: &[u8]) -> String {
    match serde_json::to_value(Base64Bytes(bytes)) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    }
}

/// HTTP handler of a store that the test also changes directly.
pub struct FeedStoreHandler(pub Rc<FeedStore>);

impl Handler for FeedStoreHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            let store = &self.0;
            store.request_count.set(store.request_count.get() + 1);
            if store.mode.get() == StoreMode::Unavailable {
                return responses::send(exchange, 503, &json!({})).await;
            }
            let silence_count = store.silence_count.get();
            let response = exchange.or_hang_up(store.respond(&request)).await;
            let was_silenced = store.silence_count.get() != silence_count;
            if was_silenced || store.mode.get() == StoreMode::Unresponsive {
                // Pending until the client closes the connection.
                let _ = exchange.or_hang_up(std::future::pending::<()>()).await;
                return;
            }
            if let Ok((status, body)) = response {
                let body = serde_json::to_vec(&body).unwrap_or_default();
                let mut head = responses::head(status, "application/json");
                head.insert_header("store-era", store.era.get().to_string());
                // The client may have disconnected.
                let _ = exchange.respond(head, &body).await;
            }
        })
    }
}
