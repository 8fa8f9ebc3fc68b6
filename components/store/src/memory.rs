//! In-memory table with fault injection for tests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use crate::StoreError;
use crate::StoreFuture;
use crate::rows::Rows;
use crate::rows::TableCounters;
use crate::table::Row;
use crate::table::Table;
use crate::table::TableReply;
use crate::table::TableRequest;
use crate::timer::Timer;

/// Fault that is injected into a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallFault {
    /// The call succeeds.
    #[default]
    None,
    /// The call does not reach the table, and the caller is told so.
    Unavailable,
    /// The call is lost before it reaches the table, and the caller does not know its outcome.
    LostRequest,
    /// The call takes effect, but its reply is lost.
    LostReply,
    /// The reply is lost, and the call only takes effect after this many further calls.
    LateEffect(u32),
}

/// In-memory table with fault injection.
#[derive(Default)]
pub struct MemoryTable {
    rows: RefCell<Rows>,
    is_unavailable: Cell<bool>,
    delay_ms: Cell<Duration>,
    timer: Option<Rc<dyn Timer>>,
    scripted_faults: RefCell<VecDeque<CallFault>>,
    /// Requests that take effect late, each with the number of calls until then.
    late_requests: RefCell<Vec<(u32, TableRequest)>>,
}

impl MemoryTable {
    /// Creates an empty table without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty table that uses `timer` for delays.
    #[must_use]
    pub fn with_timer(timer: Rc<dyn Timer>) -> Self {
        Self {
            timer: Some(timer),
            ..Self::default()
        }
    }

    /// Starts or ends an outage, during which every call returns `Unavailable`.
    pub fn set_outage(&self, is_unavailable: bool) {
        self.is_unavailable.set(is_unavailable);
    }

    /// Delays every call from now on. Has no effect on a table without a timer.
    pub fn set_delay(&self, delay_ms: Duration) {
        self.delay_ms.set(delay_ms);
    }

    /// Adds [`CallFault::LostReply`] for `count` calls.
    pub fn lose_replies(&self, count: usize) {
        self.add_faults(std::iter::repeat_n(CallFault::LostReply, count));
    }

    /// Adds faults for the next calls, one per call. Calls after the last fault succeed.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = CallFault>) {
        self.scripted_faults.borrow_mut().extend(faults);
    }

    /// Removes faults that were added and not yet injected.
    pub fn clear_faults(&self) {
        self.scripted_faults.borrow_mut().clear();
    }

    /// Applies all calls that are still to take effect late.
    pub fn apply_late_requests(&self) {
        let late_requests = std::mem::take(&mut *self.late_requests.borrow_mut());
        for (_, request) in late_requests {
            self.rows.borrow_mut().apply(&request);
        }
    }

    /// Reads a row without injecting a fault.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.borrow().get(key)
    }

    /// Executes a call without injecting a fault.
    pub fn apply(&self, request: &TableRequest) -> TableReply {
        self.rows.borrow_mut().apply(request)
    }

    /// Numbers of calls executed so far.
    #[must_use]
    pub fn counters(&self) -> TableCounters {
        self.rows.borrow().counters()
    }

    fn apply_due_requests(&self) {
        let due: Vec<TableRequest> = {
            let mut late_requests = self.late_requests.borrow_mut();
            for (calls, _) in late_requests.iter_mut() {
                *calls = calls.saturating_sub(1);
            }
            late_requests
                .extract_if(.., |(calls, _)| *calls == 0)
                .map(|(_, request)| request)
                .collect()
        };
        for request in due {
            self.rows.borrow_mut().apply(&request);
        }
    }

    async fn call_with_faults(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        if let (Some(timer), false) = (&self.timer, self.delay_ms.get().is_zero()) {
            timer.sleep(self.delay_ms.get()).await;
        }
        self.apply_due_requests();
        if self.is_unavailable.get() {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        let fault = self
            .scripted_faults
            .borrow_mut()
            .pop_front()
            .unwrap_or_default();
        let lost = || Err(StoreError::Unanswered("reply lost".to_owned()));
        match fault {
            CallFault::None => Ok(self.apply(&request)),
            CallFault::Unavailable => Err(StoreError::Unavailable("scripted".to_owned())),
            CallFault::LostRequest => lost(),
            CallFault::LostReply => {
                self.apply(&request);
                lost()
            }
            CallFault::LateEffect(calls) => {
                self.late_requests
                    .borrow_mut()
                    .push((calls.max(1), request));
                lost()
            }
        }
    }
}

impl Table for MemoryTable {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(self.call_with_faults(request))
    }
}
