//! Table in virtual time, with outages, slow and lost replies, and writes that take effect late.

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

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT_MS: Duration = Duration::from_millis(500);
/// One way to the table.
const ONE_WAY_MS: Duration = Duration::from_millis(1);
/// Writes that take effect late do so within this time.
const LATE_LIMIT_MS: u64 = 8_000;
const PERMILLE: u32 = 1_000;

/// Faults of the table, for all processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Calls in thousand that never arrive, without the caller knowing.
    pub lost_permille: u32,
    /// Replies in thousand that are lost.
    pub lost_reply_permille: u32,
    /// Calls in thousand that take effect late, without a reply.
    pub late_permille: u32,
    /// Added to every call.
    pub slow_ms: Duration,
}

/// Called for every committed transaction, with the rows as they are after it.
pub type OnCommit = Box<dyn Fn(Instant, &Rows, &Transaction)>;

/// The table.
pub struct FakeTable {
    clock: Rc<dyn Clock>,
    timer: Rc<dyn Timer>,
    rows: RefCell<Rows>,
    faults: Cell<TableFaults>,
    random: RefCell<StdRng>,
    late: RefCell<BTreeMap<(Instant, u64), TableRequest>>,
    on_commit: RefCell<Option<OnCommit>>,
    calls: Cell<u64>,
}

impl FakeTable {
    /// An empty table without faults.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, timer: Rc<dyn Timer>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            timer,
            rows: RefCell::default(),
            faults: Cell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            late: RefCell::default(),
            on_commit: RefCell::default(),
            calls: Cell::new(0),
        })
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: TableFaults) {
        self.faults.set(faults);
    }

    /// What goes wrong now.
    #[must_use]
    pub fn faults(&self) -> TableFaults {
        self.faults.get()
    }

    /// Sets what is called for every committed transaction.
    pub fn observe(&self, on_commit: OnCommit) {
        *self.on_commit.borrow_mut() = Some(on_commit);
    }

    /// Reads a row without any fault.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.borrow().get(key)
    }

    /// Makes a read or a scan without any fault.
    #[must_use]
    pub fn read(&self, request: &TableRequest) -> TableReply {
        self.rows.borrow_mut().apply(request)
    }

    /// Counts the rows whose key starts with `prefix`, without any fault.
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

    /// Applies the writes whose late effect is due.
    pub fn run_late(&self) {
        let now = self.clock.now();
        loop {
            let due = self.late.borrow().first_key_value().map(|(key, _)| *key);
            let Some(key) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            let request = self.late.borrow_mut().remove(&key);
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

    fn roll(&self, permille: u32) -> bool {
        permille > 0 && self.random.borrow_mut().random_range(0..PERMILLE) < permille
    }

    async fn answer(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        self.timer
            .sleep(ONE_WAY_MS + self.faults.get().slow_ms)
            .await;
        let faults = self.faults.get();
        if faults.outage {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        if self.roll(faults.lost_permille) {
            return self.no_answer().await;
        }
        if self.roll(faults.late_permille) {
            let delay = self.random.borrow_mut().random_range(0..LATE_LIMIT_MS);
            let at = self.clock.now() + Duration::from_millis(delay);
            self.calls.set(self.calls.get() + 1);
            let key = (at, self.calls.get());
            self.late.borrow_mut().insert(key, request);
            return self.no_answer().await;
        }
        let reply = self.apply(&request);
        if self.roll(faults.lost_reply_permille) {
            return self.no_answer().await;
        }
        self.timer.sleep(ONE_WAY_MS).await;
        Ok(reply)
    }

    async fn no_answer(&self) -> Result<TableReply, StoreError> {
        self.timer.sleep(CALL_TIMEOUT_MS).await;
        Err(StoreError::Unanswered("no answer in time".to_owned()))
    }
}

/// The table as one process reaches it.
pub struct TablePort {
    table: Rc<FakeTable>,
    cut: Rc<Cell<bool>>,
}

impl TablePort {
    /// `cut` separates the process from the table while it is set.
    #[must_use]
    pub fn new(table: Rc<FakeTable>, cut: Rc<Cell<bool>>) -> Self {
        Self { table, cut }
    }
}

impl Table for TablePort {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(async move {
            if self.cut.get() {
                self.table.timer.sleep(CALL_TIMEOUT_MS).await;
                return Err(StoreError::Unavailable("no connection".to_owned()));
            }
            let result = self.table.answer(request).await;
            if self.cut.get() {
                return Err(StoreError::Unanswered("connection lost".to_owned()));
            }
            result
        })
    }
}
