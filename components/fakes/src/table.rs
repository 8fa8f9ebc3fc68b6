//! Fake table in virtual time, with outages, lost calls, slow and lost replies, and calls that take
//! effect late.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::CommitOutcome;
use store::Row;
use store::Rows;
use store::StoreError;
use store::StoreFuture;
use store::Table;
use store::TableReply;
use store::TableRequest;
use store::Timer;
use store::Transaction;
use types::Clock;

/// Time after which a call without a reply fails.
const CALL_TIMEOUT_MS: Duration = Duration::from_millis(500);
/// Latency in one direction between a process and the table.
const ONE_WAY_MS: Duration = Duration::from_millis(1);
/// Longest delay of a call that takes effect late.
const LATE_LIMIT_MS: u64 = 8_000;
const PERMILLE: u32 = 1_000;

/// Faults of the table, which affect the calls of all processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableFaults {
    /// Every call fails without taking effect.
    pub outage: bool,
    /// Share of calls that are lost and time out, in thousandths.
    pub lost_call_permille: u32,
    /// Share of calls that take effect but whose reply is lost, in thousandths.
    pub lost_reply_permille: u32,
    /// Share of calls that take effect late and get no reply, in thousandths.
    pub delayed_call_permille: u32,
    /// Latency added to every call.
    pub slow_ms: Duration,
}

/// Observer of commits. Gets the time, the rows after the commit and the transaction.
pub type OnCommit = Box<dyn Fn(Instant, &Rows, &Transaction)>;

/// Fake table.
pub struct FakeTable {
    clock: Rc<dyn Clock>,
    timer: Rc<dyn Timer>,
    rows: RefCell<Rows>,
    faults: Cell<TableFaults>,
    rng: RefCell<StdRng>,
    delayed: RefCell<BTreeMap<(Instant, u64), TableRequest>>,
    on_commit: RefCell<Option<OnCommit>>,
    calls: Cell<u64>,
}

impl FakeTable {
    /// An empty table without faults; `seed` decides which calls a fault affects.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, timer: Rc<dyn Timer>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            timer,
            rows: RefCell::default(),
            faults: Cell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            delayed: RefCell::default(),
            on_commit: RefCell::default(),
            calls: Cell::new(0),
        })
    }

    /// Replaces the faults; calls that take effect late still do so.
    pub fn set_faults(&self, faults: TableFaults) {
        self.faults.set(faults);
    }

    /// Current faults.
    #[must_use]
    pub fn faults(&self) -> TableFaults {
        self.faults.get()
    }

    /// Sets the observer of committed transactions, which replaces the one before.
    pub fn on_commit(&self, on_commit: OnCommit) {
        *self.on_commit.borrow_mut() = Some(on_commit);
    }

    /// Reads a row directly, without faults or delay.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.borrow().get(key)
    }

    /// Reads or scans rows directly, without faults or delay.
    #[must_use]
    pub fn read(&self, request: &TableRequest) -> TableReply {
        self.rows.borrow_mut().apply(request)
    }

    /// Counts the rows whose key starts with `prefix`, without faults or delay.
    #[must_use]
    pub fn count(&self, prefix: &str) -> usize {
        let scan = TableRequest::Scan {
            prefix: prefix.to_owned(),
            after: String::new(),
            limit: usize::MAX,
        };
        match self.rows.borrow_mut().apply(&scan) {
            TableReply::Rows(rows) => rows.len(),
            TableReply::Commit(_) => 0,
        }
    }

    /// Applies the delayed calls that are due.
    pub fn apply_delayed_calls(&self) {
        let now = self.clock.now();
        loop {
            let due = self.delayed.borrow().first_key_value().map(|(key, _)| *key);
            let Some(key) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            let request = self.delayed.borrow_mut().remove(&key);
            if let Some(request) = request {
                self.apply(&request);
            }
        }
    }

    fn apply(&self, request: &TableRequest) -> TableReply {
        let reply = self.rows.borrow_mut().apply(request);
        if let (TableRequest::Commit(transaction), TableReply::Commit(CommitOutcome::Committed(_))) =
            (request, &reply)
            && let Some(on_commit) = self.on_commit.borrow().as_ref()
        {
            on_commit(self.clock.now(), &self.rows.borrow(), transaction);
        }
        reply
    }

    fn occurs(&self, permille: u32) -> bool {
        permille > 0 && self.rng.borrow_mut().random_range(0..PERMILLE) < permille
    }

    async fn handle(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        self.timer
            .sleep(ONE_WAY_MS + self.faults.get().slow_ms)
            .await;
        let faults = self.faults.get();
        if faults.outage {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        if self.occurs(faults.lost_call_permille) {
            return self.time_out().await;
        }
        if self.occurs(faults.delayed_call_permille) {
            let delay = self.rng.borrow_mut().random_range(0..LATE_LIMIT_MS);
            let at = self.clock.now() + Duration::from_millis(delay);
            self.calls.set(self.calls.get() + 1);
            let key = (at, self.calls.get());
            self.delayed.borrow_mut().insert(key, request);
            return self.time_out().await;
        }
        let reply = self.apply(&request);
        if self.occurs(faults.lost_reply_permille) {
            return self.time_out().await;
        }
        self.timer.sleep(ONE_WAY_MS).await;
        Ok(reply)
    }

    async fn time_out(&self) -> Result<TableReply, StoreError> {
        self.timer.sleep(CALL_TIMEOUT_MS).await;
        Err(StoreError::Unanswered("no reply within 500 ms".to_owned()))
    }
}

/// Connection of one process to the fake table.
pub struct TablePort {
    table: Rc<FakeTable>,
    disconnected: Rc<Cell<bool>>,
}

impl TablePort {
    /// While `disconnected` is set, the process cannot reach the table.
    #[must_use]
    pub fn new(table: Rc<FakeTable>, disconnected: Rc<Cell<bool>>) -> Self {
        Self {
            table,
            disconnected,
        }
    }
}

impl Table for TablePort {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(async move {
            if self.disconnected.get() {
                self.table.timer.sleep(CALL_TIMEOUT_MS).await;
                return Err(StoreError::Unavailable("no connection".to_owned()));
            }
            let result = self.table.handle(request).await;
            if self.disconnected.get() {
                return Err(StoreError::Unanswered("connection lost".to_owned()));
            }
            result
        })
    }
}
