//! Table in memory, with the faults that a real one has.

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

/// What goes wrong with one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing.
    #[default]
    None,
    /// The call does not reach the table.
    Unavailable,
    /// The call is lost on the way, and the caller cannot tell.
    LostRequest,
    /// The call takes effect and its reply is lost.
    LostReply,
    /// The reply is lost, and the call takes effect only after this many further calls.
    LateEffect(u32),
}

/// Table in memory.
#[derive(Default)]
pub struct MemoryTable {
    rows: RefCell<Rows>,
    outage: Cell<bool>,
    delay_ms: Cell<Duration>,
    timer: Option<Rc<dyn Timer>>,
    script: RefCell<VecDeque<CallFault>>,
    late: RefCell<Vec<(u32, TableRequest)>>,
}

impl MemoryTable {
    /// An empty table without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty table whose delays are waited for with `timer`.
    #[must_use]
    pub fn with_timer(timer: Rc<dyn Timer>) -> Self {
        Self {
            timer: Some(timer),
            ..Self::default()
        }
    }

    /// Starts or ends an outage; during one every call is `Unavailable`.
    pub fn set_outage(&self, outage: bool) {
        self.outage.set(outage);
    }

    /// Delays every call from now on; needs a timer.
    pub fn set_delay(&self, delay_ms: Duration) {
        self.delay_ms.set(delay_ms);
    }

    /// Loses the replies of the next `count` calls after they took effect.
    pub fn lose_replies(&self, count: usize) {
        self.script(std::iter::repeat_n(CallFault::LostReply, count));
    }

    /// Adds faults for the next calls, one each; calls after the last one succeed.
    pub fn script(&self, faults: impl IntoIterator<Item = CallFault>) {
        self.script.borrow_mut().extend(faults);
    }

    /// Forgets scripted faults.
    pub fn clear_script(&self) {
        self.script.borrow_mut().clear();
    }

    /// Applies calls that were to take effect late.
    pub fn flush_late(&self) {
        let late = std::mem::take(&mut *self.late.borrow_mut());
        for (_, request) in late {
            self.rows.borrow_mut().apply(&request);
        }
    }

    /// Reads a row without any fault.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.borrow().get(key)
    }

    /// Makes a call without any fault.
    pub fn apply(&self, request: &TableRequest) -> TableReply {
        self.rows.borrow_mut().apply(request)
    }

    /// Calls carried out so far.
    #[must_use]
    pub fn counters(&self) -> TableCounters {
        self.rows.borrow().counters()
    }

    fn run_due(&self) {
        let due: Vec<TableRequest> = {
            let mut late = self.late.borrow_mut();
            for (calls, _) in late.iter_mut() {
                *calls = calls.saturating_sub(1);
            }
            late.extract_if(.., |(calls, _)| *calls == 0)
                .map(|(_, request)| request)
                .collect()
        };
        for request in due {
            self.rows.borrow_mut().apply(&request);
        }
    }

    async fn answer(&self, request: TableRequest) -> Result<TableReply, StoreError> {
        if let (Some(timer), false) = (&self.timer, self.delay_ms.get().is_zero()) {
            timer.sleep(self.delay_ms.get()).await;
        }
        self.run_due();
        if self.outage.get() {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        let fault = self.script.borrow_mut().pop_front().unwrap_or_default();
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
                self.late.borrow_mut().push((calls.max(1), request));
                lost()
            }
        }
    }
}

impl Table for MemoryTable {
    fn call(&self, request: TableRequest) -> StoreFuture<'_, TableReply> {
        Box::pin(self.answer(request))
    }
}
