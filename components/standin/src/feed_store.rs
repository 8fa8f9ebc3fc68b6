//! Stand-in for the store of the users' platform: rows, changes since a version, and outages.

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

use crate::answers;

/// Largest body of a call.
const BODY_LIMIT_BYTES: u64 = 1 << 20;
/// Time between two looks for changes on behalf of a call that waits.
const LOOK_MS: Duration = Duration::from_millis(5);

/// How the store answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Well,
    /// It takes calls and never answers them nor those that it had, also after it is well again.
    Silent,
    /// It refuses calls.
    Busy,
}

type RowKey = (String, String);

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    key: RowKey,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<Change>,
    /// Changes up to this version are no longer kept.
    dropped: u64,
}

/// Rows and their changes.
#[derive(Debug, Default)]
pub struct FeedStore {
    state: RefCell<State>,
    mode: Cell<StoreMode>,
    /// Times that the store fell silent.
    silences: Cell<u64>,
    calls: Cell<u64>,
}

#[serde_as]
#[derive(Serialize)]
#[serde(transparent)]
struct Encoded<'a>(#[serde_as(as = "Base64")] &'a [u8]);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    expected_revision: Vec<Expected>,
    set_keys: Vec<Put>,
    remove: Vec<Removal>,
}

#[derive(Deserialize)]
struct Expected {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct Put {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Removal {
    table: String,
    key: String,
}

impl FeedStore {
    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Changes how the store answers.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
        if mode == StoreMode::Silent {
            self.silences.set(self.silences.get() + 1);
        }
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let key = (table.to_owned(), key.to_owned());
        self.state.borrow_mut().change(key, Some(base64(value)));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), key.to_owned());
        self.state.borrow_mut().change(key, None);
    }

    /// Forgets all changes, but not the rows.
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped = state.version;
        state.changes.clear();
    }

    async fn answer(&self, request: &Request) -> (u16, Value) {
        let url = request.head.url();
        let query: BTreeMap<_, _> = url.query_pairs().into_owned().collect();
        let table = query.get("table").cloned().unwrap_or_default();
        match url.path() {
            "/rows-get" => self.read(&table, query.get("from")),
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

    fn read(&self, table: &str, from: Option<&String>) -> (u16, Value) {
        let state = self.state.borrow();
        let rows = state.rows.iter().filter(|((of, key), _)| {
            of == table && from.is_none_or(|from| key.as_str() >= from.as_str())
        });
        let rows: Vec<_> = rows
            .map(|((table, key), (value, version))| row(table, key, Some(value), *version))
            .collect();
        (
            200,
            json!({ "rows": rows, "hasMore": false, "ver": state.version, "nowMs": 0 }),
        )
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.state.borrow();
                if after < state.dropped {
                    return (410, json!({}));
                }
                let changes = state
                    .changes
                    .iter()
                    .filter(|change| change.key.0 == table && change.version > after);
                let rows: Vec<_> = changes
                    .map(|change| {
                        let (table, key) = &change.key;
                        row(table, key, change.value.as_deref(), change.version)
                    })
                    .collect();
                if !rows.is_empty() || Instant::now() >= until {
                    return (
                        200,
                        json!({ "rows": rows, "ver": state.version, "nowMs": 0 }),
                    );
                }
            }
            Timer::after(LOOK_MS).await;
        }
    }

    fn commit(&self, transaction: Transaction) -> (u16, Value) {
        let mut state = self.state.borrow_mut();
        let holds = transaction.expected_revision.iter().all(|expected| {
            let key = (expected.table.clone(), expected.key.clone());
            state.rows.get(&key).map_or(0, |(_, version)| *version) == expected.ver
        });
        if !holds {
            return (412, json!({ "rows": [], "ver": state.version, "nowMs": 0 }));
        }
        for put in transaction.set_keys {
            state.change((put.table, put.key), Some(put.value));
        }
        for removal in transaction.remove {
            state.change((removal.table, removal.key), None);
        }
        (200, json!({ "ver": state.version, "nowMs": 0 }))
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

fn row(table: &str, key: &str, value: Option<&str>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": version })
        }
        None => json!({ "table": table, "part": "", "key": key, "ver": version, "removed": true }),
    }
}

fn base64(bytes: &[u8]) -> String {
    match serde_json::to_value(Encoded(bytes)) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    }
}

/// Handler that shares the rows with whoever changes them.
pub struct FeedStoreHandler(pub Rc<FeedStore>);

impl Handler for FeedStoreHandler {
    fn admit(&self, _: &http_types::Request) -> Result<u64, Problem> {
        Ok(BODY_LIMIT_BYTES)
    }

    fn handle<'a>(&'a self, request: Request, exchange: &'a mut Exchange) -> HandlerFuture<'a> {
        Box::pin(async move {
            let store = &self.0;
            store.calls.set(store.calls.get() + 1);
            if store.mode.get() == StoreMode::Busy {
                return answers::send(exchange, 503, &json!({})).await;
            }
            let silences = store.silences.get();
            let answer = exchange.or_hang_up(store.answer(&request)).await;
            let fell_silent = store.silences.get() != silences;
            if fell_silent || store.mode.get() == StoreMode::Silent {
                // Ends when the caller closes the connection.
                let _ = exchange.or_hang_up(std::future::pending::<()>()).await;
                return;
            }
            if let Ok((status, body)) = answer {
                answers::send(exchange, status, &body).await;
            }
        })
    }
}
