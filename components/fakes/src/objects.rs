//! Object store in virtual time, with outages, slow and lost replies, writes that take effect
//! late, and answers that are cut short.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::ObjectReply;
use store::ObjectRequest;
use store::StoreError;
use store::Timer;
use types::Clock;

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT_MS: Duration = Duration::from_secs(5);
/// One way to the store.
const ONE_WAY_MS: Duration = Duration::from_millis(2);
/// Writes that take effect late do so within this time.
const LATE_LIMIT_MS: u64 = 8_000;
const PERMILLE: u32 = 1_000;

/// Faults of the object store, for all processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObjectFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Replies in thousand that are lost.
    pub lost_reply_permille: u32,
    /// Calls in thousand that take effect late, without a reply.
    pub late_permille: u32,
    /// Answers in thousand that are cut short.
    pub cut_short_permille: u32,
    /// Added to every call.
    pub slow_ms: Duration,
}

/// The object store.
pub struct FakeObjects {
    clock: Rc<dyn Clock>,
    timer: Rc<dyn Timer>,
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    faults: Cell<ObjectFaults>,
    random: RefCell<StdRng>,
    late: RefCell<BTreeMap<(Instant, u64), ObjectRequest>>,
    calls: Cell<u64>,
    violations: RefCell<Vec<String>>,
}

impl FakeObjects {
    /// An empty store without faults.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, timer: Rc<dyn Timer>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            timer,
            objects: RefCell::default(),
            faults: Cell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            late: RefCell::default(),
            calls: Cell::new(0),
            violations: RefCell::default(),
        })
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: ObjectFaults) {
        self.faults.set(faults);
    }

    /// Reads an object without any fault.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Vec<u8>> {
        self.objects.borrow().get(key).cloned()
    }

    /// Keys of all objects.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.objects.borrow().keys().cloned().collect()
    }

    /// Keys that were used for other content since the last call.
    #[must_use]
    pub fn take_violations(&self) -> Vec<String> {
        self.violations.take()
    }

    /// Applies the calls whose late effect is due.
    pub fn run_late(&self) {
        let now = self.clock.now();
        loop {
            let due = self.late.borrow().first_key_value().map(|(key, _)| *key);
            let Some(key) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            let request = self.late.borrow_mut().remove(&key);
            if let Some(request) = request {
                self.apply(request);
            }
        }
    }

    fn apply(&self, request: ObjectRequest) -> ObjectReply {
        let mut objects = self.objects.borrow_mut();
        match request {
            ObjectRequest::Put { key, bytes } => {
                if objects.get(&key).is_some_and(|before| *before != bytes) {
                    let violation = format!("object {key} gets other content");
                    self.violations.borrow_mut().push(violation);
                }
                objects.insert(key, bytes);
                ObjectReply::Stored
            }
            ObjectRequest::Get { key } => ObjectReply::Content(objects.get(&key).cloned()),
            ObjectRequest::Delete { key } => {
                objects.remove(&key);
                ObjectReply::Deleted
            }
        }
    }

    fn roll(&self, permille: u32) -> bool {
        permille > 0 && self.random.borrow_mut().random_range(0..PERMILLE) < permille
    }

    fn apply_late(&self, delay: Duration, request: ObjectRequest) {
        self.calls.set(self.calls.get() + 1);
        let key = (self.clock.now() + delay, self.calls.get());
        self.late.borrow_mut().insert(key, request);
    }

    /// Makes a call of a process that `cut` separates from the store while it is set.
    ///
    /// # Errors
    ///
    /// A fault prevents the call, or its reply is lost.
    pub async fn call(
        &self,
        cut: &Cell<bool>,
        request: ObjectRequest,
    ) -> Result<ObjectReply, StoreError> {
        let slow_ms = self.faults.get().slow_ms;
        if cut.get() {
            self.timer.sleep(ONE_WAY_MS).await;
            return Err(StoreError::Unavailable("no connection".to_owned()));
        }
        if slow_ms >= CALL_TIMEOUT_MS {
            self.apply_late(slow_ms, request);
            return self.no_answer().await;
        }
        self.timer.sleep(ONE_WAY_MS + slow_ms).await;
        let faults = self.faults.get();
        if faults.outage {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        if self.roll(faults.late_permille) {
            let delay = self.random.borrow_mut().random_range(0..LATE_LIMIT_MS);
            self.apply_late(Duration::from_millis(delay), request);
            return self.no_answer().await;
        }
        let mut reply = self.apply(request);
        if self.roll(faults.lost_reply_permille) {
            return self.no_answer().await;
        }
        if let ObjectReply::Content(Some(body)) = &mut reply
            && self.roll(faults.cut_short_permille)
        {
            let length = self.random.borrow_mut().random_range(0..=body.len());
            body.truncate(length);
        }
        self.timer.sleep(ONE_WAY_MS).await;
        if cut.get() {
            return Err(StoreError::Unanswered("connection lost".to_owned()));
        }
        Ok(reply)
    }

    async fn no_answer(&self) -> Result<ObjectReply, StoreError> {
        self.timer.sleep(CALL_TIMEOUT_MS).await;
        Err(StoreError::Unanswered("no answer in time".to_owned()))
    }
}
